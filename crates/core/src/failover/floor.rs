//! What a server must have received to be promoted.
//!
//! A coordinator that knows of an acknowledged commit in the present term, or where that term
//! began, knows what must not be lost. One that knows neither, because all daemons were restarted,
//! takes every position that a server reports for acknowledged: the longest log wins, also that of
//! the old primary.

use std::time::Duration;

use super::{Cause, Failover, Member, Replica};
use crate::{
    position::{Position, Term},
    time::Time,
};

/// Time for which a coordinator that does not know what was acknowledged waits for an answer of
/// the old primary, longer than the entry of a server that ended stays in the directory.
const PRIMARY_WAIT: Duration = Duration::from_secs(4);

/// Whether nobody may be promoted, because all replicas lack what is acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shortage {
    /// That was never the case.
    None,
    /// Since this time.
    Since(Time),
    /// A replica has received it meanwhile.
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
    /// Records where the log of the newest promoted primary began. A coordinator that knows it
    /// hears of each commit that callers are told of afterwards. Of those before it says nothing,
    /// so it counts only beside an acknowledged commit.
    pub fn record_log_start(&mut self, start: Position) {
        if self.acknowledged > Position::default() {
            self.informed = self.informed.max(start.term());
        }
    }

    /// Returns what must be in the log of the next primary.
    pub(super) fn floor(&self) -> Floor {
        self.floor_from(self.acknowledged)
    }

    /// Returns the same as of the start of the failover.
    fn first_floor(&self) -> Floor {
        self.floor_from(self.first_acknowledged)
    }

    fn floor_from(&self, acknowledged: Position) -> Floor {
        match self.is_informed() {
            true => Floor::Known(acknowledged),
            false => Floor::Unknown(self.longest_log().max(acknowledged)),
        }
    }

    /// Returns whether a commit in the present term, or its start, is known.
    pub(super) fn is_informed(&self) -> bool {
        self.informed >= self.reported_term().max(Term::new(1))
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
        self.cause == Cause::Failure && !self.is_informed() && is_unheard && may_answer
    }

    /// Returns whether nobody who may be promoted has received what was acknowledged at the start
    /// of the failover of a failed primary. The primary may still work, and replicas that are not
    /// fenced may receive what they lack.
    pub(super) fn lacks_candidate(&self) -> bool {
        let primary = self.primary.as_ref().and_then(|old| old.stepped_down());
        let received = self.most_received().max(primary.map(|(received, _)| received));
        self.cause == Cause::Failure && received < Some(self.first_floor().position())
    }

    /// Makes the old primary a member, if it has stepped down and no replica has received what
    /// was acknowledged.
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
