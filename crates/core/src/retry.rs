//! Retries of refused requests.
//!
//! [`next_action`] decides whether it is safe and useful to retry a refused request.
//! [`RetryBudget`] limits the share of retries in the load, and [`Backoff`] spaces
//! the attempts of one request.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::refusal::{Outcome, Refusal, Retry};

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of saved retries, which limits the retries at the start of an
/// outage.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// Upper bound of the first pause, in milliseconds.
const MAX_FIRST_PAUSE_MS: u64 = 5;

/// Upper bound of every pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 250;

/// State of a request when an attempt to run it was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The request only reads.
    Read,
    /// The request writes.
    Write,
    /// The request writes, and running it twice has the same effect as once.
    Idempotent,
    /// Part of the answer was already sent to the caller.
    Answered,
}

/// Next action after a refused attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Report the refusal to the caller.
    Refuse,
    /// Try another server.
    Reroute,
    /// Wait for another primary or for a short time, then try again.
    Wait,
}

/// Returns the next action after a refused attempt outside a transaction.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Refusal, retry::{Attempt, Action, next_action}};
///
/// assert_eq!(next_action(Attempt::Write, Refusal::NotPrimary), Action::Wait);
/// assert_eq!(next_action(Attempt::Write, Refusal::WriteInterrupted), Action::Refuse);
/// ```
pub fn next_action(attempt: Attempt, refusal: Refusal) -> Action {
    let row = refusal.row();
    let ran = row.outcome != Outcome::NotRun;
    match attempt {
        Attempt::Answered => Action::Refuse,
        Attempt::Read if ran || row.retry == Retry::Allowed || is_busy(refusal) => Action::Reroute,
        Attempt::Idempotent if row.outcome == Outcome::Unknown => Action::Wait,
        Attempt::Write | Attempt::Idempotent if !ran && row.retry == Retry::Allowed => Action::Wait,
        _ => Action::Refuse,
    }
}

/// Returns whether this server accepts no more requests, while another one might.
fn is_busy(refusal: Refusal) -> bool {
    matches!(refusal, Refusal::QueueFull | Refusal::DeadlineTooClose)
}

/// Limits retries to a share of the requests.
///
/// Each request adds a tenth of a retry to the budget, so retries add at most a
/// tenth to the load during a long outage.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        RetryBudget { saved: MAX_SAVED_RETRIES }
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget.
    ///
    /// Returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}

/// Pauses between the attempts of one request: exponential with full jitter.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// Creates the pauses of a new request.
    pub fn new() -> Self {
        Backoff::default()
    }

    /// Returns the next pause.
    pub fn pause(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = MAX_FIRST_PAUSE_MS.saturating_mul(1 << self.attempts.min(16)).min(MAX_PAUSE_MS);
        self.attempts = self.attempts.saturating_add(1);
        Duration::from_micros(rng.random_range(1..=bound * 1_000))
    }
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::StdRng};

    use super::*;

    #[test]
    fn attempts_are_retried_only_when_that_is_safe() {
        let cases = [
            (Attempt::Read, Refusal::ReadInterrupted, Action::Reroute),
            (Attempt::Read, Refusal::TooStale, Action::Reroute),
            (Attempt::Read, Refusal::Unconfirmed, Action::Reroute),
            (Attempt::Read, Refusal::QueueFull, Action::Reroute),
            (Attempt::Read, Refusal::RateExceeded, Action::Refuse),
            (Attempt::Write, Refusal::NoPrimary, Action::Wait),
            (Attempt::Write, Refusal::HomeUnreachable, Action::Wait),
            (Attempt::Write, Refusal::WriteLost, Action::Wait),
            (Attempt::Write, Refusal::QueueFull, Action::Refuse),
            (Attempt::Write, Refusal::WriteInterrupted, Action::Refuse),
            (Attempt::Write, Refusal::Unconfirmed, Action::Refuse),
            (Attempt::Write, Refusal::WriteCommitted, Action::Refuse),
            (Attempt::Idempotent, Refusal::WriteInterrupted, Action::Wait),
            (Attempt::Idempotent, Refusal::WriteCommitted, Action::Refuse),
        ];
        for (attempt, refusal, expected) in cases {
            assert_eq!(next_action(attempt, refusal), expected, "{attempt:?} {refusal:?}");
        }
    }

    #[test]
    fn no_request_is_retried_after_part_of_its_answer_was_sent() {
        for refusal in Refusal::ALL {
            assert_eq!(next_action(Attempt::Answered, refusal), Action::Refuse);
        }
    }

    #[test]
    fn a_write_that_is_not_idempotent_is_retried_only_if_it_did_not_run() {
        for refusal in Refusal::ALL {
            if next_action(Attempt::Write, refusal) != Action::Refuse {
                assert_eq!(refusal.outcome(), Outcome::NotRun, "{refusal:?}");
            }
        }
    }

    #[test]
    fn retries_add_at_most_a_tenth_during_a_long_outage() {
        let mut budget = RetryBudget::new();
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.record_request();
            while budget.try_take() {
                retries += 1;
            }
        }
        assert!((1_000..=1_000 + 64).contains(&retries), "{retries}");
    }

    #[test]
    fn pauses_grow_up_to_their_maximum() {
        let mut rng = StdRng::seed_from_u64(3);
        let mut backoff = Backoff::new();
        let pauses: Vec<_> = (0..40).map(|_| backoff.pause(&mut rng)).collect();
        assert!(pauses[0] <= Duration::from_millis(MAX_FIRST_PAUSE_MS));
        assert!(pauses.iter().all(|pause| *pause <= Duration::from_millis(MAX_PAUSE_MS)));
        assert!(pauses.iter().any(|pause| *pause > Duration::from_millis(MAX_PAUSE_MS / 2)));
    }
}
