//! What a home measures of its own connections to a backend server.

use std::time::Duration;

use super::{Failures, PRIORITIES, Permille, Report, fade, seconds};
use crate::{average::Average, position::Position, time::Time, waiting::Priority};

/// Time in which the weight of an earlier number of connections in use halves.
const IN_FLIGHT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Inverse of the weight of one statement in the mean service time.
const SERVICE_INVERSE_WEIGHT: u32 = 16;

/// Inverse of the weight of one statement in the shares of failures.
const FAILURE_INVERSE_WEIGHT: f64 = 32.0;

/// Time in which failures that no later statement has outweighed halve, so that a server
/// that gets no statements is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Inverse of the weight of one statement in the mean of which the lowest is kept. With few
/// statements, the lowest mean would be far below the usual one.
const QUIET_INVERSE_WEIGHT: u32 = 128;

/// Time in which the lowest mean service time grows by half its distance to the present
/// one, so that it follows a change of the statements.
const QUIET_HALF_LIFE: Duration = Duration::from_secs(300);

/// Connections of a home to a server at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Connections in use.
    pub in_use: u32,
    /// Requests that wait for one.
    pub waiting: u32,
}

/// How a statement on a connection of the home ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server answered after this time.
    Answered(Duration),
    /// The server rejected the statement without running it.
    Rejected,
    /// No connection could be opened, or it was lost.
    Broken,
    /// Its caller stopped waiting for the answer.
    Unanswered,
}

/// Measurements of a home about one server.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    counts: Counts,
    in_flight: f64,
    counted: Time,
    waits: [Average; PRIORITIES],
    service: Option<Average>,
    steady_service: Option<Average>,
    quiet_service: Option<f64>,
    rejected: f64,
    broken: f64,
    unanswered: f64,
    ended: Time,
    applied: Position,
}

impl Meter {
    /// Creates a meter without measurements.
    pub fn new() -> Self {
        Meter::default()
    }

    /// Records the connections as they are now.
    pub fn record_counts(&mut self, counts: Counts, now: Time) {
        let kept = fade(now.since(self.counted), IN_FLIGHT_HALF_LIFE);
        let held = f64::from(self.counts.in_use);
        self.in_flight = self.in_flight * kept + held * (1.0 - kept);
        self.counts = counts;
        self.counted = now;
    }

    /// Records how long a request waited for a connection.
    pub fn record_wait(&mut self, priority: Priority, wait: Duration) {
        self.waits[usize::from(priority.get()).min(PRIORITIES - 1)].add(wait);
    }

    /// Records how a statement ended.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Time) {
        let left = fade(now.since(self.ended), FAILURE_HALF_LIFE);
        let is = |kind: Outcome| f64::from(u8::from(outcome == kind));
        let add = |share: &mut f64, sample: f64| {
            *share *= left;
            *share += (sample - *share) / FAILURE_INVERSE_WEIGHT;
        };
        add(&mut self.rejected, is(Outcome::Rejected));
        add(&mut self.broken, is(Outcome::Broken));
        add(&mut self.unanswered, is(Outcome::Unanswered));
        if let Outcome::Answered(took) = outcome {
            self.record_service(took, now);
        }
        self.ended = now;
    }

    fn record_service(&mut self, took: Duration, now: Time) {
        let empty = Average::new().with_inverse_weight(SERVICE_INVERSE_WEIGHT);
        let average = self.service.get_or_insert(empty);
        average.add(took);
        let empty = Average::new().with_inverse_weight(QUIET_INVERSE_WEIGHT);
        let steady = self.steady_service.get_or_insert(empty);
        steady.add(took);
        let mean = steady.get().unwrap_or_default().as_secs_f64();
        let kept = fade(now.since(self.ended), QUIET_HALF_LIFE);
        let lowest = self.quiet_service.map_or(mean, |old| old * kept + mean * (1.0 - kept));
        self.quiet_service = Some(lowest.min(mean));
    }

    /// Records a position that the server has applied.
    pub fn record_applied(&mut self, position: Position) {
        self.applied = self.applied.max(position);
    }

    /// Returns what to report now.
    pub fn report(&mut self, counts: Counts, now: Time) -> Report {
        self.record_counts(counts, now);
        let left = fade(now.since(self.ended), FAILURE_HALF_LIFE);
        let share = |share: f64| Permille::new((share * left * 1_000.0) as u32);
        let service = self.service.and_then(|average| average.get()).unwrap_or_default();
        Report {
            in_flight: (self.in_flight * 100.0) as u32,
            waiting: counts.waiting,
            waits: self.waits.map(|wait| self.expected_wait(wait, service)),
            service,
            quiet_service: seconds(self.quiet_service.unwrap_or_default()),
            failures: Failures {
                rejected: share(self.rejected),
                broken: share(self.broken),
                unanswered: share(self.unanswered),
            },
            applied: self.applied,
            age: Duration::ZERO,
        }
    }

    /// Returns the expected wait: none while no request waits, whatever was measured before.
    fn expected_wait(&self, measured: Average, service: Duration) -> Duration {
        if self.counts.waiting == 0 {
            return Duration::ZERO;
        }
        let queued = service * self.counts.waiting / self.counts.in_use.max(1);
        measured.get().unwrap_or(queued)
    }
}
