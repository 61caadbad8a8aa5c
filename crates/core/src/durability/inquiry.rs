//! Which replicas are asked about a commit, and when.

use std::{cmp::Reverse, time::Duration};

use super::{CopyState, RegisteredReplica};
use crate::time::Time;

/// Time for which one replica alone is asked.
const FIRST_WAIT: Duration = Duration::from_millis(25);

/// Time after which all replicas are asked again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Number of further times that questions are sent before a replica that has not answered is asked
/// again, by another home.
const PATIENT_ROUNDS: u32 = 4;

/// A replica that may be asked about a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Witness {
    /// What is known of the replica.
    pub replica: RegisteredReplica,
    /// Whether it runs in the data centre of the VM that asks.
    pub here: bool,
    /// Time that its last answer took.
    pub delay: Duration,
}

/// Returns the numbers of `witnesses` in the order in which they are asked. Those that are
/// leaving are left out.
///
/// A replica in another data centre than the primary needs no other evidence, unless all VMs
/// are in one (`single`).
pub fn rank_witnesses(witnesses: &[Witness], single: bool) -> Vec<usize> {
    let mut ranked: Vec<usize> =
        (0..witnesses.len()).filter(|i| !witnesses[*i].replica.leaving).collect();
    ranked.sort_by_key(|i| {
        let Witness { replica, here, delay } = witnesses[*i];
        (replica.near && !single, delay, Reverse(here))
    });
    ranked
}

/// Returns by which of its homes a replica is asked for the time with the number `round`, or `None`
/// if it is not. It was asked first in the round `begun`.
///
/// One that has answered without the commit is asked again after the next pause, one that is
/// silent later.
pub fn home_in_round(round: u32, begun: u32, state: CopyState) -> Option<u32> {
    let rounds = round.checked_sub(begun)?;
    let is_due = match state {
        CopyState::Silent => rounds.is_multiple_of(PATIENT_ROUNDS),
        _ => rounds != 1,
    };
    is_due.then_some(rounds / PATIENT_ROUNDS)
}

/// What to do next for a commit that waits for evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask the first replica.
    AskFirst,
    /// Ask other VMs, and all replicas whose answers are not awaited, for the time with this
    /// number, from 1 on.
    AskAll(u32),
    /// Wait for answers, for so long at most.
    Wait(Duration),
}

/// The questions about one commit: first to one replica, then to all.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Time, durability::{CopyState, Inquiry, Step}};
///
/// let at = Time::from_millis;
/// let mut inquiry = Inquiry::new();
/// assert_eq!(inquiry.next_step(CopyState::Silent, at(10)), Step::AskFirst);
/// let rest = Duration::from_millis(20);
/// assert_eq!(inquiry.next_step(CopyState::Silent, at(15)), Step::Wait(rest));
/// assert_eq!(inquiry.next_step(CopyState::Lacks, at(16)), Step::AskAll(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Inquiry {
    /// Number of times that questions were sent.
    asked: u32,
    /// When more are sent.
    next: Time,
}

impl Inquiry {
    /// Creates an inquiry that has asked nothing.
    pub fn new() -> Self {
        Inquiry::default()
    }

    /// Returns the next step, which is carried out. `first` is what is known of the replica that
    /// was asked first.
    pub fn next_step(&mut self, first: CopyState, now: Time) -> Step {
        let is_vain = self.asked == 1 && first != CopyState::Silent;
        if self.asked > 0 && now < self.next && !is_vain {
            return Step::Wait(self.next.since(now));
        }
        self.asked += 1;
        if self.asked == 1 {
            self.next = now + FIRST_WAIT;
            return Step::AskFirst;
        }
        self.next = now + REPEAT_INTERVAL;
        Step::AskAll(self.asked - 1)
    }
}
