//! Whether, and when, a refused request is tried again.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::refusal::{Outcome, Refusal, Retry};

/// Retries that one request earns.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries saved up at most, which bounds the retries of a sudden outage.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// Upper bound of the first pause, in milliseconds.
const BASE_MS: u64 = 5;

/// Upper bound of any pause, in milliseconds.
const CAP_MS: u64 = 250;

/// What is known of a request when an attempt to run it was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// It only reads.
    Read,
    /// It writes.
    Write,
    /// It writes, and running it twice has the same effect as once.
    Idempotent,
    /// Part of its answer was passed on to the caller.
    Answered,
}

/// What to do about a refused attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Tell the caller.
    Refuse,
    /// Try another server.
    Reroute,
    /// Wait for another primary or for a while, then try again.
    Wait,
}

/// Decides about an attempt outside a transaction that was refused.
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

/// Tells whether the server took no more work, while another one might.
fn is_busy(refusal: Refusal) -> bool {
    matches!(refusal, Refusal::QueueFull | Refusal::DeadlineTooClose)
}

/// Bounds retries to a share of the requests.
///
/// Every request earns a tenth of a retry, so that retries add at most a tenth
/// to the load of an outage that lasts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new() -> Self {
        RetryBudget { saved: MAX_SAVED_RETRIES }
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; returns whether there was one.
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
    /// Makes the pauses of a new request.
    pub fn new() -> Self {
        Backoff::default()
    }

    /// Returns the next pause.
    pub fn pause(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = BASE_MS.saturating_mul(1 << self.attempts.min(16)).min(CAP_MS);
        self.attempts = self.attempts.saturating_add(1);
        Duration::from_micros(rng.random_range(1..=bound * 1_000))
    }
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::StdRng};

    use super::*;

    #[test]
    fn attempts_are_repeated_only_when_that_is_safe() {
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
    fn nothing_is_repeated_after_its_answer_began() {
        for refusal in Refusal::ALL {
            assert_eq!(next_action(Attempt::Answered, refusal), Action::Refuse);
        }
    }

    #[test]
    fn a_plain_write_is_repeated_only_when_it_did_not_run() {
        for refusal in Refusal::ALL {
            if next_action(Attempt::Write, refusal) != Action::Refuse {
                assert_eq!(refusal.outcome(), Outcome::NotRun, "{refusal:?}");
            }
        }
    }

    #[test]
    fn a_lasting_outage_adds_a_tenth() {
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
    fn pauses_grow_up_to_the_cap() {
        let mut rng = StdRng::seed_from_u64(3);
        let mut backoff = Backoff::new();
        let pauses: Vec<_> = (0..40).map(|_| backoff.pause(&mut rng)).collect();
        assert!(pauses[0] <= Duration::from_millis(BASE_MS));
        assert!(pauses.iter().all(|pause| *pause <= Duration::from_millis(CAP_MS)));
        assert!(pauses.iter().any(|pause| *pause > Duration::from_millis(CAP_MS / 2)));
    }
}
