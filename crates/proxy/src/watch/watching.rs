//! One watcher at work: events in, orders out.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use chicoryhollow_core::{
    prelude::*,
    watch::{Action, Event, GroupPlan, Observation, Watcher, WatcherPlace},
};
use chicoryhollow_peer::Body;
use indexmap::IndexMap;
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval},
};

use super::{convert, publish, server::Server};
use crate::{node::Node, peers::Reply};

/// Time between two ticks of a watcher.
const TICK: Duration = Duration::from_millis(10);

/// Time after which a subscription that was not repeated ends.
const SUBSCRIPTION: Duration = Duration::from_secs(5);

/// Time between two views to a subscriber when the primary stays.
const DETAILS: Duration = Duration::from_secs(1);

/// Messages that wait for one watcher.
const QUEUE_INPUTS: usize = 256;

/// What one watcher has to do with.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Assignment {
    /// Configured servers.
    pub(super) plan: GroupPlan,
    /// Their addresses.
    pub(super) addresses: IndexMap<ServerId, SocketAddr>,
    /// The watchers, best first.
    pub(super) places: Vec<WatcherPlace>,
}

/// What reaches a watching task from the rest of the daemon.
#[derive(Debug)]
pub(super) enum Input {
    /// The configuration or the list of VMs changed.
    Assign(Box<Assignment>),
    /// Another watcher told what it sees.
    Heard(VmId, Box<Observation>),
    /// Another VM wants the views.
    Subscribe(VmId, Reply),
}

/// Starts a watcher of `group`; it ends when the sender is dropped.
pub(super) fn start(node: &Arc<Node>, group: &GroupId) -> mpsc::Sender<Input> {
    let (inputs, queue) = mpsc::channel(QUEUE_INPUTS);
    let now = node.clock.now();
    let watcher = Watcher::new(group.clone(), node.settings.vm.clone(), node.incarnation, now)
        .with_view(&node.groups.view(group), now);
    let (events, answers) = mpsc::channel(QUEUE_INPUTS);
    let watching = Watching {
        node: Arc::clone(node),
        watcher,
        assignment: Assignment::default(),
        servers: HashMap::new(),
        events,
        subscribers: HashMap::new(),
    };
    tokio::spawn(watching.run(queue, answers));
    inputs
}

struct Subscriber {
    reply: Reply,
    asked: Instant,
    sent: Option<(Arc<GroupView>, Instant)>,
}

struct Watching {
    node: Arc<Node>,
    watcher: Watcher,
    assignment: Assignment,
    servers: HashMap<ServerId, Server>,
    events: mpsc::Sender<Event>,
    subscribers: HashMap<VmId, Subscriber>,
}

impl Watching {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut answers: mpsc::Receiver<Event>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                // The task holds a sender of its own, so the queue never ends.
                Some(event) = answers.recv() => event,
                _ = ticks.tick() => Event::Tick,
            };
            self.handle(event);
        }
    }

    fn take(&mut self, input: Input) -> Event {
        match input {
            Input::Assign(assignment) => self.assign(*assignment),
            Input::Heard(vm, observation) => return Event::Heard(vm, *observation),
            Input::Subscribe(vm, reply) => self.subscribe(vm, reply),
        }
        Event::Tick
    }

    fn assign(&mut self, assignment: Assignment) {
        self.watcher.configure(assignment.plan.clone(), assignment.places.clone());
        let addresses = &assignment.addresses;
        self.servers.retain(|name, server| {
            addresses.get(name).is_none_or(|address| *address == server.address())
        });
        for (name, address) in addresses {
            self.servers.entry(name.clone()).or_insert_with(|| {
                Server::start(&self.node, name.clone(), *address, self.events.clone())
            });
        }
        self.assignment = assignment;
    }

    fn subscribe(&mut self, vm: VmId, reply: Reply) {
        let asked = Instant::now();
        let known = self.subscribers.remove(&vm);
        let sent = known.filter(|known| known.reply.is_same(&reply)).and_then(|known| known.sent);
        self.subscribers.insert(vm, Subscriber { reply, asked, sent });
        self.inform();
    }

    fn handle(&mut self, event: Event) {
        let now = self.node.clock.now();
        for action in self.watcher.handle(now, event, &mut rand::rng()) {
            match action {
                Action::Publish(view) => self.publish(view),
                Action::Tell(observation) => self.tell(&observation),
                Action::Poll(ref server)
                | Action::Fence { ref server, .. }
                | Action::Promote { ref server, .. }
                | Action::SetMembers { ref server, .. } => {
                    if let Some(server) = self.servers.get(server) {
                        server.order(action);
                    }
                }
            }
        }
    }

    fn publish(&mut self, view: GroupView) {
        publish(&self.node, view);
        self.inform();
    }

    /// Sends the view to the subscribers that miss something of it.
    fn inform(&mut self) {
        let now = Instant::now();
        let view = self.node.groups.view(&self.watcher.view().group);
        self.subscribers.retain(|_, subscriber| {
            !subscriber.reply.is_closed() && now.duration_since(subscriber.asked) < SUBSCRIPTION
        });
        for subscriber in self.subscribers.values_mut() {
            let due = subscriber.sent.as_ref().is_none_or(|(sent, at)| {
                let moved = sent.term != view.term || sent.primary != view.primary;
                moved || (*sent != view && now.duration_since(*at) >= DETAILS)
            });
            if due && subscriber.reply.send(Body::View(convert::view_message(&view))) {
                subscriber.sent = Some((Arc::clone(&view), now));
            }
        }
    }

    fn tell(&self, observation: &Observation) {
        let message = convert::observation_message(observation);
        let own = &self.node.settings.vm;
        for place in self.assignment.places.iter().filter(|place| place.vm != *own) {
            // A watcher that cannot be reached is told again soon.
            self.node.peers.send(&self.node, &place.vm, Body::Observation(message.clone()));
        }
    }
}
