//! The other VMs: who they are, and how they are reached.
//!
//! VMs find each other through rows of the directory ([`rows`]). Each VM is linked
//! to a few neighbours, with whom it exchanges beliefs ([`beat`]), and to the homes
//! of the servers and the keepers of the accounts that its callers need. Both sides
//! of a [`link`] send beats; a link without beats is dropped and dialled anew when it
//! is needed.

mod beat;
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
    link::{SILENCE, link},
    rows::keep_rows,
};
use crate::{
    clock,
    engine::Engine,
    seam::{Directory, ServerProtocol},
};

/// Time between two attempts to dial a VM.
const REDIAL: Duration = Duration::from_millis(300);

/// Longest time to dial a VM.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Keepers of accounts to which a VM stays linked; those of its own data centre first.
const LINKED_KEEPERS: usize = 16;

/// Another VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    vm: VmId,
    address: SocketAddr,
    data_centre: DataCentreId,
}

impl Member {
    fn place(&self) -> Location<'_> {
        Location { vm: &self.vm, data_centre: &self.data_centre }
    }
}

/// The other VMs.
#[derive(Default)]
pub(crate) struct Fleet {
    members: RefCell<HashMap<VmId, Member>>,
    links: RefCell<HashMap<VmId, Rc<Link>>>,
    me: RefCell<Option<Member>>,
    /// Whether the list of VMs was read.
    known: Cell<bool>,
    /// Neighbours that this VM has chosen.
    chosen: RefCell<IndexSet<VmId>>,
    /// VMs that this one dials ahead of need: neighbours and keepers of accounts.
    dialled: RefCell<IndexSet<VmId>>,
    /// Wakes the task that dials.
    dials: Notify,
    /// Data centres in which no VM was linked at the last look.
    dark: RefCell<BTreeSet<DataCentreId>>,
    wanted: RefCell<HashMap<VmId, Time>>,
    /// Version and time of the last renewal of each row, as this VM read them.
    renewals: RefCell<HashMap<VmId, (u64, Time)>>,
}

impl Fleet {
    /// Returns all VMs that are not known to be gone, this one included, by name.
    pub(crate) fn vms(&self) -> Vec<VmId> {
        let mut vms: Vec<VmId> = self.members.borrow().keys().cloned().collect();
        vms.extend(self.me.borrow().as_ref().map(|me| me.vm.clone()));
        vms.sort();
        vms.dedup();
        vms
    }

    /// Returns the VMs of one data centre, this one included, by name.
    pub(crate) fn vms_in(&self, data_centre: &DataCentreId) -> Vec<VmId> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let there = members.values().chain(me.as_ref()).filter(|m| m.data_centre == *data_centre);
        let mut vms: Vec<VmId> = there.map(|member| member.vm.clone()).collect();
        vms.sort();
        vms.dedup();
        vms
    }

    /// Returns the VMs of each data centre, this one included, in the order of names.
    pub(crate) fn by_data_centre(&self) -> Vec<Vec<VmId>> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let all = members.values().chain(me.as_ref());
        let centres: BTreeSet<DataCentreId> =
            all.map(|member| member.data_centre.clone()).collect();
        centres.iter().map(|data_centre| self.vms_in(data_centre)).collect()
    }

    /// Tells whether there are VMs in other data centres than this one and none
    /// of them is linked.
    pub(crate) fn is_alone_in(&self, data_centre: &DataCentreId) -> bool {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let mut far =
            members.values().filter(|member| member.data_centre != *data_centre).peekable();
        far.peek().is_some() && far.all(|member| !links.contains_key(&member.vm))
    }

    /// Tells whether there are VMs in a data centre and none of them was linked at the
    /// last look.
    pub(crate) fn is_dark(&self, data_centre: &DataCentreId) -> bool {
        self.dark.borrow().contains(data_centre)
    }

    /// Notes in which data centres no VM is linked.
    pub(crate) fn look_for_dark(&self) {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let mut dark: BTreeSet<DataCentreId> =
            members.values().map(|member| member.data_centre.clone()).collect();
        for vm in links.keys() {
            if let Some(member) = members.get(vm) {
                dark.remove(&member.data_centre);
            }
        }
        if let Some(me) = self.me.borrow().as_ref() {
            dark.remove(&me.data_centre);
        }
        self.dark.replace(dark);
    }

    /// Returns the link to `vm`.
    pub(crate) fn link(&self, vm: &VmId) -> Option<Rc<Link>> {
        self.links.borrow().get(vm).map(Rc::clone)
    }

    /// Has `vm` dialled soon.
    pub(crate) fn want(&self, vm: &VmId) {
        self.wanted.borrow_mut().insert(vm.clone(), clock::now());
        self.dials.notify_one();
    }

    /// Tells whether the list of VMs was read.
    pub(crate) fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Returns what neighbours say of the primary of `group`: whom it has failed for at
    /// least `span`.
    pub(crate) fn failing(&self, group: &GroupId, span: Duration) -> Votes {
        let links = self.links.borrow();
        let told: Vec<Duration> =
            links.values().filter_map(|link| link.failing.borrow().get(group).copied()).collect();
        let failed = told.iter().filter(|time| **time >= span).count();
        Votes { total: told.len(), failed }
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

    /// Takes over the list of VMs and chooses neighbours among them.
    fn set_members(&self, members: impl IntoIterator<Item = Member>) {
        let Some(me) = self.me.borrow().clone() else { return };
        let others = members.into_iter().filter(|member| member.vm != me.vm);
        let members: HashMap<VmId, Member> =
            others.map(|member| (member.vm.clone(), member)).collect();
        let here = me.place();
        let all: Vec<Location<'_>> = members.values().map(Member::place).chain([here]).collect();
        let chosen = choose_neighbours(here, &all);
        let mut dialled = neighbours_to_dial(here, &chosen, &all);
        dialled.extend(keepers_to_dial(&me, members.values()));
        self.dialled.replace(dialled);
        for (vm, link) in self.links.borrow().iter() {
            link.chosen.set(chosen.contains(vm));
        }
        self.chosen.replace(chosen);
        self.members.replace(members);
        self.known.set(true);
        self.dials.notify_one();
    }
}

