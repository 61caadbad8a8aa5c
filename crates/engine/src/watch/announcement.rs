//! What the coordinator tells all VMs of its failovers.

use std::cell::RefCell;

use chicoryhollow_core::{
    Term, Time,
    failover::{Announcement, Failover, FailoverNumber},
};

use crate::{
    coordinator::Coordinator,
    engine::Engine,
    group::Group,
    seam::{Directory, ServerProtocol},
};

/// Tells all VMs of a failover that replaces the primary of the term `replaced`. Returns false if
/// this VM is no longer the coordinator.
pub(super) fn announce<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    coordinator: &Coordinator,
    group: &RefCell<Group>,
    replaced: Term,
    now: Time,
) -> bool {
    let Some(token) = coordinator.order_token() else { return false };
    let number = FailoverNumber::new(token.get());
    let ordered = coordinator.newest_order(&group.borrow().view.group).is_some();
    let announcement = Announcement { number, replaced, begun: now, ordered };
    group.borrow_mut().peers.record_failover(announcement);
    engine.fleet.announce_primary();
    true
}

/// Returns the term that the newest known failover of a group replaces, or zero.
fn announced_term(group: &Group) -> Term {
    group.peers.failover().map(|known| known.replaced).unwrap_or_default()
}

/// Announces a failover again if the servers report a higher term than the one that it was
/// announced to replace, or if it chooses another server after it has sent an order. The failover
/// then waits until all VMs know.
pub(super) fn correct_announcement<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    coordinator: &Coordinator,
    group: &RefCell<Group>,
    failover: &mut Failover,
    now: Time,
) {
    let announced = announced_term(&group.borrow());
    let mut replaced = failover.reported_term();
    if failover.needs_announcement() {
        let pending = coordinator.pending_term(&group.borrow().view.group);
        let led = group.borrow().newest_term();
        replaced = replaced.max(announced).max(led).max(pending.unwrap_or_default());
    } else if failover.has_sent_order() || replaced <= announced {
        return;
    }
    if announce(engine, coordinator, group, replaced, now) {
        failover.record_announcement(now);
    }
}

/// Ends an announcement that also covers the term of the new primary, so that callers are told of
/// its commits. The announcement stays while an open order may promote another server in that term
/// or a later one; `pending` is the highest term of such orders.
pub(super) fn narrow_announcement<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    coordinator: &Coordinator,
    group: &RefCell<Group>,
    pending: Option<Term>,
    now: Time,
) {
    let term = group.borrow().view.term;
    let covers_term = announced_term(&group.borrow()) >= term;
    if covers_term && pending.is_none_or(|pending| pending < term) {
        announce(engine, coordinator, group, Term::default(), now);
    }
}

/// Tells all VMs that an abandoned failover replaces no primary. If it has ordered a promotion,
/// the order may still be carried out, and the failover counts as running from now on.
pub(super) fn end_announcement<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    coordinator: &Coordinator,
    group: &RefCell<Group>,
    failover: &Failover,
    now: Time,
) {
    let announced = announced_term(&group.borrow());
    let replaced = if failover.has_open_order() { announced } else { Term::default() };
    // If the role is lost, the failover counts as running until its time is over.
    announce(engine, coordinator, group, replaced, now);
}
