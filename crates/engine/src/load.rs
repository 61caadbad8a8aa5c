//! What requests show about the load of backend servers, if decisions depend on it.
//!
//! A home measures the use of its connections ([`HomeMeter`]) and sends reports to the VMs
//! that use them. These record the reports ([`ReportRecord`]). What is known is kept in the
//! state of the server's group.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    Lsn, Position, ServerId, Term, Time, VmId,
    load::{Failures, Outcome, PRIORITIES, Permille, Report, SentReport, Visit},
    waiting::Priority,
};
use chicoryhollow_peer::{
    Message,
    fleet::{LeaseAnswer, ServerReport},
};

use prometheus::IntCounter;

use crate::{
    clock,
    engine::Engine,
    fleet::Link,
    group::Group,
    pool::{ConnectionRequest, Pool, PoolError, PooledConnection},
    seam::{Directory, LinkError, ServerProtocol},
    statement::{Answer, Command, FaultKind},
};

/// Time after which a statement that nobody waits for any more counts against the server.
/// Before it, the caller has left for other reasons.
const MIN_UNANSWERED: Duration = Duration::from_millis(150);

/// Measures the use of a home's connections to one server.
pub(crate) struct HomeMeter<S: ServerProtocol> {
    group: Rc<RefCell<Group>>,
    pool: Rc<Pool<S>>,
    home: VmId,
}

impl<S: ServerProtocol> HomeMeter<S> {
    /// Runs a command on a connection that this VM uses itself.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn run_own(
        &self,
        pooled: &mut PooledConnection<S>,
        command: Command,
    ) -> Result<Answer, LinkError> {
        let is_statement = matches!(command, Command::Pass { .. });
        let asked = clock::now();
        let answer = self.run(pooled, command).await;
        if is_statement && answer.is_ok() {
            let visit = Visit { wait: Duration::ZERO, response: clock::now().since(asked) };
            self.group.borrow_mut().loads.record_visit(&self.pool.server(), visit, clock::now());
        }
        answer
    }

    /// Runs a command and measures it.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn run(
        &self,
        pooled: &mut PooledConnection<S>,
        command: Command,
    ) -> Result<Answer, LinkError> {
        let is_statement = matches!(command, Command::Pass { .. });
        let mut running = Running { meter: self, asked: clock::now(), ended: false };
        let answer = pooled.run(command).await;
        running.ended = true;
        let took = clock::now().since(running.asked);
        let outcome = outcome(&answer, took).filter(|outcome| match outcome {
            // Other commands take no slot of the server.
            Outcome::Answered(_) => is_statement,
            _ => true,
        });
        self.record(outcome, answer.as_ref().ok().and_then(|answer| answer.position));
        answer
    }

    /// Records how long a request waited for a connection, and why it got none.
    fn record_taken(&self, priority: Priority, wait: Duration, error: Option<&PoolError>) {
        let outcome = match error {
            Some(PoolError::Connect(_)) => Some(Outcome::Broken),
            Some(PoolError::Full) => Some(Outcome::Rejected),
            Some(PoolError::Exhausted) | None => None,
        };
        if error.is_none_or(|error| matches!(error, PoolError::Exhausted)) {
            let mut group = self.group.borrow_mut();
            group.meter(&self.pool.server()).record_wait(priority, wait);
        }
        self.record(outcome, None);
    }

    /// Records an outcome; the result is this VM's own newest report.
    fn record(&self, outcome: Option<Outcome>, position: Option<Position>) {
        let now = clock::now();
        let server = self.pool.server();
        let mut group = self.group.borrow_mut();
        let is_primary = group.view.primary.as_ref() == Some(&server);
        let meter = group.meter(&server);
        outcome.into_iter().for_each(|outcome| meter.record_outcome(outcome, now));
        // The position of a primary is the end of its log, which it need not apply.
        let applied = position.filter(|_| !is_primary);
        applied.into_iter().for_each(|position| meter.record_applied(position));
        let report = meter.report(self.pool.counts(), now);
        group.loads.record_report(&server, &self.home, report, now);
    }

    fn report(&self) -> Report {
        let server = self.pool.server();
        self.group.borrow_mut().meter(&server).report(self.pool.counts(), clock::now())
    }
}

