//! A model of backend servers, their homes and callers that retry.
//!
//! The homes use the decision types of the crate.

mod home;
mod report;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, Time, admission::Request, home::connection_limit, waiting::Priority,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub(crate) use self::report::Report;
use self::{
    home::{Entry, Home},
    report::Operation,
};

/// Servers of a group; the first one is the primary.
const REPLICATION: usize = 3;
const HOMES: usize = 2;
const SLOTS: usize = 4;
const QUEUE: usize = 32;
const ACCOUNTS: usize = 74;
const ZIPF: f64 = 1.2;
const CONNECT_US: u64 = 12_000;
const RETRY_PAUSE_US: u64 = 15_000;
const RETRIES: u32 = 2;
/// Mean work of an operation, from the shares and works of the classes.
const MEAN_WORK_US: f64 = 18_000.0;

/// A class of operations; times are in microseconds.
struct Class {
    work: u64,
    objective: u64,
    timeout: u64,
    deadline: u64,
}

const CLASSES: [Class; 3] = [
    Class { work: 6_000, objective: 150_000, timeout: 800_000, deadline: 2_500_000 },
    Class { work: 18_000, objective: 250_000, timeout: 800_000, deadline: 2_500_000 },
    Class { work: 30_000, objective: 1_000_000, timeout: 2_000_000, deadline: 8_000_000 },
];

/// The rules of a home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rules {
    /// [`WaitingList::next`]: priority and order of arrival.
    Arrival,
    /// [`WaitingList::next_preferring`]: accounts with an idle connection go first.
    Readiness,
    /// [`Scheduler`].
    Admission,
}

/// What is replayed.
pub(crate) struct Scenario {
    pub(crate) rules: Rules,
    pub(crate) groups: usize,
    /// Connections that each server accepts.
    pub(crate) connections: u32,
    /// Load as a multiple of the capacity of all servers, by the second.
    pub(crate) factor: Box<dyn Fn(f64) -> f64>,
    /// An account and the factor by which it exceeds its part.
    pub(crate) offender: Option<(usize, f64)>,
    /// The classes that have load.
    pub(crate) classes: std::ops::Range<usize>,
    /// Time that a message between a VM and a home takes, in microseconds.
    pub(crate) travel: u64,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

/// An event at an operation, with the number of its step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Start(usize),
    Retry(usize, u32),
    WaitEnds(usize, u32),
    TimesOut(usize, u32),
    Send(usize, u32),
    GiveBack(usize, u32),
    Done(usize, Job),
}

/// Work that takes a slot of a server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Job {
    operation: usize,
    step: u32,
    connects: bool,
    begun: u64,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<Job>,
}

struct World {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    rng: StdRng,
    scenario: Scenario,
    accounts: Vec<AccountId>,
    /// Sums of the parts of the accounts up to each.
    parts: Vec<f64>,
    servers: Vec<Server>,
    homes: Vec<Home>,
    report: Report,
}

