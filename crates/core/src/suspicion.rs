//! Suspicion: whether one VM considers a primary to be failed or leaving.
//!
//! The failover coordinator uses the results of its own requests and the reports of its
//! neighbours. Both are needed because a primary that answers this VM may be unreachable
//! from other VMs, or may not confirm their writes.

use std::time::Duration;

use crate::failover::Cause;

/// Time for which this VM's requests to the primary must fail, without any answer, before
/// the primary is replaced.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which requests or writes of most VMs must fail before the primary is replaced.
pub const MAJORITY_FAILURE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which writes must stay unconfirmed, on this VM and on a third of its
/// neighbours, before the primary is replaced.
pub const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which no server claims to be primary before one is promoted.
const NO_PRIMARY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a later coordinator waits for the outcome of an open order. An order that is
/// carried out usually takes effect within a second.
const OPEN_ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// It does not answer.
    Silent,
    /// It answers but does not confirm writes.
    Unconfirming,
    /// Most VMs cannot reach it or get no writes confirmed.
    Unreachable,
    /// No primary is known.
    NoPrimary,
    /// An order to replace it is open, and may be carried out at any time.
    OpenOrder,
    /// It works but is going to leave.
    Leaving,
}

impl Suspicion {
    /// Returns the cause of the failover that follows.
    pub fn cause(self) -> Cause {
        match self {
            Suspicion::Leaving => Cause::Planned,
            _ => Cause::Failure,
        }
    }

    /// Returns the label that is used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Suspicion::Silent => "silent",
            Suspicion::Unconfirming => "unconfirming",
            Suspicion::Unreachable => "unreachable",
            Suspicion::NoPrimary => "headless",
            Suspicion::OpenOrder => "open_order",
            Suspicion::Leaving => "leaving",
        }
    }
}

/// Reports of neighbours on whether a primary fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Votes {
    /// Number of neighbours that sent a report.
    pub total: usize,
    /// Number of neighbours for which the primary has been failing for long enough.
    pub failed: usize,
}

/// What one VM knows about the health of a group's primary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Time for which no primary has been known, or `None` if one is known.
    pub no_primary: Option<Duration>,
    /// Time for which this VM has known of an order to replace the primary whose outcome is
    /// unknown, or `None` if there is none.
    pub open_order: Option<Duration>,
    /// Whether the primary accepts no new work because it is going to leave.
    pub leaving: bool,
    /// Whether there is another server that may stay primary.
    pub has_successor: bool,
    /// Time for which requests to the primary have failed or writes were not confirmed.
    pub failing: Duration,
    /// Time since an answer last showed that the primary still is one.
    pub silence: Duration,
    /// Time for which writes were not confirmed.
    pub unconfirmed: Duration,
    /// Reports of neighbours on whether the primary has been failing, as in
    /// [`Evidence::failing`], for [`UNCONFIRMED_TIMEOUT`].
    pub unconfirmed_votes: Votes,
    /// The same for [`MAJORITY_FAILURE_TIMEOUT`].
    pub failed_votes: Votes,
}

impl Evidence {
    /// Returns why the primary is to be replaced, or `None` if it is not.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use chicoryhollow_core::suspicion::{Evidence, Suspicion};
    ///
    /// let second = Duration::from_secs(1);
    /// let evidence = Evidence { failing: second, silence: second, ..Evidence::default() };
    /// assert_eq!(evidence.suspicion(), Some(Suspicion::Silent));
    /// ```
    pub fn suspicion(&self) -> Option<Suspicion> {
        if let Some(span) = self.no_primary {
            return (span >= NO_PRIMARY_TIMEOUT).then_some(Suspicion::NoPrimary);
        }
        // Only a newer order makes sure that this one is refused. The old primary may work, but
        // nothing that it acknowledges is safe meanwhile.
        if self.open_order.is_some_and(|span| span >= OPEN_ORDER_TIMEOUT) {
            return Some(Suspicion::OpenOrder);
        }
        if self.leaving {
            return self.has_successor.then_some(Suspicion::Leaving);
        }
        if self.failing >= FAILURE_TIMEOUT && self.silence >= FAILURE_TIMEOUT {
            return Some(Suspicion::Silent);
        }
        let votes = self.unconfirmed_votes;
        if self.unconfirmed >= UNCONFIRMED_TIMEOUT && votes.failed * 3 >= votes.total {
            return Some(Suspicion::Unconfirming);
        }
        let votes = self.failed_votes;
        (votes.failed * 2 > votes.total + 1).then_some(Suspicion::Unreachable)
    }
}
