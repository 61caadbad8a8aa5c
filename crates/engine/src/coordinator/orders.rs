//! Promotion orders and missing servers in the coordinator's row.
//!
//! An order is sent only after the row that contains it was written. Orders of several groups
//! that wait for a write at the same time are all in the next one.

use chicoryhollow_core::{
    GroupId, ServerId, Term, Time,
    coordinator::{FailoverRecord, FencingToken, FullError, OrderAnswer, Revision, Roster},
};
use slog::o;

use super::Coordinator;
use crate::{
    clock,
    engine::Engine,
    group::Group,
    log::Event,
    seam::{Directory, ServerProtocol},
};

/// Why an order must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum OrderError {
    /// The row has no room for the order.
    #[error(transparent)]
    Full(#[from] FullError),
    /// The row was not written.
    #[error("the row was not written")]
    Unwritten,
    /// The failover has ended, or does not want this order any more.
    #[error("the order is not wanted any more")]
    Superseded,
    /// This VM is no longer the coordinator.
    #[error("the role was lost")]
    RoleLost,
}

/// What an order replaces.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacedTerms {
    /// Term of the primary.
    pub(crate) led: Term,
    /// Highest term that its failover was announced to replace.
    pub(crate) announced: Term,
}

impl Coordinator {
    /// Writes an order to the row, so that a later holder knows of it, and returns its token.
    /// The order is to be sent at once then. `claim` is asked last whether it may be.
    ///
    /// # Errors
    ///
    /// Fails if the order must not be sent.
    pub(crate) async fn open_order<S: ServerProtocol, D: Directory>(
        &self,
        engine: &Engine<S, D>,
        group: &GroupId,
        server: &ServerId,
        replaced: ReplacedTerms,
        claim: impl FnOnce() -> bool,
    ) -> Result<FencingToken, OrderError> {
        let (group, server) = (group.clone(), server.clone());
        let ReplacedTerms { led, announced } = replaced;
        let order = self.memory.borrow_mut().prepare(group, server, led, clock::now())?;
        self.memory.borrow_mut().record_announced(order, announced);
        self.write_revision(engine, order).await;
        let sent = self.mark_sent(order, claim);
        if sent.is_err() {
            self.memory.borrow_mut().record_unsent(order);
        }
        sent
    }

    /// Gives an order its token, if it was written and is still wanted.
    fn mark_sent(
        &self,
        order: Revision,
        claim: impl FnOnce() -> bool,
    ) -> Result<FencingToken, OrderError> {
        if !self.memory.borrow().is_written(order) {
            return Err(OrderError::Unwritten);
        }
        let token = self.order_token().ok_or(OrderError::RoleLost)?;
        if !self.memory.borrow_mut().record_sent(order, token, clock::now()) {
            return Err(OrderError::RoleLost);
        }
        if claim() { Ok(token) } else { Err(OrderError::Superseded) }
    }

    /// Writes the row unless a write has carried this revision meanwhile.
    async fn write_revision<S: ServerProtocol, D: Directory>(
        &self,
        engine: &Engine<S, D>,
        revision: Revision,
    ) {
        let _turn = self.calls.lock().await;
        if self.memory.borrow().is_written(revision) {
            return;
        }
        let expected = self.lease.borrow_mut().begin_write(clock::now());
        if let Some(expected) = expected {
            self.write(engine, expected).await;
        }
    }

    /// Records the platform's answer to an order.
    pub(crate) fn record_answer(&self, group: &GroupId, token: FencingToken, answer: OrderAnswer) {
        self.memory.borrow_mut().record_answer(group, token, answer);
    }

    /// Writes the row before its next renewal, if it lacks a missing server.
    pub(crate) async fn write_missing<S: ServerProtocol, D: Directory>(
        &self,
        engine: &Engine<S, D>,
    ) {
        // Whoever calls the directory now is followed by another check.
        let Ok(_turn) = self.calls.try_lock() else { return };
        let expected = self.lease.borrow_mut().begin_write(clock::now());
        if let Some(expected) = expected.filter(|_| self.memory.borrow().needs_write()) {
            self.write(engine, expected).await;
        }
    }

