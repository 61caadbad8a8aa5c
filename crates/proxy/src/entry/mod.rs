/*!
Callers: key check, statements, choice of a backend server.

# Guided tour

* [`startup`] reads the first packets, [`handshake`] checks the key by
  [`scram`], and [`cancel`] honours cancel requests.
* [`session`] is one caller's connection; [`batch`] gathers its messages up to
  a `Sync` or `Query`, and [`execute`] decides what becomes of them.
* [`classify`] tells reads from writes; [`command`] and [`local`] answer what
  needs no backend server.
* [`attempt`] runs a batch on a server, elsewhere when that failed, and
  [`answer`] matches what comes back with the messages of the batch.
* [`freshness`] says what a read needs of a server, and [`barriers`] finds out
  where a group's log stands.
*/

mod answer;
mod attempt;
mod barriers;
mod batch;
mod cancel;
mod classify;
mod command;
mod connection;
mod execute;
mod freshness;
mod functions;
mod handshake;
mod local;
mod scram;
mod session;
mod startup;
mod statements;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use chicoryhollow_core::{prelude::*, retry::RetryBudget, route::Estimates};
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

pub(crate) use self::cancel::cancel;
use self::{barriers::Barriers, cancel::Cancels, classify::Shapes, session::Session};
use crate::{events::Event, node::Node, wire::WireError};

/// Connections beyond the limit that are still told why they are refused, as a
/// fraction of the limit.
const REFUSED_FRACTION: usize = 10;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// What the callers of one VM share.
#[derive(Default)]
pub struct Entry {
    shapes: Shapes,
    cancels: Cancels,
    barriers: Barriers,
    estimates: Mutex<HashMap<GroupId, Estimates>>,
    budget: Mutex<RetryBudget>,
    callers: AtomicUsize,
}

impl Entry {
    /// Makes the state of a VM without callers.
    pub fn new() -> Self {
        Entry::default()
    }

    /// Lets `action` use what is known of the servers of `group`.
    fn with_estimates<T>(&self, group: &GroupId, action: impl FnOnce(&mut Estimates) -> T) -> T {
        let mut estimates = self.estimates.lock().expect("no thread panics with this lock");
        if !estimates.contains_key(group) {
            estimates.insert(group.clone(), Estimates::new());
        }
        action(estimates.get_mut(group).expect("the group was inserted"))
    }

    fn with_budget<T>(&self, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        action(&mut self.budget.lock().expect("no thread panics with this lock"))
    }
}

/// Accepts callers for as long as the daemon runs.
///
/// While the daemon drains, new callers are still answered, with a refusal.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    connection::quiet_decoders();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => drop(tokio::spawn(serve(Arc::clone(&node), socket))),
            // The process may be out of descriptors, which passes.
            Err(_) => sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
}

async fn serve(node: Arc<Node>, socket: TcpStream) {
    let limit = node.settings.limits.callers;
    let before = node.entry.callers.fetch_add(1, Ordering::Relaxed);
    if before < limit + limit / REFUSED_FRACTION + 1 {
        node.metrics.callers.inc();
        if let Err(error) = exchange(&node, socket, before >= limit).await {
            record(&node, &error);
        }
        node.metrics.callers.dec();
    } else {
        node.metrics.record_refusal(Refusal::TooManyConnections);
    }
    node.entry.callers.fetch_sub(1, Ordering::Relaxed);
}

/// Counts and logs a caller's error; a connection that broke off is none.
fn record(node: &Node, error: &WireError) {
    if !matches!(error, WireError::Io(error) if error.kind() != std::io::ErrorKind::InvalidData) {
        node.metrics.malformed_messages.inc();
        Event::MalformedMessage.record(&node.log, o!("error" => error.to_string()));
    }
}

async fn exchange(node: &Arc<Node>, socket: TcpStream, crowded: bool) -> Result<(), WireError> {
    socket.set_nodelay(true)?;
    // The state of a start-up is large and short-lived, so it is not kept
    // within the task of the session.
    match Box::pin(handshake::accept(node, socket, crowded)).await? {
        Some(caller) => Session::new(node, caller).run().await,
        None => Ok(()),
    }
}
