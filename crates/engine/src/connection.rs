//! Connections to backend servers, pooled on this VM or forwarded to another.
//!
//! Only a few VMs, the homes of a server, own pooled connections to it. A
//! statement that arrives on another VM runs on a forwarded connection: its
//! commands and their answers pass over the link to a home. When the link breaks,
//! the home closes its pooled connection, which rolls back the open transaction.
//!
//! The peer messages call a forwarded connection a lease (`LeaseOpen`,
//! `LeaseCommand` and so on), and their field `lease` is its number on the link.

mod serving;

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{ServerId, Time};
use chicoryhollow_peer::{
    Body,
    fleet::{
        LeaseAnswer, LeaseCommand, LeaseEnd, LeaseOpen, LeasePrepare, LeaseSetup, LeaseState,
        ServerReport,
    },
};
use indexmap::IndexMap;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};

use crate::{
    clock,
    engine::Engine,
    fleet::Link,
    load::{HomeMeter, ReportRecord, take_measured},
    pool::{ConnectionRequest, PoolError, PooledConnection, SETUP_TIMEOUT},
    seam::{Directory, LinkError, ServerProtocol},
    statement::{Access, Answer, Command, PreparedStatement},
};

/// Time for a home to answer a request for a connection, in addition to the time
/// that it waits for a free one.
const OPEN_MARGIN: Duration = Duration::from_millis(900);

/// Values of [`LeaseEnd::how`]: how the home ends the connection.
const END_CLOSE: u32 = 0;
const END_GIVE_BACK: u32 = 1;
const END_ROLL_BACK: u32 = 2;

/// Values of [`LeaseState::error`]: why there is no connection.
const NO_ERROR: u32 = 0;
const ERROR_EXHAUSTED: u32 = 1;
const ERROR_FULL: u32 = 2;
const ERROR_UNREACHABLE: u32 = 3;

/// A message of the home to the user of a forwarded connection.
#[derive(Debug)]
pub(crate) enum HomeMessage {
    /// Whether the connection was opened or prepared.
    State(LeaseState),
    /// The answer to a command, or that the connection was lost.
    Answer(LeaseAnswer),
}

/// A connection in use.
pub(crate) enum Connection<S: ServerProtocol> {
    /// A pooled connection of this VM, with what measures its use.
    Local(PooledConnection<S>, Option<HomeMeter<S>>),
    /// A connection forwarded to another VM.
    Remote(RemoteConnection),
}

/// A connection forwarded to a home of the server. Dropping it closes the pooled
/// connection of the home.
pub(crate) struct RemoteConnection {
    link: Rc<Link>,
    lease: u64,
    server: ServerId,
    answers: UnboundedReceiver<HomeMessage>,
    ended: bool,
    /// Records what the home reports, if decisions depend on it.
    reports: Option<ReportRecord>,
}

impl<S: ServerProtocol> Connection<S> {
    /// Returns the server of the connection.
    pub(crate) fn server(&self) -> ServerId {
        match self {
            Connection::Local(pooled, _) => pooled.server(),
            Connection::Remote(remote) => remote.server.clone(),
        }
    }

    /// Runs a command and returns its answer, without a time limit.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn run(&mut self, command: Command) -> Result<Answer, LinkError> {
        match self {
            Connection::Local(pooled, Some(meter)) => meter.run_own(pooled, command).await,
            Connection::Local(pooled, None) => pooled.run(command).await,
            Connection::Remote(remote) => remote.run(command).await,
        }
    }

    /// Runs a command that does not count against the server's limit of
    /// statements, within [`SETUP_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or no answer arrives in time.
    pub(crate) async fn run_control(&mut self, command: Command) -> Result<Answer, LinkError> {
        timeout(SETUP_TIMEOUT, self.run(command)).await.unwrap_or(Err(LinkError::TimedOut))
    }

    /// Sets the variables of a session on the connection, and prepares `statement`
    /// if given.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the server refuses.
    pub(crate) async fn prepare(
        &mut self,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<(), LinkError> {
        match self {
            Connection::Local(pooled, _) => pooled.prepare(values, statement).await,
            Connection::Remote(remote) => {
                if values.is_empty() && statement.is_none() {
                    return Ok(());
                }
                remote.prepare(values, statement).await
            }
        }
    }

    /// Rolls back the open transaction and returns the connection to its pool.
    pub(crate) async fn roll_back(self) {
        match self {
            Connection::Local(pooled, _) => pooled.roll_back().await,
            Connection::Remote(remote) => remote.end(END_ROLL_BACK),
        }
    }

    /// Returns the connection, which must be outside of a transaction, to its pool.
    pub(crate) fn give_back(self) {
        match self {
            Connection::Local(pooled, _) => pooled.give_back(),
            Connection::Remote(remote) => remote.end(END_GIVE_BACK),
        }
    }
}

impl RemoteConnection {
    async fn run(&mut self, command: Command) -> Result<Answer, LinkError> {
        let json = serde_json::to_vec(&command).map_err(|_| LinkError::Malformed("command"))?;
        let asked = clock::now();
        self.send(Body::LeaseCommand(LeaseCommand { lease: self.lease, command: json.into() }))?;
        match self.answers.recv().await {
            Some(HomeMessage::Answer(answer)) if answer.answer.is_some() => {
                self.record_run(&command, &answer, asked);
                let json = answer.answer.unwrap_or_default();
                serde_json::from_slice(&json).map_err(|_| LinkError::Malformed("answer"))
            }
            _ => {
                self.ended = true;
                Err(LinkError::Closed)
            }
        }
    }

