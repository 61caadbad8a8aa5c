//! Runs one statement on a backend server, with retries.
//!
//! A statement that certainly did not run is retried, on another server if that
//! can help, until the time objective of its route is used up. Reads are also
//! retried after their connection was lost. Any other failure of a write is
//! reported to the caller, who must know whether the write may have run.

mod read;
mod record;

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId, Position, Refusal, ServerId, SessionToken, Time, waiting::Priority,
};
use indexmap::IndexMap;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::{
    catalog::{Freshness, Route},
    clock,
    connection::Connection,
    engine::Engine,
    group::Group,
    pool::{ConnectionRequest, PoolError},
    seam::{Directory, LinkError, ServerProtocol},
    statement::{
        Access, Answer, Body, Command, Fault, FaultKind, PreparedStatement, Reply, Served,
    },
    usage::Run,
};

/// Pause before a statement is retried on the same server.
const RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Result of a statement that a backend server ran.
#[derive(Debug)]
pub(crate) struct Completed {
    pub(crate) served: Served,
    pub(crate) position: Option<Position>,
}

/// Why a statement has no result.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The proxy refused the statement.
    Refused(Refusal),
    /// A backend server refused or failed the statement.
    Fault(Fault),
}

impl Failure {
    /// Returns the reply to the caller.
    pub(crate) fn into_reply(self) -> Reply {
        match self {
            Failure::Refused(refusal) => Reply::Refused(refusal),
            Failure::Fault(fault) => Reply::Fault(fault),
        }
    }
}

/// Context in which one statement runs.
pub(crate) struct Attempt<'a, S: ServerProtocol, D: Directory> {
    pub(crate) engine: &'a Rc<Engine<S, D>>,
    pub(crate) route: &'a Route,
    pub(crate) account: &'a AccountId,
    pub(crate) group: Rc<RefCell<Group>>,
    /// Id that the caller gave the request.
    pub(crate) id: &'a str,
    /// Variables of the session.
    pub(crate) values: &'a IndexMap<String, String>,
    /// Positions of the session's commits.
    pub(crate) seen: &'a SessionToken,
    /// When the attempt began, from which its time limits count.
    pub(crate) start: Time,
    /// Whether the statement begins an operation. Usage reports count operations.
    pub(crate) begins: bool,
}

