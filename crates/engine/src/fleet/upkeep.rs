//! Upkeep of the links: sends heartbeats that are due and ends lost links.
//!
//! One task looks at all links, so that an idle link wakes nobody. Decisions are made by
//! `chicoryhollow_core::liveness` and `chicoryhollow_core::gossip`.

use std::{collections::HashMap, rc::Rc, time::Duration};

use chicoryhollow_core::{
    GroupId, Time, VmId,
    gossip::{GroupSummary, Spacing, Update},
    liveness::{Check, Purpose},
};
use chicoryhollow_peer::Body;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    clock,
    engine::Engine,
    fleet::{Fleet, Link},
    seam::{Directory, ServerProtocol},
};

/// Interval at which all links are checked.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time to wait for other new primaries before neighbours are told of one.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(10);

/// Number of links above which the ones that were unused for longest are ended.
const MAX_LINKS: usize = 512;

/// Keeps up all links until dropped.
pub(super) async fn run<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => engine.check_links(),
            () = engine.fleet.primary_wakeup.notified() => {
                sleep(ANNOUNCE_DELAY).await;
                engine.announce_primaries();
            }
        }
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Sends the heartbeats that are due and ends links that are lost or not needed.
    fn check_links(&self) {
        let now = clock::now();
        let known = self.summaries();
        for (vm, link) in self.fleet.all_links() {
            match link.liveness.get().check(self.fleet.purpose(&vm, &link), now) {
                Check::Lost => {
                    self.fleet.missing.borrow_mut().insert(vm);
                    self.end_silent(&link, now);
                }
                Check::Heartbeat => drop(link.send(Body::Beat(self.heartbeat(&link)))),
                Check::Nothing if link.is_neighbour() && has_urgent_update(&link, &known, now) => {
                    link.send(Body::Beat(self.heartbeat(&link)));
                }
                Check::Nothing => {}
            }
        }
        self.fleet.end_replaced();
        self.fleet.end_unused(now);
        self.fleet.record_silence(now);
    }

    /// Tells the neighbours of a new primary at once.
    fn announce_primaries(&self) {
        let now = clock::now();
        let known = self.summaries();
        for (_, link) in self.fleet.all_links() {
            if link.is_neighbour() && has_urgent_update(&link, &known, now) {
                link.send(Body::Beat(self.heartbeat(&link)));
            }
        }
    }

    /// Returns what this VM knows of each group.
    fn summaries(&self) -> HashMap<GroupId, GroupSummary> {
        let groups = self.groups();
        groups.iter().map(|group| group.borrow().summary()).collect()
    }

    /// Ends a silent link, and checks the other links to its data centre, which may be
    /// cut off.
    fn end_silent(&self, link: &Rc<Link>, now: Time) {
        link.end();
        for (_, other) in self.fleet.other_links_near(link) {
            if other.liveness.get().needs_check(now) {
                other.send(Body::Beat(self.heartbeat(&other)));
            }
        }
    }
}

/// Returns whether the neighbour does not know yet of a new primary or a failure.
fn has_urgent_update(link: &Link, known: &HashMap<GroupId, GroupSummary>, now: Time) -> bool {
    let sent = link.last_sent.borrow();
    let spacing = Spacing::new(link.near.get(), known.len());
    known.iter().any(|(group, known)| {
        let last = sent.get(group).copied().unwrap_or_default();
        matches!(last.update(known, spacing, now), Update::Primary | Update::Failure)
    })
}

impl Fleet {
    /// Returns all links by VM.
    pub(super) fn all_links(&self) -> Vec<(VmId, Rc<Link>)> {
        self.links.borrow().iter().map(|(vm, link)| (vm.clone(), Rc::clone(link))).collect()
    }

    fn purpose(&self, vm: &VmId, link: &Link) -> Purpose {
        match (link.is_neighbour(), self.is_dialled(vm)) {
            (true, _) => Purpose::Gossip,
            (false, true) => Purpose::Standby,
            (false, false) => Purpose::OnDemand,
        }
    }

    /// Returns the links to other VMs in the data centre of `link`.
    fn other_links_near(&self, link: &Rc<Link>) -> Vec<(VmId, Rc<Link>)> {
        let members = self.members.borrow();
        let links = self.all_links();
        let centre = |vm: &VmId| members.get(vm).map(|member| member.data_centre.clone());
        let lost = links.iter().find(|(_, other)| Rc::ptr_eq(other, link));
        let Some(there) = lost.and_then(|(vm, _)| centre(vm)) else { return Vec::new() };
        let others = links.into_iter().filter(|(_, other)| !Rc::ptr_eq(other, link));
        others.filter(|(vm, _)| centre(vm).as_ref() == Some(&there)).collect()
    }

    /// Ends replaced links that carry no forwarded connection any more.
    fn end_replaced(&self) {
        self.replaced.borrow_mut().retain(|link| {
            let ends = !link.is_busy();
            if ends {
                link.end();
            }
            !ends
        });
    }

    /// Ends the links that were unused for longest while there are too many.
    fn end_unused(&self, now: Time) {
        let excess = self.links.borrow().len().saturating_sub(MAX_LINKS);
        if excess == 0 {
            return;
        }
        let mut unused: Vec<Rc<Link>> = self.links.borrow().values().map(Rc::clone).collect();
        unused.retain(|link| {
            !link.is_neighbour() && !link.is_busy() && !link.liveness.get().is_active(now)
        });
        unused.sort_by_key(|link| link.liveness.get().used());
        unused.iter().take(excess).for_each(|link| link.end());
    }
}