/// Replays a load for some seconds.
pub(crate) fn replay(scenario: Scenario) -> Report {
    let seconds = scenario.seconds;
    let mut world = World::new(scenario);
    world.schedule(0, Event::Arrive);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        if event != Event::Arrive || at < (seconds * 1e6) as u64 {
            world.apply(event);
        }
    }
    world.report
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let limit = connection_limit(scenario.connections, HOMES);
        let servers = scenario.groups * REPLICATION;
        let weight = |account: usize| {
            let factor = scenario.offender.filter(|(offender, _)| *offender == account);
            ((account + 1) as f64).powf(-ZIPF) * factor.map_or(1.0, |(_, factor)| factor)
        };
        let parts = (0..ACCOUNTS).scan(0.0, |sum, account| {
            *sum += weight(account);
            Some(*sum)
        });
        let parts = parts.collect();
        let name = |account| AccountId::new(format!("account-{account}")).expect("a valid name");
        let homes = (0..servers * HOMES).map(|_| Home::new(scenario.rules, limit)).collect();
        World {
            now: 0,
            events: BinaryHeap::new(),
            number: 0,
            rng: StdRng::seed_from_u64(scenario.seed),
            parts,
            scenario,
            accounts: (0..ACCOUNTS).map(name).collect(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            homes,
            report: Report { operations: Vec::new(), opened: 0, rejected: 0 },
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + after, self.number, event)));
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn apply(&mut self, event: Event) {
        let is_current =
            |world: &World, index: usize, step| world.report.operations[index].step == step;
        match event {
            Event::Arrive => self.arrive(),
            Event::Start(index) => self.start(index),
            Event::Retry(index, step) if is_current(self, index, step) => {
                self.enter(index);
            }
            Event::WaitEnds(index, step) if is_current(self, index, step) => {
                let operation = &mut self.report.operations[index];
                if let Some(ticket) = operation.ticket.take() {
                    self.homes[operation.home].cancel(ticket);
                }
                self.fail(index);
            }
            Event::TimesOut(index, step) if is_current(self, index, step) => {
                // The connection is closed, while the server still runs the statement.
                self.homes[self.report.operations[index].home].open -= 1;
                self.release(index);
                self.fail(index);
            }
            Event::Send(index, step) if is_current(self, index, step) => self.send(index),
            Event::GiveBack(index, step) if is_current(self, index, step) => self.give_back(index),
            Event::Done(server, job) => self.finish(server, job),
            _ => {}
        }
    }

    /// Begins the operations of one caller and schedules the next ones.
    fn arrive(&mut self) {
        let capacity = self.servers.len() as f64 * SLOTS as f64 * 1e6 / MEAN_WORK_US;
        // The offender's excess comes on top of the load of all.
        let usual: f64 = (1..=ACCOUNTS).map(|rank| (rank as f64).powf(-ZIPF)).sum();
        let all = self.parts[ACCOUNTS - 1];
        let rate = capacity * (self.scenario.factor)(self.now as f64 / 1e6) * all / usual;
        let pause = -self.rng.random_range(1e-9..1.0_f64).ln() * 1e6 / rate;
        self.schedule(pause as u64 + 1, Event::Arrive);
        let part = self.rng.random_range(0.0..all);
        let account = self.parts.partition_point(|sum| *sum <= part);
        let kind = self.rng.random_range(0.0..1.0);
        let class = [0.15, 0.85, 1.0].partition_point(|sum| *sum <= kind);
        if !self.scenario.classes.contains(&class) {
            return;
        }
        let group = self.rng.random_range(0..self.scenario.groups);
        let operation = Operation {
            class,
            account,
            group,
            born: self.now,
            answered: None,
            tries: 0,
            step: 0,
            started: self.now,
            home: 0,
            ticket: None,
            grant: None,
        };
        self.report.operations.push(operation);
        self.schedule(0, Event::Start(self.report.operations.len() - 1));
    }

    /// Starts a try of an operation at a home of a server that may run it.
    fn start(&mut self, index: usize) {
        let operation = &self.report.operations[index];
        let replica = match operation.class {
            0 => 0,
            _ => self.rng.random_range(0..REPLICATION),
        };
        let server = operation.group * REPLICATION + replica;
        let operation = &mut self.report.operations[index];
        operation.home = server * HOMES + (operation.account + server) % HOMES;
        operation.started = self.now;
        operation.step += 1;
        let step = operation.step;
        self.schedule(0, Event::Retry(index, step));
    }

    /// Asks the home for a connection.
    fn enter(&mut self, index: usize) {
        let now = self.time();
        let operation = &mut self.report.operations[index];
        let objective = CLASSES[operation.class].objective;
        let left = (operation.started + objective).saturating_sub(self.now);
        let request = Request {
            account: &self.accounts[operation.account],
            priority: Priority::new(operation.class as u8),
            patience: Duration::from_micros(left),
        };
        let (home, step) = (operation.home, operation.step);
        match self.homes[home].arrive(request, now, index) {
            Entry::Admitted(grant) => {
                operation.grant = grant;
                self.connect(index);
            }
            Entry::Waiting(ticket) => {
                operation.ticket = Some(ticket);
                self.schedule(left, Event::WaitEnds(index, step));
                self.admit_next(home);
            }
            Entry::Refused => self.fail(index),
        }
    }

    fn admit_next(&mut self, home: usize) {
        let now = self.time();
        while let Some((index, grant)) = self.homes[home].next(now) {
            let operation = &mut self.report.operations[index];
            (operation.ticket, operation.grant) = (None, grant);
            operation.step += 1;
            self.connect(index);
        }
    }

    /// Takes an idle connection, or opens one.
    fn connect(&mut self, index: usize) {
        let operation = &mut self.report.operations[index];
        let account = &self.accounts[operation.account];
        let (home, step) = (operation.home, operation.step);
        if !self.homes[home].connect(account, &mut operation.grant) {
            return self.schedule(2 * self.scenario.travel, Event::Send(index, step));
        }
        self.report.opened += 1;
        self.run(home / HOMES, Job { operation: index, step, connects: true, begun: self.now });
    }

    fn send(&mut self, index: usize) {
        let operation = &mut self.report.operations[index];
        let class = &CLASSES[operation.class];
        let server = operation.home / HOMES;
        if self.servers[server].queue.len() >= QUEUE {
            self.report.rejected += 1;
            return self.retry_soon(index);
        }
        let job = Job { operation: index, step: operation.step, connects: false, begun: self.now };
        let left = (operation.started + class.timeout).saturating_sub(self.now);
        let event = Event::TimesOut(index, operation.step);
        self.schedule(left, event);
        self.run(server, job);
    }

    /// Tries again after a rejection by the server, while there is time.
    fn retry_soon(&mut self, index: usize) {
        self.give_back(index);
        let operation = &mut self.report.operations[index];
        let is_over = self.now - operation.started >= CLASSES[operation.class].objective;
        operation.step += 1;
        let event = Event::Retry(index, operation.step);
        if is_over {
            return self.fail(index);
        }
        self.schedule(RETRY_PAUSE_US, event);
    }

    fn run(&mut self, server: usize, job: Job) {
        if self.servers[server].running >= SLOTS {
            return self.servers[server].queue.push_back(job);
        }
        self.servers[server].running += 1;
        let mean = CLASSES[self.report.operations[job.operation].class].work as f64;
        let work =
            if job.connects { CONNECT_US } else { (mean * self.rng.random_range(0.5..1.5)) as u64 };
        self.schedule(work, Event::Done(server, job));
    }

    fn finish(&mut self, server: usize, job: Job) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.run(server, next);
        }
        let span = Duration::from_micros(self.now - job.begun);
        let operation = &mut self.report.operations[job.operation];
        if operation.step != job.step {
            return;
        }
        let (home, travel) = (operation.home, self.scenario.travel);
        if job.connects {
            self.homes[home].record_opening(&mut operation.grant, span);
            return self.schedule(2 * travel, Event::Send(job.operation, job.step));
        }
        if let Some(grant) = &mut operation.grant {
            grant.record_work(span);
        }
        operation.answered = Some(self.now + travel);
        operation.step += 1;
        let event = Event::GiveBack(job.operation, operation.step);
        self.schedule(2 * travel, event);
    }

    /// Returns a connection to its home.
    fn give_back(&mut self, index: usize) {
        let operation = &self.report.operations[index];
        let account = self.accounts[operation.account].clone();
        self.homes[operation.home].idle.push(account);
        self.release(index);
    }

    /// Gives up the use of a connection.
    fn release(&mut self, index: usize) {
        let now = self.time();
        let operation = &mut self.report.operations[index];
        let (home, grant) = (operation.home, operation.grant.take());
        self.homes[home].release(grant, now);
        self.admit_next(home);
    }

    /// Reports a failure to the caller, who tries again or gives up.
    fn fail(&mut self, index: usize) {
        let pause = self.rng.random_range(10_000..50_000);
        let operation = &mut self.report.operations[index];
        operation.step += 1;
        operation.tries += 1;
        let is_late = self.now + pause > operation.born + CLASSES[operation.class].deadline;
        if operation.tries <= RETRIES && !is_late {
            self.schedule(pause, Event::Start(index));
        }
    }
}
