//! Backend servers of which this VM is the home.
//!
//! The home of a backend server is the VM that owns the pooled connections to it. All
//! statements for the server run on these connections, whichever VM the caller is
//! connected to. Normally each server has one home at a time. Two VMs that both act as
//! its home do no harm: each uses its own connections, and the server's connection limit
//! bounds their sum.

mod answer;
mod applied;
mod backend;
mod batch;
mod confirm;
pub mod control;
mod exchange;
mod local;
mod outcome;
mod request;
mod scheduler;
mod tracker;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use chicoryhollow_config::configuration::{Server, Service, Versioned};
use chicoryhollow_core::prelude::*;
use tokio::time::sleep;

pub use self::local::LocalStream;
use self::{applied::AppliedPosition, scheduler::Scheduler, tracker::Tracker};
pub(crate) use self::{
    outcome::{Resolved, resolve},
    request::{encode_commit_complete, is_commit, is_single},
};
use crate::node::Node;

/// Interval at which the connections to a server are checked and its configuration is applied.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a waiting request checks whether the majority still doesn't answer, or
/// whether the server is still the primary.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a primary that was taken out of service still accepts new work, so that
/// another server can become primary first.
const LEAVING_PRIMARY_GRACE: Duration = Duration::from_secs(4);

/// The backend servers of which this VM is or was the home, and the trackers of servers.
#[derive(Default)]
pub struct Homes {
    homes: Mutex<HashMap<ServerId, Arc<Home>>>,
    trackers: Mutex<HashMap<ServerId, Arc<Tracker>>>,
}

impl Homes {
    /// Creates an empty set.
    pub fn new() -> Self {
        Homes::default()
    }

    /// Returns the home of `server` and creates it on first use.
    ///
    /// Returns `None` if the configuration doesn't contain the server.
    pub(crate) fn get(&self, node: &Arc<Node>, server: &ServerId) -> Option<Arc<Home>> {
        let mut homes = self.homes.lock().expect("no thread panics with this lock");
        if let Some(home) = homes.get(server) {
            return Some(Arc::clone(home));
        }
        let (group, found) = find_server(&node.configuration(), server)?;
        let home = Arc::new(Home::new(node, group, server.clone(), &found)?);
        homes.insert(server.clone(), Arc::clone(&home));
        tokio::spawn(maintain(Arc::clone(node), Arc::downgrade(&home)));
        Some(home)
    }

    /// Returns the database group of a configured server.
    pub(crate) fn group(&self, node: &Arc<Node>, server: &ServerId) -> Option<GroupId> {
        self.get(node, server).map(|home| home.group.clone())
    }

    /// Returns the tracker of `server` and creates it on first use or when the server's
    /// address has changed.
    ///
    /// Returns `None` if the configuration doesn't contain the server.
    pub(crate) fn tracker(&self, node: &Node, server: &ServerId) -> Option<Arc<Tracker>> {
        let (_, found) = find_server(&node.configuration(), server)?;
        let address = node.settings.dial_address(found.address);
        let mut trackers = self.trackers.lock().expect("no thread panics with this lock");
        if let Some(tracker) = trackers.get(server).filter(|t| t.address() == address) {
            return Some(Arc::clone(tracker));
        }
        let role = node.settings.backend.clone();
        let tracker = Arc::new(Tracker::new(address, role, node.clock));
        trackers.insert(server.clone(), Arc::clone(&tracker));
        Some(tracker)
    }

    /// Returns the current load of each server of which this VM is the home.
    pub(crate) fn report(&self) -> Vec<HomeReport> {
        let homes = self.homes.lock().expect("no thread panics with this lock");
        let report = |home: &Arc<Home>| {
            let (waiting, running, connections) = home.scheduler.counts();
            HomeReport { server: home.server.clone(), waiting, running, connections }
        };
        homes.values().map(report).collect()
    }

    fn remove_home(&self, node: &Node, server: &ServerId) {
        node.metrics.remove_server(server.as_str());
        self.homes.lock().expect("no thread panics with this lock").remove(server);
    }
}

