//! One statement on its way to a backend server.
//!
//! A statement that surely did not run is tried again, on another server where
//! that helps, for as long as it can still be served within its objective. Reads
//! are also tried again after their connection was lost. Whatever else happens
//! to a write is told to the caller as it is.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId, Position, Refusal, ServerId, SessionToken, Time,
    route::{Choice, Permit},
};
use indexmap::IndexMap;
use slog::o;
use tokio::time::{sleep, timeout};

use crate::{
    catalog::{Freshness, Route},
    clock,
    engine::Engine,
    group::{Group, Source},
    loan::Loan,
    log::Event,
    pool::PoolError,
    seam::{Directory, LinkError, ServerProtocol},
    statement::{
        Access, Answer, Body, Command, Fault, FaultKind, PreparedStatement, Reply, Served,
    },
};

/// Pause before a statement is tried again on the same server.
const RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Longest wait for a replica that is about to reach a position.
const CATCH_UP: Duration = Duration::from_millis(80);

/// Time that a read waits for a connection before another server is tried.
const ELSEWHERE: Duration = Duration::from_millis(25);

/// Least time given to one server for a read.
const LEAST_TRY: Duration = Duration::from_millis(150);

/// How much younger a floor is than the stated age allows.
const AGE_MARGIN: Duration = Duration::from_millis(20);

/// A statement that a backend server ran.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) served: Served,
    pub(crate) position: Option<Position>,
}

/// Why a statement has no result.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The proxy gave up.
    Refused(Refusal),
    /// A backend server said so.
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

/// What one statement needs to be run.
pub(crate) struct Attempt<'a, S: ServerProtocol, D: Directory> {
    pub(crate) engine: &'a Rc<Engine<S, D>>,
    pub(crate) route: &'a Route,
    pub(crate) account: &'a AccountId,
    pub(crate) group: Rc<RefCell<Group>>,
    pub(crate) id: &'a str,
    pub(crate) values: &'a IndexMap<String, String>,
    pub(crate) seen: &'a SessionToken,
    pub(crate) start: Time,
}

