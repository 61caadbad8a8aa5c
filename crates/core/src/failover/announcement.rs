//! What VMs tell each other of a failover that runs.

use std::time::Duration;

use crate::{position::Term, time::Time};

/// Time for which a failover counts as running, unless its successor leads before. An order to
/// promote may be carried out that late.
pub(super) const FAILOVER_SPAN: Duration = Duration::from_secs(13);

/// Number of a failover, higher than those of all failovers before it, of any coordinator.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FailoverNumber(u64);

impl FailoverNumber {
    /// Creates a number from a fencing token of the coordinator.
    pub const fn new(token: u64) -> Self {
        FailoverNumber(token)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A failover that a coordinator has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Number of the failover.
    pub number: FailoverNumber,
    /// Term of the primary that is replaced.
    pub replaced: Term,
    /// When it was begun, by the clock of this VM.
    pub begun: Time,
    /// Whether an order of an earlier failover may still be carried out. It chose its server before
    /// this failover fenced any, so that copies on fenced servers show nothing.
    pub ordered: bool,
}

impl Announcement {
    /// Returns whether this failover is newer than another one. Their terms may be equal, since
    /// a failover may end before it has fenced any server.
    pub fn is_newer(&self, other: Option<&Announcement>) -> bool {
        other.is_none_or(|other| self.number > other.number)
    }

    /// Returns whether the failover may still replace a primary of `term`.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryhollow_core::{Term, Time, failover::{Announcement, FailoverNumber}};
    ///
    /// let (number, replaced) = (FailoverNumber::new(7), Term::new(2));
    /// let failover = Announcement { number, replaced, begun: Time::from_millis(100), ordered: false };
    /// assert!(failover.may_replace(Term::new(2), Time::from_millis(13_099)));
    /// assert!(!failover.may_replace(Term::new(2), Time::from_millis(13_100)));
    /// assert!(!failover.may_replace(Term::new(3), Time::from_millis(200)), "its successor");
    /// ```
    pub fn may_replace(&self, term: Term, now: Time) -> bool {
        term <= self.replaced && now.since(self.begun) < FAILOVER_SPAN
    }
}