/// Load of a backend server, as its home sees it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(crate) struct HomeReport {
    /// The backend server.
    server: ServerId,
    /// Number of statements that wait for a slot.
    waiting: usize,
    /// Number of statements that are running.
    running: u32,
    /// Number of open connections.
    connections: u32,
}

/// Returns the database group and the configuration of a server.
pub fn find_server(versioned: &Versioned, server: &ServerId) -> Option<(GroupId, Server)> {
    let groups = &versioned.configuration.groups;
    groups
        .iter()
        .find_map(|(group, found)| Some((group.clone(), found.servers.get(server)?.clone())))
}

/// One backend server of which this VM is the home.
pub(crate) struct Home {
    group: GroupId,
    server: ServerId,
    address: SocketAddr,
    scheduler: Arc<Scheduler>,
    tracker: Arc<Tracker>,
    applied: Arc<AppliedPosition>,
    /// Time since which the server has been out of service.
    out_since: Mutex<Option<Time>>,
}

impl Home {
    fn new(node: &Node, group: GroupId, server: ServerId, found: &Server) -> Option<Self> {
        let address = node.settings.dial_address(found.address);
        let role = node.settings.backend.clone();
        let scheduler = Scheduler::new(address, role, node.clock, found.slots, found.connections);
        let tracker = node.homes.tracker(node, &server)?;
        let applied = Arc::new(AppliedPosition::new());
        let out_since = Mutex::default();
        Some(Home { group, server, address, scheduler, tracker, applied, out_since })
    }

    /// Returns whether the server is the primary of the newest known term.
    fn is_primary(&self, node: &Node) -> bool {
        node.groups.view(&self.group).primary.as_ref() == Some(&self.server)
    }

    /// Returns whether the server accepts new work.
    ///
    /// A primary that was taken out of service still accepts work for a limited time, so
    /// that callers see no error before another server has become primary.
    fn is_accepting_work(&self, node: &Node) -> bool {
        let since = *self.out_since.lock().expect("no thread panics with this lock");
        let Some(since) = since else { return true };
        self.is_primary(node) && node.clock.now().since(since) < LEAVING_PRIMARY_GRACE
    }

    /// Updates the metrics of the server.
    fn publish(&self, node: &Node) {
        let (waiting, running, connections) = self.scheduler.counts();
        let server = &[self.server.as_str()];
        let metrics = &node.metrics;
        metrics.waiting.with_label_values(server).set(i64::try_from(waiting).unwrap_or(i64::MAX));
        metrics.running.with_label_values(server).set(running.into());
        metrics.connections.with_label_values(server).set(connections.into());
    }

    fn record_service(&self, now: Time, service: Service) {
        let mut out_since = self.out_since.lock().expect("no thread panics with this lock");
        *out_since = (service == Service::Out).then(|| out_since.unwrap_or(now));
    }
}

/// Applies configuration changes to a home and checks its connections, until the home is
/// dropped.
async fn maintain(node: Arc<Node>, home: Weak<Home>) {
    while let Some(home) = home.upgrade() {
        let versioned = node.configuration();
        let group = versioned.configuration.groups.get(&home.group);
        let found = group.and_then(|group| group.servers.get(&home.server)).cloned();
        match found.filter(|found| node.settings.dial_address(found.address) == home.address) {
            Some(found) => {
                home.record_service(node.clock.now(), service(&versioned, &found));
                home.scheduler.set_limits(found.slots, found.connections);
                let home_vm = node.members.home(&found.data_centre, &home.server);
                let has_other_home = home_vm.as_ref() != Some(&node.settings.vm);
                home.scheduler.maintain(has_other_home);
                home.publish(&node);
            }
            None => {
                node.homes.remove_home(&node, &home.server);
                home.scheduler.maintain(true);
            }
        }
        drop(home);
        sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Returns [`Service::In`] if both the server and its data centre are in service.
fn service(versioned: &Versioned, server: &Server) -> Service {
    let centre = versioned.configuration.data_centres.get(&server.data_centre);
    match centre.map_or(Service::In, |centre| centre.service) {
        Service::In => server.service,
        Service::Out => Service::Out,
    }
}
