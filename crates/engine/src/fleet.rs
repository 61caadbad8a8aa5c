//! The other VMs: membership and links between VMs.
//!
//! VMs find each other through rows of the directory ([`rows`]). Each VM is linked
//! to a few neighbours, with whom it exchanges what it knows of database groups
//! ([`heartbeat`], [`groups`]). It is also linked to the homes of the servers and the keepers
//! of the accounts that its callers need. A keeper is a VM on which a part of an
//! account's token bucket refills. A [`link`] whose other side does not reply to
//! heartbeats ([`upkeep`]) is ended, and dialled again when it is needed.

mod accept;
mod contact;
mod documents;
mod groups;
mod heartbeat;
mod link;
mod rows;
mod upkeep;
mod usage;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    DataCentreId, GroupId, ServerId, Time, VmId,
    allowance::keeper_pool,
    home::homes,
    neighbour::{Location, choose_neighbours, neighbours_to_dial},
    reader::reader_rank,
    suspicion::Votes,
    transfer::Transfers,
};
use chicoryhollow_peer::{Body, EnvelopeCodec};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{interval, timeout},
};
use tokio_util::codec::Framed;

use self::{
    accept::accept,
    contact::Questions,
    documents::Recipient,
    link::{Origin, Place, run_link},
    rows::{Renewal, maintain_rows},
};
pub(crate) use self::{
    link::Link,
    usage::{COLLECTORS, Reached},
};
use crate::{
    catalog::ServerEntry,
    clock,
    engine::Engine,
    seam::{Directory, ServerProtocol},
};

/// Interval at which VMs without a link are dialled.
const REDIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for connecting to a VM, and for the first heartbeat of one that
/// connected to this VM.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a VM is dialled after this was requested.
const DIAL_REQUEST_SPAN: Duration = Duration::from_millis(1_200);

/// Maximum number of keepers to which a VM stays linked. Those of its own data centre
/// come first.
const MAX_LINKED_KEEPERS: usize = 16;

/// Another VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    vm: VmId,
    address: SocketAddr,
    data_centre: DataCentreId,
}

impl Member {
    fn location(&self) -> Location<'_> {
        Location { vm: &self.vm, data_centre: &self.data_centre }
    }
}

/// Homes of a server that accepts so many connections.
struct Homes {
    connections: u32,
    vms: Rc<[VmId]>,
}

/// The other VMs.
#[derive(Default)]
pub(crate) struct Fleet {
    members: RefCell<HashMap<VmId, Member>>,
    links: RefCell<HashMap<VmId, Rc<Link>>>,
    /// Links that another link to the same VM has replaced.
    replaced: RefCell<Vec<Rc<Link>>>,
    me: RefCell<Option<Member>>,
    /// Whether the list of VMs has been read.
    list_known: Cell<bool>,
    /// Whether the newest list of VMs contains this one.
    listed: Cell<bool>,
    /// Whether this VM was listed and is no longer, so that its row must be written.
    row_lost: Cell<bool>,
    /// Wakes the task that writes this VM's row.
    row_wakeup: Notify,
    /// Neighbours that this VM has chosen.
    chosen: RefCell<IndexSet<VmId>>,
    /// VMs that this one dials in advance: neighbours and keepers of accounts.
    dialled: RefCell<IndexSet<VmId>>,
    /// Wakes the task that dials.
    dial_wakeup: Notify,
    /// Wakes the task that keeps up the links, to tell neighbours of a new primary.
    primary_wakeup: Notify,
    /// When a message of a VM in another data centre last arrived.
    far_heard: Cell<Time>,
    pub(crate) questions: Questions,
    /// VMs whose links were ended for their silence, and that are not linked again.
    missing: RefCell<HashSet<VmId>>,
    /// Other data centres that were silent at the last check.
    silent: RefCell<BTreeSet<DataCentreId>>,
    /// When each data centre was last seen to be silent.
    silent_at: RefCell<HashMap<DataCentreId, Time>>,
    /// Data centres in which no VM was linked at the last check.
    unreachable: RefCell<BTreeSet<DataCentreId>>,
    /// VMs that should be dialled, and when this was last requested.
    dial_requests: RefCell<HashMap<VmId, Time>>,
    /// How each VM renews its row.
    renewals: RefCell<HashMap<VmId, Renewal>>,
    /// Homes of each server among the present VMs.
    homes: RefCell<HashMap<ServerId, Homes>>,
    /// Rank of this VM among those that may read the directory.
    reader_rank: Cell<usize>,
    /// Large documents that this VM sends to others.
    transfers: RefCell<Transfers<Recipient>>,
}

