//! Registered backend servers, and how long those missing in the directory are kept.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{GroupId, ServerId};
use indexmap::IndexMap;
use slog::o;

use super::Engine;
use crate::{
    catalog::ServerEntry,
    clock,
    group::{Group, Source},
    log::Event,
    pool::Pool,
    seam::{Directory, ServerProtocol},
};

/// Time for which missing entries are kept after the directory became reachable
/// again, because they may still reappear.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_500);

/// Age of the newest documents up to which the directory counts as reachable.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(4_000);

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Updates and logs whether the directory answers this VM or a linked one.
    pub(crate) fn check_directory(&self) {
        let reachable = clock::now().since(self.fresh_at()) < MAX_DIRECTORY_AGE;
        if self.reachable.replace(reachable) == reachable {
            return;
        }
        if reachable {
            self.regained_at.set(clock::now());
            self.event_log.record(Event::DirectoryRegained, o!());
        } else {
            self.event_log.record(Event::DirectoryLost, o!());
        }
    }

    /// Returns whether a missing entry may only be delayed, so that its last
    /// state is kept.
    fn keeps_missing_entries(&self) -> bool {
        !self.reachable.get() || clock::now().since(self.regained_at.get()) < MISSING_ENTRY_GRACE
    }

    /// Drops servers that are missing in the directory once they no longer count as
    /// delayed.
    pub(crate) fn drop_missing_servers(&self) {
        if self.keeps_missing.get() && !self.keeps_missing_entries() {
            self.refresh_servers();
        }
    }

    /// Updates groups and pools with the registered servers.
    pub(crate) fn refresh_servers(&self) {
        self.keeps_missing.set(false);
        let entries = self.registered.borrow().clone();
        let mut by_group: IndexMap<GroupId, IndexMap<ServerId, ServerEntry>> = IndexMap::new();
        for entry in entries {
            by_group.entry(entry.group.clone()).or_default().insert(entry.server.clone(), entry);
        }
        for name in by_group.keys() {
            let group = self.group(name);
            group.borrow_mut().set_evacuated(self.evacuated.borrow().clone());
        }
        for group in self.groups() {
            let name = group.borrow().view.group.clone();
            let mut servers = by_group.swap_remove(&name).unwrap_or_default();
            if self.keeps_missing_entries() {
                let known = servers.len();
                for (server, entry) in &group.borrow().servers {
                    servers.entry(server.clone()).or_insert_with(|| entry.clone());
                }
                self.keeps_missing.set(self.keeps_missing.get() || servers.len() > known);
            }
            self.set_servers(&group, servers);
        }
        self.drop_pools();
        self.watch_wakeup.notify_one();
    }

    /// Replaces the servers of a group and updates their pools.
    fn set_servers(&self, group: &Rc<RefCell<Group>>, servers: IndexMap<ServerId, ServerEntry>) {
        if group.borrow().servers == servers {
            return;
        }
        let catalog = self.catalog();
        for entry in servers.values() {
            let limits = self.pool_limits(entry, &catalog);
            let mut pools = self.pools.borrow_mut();
            match pools.get(&entry.server) {
                Some(pool) => {
                    pool.set_entry(entry.clone());
                    pool.set_slots(limits.slots);
                }
                None => {
                    let protocol = Rc::clone(&self.protocol);
                    let load_aware = self.settings.load_aware;
                    let pool = Pool::new(protocol, entry.clone(), limits, load_aware);
                    pools.insert(entry.server.clone(), Rc::new(pool));
                }
            }
        }
        let list: Vec<String> = servers.values().map(describe).collect();
        let name = group.borrow().view.group.to_string();
        self.event_log
            .record(Event::ServersChanged, o!("group" => name, "servers" => list.join(" ")));
        let changed = group.borrow_mut().set_servers(servers, clock::now());
        if changed {
            self.record_primary_change(&group.borrow(), Source::Entry);
        }
    }

    /// Drops the pools of servers that are no longer registered.
    fn drop_pools(&self) {
        let groups = self.groups();
        let is_known = |server: &ServerId| {
            groups.iter().any(|group| group.borrow().servers.contains_key(server))
        };
        self.pools.borrow_mut().retain(|server, _| is_known(server));
    }

    /// Counts and logs acknowledged commits that the newest promoted primary lacked.
    pub(crate) fn check_commits(&self, group: &RefCell<Group>) {
        let mut group = group.borrow_mut();
        let Some(missing) = group.told.take_missing() else { return };
        self.metrics.missing_commits.inc_by(missing.count());
        self.event_log.record(
            Event::CommitsMissing,
            o!(
                "group" => group.view.group.to_string(),
                "primary" => group.view.primary.as_ref().map(ToString::to_string),
                "acknowledged" => missing.told.to_string(),
                "start" => missing.start.to_string(),
                "missing" => missing.count(),
            ),
        );
    }

    /// Logs that this VM knows another primary of a group, and wakes the
    /// statements that wait for one.
    pub(crate) fn record_primary_change(&self, group: &Group, source: Source) {
        let primary = group.view.primary.as_ref().map_or("none", |server| server.as_str());
        self.event_log.record(
            Event::PrimaryChanged,
            o!(
                "group" => group.view.group.to_string(),
                "primary" => primary.to_owned(),
                "term" => group.view.term.get(),
                "source" => source.label(),
            ),
        );
        self.primary_news.notify_waiters();
        self.fleet.announce_primary();
    }
}

/// Returns the server's name, role, data centre and intent to leave for the log.
fn describe(entry: &ServerEntry) -> String {
    let role = if entry.primary { "primary" } else { "replica" };
    let state = if entry.leaving { "/leaving" } else { "" };
    format!("{}/{role}/{}{state}", entry.server, entry.data_centre)
}
