//! The session of one caller.
//!
//! A session reads requests one after the other, runs them and replies. It holds
//! the session's variables, prepared statements, open transaction, and the
//! positions of its own commits. A backend connection is held only while a
//! transaction is open on it.

mod kept;
mod lifetime;
mod pending;
mod record;
mod transaction;

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId, GroupId, Position, Refusal, SessionToken, Time, unanswered::Unanswered,
};
use futures_util::FutureExt;
use indexmap::IndexMap;
use tokio::{task::yield_now, time::timeout};

use self::{pending::PendingRequest, transaction::Transaction};
use crate::{
    attempt::Attempt,
    budget::Meter,
    catalog::Route,
    clock,
    engine::{Engine, Phase},
    seam::{Caller, Directory, LinkError, ServerProtocol},
    statement::{
        Access, Body, Fault, FaultKind, Hello, PreparedStatement, Reply, Request, Statement,
        TransactionState,
    },
};

/// Longest time to wait for the first message of a caller.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a request.
enum Flow {
    /// The caller gets this reply and the session continues.
    Reply(Reply, Option<Position>),
    /// The caller gets this refusal and the session ends.
    Close(Refusal),
}

/// Why the proxy ends a session.
struct CloseReason {
    /// Label in the log.
    label: &'static str,
    /// Answer to requests that were read and did not run.
    refusal: Refusal,
}

/// What was read from a caller: a request, or `None` if it sends no more.
type Received = Result<Option<Request>, LinkError>;

/// An event that a waiting session handles.
enum Incoming {
    Request(Received),
    Changed,
    IdleLimit,
}

/// The session of one caller.
pub(crate) struct Session<S: ServerProtocol, D: Directory> {
    engine: Rc<Engine<S, D>>,
    meter: Meter,
    /// Size of the variables and prepared statements.
    kept_bytes: usize,
    hello: Hello,
    /// Account of the key when the session began.
    account: Option<AccountId>,
    /// Positions of the commits of this session.
    seen: SessionToken,
    /// Session variables by name.
    values: IndexMap<String, String>,
    /// Prepared statements by the names that the caller chose.
    names: IndexMap<String, PreparedStatement>,
    transaction: Option<Transaction<S>>,
    /// When the caller last prepared an operation, by setting a variable or preparing a
    /// statement, if it has sent no other request since.
    prepared_at: Option<Time>,
    served: u64,
}

/// Serves a caller until it disconnects or the proxy closes the session.
///
/// # Errors
///
/// Fails when the caller's connection fails.
pub(crate) async fn serve<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    mut caller: impl Caller,
    meter: Meter,
) -> Result<(), LinkError> {
    let served = serve_session(engine, &mut caller, meter).await;
    caller.close().await;
    served
}

/// Refuses a caller before anything is read from it.
///
/// # Errors
///
/// Fails when the caller's connection fails.
pub(crate) async fn reject<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    mut caller: impl Caller,
    refusal: Refusal,
) -> Result<(), LinkError> {
    engine.metrics.refusals.with_label_values(&[refusal.row().label]).inc();
    let sent = caller.reject(&Reply::Refused(refusal)).await;
    caller.close().await;
    sent
}

async fn serve_session<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    caller: &mut impl Caller,
    meter: Meter,
) -> Result<(), LinkError> {
    let hello = timeout(HELLO_TIMEOUT, caller.read_hello()).await;
    let Some(hello) = hello.unwrap_or(Err(LinkError::TimedOut))? else { return Ok(()) };
    let mut session = Session {
        engine,
        meter,
        kept_bytes: 0,
        hello,
        account: None,
        seen: SessionToken::new(),
        values: IndexMap::new(),
        names: IndexMap::new(),
        transaction: None,
        prepared_at: None,
        served: 0,
    };
    if let Err(refusal) = session.open() {
        session.record_close(refusal.row().label);
        return caller.reject(&Reply::Refused(refusal)).await;
    }
    caller.reply(&Reply::Welcome, TransactionState::Idle, None).await?;
    session.run(caller).await
}

