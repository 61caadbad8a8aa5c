//! The task of one watched group.
//!
//! It runs the group's [`Watcher`]: it passes the answers of backend servers and
//! the messages of other VMs to the watcher and executes the actions that the
//! watcher returns.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chicoryhollow_config::configuration::{Configuration, Service};
use chicoryhollow_core::{
    prelude::*,
    watch::{Action, Event, GroupPlan, Intervals, Promotion, ServerPlan, Watcher, WatcherPlace},
};
use chicoryhollow_peer::Body;
use indexmap::IndexMap;
use slog::o;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use super::{convert, server::ServerTask, subscribers::Subscribers};
use crate::{events, node::Node, peers::Reply};

/// Time between two ticks of the watcher.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two ticks of the watcher during a promotion.
const PROMOTION_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of inputs, and of answers of servers, that wait for one group.
const MAX_QUEUED_EVENTS: usize = 256;

/// An input of a group's task from the rest of the daemon.
#[derive(Debug)]
pub(super) enum Input {
    /// The configuration or the VMs that watch the group changed.
    Configure(Arc<Configuration>, Vec<WatcherPlace>),
    /// The number of groups that this VM watches changed, and with it the
    /// intervals.
    SetIntervals(Intervals),
    /// An event for the watcher.
    Event(Event),
    /// A VM subscribes to the views of the group.
    Subscribe(VmId, Reply),
}

/// Handle of the task of one watched group. The task ends when the handle is
/// dropped.
#[derive(Debug)]
pub(super) struct GroupTask {
    inputs: mpsc::Sender<Input>,
}

impl GroupTask {
    /// Starts to watch `group`.
    pub(super) fn new(node: &Arc<Node>, group: &GroupId) -> Self {
        let (task, queue) = GroupTask::with_queue(MAX_QUEUED_EVENTS);
        tokio::spawn(Worker::new(node, group).run(queue));
        task
    }

    /// Creates the handle of a task that reads its inputs from the returned queue, which
    /// holds up to `inputs` of them.
    pub(super) fn with_queue(inputs: usize) -> (Self, mpsc::Receiver<Input>) {
        let (inputs, queue) = mpsc::channel(inputs);
        (GroupTask { inputs }, queue)
    }

    /// Queues an input. Returns false if the queue is full and the input was
    /// dropped; its sender repeats it.
    pub(super) fn send(&self, input: Input) -> bool {
        self.inputs.try_send(input).is_ok()
    }
}

struct Worker {
    node: Arc<Node>,
    group: GroupId,
    watcher: Watcher,
    places: Vec<WatcherPlace>,
    servers: HashMap<ServerId, ServerTask>,
    subscribers: Subscribers,
    events: mpsc::Sender<Event>,
    answers: mpsc::Receiver<Event>,
    suspecting: bool,
    promotion: Option<Promotion>,
}

