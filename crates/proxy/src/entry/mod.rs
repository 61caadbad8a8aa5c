/*!
Connections of callers and the routing of their statements.

This is the front end of the proxy. It speaks the PostgreSQL protocol to the
callers, checks their keys, and sends each batch of statements to a backend
server that is fresh enough for the session.

# Guided tour

* `meter` counts the memory that is held for callers.
* `startup` reads the first packets of a connection, `handshake` checks the
  key with `scram`, and `cancellation` handles cancel requests.
* `session` serves one caller's connection. `batch` collects its messages up
  to a `Sync` or `Query`, and `execution` decides how to answer them.
* `analysis` distinguishes reads from writes. `command` and `reply` answer
  statements that need no backend server.
* `attempt` runs a batch on a server and tries another one if that fails.
  `answer` matches the server's messages with those of the batch.
* `freshness` computes the position that a server must have applied for a
  read, and `barriers` finds out the current position of a group's primary.
*/

mod analysis;
mod answer;
mod attempt;
mod barriers;
mod batch;
mod cancellation;
mod command;
mod connection;
mod execution;
mod freshness;
mod functions;
mod handshake;
mod kept;
mod meter;
mod reply;
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

use chicoryhollow_core::{
    budget::{LimitReason, Limits},
    prelude::*,
    retry::RetryBudget,
    route::Estimates,
};
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

pub(crate) use self::cancellation::cancel;
use self::{
    analysis::AnalysisCache, barriers::Barriers, cancellation::CancelRegistry, meter::Meters,
    session::Session,
};
use crate::{events::Event, node::Node, wire::WireError};

/// Divisor of the limit of callers. The result is the number of connections beyond
/// the limit that still receive a refusal; further ones are closed without an answer.
const REFUSED_CALLERS_DIVISOR: usize = 10;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// State that all callers of one VM share.
pub struct Entry {
    meters: Arc<Meters>,
    analyses: AnalysisCache,
    cancels: CancelRegistry,
    barriers: Barriers,
    estimates: Mutex<HashMap<GroupId, Estimates>>,
    retry_budget: Mutex<RetryBudget>,
    callers: AtomicUsize,
}

impl Entry {
    /// Creates the state of a VM without callers. `limits` bound the memory that is held for
    /// them.
    pub fn new(limits: Limits) -> Self {
        Entry {
            meters: Meters::new(limits),
            analyses: AnalysisCache::default(),
            cancels: CancelRegistry::default(),
            barriers: Barriers::default(),
            estimates: Mutex::default(),
            retry_budget: Mutex::default(),
            callers: AtomicUsize::new(0),
        }
    }

    /// Calls `action` with the estimates of the servers of `group`.
    fn with_estimates<T>(&self, group: &GroupId, action: impl FnOnce(&mut Estimates) -> T) -> T {
        let mut estimates = self.estimates.lock().expect("no thread panics with this lock");
        if !estimates.contains_key(group) {
            estimates.insert(group.clone(), Estimates::new());
        }
        action(estimates.get_mut(group).expect("the group was inserted"))
    }

    fn with_retry_budget<T>(&self, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        action(&mut self.retry_budget.lock().expect("no thread panics with this lock"))
    }
}

/// Accepts callers for as long as the daemon runs.
///
/// While the daemon drains, new callers receive a refusal.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    connection::silence_decoder_panics();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => drop(tokio::spawn(serve(Arc::clone(&node), socket))),
            // The process may have run out of file descriptors. They become
            // available again when other connections close.
            Err(_) => sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
}

async fn serve(node: Arc<Node>, socket: TcpStream) {
    let limit = node.settings.limits.callers;
    let before = node.entry.callers.fetch_add(1, Ordering::Relaxed);
    if before < limit + limit / REFUSED_CALLERS_DIVISOR + 1 {
        node.metrics.callers.inc();
        if let Err(error) = run_session(&node, socket, before >= limit).await {
            record_error(&node, &error);
        }
        node.metrics.callers.dec();
    } else {
        node.metrics.record_refusal(Refusal::TooManyConnections);
    }
    node.entry.callers.fetch_sub(1, Ordering::Relaxed);
}

/// Counts and logs a caller's malformed messages. A lost connection is not an
/// error of the caller.
fn record_error(node: &Node, error: &WireError) {
    if let WireError::Limit(reason) = error {
        return record_limit(node, *reason);
    }
    if !matches!(error, WireError::Io(error) if error.kind() != std::io::ErrorKind::InvalidData) {
        node.metrics.malformed_messages.inc();
        Event::MalformedMessage.record(&node.log, o!("error" => error.to_string()));
    }
}

fn record_limit(node: &Node, reason: LimitReason) {
    node.metrics.limits.with_label_values(&[reason.label()]).inc();
    Event::LimitExceeded.record(&node.log, o!("reason" => reason.label()));
}

async fn run_session(
    node: &Arc<Node>,
    socket: TcpStream,
    over_limit: bool,
) -> Result<(), WireError> {
    socket.set_nodelay(true)?;
    // The state of a start-up is large and short-lived. Boxing it keeps the
    // task of the session small.
    match Box::pin(handshake::accept(node, socket, over_limit)).await? {
        Some(caller) => Session::new(node, caller).run().await,
        None => Ok(()),
    }
}
