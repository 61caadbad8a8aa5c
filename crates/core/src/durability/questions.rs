//! Which replicas are asked about a commit, and when.

use std::{cmp::Reverse, time::Duration};

use super::{CopyState, RegisteredReplica};
use crate::time::Time;

/// Time for which one replica alone is asked.
const FIRST_WAIT: Duration = Duration::from_millis(25);

/// Time after which all replicas are asked again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Number of rounds after which a replica that has not answered is asked again, by another home.
const SILENT_ROUNDS: u32 = 4;

/// A replica that may be asked about a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuestionTarget {
    /// What is known of the replica.
    pub replica: RegisteredReplica,
    /// Whether it runs in the data centre of the VM that asks.
    pub here: bool,
    /// Time that its last answer took.
    pub delay: Duration,
}

/// Returns the indices of `targets` in the order in which they are asked. Replicas that are leaving
/// are left out.
///
/// A replica in another data centre than the primary comes first, because its copy needs no other
/// evidence. If all VMs are in one data centre (`single`), the data centres do not matter.
pub fn rank_targets(targets: &[QuestionTarget], single: bool) -> Vec<usize> {
    let mut ranked: Vec<usize> =
        (0..targets.len()).filter(|i| !targets[*i].replica.leaving).collect();
    ranked.sort_by_key(|i| {
        let QuestionTarget { replica, here, delay } = targets[*i];
        (replica.near && !single, delay, Reverse(here))
    });
    ranked
}

/// Returns the index of the home by which a replica is asked in this `round`, or `None` if it is not
/// asked. It was asked first in the round `begun`.
///
/// A replica that has answered without the commit is asked again in all rounds but the next one. A
/// silent one is asked again every [`SILENT_ROUNDS`] rounds.
pub fn home_in_round(round: u32, begun: u32, state: CopyState) -> Option<u32> {
    let rounds = round.checked_sub(begun)?;
    let is_due = match state {
        CopyState::Silent => rounds.is_multiple_of(SILENT_ROUNDS),
        _ => rounds != 1,
    };
    is_due.then_some(rounds / SILENT_ROUNDS)
}

/// What to do next for a commit that waits for evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask the first replica.
    AskFirst,
    /// Ask other VMs, and all replicas that are due in the round of this number, from 1 on.
    AskAll(u32),
    /// Wait for answers, for so long at most.
    Wait(Duration),
}

/// When which questions about one commit are sent: first to one replica, then to all in rounds.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Time, durability::{CopyState, QuestionSchedule, Step}};
///
/// let at = Time::from_millis;
/// let mut schedule = QuestionSchedule::new();
/// assert_eq!(schedule.next_step(CopyState::Silent, at(10)), Step::AskFirst);
/// let rest = Duration::from_millis(20);
/// assert_eq!(schedule.next_step(CopyState::Silent, at(15)), Step::Wait(rest));
/// assert_eq!(schedule.next_step(CopyState::Lacks, at(16)), Step::AskAll(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct QuestionSchedule {
    /// Number of times that questions were sent.
    asked: u32,
    /// When more are sent.
    next: Time,
}

impl QuestionSchedule {
    /// Creates the schedule of a commit about which nothing was asked.
    pub fn new() -> Self {
        QuestionSchedule::default()
    }

    /// Returns the next step, and counts it as carried out. `first` is what the replica that was
    /// asked first has answered.
    pub fn next_step(&mut self, first: CopyState, now: Time) -> Step {
        let is_unhelpful = self.asked == 1 && first != CopyState::Silent;
        if self.asked > 0 && now < self.next && !is_unhelpful {
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
