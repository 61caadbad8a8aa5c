//! Control requests to one backend server of a watched group.
//!
//! Each server has its own task, so that a slow server does not delay others.

use std::{future::Future, sync::Arc, time::Duration};

use chicoryhollow_core::{
    prelude::*,
    watch::{Action, Event, ServerStatus},
};
use tokio::{sync::mpsc, time::timeout};

use super::{
    convert::{control_call, is_granted, is_quiet, parse_status},
    pulse::Pulse,
};
use crate::{
    home::control::{BackendError, Control, ControlRow},
    node::Node,
};

/// Maximum time to connect and authenticate, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Maximum wait for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 500;

/// Maximum wait for a promotion, in milliseconds. The server applies all that it
/// has received before it answers.
const PROMOTION_TIMEOUT_MS: u64 = 1_000;

/// Number of short statuses after which the complete status is requested again.
const MAX_PULSES: u32 = 60;

/// Maximum number of actions that wait for one server. The watcher repeats actions
/// that were dropped.
const MAX_QUEUED_ACTIONS: usize = 8;

/// Handle of the task of one server. The task ends when the handle is dropped.
#[derive(Debug)]
pub(super) struct ServerTask {
    address: std::net::SocketAddr,
    actions: mpsc::Sender<Action>,
}

impl ServerTask {
    /// Starts the task of the server at `address`, which is the address in the
    /// configuration. Answers are sent to `events`.
    pub(super) fn new(
        node: &Arc<Node>,
        address: std::net::SocketAddr,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let (actions, queue) = mpsc::channel(MAX_QUEUED_ACTIONS);
        let worker =
            Worker { node: Arc::clone(node), address, control: None, last: None, pulses: 0 };
        tokio::spawn(worker.run(queue, events));
        ServerTask { address, actions }
    }

    /// Returns the address of the server in the configuration.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Queues an action, or drops it if too many already wait.
    pub(super) fn send(&self, action: Action) {
        drop(self.actions.try_send(action));
    }
}

struct Worker {
    node: Arc<Node>,
    address: std::net::SocketAddr,
    control: Option<Control>,
    last: Option<ServerStatus>,
    /// Number of short statuses since the last complete one.
    pulses: u32,
}

impl Worker {
    async fn run(mut self, mut queue: mpsc::Receiver<Action>, events: mpsc::Sender<Event>) {
        while let Some(action) = queue.recv().await {
            let Some((server, call)) = control_call(&action) else { continue };
            let event = self.execute(&action, server, &call).await;
            if let Some(event) = event
                && events.send(event).await.is_err()
            {
                return;
            }
        }
    }

    async fn execute(
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
            Action::Promote { .. } => PROMOTION_TIMEOUT_MS,
            _ => ANSWER_TIMEOUT_MS,
        };
        let event = match self.call(function, limit_ms).await {
            Ok(row) => answer_event(action, &row),
            Err(_) => Some(Event::RequestFailed(server.clone())),
        };
        self.record_status(event.as_ref());
        event
    }

    /// Requests the short status. Returns `None` if the complete one is needed.
    async fn pulse(&mut self) -> Result<Option<ServerStatus>, BackendError> {
        let Some(last) = self.last.take().filter(|_| self.pulses < MAX_PULSES) else {
            return Ok(None);
        };
        let row = self.call("pulse()", ANSWER_TIMEOUT_MS).await?;
        self.last = Pulse::from_row(&row).and_then(|pulse| pulse.merge(&last));
        self.pulses += 1;
        Ok(self.last.clone())
    }

    /// Keeps the complete status if the answer contained it.
    fn record_status(&mut self, event: Option<&Event>) {
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
        let row = with_timeout(limit_ms, control.call(function)).await?;
        let counter = self.node.metrics.control_bytes.with_label_values(&["backend"]);
        counter.inc_by(control.take_transferred_bytes());
        self.control = Some(control);
        Ok(row)
    }

    async fn connect(&self) -> Result<Control, BackendError> {
        let address = self.node.settings.dial_address(self.address);
        with_timeout(CONNECT_TIMEOUT_MS, Control::connect(address, &self.node.settings.backend))
            .await
    }
}

async fn with_timeout<T>(
    limit_ms: u64,
    exchange: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    let limit = Duration::from_millis(limit_ms);
    timeout(limit, exchange).await.unwrap_or(Err(BackendError::Closed))
}

/// Converts the answer to an action to an event for the watcher.
fn answer_event(action: &Action, row: &ControlRow) -> Option<Event> {
    match action {
        Action::Poll(server) => Some(match parse_status(row) {
            Some(status) => Event::Status(server.clone(), status),
            None => Event::RequestFailed(server.clone()),
        }),
        Action::Quiesce { server, .. } => Some(Event::Quiesced(server.clone(), is_quiet(row))),
        Action::Fence { server, term, .. } => {
            Some(Event::Fenced(server.clone(), *term, is_granted(row), parse_status(row)?))
        }
        Action::Promote { server, term, .. } => {
            Some(Event::Promoted(server.clone(), *term, is_granted(row)))
        }
        // The next status shows whether the server applied the list.
        Action::SetMembers { .. } | Action::Publish(_) | Action::SendObservation(_) => None,
    }
}