impl Fleet {
    /// Returns all VMs that are not known to be gone, including this one, in the
    /// order of their names.
    pub(crate) fn vms(&self) -> Vec<VmId> {
        let mut vms: Vec<VmId> = self.members.borrow().keys().cloned().collect();
        vms.extend(self.me.borrow().as_ref().map(|me| me.vm.clone()));
        vms.sort();
        vms.dedup();
        vms
    }

    /// Returns the VMs of one data centre, including this one, in the order of
    /// their names.
    pub(crate) fn vms_in(&self, data_centre: &DataCentreId) -> Vec<VmId> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let there = members.values().chain(me.as_ref()).filter(|m| m.data_centre == *data_centre);
        let mut vms: Vec<VmId> = there.map(|member| member.vm.clone()).collect();
        vms.sort();
        vms.dedup();
        vms
    }

    /// Returns the VMs of each data centre, including this one. Data centres and
    /// VMs are in the order of their names.
    pub(crate) fn by_data_centre(&self) -> Vec<Vec<VmId>> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let all = members.values().chain(me.as_ref());
        let centres: BTreeSet<DataCentreId> =
            all.map(|member| member.data_centre.clone()).collect();
        centres.iter().map(|data_centre| self.vms_in(data_centre)).collect()
    }

    /// Returns the homes of the server of `entry`, which accepts `connections`
    /// connections.
    pub(crate) fn homes(&self, entry: &ServerEntry, connections: u32) -> Rc<[VmId]> {
        if let Some(cached) = self.homes.borrow().get(&entry.server)
            && cached.connections == connections
        {
            return Rc::clone(&cached.vms);
        }
        let vms: Rc<[VmId]> =
            homes(&entry.server, &self.vms_in(&entry.data_centre), connections).into();
        let found = Homes { connections, vms: Rc::clone(&vms) };
        self.homes.borrow_mut().insert(entry.server.clone(), found);
        vms
    }

    /// Returns the rank of this VM among those of its data centre that may read the
    /// directory.
    pub(crate) fn reader_rank(&self) -> usize {
        // Before the list of VMs is known, all others may rank before this one.
        if self.has_member_list() { self.reader_rank.get() } else { usize::MAX }
    }

    /// Returns the link to `vm`.
    pub(crate) fn link(&self, vm: &VmId) -> Option<Rc<Link>> {
        self.links.borrow().get(vm).map(Rc::clone)
    }

    /// Requests that `vm` is dialled soon.
    pub(crate) fn request_dial(&self, vm: &VmId) {
        self.dial_requests.borrow_mut().insert(vm.clone(), clock::now());
        self.dial_wakeup.notify_one();
    }

    /// Returns whether the list of VMs has been read.
    pub(crate) fn has_member_list(&self) -> bool {
        self.list_known.get()
    }

    /// Returns the number of other VMs, or `None` if the list of VMs has not been read.
    pub(crate) fn known_others(&self) -> Option<usize> {
        self.has_member_list().then(|| self.members.borrow().len())
    }

    /// Returns how many neighbours there are, and how many of them could not reach the
    /// primary of `group` for at least `span`.
    pub(crate) fn failure_votes(&self, group: &GroupId, span: Duration, now: Time) -> Votes {
        let links = self.links.borrow();
        let neighbours = links.values().filter(|link| link.is_neighbour());
        let has_failed = |link: &&Rc<Link>| {
            let failing = link.failing.borrow();
            failing.get(group).is_some_and(|since| now.since(*since) >= span)
        };
        let failed = neighbours.clone().filter(has_failed).count();
        Votes { total: neighbours.count(), failed }
    }

    /// Wakes the task that tells neighbours of new primaries.
    pub(crate) fn announce_primary(&self) {
        self.primary_wakeup.notify_one();
    }

    fn send(&self, vm: &VmId, body: Body) -> bool {
        self.links.borrow().get(vm).is_some_and(|link| link.send(body))
    }

    /// Returns where `vm` is as seen from this VM.
    fn place(&self, vm: &VmId) -> Place {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let centre = |member: Option<&Member>| member.map(|member| member.data_centre.clone());
        let near = centre(members.get(vm)) == centre(me.as_ref());
        Place { near, chosen: self.chosen.borrow().contains(vm) }
    }

    /// Returns whether this VM stays linked to `vm`.
    fn is_dialled(&self, vm: &VmId) -> bool {
        self.dialled.borrow().contains(vm)
    }

    /// Removes a link, unless another one has replaced it.
    fn remove_link(&self, vm: &VmId, link: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        if links.get(vm).is_some_and(|present| Rc::ptr_eq(present, link)) {
            links.remove(vm);
        }
        self.replaced.borrow_mut().retain(|other| !Rc::ptr_eq(other, link));
    }

    /// Replaces the list of VMs and chooses neighbours among them.
    fn set_members(&self, members: impl IntoIterator<Item = Member>) {
        let Some(me) = self.me.borrow().clone() else { return };
        let others = members.into_iter().filter(|member| member.vm != me.vm);
        let members: HashMap<VmId, Member> =
            others.map(|member| (member.vm.clone(), member)).collect();
        let here = me.location();
        let all: Vec<Location<'_>> = members.values().map(Member::location).chain([here]).collect();
        let chosen = choose_neighbours(here, &all);
        let mut dialled = neighbours_to_dial(here, &chosen, &all);
        dialled.extend(keepers_to_dial(&me, members.values()));
        self.dialled.replace(dialled);
        let is_near = |member: &Member| member.data_centre == me.data_centre;
        for (vm, link) in self.links.borrow().iter() {
            link.chosen.set(chosen.contains(vm));
            link.near.set(members.get(vm).is_some_and(is_near));
        }
        self.chosen.replace(chosen);
        self.missing.borrow_mut().retain(|vm| members.contains_key(vm));
        self.members.replace(members);
        self.homes.borrow_mut().clear();
        let rank = reader_rank(&me.vm, &self.vms_in(&me.data_centre));
        self.reader_rank.set(rank);
        self.list_known.set(true);
        self.dial_wakeup.notify_one();
    }
}

