//! A model of backend servers, their homes and callers that retry.
//!
//! The homes use the decision types of the crate. Networks have no delay.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, Time,
    admission::{self, Grant, Limits, Request, Scheduler, home_slots, least_useful},
    home::connection_limit,
    waiting::{self, Priority, WaitingList},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

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
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

/// An operation of a caller and what became of it.
#[derive(Debug)]
struct Operation {
    class: usize,
    account: usize,
    group: usize,
    born: u64,
    answered: Option<u64>,
    tries: u32,
    /// Number of the current step; events of earlier ones no longer apply.
    step: u32,
    started: u64,
    home: usize,
    ticket: Option<Ticket>,
    grant: Option<Grant>,
}

#[derive(Clone, Copy, Debug)]
enum Ticket {
    List(waiting::Ticket),
    Scheduler(admission::Ticket),
}

/// An event at an operation, with the number of its step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Start(usize),
    Retry(usize, u32),
    WaitEnds(usize, u32),
    TimesOut(usize, u32),
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

enum Queue {
    List(WaitingList<usize>),
    Scheduler(Box<Scheduler<usize>>),
}

struct Home {
    server: usize,
    queue: Queue,
    /// Accounts of the idle connections; the one that was idle longest comes first.
    idle: Vec<usize>,
    open: u32,
}

/// What became of the operations of a replay.
pub(crate) struct Report {
    operations: Vec<Operation>,
    opened: usize,
    rejected: usize,
}

impl Report {
    fn began(&self, from: f64, to: f64) -> impl Iterator<Item = &Operation> {
        let span = (from * 1e6) as u64..(to * 1e6) as u64;
        self.operations.iter().filter(move |operation| span.contains(&operation.born))
    }

    /// Returns the operations answered within their objective, per second.
    pub(crate) fn goodput(&self, from: f64, to: f64) -> f64 {
        self.began(from, to).filter(|one| one.is_in_time()).count() as f64 / (to - from)
    }

    /// Returns the share that was answered within its objective, of the operations of a class
    /// by an account that satisfies `is_counted`.
    pub(crate) fn share(
        &self,
        class: usize,
        from: f64,
        to: f64,
        is_counted: fn(usize) -> bool,
    ) -> f64 {
        let all = self.began(from, to).filter(|one| one.class == class && is_counted(one.account));
        let (all, in_time) = all.fold((0.0, 0.0), |(all, in_time), one| {
            (all + 1.0, in_time + f64::from(u8::from(one.is_in_time())))
        });
        in_time / f64::max(all, 1.0)
    }

    /// Returns the connections opened for each operation.
    pub(crate) fn opened_share(&self) -> f64 {
        self.opened as f64 / self.operations.len() as f64
    }

    /// Returns the rejections by servers for each operation.
    pub(crate) fn rejected_share(&self) -> f64 {
        self.rejected as f64 / self.operations.len() as f64
    }
}

