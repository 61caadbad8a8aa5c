//! The state that the tasks of one daemon share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, DataCentreId, GroupId, ServerId, Time,
    coordinator::RowObservation,
    document::Acceptance,
    home::{FALLBACK_CONNECTIONS, connection_limit, homes, rank_homes},
    isolation::is_isolated,
};
use chicoryhollow_peer::fleet::Document;
use indexmap::{IndexMap, IndexSet};
use rand::{SeedableRng, rngs::SmallRng};
use slog::o;
use tokio::sync::{Notify, watch};

use crate::{
    admission::Admission,
    catalog::{Catalog, ServerEntry},
    clock,
    fleet::{Fleet, Link},
    group::{Group, Source},
    log::{Event, EventLog},
    metrics::Metrics,
    pool::Pool,
    relay::{Kind, Relay},
    seam::{Change, Directory, ServerProtocol},
    settings::Settings,
};

/// Time after the directory's return during which a missing entry may still
/// come back.
const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// Age of what is known of the directory up to which it counts as reachable.
const REACH: Duration = Duration::from_millis(4_000);

/// Time without any other data centre after which this VM sends its callers away.
const ISOLATION: Duration = Duration::from_millis(300);

/// Time that the load balancer takes to learn that a VM is not ready.
const REDIRECTION: Duration = Duration::from_millis(2_000);

/// How far the daemon is on its way to the end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It finishes what has begun and starts single operations only.
    Draining,
    /// Open transactions are ended.
    Closing,
}

