//! Durability: whether a commit that the primary acknowledged survives a failover.
//!
//! A primary acknowledges a commit once any replica has received it. A failover chooses among
//! the servers that it knows, so the commit is lost if the only replica with it has never been
//! registered: it was started behind a partition, together with the primary, or while the
//! directory is away. A VM therefore tells a caller of a success only if there is evidence:
//!
//! * A copy: a replica that stays, and that has been registered for so long that every failover
//!   knows it, has received the commit. This is asked first, because it needs neither clocks nor
//!   knowledge of other VMs.
//! * Contact: messages pass in both directions between the primary's data centre and another one,
//!   no failover runs, and a replica that every failover waits for has answered since the primary
//!   did. A server that had received the commit by then can register, and a failover that begins
//!   later lists it. Messages between VMs alone show nothing, since a partition may leave some VMs
//!   of each data centre on the primary's side. If no failover waits for a replica of the group, the
//!   directory must have answered instead. Contact shows nothing while a replica that stays lacks
//!   the commit, because the server that has received it may be about to leave.
//!
//! A commit without evidence is told as unknown. `docs/design/durability.md` lists what the two
//! rules rest on.

mod questions;
mod replica;
mod told;

use std::time::Duration;

pub use self::{
    questions::{QuestionSchedule, QuestionTarget, Step, home_in_round, rank_targets},
    replica::{CopyState, RegisteredReplica, ReplicaAnswer, ReplicaAnswers},
    told::{MissingCommits, ToldCommits},
};

use crate::{
    failover::Announcement,
    position::{Position, Term},
    time::Time,
};

/// Age of the newest known state of the directory up to which servers can register there.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(4_000);

/// A commit that the primary acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    /// Position of the commit in the primary's log.
    pub position: Position,
    /// When the primary's answer arrived.
    pub answered: Time,
}

/// What a VM knows at the time at which it decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Knowledge {
    /// Present time.
    pub now: Time,
    /// Newest known term of the group.
    pub term: Term,
    /// Newest failover of the group that may run.
    pub failover: Option<Announcement>,
    /// When the newest question was sent that shows contact between the primary's data centre
    /// and another one, by its answer. If all VMs are in one data centre, any VM's answer counts.
    pub contact: Option<Time>,
    /// Whether all VMs are in one data centre.
    pub single: bool,
    /// Whether there has been contact for so long that servers that were cut off have
    /// registered.
    pub steady: bool,
    /// Time since the directory was last known to answer.
    pub directory_age: Duration,
    /// When the newest call of this VM was sent that the directory has answered.
    pub directory_asked: Option<Time>,
}

/// What decides whether a caller is told of a success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// There is contact with another data centre, and a replica elsewhere was reached.
    Contact,
    /// A registered replica holds the commit.
    Copy,
    /// Another primary leads. Whether the commit is in its log is not known.
    Superseded,
    /// Nothing was shown in time.
    Missing,
}

impl Evidence {
    /// Returns whether the commit survives a failover.
    pub fn is_sufficient(self) -> bool {
        matches!(self, Evidence::Contact | Evidence::Copy)
    }

    /// Returns the label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Evidence::Contact => "contact",
            Evidence::Copy => "copy",
            Evidence::Superseded => "superseded",
            Evidence::Missing => "missing",
        }
    }
}

