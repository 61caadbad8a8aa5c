//! Which server a failover promotes, and when it may.

use super::{ANNOUNCEMENT_SPAN, Cause, Demotion, Failover, Member, Replica};
use crate::{id::ServerId, position::Position, time::Time};

impl Failover {
    /// Returns whether a server that nobody knows may hold acknowledged commits: the old
    /// primary has written more than any known server received, and the servers were not
    /// listed since it stepped down.
    pub(super) fn lacks_list(&self) -> bool {
        let Some((written, since)) = self.primary.as_ref().and_then(Demotion::stepped_down) else {
            return false;
        };
        let received = self.replicas.values().filter_map(Replica::received).max();
        self.fencing_since.is_some()
            && received < Some(written)
            && !self.listing.is_newer_than(since)
    }

    /// Returns whether all VMs in contact know of the failover.
    fn is_announced(&self, now: Time) -> bool {
        !self.unannounced && now.since(self.announced) >= ANNOUNCEMENT_SPAN
    }

    /// Returns when the list of servers must have been asked for at the earliest: when all VMs knew
    /// of the failover, and the last server was fenced.
    pub(super) fn list_needed(&self) -> Time {
        let fenced = self.replicas.values().filter_map(|replica| replica.fenced_since).max();
        (self.announced + ANNOUNCEMENT_SPAN).max(fenced.unwrap_or_default())
    }

    /// Returns whether servers may be unknown that were registered before a newer list could be
    /// asked for, and the directory may still tell.
    pub(super) fn awaits_list(&self, now: Time) -> bool {
        self.is_announced(now)
            && !self.listing.is_newer_than(self.list_needed())
            && !self.listing.is_given_up(now)
    }

    /// Returns whether all replicas are fenced.
    pub(super) fn all_fenced(&self) -> bool {
        self.replicas.values().all(|replica| replica.is_fenced(self.term))
    }

    /// Returns the server to promote, once every commit that is or may still be
    /// acknowledged is in its log.
    pub(super) fn promotable(&self, now: Time) -> Option<ServerId> {
        if !self.is_announced(now) || self.awaits_list(now) {
            return None;
        }
        let is_fenced = |replica: &Replica| replica.is_fenced(self.term);
        let target = match self.cause {
            Cause::Failure => {
                let is_closed = self.fencing_since.is_some()
                    && !self.is_demotion_due(now)
                    && !self.lacks_list();
                if !is_closed || !self.all_fenced() {
                    return None;
                }
                self.most_advanced()?
            }
            Cause::Planned => {
                let target = self.target.clone()?;
                let others = self.replicas.iter().filter(|(server, _)| **server != target);
                if !others.map(|(_, replica)| replica).all(is_fenced) {
                    return None;
                }
                target
            }
        };
        let received = self.received(&target)?;
        let most = self.replicas.keys().filter_map(|server| self.received(server)).max()?;
        (received >= most && received >= self.required()).then_some(target)
    }

    /// Returns what a server must have received to be promoted. A leaving primary works until then,
    /// and all that it has written by the start is required of its successor. Once an attempt is
    /// made, only the successor can confirm more.
    pub(super) fn required(&self) -> Position {
        match self.cause {
            Cause::Failure => self.floor().position(),
            Cause::Planned if self.promotion_sent.is_some() => self.attempt_floor,
            Cause::Planned => self.acknowledged,
        }
    }

    pub(super) fn received(&self, server: &ServerId) -> Option<Position> {
        self.replicas.get(server)?.received()
    }

    /// Returns the server that received most. If several received equally much, returns the one
    /// whose promotion was ordered before, because that order changes nothing any more if it is
    /// carried out too, or else a preferred one. Returns `None` until all servers have answered.
    fn most_advanced(&self) -> Option<ServerId> {
        self.best_member(|replica| {
            let is_ordered = self.open_order.as_ref() == Some(&replica.member.server);
            Some((replica.received(), is_ordered, replica.member.preferred))
        })
    }

    /// Returns the server that takes over from a leaving primary: of those that will stay and
    /// have received what was acknowledged at the start, one that is not slow, and of those
    /// the one that started last. Returns `None` until all servers have answered.
    pub(super) fn successor(&self) -> Option<ServerId> {
        self.best_member(|replica| {
            let Member { preferred, cold, born, .. } = replica.member;
            let received = replica.received();
            let is_recent = received >= Some(self.first_acknowledged);
            preferred.then_some((is_recent, !cold, is_recent.then_some(born), received))
        })
    }

    /// Returns the server with the greatest `key`, among those that have one. Returns `None`
    /// until all servers have answered.
    fn best_member<K: Ord>(&self, key: impl Fn(&Replica) -> Option<K>) -> Option<ServerId> {
        if self.replicas.values().any(|replica| replica.status.is_none()) {
            return None;
        }
        let keyed = self.replicas.iter().filter_map(|(server, r)| Some((key(r)?, server)));
        keyed.max_by(|(a, _), (b, _)| a.cmp(b)).map(|(_, server)| server.clone())
    }
}
