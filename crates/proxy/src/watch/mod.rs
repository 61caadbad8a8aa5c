//! Following and watching the database groups.
//!
//! A few VMs watch each group: they ask its backend servers for their status
//! and order promotions, as [`chicoryhollow_core::watch`] decides. All other VMs
//! that use the group subscribe to the views of one of them.

mod convert;
mod group;
mod pace;
mod places;
mod pulse;
mod server;
mod subscribers;
mod subscription;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use chicoryhollow_core::{
    prelude::*,
    watch::{Event, WatcherPlace},
};
use chicoryhollow_peer::{Body, group as message};
use slog::o;
use tokio::time::{MissedTickBehavior, interval};

use self::{
    group::{GroupTask, Input},
    places::Places,
    subscription::Subscriptions,
};
use crate::{events, node::Node, peers::Reply};

/// Time between two looks at the watched and the followed groups.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two reports of one group's failing primary.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(100);

/// The groups that this VM watches and those that it follows.
#[derive(Debug, Default)]
pub struct Watches {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    watched: HashMap<GroupId, GroupTask>,
    subscriptions: Subscriptions,
    places: Places,
    suspected: HashMap<GroupId, Time>,
}

impl Watches {
    /// Makes the state of a daemon that watches nothing yet.
    pub fn new() -> Self {
        Watches::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }
}

/// Watches and follows groups for as long as the daemon runs.
pub async fn follow(node: Arc<Node>) {
    let mut configurations = node.configuration.subscribe();
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = sweeps.tick() => {}
            () = node.groups.wait_for_first_use() => {}
            // The daemon owns the sender.
            _ = configurations.changed() => {}
        }
        assign(&node);
        subscribe(&node);
    }
}

/// Starts and ends the watching of groups as the configuration and the VMs
/// change.
fn assign(node: &Arc<Node>) {
    let mut state = node.watches.lock();
    let versioned = node.configuration();
    if !state.places.refresh(&versioned, &node.members.vms()) {
        return;
    }
    let State { watched, places, .. } = &mut *state;
    watched.retain(|group, _| places.is_watcher(group, &node.settings.vm));
    let configuration = Arc::new(versioned.configuration.clone());
    for (group, places) in places.iter() {
        if !places.iter().any(|place| place.vm == node.settings.vm) {
            continue;
        }
        let task = watched.entry(group.clone()).or_insert_with(|| GroupTask::new(node, group));
        let input = Input::Configure(Arc::clone(&configuration), places.to_vec());
        if !task.send(input) {
            // A task that is overloaded starts again from its newest view.
            watched.remove(group);
        }
    }
    let intervals = pace::intervals(watched.len());
    for task in watched.values() {
        task.send(Input::Pace(intervals));
    }
    node.metrics.watched_groups.set(i64::try_from(watched.len()).unwrap_or(i64::MAX));
}

/// Subscribes to the groups in use that this VM does not watch.
fn subscribe(node: &Arc<Node>) {
    let now = node.clock.now();
    let used = node.groups.take_used();
    let due = {
        let mut state = node.watches.lock();
        let State { watched, subscriptions, places, .. } = &mut *state;
        for group in &used {
            subscriptions.used(group, now);
        }
        subscriptions.retain(now, |group| watched.contains_key(group));
        let chosen = |group: &GroupId| -> Vec<WatcherPlace> { places.of(group).to_vec() };
        subscriptions.due(now, chosen, &node.settings.data_centre)
    };
    for (group, vm) in due {
        let body = Body::Subscribe(message::Subscribe { group: group.to_string() });
        node.peers.send(node, &vm, body);
    }
}

/// Tells the watchers of `group` that requests to its primary fail.
///
/// They ask the primary at once instead of at the next heartbeat; the rules of
/// suspicion stay the same.
pub fn report_primary_failure(node: &Arc<Node>, group: &GroupId) {
    let now = node.clock.now();
    let term = node.groups.view(group).term;
    let places = {
        let mut state = node.watches.lock();
        let last = state.suspected.insert(group.clone(), now);
        if last.is_some_and(|last| now.since(last) < SUSPECT_INTERVAL) {
            state.suspected.extend(last.map(|last| (group.clone(), last)));
            return;
        }
        state.subscriptions.hurry(group);
        state.places.of(group).to_vec()
    };
    for place in places {
        let body = Body::Suspect(message::Suspect { group: group.to_string(), term: term.get() });
        if place.vm == node.settings.vm {
            suspected(node, group, term);
        } else {
            node.peers.send(node, &place.vm, body);
        }
    }
}

fn suspected(node: &Arc<Node>, group: &GroupId, term: Term) {
    if term >= node.groups.view(group).term {
        to_task(node, group, Input::Event(Event::Suspected));
    }
}

/// Receives a control message of another VM.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    match body {
        Body::Subscribe(ask) => {
            if let Ok(group) = GroupId::new(&ask.group) {
                to_task(node, &group, Input::Subscribe(from.clone(), reply.clone()));
            }
        }
        Body::View(view) => {
            if let Some(view) = convert::view_of(&view) {
                let now = node.clock.now();
                node.watches.lock().subscriptions.heard(&view.group, from, now);
                publish(node, view);
            }
        }
        Body::Observation(observation) => {
            if let Some(observation) = convert::observation_of(&observation) {
                let group = observation.view.group.clone();
                to_task(node, &group, Input::Event(Event::Observation(from.clone(), observation)));
            }
        }
        Body::Suspect(suspect) => {
            if let Ok(group) = GroupId::new(&suspect.group) {
                suspected(node, &group, Term::new(suspect.term));
            }
        }
        _ => {}
    }
}

fn to_task(node: &Arc<Node>, group: &GroupId, input: Input) {
    if let Some(task) = node.watches.lock().watched.get(group) {
        task.send(input);
    }
}

/// Makes a view known to this VM's entries and homes.
fn publish(node: &Node, view: GroupView) {
    let before = node.groups.peek(&view.group);
    let (group, term, primary) = (view.group.clone(), view.term, view.primary.clone());
    let moved = before.is_none_or(|known| known.primary != primary || known.term != term);
    if node.groups.publish(view) && moved {
        let primary = primary.map(|server| server.to_string()).unwrap_or_default();
        let fields = o!("group" => group.to_string(), "term" => term.get(), "primary" => primary);
        events::Event::PrimaryChanged.record(&node.log, fields);
    }
}