impl Commit {
    /// Returns what is known of the commit, or `None` if that is not enough.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use chicoryhollow_core::{
    ///     Lsn, Position, Term, Time,
    ///     durability::{
    ///         Commit, Evidence, Knowledge, RegisteredReplica, ReplicaAnswer, ReplicaAnswers,
    ///     },
    /// };
    ///
    /// let term = Term::new(2);
    /// let answered = Time::from_millis(8_300);
    /// let commit = Commit { position: Position::new(term, Lsn::new(195)), answered };
    /// let knowledge = Knowledge {
    ///     now: Time::from_millis(8_310),
    ///     term,
    ///     failover: None,
    ///     contact: Some(answered),
    ///     single: false,
    ///     steady: true,
    ///     directory_age: Duration::ZERO,
    ///     directory_asked: None,
    /// };
    /// let registered = Duration::from_secs(60);
    /// let replica = |asked| RegisteredReplica {
    ///     registered,
    ///     leaving: false,
    ///     near: false,
    ///     answers: ReplicaAnswers::default().with(asked, ReplicaAnswer::Busy),
    /// };
    /// let earlier = Time::from_millis(8_000);
    /// assert_eq!(commit.evidence(&knowledge, &[replica(earlier)]), None);
    /// assert_eq!(commit.evidence(&knowledge, &[replica(answered)]), Some(Evidence::Contact));
    /// ```
    pub fn evidence(
        &self,
        knowledge: &Knowledge,
        replicas: &[RegisteredReplica],
    ) -> Option<Evidence> {
        if knowledge.term > self.position.term() {
            return Some(Evidence::Superseded);
        }
        if replicas.iter().any(|replica| self.is_held_by(replica, knowledge)) {
            return Some(Evidence::Copy);
        }
        if self.may_be_replaced(knowledge) {
            return None;
        }
        let may_register = knowledge.steady && knowledge.directory_age < MAX_DIRECTORY_AGE;
        let reaches = || self.reaches_deciders(knowledge, replicas);
        (self.has_contact(knowledge) && may_register && reaches()).then_some(Evidence::Contact)
    }

    /// Returns whether a replica that every failover waits for was reached after the primary's
    /// answer, or the directory if there is none. No replica that stays may have reported that it
    /// lacks the commit.
    fn reaches_deciders(&self, knowledge: &Knowledge, replicas: &[RegisteredReplica]) -> bool {
        if self.is_lacked(replicas) {
            return false;
        }
        if !replicas.iter().any(RegisteredReplica::takes_part) {
            return knowledge.directory_asked.is_some_and(|asked| asked >= self.answered);
        }
        replicas.iter().any(|replica| {
            replica.takes_part()
                && (!replica.near || knowledge.single)
                && replica.copy_state(self) != CopyState::Silent
        })
    }

    /// Returns whether a replica that stays has reported that it has not received the commit.
    fn is_lacked(&self, replicas: &[RegisteredReplica]) -> bool {
        let lacks = |replica: &RegisteredReplica| {
            replica.stays() && replica.copy_state(self) == CopyState::Lacks
        };
        replicas.iter().any(lacks)
    }

    /// Returns whether other VMs are to be asked about the commit: no replica that stays is known to
    /// lack it, or one near the primary has it.
    ///
    /// Otherwise their answers cannot be evidence. They would only raise the floor of a failover, by
    /// a commit of whose success no caller is told.
    pub fn may_rest_on_contact(&self, replicas: &[RegisteredReplica]) -> bool {
        let is_near_copy = |replica: &RegisteredReplica| {
            replica.near && replica.stays() && replica.copy_state(self) == CopyState::Holds
        };
        !self.is_lacked(replicas) || replicas.iter().any(is_near_copy)
    }

    /// Returns whether a question that was sent after the primary's answer was answered.
    fn has_contact(&self, knowledge: &Knowledge) -> bool {
        knowledge.contact.is_some_and(|asked| asked >= self.answered)
    }

    /// Returns whether a failover may run that replaces the primary. While it does, no contact
    /// shows anything.
    pub fn may_be_replaced(&self, knowledge: &Knowledge) -> bool {
        let term = self.position.term();
        knowledge.failover.is_some_and(|failover| failover.may_replace(term, knowledge.now))
    }

    /// Returns whether the failover that runs counts what `replica` has received, and no earlier
    /// order may do without.
    fn outlasts_failover(&self, replica: &RegisteredReplica, knowledge: &Knowledge) -> bool {
        let is_ordered = knowledge.failover.is_some_and(|failover| failover.ordered);
        !is_ordered && replica.is_fenced_above(self.position.term())
    }

    /// Returns whether `replica` holds the commit, and takes part in every failover.
    ///
    /// A replica in the primary's data centre counts only if that is not cut off: a failover
    /// elsewhere does not wait for it for ever. While a failover runs, a replica counts only if it
    /// is fenced: one that has started again has lost its fence, and receives. It does not count
    /// at all while an earlier order may replace the primary by a server that lacks the commit.
    pub fn is_held_by(&self, replica: &RegisteredReplica, knowledge: &Knowledge) -> bool {
        replica.takes_part()
            && (!replica.near || knowledge.single || self.has_contact(knowledge))
            && (!self.may_be_replaced(knowledge) || self.outlasts_failover(replica, knowledge))
            && replica.copy_state(self) == CopyState::Holds
    }
}