/// A command that runs. Dropping it before its end counts it as unanswered.
struct Running<'a, S: ServerProtocol> {
    meter: &'a HomeMeter<S>,
    asked: Time,
    ended: bool,
}

impl<S: ServerProtocol> Drop for Running<'_, S> {
    fn drop(&mut self) {
        if !self.ended && clock::now().since(self.asked) >= MIN_UNANSWERED {
            self.meter.record(Some(Outcome::Unanswered), None);
        }
    }
}

/// Returns what an answer shows about the server; `None` if nothing.
fn outcome(answer: &Result<Answer, LinkError>, took: Duration) -> Option<Outcome> {
    let Ok(answer) = answer else { return Some(Outcome::Broken) };
    match answer.result.as_ref().map_err(|fault| fault.kind) {
        Ok(_) | Err(FaultKind::Failed) => Some(Outcome::Answered(took)),
        Err(FaultKind::Busy | FaultKind::Full) => Some(Outcome::Rejected),
        Err(FaultKind::TimedOut) => Some(Outcome::Unanswered),
        Err(_) => None,
    }
}

/// Takes a connection of `pool` as [`Pool::take`], and measures the wait.
///
/// # Errors
///
/// Fails as [`Pool::take`].
pub(crate) async fn take_measured<S: ServerProtocol>(
    pool: &Rc<Pool<S>>,
    meter: Option<&HomeMeter<S>>,
    request: ConnectionRequest<'_>,
) -> Result<PooledConnection<S>, PoolError> {
    let asked = clock::now();
    let taken = pool.take(request).await;
    if let Some(meter) = meter {
        let wait = clock::now().since(asked);
        meter.record_taken(request.priority, wait, taken.as_ref().err());
    }
    taken
}

/// Records what a home reports about a server along with its answers.
pub(crate) struct ReportRecord {
    group: Rc<RefCell<Group>>,
    server: ServerId,
    /// Counts received reports.
    received: IntCounter,
    /// Wait for the connection, until a statement has run on it.
    wait: Option<Duration>,
}

impl ReportRecord {
    /// Records the answer of `home` to a request for a connection, which was sent at `asked`.
    pub(crate) fn record_opened(
        &mut self,
        home: &VmId,
        report: Option<&ServerReport>,
        asked: Time,
    ) {
        self.wait = Some(clock::now().since(asked));
        self.record_report(home, report, asked);
    }

    /// Records the answer of `home` to a command, which was sent at `asked`.
    pub(crate) fn record_run(
        &mut self,
        home: &VmId,
        command: &Command,
        answer: &LeaseAnswer,
        asked: Time,
    ) {
        self.record_report(home, answer.report.as_ref(), asked);
        if let (Command::Pass { .. }, Some(json)) = (command, &answer.answer) {
            self.group.borrow_mut().spill.record_answer(json.len());
        }
        let Some(wait) = self.wait.filter(|_| matches!(command, Command::Pass { .. })) else {
            return;
        };
        self.wait = None;
        let now = clock::now();
        let visit = Visit { wait, response: now.since(asked) };
        self.group.borrow_mut().loads.record_visit(&self.server, visit, now);
    }