impl<S: ServerProtocol, D: Directory> Attempt<'_, S, D> {
    /// Runs a read outside of a transaction.
    pub(crate) async fn read(&self, body: &Body) -> Result<Completed, Failure> {
        self.engine.retry_budget.borrow_mut().record_request();
        if self.route.freshness == Freshness::Newest {
            return self.read_newest(body).await;
        }
        let pass = |after| Command::Pass { id: self.id.to_owned(), body: body.clone(), after };
        let (connection, answer) = self.run_on_replica(pass, body.prepared_statement()).await?;
        connection.give_back();
        completed(answer)
    }

    /// Runs a write outside of a transaction.
    pub(crate) async fn write(&self, body: &Body) -> Result<Completed, Failure> {
        self.engine.retry_budget.borrow_mut().record_request();
        loop {
            let mut connection = self.connect_primary(body.prepared_statement(), false).await?;
            let server = connection.server();
            if !self.engine.is_write_safe(&self.group, &server).await {
                connection.give_back();
                return Err(self.refuse_cut_off(&server, Refusal::NoPrimary));
            }
            let asked = clock::now();
            let pass = Command::Pass { id: self.id.to_owned(), body: body.clone(), after: None };
            let answer = match self.exchange(&mut connection, pass, self.remaining()).await {
                Ok(answer) => answer,
                Err(error) => return Err(self.record_in_doubt(&server, &error, asked)),
            };
            connection.give_back();
            match &answer.result {
                Ok(_) => {
                    self.confirm_commit(&server, answer.position, asked).await?;
                    return completed(answer);
                }
                Err(fault) if fault.kind.is_not_run() => self.await_retry(fault, &server).await?,
                Err(fault) => return Err(Failure::Fault(fault.clone())),
            }
        }
    }

    /// Begins a transaction and returns the connection on which it is open.
    pub(crate) async fn begin(&self, access: Access) -> Result<Connection<S>, Failure> {
        self.engine.retry_budget.borrow_mut().record_request();
        if access == Access::Write || self.route.freshness == Freshness::Newest {
            return self.connect_primary(None, true).await;
        }
        let (connection, _) =
            self.run_on_replica(|after| Command::Begin(Access::Read, after), None).await?;
        Ok(connection)
    }

    /// Runs a statement on the connection of its transaction.
    ///
    /// # Errors
    ///
    /// Fails with the reply for the caller. The connection must not be used
    /// afterwards.
    pub(crate) async fn run_in_transaction(
        &self,
        connection: &mut Connection<S>,
        body: &Body,
        is_commit: bool,
        has_written: bool,
    ) -> Result<Answer, Failure> {
        let ended = |error: LinkError| {
            self.record_retry("transaction_lost", &error.to_string());
            Failure::Refused(Refusal::TransactionEnded)
        };
        connection.prepare(self.values, body.prepared_statement()).await.map_err(ended)?;
        let server = connection.server();
        if is_commit && has_written && !self.engine.is_write_safe(&self.group, &server).await {
            return Err(self.refuse_cut_off(&server, Refusal::TransactionEnded));
        }
        loop {
            let asked = clock::now();
            let pass = Command::Pass { id: self.id.to_owned(), body: body.clone(), after: None };
            let answer = match self.exchange(connection, pass, self.remaining()).await {
                Ok(answer) => answer,
                Err(error) if is_commit && has_written => {
                    return Err(self.record_in_doubt(&server, &error, asked));
                }
                Err(error) => return Err(ended(error)),
            };
            match &answer.result {
                Err(fault)
                    if fault.kind == FaultKind::Busy
                        && self.has_time_left()
                        && self.may_retry(fault.kind) =>
                {
                    self.record_retry(fault.kind.label(), server.as_str());
                    self.pause().await;
                }
                Err(fault) => {
                    if fault.kind == FaultKind::NotPrimary {
                        self.record_denial(&server);
                    }
                    return Err(Failure::Fault(fault.clone()));
                }
                Ok(_) => return Ok(answer),
            }
        }
    }

    /// Reads on the primary in a transaction that the proxy opens, because every
    /// statement of a transaction fails on a server that is no longer the primary.
    async fn read_newest(&self, body: &Body) -> Result<Completed, Failure> {
        loop {
            let mut connection = self.connect_primary(body.prepared_statement(), true).await?;
            let server = connection.server();
            let pass = Command::Pass { id: self.id.to_owned(), body: body.clone(), after: None };
            match self.exchange(&mut connection, pass, self.remaining()).await {
                Ok(answer) => {
                    connection.roll_back().await;
                    match &answer.result {
                        Ok(_) => return completed(answer),
                        Err(fault) if fault.kind.is_not_run() => {
                            self.await_retry(fault, &server).await?;
                        }
                        Err(fault) => return Err(Failure::Fault(fault.clone())),
                    }
                }
                Err(error) => {
                    self.group.borrow_mut().record_primary_failure(&server, clock::now());
                    self.record_retry("read_interrupted", &error.to_string());
                    if !self.has_time_left() {
                        return Err(Failure::Refused(Refusal::ReadInterrupted));
                    }
                }
            }
        }
    }

    /// Returns a connection to the primary that has the session's variables, and
    /// on which a new transaction is open if `in_transaction`.
    async fn connect_primary(
        &self,
        statement: Option<&PreparedStatement>,
        in_transaction: bool,
    ) -> Result<Connection<S>, Failure> {
        let priority = Priority::new(self.route.priority);
        loop {
            let primary = self.group.borrow().primary().map(|entry| entry.server.clone());
            let Some(server) = primary else {
                self.wait_for_primary_news(Refusal::NoPrimary).await?;
                continue;
            };
            let waited = clock::now();
            let taken = tokio::select! {
                taken = self.connect_as(priority, &server, self.retry_time(), statement) => taken,
                // Nothing was sent yet, so the statement goes on to the new primary.
                () = self.wait_for_other_primary(&server) => continue,
            };
            self.engine.metrics.waits.observe(clock::now().since(waited).as_secs_f64());
            let mut connection = match taken {
                Ok(connection) => connection,
                Err(error) => {
                    self.record_connect_failure(&server, &error);
                    // All connections stay in use for longer than this statement may wait.
                    if matches!(error, PoolError::Exhausted) || !self.has_time_left() {
                        return Err(Failure::Refused(refusal_for(&error)));
                    }
                    self.pause().await;
                    continue;
                }
            };
            if !in_transaction {
                return Ok(connection);
            }
            match self.begin_on_primary(&mut connection).await {
                Ok(()) => return Ok(connection),
                Err(label) => self.record_retry(label, server.as_str()),
            }
            if !self.has_time_left() {
                return Err(Failure::Refused(Refusal::ServerUnreachable));
            }
        }
    }

    /// Returns a connection for a read that a replica may run. If load decides, what only the
    /// primary can run goes before such reads there.
    async fn connect(
        &self,
        server: &ServerId,
        patience: Duration,
        statement: Option<&PreparedStatement>,
    ) -> Result<Connection<S>, PoolError> {
        let priority = Priority::new(self.route.priority);
        let is_primary = self.group.borrow().view.primary.as_ref() == Some(server);
        let yields = self.engine.settings.load_aware && is_primary;
        let priority = if yields { priority.lowered() } else { priority };
        self.connect_as(priority, server, patience, statement).await
    }

    async fn connect_as(
        &self,
        priority: Priority,
        server: &ServerId,
        patience: Duration,
        statement: Option<&PreparedStatement>,
    ) -> Result<Connection<S>, PoolError> {
        let request = ConnectionRequest { account: self.account, priority, patience };
        self.engine.connect(server, request, self.values, statement).await
    }

    /// Begins a transaction, which fails if the server is no longer the primary.
    async fn begin_on_primary(&self, connection: &mut Connection<S>) -> Result<(), &'static str> {
        let server = connection.server();
        let missed = |_| {
            self.group.borrow_mut().record_primary_failure(&server, clock::now());
            "connection_lost"
        };
        let asked = clock::now();
        let answer =
            connection.run_control(Command::Begin(Access::Write, None)).await.map_err(missed)?;
        match (answer.result, answer.position) {
            (Ok(_), Some(position)) => {
                self.record_primary(&server, position, asked);
                Ok(())
            }
            (Ok(_), None) => Err("server_without_position"),
            (Err(fault), _) => {
                if fault.kind == FaultKind::NotPrimary {
                    self.record_denial(&server);
                }
                Err(fault.kind.label())
            }
        }
    }

    /// Waits for news about a primary; fails with `refusal` when the time for
    /// retries is used up.
    async fn wait_for_primary_news(&self, refusal: Refusal) -> Result<(), Failure> {
        if !self.has_time_left() {
            return Err(Failure::Refused(refusal));
        }
        let limit = self.retry_time().min(Duration::from_millis(50));
        // After a timeout the caller checks the state again.
        let _ = timeout(limit, self.engine.primary_news.notified()).await;
        Ok(())
    }

    /// Waits until `server` is no longer the known primary.
    async fn wait_for_other_primary(&self, server: &ServerId) {
        loop {
            let news = self.engine.primary_news.notified();
            if self.group.borrow().view.primary.as_ref() != Some(server) {
                return;
            }
            news.await;
        }
    }

    async fn exchange(
        &self,
        connection: &mut Connection<S>,
        command: Command,
        limit: Duration,
    ) -> Result<Answer, LinkError> {
        let run = self.begins.then(|| Run::new(self.engine, self.account, &command));
        let answer = timeout(limit, connection.run(command)).await;
        let answer = answer.unwrap_or(Err(LinkError::TimedOut));
        if let Some(run) = run {
            run.end(&answer);
        }
        answer
    }

    /// Records why a statement did not run and pauses before the retry; fails when
    /// the time for retries is used up.
    async fn await_retry(&self, fault: &Fault, server: &ServerId) -> Result<(), Failure> {
        if fault.kind == FaultKind::NotPrimary {
            self.record_denial(server);
        }
        self.record_retry(fault.kind.label(), server.as_str());
        if !self.has_time_left() || !self.may_retry(fault.kind) {
            return Err(Failure::Fault(fault.clone()));
        }
        self.pause().await;
        Ok(())
    }

    /// Returns whether the VM's budget allows a retry after `kind`. Retries during a failover
    /// are not limited, since they do not add to the load of a server that has too much.
    fn may_retry(&self, kind: FaultKind) -> bool {
        let is_limited = self.engine.settings.load_aware && kind == FaultKind::Busy;
        if !is_limited || self.engine.retry_budget.borrow_mut().try_take() {
            return true;
        }
        self.engine.record_denied_retry();
        false
    }

    /// Pauses before a retry. If load decides, the pauses vary, so that statements that failed
    /// together are not retried together.
    async fn pause(&self) {
        let pause = match self.engine.settings.load_aware {
            true => RETRY_PAUSE.mul_f64(self.engine.rng.borrow_mut().random_range(0.5..1.5)),
            false => RETRY_PAUSE,
        };
        sleep(pause).await;
    }

    /// Returns the time left until the statement's timeout.
    fn remaining(&self) -> Duration {
        (self.start + self.route.timeout).since(clock::now())
    }

    /// Returns the time left in which another try may start.
    fn retry_time(&self) -> Duration {
        let retry_time = self.route.objective.min(self.route.timeout);
        (self.start + retry_time).since(clock::now())
    }

    fn has_time_left(&self) -> bool {
        !self.retry_time().is_zero()
    }
}

fn completed(answer: Answer) -> Result<Completed, Failure> {
    let position = answer.position;
    answer.result.map(|served| Completed { served, position }).map_err(Failure::Fault)
}

fn refusal_for(error: &PoolError) -> Refusal {
    match error {
        PoolError::Exhausted => Refusal::QueueFull,
        PoolError::Full => Refusal::TooManyConnections,
        PoolError::Connect(_) => Refusal::ServerUnreachable,
    }
}