    async fn prepare(
        &mut self,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<(), LinkError> {
        let setup = Some(setup(values, statement));
        self.send(Body::LeasePrepare(LeasePrepare { lease: self.lease, setup }))?;
        let state = timeout(SETUP_TIMEOUT * 2, self.answers.recv()).await;
        match state.map_err(|_| LinkError::TimedOut)? {
            Some(HomeMessage::State(LeaseState { error: NO_ERROR, .. })) => Ok(()),
            _ => Err(LinkError::Closed),
        }
    }

    fn record_opened(&mut self, report: Option<&ServerReport>, asked: Time) {
        if let Some(reports) = &mut self.reports {
            reports.record_opened(&self.link.vm, report, asked);
        }
    }

    fn record_run(&mut self, command: &Command, answer: &LeaseAnswer, asked: Time) {
        if let Some(reports) = &mut self.reports {
            reports.record_run(&self.link.vm, command, answer, asked);
        }
    }

    fn send(&self, body: Body) -> Result<(), LinkError> {
        if self.link.send(body) { Ok(()) } else { Err(LinkError::Closed) }
    }

    fn end(mut self, how: u32) {
        self.finish(how);
    }

    fn finish(&mut self, how: u32) {
        if !std::mem::replace(&mut self.ended, true) {
            // If the link cannot send, it is about to close, and the home then ends
            // the connection.
            self.link.send(Body::LeaseEnd(LeaseEnd { lease: self.lease, how }));
        }
        self.link.remove_forwarded(self.lease);
    }
}

impl Drop for RemoteConnection {
    fn drop(&mut self) {
        self.finish(END_CLOSE);
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Takes a connection to `server`, pooled or forwarded, with a session's variables set
    /// and `statement` prepared on it.
    ///
    /// # Errors
    ///
    /// Fails when no connection becomes free in time or the server cannot be reached.
    pub(crate) async fn connect(
        &self,
        server: &ServerId,
        request: ConnectionRequest<'_>,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<Connection<S>, PoolError> {
        match self.home_link(server, request.account) {
            Some(link) => {
                let setup = setup(values, statement);
                let remote = self.connect_remote(link, server, request, setup).await?;
                Ok(Connection::Remote(remote))
            }
            None => {
                let pool = self.pool(server).ok_or(PoolError::Connect(LinkError::Closed))?;
                let meter = self.home_meter(&pool);
                let mut pooled = take_measured(&pool, meter.as_ref(), request).await?;
                pooled.prepare(values, statement).await.map_err(PoolError::Connect)?;
                Ok(Connection::Local(pooled, meter))
            }
        }
    }

    async fn connect_remote(
        &self,
        link: Rc<Link>,
        server: &ServerId,
        request: ConnectionRequest<'_>,
        setup: LeaseSetup,
    ) -> Result<RemoteConnection, PoolError> {
        self.use_link(&link);
        let (sender, answers) = unbounded_channel();
        let lease = link.register_forwarded(sender);
        let reports = self.report_record(server);
        let mut remote = RemoteConnection {
            link,
            lease,
            server: server.clone(),
            answers,
            ended: false,
            reports,
        };
        let open = LeaseOpen {
            lease,
            server: server.to_string(),
            account: request.account.to_string(),
            patience_ms: u32::try_from(request.patience.as_millis()).unwrap_or(u32::MAX),
            setup: Some(setup),
            priority: request.priority.get().into(),
        };
        let asked = clock::now();
        remote.send(Body::LeaseOpen(open)).map_err(PoolError::Connect)?;
        let state = timeout(request.patience + OPEN_MARGIN, remote.answers.recv()).await;
        let error = match state {
            Ok(Some(HomeMessage::State(state))) => {
                remote.record_opened(state.report.as_ref(), asked);
                state.error
            }
            _ => ERROR_UNREACHABLE,
        };
        match error {
            NO_ERROR => Ok(remote),
            ERROR_EXHAUSTED => Err(PoolError::Exhausted),
            ERROR_FULL => Err(PoolError::Full),
            _ => Err(PoolError::Connect(LinkError::Closed)),
        }
    }
}

fn setup(values: &IndexMap<String, String>, statement: Option<&PreparedStatement>) -> LeaseSetup {
    LeaseSetup {
        values: values.iter().flat_map(|(name, value)| [name.clone(), value.clone()]).collect(),
        shape: statement.map(|statement| statement.text.clone()),
        writes: statement.is_some_and(|statement| statement.access == Access::Write),
    }
}

fn read_setup(setup: &LeaseSetup) -> (IndexMap<String, String>, Option<PreparedStatement>) {
    let pairs = setup.values.chunks_exact(2);
    let values = pairs.map(|pair| (pair[0].clone(), pair[1].clone())).collect();
    let access = if setup.writes { Access::Write } else { Access::Read };
    (values, setup.shape.clone().map(|text| PreparedStatement { access, text }))
}

/// Sends messages of another VM to the task that serves its forwarded connection.
pub(crate) type MessageSender = UnboundedSender<Body>;
