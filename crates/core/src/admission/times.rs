//! Times that statements and new connections take.

use std::{collections::BTreeMap, time::Duration};

use crate::{average::Average, waiting::Priority};

/// Number of samples over which times are averaged.
const AVERAGED_SAMPLES: u32 = 16;

/// Time that opening a connection is assumed to take before one was opened.
const ASSUMED_CONNECT: Duration = Duration::from_millis(10);

/// Time that a statement is assumed to take before one has finished.
const ASSUMED_SERVICE: Duration = Duration::from_millis(10);

/// Maximum time that opening a connection is taken to last. Requests must not wait long for the
/// connections of others because a server was slow to accept one.
const MAX_CONNECT: Duration = Duration::from_millis(50);

/// Maximum factor by which statements exceed the slots because a slot is also held while
/// messages travel to another VM.
const MAX_TRAVEL_FACTOR: f64 = 3.0;

/// Averages of the times that statements and new connections take.
#[derive(Clone, Debug)]
pub(super) struct Times {
    /// Time for which a statement holds a slot.
    held: Average,
    /// The part of this time in which the server works.
    worked: Average,
    /// Time for which a statement holds a slot, by priority.
    service: BTreeMap<Priority, Average>,
    connect: Average,
}

impl Default for Times {
    fn default() -> Self {
        let (held, worked, connect) = (average(), average(), average());
        Times { held, worked, service: BTreeMap::new(), connect }
    }
}

impl Times {
    /// Records a statement that held a slot, and for how long of this the server worked.
    pub(super) fn record(&mut self, priority: Priority, held: Duration, worked: Duration) {
        self.held.add(held);
        self.worked.add(worked);
        self.service.entry(priority).or_insert_with(average).add(held);
    }

    /// Records how long opening a connection took.
    pub(super) fn record_opening(&mut self, span: Duration) {
        self.connect.add(span);
    }

    /// Returns for how long a statement holds a slot.
    pub(super) fn held(&self) -> Duration {
        self.held.get().unwrap_or(ASSUMED_SERVICE)
    }

    /// Returns for how long the server works on a statement.
    pub(super) fn worked(&self) -> Duration {
        self.worked.get().unwrap_or(ASSUMED_SERVICE)
    }

    /// Returns for how long a statement of this priority holds a slot.
    pub(super) fn service(&self, priority: Priority) -> Duration {
        self.service.get(&priority).and_then(Average::get).unwrap_or(ASSUMED_SERVICE)
    }

    /// Returns how long opening a connection takes.
    pub(super) fn connect(&self) -> Duration {
        self.connect.get().unwrap_or(ASSUMED_CONNECT).min(MAX_CONNECT)
    }

    /// Returns the server's time that a new connection costs. It replaces one of another
    /// account, which has to be opened again.
    pub(super) fn opening_cost(&self) -> Duration {
        self.connect() * 2
    }

    /// Returns how many statements hold a slot for each one on which the server works.
    pub(super) fn travel_factor(&self) -> f64 {
        let worked = self.worked().as_secs_f64().max(f64::EPSILON);
        (self.held().as_secs_f64() / worked).clamp(1.0, MAX_TRAVEL_FACTOR)
    }
}

fn average() -> Average {
    Average::new().with_inverse_weight(AVERAGED_SAMPLES)
}
