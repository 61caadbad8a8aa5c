//! Upkeep of the links: sends heartbeats that are due and ends lost links.
//!
//! One task looks at all links, so that an idle link wakes nobody. Decisions are made by
//! `chicoryhollow_core::liveness` and `chicoryhollow_core::gossip`.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    DataCentreId, GroupId, Time, VmId,
    gossip::{GroupSummary, Spacing, Update},
    liveness::{Check, Purpose, Reason, purposes},
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
        for (vm, link, purpose) in self.fleet.link_purposes() {
            match link.liveness.get().check(purpose, now) {
                Check::Lost => self.end_silent(vm, &link, now),
                Check::Heartbeat => drop(link.send(Body::Beat(self.heartbeat(&link)))),
                Check::Nothing if link.is_neighbour() && has_urgent_update(&link, &known, now) => {
                    link.send(Body::Beat(self.heartbeat(&link)));
                }
                Check::Nothing => {}
            }
        }
        self.fleet.end_replaced();
        self.fleet.end_unused(now);
        for data_centre in self.fleet.record_silence(now) {
            self.check_links_to(&data_centre, now);
        }
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

    /// Ends a silent link to `vm`, and checks the other links to its data centre, which may
    /// be cut off.
    fn end_silent(&self, vm: VmId, link: &Link, now: Time) {
        link.end();
        let data_centre = self.fleet.data_centre(&vm);
        self.fleet.missing.borrow_mut().insert(vm);
        if let Some(data_centre) = data_centre {
            self.check_links_to(&data_centre, now);
        }
    }

    /// Sends a heartbeat on each link to a data centre over which nothing has arrived lately.
    fn check_links_to(&self, data_centre: &DataCentreId, now: Time) {
        for (vm, link) in self.fleet.all_links() {
            let is_there = self.fleet.data_centre(&vm).as_ref() == Some(data_centre);
            if is_there && link.liveness.get().needs_check(now) {
                link.send(Body::Beat(self.heartbeat(&link)));
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

    /// Returns all links with what to use them for, in the order of the names of their VMs in
    /// each data centre.
    fn link_purposes(&self) -> Vec<(VmId, Rc<Link>, Purpose)> {
        let mut centres: BTreeMap<Option<DataCentreId>, BTreeMap<VmId, Rc<Link>>> = BTreeMap::new();
        for (vm, link) in self.all_links() {
            centres.entry(self.data_centre(&vm)).or_default().insert(vm, link);
        }
        let with_purposes = |links: BTreeMap<VmId, Rc<Link>>| {
            let reasons: Vec<Reason> =
                links.iter().map(|(vm, link)| self.reason(vm, link)).collect();
            let links = links.into_iter().zip(purposes(&reasons));
            links.map(|((vm, link), purpose)| (vm, link, purpose))
        };
        centres.into_values().flat_map(with_purposes).collect()
    }

    fn reason(&self, vm: &VmId, link: &Link) -> Reason {
        match (link.is_neighbour(), self.is_dialled(vm)) {
            (true, _) => Reason::Neighbour,
            (false, true) => Reason::Prepared,
            (false, false) => Reason::Used,
        }
    }

    /// Returns the data centre of another VM, or `None` if its row was not read yet.
    pub(super) fn data_centre(&self, vm: &VmId) -> Option<DataCentreId> {
        self.members.borrow().get(vm).map(|member| member.data_centre.clone())
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
