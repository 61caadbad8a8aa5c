//! Durability: whether a commit that the primary acknowledged survives a failover.
//!
//! A primary acknowledges a commit once any replica has received it. A failover chooses among
//! the servers that it knows, so the commit is lost if the only replica with it has never been
//! registered: it was started behind a partition, together with the primary, or while the
//! directory is away. A VM therefore tells a caller of a success only if one of two things is
//! shown.
//!
//! * Messages pass in both directions between the primary's data centre and another one, and
//!   the directory answers, at a time after the primary's answer, and no failover runs. A server
//!   that had received the commit by then can register, and a failover that begins later lists
//!   it.
//! * A replica that has been registered for so long that every failover knows it has received
//!   the commit.
//!
//! The VM that answers the question counts the commit as acknowledged from then on, so that a
//! failover that hears of it waits for a server that has it.
//!
//! What is neither is told as unknown. VMs tell each other of a failover before it may order
//! a promotion, so that a VM with contact knows of it in time.

mod told;

use std::time::Duration;

pub use self::told::{MissingCommits, ToldCommits};

use crate::{
    failover::{Announcement, ReplicationStatus},
    position::{Position, Term},
    time::Time,
};

/// Age of the newest known state of the directory up to which servers can register there.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(4_000);

/// Time after its registration from which on every failover knows a server.
const REGISTRATION_SPAN: Duration = Duration::from_millis(3_000);

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
}

/// What decides whether a caller is told of a success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// There is contact with another data centre, and with the directory.
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
    /// Returns what is known without asking the replicas, or `None` if that is not enough.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use chicoryhollow_core::{
    ///     Lsn, Position, Term, Time,
    ///     durability::{Commit, Evidence, Knowledge},
    /// };
    ///
    /// let term = Term::new(2);
    /// let answered = Time::from_millis(8_300);
    /// let commit = Commit { position: Position::new(term, Lsn::new(195)), answered };
    /// let knowledge = |contact| Knowledge {
    ///     now: Time::from_millis(8_310),
    ///     term,
    ///     failover: None,
    ///     contact,
    ///     single: false,
    ///     steady: true,
    ///     directory_age: Duration::ZERO,
    /// };
    /// let earlier = Some(Time::from_millis(8_000));
    /// assert_eq!(commit.evidence(&knowledge(earlier)), None);
    /// let later = Some(answered);
    /// assert_eq!(commit.evidence(&knowledge(later)), Some(Evidence::Contact));
    /// ```
    pub fn evidence(&self, knowledge: &Knowledge) -> Option<Evidence> {
        if knowledge.term > self.position.term() {
            return Some(Evidence::Superseded);
        }
        if self.may_be_replaced(knowledge) {
            return None;
        }
        let may_register = knowledge.steady && knowledge.directory_age < MAX_DIRECTORY_AGE;
        (self.has_contact(knowledge) && may_register).then_some(Evidence::Contact)
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

    /// Returns whether `replica` holds the commit, and takes part in every failover.
    ///
    /// A replica in the primary's data centre counts only if that is not cut off: a failover
    /// elsewhere does not wait for it for ever. While a failover runs, a replica counts only if it
    /// is fenced: one that has started again has lost its fence, and receives.
    pub fn is_held_by(&self, replica: &RegisteredReplica, knowledge: &Knowledge) -> bool {
        let RegisteredReplica { status, near, .. } = replica;
        let term = self.position.term();
        replica.takes_part()
            && (!near || knowledge.single || self.has_contact(knowledge))
            && (!self.may_be_replaced(knowledge) || status.fenced_term > term)
            && status.received.term() == term
            && status.received >= self.position
    }
}

/// A registered replica that has reported its replication status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegisteredReplica {
    /// Time since this VM first knew that it is registered.
    pub registered: Duration,
    /// Whether it is about to be stopped; its log ends with it.
    pub leaving: bool,
    /// Whether it runs in the primary's data centre.
    pub near: bool,
    /// What it reported.
    pub status: ReplicationStatus,
}

impl RegisteredReplica {
    fn takes_part(&self) -> bool {
        !self.leaving && !self.status.primary && self.registered >= REGISTRATION_SPAN
    }
}
