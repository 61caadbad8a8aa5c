//! Reads that a replica may run.
//!
//! The servers are tried in the order of their expected time. Each server checks itself
//! whether its data is recent enough.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    Position, Refusal, Time,
    route::{Choice, Permit},
    waiting::Priority,
};
use tokio::time::sleep;

use super::{Attempt, Failure, RETRY_PAUSE, refusal_for};
use crate::{
    catalog::Freshness,
    clock,
    connection::Connection,
    group::{Group, Read},
    seam::{Directory, LinkError, ServerProtocol},
    statement::{Answer, Command, FaultKind, PreparedStatement},
};

/// Longest time to wait for a replica to reach a position.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(80);

/// Time that a read waits for a connection before it tries another server, if there is
/// one.
const REPLICA_CONNECTION_WAIT: Duration = Duration::from_millis(25);

/// Minimum time that one server gets to answer a read.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Time by which the data of reads is fresher than the maximum age of their route
/// requires.
const AGE_MARGIN: Duration = Duration::from_millis(20);

impl<S: ServerProtocol, D: Directory> Attempt<'_, S, D> {
    /// Runs the command that `first` creates on a server whose data is recent
    /// enough, and returns the connection and the answer.
    pub(super) async fn run_on_replica(
        &self,
        first: impl Fn(Option<Position>) -> Command,
        statement: Option<&PreparedStatement>,
    ) -> Result<(Connection<S>, Answer), Failure> {
        let mut last = Failure::Refused(Refusal::TooStale);
        let mut patience = REPLICA_CONNECTION_WAIT;
        loop {
            let min_position = self.min_position().await?;
            let choices = self.usable_choices(min_position);
            if choices.len() == 1 {
                patience = self.retry_time();
            }
            let mut exhausted = !choices.is_empty();
            for choice in &choices {
                if !self.may_send(choice).await {
                    exhausted = false;
                    continue;
                }
                match self.try_server(choice, &first, min_position, statement, patience).await {
                    Ok(done) => return Ok(done),
                    Err(failure) => last = failure,
                }
                exhausted &= matches!(last, Failure::Refused(Refusal::QueueFull));
                if !self.has_time_left() {
                    return Err(last);
                }
            }
            // With all the time that is left, no server has a connection in time.
            if !self.has_time_left() || (exhausted && patience > REPLICA_CONNECTION_WAIT) {
                return Err(last);
            }
            // No server was free at once, so the read now waits for its turn.
            patience = self.retry_time();
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the servers that may serve a read soon, best first. Servers that recently
    /// failed or lagged behind are among them only if there are no others.
    fn usable_choices(&self, min_position: Option<Position>) -> Vec<Choice> {
        let mut choices = self.choices(min_position);
        choices.retain(|choice| choice.expected_wait <= MAX_CATCH_UP_WAIT);
        if choices.iter().any(|choice| !choice.avoided) {
            choices.retain(|choice| !choice.avoided);
        }
        choices
    }

    fn choices(&self, min_position: Option<Position>) -> Vec<Choice> {
        let mut rng = self.engine.rng.borrow_mut();
        let here = &self.engine.settings.data_centre;
        let is_unreachable = |data_centre: &_| self.engine.fleet.is_unreachable(data_centre);
        let now = clock::now();
        if !self.engine.settings.load_aware {
            return self.group.borrow().choose(here, is_unreachable, min_position, now, &mut *rng);
        }
        let priority = Priority::new(self.route.priority);
        let read = Read { here, account: self.account, priority, min_position };
        let placed = self.group.borrow_mut().place(read, is_unreachable, now, &mut *rng);
        self.engine.record_placement(&self.group.borrow(), &placed);
        placed.choices
    }

    /// Returns false at once if no request may be sent to a server. Otherwise waits
    /// until the server is expected to be recent enough, and returns true.
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
        min_position: Option<Position>,
        statement: Option<&PreparedStatement>,
        patience: Duration,
    ) -> Result<(Connection<S>, Answer), Failure> {
        let server = &choice.server;
        let taken = self.connect(server, patience, statement).await;
        let mut connection = taken.map_err(|error| {
            self.record_connect_failure(server, &error);
            Failure::Refused(refusal_for(&error))
        })?;
        let lost = |error: LinkError| {
            self.group.borrow_mut().estimates.record_failure(server, clock::now());
            self.record_retry("read_interrupted", &format!("{server}: {error}"));
            Failure::Refused(Refusal::ReadInterrupted)
        };
        let asked = clock::now();
        let limit = self.remaining().min(self.route.objective.max(MIN_READ_TIMEOUT));
        let answer =
            self.exchange(&mut connection, first(min_position), limit).await.map_err(lost)?;
        self.record_answer(choice, &answer, asked);
        match answer.result {
            Ok(_) => Ok((connection, answer)),
            Err(fault) => {
                connection.give_back();
                let position = |position: Option<Position>| {
                    position.map_or_else(|| "-".to_owned(), |position| position.to_string())
                };
                let (has, needs) = (position(answer.position), position(min_position));
                self.record_retry(
                    fault.kind.label(),
                    &format!("{server} has {has}, needs {needs}"),
                );
                Err(Failure::Fault(fault))
            }
        }
    }

    /// Updates the estimates of a server with its answer.
    fn record_answer(&self, choice: &Choice, answer: &Answer, asked: Time) {
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

    /// Returns the position that a server must have reached to run a read of this
    /// session, or `None` if the primary runs it.
    async fn min_position(&self) -> Result<Option<Position>, Failure> {
        let (age, own) = match self.route.freshness {
            Freshness::Newest => return Ok(None),
            Freshness::Within(age) => (age, None),
            Freshness::OwnWrites(age) => (age, self.seen.position(&self.group.borrow().view.group)),
        };
        loop {
            let min_position = {
                let group = self.group.borrow();
                let min = group.observed.min_position(clock::now(), age.saturating_sub(AGE_MARGIN));
                min.map(|min| own.map_or(min, |own| min.max(group.observed.required_position(own))))
            };
            if min_position.is_some() {
                return Ok(min_position);
            }
            self.query_position().await?;
        }
    }

    /// Asks the primary for its position, or waits if another statement already
    /// does.
    async fn query_position(&self) -> Result<(), Failure> {
        if !self.group.borrow_mut().position_query.try_start() {
            return self.wait_for_primary_news(Refusal::TooStale).await;
        }
        let query = PositionQuery(Rc::clone(&self.group));
        let connection = self.connect_primary(None, true).await;
        drop(query);
        self.engine.primary_news.notify_waiters();
        connection?.roll_back().await;
        Ok(())
    }
}

/// Ends the query for a position even if the statement is dropped.
struct PositionQuery(Rc<RefCell<Group>>);

impl Drop for PositionQuery {
    fn drop(&mut self) {
        self.0.borrow_mut().position_query.end();
    }
}
