//! Questions and orders to one backend server of a watched group.
//!
//! Each server has a task of its own, so that a slow one delays no other.

use std::{future::Future, sync::Arc, time::Duration};

use chicoryhollow_core::{
    prelude::*,
    watch::{Action, Event, ServerStatus},
};
use tokio::{sync::mpsc, time::timeout};

use super::{
    convert::{function, is_granted, is_quiet, status_of},
    pulse::Pulse,
};
use crate::{
    home::control::{BackendError, Control, ControlRow},
    node::Node,
};

/// Longest time to connect and log in, in milliseconds.
const CONNECT_MS: u64 = 300;

/// Longest wait for an answer, in milliseconds.
const ANSWER_MS: u64 = 500;

/// Longest wait for a promotion, which applies all that the server received, in
/// milliseconds.
const PROMOTE_MS: u64 = 1_000;

/// Short answers after which the whole status is asked for again.
const PULSES: u32 = 60;

/// Actions that may wait for one server. The decision repeats what was dropped.
const QUEUED_ACTIONS: usize = 8;

/// The task of one server; it ends when this handle is dropped.
#[derive(Debug)]
pub(super) struct ServerTask {
    address: std::net::SocketAddr,
    actions: mpsc::Sender<Action>,
}

impl ServerTask {
    /// Starts the task of the server at `address`, as the configuration gives
    /// it; answers arrive at `events`.
    pub(super) fn new(
        node: &Arc<Node>,
        address: std::net::SocketAddr,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let (actions, queue) = mpsc::channel(QUEUED_ACTIONS);
        let worker =
            Worker { node: Arc::clone(node), address, control: None, last: None, pulses: 0 };
        tokio::spawn(worker.run(queue, events));
        ServerTask { address, actions }
    }

    /// Returns the address of the configuration.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Queues an action unless too many wait already.
    pub(super) fn send(&self, action: Action) {
        drop(self.actions.try_send(action));
    }
}

struct Worker {
    node: Arc<Node>,
    address: std::net::SocketAddr,
    control: Option<Control>,
    last: Option<ServerStatus>,
    /// Short answers since the last whole one.
    pulses: u32,
}

impl Worker {
    async fn run(mut self, mut queue: mpsc::Receiver<Action>, events: mpsc::Sender<Event>) {
        while let Some(action) = queue.recv().await {
            let Some((server, function)) = function(&action) else { continue };
            let event = self.carry_out(&action, server, &function).await;
            if let Some(event) = event
                && events.send(event).await.is_err()
            {
                return;
            }
        }
    }

    async fn carry_out(
        &mut self,
        action: &Action,
        server: &ServerId,
        function: &str,
    ) -> Option<Event> {
        if let Action::Poll(_) = action {
            match self.pulse().await {
                Ok(Some(status)) => return Some(Event::Status(server.clone(), status)),
                Ok(None) => {}
                Err(_) => return Some(Event::RequestFailed(server.clone())),
            }
        }
        let limit_ms = match action {
            Action::Promote { .. } => PROMOTE_MS,
            _ => ANSWER_MS,
        };
        let event = match self.call(function, limit_ms).await {
            Ok(row) => answered(action, &row),
            Err(_) => Some(Event::RequestFailed(server.clone())),
        };
        self.note(event.as_ref());
        event
    }

    /// Asks for the short status; `None` when the whole one is needed.
    async fn pulse(&mut self) -> Result<Option<ServerStatus>, BackendError> {
        let Some(last) = self.last.take().filter(|_| self.pulses < PULSES) else { return Ok(None) };
        let row = self.call("pulse()", ANSWER_MS).await?;
        self.last = Pulse::from_row(&row).and_then(|pulse| pulse.merge(&last));
        self.pulses += 1;
        Ok(self.last.clone())
    }

    /// Keeps the whole status, as far as the answer told it.
    fn note(&mut self, event: Option<&Event>) {
        self.last = match event {
            Some(Event::Status(_, status) | Event::Fenced(_, _, _, status)) => Some(status.clone()),
            _ => None,
        };
        self.pulses = 0;
    }

    async fn call(&mut self, function: &str, limit_ms: u64) -> Result<ControlRow, BackendError> {
        self.node.metrics.heartbeats.inc();
        let idle = self.control.take().filter(|control| !control.is_stale());
        let mut control = match idle {
            Some(control) => control,
            None => self.connect().await?,
        };
        let row = bounded(limit_ms, control.call(function)).await?;
        let moved = self.node.metrics.control_bytes.with_label_values(&["backend"]);
        moved.inc_by(control.take_transferred_bytes());
        self.control = Some(control);
        Ok(row)
    }

    async fn connect(&self) -> Result<Control, BackendError> {
        let address = self.node.settings.dial(self.address);
        bounded(CONNECT_MS, Control::connect(address, &self.node.settings.backend)).await
    }
}

async fn bounded<T>(
    limit_ms: u64,
    exchange: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    let limit = Duration::from_millis(limit_ms);
    timeout(limit, exchange).await.unwrap_or(Err(BackendError::Closed))
}

/// Turns an answer into what the decision is told.
fn answered(action: &Action, row: &ControlRow) -> Option<Event> {
    match action {
        Action::Poll(server) => Some(match status_of(row) {
            Some(status) => Event::Status(server.clone(), status),
            None => Event::RequestFailed(server.clone()),
        }),
        Action::Quiesce { server, .. } => Some(Event::Quiesced(server.clone(), is_quiet(row))),
        Action::Fence { server, term, .. } => {
            Some(Event::Fenced(server.clone(), *term, is_granted(row), status_of(row)?))
        }
        Action::Promote { server, term, .. } => {
            Some(Event::Promoted(server.clone(), *term, is_granted(row)))
        }
        // The next status shows whether the list was taken over.
        Action::SetMembers { .. } | Action::Publish(_) | Action::SendObservation(_) => None,
    }
}