    /// Returns whether a missing server is not in the row yet.
    pub(crate) fn needs_write(&self) -> bool {
        self.memory.borrow().needs_write()
    }

    /// Takes over what the row says about a group, and records what this VM knows. Returns the
    /// term that open orders of earlier holders replace, if no VM was told of them yet.
    pub(crate) fn recall(&self, group: &mut Group) -> Option<Term> {
        let mut memory = self.memory.borrow_mut();
        let name = &group.view.group;
        if !group.servers.is_empty() {
            let present = group.servers.values().map(|entry| entry.registered());
            group.missing_servers.recall(memory.take_missing(name), present);
        }
        memory.update_missing(name, &group.missing_servers);
        if let Some(leader) = group.leader() {
            memory.record_leader(name, leader, group.view.term);
        }
        memory.take_unannounced(name)
    }

    /// Counts the failover that open orders of a group stand for as running. Returns whether this
    /// VM did not know of it.
    pub(crate) fn record_open_order(&self, group: &mut Group) -> bool {
        let announcement = self.memory.borrow().announcement(&group.view.group);
        announcement.is_some_and(|failover| group.peers.record_failover(failover))
    }

    /// Returns the server of the newest open order of a group, and since when this VM has known
    /// of the order.
    pub(crate) fn newest_order(&self, group: &GroupId) -> Option<KnownOrder> {
        let memory = self.memory.borrow();
        let open = memory.open_order(group)?;
        Some(KnownOrder { server: open.server.clone(), known: open.known })
    }

    /// Records that `server` leads its group at `term`, and returns the highest term that another
    /// server may lead by an open order.
    pub(crate) fn record_leader(
        &self,
        group: &GroupId,
        server: &ServerId,
        term: Term,
    ) -> Option<Term> {
        let mut memory = self.memory.borrow_mut();
        memory.record_leader(group, server, term);
        memory.pending_term(group, Some(server))
    }

    /// Returns the highest term that a server of a group may lead by an open order.
    pub(crate) fn pending_term(&self, group: &GroupId) -> Option<Term> {
        self.memory.borrow().pending_term(group, None)
    }

    /// Returns whether no order of a group may be carried out and change something.
    pub(crate) fn has_no_order(&self, group: &GroupId, now: Time) -> bool {
        self.memory.borrow().has_no_order(group, now)
    }

    /// Returns whether any group may have a missing server of which this VM does not know.
    pub(crate) fn awaits_unlisted(&self) -> bool {
        self.memory.borrow().awaits_unlisted(clock::now())
    }

    /// Returns what the next write of the row carries.
    pub(super) fn record<S: ServerProtocol, D: Directory>(
        &self,
        engine: &Engine<S, D>,
    ) -> (FailoverRecord, Revision) {
        let mut memory = self.memory.borrow_mut();
        let mut roster = None;
        for group in engine.groups() {
            let group = group.borrow();
            for server in group.servers.keys() {
                roster.get_or_insert_with(Roster::default).add(server);
            }
            // Until this VM is the coordinator, the row says which servers are missing.
            if self.lease.borrow().version().is_some() {
                memory.update_missing(&group.view.group, &group.missing_servers);
            }
        }
        let written = memory.record(roster, clock::now());
        let open = i64::try_from(written.0.orders.len()).unwrap_or(i64::MAX);
        engine.metrics.open_orders.set(open);
        written
    }

    /// Logs what this VM has read from the row when it took the role.
    pub(super) fn report_recalled<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let (orders, missing) = self.memory.borrow().counts();
        let unlisted = self.awaits_unlisted();
        if orders > 0 || missing > 0 || unlisted {
            let fields = o!("orders" => orders, "missing" => missing, "unlisted" => unlisted);
            engine.event_log.record(Event::FailoversRecalled, fields);
        }
    }
}

/// An order that may still be carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KnownOrder {
    /// Server to promote.
    pub(crate) server: ServerId,
    /// Since when this VM has known of it.
    pub(crate) known: Time,
}
