//! Backend servers and watchers connected by a lossy network, in simulated
//! time.

mod server;

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    watch::{Action, Event, GroupPlan, Observation, ServerPlan, Watcher, WatcherPlace},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::server::{Ack, Server, Shipment};

const STEP: Duration = Duration::from_millis(5);

enum Message {
    Command(usize, usize, Action),
    Answer(usize, usize, Event),
    Observation(usize, usize, Observation),
    Ship(usize, usize, Shipment),
    Ack(usize, usize, Ack),
}

impl Message {
    /// Returns the sending and the receiving node. Watchers are numbered after
    /// servers.
    fn path(&self, servers: usize) -> (usize, usize) {
        match self {
            Message::Command(w, s, _) => (servers + w, *s),
            Message::Answer(s, w, _) => (*s, servers + w),
            Message::Observation(from, to, _) => (servers + from, servers + to),
            Message::Ship(from, to, _) | Message::Ack(from, to, _) => (*from, *to),
        }
    }
}

/// One group of servers, its watchers and a client that writes continuously.
pub(crate) struct Model {
    pub(crate) now: Time,
    pub(crate) rng: StdRng,
    pub(crate) loss: f64,
    pub(crate) delay_ms: u64,
    pub(crate) servers: Vec<Server>,
    pub(crate) watchers: Vec<Watcher>,
    /// Pairs of nodes. Messages from the first to the second are lost.
    pub(crate) cut: Vec<(usize, usize)>,
    /// Nodes that do not run.
    pub(crate) down: Vec<usize>,
    pub(crate) plan: GroupPlan,
    pub(crate) promotions: Vec<ServerId>,
    /// Every acknowledged write, in log order.
    pub(crate) acknowledged: Vec<u64>,
    pub(crate) last_acknowledged: Time,
    pub(crate) longest_gap: Duration,
    in_flight: Vec<(Time, Message)>,
    writes: u64,
}

impl Model {
    /// Places server and watcher number `i` in data centre `server_dc[i]` and
    /// `watcher_dc[i]`.
    pub(crate) fn new(seed: u64, server_dc: &[usize], watcher_dc: &[usize]) -> Self {
        let names = || (0..server_dc.len()).map(|i| name(format!("s{i}")));
        let plan =
            |dc: &usize| ServerPlan { data_centre: centre(*dc), leaving: false, serving: true };
        let plan = GroupPlan::new(names().zip(server_dc.iter().map(plan)));
        let now = Time::from_millis(1_000);
        let watcher =
            |i: usize| Watcher::new(name("orders"), vm(i), Incarnation::new(i as u64), now);
        let mut model = Model {
            now,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            delay_ms: 3,
            servers: names().map(Server::new).collect(),
            watchers: (0..watcher_dc.len()).map(watcher).collect(),
            cut: Vec::new(),
            down: Vec::new(),
            plan: plan.clone(),
            promotions: Vec::new(),
            acknowledged: Vec::new(),
            last_acknowledged: now,
            longest_gap: Duration::ZERO,
            in_flight: Vec::new(),
            writes: 0,
        };
        let places = |order: &[usize]| -> Vec<WatcherPlace> {
            let place =
                |i: &usize| WatcherPlace { vm: vm(*i), data_centre: centre(watcher_dc[*i]) };
            order.iter().map(place).collect()
        };
        let order: Vec<usize> = (0..watcher_dc.len()).collect();
        for watcher in &mut model.watchers {
            watcher.configure(plan.clone(), places(&order));
        }
        model
    }

    pub(crate) fn configure(&mut self, change: impl Fn(&mut GroupPlan), watcher_dc: &[usize]) {
        change(&mut self.plan);
        let place = |(i, dc): (usize, &usize)| WatcherPlace { vm: vm(i), data_centre: centre(*dc) };
        let places: Vec<WatcherPlace> = watcher_dc.iter().enumerate().map(place).collect();
        for watcher in &mut self.watchers {
            watcher.configure(self.plan.clone(), places.clone());
        }
    }

    pub(crate) fn primary(&self) -> usize {
        let open = |s: &(usize, &Server)| s.1.is_open() && !self.down.contains(&s.0);
        let found = self.servers.iter().enumerate().filter(open);
        found.max_by_key(|(_, s)| s.term).expect("the group has a primary").0
    }

