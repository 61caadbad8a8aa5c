//! Callers: key check, statements, choice of a backend server.

mod batch;
mod classify;
mod handshake;
mod route;
mod session;
mod statements;

use std::sync::Arc;

use chicoryhollow_peer::member::Cancel;
use slog::o;
use tokio::net::{TcpListener, TcpStream};

use crate::{events::Event, node::Node, wire::WireError};

/// Accepts callers until the daemon drains.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    tokio::spawn(serve(Arc::clone(&node), socket));
                }
            }
            () = node.drained() => return,
        }
    }
}

async fn serve(node: Arc<Node>, socket: TcpStream) {
    node.metrics.callers.inc();
    if let Err(error) = exchange(&node, socket).await {
        if matches!(error, WireError::Protocol(_) | WireError::Truncated) {
            node.metrics.malformed.inc();
        }
        Event::MalformedMessage.record(&node.log, o!("error" => error.to_string()));
    }
    node.metrics.callers.dec();
}

async fn exchange(node: &Arc<Node>, socket: TcpStream) -> Result<(), WireError> {
    socket.set_nodelay(true)?;
    match handshake::accept(node, socket).await? {
        Some(caller) => session::Session::new(node, caller).run().await,
        None => Ok(()),
    }
}

/// Cancels the statement of a caller of this VM, if the secret is right.
pub(crate) fn cancel(_node: &Arc<Node>, _cancel: &Cancel) {}