    fn record_report(&self, home: &VmId, report: Option<&ServerReport>, asked: Time) {
        let Some(message) = report else { return };
        self.received.inc();
        let now = clock::now();
        let report = read_report(message);
        let mut group = self.group.borrow_mut();
        let applied = report.applied;
        if applied > Position::default() && group.view.primary.as_ref() != Some(&self.server) {
            // The home saw the position at an unknown earlier time.
            group.estimates.record_applied(&self.server, applied, Time::default(), now);
        }
        let ran = Duration::from_micros(message.ran_us.into());
        group.loads.record_network(&self.server, now.since(asked).saturating_sub(ran));
        group.loads.record_report(&self.server, home, report, now);
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Returns what measures the use of `pool`, if decisions depend on it.
    pub(crate) fn home_meter(&self, pool: &Rc<Pool<S>>) -> Option<HomeMeter<S>> {
        if !self.settings.load_aware {
            return None;
        }
        let group = self.group(&pool.entry().group);
        Some(HomeMeter { group, pool: Rc::clone(pool), home: self.settings.vm.clone() })
    }

    /// Returns what records the reports of homes of `server`, if decisions depend on them.
    pub(crate) fn report_record(&self, server: &ServerId) -> Option<ReportRecord> {
        if !self.settings.load_aware {
            return None;
        }
        let group = self.group(&self.pool(server)?.entry().group);
        let received = self.metrics.server_reports.clone();
        Some(ReportRecord { group, server: server.clone(), received, wait: None })
    }

    /// Returns the report to send along with a message to the VM at the other end of `link`,
    /// if one is due. The message answers a request that arrived at `asked`.
    pub(crate) fn due_report(
        &self,
        link: &Link,
        meter: &HomeMeter<S>,
        asked: Time,
    ) -> Option<ServerReport> {
        let now = clock::now();
        let server = meter.pool.server();
        let report = meter.report();
        let message = write_report(&report, now.since(asked));
        let mut sent = link.sent_reports.borrow_mut();
        let mut pacer = self.report_pacer.borrow_mut();
        if !pacer.try_send(sent.get(&server), &report, message.encoded_len(), now) {
            return None;
        }
        sent.insert(server, SentReport::new(report, now));
        Some(message)
    }
}

fn write_report(report: &Report, ran: Duration) -> ServerReport {
    let waits = if report.waits.iter().all(Duration::is_zero) { &[][..] } else { &report.waits };
    ServerReport {
        in_flight: report.in_flight,
        waiting: report.waiting,
        waits_us: waits.iter().copied().map(micros).collect(),
        service_us: micros(report.service),
        quiet_us: micros(report.quiet_service),
        rejected: report.failures.rejected.get(),
        broken: report.failures.broken.get(),
        unanswered: report.failures.unanswered.get(),
        term: report.applied.term().get(),
        lsn: report.applied.lsn().get(),
        age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        ran_us: micros(ran),
    }
}

fn read_report(message: &ServerReport) -> Report {
    let mut waits = [Duration::ZERO; PRIORITIES];
    for (wait, micros) in waits.iter_mut().zip(&message.waits_us) {
        *wait = Duration::from_micros((*micros).into());
    }
    Report {
        in_flight: message.in_flight,
        waiting: message.waiting,
        waits,
        service: Duration::from_micros(message.service_us.into()),
        quiet_service: Duration::from_micros(message.quiet_us.into()),
        failures: Failures {
            rejected: Permille::new(message.rejected),
            broken: Permille::new(message.broken),
            unanswered: Permille::new(message.unanswered),
        },
        applied: Position::new(Term::new(message.term), Lsn::new(message.lsn)),
        age: Duration::from_millis(message.age_ms.into()),
    }
}

fn micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a field that is lost or mixed up on the way to another VM.
    #[test]
    fn a_report_arrives_as_it_was_sent() {
        let report = Report {
            in_flight: 312,
            waiting: 4,
            waits: [1, 2, 3].map(Duration::from_millis),
            service: Duration::from_millis(18),
            quiet_service: Duration::from_millis(11),
            failures: Failures {
                rejected: Permille::new(5),
                broken: Permille::new(6),
                unanswered: Permille::new(7),
            },
            applied: Position::new(Term::new(3), Lsn::new(1_000_000)),
            age: Duration::from_millis(40),
        };
        let message = write_report(&report, Duration::from_millis(20));
        let sent = message.encode_to_vec();
        assert!(sent.len() <= 48, "{} bytes", sent.len());
        let received = ServerReport::decode(&*sent).expect("a report");
        assert_eq!(read_report(&received), report);
    }
}