impl Operation {
    fn is_in_time(&self) -> bool {
        let objective = CLASSES[self.class].objective;
        self.answered.is_some_and(|answered| answered - self.born <= objective)
    }
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
    limit: u32,
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
        let home = |index: usize| Home {
            server: index / HOMES,
            queue: match scenario.rules {
                Rules::Admission => Queue::Scheduler(Box::new(Scheduler::new(Limits {
                    connections: limit,
                    slots: home_slots(SLOTS as u32, HOMES),
                }))),
                _ => Queue::List(WaitingList::new(limit)),
            },
            idle: Vec::new(),
            open: 0,
        };
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
        let homes = (0..servers * HOMES).map(home).collect();
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
            limit,
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
                self.stop_waiting(index);
                self.fail(index);
            }
            Event::TimesOut(index, step) if is_current(self, index, step) => {
                // The connection is closed, while the server still runs the statement.
                self.homes[self.report.operations[index].home].open -= 1;
                self.release(index);
                self.fail(index);
            }
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
        let class = &CLASSES[operation.class];
        let waited = self.now - operation.started;
        let patience =
            Duration::from_micros(class.objective.min(class.timeout).saturating_sub(waited));
        let priority = Priority::new(operation.class as u8);
        let home = &mut self.homes[operation.home];
        let admitted = match &mut home.queue {
            Queue::List(list) => match list.arrive(priority, patience, now, || index) {
                waiting::Arrival::Admitted => Some(None),
                waiting::Arrival::Refused(_) => return self.fail(index),
                waiting::Arrival::Waiting(ticket) => {
                    operation.ticket = Some(Ticket::List(ticket));
                    None
                }
            },
            Queue::Scheduler(scheduler) => {
                let account = &self.accounts[operation.account];
                let request = Request { account, priority, patience };
                let idle = idle_counter(&self.accounts, &home.idle);
                match scheduler.arrive(request, now, idle, || index) {
                    admission::Arrival::Admitted(grant) => Some(Some(grant)),
                    admission::Arrival::Refused(_) => return self.fail(index),
                    admission::Arrival::Waiting(ticket) => {
                        operation.ticket = Some(Ticket::Scheduler(ticket));
                        None
                    }
                }
            }
        };
        match admitted {
            Some(grant) => {
                operation.grant = grant;
                self.connect(index);
            }
            None => {
                let (home, step) = (operation.home, operation.step);
                self.schedule(patience.as_micros() as u64, Event::WaitEnds(index, step));
                self.admit_next(home);
            }
        }
    }

    fn admit_next(&mut self, index: usize) {
        loop {
            let (now, home) = (self.time(), &mut self.homes[index]);
            let (operations, idle) = (&self.report.operations, &home.idle);
            let next = match &mut home.queue {
                Queue::List(list) if self.scenario.rules == Rules::Arrival => {
                    list.next(now).map(|one| (one, None))
                }
                Queue::List(list) => list
                    .next_preferring(now, |one| idle.contains(&operations[*one].account))
                    .map(|one| (one, None)),
                Queue::Scheduler(scheduler) => scheduler
                    .next(now, idle_counter(&self.accounts, idle))
                    .map(|(one, grant)| (one, Some(grant))),
            };
            let Some((one, grant)) = next else { return };
            let operation = &mut self.report.operations[one];
            (operation.ticket, operation.grant) = (None, grant);
            operation.step += 1;
            self.connect(one);
        }
    }

    /// Takes an idle connection, or opens one.
    fn connect(&mut self, index: usize) {
        let operation = &mut self.report.operations[index];
        let home = &mut self.homes[operation.home];
        if let (Queue::Scheduler(scheduler), Some(grant)) = (&mut home.queue, &mut operation.grant)
        {
            scheduler.settle(grant);
        }
        if let Some(found) = home.idle.iter().rposition(|account| *account == operation.account) {
            home.idle.remove(found);
            return self.send(index);
        }
        if home.open >= self.limit && !home.idle.is_empty() {
            let accounts = home.idle.iter().map(|account| &self.accounts[*account]);
            let closed = match home.queue {
                Queue::Scheduler(_) => least_useful(accounts).unwrap_or(0),
                Queue::List(_) => 0,
            };
            home.idle.remove(closed);
            home.open -= 1;
        }
        home.open += 1;
        self.report.opened += 1;
        let job = Job { operation: index, step: operation.step, connects: true, begun: self.now };
        let server = home.server;
        self.run(server, job);
    }

    fn send(&mut self, index: usize) {
        let operation = &mut self.report.operations[index];
        let class = &CLASSES[operation.class];
        let server = self.homes[operation.home].server;
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
        let operation = &mut self.report.operations[index];
        let (home, account) = (operation.home, operation.account);
        let is_over = self.now - operation.started >= CLASSES[operation.class].objective;
        operation.step += 1;
        let event = Event::Retry(index, operation.step);
        self.homes[home].idle.push(account);
        self.give_up(index);
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
        let home = &mut self.homes[operation.home];
        if let (Queue::Scheduler(scheduler), Some(grant)) = (&mut home.queue, &mut operation.grant)
        {
            if job.connects {
                scheduler.record_opening(grant, span);
            } else {
                grant.record_work(span);
            }
        }
        if job.connects {
            return self.send(job.operation);
        }
        home.idle.push(operation.account);
        operation.answered = Some(self.now);
        operation.step += 1;
        self.release(job.operation);
    }

    fn release(&mut self, index: usize) {
        let home = self.report.operations[index].home;
        self.give_up(index);
        self.admit_next(home);
    }

    /// Gives up the use of a connection.
    fn give_up(&mut self, index: usize) {
        let now = self.time();
        let operation = &mut self.report.operations[index];
        match (&mut self.homes[operation.home].queue, operation.grant.take()) {
            (Queue::List(list), _) => list.release(now),
            (Queue::Scheduler(scheduler), Some(grant)) => scheduler.release(grant, now),
            (Queue::Scheduler(_), None) => unreachable!("an admitted request has a grant"),
        }
    }

    fn stop_waiting(&mut self, index: usize) {
        let operation = &mut self.report.operations[index];
        match (&mut self.homes[operation.home].queue, operation.ticket.take()) {
            (Queue::List(list), Some(Ticket::List(ticket))) => list.cancel(ticket),
            (Queue::Scheduler(scheduler), Some(Ticket::Scheduler(ticket))) => {
                scheduler.cancel(ticket)
            }
            _ => {}
        }
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

fn idle_counter<'a>(
    accounts: &'a [AccountId],
    idle: &'a [usize],
) -> impl Fn(&AccountId) -> u32 + 'a {
    |name| idle.iter().filter(|account| accounts[**account] == *name).count() as u32
}
