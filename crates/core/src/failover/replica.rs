//! The servers that take part in a failover, and what they reported.

use super::REPEAT_INTERVAL;
use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
};

/// A backend server of the group other than the old primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it may stay primary: it is neither leaving nor in a data centre that was
    /// taken out of service.
    pub preferred: bool,
    /// Whether it has only just started and is slow for a while.
    pub cold: bool,
    /// When it started, in milliseconds of its wall clock.
    pub born: u64,
}

/// Replication status that a backend server reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicationStatus {
    /// Whether it is the primary and accepts writes.
    pub primary: bool,
    /// Its term.
    pub term: Term,
    /// Newest position that it has received.
    pub received: Position,
    /// Term at which it was fenced, or zero if it is not fenced.
    pub fenced_term: Term,
}

/// What a failover knows of one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report<'a> {
    /// Name of the server.
    pub server: &'a ServerId,
    /// Its last answer, if it has answered.
    pub status: Option<ReplicationStatus>,
    /// When it last answered.
    pub answered: Option<Time>,
}

/// What a failover knows of one of its members.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) member: Member,
    pub(super) status: Option<ReplicationStatus>,
    pub(super) answered: Option<Time>,
    pub(super) last_action: Option<Time>,
    /// Since when it has been known to be fenced.
    pub(super) fenced_since: Option<Time>,
}

impl Replica {
    pub(super) fn new(member: Member) -> Self {
        Replica { member, status: None, answered: None, last_action: None, fenced_since: None }
    }

    /// Records its answer while servers are fenced at `term`.
    pub(super) fn record_status(&mut self, status: ReplicationStatus, term: Term, now: Time) {
        (self.status, self.answered) = (Some(status), Some(now));
        let since = self.fenced_since.unwrap_or(now);
        self.fenced_since = self.is_fenced(term).then_some(since);
    }

    pub(super) fn received(&self) -> Option<Position> {
        Some(self.status?.received)
    }

    /// Returns whether it does not receive from a primary of a lower term. A fence of an earlier
    /// failover at this term or a higher one does the same.
    pub(super) fn is_fenced(&self, term: Term) -> bool {
        self.status.is_some_and(|status| status.fenced_term >= term)
    }

    /// Returns whether another request may be sent.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.last_action.is_none_or(|last| now.since(last) >= REPEAT_INTERVAL)
    }
}
