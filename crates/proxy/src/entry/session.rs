//! One caller's connection after its start-up.

use std::{sync::Arc, time::Duration};

use chicoryhollow_config::{
    Configuration,
    configuration::{Route, Versioned},
};
use chicoryhollow_core::prelude::*;
use pgwire::messages::{
    response::{ReadyForQuery, TransactionStatus},
    startup::ParameterStatus,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::{
    batch::{Effect, Gathered, Next},
    handshake::{Caller, SESSION_PARAMETER, refuse},
    statements::Statements,
};
use crate::{
    node::Node,
    stream::{Prepare, Stream},
    wire::{Frame, WireError},
};

/// Time that a retired caller has to end its transaction, in milliseconds.
const RETIREMENT_MS: u64 = 4_000;

/// Time for which a caller that must leave is served between transactions
/// while it goes on sending, in milliseconds.
const LINGER_MS: u64 = 1_000;

/// Time for which the `Sync` of a batch that was flushed is awaited, in milliseconds:
/// some drivers flush each message and send the `Sync` right behind.
const SYNC_WAIT_MS: u64 = 50;

/// State of the caller's transaction.
pub(super) enum Transaction {
    /// None is open.
    Idle,
    /// The caller opened one, and no server was needed yet.
    Begun(Begin),
    /// One is open on a server.
    Open(Box<Open>),
    /// One was ended by the proxy, and the caller has yet to end it too.
    Aborted,
}

/// A transaction that waits for its first statement.
#[derive(Clone)]
pub(super) struct Begin {
    /// Statements that must be prepared first.
    pub(super) prepares: Vec<Prepare>,
    /// Encoded messages that open it.
    pub(super) messages: bytes::Bytes,
    /// Whether it is declared as read-only.
    pub(super) read_only: bool,
}

/// A transaction that is open on a server.
pub(super) struct Open {
    /// Stream to the server's home.
    pub(super) stream: Stream,
    /// Status that the server reported: `T` or `E`.
    pub(super) status: u8,
    /// Whether it is declared as read-only.
    pub(super) read_only: bool,
}

/// Why and when the caller must leave.
#[derive(Clone, Copy)]
struct Leaving {
    refusal: Refusal,
    /// From then on a caller between transactions is cut off even if it sends.
    linger: Instant,
    /// From then on an open transaction is rolled back.
    limit: Instant,
}

/// One caller's connection.
pub(super) struct Session {
    pub(super) node: Arc<Node>,
    pub(super) caller: Caller,
    pub(super) statements: Statements,
    pub(super) transaction: Transaction,
    /// Time at which the caller connected.
    pub(super) arrived: Time,
    gathered: Gathered,
    /// Whether messages are skipped until a `Sync`.
    pub(super) skipping: bool,
    configurations: watch::Receiver<Arc<Versioned>>,
    reported: String,
    leaving: Option<Leaving>,
    active: Instant,
    /// When a batch that was flushed is answered even without its `Sync`.
    flush_due: Option<Instant>,
}

/// What wakes a session.
enum Wake {
    Message(Option<Frame>),
    Configuration,
    Drain,
    Limit,
}

impl Session {
    /// Makes the session of an accepted caller.
    pub(super) fn new(node: &Arc<Node>, caller: Caller) -> Self {
        let mut configurations = node.configuration.subscribe();
        // The key may have been withdrawn during the start-up.
        configurations.mark_changed();
        Session {
            node: Arc::clone(node),
            caller,
            statements: Statements::new(),
            transaction: Transaction::Idle,
            arrived: node.clock.now(),
            gathered: Gathered::default(),
            skipping: false,
            configurations,
            reported: String::new(),
            leaving: None,
            active: Instant::now(),
            flush_due: None,
        }
    }

    /// Serves the caller until either side ends the connection.
    pub(super) async fn run(mut self) -> Result<(), WireError> {
        loop {
            if let Some(refusal) = self.must_end() {
                return refuse(&self.node, self.caller.connection, refusal, None).await;
            }
            let next = match self.wait().await {
                Ok(Wake::Message(None)) => return Ok(()),
                Ok(Wake::Message(Some(frame))) => self.receive(&frame),
                Ok(Wake::Configuration) => {
                    self.review();
                    continue;
                }
                Ok(Wake::Drain) => {
                    let limit = Duration::from_millis(self.node.settings.limits.drain_ms);
                    self.leave(Refusal::Draining, limit);
                    continue;
                }
                Ok(Wake::Limit) if self.flush_due.is_some_and(|due| Instant::now() >= due) => {
                    Ok(Next::Flush)
                }
                Ok(Wake::Limit) => continue,
                Err(error) => Err(error),
            };
            let done = match next {
                Ok(Next::More) => Ok(()),
                Ok(Next::Terminate) => return Ok(()),
                Ok(next) => self.handle(next).await,
                Err(error) => Err(error),
            };
            if let Err(error) = done {
                return self.end_with(error).await;
            }
        }
    }

    async fn handle(&mut self, next: Next) -> Result<(), WireError> {
        if next == Next::Flush && self.awaits_sync() {
            return Ok(());
        }
        self.flush_due = None;
        let gathered = std::mem::take(&mut self.gathered);
        // The state of a running batch is large, and most callers are idle.
        let done = match next {
            Next::Flush => Box::pin(self.flush_batch(gathered)).await,
            _ => Box::pin(self.run_batch(gathered)).await,
        };
        self.active = Instant::now();
        done
    }

    /// Tells whether a batch that was flushed is to be answered with its `Sync`.
    ///
    /// The server gets a `Sync` in place of a `Flush`, which would commit an execution
    /// outside of a transaction before the caller says so.
    fn awaits_sync(&mut self) -> bool {
        if !matches!(self.transaction, Transaction::Idle) || !self.gathered.uses_portals() {
            return false;
        }
        let now = Instant::now();
        let due = *self.flush_due.get_or_insert(now + Duration::from_millis(SYNC_WAIT_MS));
        now < due
    }

    /// Tells the caller of its error and closes the connection.
    async fn end_with(self, error: WireError) -> Result<(), WireError> {
        let broken =
            matches!(&error, WireError::Io(e) if e.kind() != std::io::ErrorKind::InvalidData);
        if !broken {
            let detail = error.to_string();
            refuse(&self.node, self.caller.connection, Refusal::Malformed, Some(&detail)).await?;
        }
        Err(error)
    }

    async fn wait(&mut self) -> Result<Wake, WireError> {
        let limit = self.limit();
        tokio::select! {
            biased;
            _ = self.configurations.changed() => Ok(Wake::Configuration),
            frame = self.caller.connection.read() => Ok(Wake::Message(frame?)),
            () = self.node.drain_started(), if self.leaving.is_none() => Ok(Wake::Drain),
            () = sleep_until(limit.unwrap_or_else(Instant::now)), if limit.is_some() => {
                Ok(Wake::Limit)
            }
        }
    }

    fn receive(&mut self, frame: &Frame) -> Result<Next, WireError> {
        if self.skipping && !matches!(frame.tag(), b'S' | b'X') {
            return Ok(Next::More);
        }
        let next = self.gathered.add(frame, &self.statements, &self.node.entry.shapes)?;
        if self.gathered.messages.len() > self.node.settings.limits.message_bytes {
            let text = "too many messages without a Sync";
            return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, text).into());
        }
        Ok(next)
    }

    /// Returns when the session must be looked at even if nothing happens.
    fn limit(&self) -> Option<Instant> {
        let leaving = self
            .leaving
            .map(|leaving| if self.is_between() { leaving.linger } else { leaving.limit });
        let idle = match self.transaction {
            Transaction::Open(_) => Some(self.active + self.idle_limit()),
            _ => None,
        };
        leaving.into_iter().chain(idle).chain(self.flush_due).min()
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_millis(self.node.settings.limits.request_ms)
    }

    fn is_between(&self) -> bool {
        matches!(self.transaction, Transaction::Idle) && self.gathered.is_empty()
    }

    /// Returns why the connection ends now, if so.
    fn must_end(&mut self) -> Option<Refusal> {
        let now = Instant::now();
        if let Transaction::Open(_) = self.transaction
            && now >= self.active + self.idle_limit()
        {
            return Some(Refusal::TransactionEnded);
        }
        let leaving = self.leaving?;
        let quiet = !self.caller.connection.has_input() || now >= leaving.linger;
        let ends = (self.is_between() && quiet) || now >= leaving.limit;
        ends.then_some(leaving.refusal)
    }

    /// Judges the caller by the newest configuration.
    fn review(&mut self) {
        let versioned = Arc::clone(&self.configurations.borrow_and_update());
        let configuration = &versioned.configuration;
        match self.standing(configuration) {
            Ok(()) if !configuration.is_in_service(&self.node.settings.data_centre) => {
                let limit = Duration::from_millis(self.node.settings.limits.drain_ms);
                self.leave(Refusal::Draining, limit);
            }
            // What was taken out may be put back before the caller has left.
            Ok(()) if !self.node.is_draining() => self.leaving = None,
            Ok(()) => {}
            Err(Refusal::Draining) => {
                self.leave(Refusal::Draining, Duration::from_millis(RETIREMENT_MS));
            }
            Err(refusal) => self.leave(refusal, Duration::ZERO),
        }
    }

    /// Tells why the caller may no longer be served, if so.
    ///
    /// A withdrawn key ends at once. An account or a route that was retired is
    /// told as [`Refusal::Draining`] and leaves time to end a transaction.
    fn standing(&self, configuration: &Configuration) -> Result<(), Refusal> {
        let credentials = &self.caller.credentials;
        let kept = configuration.accounts.contains_key(&credentials.account);
        configuration.check_admission(credentials).map_err(|refusal| match refusal {
            Refusal::BadKey if kept => Refusal::BadKey,
            _ => Refusal::Draining,
        })
    }

    fn leave(&mut self, refusal: Refusal, grace: Duration) {
        let now = Instant::now();
        let linger = now + Duration::from_millis(LINGER_MS).min(grace);
        if self.leaving.is_none_or(|leaving| leaving.limit > now + grace) {
            self.leaving = Some(Leaving { refusal, linger, limit: now + grace });
        }
    }

    /// Returns the route, unless the caller may no longer use it.
    pub(super) fn route(&self) -> Result<Route, Refusal> {
        let versioned = self.node.configuration();
        let credentials = &self.caller.credentials;
        versioned.configuration.check_admission(credentials)?;
        let route = versioned.configuration.routes.get(&credentials.route);
        route.cloned().ok_or(Refusal::RouteUnknown)
    }

    /// Applies what the answered messages change.
    pub(super) fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Define(name, statement) => {
                    self.statements.insert(name, statement);
                }
                Effect::Remove(name) => drop(self.statements.remove(&name)),
            }
        }
        if self.statements.is_empty() {
            self.statements = Statements::new();
        }
    }

    /// Ends the answer to a batch.
    pub(super) async fn ready(&mut self) -> Result<(), WireError> {
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

    /// Tells the caller its token when it changed.
    fn report_token(&mut self) {
        let Some(token) = &self.caller.token else { return };
        let text = token.to_string();
        if text != self.reported {
            let status = ParameterStatus::new(SESSION_PARAMETER.to_owned(), text.clone());
            self.caller.connection.queue_message(&status);
            self.reported = text;
        }
    }
}