impl<S: ServerProtocol, D: Directory> Session<S, D> {
    async fn run(&mut self, caller: &mut impl Caller) -> Result<(), LinkError> {
        let mut catalogs = self.engine.catalogs();
        let mut phases = self.engine.phases();
        let mut avoided = self.engine.avoided();
        let mut pipelined = None;
        loop {
            let incoming = match pipelined.take() {
                Some(received) => Incoming::Request(received),
                None => self.wait(caller, &mut catalogs, &mut phases, &mut avoided).await,
            };
            let request = match incoming {
                Incoming::Request(request) => match request? {
                    Some(request) => request,
                    None => return self.close().await,
                },
                Incoming::Changed => match self.reason_to_close() {
                    Some(reason) => return self.end(caller, None, reason).await,
                    None => continue,
                },
                Incoming::IdleLimit => {
                    self.abandon_transaction().await;
                    continue;
                }
            };
            let mut request = PendingRequest::new(&self.engine, request);
            let began = clock::now();
            let given_up = self.refusal_if_given_up(&request.statement);
            let flow = tokio::select! {
                // A request that is refused at once is not reported as given up.
                biased;
                flow = self.handle(&request) => flow,
                _ = phases.wait_for(|phase| *phase == Phase::Ending) => {
                    // This, too, rolls back the work of the dropped request.
                    self.transaction = None;
                    Flow::Close(given_up)
                }
                error = wait_for_failure(caller, &mut pipelined) => {
                    // The dropped request closes its backend connection, which
                    // rolls back its work.
                    self.transaction = None;
                    request.give_up(Unanswered::ConnectionFailed);
                    return Err(error);
                }
            };
            match flow {
                Flow::Reply(reply, position) => {
                    self.record_reply(&request, &reply, began);
                    request.settle(caller.reply(&reply, self.state(), position).await)?;
                }
                Flow::Close(refusal) => {
                    let reply = Reply::Refused(refusal);
                    self.record_reply(&request, &reply, began);
                    self.close().await?;
                    request.settle(caller.reply(&reply, TransactionState::Idle, None).await)?;
                    let reason = CloseReason { label: refusal.row().label, refusal };
                    return self.end(caller, pipelined.take(), reason).await;
                }
            }
            if let Some(reason) = self.reason_to_close() {
                return self.end(caller, pipelined.take(), reason).await;
            }
        }
    }

    /// Ends the session. The requests that have arrived and did not run are refused.
    async fn end(
        &mut self,
        caller: &mut impl Caller,
        pipelined: Option<Received>,
        reason: CloseReason,
    ) -> Result<(), LinkError> {
        self.record_close(reason.label);
        self.close().await?;
        let reply = Reply::Refused(reason.refusal);
        let mut next = match pipelined {
            Some(received) => Some(received),
            None => read_arrived(caller).await,
        };
        while let Some(Ok(Some(request))) = next {
            let mut request = PendingRequest::new(&self.engine, request);
            self.record_reply(&request, &reply, clock::now());
            request.settle(caller.reply(&reply, TransactionState::Idle, None).await)?;
            next = caller.next_request().now_or_never();
        }
        Ok(())
    }

    async fn close(&mut self) -> Result<(), LinkError> {
        if let Some(connection) = self.transaction.take().and_then(|open| open.connection) {
            connection.roll_back().await;
        }
        Ok(())
    }

    /// Looks up the route and the account in the active configuration. A key that was given to
    /// another account counts as removed for the sessions that were opened with it before.
    fn resolve(&self) -> Result<(Route, AccountId), Refusal> {
        let catalog = self.engine.catalog();
        if catalog.version == 0 {
            return Err(Refusal::NotReady);
        }
        let route = catalog.routes.get(&self.hello.database).ok_or(Refusal::RouteUnknown)?;
        let account = catalog.account(route, &self.hello.key).ok_or(Refusal::BadKey)?;
        match &self.account {
            Some(first) if *first != account => Err(Refusal::BadKey),
            _ => Ok((route.clone(), account)),
        }
    }

    fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(open) if open.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    async fn handle(&mut self, request: &Request) -> Flow {
        let prepares = matches!(
            request.statement,
            Statement::Set { .. } | Statement::Prepare { .. } | Statement::Deallocate { .. }
        );
        self.prepared_at = prepares.then(clock::now);
        if self.state() == TransactionState::Failed {
            return self.handle_failed(request);
        }
        match &request.statement {
            Statement::Begin(access) => self.begin(*access).await,
            Statement::Rollback => self.roll_back().await,
            Statement::Commit => self.commit(request).await,
            Statement::Set { name, value } => self.set_variable(name, value),
            Statement::Prepare { name, prepared } => self.add_prepared(name, prepared),
            Statement::Deallocate { name } => self.remove_prepared(name),
            Statement::Run(access) => {
                self.run_statement(request, *access, Body::Text(request.text.clone())).await
            }
            Statement::Execute { name, arguments } => match self.names.get(name).cloned() {
                Some(statement) => {
                    let access = statement.access;
                    let body = Body::Prepared(statement, arguments.clone());
                    self.run_statement(request, access, body).await
                }
                None => unknown_name(name),
            },
            Statement::Unknown => Flow::Reply(Reply::Refused(Refusal::Malformed), None),
        }
    }

    /// Handles a request in a failed transaction, which can only be ended.
    fn handle_failed(&mut self, request: &Request) -> Flow {
        match request.statement {
            Statement::Rollback => {
                self.transaction = None;
                local(true)
            }
            Statement::Commit => {
                self.transaction = None;
                Flow::Reply(Reply::Refused(Refusal::TransactionEnded), None)
            }
            _ => Flow::Reply(Reply::Refused(Refusal::Malformed), None),
        }
    }

    async fn run_statement(&mut self, request: &Request, access: Access, body: Body) -> Flow {
        match self.transaction.take() {
            Some(open) => self.run_in_transaction(request, open, access, body).await,
            None => self.run_single(request, access, body).await,
        }
    }

    async fn run_single(&mut self, request: &Request, access: Access, body: Body) -> Flow {
        let (route, account) = match self.resolve() {
            Ok(found) => found,
            Err(refusal) => return Flow::Close(refusal),
        };
        if !self.engine.admits_statement(&route) {
            return Flow::Close(Refusal::Draining);
        }
        if !self.engine.admit(&route, &account).await {
            return Flow::Reply(Reply::Refused(Refusal::RateExceeded), None);
        }
        let attempt = self.attempt(&request.id, &route, &account);
        let result = match access {
            Access::Read => attempt.read(&body).await,
            Access::Write => attempt.write(&body).await,
        };
        match result {
            Ok(done) => {
                if access == Access::Write {
                    self.observe_position(&route.group, done.position);
                }
                Flow::Reply(Reply::Served(done.served), done.position)
            }
            Err(failure) => Flow::Reply(failure.into_reply(), None),
        }
    }

    fn attempt<'a>(
        &'a self,
        id: &'a str,
        route: &'a Route,
        account: &'a AccountId,
    ) -> Attempt<'a, S, D> {
        Attempt {
            engine: &self.engine,
            route,
            account,
            group: self.engine.group(&route.group),
            id,
            values: &self.values,
            seen: &self.seen,
            start: clock::now(),
            begins: true,
        }
    }

    fn observe_position(&mut self, group: &GroupId, position: Option<Position>) {
        if let Some(position) = position {
            self.seen.observe(group, position);
        }
    }
}

/// Waits for the caller's connection to fail while a request is being answered. What the
/// caller sends meanwhile is stored in `pipelined`: a caller that sends no more still reads.
async fn wait_for_failure(caller: &mut impl Caller, pipelined: &mut Option<Received>) -> LinkError {
    match caller.next_request().await {
        Err(error @ LinkError::Io(_)) => return error,
        received => *pipelined = Some(received),
    }
    std::future::pending().await
}

/// Reads what has arrived from the caller, without waiting for more.
async fn read_arrived(caller: &mut impl Caller) -> Option<Received> {
    // The runtime notices input only between the runs of tasks.
    yield_now().await;
    caller.next_request().now_or_never()
}

fn local(has_room: bool) -> Flow {
    match has_room {
        true => Flow::Reply(Reply::Local, None),
        false => Flow::Reply(Reply::Refused(Refusal::Unsupported), None),
    }
}

fn unknown_name(name: &str) -> Flow {
    let fault = Fault { kind: FaultKind::UnknownName, text: name.to_owned() };
    Flow::Reply(Reply::Fault(fault), None)
}