impl Worker {
    fn new(node: &Arc<Node>, group: &GroupId) -> Self {
        let (events, answers) = mpsc::channel(MAX_QUEUED_EVENTS);
        let now = node.clock.now();
        let vm = node.settings.vm.clone();
        let watcher = Watcher::new(group.clone(), vm, node.incarnation, now)
            .with_view(&node.groups.view(group), now);
        Worker {
            node: Arc::clone(node),
            group: group.clone(),
            watcher,
            places: Vec::new(),
            servers: HashMap::new(),
            subscribers: Subscribers::new(),
            events,
            answers,
            suspecting: false,
            promotion: None,
        }
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut due = Instant::now();
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                Some(event) = self.answers.recv() => self.handle(event),
                () = sleep_until(due) => {
                    self.handle(Event::Tick);
                    self.subscribers.remove_expired(self.node.clock.now());
                    let is_promoting = self.watcher.promotion().is_some();
                    due = Instant::now() + if is_promoting { PROMOTION_TICK_INTERVAL } else { TICK_INTERVAL };
                }
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Configure(configuration, places) => self.configure(&configuration, places),
            Input::SetIntervals(intervals) => self.watcher.set_intervals(intervals),
            Input::Event(event) => self.handle(event),
            Input::Subscribe(vm, reply) => {
                let view = self.watcher.view();
                self.subscribers.add(vm, reply, view, self.node.clock.now());
            }
        }
    }

    /// Applies the configured servers. Servers that were removed keep their tasks,
    /// because they stay members until the member list of the group has changed.
    fn configure(&mut self, configuration: &Configuration, places: Vec<WatcherPlace>) {
        let Some(found) = configuration.groups.get(&self.group) else { return };
        for (name, server) in &found.servers {
            let known = self.servers.get(name).map(ServerTask::address);
            if known != Some(server.address) {
                let task = ServerTask::new(&self.node, server.address, self.events.clone());
                self.servers.insert(name.clone(), task);
            }
        }
        self.places.clone_from(&places);
        self.watcher.configure(plan(configuration, &self.group), places);
        self.handle(Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        let now = self.node.clock.now();
        let actions = self.watcher.handle(now, event, &mut rand::rng());
        self.record_changes(now);
        for action in actions {
            self.execute(action, now);
        }
    }

    fn execute(&mut self, action: Action, now: Time) {
        match action {
            Action::Publish(view) => {
                self.subscribers.publish(&view, now);
                super::publish(&self.node, view);
            }
            Action::SendObservation(observation) => {
                let message = convert::encode_observation(&observation);
                for place in self.places.iter().filter(|p| p.vm != self.node.settings.vm) {
                    let body = Body::Observation(message.clone());
                    self.node.peers.send(&self.node, &place.vm, body);
                }
            }
            Action::Poll(ref server)
            | Action::Quiesce { ref server, .. }
            | Action::Fence { ref server, .. }
            | Action::Promote { ref server, .. }
            | Action::SetMembers { ref server, .. } => {
                if let Some(task) = self.servers.get(server) {
                    task.send(action);
                }
            }
        }
    }

    /// Logs and counts changes in the state of the watcher.
    fn record_changes(&mut self, now: Time) {
        let suspecting = self.watcher.is_suspecting(now);
        if suspecting && !self.suspecting {
            let view = self.watcher.view();
            let primary = view.primary.as_ref().map(ToString::to_string).unwrap_or_default();
            self.record(events::Event::PrimarySuspected, view.term, primary);
        }
        self.suspecting = suspecting;
        let promotion = self.watcher.promotion();
        if promotion == self.promotion {
            return;
        }
        if let Some(ended) = self.promotion {
            self.record_end(ended);
        }
        if let Some(started) = promotion {
            self.record(events::Event::PromotionStarted, started.term, kind(started).to_owned());
        }
        self.promotion = promotion;
    }

    fn record_end(&self, ended: Promotion) {
        if self.watcher.view().term == ended.term {
            self.node.metrics.promotions.with_label_values(&[kind(ended)]).inc();
            self.record(events::Event::PromotionCompleted, ended.term, kind(ended).to_owned());
        } else {
            self.record(events::Event::PromotionAbandoned, ended.term, kind(ended).to_owned());
        }
    }

    fn record(&self, event: events::Event, term: Term, detail: String) {
        let group = self.group.to_string();
        event
            .record(&self.node.log, o!("group" => group, "term" => term.get(), "detail" => detail));
    }
}

fn kind(promotion: Promotion) -> &'static str {
    if promotion.planned { "planned" } else { "failover" }
}

/// Returns the configuration of `group` as the watcher uses it.
fn plan(configuration: &Configuration, group: &GroupId) -> GroupPlan {
    let mut servers = IndexMap::new();
    let found = configuration.groups.get(group).map(|group| &group.servers);
    for (name, server) in found.into_iter().flatten() {
        let leaving = server.service == Service::Out;
        let serving = !leaving && configuration.is_in_service(&server.data_centre);
        let data_centre = server.data_centre.clone();
        servers.insert(name.clone(), ServerPlan { data_centre, leaving, serving });
    }
    GroupPlan { servers }
}
