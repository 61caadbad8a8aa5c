//! Lists of the registered servers that a failover asks the directory for.
//!
//! A list counts only if it was asked for after the last server was known to be fenced: a server
//! that registered before may have received commits from the old primary.

use std::time::Duration;

use super::REPEAT_INTERVAL;
use crate::time::Time;

/// Time for which the directory may take to list the servers before a promotion.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests to the directory to list the servers, and its answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    /// Time at which the list must have been asked for at the earliest.
    needed: Time,
    /// The first request since then.
    first_request: Option<Time>,
    last_request: Option<Time>,
    /// When the newest list that was answered was asked for.
    answered: Option<Time>,
    has_failed: bool,
}

impl Listing {
    /// Requires a list that is asked for at `needed` or later.
    pub(super) fn require(&mut self, needed: Time) {
        if needed > self.needed {
            (self.first_request, self.last_request, self.has_failed) = (None, None, false);
            self.needed = needed;
        }
    }

    pub(super) fn record_request(&mut self, now: Time) {
        self.first_request.get_or_insert(now);
        self.last_request = Some(now);
    }

    /// Records the answer to a request that was sent at `asked`.
    pub(super) fn record_answer(&mut self, asked: Time) {
        self.answered = self.answered.max(Some(asked));
    }

    pub(super) fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Returns whether another request may be sent.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.last_request.is_none_or(|at| now.since(at) >= REPEAT_INTERVAL)
    }

    /// Returns whether the servers were listed at `time` or later.
    pub(super) fn is_newer_than(&self, time: Time) -> bool {
        self.answered.is_some_and(|answered| answered >= time)
    }

    /// Returns whether the directory has failed to answer, or takes too long.
    pub(super) fn is_given_up(&self, now: Time) -> bool {
        self.has_failed || self.first_request.is_some_and(|at| now.since(at) >= LIST_TIMEOUT)
    }
}
