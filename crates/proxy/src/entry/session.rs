//! Sessions: the connection of one caller after its start-up.
//!
//! A session reads the caller's messages and runs each batch of them. It also
//! closes the connection if a newer configuration no longer admits the caller or
//! takes the data centre out of service, or if the daemon drains. The caller has
//! some time to end its transaction first, unless its key was withdrawn.

use std::{sync::Arc, time::Duration};

use chicoryhollow_config::{
    Configuration,
    configuration::{Route, Versioned},
};
use chicoryhollow_core::{budget::LimitReason, prelude::*};
use pgwire::messages::{
    response::{ReadyForQuery, TransactionStatus},
    startup::ParameterStatus,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::{
    batch::{Action, CallerBatch},
    handshake::{Caller, SESSION_PARAMETER, refuse},
    statements::Statements,
};
use crate::{
    node::Node,
    stream::{Prepare, Stream},
    wire::{Frame, WireError},
};

/// How long a caller whose account or route was removed may take to end its
/// transaction, in milliseconds.
const RETIREMENT_GRACE_MS: u64 = 4_000;

/// How long a caller that keeps sending is still served outside of transactions
/// once its connection is to be closed, in milliseconds.
const IDLE_CLOSE_GRACE_MS: u64 = 1_000;

/// How long to wait for the `Sync` of a batch that was flushed, in milliseconds.
/// Some drivers flush each message and send the `Sync` right after it.
const SYNC_WAIT_MS: u64 = 50;

/// State of the caller's transaction.
pub(super) enum Transaction {
    /// No transaction is open.
    Idle,
    /// The caller began a transaction that is not open on any server yet.
    Begun(PendingBegin),
    /// A transaction is open on a server.
    Open(Box<OpenTransaction>),
    /// The transaction was aborted by the proxy, and the caller must still end it.
    Aborted,
}

/// A transaction that has run no statement yet.
#[derive(Clone)]
pub(super) struct PendingBegin {
    /// Statements that must be prepared on the connection first.
    pub(super) prepares: Vec<Prepare>,
    /// Encoded messages that open the transaction.
    pub(super) messages: bytes::Bytes,
    /// Whether the transaction is declared as read-only.
    pub(super) read_only: bool,
}

/// A transaction that is open on a server.
pub(super) struct OpenTransaction {
    /// Stream to the server's home.
    pub(super) stream: Stream,
    /// Status that the server reported: `T` or `E`.
    pub(super) status: u8,
    /// Whether the transaction is declared as read-only.
    pub(super) read_only: bool,
}

/// Why and when the connection is to be closed.
#[derive(Clone, Copy)]
struct PendingClose {
    refusal: Refusal,
    /// When the connection is closed outside of a transaction, even if the caller
    /// still sends.
    idle_deadline: Instant,
    /// When the connection is closed and an open transaction is rolled back.
    deadline: Instant,
}

/// State of one caller's connection.
pub(super) struct Session {
    pub(super) node: Arc<Node>,
    pub(super) caller: Caller,
    pub(super) statements: Statements,
    /// Size of the statements.
    pub(super) kept_bytes: usize,
    pub(super) transaction: Transaction,
    /// Time at which the caller connected.
    pub(super) connected_at: Time,
    pub(super) caller_batch: CallerBatch,
    /// Whether messages are skipped until a `Sync`.
    pub(super) is_skipping: bool,
    configurations: watch::Receiver<Arc<Versioned>>,
    /// Session token that the caller last received.
    reported_token: String,
    pending_close: Option<PendingClose>,
    /// When the last batch ended.
    last_activity: Instant,
    /// When a batch that was flushed is answered even without its `Sync`.
    flush_due: Option<Instant>,
}

/// Why a waiting session continues.
enum WakeReason {
    Message(Option<Frame>),
    Configuration,
    Drain,
    Deadline,
}

impl Session {
    /// Creates the session of an accepted caller.
    pub(super) fn new(node: &Arc<Node>, caller: Caller) -> Self {
        let mut configurations = node.configuration.subscribe();
        // The key may have been withdrawn during the start-up, so the newest
        // configuration is checked at once.
        configurations.mark_changed();
        Session {
            node: Arc::clone(node),
            caller,
            statements: Statements::new(),
            kept_bytes: 0,
            transaction: Transaction::Idle,
            connected_at: node.clock.now(),
            caller_batch: CallerBatch::default(),
            is_skipping: false,
            configurations,
            reported_token: String::new(),
            pending_close: None,
            last_activity: Instant::now(),
            flush_due: None,
        }
    }

    /// Serves the caller until either side ends the connection.
    pub(super) async fn run(mut self) -> Result<(), WireError> {
        loop {
            if let Some(refusal) = self.close_reason() {
                return refuse(&self.node, self.caller.connection, refusal, None).await;
            }
            let next = match self.wait().await {
                Ok(WakeReason::Message(None)) => return Ok(()),
                Ok(WakeReason::Message(Some(frame))) => self.receive(&frame),
                Ok(WakeReason::Configuration) => {
                    self.apply_configuration();
                    continue;
                }
                Ok(WakeReason::Drain) => {
                    let limit = Duration::from_millis(self.node.settings.limits.drain_ms);
                    self.schedule_close(Refusal::Draining, limit);
                    continue;
                }
                Ok(WakeReason::Deadline)
                    if self.flush_due.is_some_and(|due| Instant::now() >= due) =>
                {
                    Ok(Action::Flush)
                }
                Ok(WakeReason::Deadline) => continue,
                Err(error) => Err(error),
            };
            let done = match next {
                Ok(Action::More) => Ok(()),
                Ok(Action::Terminate) => return Ok(()),
                Ok(next) => self.handle(next).await,
                Err(error) => Err(error),
            };
            if let Err(error) = done {
                return self.close_with_error(error).await;
            }
        }
    }

    async fn handle(&mut self, next: Action) -> Result<(), WireError> {
        if next == Action::Flush && self.awaits_sync() {
            return Ok(());
        }
        self.flush_due = None;
        let caller_batch = std::mem::take(&mut self.caller_batch);
        // The state of a running batch is large and most callers are idle, so it
        // is boxed to keep the task small.
        let done = match next {
            Action::Flush => Box::pin(self.flush_batch(caller_batch)).await,
            _ => Box::pin(self.run_batch(caller_batch)).await,
        };
        self.last_activity = Instant::now();
        self.caller.connection.finish_batch();
        done
    }

    /// Returns whether to wait for the `Sync` of a batch that was flushed.
    ///
    /// The server receives a `Sync` instead of a `Flush`. Outside of a transaction
    /// this `Sync` would commit an execution before the caller sends its own.
    fn awaits_sync(&mut self) -> bool {
        if !matches!(self.transaction, Transaction::Idle) || !self.caller_batch.uses_portals() {
            return false;
        }
        let now = Instant::now();
        let due = *self.flush_due.get_or_insert(now + Duration::from_millis(SYNC_WAIT_MS));
        now < due
    }

    /// Closes the connection after `error`. Reports the error to the caller first,
    /// unless the connection is lost.
    async fn close_with_error(self, error: WireError) -> Result<(), WireError> {
        let connection_lost =
            matches!(&error, WireError::Io(e) if e.kind() != std::io::ErrorKind::InvalidData);
        if let WireError::Limit(LimitReason::SlowReader) = error {
            return Err(error);
        }
        if !connection_lost {
            let refusal = match &error {
                WireError::Limit(_) => Refusal::TooManyConnections,
                _ => Refusal::Malformed,
            };
            let detail = error.to_string();
            refuse(&self.node, self.caller.connection, refusal, Some(&detail)).await?;
        }
        Err(error)
    }

    async fn wait(&mut self) -> Result<WakeReason, WireError> {
        let deadline = self.next_deadline();
        tokio::select! {
            biased;
            _ = self.configurations.changed() => Ok(WakeReason::Configuration),
            frame = self.caller.connection.read() => Ok(WakeReason::Message(frame?)),
            () = self.node.drain_started(), if self.pending_close.is_none() => Ok(WakeReason::Drain),
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                Ok(WakeReason::Deadline)
            }
        }
    }

    fn receive(&mut self, frame: &Frame) -> Result<Action, WireError> {
        if self.is_skipping && !matches!(frame.tag(), b'S' | b'X') {
            return Ok(Action::More);
        }
        if !self.has_room_for(frame) {
            self.caller_batch.refuse_statement();
            return Ok(Action::More);
        }
        let next = self.caller_batch.add(frame, &self.statements, &self.node.entry.analyses)?;
        if self.caller_batch.messages.len() > self.node.settings.limits.message_bytes {
            let text = "too many messages without a Sync";
            return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, text).into());
        }
        Ok(next)
    }

    /// Returns the time of the next deadline, if there is one.
    fn next_deadline(&self) -> Option<Instant> {
        let pending_close = self
            .pending_close
            .map(|close| if self.is_idle() { close.idle_deadline } else { close.deadline });
        let idle = match self.transaction {
            Transaction::Open(_) => Some(self.last_activity + self.idle_timeout()),
            _ => None,
        };
        pending_close.into_iter().chain(idle).chain(self.flush_due).min()
    }

    /// Returns how long an open transaction may be idle.
    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.node.settings.limits.request_ms)
    }

    /// Returns whether no transaction is open and no message was collected.
    fn is_idle(&self) -> bool {
        matches!(self.transaction, Transaction::Idle) && self.caller_batch.is_empty()
    }

    /// Returns the reason to close the connection now, if there is one.
    fn close_reason(&mut self) -> Option<Refusal> {
        let now = Instant::now();
        if let Transaction::Open(_) = self.transaction
            && now >= self.last_activity + self.idle_timeout()
        {
            return Some(Refusal::TransactionEnded);
        }
        let pending_close = self.pending_close?;
        let quiet = !self.caller.connection.has_input() || now >= pending_close.idle_deadline;
        let ends = (self.is_idle() && quiet) || now >= pending_close.deadline;
        ends.then_some(pending_close.refusal)
    }

    /// Checks the caller against the newest configuration, and schedules or
    /// cancels the closing of the connection.
    fn apply_configuration(&mut self) {
        let versioned = Arc::clone(&self.configurations.borrow_and_update());
        let configuration = &versioned.configuration;
        match self.check_credentials(configuration) {
            Ok(()) if !configuration.is_in_service(&self.node.settings.data_centre) => {
                let limit = Duration::from_millis(self.node.settings.limits.drain_ms);
                self.schedule_close(Refusal::Draining, limit);
            }
            // The data centre, account or route may be restored before the
            // connection is closed.
            Ok(()) if !self.node.is_draining() => self.pending_close = None,
            Ok(()) => {}
            Err(Refusal::Draining) => {
                self.schedule_close(Refusal::Draining, Duration::from_millis(RETIREMENT_GRACE_MS));
            }
            Err(refusal) => self.schedule_close(refusal, Duration::ZERO),
        }
    }

    /// Returns an error if the caller may no longer be served.
    ///
    /// A withdrawn key closes the connection at once. An account or a route that
    /// was removed is reported as [`Refusal::Draining`] and leaves the caller time
    /// to end its transaction.
    fn check_credentials(&self, configuration: &Configuration) -> Result<(), Refusal> {
        let credentials = &self.caller.credentials;
        let kept = configuration.accounts.contains_key(&credentials.account);
        configuration.check_admission(credentials).map_err(|refusal| match refusal {
            Refusal::BadKey if kept => Refusal::BadKey,
            _ => Refusal::Draining,
        })
    }

    /// Schedules the closing of the connection after `grace`, unless it is due
    /// earlier.
    fn schedule_close(&mut self, refusal: Refusal, grace: Duration) {
        let now = Instant::now();
        let idle_deadline = now + Duration::from_millis(IDLE_CLOSE_GRACE_MS).min(grace);
        if self.pending_close.is_none_or(|close| close.deadline > now + grace) {
            self.pending_close =
                Some(PendingClose { refusal, idle_deadline, deadline: now + grace });
        }
    }

    /// Returns the caller's route.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the caller may no longer use the route.
    pub(super) fn route(&self) -> Result<Route, Refusal> {
        let versioned = self.node.configuration();
        let credentials = &self.caller.credentials;
        versioned.configuration.check_admission(credentials)?;
        let route = versioned.configuration.routes.get(&credentials.route);
        route.cloned().ok_or(Refusal::RouteUnknown)
    }

    /// Sends the `ReadyForQuery` that ends the answer to a batch.
    pub(super) async fn send_ready(&mut self) -> Result<(), WireError> {
        let status = match &self.transaction {
            Transaction::Idle => TransactionStatus::Idle,
            Transaction::Begun(_) => TransactionStatus::Transaction,
            Transaction::Open(open) => TransactionStatus::try_from(open.status)?,
            Transaction::Aborted => TransactionStatus::Error,
        };
        if let Transaction::Idle = self.transaction {
            self.report_token();
        }
        self.caller.connection.send(&ReadyForQuery::new(status)).await
    }

    /// Queues the session token for the caller if it has changed.
    fn report_token(&mut self) {
        let Some(token) = &self.caller.token else { return };
        let text = token.to_string();
        if text != self.reported_token {
            let status = ParameterStatus::new(SESSION_PARAMETER.to_owned(), text.clone());
            self.caller.connection.queue_message(&status);
            self.reported_token = text;
        }
    }
}