impl<S: ServerProtocol, D: Directory> Attempt<'_, S, D> {
    /// Runs a read outside of a transaction.
    pub(crate) async fn read(&self, body: &Body) -> Result<Done, Failure> {
        if self.route.freshness == Freshness::Newest {
            return self.read_newest(body).await;
        }
        let pass = |after| Command::Pass { id: self.id.to_owned(), body: body.clone(), after };
        let (lease, answer) = self.on_replica(pass, body.prepared_statement()).await?;
        lease.give_back();
        finished(answer)
    }

    /// Runs a write outside of a transaction.
    pub(crate) async fn write(&self, body: &Body) -> Result<Done, Failure> {
        loop {
            let mut lease = self.on_primary(body.prepared_statement(), false).await?;
            let (server, asked) = (lease.server(), clock::now());
            let pass = Command::Pass { id: self.id.to_owned(), body: body.clone(), after: None };
            let answer = match self.exchange(&mut lease, pass, self.remaining()).await {
                Ok(answer) => answer,
                Err(error) => return Err(self.in_doubt(&server, &error, asked)),
            };
            lease.give_back();
            match &answer.result {
                Ok(_) => {
                    self.note_commit(&server, answer.position, asked);
                    return finished(answer);
                }
                Err(fault) if fault.kind.is_not_run() => self.again_later(fault, &server).await?,
                Err(fault) => return Err(Failure::Fault(fault.clone())),
            }
        }
    }

    /// Opens a transaction; the connection is inside of it.
    pub(crate) async fn begin(&self, access: Access) -> Result<Loan<S>, Failure> {
        if access == Access::Write || self.route.freshness == Freshness::Newest {
            return self.on_primary(None, true).await;
        }
        let (lease, _) = self.on_replica(|after| Command::Begin(Access::Read, after), None).await?;
        Ok(lease)
    }

    /// Runs a statement on the connection of its transaction.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is to be told; the connection is then of no
    /// more use.
    pub(crate) async fn inside(
        &self,
        lease: &mut Loan<S>,
        body: &Body,
        ends: bool,
        wrote: bool,
    ) -> Result<Answer, Failure> {
        let ended = |error: LinkError| {
            self.retried("transaction_lost", &error.to_string());
            Failure::Refused(Refusal::TransactionEnded)
        };
        lease.prepare(self.values, body.prepared_statement()).await.map_err(ended)?;
        let server = lease.server();
        loop {
            let asked = clock::now();
            let pass = Command::Pass { id: self.id.to_owned(), body: body.clone(), after: None };
            let answer = match self.exchange(lease, pass, self.remaining()).await {
                Ok(answer) => answer,
                Err(error) if ends && wrote => {
                    return Err(self.in_doubt(&server, &error, asked));
                }
                Err(error) => return Err(ended(error)),
            };
            match &answer.result {
                Ok(_) if ends && wrote => {
                    self.note_commit(&server, answer.position, asked);
                    return Ok(answer);
                }
                Err(fault) if fault.kind == FaultKind::Busy && self.may_go_on() => {
                    self.retried(fault.kind.label(), server.as_str());
                    sleep(RETRY_PAUSE).await;
                }
                Err(fault) => {
                    if fault.kind == FaultKind::NotPrimary {
                        self.denied(&server);
                    }
                    return Err(Failure::Fault(fault.clone()));
                }
                Ok(_) => return Ok(answer),
            }
        }
    }

    /// Reads on the primary, inside a transaction of the proxy's own: any
    /// statement of one fails on a server that no longer leads.
    async fn read_newest(&self, body: &Body) -> Result<Done, Failure> {
        loop {
            let mut lease = self.on_primary(body.prepared_statement(), true).await?;
            let server = lease.server();
            let pass = Command::Pass { id: self.id.to_owned(), body: body.clone(), after: None };
            match self.exchange(&mut lease, pass, self.remaining()).await {
                Ok(answer) => {
                    lease.roll_back().await;
                    match &answer.result {
                        Ok(_) => return finished(answer),
                        Err(fault) if fault.kind.is_not_run() => {
                            self.again_later(fault, &server).await?;
                        }
                        Err(fault) => return Err(Failure::Fault(fault.clone())),
                    }
                }
                Err(error) => {
                    self.group.borrow_mut().missed_primary(&server, clock::now());
                    self.retried("read_interrupted", &error.to_string());
                    if !self.may_go_on() {
                        return Err(Failure::Refused(Refusal::ReadInterrupted));
                    }
                }
            }
        }
    }

    /// Takes a connection to the primary, inside of a new transaction if
    /// `begins`, and with the session's values.
    async fn on_primary(
        &self,
        statement: Option<&PreparedStatement>,
        begins: bool,
    ) -> Result<Loan<S>, Failure> {
        loop {
            let primary = self.group.borrow().primary().map(|entry| entry.server.clone());
            let Some(server) = primary else {
                self.wait_for_belief(Refusal::NoPrimary).await?;
                continue;
            };
            let waited = clock::now();
            let taken = self.borrow(&server, self.patience(), statement).await;
            self.engine.metrics.waits.observe(clock::now().since(waited).as_secs_f64());
            let mut lease = match taken {
                Ok(lease) => lease,
                Err(error) => {
                    self.unconnected(&server, &error);
                    if !self.may_go_on() {
                        return Err(Failure::Refused(refusal_of(&error)));
                    }
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            if !begins {
                return Ok(lease);
            }
            match self.begin_leading(&mut lease).await {
                Ok(()) => return Ok(lease),
                Err(label) => self.retried(label, server.as_str()),
            }
            if !self.may_go_on() {
                return Err(Failure::Refused(Refusal::ServerUnreachable));
            }
        }
    }

    async fn borrow(
        &self,
        server: &ServerId,
        patience: Duration,
        statement: Option<&PreparedStatement>,
    ) -> Result<Loan<S>, PoolError> {
        self.engine.borrow(server, self.account, patience, self.values, statement).await
    }

    /// Begins a transaction, which shows whether the server still leads.
    async fn begin_leading(&self, lease: &mut Loan<S>) -> Result<(), &'static str> {
        let server = lease.server();
        let missed = |_| {
            self.group.borrow_mut().missed_primary(&server, clock::now());
            "connection_lost"
        };
        let asked = clock::now();
        let answer = lease.ask(Command::Begin(Access::Write, None)).await.map_err(missed)?;
        match (answer.result, answer.position) {
            (Ok(_), Some(position)) => {
                self.leads(&server, position, asked);
                Ok(())
            }
            (Ok(_), None) => Err("server_without_position"),
            (Err(fault), _) => {
                if fault.kind == FaultKind::NotPrimary {
                    self.denied(&server);
                }
                Err(fault.kind.label())
            }
        }
    }

    /// Runs the command that `first` makes on a server that is new enough, and
    /// returns the connection with the answer.
    async fn on_replica(
        &self,
        first: impl Fn(Option<Position>) -> Command,
        statement: Option<&PreparedStatement>,
    ) -> Result<(Loan<S>, Answer), Failure> {
        let mut last = Failure::Refused(Refusal::TooStale);
        loop {
            let needed = self.needed().await?;
            let mut choices = self.choices(needed);
            choices.retain(|choice| choice.expected_wait <= CATCH_UP);
            for choice in &choices {
                if !self.may_send(choice).await {
                    continue;
                }
                match self.try_server(choice, &first, needed, statement).await {
                    Ok(done) => return Ok(done),
                    Err(failure) => last = failure,
                }
                if !self.may_go_on() {
                    return Err(last);
                }
            }
            if !self.may_go_on() {
                return Err(last);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    fn choices(&self, needed: Option<Position>) -> Vec<Choice> {
        let mut rng = self.engine.rng.borrow_mut();
        let home = &self.engine.settings.data_centre;
        let is_dark = |data_centre: &_| self.engine.fleet.is_dark(data_centre);
        self.group.borrow().choose(home, is_dark, needed, clock::now(), &mut *rng)
    }

    /// Waits until a replica is expected to be new enough; tells whether a request
    /// may be sent to it.
    async fn may_send(&self, choice: &Choice) -> bool {
        let permit = self.group.borrow_mut().estimates.permit(&choice.server, clock::now());
        if permit != Permit::Send {
            return false;
        }
        if !choice.expected_wait.is_zero() {
            sleep(choice.expected_wait).await;
        }
        true
    }

    async fn try_server(
        &self,
        choice: &Choice,
        first: &impl Fn(Option<Position>) -> Command,
        needed: Option<Position>,
        statement: Option<&PreparedStatement>,
    ) -> Result<(Loan<S>, Answer), Failure> {
        let server = &choice.server;
        let taken = self.borrow(server, ELSEWHERE, statement).await;
        let mut lease = taken.map_err(|error| {
            self.unconnected(server, &error);
            Failure::Refused(refusal_of(&error))
        })?;
        let lost = |error: LinkError| {
            self.group.borrow_mut().estimates.record_failure(server, clock::now());
            self.retried("read_interrupted", &format!("{server}: {error}"));
            Failure::Refused(Refusal::ReadInterrupted)
        };
        let asked = clock::now();
        let limit = self.remaining().min(self.route.objective.max(LEAST_TRY));
        let answer = self.exchange(&mut lease, first(needed), limit).await.map_err(lost)?;
        self.learn(choice, &answer, asked);
        match answer.result {
            Ok(_) => Ok((lease, answer)),
            Err(fault) => {
                lease.give_back();
                let position = |position: Option<Position>| {
                    position.map_or_else(|| "-".to_owned(), |position| position.to_string())
                };
                let (has, needs) = (position(answer.position), position(needed));
                self.retried(fault.kind.label(), &format!("{server} has {has}, needs {needs}"));
                Err(Failure::Fault(fault))
            }
        }
    }

    /// Takes note of what an answer shows about a server.
    fn learn(&self, choice: &Choice, answer: &Answer, asked: Time) {
        let now = clock::now();
        let mut group = self.group.borrow_mut();
        match (&answer.result, answer.position) {
            (Ok(_), Some(position)) if !choice.primary => {
                group.estimates.record_answer(&choice.server, Some(now.since(asked)));
                group.estimates.record_applied(&choice.server, position, asked, now);
            }
            (Ok(_), _) => group.estimates.record_answer(&choice.server, Some(now.since(asked))),
            (Err(fault), _) if fault.kind == FaultKind::Behind => {
                group.estimates.record_miss(&choice.server, now);
            }
            (Err(fault), _) if fault.kind.is_not_run() => {
                group.estimates.record_failure(&choice.server, now);
            }
            (Err(_), _) => {}
        }
    }

    /// Returns the position that a server must hold for this session's reads.
    async fn needed(&self) -> Result<Option<Position>, Failure> {
        let (age, own) = match self.route.freshness {
            Freshness::Newest => return Ok(None),
            Freshness::Within(age) => (age, None),
            Freshness::OwnWrites(age) => (age, self.seen.position(&self.group.borrow().view.group)),
        };
        loop {
            let floor = {
                let group = self.group.borrow();
                let floor = group.marks.min_position(clock::now(), age.saturating_sub(AGE_MARGIN));
                floor.map(|floor| {
                    own.map_or(floor, |own| floor.max(group.marks.required_position(own)))
                })
            };
            if floor.is_some() {
                return Ok(floor);
            }
            self.seek_mark().await?;
        }
    }

    /// Asks the primary for a position, unless another statement does so already.
    async fn seek_mark(&self) -> Result<(), Failure> {
        if !self.group.borrow_mut().seeks.start() {
            return self.wait_for_belief(Refusal::TooStale).await;
        }
        let seeking = Seeking(Rc::clone(&self.group));
        let lease = self.on_primary(None, true).await;
        drop(seeking);
        self.engine.beliefs.notify_waiters();
        lease?.roll_back().await;
        Ok(())
    }

    /// Waits until something is learnt about a primary; gives up with `refusal`.
    async fn wait_for_belief(&self, refusal: Refusal) -> Result<(), Failure> {
        if !self.may_go_on() {
            return Err(Failure::Refused(refusal));
        }
        let limit = self.patience().min(Duration::from_millis(50));
        // A time-out is no failure: the belief is looked at again.
        let _ = timeout(limit, self.engine.beliefs.notified()).await;
        Ok(())
    }

    async fn exchange(
        &self,
        lease: &mut Loan<S>,
        command: Command,
        limit: Duration,
    ) -> Result<Answer, LinkError> {
        timeout(limit, lease.run(command)).await.unwrap_or(Err(LinkError::TimedOut))
    }

    /// Waits a moment before a statement that did not run is tried again.
    async fn again_later(&self, fault: &Fault, server: &ServerId) -> Result<(), Failure> {
        if fault.kind == FaultKind::NotPrimary {
            self.denied(server);
        }
        self.retried(fault.kind.label(), server.as_str());
        if !self.may_go_on() {
            return Err(Failure::Fault(fault.clone()));
        }
        sleep(RETRY_PAUSE).await;
        Ok(())
    }

    fn note_commit(&self, server: &ServerId, position: Option<Position>, asked: Time) {
        let Some(position) = position else { return };
        self.leads(server, position, asked);
        self.group.borrow_mut().confirmed(position);
    }

    fn leads(&self, server: &ServerId, position: Position, asked: Time) {
        let news = self.group.borrow_mut().leads(server, position, asked, clock::now());
        if news {
            self.engine.note_primary(&self.group.borrow(), Source::Answer);
        }
    }

    fn denied(&self, server: &ServerId) {
        self.group.borrow_mut().denies(server, clock::now());
        self.engine.note_primary(&self.group.borrow(), Source::Answer);
        self.engine.alarm.notify_one();
    }

    fn unconnected(&self, server: &ServerId, error: &PoolError) {
        if let PoolError::Connect(_) = error {
            let mut group = self.group.borrow_mut();
            group.missed_primary(server, clock::now());
            group.estimates.record_failure(server, clock::now());
        }
        self.retried(refusal_of(error).row().label, &format!("{server}: {error}"));
    }

    fn in_doubt(&self, server: &ServerId, error: &LinkError, sent: Time) -> Failure {
        let mut group = self.group.borrow_mut();
        match error {
            LinkError::TimedOut => group.missed_commit(server, sent),
            _ => group.missed_primary(server, clock::now()),
        }
        self.engine.event_log.record(
            Event::InDoubt,
            o!(
                "request" => self.id.to_owned(),
                "group" => group.view.group.to_string(),
                "server" => server.to_string(),
                "term" => group.view.term.get(),
                "error" => error.to_string(),
                "after_ms" => clock::now().since(self.start).as_millis() as u64,
            ),
        );
        Failure::Refused(Refusal::WriteInterrupted)
    }

    fn retried(&self, reason: &'static str, detail: &str) {
        self.engine.metrics.retries.with_label_values(&[reason]).inc();
        self.engine.event_log.record(
            Event::Retried,
            o!(
                "request" => self.id.to_owned(),
                "reason" => reason,
                "detail" => detail.to_owned(),
                "after_ms" => clock::now().since(self.start).as_millis() as u64,
            ),
        );
    }

    /// Returns the time left until the statement's time-out.
    fn remaining(&self) -> Duration {
        (self.start + self.route.timeout).since(clock::now())
    }

    /// Returns the time left in which something new may be tried.
    fn patience(&self) -> Duration {
        let patience = self.route.objective.min(self.route.timeout);
        (self.start + patience).since(clock::now())
    }

    fn may_go_on(&self) -> bool {
        !self.patience().is_zero()
    }
}

/// Ends the search for a mark also when the statement is dropped.
struct Seeking(Rc<RefCell<Group>>);

impl Drop for Seeking {
    fn drop(&mut self) {
        self.0.borrow_mut().seeks.end();
    }
}

fn finished(answer: Answer) -> Result<Done, Failure> {
    let position = answer.position;
    answer.result.map(|served| Done { served, position }).map_err(Failure::Fault)
}

fn refusal_of(error: &PoolError) -> Refusal {
    match error {
        PoolError::Exhausted => Refusal::QueueFull,
        PoolError::Full => Refusal::TooManyConnections,
        PoolError::Connect(_) => Refusal::ServerUnreachable,
    }
}