/// State shared by all tasks of a daemon.
pub(crate) struct Engine<S: ServerProtocol, D: Directory> {
    pub(crate) settings: Settings,
    pub(crate) protocol: Rc<S>,
    pub(crate) directory: D,
    pub(crate) event_log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) fleet: Fleet,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) relay: RefCell<Relay>,
    catalog: watch::Sender<Rc<Catalog>>,
    phase: watch::Sender<Phase>,
    groups: RefCell<IndexMap<GroupId, Rc<RefCell<Group>>>>,
    pools: RefCell<HashMap<ServerId, Rc<Pool<S>>>>,
    evacuated: RefCell<IndexSet<DataCentreId>>,
    reachable: Cell<bool>,
    returned: Cell<Time>,
    /// Since when no other data centre and few primaries could be reached.
    isolated: Cell<Option<Time>>,
    /// Whether callers are to look for another VM.
    shunned: watch::Sender<bool>,
    told: RefCell<Vec<ServerEntry>>,
    /// Since when this VM, or one that it hears, knows the duty's row unchanged.
    duty: Cell<Option<RowObservation>>,
    /// Wakes those who wait for a primary or a mark.
    pub(crate) beliefs: Notify,
    /// Wakes the tasks that replace primaries.
    pub(crate) alarm: Notify,
    /// Wakes operations that wait for a token.
    pub(crate) tokens: Notify,
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Makes the state of a daemon that knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        protocol: S,
        directory: D,
        event_log: EventLog,
        metrics: Metrics,
    ) -> Self {
        Engine {
            rng: RefCell::new(SmallRng::seed_from_u64(settings.incarnation)),
            settings,
            protocol: Rc::new(protocol),
            directory,
            event_log,
            metrics,
            admission: RefCell::default(),
            relay: RefCell::new(Relay::new()),
            fleet: Fleet::default(),
            catalog: watch::Sender::new(Rc::default()),
            phase: watch::Sender::new(Phase::Serving),
            groups: RefCell::default(),
            pools: RefCell::default(),
            evacuated: RefCell::default(),
            reachable: Cell::new(false),
            returned: Cell::new(Time::default()),
            isolated: Cell::new(None),
            shunned: watch::Sender::new(false),
            told: RefCell::default(),
            duty: Cell::new(None),
            beliefs: Notify::new(),
            alarm: Notify::new(),
            tokens: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Rc<Catalog> {
        Rc::clone(&self.catalog.borrow())
    }

    /// Returns a receiver that sees every newer configuration.
    pub(crate) fn catalogs(&self) -> watch::Receiver<Rc<Catalog>> {
        self.catalog.subscribe()
    }

    /// Returns how far the daemon is on its way to the end.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that sees every change of the phase.
    pub(crate) fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on towards the end.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Tells whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && !self.is_isolated(ISOLATION)
            && self.catalog.borrow().version > 0
            && self.fleet.is_known()
            && self.groups.borrow().values().any(|group| !group.borrow().servers.is_empty())
    }

    /// Notices whether a partition leaves this VM with too little of what its callers
    /// need.
    pub(crate) fn check_isolation(&self) {
        let now = clock::now();
        let here = &self.settings.data_centre;
        let groups = self.groups();
        let sights = groups.iter().map(|group| group.borrow().sight(here, now));
        let isolated = self.fleet.is_alone_in(here) && is_isolated(sights);
        let since = isolated.then(|| self.isolated.get().unwrap_or(now));
        self.isolated.set(since);
        let shunned = self.is_isolated(ISOLATION + REDIRECTION);
        self.shunned.send_if_modified(|last| std::mem::replace(last, shunned) != shunned);
    }

    fn is_isolated(&self, span: Duration) -> bool {
        self.isolated.get().is_some_and(|since| clock::now().since(since) >= span)
    }

    /// Returns a receiver that sees whether callers are to look for another VM.
    pub(crate) fn shunned(&self) -> watch::Receiver<bool> {
        self.shunned.subscribe()
    }

    /// Returns what is believed of `group`.
    pub(crate) fn group(&self, name: &GroupId) -> Rc<RefCell<Group>> {
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = groups.get(name) {
            return Rc::clone(group);
        }
        let group = Rc::new(RefCell::new(Group::new(name.clone(), clock::now())));
        groups.insert(name.clone(), Rc::clone(&group));
        group
    }

    /// Returns the beliefs about all groups.
    pub(crate) fn groups(&self) -> Vec<Rc<RefCell<Group>>> {
        self.groups.borrow().values().map(Rc::clone).collect()
    }

    /// Returns the connections to `server`, if it is registered.
    pub(crate) fn pool(&self, server: &ServerId) -> Option<Rc<Pool<S>>> {
        self.pools.borrow().get(server).map(Rc::clone)
    }

    /// Returns all pools.
    pub(crate) fn pools(&self) -> Vec<Rc<Pool<S>>> {
        self.pools.borrow().values().map(Rc::clone).collect()
    }

    /// Returns an account in whose name the daemon itself connects.
    pub(crate) fn any_account(&self) -> Option<AccountId> {
        self.catalog.borrow().accounts.keys().next().cloned()
    }

    /// Takes in what the directory told.
    pub(crate) fn apply(&self, change: Change) {
        match change {
            Change::Catalog(catalog) => self.adopt_catalog(*catalog, "directory"),
            Change::Evacuated(version, places) => {
                if self.relay.borrow_mut().keep(Kind::Evacuated, version, &places)
                    == Acceptance::New
                {
                    self.set_evacuated(places.into_iter().collect());
                    self.announce();
                }
            }
            Change::Servers(version, entries) => {
                if self.relay.borrow_mut().keep(Kind::Servers, version, &entries) == Acceptance::New
                {
                    self.told.replace(entries);
                    self.refresh_servers();
                    self.announce();
                }
            }
            Change::Reachable(works) => self.relay.borrow_mut().note_read(works, clock::now()),
            Change::Unreadable(key, reason) => {
                self.event_log.record(Event::Unreadable, o!("key" => key, "reason" => reason));
            }
        }
    }

    /// Takes in a document that another VM has read.
    pub(crate) fn take_relayed(
        &self,
        kind: Kind,
        document: &Document,
    ) -> Result<(), serde_json::Error> {
        match kind {
            Kind::Catalog => self.adopt_catalog(serde_json::from_slice(&document.json)?, "peer"),
            Kind::Evacuated => {
                let places: Vec<DataCentreId> = serde_json::from_slice(&document.json)?;
                if self.relay.borrow_mut().keep(kind, document.version, &places) == Acceptance::New
                {
                    self.set_evacuated(places.into_iter().collect());
                    self.announce();
                }
            }
            Kind::Servers => {
                let entries: Vec<ServerEntry> = serde_json::from_slice(&document.json)?;
                if self.relay.borrow_mut().keep(kind, document.version, &entries) == Acceptance::New
                {
                    self.told.replace(entries);
                    self.refresh_servers();
                    self.announce();
                }
            }
            Kind::Vms => {}
        }
        Ok(())
    }

    /// Puts a newer configuration in force; an older one changes nothing.
    pub(crate) fn adopt_catalog(&self, catalog: Catalog, source: &'static str) {
        if catalog.version <= self.catalog.borrow().version {
            return;
        }
        let (version, routes) = (catalog.version, catalog.routes.len());
        self.metrics.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.relay.borrow_mut().keep(Kind::Catalog, version, &catalog);
        self.catalog.send_replace(Rc::new(catalog));
        self.event_log.record(
            Event::CatalogInForce,
            o!("version" => version, "routes" => routes, "source" => source),
        );
        self.announce();
        self.refresh_limits();
    }

    /// Splits rates and connections anew after the configuration or the list of
    /// VMs has changed.
    pub(crate) fn refresh_limits(&self) {
        // Each VM that took itself for the only one would spend the whole rate.
        let vms = if self.fleet.is_known() { self.fleet.by_data_centre() } else { Vec::new() };
        let catalog = self.catalog();
        let now = clock::now();
        self.admission.borrow_mut().configure(&catalog, &self.settings.vm, &vms, now);
        for pool in self.pools() {
            pool.set_limit(self.connections(&pool.entry(), &catalog));
        }
    }

    /// Returns how many connections this VM may open to a server.
    fn connections(&self, entry: &ServerEntry, catalog: &Catalog) -> u32 {
        let limit = catalog.groups.get(&entry.group).map_or(0, |group| group.connections);
        let homes = homes(&entry.server, &self.fleet.vms_in(&entry.data_centre), limit);
        match homes.contains(&self.settings.vm) {
            true => connection_limit(limit, homes.len()),
            false => FALLBACK_CONNECTIONS,
        }
    }

    /// Returns the link to the home of `server` for `account`, or none when this
    /// VM is to use its own connections.
    pub(crate) fn home_of(&self, server: &ServerId, account: &AccountId) -> Option<Rc<Link>> {
        let pool = self.pool(server)?;
        let entry = pool.entry();
        let limit = self.catalog.borrow().groups.get(&entry.group)?.connections;
        let homes = homes(server, &self.fleet.vms_in(&entry.data_centre), limit);
        for vm in rank_homes(&homes, server, account) {
            if vm == self.settings.vm {
                return None;
            }
            match self.fleet.link(&vm) {
                Some(link) => return Some(link),
                None => self.fleet.want(&vm),
            }
        }
        None
    }

    /// Returns since when the duty's row is known not to have changed.
    pub(crate) fn duty_sight(&self) -> Option<RowObservation> {
        self.duty.get()
    }

    /// Takes note of what some VM saw of the duty's row.
    pub(crate) fn saw_duty(&self, sight: RowObservation) {
        let merged = self.duty.get().map_or(sight, |known| known.merge(sight));
        self.duty.set(Some(merged));
    }

    fn set_evacuated(&self, places: IndexSet<DataCentreId>) {
        if *self.evacuated.borrow() == places {
            return;
        }
        let list: Vec<_> = places.iter().map(|place| place.as_str().to_owned()).collect();
        self.event_log.record(Event::EvacuationChanged, o!("out" => list.join(",")));
        for group in self.groups() {
            group.borrow_mut().set_out(places.clone());
        }
        self.evacuated.replace(places);
        self.alarm.notify_one();
    }

    /// Notes whether the directory answers, to this VM or to one that it hears.
    pub(crate) fn check_reach(&self) {
        let reachable = clock::now().since(self.fresh()) < REACH;
        if self.reachable.replace(reachable) == reachable {
            return;
        }
        if reachable {
            self.returned.set(clock::now());
            self.event_log.record(Event::DirectoryRegained, o!());
        } else {
            self.event_log.record(Event::DirectoryLost, o!());
        }
    }

    /// Tells whether an entry that is missing may only be late.
    fn is_unsettled(&self) -> bool {
        !self.reachable.get() || clock::now().since(self.returned.get()) < RETURN_GRACE
    }

    /// Hands the registered servers to their groups and pools.
    pub(crate) fn refresh_servers(&self) {
        let entries = self.told.borrow().clone();
        let mut by_group: IndexMap<GroupId, IndexMap<ServerId, ServerEntry>> = IndexMap::new();
        for entry in entries {
            by_group.entry(entry.group.clone()).or_default().insert(entry.server.clone(), entry);
        }
        for name in by_group.keys() {
            let group = self.group(name);
            group.borrow_mut().set_out(self.evacuated.borrow().clone());
        }
        for group in self.groups() {
            let name = group.borrow().view.group.clone();
            let mut servers = by_group.swap_remove(&name).unwrap_or_default();
            if self.is_unsettled() {
                for (server, entry) in &group.borrow().servers {
                    servers.entry(server.clone()).or_insert_with(|| entry.clone());
                }
            }
            self.set_servers(&group, servers);
        }
        self.drop_pools();
        self.alarm.notify_one();
    }

    fn set_servers(&self, group: &Rc<RefCell<Group>>, servers: IndexMap<ServerId, ServerEntry>) {
        if group.borrow().servers == servers {
            return;
        }
        let catalog = self.catalog();
        for entry in servers.values() {
            let limit = self.connections(entry, &catalog);
            let mut pools = self.pools.borrow_mut();
            match pools.get(&entry.server) {
                Some(pool) => pool.set_entry(entry.clone()),
                None => {
                    let pool = Pool::new(Rc::clone(&self.protocol), entry.clone(), limit);
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
            self.note_primary(&group.borrow(), Source::Entry);
        }
    }

    /// Forgets the connections to servers that are gone.
    fn drop_pools(&self) {
        let groups = self.groups();
        let is_known = |server: &ServerId| {
            groups.iter().any(|group| group.borrow().servers.contains_key(server))
        };
        self.pools.borrow_mut().retain(|server, _| is_known(server));
    }

    /// Logs a change of belief about a primary and wakes those who wait for it.
    pub(crate) fn note_primary(&self, group: &Group, source: Source) {
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
        self.beliefs.notify_waiters();
    }
}

fn describe(entry: &ServerEntry) -> String {
    let role = if entry.primary { "primary" } else { "replica" };
    let state = if entry.leaving { "/leaving" } else { "" };
    format!("{}/{role}/{}{state}", entry.server, entry.data_centre)
}
