//! Drain: what a daemon still takes on between the order to stop and its end.
//!
//! A load balancer needs time to notice that a daemon drains. If most daemons of a data centre
//! stop at once, it goes on sending callers to them until they end. So a draining daemon serves
//! new operations as long as it can, and refuses as not run those that may not end in time.

use std::time::Duration;

use crate::time::Time;

/// Part of the grace period that is reserved for ending the process.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

/// Schedule of a daemon that stops.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Time, drain::Drain};
///
/// let second = Duration::from_secs(1);
/// let drain = Drain::new(Time::default(), 6 * second);
/// let at = |ms| Time::from_millis(ms);
/// assert!(drain.admits_statement(second, at(4_200)));
/// assert!(!drain.admits_statement(second, at(4_400)), "it may run longer than the daemon");
/// assert!(!drain.admits_transaction(second, at(2_200)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    started: Time,
    grace: Duration,
}

impl Drain {
    /// Creates the schedule of a daemon that was asked at `started` to stop, and that is killed
    /// after the time `grace`.
    pub fn new(started: Time, grace: Duration) -> Self {
        Drain { started, grace }
    }

    /// Returns when open transactions are ended.
    pub fn closing(&self) -> Time {
        self.started + self.grace / 2
    }

    /// Returns when requests that still run are given up, and their callers told so.
    pub fn cutoff(&self) -> Time {
        self.started + self.grace.saturating_sub(SHUTDOWN_MARGIN)
    }

    /// Returns whether to take on a statement outside of a transaction that is given up after
    /// the time `limit`.
    pub fn admits_statement(&self, limit: Duration, now: Time) -> bool {
        now < self.closing() || now + limit <= self.cutoff()
    }

    /// Returns whether to take on a transaction whose statements are given up after the time
    /// `limit`.
    pub fn admits_transaction(&self, limit: Duration, now: Time) -> bool {
        now + limit <= self.closing()
    }
}