    /// Cuts all traffic between two nodes.
    pub(crate) fn cut_both(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
    }

    /// Reports to all watchers that requests to the primary fail.
    pub(crate) fn report(&mut self) {
        for i in 0..self.watchers.len() {
            self.handle(i, Event::Suspected);
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= self.now);
        self.in_flight = later;
        for (_, message) in due {
            self.deliver(message);
        }
        for i in 0..self.servers.len() {
            if !self.down.contains(&i) && self.now.as_micros().is_multiple_of(10_000) {
                self.write(i);
                self.ship(i);
            }
        }
        for i in 0..self.watchers.len() {
            self.handle(i, Event::Tick);
        }
        self.longest_gap = self.longest_gap.max(self.now.since(self.last_acknowledged));
    }

    fn send(&mut self, message: Message) {
        let (from, to) = message.path(self.servers.len());
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if lost || self.cut.contains(&(from, to)) || self.down.contains(&from) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..=self.delay_ms));
        self.in_flight.push((self.now + delay, message));
    }

    fn deliver(&mut self, message: Message) {
        let (_, to) = message.path(self.servers.len());
        if self.down.contains(&to) {
            return;
        }
        match message {
            Message::Command(w, s, action) => {
                if let Some(event) = self.servers[s].execute(action, self.now) {
                    self.send(Message::Answer(s, w, event));
                }
            }
            Message::Answer(_, w, event) => self.handle(w, event),
            Message::Observation(from, to, seen) => {
                self.handle(to, Event::Observation(vm(from), seen))
            }
            Message::Ship(from, to, shipment) => {
                if let Some(ack) = self.servers[to].receive(shipment) {
                    self.send(Message::Ack(to, from, ack));
                }
            }
            Message::Ack(from, to, ack) => {
                let server = self.servers[from].name.clone();
                let held = self.servers[to].count(server, ack, self.now);
                self.acknowledge(to, held);
            }
        }
    }

    fn handle(&mut self, i: usize, event: Event) {
        if self.down.contains(&(self.servers.len() + i)) {
            return;
        }
        for action in self.watchers[i].handle(self.now, event, &mut self.rng) {
            self.carry_out(i, action);
        }
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        let target = match &action {
            Action::Publish(_) => return,
            Action::SendObservation(seen) => {
                for to in (0..self.watchers.len()).filter(|to| *to != i) {
                    self.send(Message::Observation(i, to, seen.clone()));
                }
                return;
            }
            Action::Promote { server, .. } => {
                self.promotions.push(server.clone());
                server
            }
            Action::Poll(server)
            | Action::Quiesce { server, .. }
            | Action::Fence { server, .. }
            | Action::SetMembers { server, .. } => server,
        };
        if let Some(s) = self.servers.iter().position(|s| s.name == *target) {
            self.send(Message::Command(i, s, action));
        }
    }

    fn write(&mut self, i: usize) {
        if self.servers[i].takes_writes(self.now) {
            self.writes += 1;
            self.servers[i].log.push(self.writes);
        }
    }

    fn ship(&mut self, i: usize) {
        for to in self.servers[i].followers() {
            let to = self.servers.iter().position(|s| s.name == to);
            if let (Some(to), Some(shipment)) = (to, self.servers[i].shipment()) {
                self.send(Message::Ship(i, to, shipment));
            }
        }
    }

    /// Acknowledges the first `held` writes of primary `i` and checks that they
    /// contain all writes that were acknowledged before.
    fn acknowledge(&mut self, i: usize, held: usize) {
        let log = &self.servers[i].log[..held];
        let common = held.min(self.acknowledged.len());
        assert_eq!(log[..common], self.acknowledged[..common], "an acknowledged write was lost");
        if held > self.acknowledged.len() {
            self.acknowledged = log.to_vec();
            self.last_acknowledged = self.now;
        }
    }
}

pub(crate) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid name")
}

pub(crate) fn vm(i: usize) -> VmId {
    name(format!("vm{i}"))
}

pub(crate) fn centre(i: usize) -> DataCentreId {
    name(format!("dc{i}"))
}
