//! The times at which a VM holds the role of the VM that reports.

use std::time::Duration;

use crate::time::Time;

/// When this VM holds the role, and from when on it may send reports.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    started: Time,
    /// Time for which a VM that held the role before sends nothing when it takes it again.
    rest: Duration,
    /// When the present tenure began, and from when on reports are sent.
    present: Option<(Time, Time)>,
    /// When this VM was last known to hold the role.
    last_held: Option<Time>,
    /// Begin and end of the tenure before the present one.
    earlier: Option<(Time, Time)>,
}

impl Tenure {
    /// Creates the tenure of a daemon that started at `started` and does not hold the role.
    pub fn new(started: Time, rest: Duration) -> Self {
        Tenure { started, rest, present: None, last_held: None, earlier: None }
    }

    /// Records whether this VM holds the role, and returns whether it has just taken it.
    ///
    /// A daemon that started recently may have held the role before its start.
    pub fn update(&mut self, holds: bool, now: Time) -> bool {
        let taken = holds && self.present.is_none();
        if taken {
            let held_before = self.last_held.is_some() || now.since(self.started) < self.rest;
            self.present = Some((now, if held_before { now + self.rest } else { now }));
        }
        if holds {
            self.last_held = Some(now);
        } else if let (Some((since, _)), Some(until)) = (self.present.take(), self.last_held) {
            self.earlier = Some((since, until));
        }
        taken
    }

    /// Returns whether a report may be sent at `now`.
    pub fn may_report(&self, now: Time) -> bool {
        self.present.is_some_and(|(_, from)| now >= from)
    }

    /// Returns since when this VM has held the role without a break.
    pub fn since(&self) -> Option<Time> {
        self.present.map(|(since, _)| since)
    }

    /// Returns whether this VM held the role at `time` in a tenure in which it had read the
    /// decisions, as it last did at `read_at`.
    pub fn held_until(&self, time: Time, read_at: Option<Time>) -> bool {
        let covers = |since: Time, until: Time| {
            since <= time && time <= until && read_at.is_some_and(|read_at| read_at >= since)
        };
        let present = self.present.zip(self.last_held);
        present.is_some_and(|((since, _), until)| covers(since, until))
            || self.earlier.is_some_and(|(since, until)| covers(since, until))
    }
}
