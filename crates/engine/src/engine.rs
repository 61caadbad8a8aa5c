//! State that the tasks of one daemon share.
//!
//! The engine applies changes from the directory and from other VMs, and derives
//! from them the servers of each group, the limits of this VM and whether the VM
//! is ready.

mod documents;
mod servers;
mod startup;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, DataCentreId, GroupId, ServerId, Time,
    admission::{Limits, home_slots},
    coordinator::RowObservation,
    drain::Drain,
    evacuation::Evacuations,
    home::{FALLBACK_CONNECTIONS, connection_limit, rank_homes},
    isolation::is_isolated,
    load::ReportPacer,
    retry::RetryBudget,
    version::Era,
};
use indexmap::{IndexMap, IndexSet};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, watch};

use self::startup::HeldCatalog;
use crate::{
    admission::Admission,
    budget::Meters,
    catalog::{Catalog, Route, ServerEntry},
    clock,
    fleet::{Fleet, Link},
    group::Group,
    log::EventLog,
    metrics::Metrics,
    overload::LoadReports,
    pool::Pool,
    relay::Relay,
    seam::{Directory, ServerProtocol},
    settings::Settings,
    usage::Usage,
};

/// Time for which this VM must be isolated before it stops being ready.
const ISOLATION_DELAY: Duration = Duration::from_millis(300);

/// Time that the load balancer takes to notice that a VM is not ready.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_000);

/// Age of the newest known version of the coordinator's row up to which its holder counts as
/// alive, so that the row is not read.
pub(crate) const ROW_TRUST_SPAN: Duration = Duration::from_millis(1_800);

/// Phase of the daemon's life.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// The daemon serves callers.
    Serving,
    /// Open transactions may finish. A session without one ends after at most one
    /// more operation.
    Draining,
    /// Open transactions are ended as well.
    Closing,
    /// Requests that still run are given up.
    Ending,
}

