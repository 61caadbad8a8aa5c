//! What open orders may still bring about, as other VMs have to be told.

use super::{EFFECT_SPAN, FailoverMemory, ORDER_SPAN, OpenOrder};
use crate::{
    failover::{Announcement, FailoverNumber},
    id::{GroupId, ServerId},
    position::Term,
    time::Time,
};

impl FailoverMemory {
    /// Returns the highest term that a server of a group other than `server` may lead by an open
    /// order, or `None` if there is no such order.
    pub fn highest_effect(&self, group: &GroupId, server: Option<&ServerId>) -> Option<Term> {
        let others = self.orders_of(group).filter(|open| Some(&open.server) != server);
        others.filter(|open| open.token.is_some()).map(|open| open.replaced.next()).max()
    }

    /// Returns the failover of a group that its open orders stand for. What an older order for
    /// another server brings about is replaced too, by the newest one.
    ///
    /// A VM that reads the row counts it as running although it has not got the role, because the
    /// directory may go away before anybody gets it.
    pub fn announcement(&self, group: &GroupId) -> Option<Announcement> {
        let newest = self.open_order(group)?;
        let open = self.orders_of(group).filter(|open| !open.repeated);
        let replaced = open.map(|open| open.replaced).max()?;
        let older = self.highest_effect(group, Some(&newest.server));
        let replaced = older.map_or(replaced, |effect| effect.max(replaced));
        let number = FailoverNumber::new(newest.token?.get());
        Some(Announcement { number, replaced, begun: newest.known + EFFECT_SPAN, ordered: true })
    }

    /// Returns whether no order of a group may be carried out and change something. Each order is in
    /// the row before it is sent, but one may be missing for a while after a restore.
    pub fn has_no_order(&self, group: &GroupId, now: Time) -> bool {
        let is_complete = self.restored.is_none_or(|since| now.since(since) >= ORDER_SPAN);
        is_complete && self.open_order(group).is_none()
    }

    /// Returns the term that open orders of earlier holders replace, once for each of them: the
    /// group is to be announced as having a failover.
    pub fn take_unannounced(&mut self, group: &GroupId) -> Option<Term> {
        let is_new =
            |open: &&mut OpenOrder| open.group == *group && !open.is_announced && !open.repeated;
        let orders = self.orders.iter_mut().filter(is_new);
        let replaced = orders
            .map(|open| {
                open.is_announced = true;
                open.replaced
            })
            .max()?;
        Some(self.announcement(group).map_or(replaced, |failover| failover.replaced.max(replaced)))
    }
}
