//! Following the database groups, and watching some of them.
//!
//! The watchers of a group follow from the list of VMs. Every daemon subscribes
//! to the views of the first watchers of each group, and keeps a task for each
//! group that it watches itself.

mod convert;
mod server;
mod watching;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use chicoryhollow_config::{Configuration, configuration::Service};
use chicoryhollow_core::{
    prelude::*,
    watch::{GroupPlan, ServerPlan, WatcherPlace, watchers},
};
use chicoryhollow_peer::{Body, group::Subscribe};
use chicoryhollow_platform::VmState;
use indexmap::IndexMap;
use slog::o;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use self::watching::{Assignment, Input};
use crate::{events::Event, node::Node, peers::Reply};

/// Time between two looks at the configuration and the list of VMs, and between
/// two subscriptions to the same watcher.
const REVIEW: Duration = Duration::from_millis(250);

/// Watchers of a group that a VM subscribes to.
const SUBSCRIPTIONS: usize = 2;

/// The groups that this VM watches.
#[derive(Debug, Default)]
pub struct Watches {
    inputs: Mutex<HashMap<GroupId, Watch>>,
}

#[derive(Debug)]
struct Watch {
    inputs: mpsc::Sender<Input>,
    assignment: Assignment,
}

impl Watches {
    /// Makes a set without watchers.
    pub fn new() -> Self {
        Watches::default()
    }

    /// Gives a watcher its assignment, starting it when needed.
    fn assign(&self, node: &Arc<Node>, group: &GroupId, assignment: Assignment) {
        let mut watches = self.inputs.lock().expect("no thread panics with this lock");
        let watch = watches.entry(group.clone()).or_insert_with(|| Watch {
            inputs: watching::start(node, group),
            assignment: Assignment::default(),
        });
        let input = Input::Assign(Box::new(assignment.clone()));
        if watch.assignment != assignment && watch.inputs.try_send(input).is_ok() {
            watch.assignment = assignment;
        }
    }

    /// Ends the watchers of all other groups.
    fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        let mut watches = self.inputs.lock().expect("no thread panics with this lock");
        watches.retain(|group, _| keep(group));
    }

    /// Hands an input to the watcher of `group`, if there is one here.
    fn send(&self, group: &GroupId, input: Input) {
        let watches = self.inputs.lock().expect("no thread panics with this lock");
        if let Some(watch) = watches.get(group) {
            // A watcher that is behind is told again soon.
            drop(watch.inputs.try_send(input));
        }
    }
}

/// Follows all configured groups for as long as the daemon runs.
pub async fn follow(node: Arc<Node>) {
    let mut ticks = interval(REVIEW);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        review(&node);
    }
}

/// Takes up and gives up watchers, and renews the subscriptions.
fn review(node: &Arc<Node>) {
    let versioned = node.configuration();
    let configuration = &versioned.configuration;
    let vms = candidates(node);
    let own = &node.settings.vm;
    let mut watched = Vec::new();
    for group in configuration.groups.keys() {
        let places = watchers(group, &vms);
        if places.iter().any(|place| place.vm == *own) {
            watched.push(group.clone());
            node.watches.assign(node, group, assignment(configuration, group, places));
        } else {
            subscribe(node, group, &places);
        }
    }
    node.watches.retain(|group| watched.contains(group));
}

/// Returns the live VMs by data centre.
fn candidates(node: &Node) -> IndexMap<DataCentreId, Vec<VmId>> {
    let mut vms: IndexMap<DataCentreId, Vec<VmId>> = IndexMap::new();
    for listed in node.members.listed().iter().filter(|vm| vm.state == VmState::Live) {
        vms.entry(listed.data_centre.clone()).or_default().push(listed.vm.clone());
    }
    vms
}

fn assignment(
    configuration: &Configuration,
    group: &GroupId,
    places: Vec<WatcherPlace>,
) -> Assignment {
    let servers = &configuration.groups[group].servers;
    let plans = servers.iter().map(|(name, server)| {
        let leaving = server.service == Service::Out;
        let serving = !leaving && configuration.is_in_service(&server.data_centre);
        let data_centre = server.data_centre.clone();
        (name.clone(), ServerPlan { data_centre, leaving, serving })
    });
    let addresses = servers.iter().map(|(name, server)| (name.clone(), server.address));
    Assignment { plan: GroupPlan::new(plans), addresses: addresses.collect(), places }
}

fn subscribe(node: &Arc<Node>, group: &GroupId, places: &[WatcherPlace]) {
    for place in places.iter().take(SUBSCRIPTIONS) {
        let ask = Subscribe { group: group.to_string() };
        // A watcher that cannot be reached is asked again at the next review.
        node.peers.send(node, &place.vm, Body::Subscribe(ask));
    }
}

/// Takes over a view and logs a change of the primary.
fn publish(node: &Node, view: GroupView) {
    let known = node.groups.view(&view.group);
    let moved = view.term > known.term || known.primary.is_none();
    let (group, term, primary) = (view.group.clone(), view.term, view.primary.clone());
    if node.groups.publish(view) && moved {
        let primary = primary.map(|server| server.to_string()).unwrap_or_default();
        let fields = o!("group" => group.to_string(), "term" => term.get(), "primary" => primary);
        Event::PrimaryChanged.record(&node.log, fields);
    }
}

/// Receives a control message of another VM.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    match body {
        Body::View(message) => {
            if let Some(view) = convert::view(&message) {
                publish(node, view);
            }
        }
        Body::Observation(message) => {
            if let Some(observation) = convert::observation(&message) {
                let group = observation.view.group.clone();
                node.watches.send(&group, Input::Heard(from.clone(), Box::new(observation)));
            }
        }
        Body::Subscribe(ask) => {
            if let Ok(group) = GroupId::new(&ask.group) {
                node.watches.send(&group, Input::Subscribe(from.clone(), reply.clone()));
            }
        }
        _ => {}
    }
}
