//! Watching of database groups, and subscriptions to the views of groups that other VMs
//! watch.
//!
//! A few VMs watch each group. They poll its backend servers for their status and
//! promote another server if the primary fails; the decisions are made by
//! [`chicoryhollow_core::watch`]. All other VMs that use the group subscribe to the
//! views of one of its watchers.

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

/// Time between two checks of the watched groups and of the subscriptions.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two reports that the primary of one group fails.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The groups that this VM watches, and its subscriptions to other groups.
#[derive(Debug, Default)]
pub struct Watches {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    watched: HashMap<GroupId, GroupTask>,
    subscriptions: Subscriptions,
    places: Places,
    reported: HashMap<GroupId, Time>,
}

impl Watches {
    /// Creates the state of a daemon that watches no group yet.
    pub fn new() -> Self {
        Watches::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }
}

/// Watches groups and renews subscriptions until the daemon ends.
pub async fn follow(node: Arc<Node>) {
    let mut configurations = node.configuration.subscribe();
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = sweeps.tick() => {}
            () = node.groups.wait_for_first_use() => {}
            // This does not fail, because the daemon owns the sender.
            _ = configurations.changed() => {}
        }
        update_watched(&node);
        renew_subscriptions(&node);
    }
}

/// Starts and ends the tasks of watched groups after a change of the configuration
/// or the list of VMs.
fn update_watched(node: &Arc<Node>) {
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
        let input = || Input::Configure(Arc::clone(&configuration), places.to_vec());
        configure(watched, group, input, || GroupTask::new(node, group));
    }
    let intervals = pace::intervals(watched.len());
    for task in watched.values() {
        task.send(Input::SetIntervals(intervals));
    }
    node.metrics.watched_groups.set(i64::try_from(watched.len()).unwrap_or(i64::MAX));
}

/// Configures the task of `group`, which is started if there is none.
///
/// A task whose queue is full is ended. Its replacement starts with the newest view.
fn configure(
    watched: &mut HashMap<GroupId, GroupTask>,
    group: &GroupId,
    input: impl Fn() -> Input,
    start: impl Fn() -> GroupTask,
) {
    let task = watched.entry(group.clone()).or_insert_with(&start);
    if !task.send(input()) {
        *task = start();
        task.send(input());
    }
}

/// Renews the subscriptions to groups that are in use and that this VM does not
/// watch.
fn renew_subscriptions(node: &Arc<Node>) {
    let now = node.clock.now();
    let used = node.groups.take_used();
    let due = {
        let mut state = node.watches.lock();
        let State { watched, subscriptions, places, .. } = &mut *state;
        for group in &used {
            subscriptions.record_use(group, now);
        }
        subscriptions.retain(now, |group| watched.contains_key(group));
        let watchers = |group: &GroupId| -> Vec<WatcherPlace> { places.of(group).to_vec() };
        subscriptions.due_renewals(now, watchers, &node.settings.data_centre)
    };
    for (group, vm) in due {
        let body = Body::Subscribe(message::Subscribe { group: group.to_string() });
        node.peers.send(node, &vm, body);
    }
}

/// Reports to the watchers of `group` that requests to its primary fail.
///
/// The watchers then poll the primary immediately instead of at the next interval.
/// The rules by which they suspect it stay the same.
pub fn report_primary_failure(node: &Arc<Node>, group: &GroupId) {
    let now = node.clock.now();
    let term = node.groups.view(group).term;
    let places = {
        let mut state = node.watches.lock();
        let last = state.reported.insert(group.clone(), now);
        if last.is_some_and(|last| now.since(last) < MIN_REPORT_INTERVAL) {
            state.reported.extend(last.map(|last| (group.clone(), last)));
            return;
        }
        state.subscriptions.renew_now(group);
        state.places.of(group).to_vec()
    };
    for place in places {
        let body = Body::Suspect(message::Suspect { group: group.to_string(), term: term.get() });
        if place.vm == node.settings.vm {
            handle_suspicion(node, group, term);
        } else {
            node.peers.send(node, &place.vm, body);
        }
    }
}

fn handle_suspicion(node: &Arc<Node>, group: &GroupId, term: Term) {
    if term >= node.groups.view(group).term {
        send_to_task(node, group, Input::Event(Event::Suspected));
    }
}

/// Handles a control message of another VM.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    match body {
        Body::Subscribe(request) => {
            if let Ok(group) = GroupId::new(&request.group) {
                send_to_task(node, &group, Input::Subscribe(from.clone(), reply.clone()));
            }
        }
        Body::View(view) => {
            if let Some(view) = convert::decode_view(&view) {
                let now = node.clock.now();
                node.watches.lock().subscriptions.record_view(&view.group, from, now);
                publish(node, view);
            }
        }
        Body::Observation(observation) => {
            if let Some(observation) = convert::decode_observation(&observation) {
                let group = observation.view.group.clone();
                send_to_task(
                    node,
                    &group,
                    Input::Event(Event::Observation(from.clone(), observation)),
                );
            }
        }
        Body::Suspect(suspect) => {
            if let Ok(group) = GroupId::new(&suspect.group) {
                handle_suspicion(node, &group, Term::new(suspect.term));
            }
        }
        _ => {}
    }
}

fn send_to_task(node: &Arc<Node>, group: &GroupId, input: Input) {
    if let Some(task) = node.watches.lock().watched.get(group) {
        task.send(input);
    }
}

/// Publishes a view to the rest of this daemon, and logs a change of the primary.
fn publish(node: &Node, view: GroupView) {
    let before = node.groups.peek(&view.group);
    let (group, term, primary) = (view.group.clone(), view.term, view.primary.clone());
    let is_changed = before.is_none_or(|known| known.primary != primary || known.term != term);
    if node.groups.publish(view) && is_changed {
        let primary = primary.map(|server| server.to_string()).unwrap_or_default();
        let fields = o!("group" => group.to_string(), "term" => term.get(), "primary" => primary);
        events::Event::PrimaryChanged.record(&node.log, fields);
    }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;

    use super::*;

    #[test]
    fn a_task_with_a_full_queue_is_replaced_at_once() {
        let group: GroupId = "orders".parse().expect("a valid name");
        let queues = RefCell::new(Vec::new());
        let start = || {
            let (task, queue) = GroupTask::with_queue(1);
            queues.borrow_mut().push(queue);
            task
        };
        let input = || Input::Configure(Arc::default(), Vec::new());
        let mut watched = HashMap::new();
        configure(&mut watched, &group, input, start);
        assert_eq!(queues.borrow().len(), 1);
        // The first input was not read, so the queue is full.
        configure(&mut watched, &group, input, start);
        assert!(watched.contains_key(&group));
        let mut queues = queues.into_inner();
        assert_eq!(queues.len(), 2, "the task was replaced");
        assert!(matches!(queues[1].try_recv(), Ok(Input::Configure(..))));
    }
}
