//! The other VMs: membership and links between VMs.
//!
//! VMs find each other through rows of the directory ([`rows`]). Each VM is linked
//! to a few neighbours, with whom it exchanges what it knows of database groups
//! ([`heartbeat`]). It is also linked to the homes of the servers and the keepers
//! of the accounts that its callers need. A keeper is a VM on which a part of an
//! account's token bucket refills. Both sides of a [`link`] send heartbeats; a
//! link over which nothing arrives is dropped, and dialled again when it is needed.

mod heartbeat;
mod link;
mod rows;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    DataCentreId, GroupId, Time, VmId,
    allowance::keeper_pool,
    neighbour::{Location, choose_neighbours, neighbours_to_dial},
    suspicion::Votes,
};
use chicoryhollow_peer::{Body, Envelope, EnvelopeCodec};
use futures_util::StreamExt;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    time::{interval, sleep, timeout},
};
use tokio_util::codec::Framed;

pub(crate) use self::link::Link;
use self::{
    link::{LINK_TIMEOUT, run_link},
    rows::maintain_rows,
};
use crate::{
    clock,
    engine::Engine,
    seam::{Directory, ServerProtocol},
};

/// Interval at which VMs without a link are dialled.
const REDIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for connecting to a VM, and for the first heartbeat of one that
/// connected to this VM.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

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

/// The other VMs.
#[derive(Default)]
pub(crate) struct Fleet {
    members: RefCell<HashMap<VmId, Member>>,
    links: RefCell<HashMap<VmId, Rc<Link>>>,
    me: RefCell<Option<Member>>,
    /// Whether the list of VMs has been read.
    list_known: Cell<bool>,
    /// Neighbours that this VM has chosen.
    chosen: RefCell<IndexSet<VmId>>,
    /// VMs that this one dials in advance: neighbours and keepers of accounts.
    dialled: RefCell<IndexSet<VmId>>,
    /// Wakes the task that dials.
    dial_wakeup: Notify,
    /// Data centres in which no VM was linked at the last check.
    unreachable: RefCell<BTreeSet<DataCentreId>>,
    /// VMs that should be dialled, and when this was last requested.
    dial_requests: RefCell<HashMap<VmId, Time>>,
    /// Version of each VM's row, and when this VM first read that version.
    renewals: RefCell<HashMap<VmId, (u64, Time)>>,
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

    /// Returns whether other data centres than `data_centre` have VMs and none of
    /// these is linked.
    pub(crate) fn is_cut_off(&self, data_centre: &DataCentreId) -> bool {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let mut far =
            members.values().filter(|member| member.data_centre != *data_centre).peekable();
        far.peek().is_some() && far.all(|member| !links.contains_key(&member.vm))
    }

    /// Returns whether a data centre has VMs and none of them was linked at the
    /// last check.
    pub(crate) fn is_unreachable(&self, data_centre: &DataCentreId) -> bool {
        self.unreachable.borrow().contains(data_centre)
    }

    /// Updates the data centres in which no VM is linked.
    pub(crate) fn refresh_unreachable(&self) {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let mut unreachable: BTreeSet<DataCentreId> =
            members.values().map(|member| member.data_centre.clone()).collect();
        for vm in links.keys() {
            if let Some(member) = members.get(vm) {
                unreachable.remove(&member.data_centre);
            }
        }
        if let Some(me) = self.me.borrow().as_ref() {
            unreachable.remove(&me.data_centre);
        }
        self.unreachable.replace(unreachable);
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

    /// Returns how many linked VMs reported on the primary of `group`, and how many
    /// of them could not reach it for at least `span`.
    pub(crate) fn failure_votes(&self, group: &GroupId, span: Duration) -> Votes {
        let links = self.links.borrow();
        let reported: Vec<Duration> =
            links.values().filter_map(|link| link.failing.borrow().get(group).copied()).collect();
        let failed = reported.iter().filter(|time| **time >= span).count();
        Votes { total: reported.len(), failed }
    }

    fn send(&self, vm: &VmId, body: Body) -> bool {
        self.links.borrow().get(vm).is_some_and(|link| link.send(body))
    }

    fn new_link(&self, vm: &VmId, sender: mpsc::Sender<Envelope>) -> Link {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let centre = |member: Option<&Member>| member.map(|member| member.data_centre.clone());
        let near = centre(members.get(vm)) == centre(me.as_ref());
        Link::new(sender, self.chosen.borrow().contains(vm), near, clock::now())
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
        for (vm, link) in self.links.borrow().iter() {
            link.chosen.set(chosen.contains(vm));
        }
        self.chosen.replace(chosen);
        self.members.replace(members);
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
    let accepted = accept(Rc::clone(&engine), listener);
    futures_util::join!(rows, dialled, accepted);
}

async fn accept<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let engine = Rc::clone(&engine);
                actix::spawn(async move { accept_link(engine, stream).await });
            }
            Err(_) => sleep(REDIAL_INTERVAL).await,
        }
    }
}

/// Waits for the first heartbeat of a VM that connected, then runs the link.
async fn accept_link<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>, stream: TcpStream) {
    let mut frames = Framed::new(stream, EnvelopeCodec::new());
    let first = timeout(DIAL_TIMEOUT, frames.next()).await;
    let Ok(Some(Ok(Envelope { body: Some(Body::Beat(heartbeat)) }))) = first else { return };
    let Ok(vm) = VmId::new(&heartbeat.vm) else { return };
    run_link(&engine, vm, frames).await;
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
                    run_link(&engine, vm.clone(), Framed::new(stream, EnvelopeCodec::new())).await;
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
    needed.retain(|_, time| now.since(*time) < LINK_TIMEOUT);
    let dialled = fleet.dialled.borrow();
    let names = dialled.iter().chain(needed.keys());
    let unlinked = names.filter(|vm| fleet.link(vm).is_none());
    let members = fleet.members.borrow();
    unlinked.filter_map(|vm| Some((vm.clone(), members.get(vm)?.address))).collect()
}
