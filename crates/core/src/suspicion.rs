//! Whether a primary is to be replaced, judged by one VM.
//!
//! The VM that has the duty goes by what its own requests showed and by what its
//! neighbours say of theirs: a primary that answers here may be out of reach, or
//! confirm nothing, elsewhere.

use std::time::Duration;

use crate::failover::Cause;

/// Time for which the primary must fail before it is replaced.
const FAILED: Duration = Duration::from_millis(700);

/// Time for which most VMs must fail to reach the primary before it is replaced.
pub const MAJORITY_FAILURE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which writes must stay unconfirmed, here and on a third of the other
/// VMs, before the primary is replaced.
pub const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which no server may claim to lead before one is promoted.
const HEADLESS: Duration = Duration::from_millis(300);

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// It does not answer.
    Silent,
    /// It confirms no writes.
    Unconfirming,
    /// Most VMs cannot reach it, or get no writes confirmed.
    Unreachable,
    /// No server leads.
    NoPrimary,
    /// It works but is to leave.
    Leaving,
}

impl Suspicion {
    /// Returns the kind of succession that follows.
    pub fn cause(self) -> Cause {
        match self {
            Suspicion::Leaving => Cause::Planned,
            _ => Cause::Failure,
        }
    }

    /// Returns the label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Suspicion::Silent => "silent",
            Suspicion::Unconfirming => "unconfirming",
            Suspicion::Unreachable => "unreachable",
            Suspicion::NoPrimary => "headless",
            Suspicion::Leaving => "leaving",
        }
    }
}

/// What neighbours say of a primary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Votes {
    /// Neighbours that said something.
    pub total: usize,
    /// Those whom it has failed for long enough.
    pub failed: usize,
}

/// What one VM knows of a group's primary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// For how long no primary has been known; none while one is.
    pub no_primary: Option<Duration>,
    /// Whether the primary takes no new work.
    pub leaving: bool,
    /// Whether another server may be primary for long.
    pub has_successor: bool,
    /// For how long requests to the primary have failed or were not confirmed.
    pub failing: Duration,
    /// Time since the primary last showed that it leads.
    pub silence: Duration,
    /// For how long writes were not confirmed.
    pub unconfirmed: Duration,
    /// Neighbours whom it has failed for [`UNCONFIRMED_TIMEOUT`].
    pub unconfirmed_votes: Votes,
    /// Neighbours whom it has failed for [`MAJORITY_FAILURE_TIMEOUT`].
    pub failed_votes: Votes,
}

impl Evidence {
    /// Says whether, and why, the primary is to be replaced.
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
            return (span >= HEADLESS).then_some(Suspicion::NoPrimary);
        }
        if self.leaving {
            return self.has_successor.then_some(Suspicion::Leaving);
        }
        if self.failing >= FAILED && self.silence >= FAILED {
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
