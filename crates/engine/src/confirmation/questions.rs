//! Questions about a commit: to the replicas, to other VMs and to the directory.
//!
//! The homes of a replica keep connections to it, so they ask it on behalf of the other VMs. One
//! question at a time is in flight, for all commits that wait ([`super::status`]).

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    ServerId,
    durability::{CopyState, home_in_round, rank_targets},
};
use tokio::time::sleep;

use super::{Waiting, registered};
use crate::{
    catalog::ServerEntry,
    clock,
    engine::Engine,
    fleet::Link,
    group::{KnownReplica, Requester},
    seam::{Directory, ServerProtocol},
};

/// Pause between two lists of the servers.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Number of VMs that are asked at once after the first replica did not answer.
const MAX_ASKED_VMS: usize = 4;

/// Number of times that homes are asked before this VM asks the replicas itself.
const HOME_ROUNDS: u32 = 4;

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Asks the replica that is likely to show first that it holds the commit, and returns its
    /// name. Without one in another data centre than the primary, a VM is asked, too.
    pub(super) fn ask_first(
        self: &Rc<Self>,
        waiting: &Waiting<'_>,
        replicas: &[KnownReplica],
        single: bool,
    ) -> Option<ServerId> {
        let targets: Vec<_> = replicas.iter().map(|known| known.target).collect();
        let first = rank_targets(&targets, single).first().map(|i| &replicas[*i]);
        let needs_list = self.list_if_needed(replicas);
        if needs_list || first.is_none_or(|known| known.target.replica.near) {
            self.ask_vms(waiting, 1);
        }
        let first = first?;
        self.ask_replica(waiting, &first.entry, 0);
        Some(first.entry.server.clone())
    }

    /// Asks several VMs, and all replicas that stay and are due in this `round`. The replica `first`
    /// was asked before the others.
    pub(super) fn ask_all(
        self: &Rc<Self>,
        waiting: &Waiting<'_>,
        replicas: &[KnownReplica],
        first: Option<&ServerId>,
        round: u32,
    ) {
        if waiting.commit.may_rest_on_contact(&registered(replicas)) {
            self.ask_vms(waiting, MAX_ASKED_VMS);
        }
        self.list_if_needed(replicas);
        let mut is_any_silent = false;
        for known in replicas.iter().filter(|known| !known.entry.leaving) {
            let server = &known.entry.server;
            let begun = if Some(server) == first { 0 } else { 1 };
            let state = known.target.replica.copy_state(&waiting.commit);
            is_any_silent |= state == CopyState::Silent;
            let Some(home) = home_in_round(round, begun, state) else { continue };
            let mut group = waiting.group.borrow_mut();
            let is_first = round == begun;
            if is_first || group.replicas.should_repeat(server, clock::now()) {
                drop(group);
                self.ask_replica(waiting, &known.entry, home as usize);
            }
        }
        if round > HOME_ROUNDS && is_any_silent {
            self.poll_replicas(waiting.group, waiting.server);
        }
    }

    fn ask_vms(&self, waiting: &Waiting<'_>, count: usize) {
        let name = waiting.group.borrow().view.group.clone();
        self.ask_contact(&name, waiting.commit.position, &waiting.data_centre, count);
    }

    /// Asks a replica for its status, by its home with the number `index`, or the next one that is
    /// linked.
    fn ask_replica(self: &Rc<Self>, waiting: &Waiting<'_>, entry: &ServerEntry, index: usize) {
        let Waiting { group, commit, .. } = waiting;
        match self.question_link(entry, index) {
            Some(link) => self.ask_home(&link, &entry.group, commit.position, &entry.server),
            None => self.request_status(group, &entry.server, Requester::Own),
        }
    }

    /// Returns the link to a home of a server, or `None` if this VM should ask it itself.
    fn question_link(&self, entry: &ServerEntry, index: usize) -> Option<Rc<Link>> {
        let limit = self.catalog().groups.get(&entry.group)?.connections;
        let homes = self.fleet.homes(entry, limit);
        if homes.contains(&self.settings.vm) {
            return None;
        }
        let in_turn = homes.iter().cycle().skip(index).take(homes.len());
        for vm in in_turn {
            match self.fleet.link(vm) {
                Some(link) => return Some(link),
                None => self.fleet.request_dial(vm),
            }
        }
        None
    }

    /// Lists the servers if no replica has been registered for so long that failovers wait for it;
    /// returns whether that is so.
    fn list_if_needed(self: &Rc<Self>, replicas: &[KnownReplica]) -> bool {
        let is_needed = !replicas.iter().any(|known| known.target.replica.takes_part());
        if is_needed {
            self.list_directory();
        }
        is_needed
    }

    /// Reads which servers are registered, for all commits that wait for an answer of the
    /// directory.
    fn list_directory(self: &Rc<Self>) {
        if !self.fleet.questions.listing.borrow_mut().try_start() {
            return;
        }
        let engine = Rc::clone(self);
        actix::spawn(async move {
            let asked = clock::now();
            if let Ok(servers) = engine.directory.servers().await {
                engine.apply_servers(servers.version, servers.entries);
                engine.fleet.questions.listed.set(Some(asked));
                engine.fleet.questions.answered.notify_waiters();
            }
            sleep(LIST_INTERVAL).await;
            engine.fleet.questions.listing.borrow_mut().end();
        });
    }
}
