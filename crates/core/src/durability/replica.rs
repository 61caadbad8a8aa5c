//! What is known of the replicas that may hold a commit.

use std::time::Duration;

use super::Commit;
use crate::{
    failover::ReplicationStatus,
    position::{Position, Term},
    time::Time,
};

/// Time after its registration from which on every failover knows a server.
const REGISTRATION_SPAN: Duration = Duration::from_millis(3_000);

/// What is known of a replica since the primary acknowledged a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyState {
    /// It has received the commit.
    Holds,
    /// It has reported that it has not received the commit.
    Lacks,
    /// It was too busy to report, but it is reached.
    Reached,
    /// It has answered nothing.
    Silent,
}

impl CopyState {
    /// Returns the label in logs.
    pub fn label(self) -> &'static str {
        match self {
            CopyState::Holds => "holds",
            CopyState::Lacks => "lacks",
            CopyState::Reached => "reached",
            CopyState::Silent => "silent",
        }
    }
}

/// The answer of a replica to a question about its status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaAnswer {
    /// It reported its status.
    Status(ReplicationStatus),
    /// It was too busy to report.
    Busy,
}

impl ReplicaAnswer {
    /// Returns whether the replica has reported that it has not received the commit at `position`.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryhollow_core::{
    ///     Lsn, Position, Term, durability::ReplicaAnswer, failover::ReplicationStatus,
    /// };
    ///
    /// let at = |lsn| Position::new(Term::new(2), Lsn::new(lsn));
    /// let status = ReplicationStatus { received: at(139), ..ReplicationStatus::default() };
    /// assert!(ReplicaAnswer::Status(status).lacks(at(140)));
    /// assert!(!ReplicaAnswer::Status(status).lacks(at(139)));
    /// assert!(!ReplicaAnswer::Busy.lacks(at(140)), "it has reported nothing");
    /// ```
    pub fn lacks(&self, position: Position) -> bool {
        matches!(self, ReplicaAnswer::Status(status) if !holds(status, position))
    }
}

/// Returns whether a replica has received the commit at `position`, in its term.
fn holds(status: &ReplicationStatus, position: Position) -> bool {
    status.received.term() == position.term() && status.received >= position
}

/// A status, and when it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DatedStatus {
    asked: Time,
    status: ReplicationStatus,
}

/// What a replica has answered to one VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaAnswers {
    newest: Option<DatedStatus>,
    /// When the newest question was sent that it answered.
    reached: Option<Time>,
}

impl ReplicaAnswers {
    /// Records the answer to a question that was sent at `asked`.
    pub fn record(&mut self, asked: Time, answer: ReplicaAnswer) {
        self.reached = self.reached.max(Some(asked));
        let ReplicaAnswer::Status(status) = answer else { return };
        if self.newest.is_none_or(|newest| newest.asked <= asked) {
            self.newest = Some(DatedStatus { asked, status });
        }
    }

    /// Records that no answer arrived in time: the replica may start again without its log.
    pub fn record_silence(&mut self) {
        self.newest = None;
    }

    /// Adds the answer to a question that was sent at `asked`.
    pub fn with(mut self, asked: Time, answer: ReplicaAnswer) -> Self {
        self.record(asked, answer);
        self
    }
}

/// A registered replica, as far as one VM knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegisteredReplica {
    /// Time since a VM first knew that it is registered.
    pub registered: Duration,
    /// Whether it is about to be stopped; its log ends with it.
    pub leaving: bool,
    /// Whether it runs in the primary's data centre.
    pub near: bool,
    /// What it has answered.
    pub answers: ReplicaAnswers,
}

impl RegisteredReplica {
    /// Returns what is known of a commit.
    pub fn copy_state(&self, commit: &Commit) -> CopyState {
        let ReplicaAnswers { newest, reached } = self.answers;
        match newest {
            // The commit is newer than its position, so the status is too.
            Some(newest) if holds(&newest.status, commit.position) => CopyState::Holds,
            Some(newest) if newest.asked >= commit.answered => CopyState::Lacks,
            _ if reached.is_some_and(|asked| asked >= commit.answered) => CopyState::Reached,
            _ => CopyState::Silent,
        }
    }

    /// Returns whether it stays: it is a replica, and not about to be stopped.
    pub(super) fn stays(&self) -> bool {
        let is_primary = self.answers.newest.is_some_and(|newest| newest.status.primary);
        !self.leaving && !is_primary
    }

    /// Returns whether every failover waits for the replica, and it stays.
    pub fn takes_part(&self) -> bool {
        self.stays() && self.registered >= REGISTRATION_SPAN
    }

    /// Returns whether the replica was last fenced at a term above `term`.
    pub(super) fn is_fenced_above(&self, term: Term) -> bool {
        self.answers.newest.is_some_and(|newest| newest.status.fenced_term > term)
    }
}
