//! The floor of a failover: the position that a server must have received to be promoted.
//!
//! The floor is known if the coordinator knows an acknowledged commit of the present term, or an
//! older commit and where the log of that term began. It is not known after all daemons were
//! restarted. Then every position that a server reports counts as acknowledged, so that the
//! longest log wins, also that of the old primary.

use std::time::Duration;

use super::{Cause, Failover, Member, Replica};
use crate::{
    position::{Position, Term},
    time::Time,
};

/// Time for which a coordinator that does not know what was acknowledged waits for an answer of
/// the old primary, longer than the entry of a server that ended stays in the directory.
const PRIMARY_WAIT: Duration = Duration::from_secs(4);

/// Whether no server may be promoted, because no replica has received the floor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shortage {
    /// This was never the case.
    None,
    /// This has been the case since then.
    Since(Time),
    /// This was the case, and a replica has received the floor meanwhile.
    Cleared,
}

impl Shortage {
    /// Returns what is known after all replicas have answered.
    pub(super) fn next(self, is_behind: bool, now: Time) -> Self {
        match (self, is_behind) {
            (Shortage::Since(since), true) => Shortage::Since(since),
            (_, true) => Shortage::Since(now),
            (Shortage::None, false) => Shortage::None,
            (_, false) => Shortage::Cleared,
        }
    }
}

/// What a failover knows of the commits that were acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Floor {
    /// Nothing after this position is known to be acknowledged in the present term.
    Known(Position),
    /// Whatever a server reports may be acknowledged, up to this position.
    Unknown(Position),
}

impl Floor {
    /// Returns what a server must have received to be promoted.
    pub(super) fn position(self) -> Position {
        match self {
            Floor::Known(position) | Floor::Unknown(position) => position,
        }
    }
}

impl Failover {
    /// Records where the log of the newest promoted primary began. A coordinator that knows this
    /// hears of each commit that callers are told of afterwards. It may not have heard of earlier
    /// ones, so the start counts only if an acknowledged commit is known too.
    pub fn record_log_start(&mut self, start: Position) {
        if self.acknowledged > Position::default() {
            self.known_term = self.known_term.max(start.term());
        }
    }

    /// Returns the floor by what is known to be acknowledged now.
    pub(super) fn floor(&self) -> Floor {
        self.floor_from(self.acknowledged)
    }

    /// Returns the floor by what was known to be acknowledged when the failover began.
    fn initial_floor(&self) -> Floor {
        self.floor_from(self.first_acknowledged)
    }

    fn floor_from(&self, acknowledged: Position) -> Floor {
        match self.knows_floor() {
            true => Floor::Known(acknowledged),
            false => Floor::Unknown(self.longest_log().max(acknowledged)),
        }
    }

    /// Returns whether the floor is known. The present term is the highest that any server reports.
    pub(super) fn knows_floor(&self) -> bool {
        self.known_term >= self.reported_term().max(Term::new(1))
    }

    /// Returns the greatest position that any server has reported.
    fn longest_log(&self) -> Position {
        let replicas = self.replicas.values().filter_map(Replica::received);
        let primary = self.primary.as_ref().and_then(|old| Some(old.status()?.received));
        replicas.chain(primary).max().unwrap_or_default()
    }

    /// Returns whether the log of the old primary may matter and is not known yet.
    pub(super) fn awaits_primary(&self, now: Time) -> bool {
        let is_unheard = self.primary.as_ref().is_some_and(|old| old.status().is_none());
        let may_answer = now.since(self.started) < PRIMARY_WAIT;
        self.cause == Cause::Failure && !self.knows_floor() && is_unheard && may_answer
    }

    /// Returns whether no server that may be promoted has received the initial floor, in the
    /// failover of a failed primary. The primary may still work, and replicas that are not fenced
    /// may receive what they lack.
    pub(super) fn lacks_candidate(&self) -> bool {
        let primary = self.primary.as_ref().and_then(|old| old.stepped_down());
        let received = self.most_received().max(primary.map(|(received, _)| received));
        self.cause == Cause::Failure && received < Some(self.initial_floor().position())
    }

    /// Makes the old primary a member, if it has stepped down with the floor in its log and no
    /// replica has received it.
    pub(super) fn readmit_primary(&mut self) {
        let floor = self.floor().position();
        let is_behind = self.all_fenced() && self.most_received() < Some(floor);
        let stepped_down = self.primary.as_ref().and_then(|old| old.stepped_down());
        let may_lead = stepped_down.is_some_and(|(received, _)| received >= floor);
        if self.cause != Cause::Failure || !is_behind || !may_lead {
            return;
        }
        let Some(old) = self.primary.take() else { return };
        let server = old.server().clone();
        let member = Member { server: server.clone(), preferred: false, cold: false, born: 0 };
        let replica = Replica { status: old.status(), ..Replica::new(member) };
        self.replicas.insert(server, replica);
    }

    fn most_received(&self) -> Option<Position> {
        self.replicas.values().filter_map(Replica::received).max()
    }
}
