//! Copies of commits: what registered replicas report that they have received.

use chicoryhollow_core::{ServerId, Time, failover::ReplicationStatus};
use indexmap::IndexMap;

use crate::{catalog::ServerEntry, single_flight::SingleFlight};

/// Since when the servers of a group are registered, and what they last reported.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    /// Since when each server has been known to be registered.
    registered: IndexMap<ServerId, Time>,
    statuses: IndexMap<ServerId, ReplicationStatus>,
    /// Whether the servers are being polled for their statuses.
    pub(crate) poll: SingleFlight,
}

impl Replicas {
    /// Records a change of the registered servers. One that has started again holds nothing of
    /// before, and counts as new.
    pub(super) fn update(
        &mut self,
        before: &IndexMap<ServerId, ServerEntry>,
        after: &IndexMap<ServerId, ServerEntry>,
        now: Time,
    ) {
        let is_same = |entry: &ServerEntry| {
            before.get(&entry.server).is_some_and(|old| old.born == entry.born)
        };
        let old = std::mem::take(&mut self.registered);
        for entry in after.values() {
            let since = old.get(&entry.server).filter(|_| is_same(entry));
            self.registered.insert(entry.server.clone(), since.copied().unwrap_or(now));
        }
        self.statuses.retain(|server, _| after.get(server).is_some_and(is_same));
    }

    /// Records what a server reported, or that it did not answer.
    pub(crate) fn record(&mut self, server: ServerId, status: Option<ReplicationStatus>) {
        match status {
            Some(status) => drop(self.statuses.insert(server, status)),
            None => drop(self.statuses.shift_remove(&server)),
        }
    }

    /// Returns since when a server is registered, and what it last reported.
    pub(super) fn report(&self, server: &ServerId) -> Option<(Time, ReplicationStatus)> {
        Some((*self.registered.get(server)?, *self.statuses.get(server)?))
    }
}
