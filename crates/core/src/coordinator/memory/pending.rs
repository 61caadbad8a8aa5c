//! The terms that open orders may still begin, of which other VMs have to be told.

use super::{EFFECT_SPAN, FailoverMemory, FencingToken, ORDER_SPAN, OpenOrder};
use crate::{
    failover::{Announcement, FailoverNumber},
    id::{GroupId, ServerId},
    position::Term,
    time::Time,
};

impl FailoverMemory {
    /// Returns the highest term that a server of a group may still lead by an open order, or `None`
    /// if there is no such order. Orders for the server `except` are left out.
    pub fn pending_term(&self, group: &GroupId, except: Option<&ServerId>) -> Option<Term> {
        let others = self.orders_of(group).filter(|open| Some(&open.server) != except);
        others.filter(|open| open.token.is_some()).map(|open| open.announced.next()).max()
    }

    /// Returns the failover of a group that its open orders stand for. If an older one is for
    /// another server, the failover also replaces the term that this server may lead.
    ///
    /// A VM that reads the row counts this failover as running although it is not the coordinator,
    /// because the directory may go away before a VM becomes the coordinator.
    pub fn announcement(&self, group: &GroupId) -> Option<Announcement> {
        let newest = self.open_order(group)?;
        let open = self.orders_of(group).filter(|open| !open.repeated);
        let replaced = open.map(|open| open.announced).max()?;
        let older = self.pending_term(group, Some(&newest.server));
        let replaced = older.map_or(replaced, |pending| pending.max(replaced));
        let number = FailoverNumber::new(newest.token?.get());
        Some(Announcement { number, replaced, begun: newest.known + EFFECT_SPAN, ordered: true })
    }

    /// Returns whether no order of a group may be carried out and change something. Each order is in
    /// the row before it is sent, but one may be missing for a while after a restore.
    pub fn has_no_order(&self, group: &GroupId, now: Time) -> bool {
        let is_complete = self.restored.is_none_or(|since| now.since(since) >= ORDER_SPAN);
        is_complete && self.open_order(group).is_none()
    }

    /// Returns the highest term that open orders of earlier coordinators replace, if one of them
    /// was not returned before. A failover that replaces this term is to be announced.
    pub fn take_unannounced(&mut self, group: &GroupId) -> Option<Term> {
        let is_new =
            |open: &&mut OpenOrder| open.group == *group && !open.is_announced && !open.repeated;
        let orders = self.orders.iter_mut().filter(is_new);
        let replaced = orders
            .map(|open| {
                open.is_announced = true;
                open.announced
            })
            .max()?;
        Some(self.announcement(group).map_or(replaced, |failover| failover.replaced.max(replaced)))
    }

    /// Keeps the newest order of a group as one whose server leads at `term` by the order `first`.
    pub(super) fn keep_repeated(&mut self, group: &GroupId, first: FencingToken, term: Term) {
        let newest = self.orders_of(group).filter_map(|open| open.token).max();
        let newest = newest.filter(|newest| *newest > first);
        self.orders.retain(|open| open.group != *group || open.token == newest && newest.is_some());
        for open in self.orders.iter_mut().filter(|open| open.group == *group) {
            (open.repeated, open.replaced, open.announced) = (true, term, term);
        }
    }
}