/// State shared by all tasks of a daemon.
pub(crate) struct Engine<S: ServerProtocol, D: Directory> {
    pub(crate) settings: Settings,
    /// When the daemon started.
    pub(crate) started: Time,
    pub(crate) protocol: Rc<S>,
    pub(crate) directory: D,
    pub(crate) event_log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) meters: Meters,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) fleet: Fleet,
    pub(crate) rng: RefCell<SmallRng>,
    /// Retries that this VM may still make of statements that a server rejected.
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) load_reports: RefCell<LoadReports>,
    pub(crate) relay: RefCell<Relay>,
    /// Keeps reports on the load of servers within their data rate.
    pub(crate) report_pacer: RefCell<ReportPacer>,
    catalog: watch::Sender<Rc<Catalog>>,
    /// Configuration that was read at the start and is not used yet.
    held_catalog: RefCell<Option<HeldCatalog>>,
    phase: watch::Sender<Phase>,
    /// Schedule of the drain, once the daemon was asked to stop.
    drain: Cell<Option<Drain>>,
    groups: RefCell<IndexMap<GroupId, Rc<RefCell<Group>>>>,
    pools: RefCell<HashMap<ServerId, Rc<Pool<S>>>>,
    /// Evacuated data centres as the directory lists them, and across restores.
    evacuations: RefCell<Evacuations>,
    /// Evacuated data centres that are in force.
    evacuated: RefCell<IndexSet<DataCentreId>>,
    /// Era of the newest known version of the directory.
    era: Cell<Era>,
    /// When this VM learnt of that era.
    era_known_at: Cell<Time>,
    /// When this VM learnt that the directory came back from a copy.
    restored_at: Cell<Option<Time>>,
    /// Whether the directory answers this VM or a linked one.
    reachable: Cell<bool>,
    /// When the directory last became reachable again.
    regained_at: Cell<Time>,
    /// Since when no other data centre and few primaries could be reached.
    isolated_since: Cell<Option<Time>>,
    /// Whether this VM is isolated, so that callers should connect to another one.
    avoided: watch::Sender<bool>,
    /// Servers in the newest document of the directory.
    registered: RefCell<Vec<ServerEntry>>,
    /// Whether groups have servers that are missing in that document.
    keeps_missing: Cell<bool>,
    /// Newest version of the coordinator's row that this VM or a linked one has
    /// read, and since when that version is known.
    coordinator_row: Cell<Option<RowObservation>>,
    /// Wakes statements that wait for a primary or an observed position.
    pub(crate) primary_news: Notify,
    /// Wakes the task that watches primaries.
    pub(crate) watch_wakeup: Notify,
    /// Wakes operations that wait for a token.
    pub(crate) tokens: Notify,
    /// Counts for usage reports, if they are enabled.
    pub(crate) usage: Option<Usage>,
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Creates the state of a daemon that has read nothing yet.
    pub(crate) fn new(
        settings: Settings,
        protocol: S,
        directory: D,
        event_log: EventLog,
        metrics: Metrics,
    ) -> Self {
        Engine {
            rng: RefCell::new(SmallRng::seed_from_u64(settings.incarnation)),
            usage: Usage::new(&settings, clock::now()),
            meters: Meters::new(settings.limits, metrics.clone()),
            settings,
            started: clock::now(),
            protocol: Rc::new(protocol),
            directory,
            event_log,
            metrics,
            admission: RefCell::default(),
            retry_budget: RefCell::default(),
            load_reports: RefCell::default(),
            relay: RefCell::new(Relay::new()),
            report_pacer: RefCell::new(ReportPacer::new(clock::now())),
            fleet: Fleet::default(),
            catalog: watch::Sender::new(Rc::default()),
            held_catalog: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            drain: Cell::new(None),
            groups: RefCell::default(),
            pools: RefCell::default(),
            evacuations: RefCell::default(),
            evacuated: RefCell::default(),
            era: Cell::default(),
            era_known_at: Cell::new(clock::now()),
            restored_at: Cell::new(None),
            reachable: Cell::new(false),
            regained_at: Cell::new(Time::default()),
            isolated_since: Cell::new(None),
            avoided: watch::Sender::new(false),
            registered: RefCell::default(),
            keeps_missing: Cell::new(false),
            coordinator_row: Cell::new(None),
            primary_news: Notify::new(),
            watch_wakeup: Notify::new(),
            tokens: Notify::new(),
        }
    }

    /// Returns when this VM learnt of the present era of the directory.
    pub(crate) fn era_known_at(&self) -> Time {
        self.era_known_at.get()
    }

    /// Returns the active configuration.
    pub(crate) fn catalog(&self) -> Rc<Catalog> {
        Rc::clone(&self.catalog.borrow())
    }

    /// Returns a receiver that is notified of newer configurations.
    pub(crate) fn catalogs(&self) -> watch::Receiver<Rc<Catalog>> {
        self.catalog.subscribe()
    }

    /// Returns the phase of the daemon's life.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is notified of changes of the phase.
    pub(crate) fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Starts to drain.
    pub(crate) fn start_drain(&self, drain: Drain) {
        self.drain.set(Some(drain));
        self.set_phase(Phase::Draining);
    }

    /// Returns whether a statement on `route`, outside of a transaction, can be answered before
    /// the daemon ends.
    pub(crate) fn admits_statement(&self, route: &Route) -> bool {
        self.drain.get().is_none_or(|drain| drain.admits_statement(route.timeout, clock::now()))
    }

    /// Returns whether a transaction on `route` may begin.
    pub(crate) fn admits_transaction(&self, route: &Route) -> bool {
        self.drain.get().is_none_or(|drain| drain.admits_transaction(route.timeout, clock::now()))
    }

    /// Enters a phase.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && !self.is_isolated(ISOLATION_DELAY)
            && self.catalog.borrow().version > 0
            && self.fleet.has_member_list()
            && self.groups.borrow().values().any(|group| !group.borrow().servers.is_empty())
    }

    /// Checks whether a network partition separates this VM from the other data
    /// centres and from most primaries.
    ///
    /// The VM first stops being ready. Sessions are closed only after the load
    /// balancer has noticed, so that callers then connect to another VM.
    pub(crate) fn check_isolation(&self) {
        let now = clock::now();
        let here = &self.settings.data_centre;
        let groups = self.groups();
        let reachabilities =
            groups.iter().map(|group| group.borrow().primary_reachability(here, now));
        let isolated = self.fleet.is_cut_off() && is_isolated(reachabilities);
        let since = isolated.then(|| self.isolated_since.get().unwrap_or(now));
        self.isolated_since.set(since);
        let avoided = self.is_isolated(ISOLATION_DELAY + LOAD_BALANCER_DELAY);
        self.avoided.send_if_modified(|last| std::mem::replace(last, avoided) != avoided);
    }

    fn is_isolated(&self, span: Duration) -> bool {
        self.isolated_since.get().is_some_and(|since| clock::now().since(since) >= span)
    }

    /// Returns a receiver of whether callers should connect to another VM.
    pub(crate) fn avoided(&self) -> watch::Receiver<bool> {
        self.avoided.subscribe()
    }

    /// Returns the state of the group `name`, which is created if needed.
    pub(crate) fn group(&self, name: &GroupId) -> Rc<RefCell<Group>> {
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = groups.get(name) {
            return Rc::clone(group);
        }
        let group = Rc::new(RefCell::new(Group::new(
            name.clone(),
            self.settings.server_times,
            clock::now(),
        )));
        groups.insert(name.clone(), Rc::clone(&group));
        group
    }

    /// Returns the states of all groups.
    pub(crate) fn groups(&self) -> Vec<Rc<RefCell<Group>>> {
        self.groups.borrow().values().map(Rc::clone).collect()
    }

    /// Returns the connection pool of `server`, if it is registered.
    pub(crate) fn pool(&self, server: &ServerId) -> Option<Rc<Pool<S>>> {
        self.pools.borrow().get(server).map(Rc::clone)
    }

    /// Returns the connection pools of all servers.
    pub(crate) fn pools(&self) -> Vec<Rc<Pool<S>>> {
        self.pools.borrow().values().map(Rc::clone).collect()
    }

    /// Returns a client account as which the daemon itself may connect.
    pub(crate) fn any_account(&self) -> Option<AccountId> {
        self.catalog.borrow().accounts.keys().next().cloned()
    }

    /// Recomputes this VM's part of rates and connections after the
    /// configuration or the list of VMs has changed.
    pub(crate) fn refresh_limits(&self) {
        // Until the list of VMs is read, this VM gets no part: a VM that took itself for
        // the only one would spend the whole rate.
        let vms =
            if self.fleet.has_member_list() { self.fleet.by_data_centre() } else { Vec::new() };
        let catalog = self.catalog();
        let now = clock::now();
        self.admission.borrow_mut().configure(&catalog, &self.settings.vm, &vms, now);
        for pool in self.pools() {
            pool.set_limits(self.pool_limits(&pool.entry(), &catalog));
        }
    }

    /// Returns the limits of what this VM uses of a server.
    fn pool_limits(&self, entry: &ServerEntry, catalog: &Catalog) -> Limits {
        let limit = catalog.groups.get(&entry.group).map_or(0, |group| group.connections);
        let homes = self.fleet.homes(entry, limit);
        match homes.contains(&self.settings.vm) {
            true => {
                let connections = connection_limit(limit, homes.len());
                let slots = entry.slots.map_or(connections, |slots| home_slots(slots, homes.len()));
                Limits { connections, slots }
            }
            false => Limits { connections: FALLBACK_CONNECTIONS, slots: FALLBACK_CONNECTIONS },
        }
    }

    /// Returns the link to the home of `server` for `account`, or `None` if this
    /// VM should use its own connections.
    ///
    /// A home is a VM that owns pooled connections to the server.
    pub(crate) fn home_link(&self, server: &ServerId, account: &AccountId) -> Option<Rc<Link>> {
        let pool = self.pool(server)?;
        let entry = pool.entry();
        let limit = self.catalog.borrow().groups.get(&entry.group)?.connections;
        let homes = self.fleet.homes(&entry, limit);
        for vm in rank_homes(&homes, server, account) {
            if vm == self.settings.vm {
                return None;
            }
            match self.fleet.link(&vm) {
                Some(link) => return Some(link),
                None => self.fleet.request_dial(&vm),
            }
        }
        None
    }

    /// Returns the newest observation of the coordinator's row.
    pub(crate) fn row_observation(&self) -> Option<RowObservation> {
        self.coordinator_row.get()
    }

    /// Returns whether another VM has recently reported a newer version of the
    /// coordinator's row. A row of an earlier era of the directory is renewed no more.
    pub(crate) fn is_row_renewed(&self) -> bool {
        let age = |row: RowObservation| clock::now().since(row.since);
        self.coordinator_row
            .get()
            .is_some_and(|row| row.version.era() >= self.era.get() && age(row) < ROW_TRUST_SPAN)
    }

    /// Merges an observation of the coordinator's row by this or another VM.
    pub(crate) fn record_row_observation(&self, observed: RowObservation) {
        let merged = self.coordinator_row.get().map_or(observed, |known| known.merge(observed));
        self.coordinator_row.set(Some(merged));
    }
}
