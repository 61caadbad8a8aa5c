/*!
A stand-in backend server.

It speaks the PostgreSQL wire protocol over an in-memory SQLite database. It
ships its committed transactions to the other members of its group and provides
the control functions of `docs/design/backend-control.md`.

A transaction sees committed data and its own writes. Rows are not locked: if
two transactions change the same row, the later commit wins, as if its
statements had run at the time of the commit.
*/

mod codec;
mod control;
mod core;
mod datum;
mod engine;
mod error;
mod extended;
mod log;
mod node;
mod options;
mod quiesce;
mod replica;
mod session;
mod shipping;
mod statement;
mod transaction;

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, task::JoinSet};

pub use crate::backend::options::{BackendOptions, USAGE, parse_arguments};
use crate::backend::{node::Node, session::Session};

/// Role of control connections, which are exempt from limits and fences.
pub const CONTROL_ROLE: &str = "chicoryhollow_control";

/// Role of the connections on which servers ship their logs to each other.
const REPLICATION_ROLE: &str = "chicoryhollow_replication";

/// Error of a stand-in backend server that could not start.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The database could not be opened.
    #[error("cannot open the in-memory database: {0}")]
    Database(String),
    /// The address of the listener could not be read.
    #[error("cannot accept connections: {0}")]
    Listen(#[from] io::Error),
}

/// A running stand-in backend server. Dropping it stops the server.
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
    /// Returns an error if the database cannot be opened or the listener has no
    /// address.
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

    /// Waits until one of the server's tasks ends.
    pub async fn join(mut self) {
        self.tasks.join_next().await;
    }
}

/// Accepts connections. They end when this task ends.
async fn accept(node: Arc<Node>, listener: TcpListener) {
    let mut sessions = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Otherwise small answers wait for the peer's delayed acknowledgement.
                let _ = stream.set_nodelay(true);
                sessions.spawn(Session::serve(Arc::clone(&node), stream));
            }
            Some(_) = sessions.join_next() => {}
        }
    }
}