/// Returns the keepers that the VM `me` dials in advance.
fn keepers_to_dial<'a>(me: &'a Member, members: impl Iterator<Item = &'a Member>) -> Vec<VmId> {
    let mut centres: BTreeMap<&DataCentreId, Vec<VmId>> = BTreeMap::new();
    for member in members.chain([me]) {
        centres.entry(&member.data_centre).or_default().push(member.vm.clone());
    }
    let near = centres.remove(&me.data_centre).unwrap_or_default();
    let mut all = keeper_pool(&near);
    all.extend(centres.values().flat_map(|vms| keeper_pool(vms)));
    all.truncate(MAX_LINKED_KEEPERS);
    // Of two keepers, only one dials the other.
    let keeps = all.contains(&me.vm);
    all.retain(|vm| *vm != me.vm && (!keeps || *vm > me.vm));
    all
}

/// Accepts and dials other VMs and renews this VM's row, until dropped.
pub(crate) async fn run<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    listener: TcpListener,
) {
    engine.fleet.me.replace(Some(Member {
        vm: engine.settings.vm.clone(),
        address: engine.settings.peers,
        data_centre: engine.settings.data_centre.clone(),
    }));
    engine.refresh_limits();
    let rows = maintain_rows(Rc::clone(&engine));
    let dialled = dial_all(Rc::clone(&engine));
    let kept = upkeep::run(Rc::clone(&engine));
    let accepted = accept(Rc::clone(&engine), listener);
    futures_util::join!(rows, dialled, kept, accepted);
}

async fn dial_all<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>) {
    let mut ticks = interval(REDIAL_INTERVAL);
    let dialling: Rc<RefCell<Vec<VmId>>> = Rc::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = engine.fleet.dial_wakeup.notified() => {}
        }
        for (vm, address) in vms_to_dial(&engine) {
            if engine.fleet.link(&vm).is_some() || dialling.borrow().contains(&vm) {
                continue;
            }
            dialling.borrow_mut().push(vm.clone());
            let (engine, dialling) = (Rc::clone(&engine), Rc::clone(&dialling));
            actix::spawn(async move {
                if let Ok(Ok(stream)) = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
                    let frames = Framed::new(stream, EnvelopeCodec::new());
                    run_link(&engine, vm.clone(), frames, Origin::Dialled).await;
                }
                dialling.borrow_mut().retain(|other| *other != vm);
            });
        }
    }
}

/// Returns the VMs to dial now: neighbours, keepers, and VMs whose dialling was
/// requested recently.
fn vms_to_dial<S: ServerProtocol, D: Directory>(engine: &Engine<S, D>) -> Vec<(VmId, SocketAddr)> {
    let fleet = &engine.fleet;
    let now = clock::now();
    let mut needed = fleet.dial_requests.borrow_mut();
    needed.retain(|_, time| now.since(*time) < DIAL_REQUEST_SPAN);
    let dialled = fleet.dialled.borrow();
    let names = dialled.iter().chain(needed.keys());
    let unlinked = names.filter(|vm| fleet.link(vm).is_none());
    let members = fleet.members.borrow();
    unlinked.filter_map(|vm| Some((vm.clone(), members.get(vm)?.address))).collect()
}
