/*!
A stand-in backend server.

It speaks the PostgreSQL wire protocol over an in-memory SQLite database, ships
its committed transactions to the other members of its group, and offers the
control functions of `docs/design/backend-control.md`.

Transactions see committed data and their own writes. They do not lock rows:
of two that change the same row the later commit wins, as if its statements had
run then.
*/

mod codec;
mod control;
mod core;
mod datum;
mod engine;
mod error;
mod extended;
mod hold;
mod log;
mod node;
mod options;
mod replica;
mod session;
mod shipping;
mod statement;
mod transaction;

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, task::JoinSet};

pub use crate::backend::options::{BackendOptions, USAGE, parse_arguments};
use crate::backend::{node::Node, session::Session};

/// Role that neither limits nor fences hold back.
pub const CONTROL_ROLE: &str = "chicoryhollow_control";

/// Role under which servers ship their logs to each other.
const REPLICATION_ROLE: &str = "chicoryhollow_replication";

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The database could not be opened.
    #[error("cannot open the in-memory database: {0}")]
    Database(String),
    /// The listener failed.
    #[error("cannot accept connections: {0}")]
    Listen(#[from] io::Error),
}

/// A running stand-in backend server; it stops when dropped.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Backend {
    /// Starts a server on a listener.
    ///
    /// # Errors
    ///
    /// Returns an error when the database or the listener cannot be used.
    pub fn new(options: BackendOptions, listener: TcpListener) -> Result<Self, BackendError> {
        let address = listener.local_addr()?;
        let node = Node::new(options).map_err(|e| BackendError::Database(e.to_string()))?;
        let mut tasks = JoinSet::new();
        tasks.spawn(shipping::run(Arc::clone(&node)));
        tasks.spawn(replica::apply(Arc::clone(&node)));
        tasks.spawn(accept(node, listener));
        Ok(Backend { address, tasks })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs until the server fails.
    pub async fn join(mut self) {
        self.tasks.join_next().await;
    }
}

/// Accepts connections; they end together with this task.
async fn accept(node: Arc<Node>, listener: TcpListener) {
    let mut sessions = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Without this, small answers wait for the peer's delayed acknowledgement.
                let _ = stream.set_nodelay(true);
                sessions.spawn(Session::serve(Arc::clone(&node), stream));
            }
            Some(_) = sessions.join_next() => {}
        }
    }
}