/// Returns the keepers that the VM `me` dials ahead of need.
fn keepers_to_dial<'a>(me: &'a Member, members: impl Iterator<Item = &'a Member>) -> Vec<VmId> {
    let mut centres: BTreeMap<&DataCentreId, Vec<VmId>> = BTreeMap::new();
    for member in members.chain([me]) {
        centres.entry(&member.data_centre).or_default().push(member.vm.clone());
    }
    let near = centres.remove(&me.data_centre).unwrap_or_default();
    let mut all = keeper_pool(&near);
    all.extend(centres.values().flat_map(|vms| keeper_pool(vms)));
    all.truncate(LINKED_KEEPERS);
    // Two keepers are linked by one of them.
    let keeps = all.contains(&me.vm);
    all.retain(|vm| *vm != me.vm && (!keeps || *vm > me.vm));
    all
}

/// Listens for other VMs, dials them and keeps this VM's row, until dropped.
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
    let rows = keep_rows(Rc::clone(&engine));
    let dialled = dial_all(Rc::clone(&engine));
    let accepted = accept(Rc::clone(&engine), listener);
    futures_util::join!(rows, dialled, accepted);
}

async fn accept<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let engine = Rc::clone(&engine);
                actix::spawn(async move { greet(engine, stream).await });
            }
            Err(_) => sleep(REDIAL).await,
        }
    }
}

/// Waits for the first beat of a VM that dialled.
async fn greet<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>, stream: TcpStream) {
    let mut frames = Framed::new(stream, EnvelopeCodec::new());
    let first = timeout(DIAL_TIMEOUT, frames.next()).await;
    let Ok(Some(Ok(Envelope { body: Some(Body::Beat(beat)) }))) = first else { return };
    let Ok(vm) = VmId::new(&beat.vm) else { return };
    link(&engine, vm, frames).await;
}

async fn dial_all<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>) {
    let mut ticks = interval(REDIAL);
    let dialling: Rc<RefCell<Vec<VmId>>> = Rc::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = engine.fleet.dials.notified() => {}
        }
        for (vm, address) in wanted(&engine) {
            if engine.fleet.link(&vm).is_some() || dialling.borrow().contains(&vm) {
                continue;
            }
            dialling.borrow_mut().push(vm.clone());
            let (engine, dialling) = (Rc::clone(&engine), Rc::clone(&dialling));
            actix::spawn(async move {
                if let Ok(Ok(stream)) = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
                    link(&engine, vm.clone(), Framed::new(stream, EnvelopeCodec::new())).await;
                }
                dialling.borrow_mut().retain(|other| *other != vm);
            });
        }
    }
}

/// Returns the VMs to dial now: neighbours and those that callers needed lately.
fn wanted<S: ServerProtocol, D: Directory>(engine: &Engine<S, D>) -> Vec<(VmId, SocketAddr)> {
    let fleet = &engine.fleet;
    let now = clock::now();
    let mut needed = fleet.wanted.borrow_mut();
    needed.retain(|_, time| now.since(*time) < SILENCE);
    let dialled = fleet.dialled.borrow();
    let names = dialled.iter().chain(needed.keys());
    let unlinked = names.filter(|vm| fleet.link(vm).is_none());
    let members = fleet.members.borrow();
    unlinked.filter_map(|vm| Some((vm.clone(), members.get(vm)?.address))).collect()
}
