//! A replay of reads on many VMs and the servers of one group, in several data centres.
//!
//! Each server runs a few statements at a time, first come first served, and each home opens
//! connections that run statements of one account. VMs decide on reports only.

mod choice;
mod figures;
mod machines;
mod scene;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, Time, VmId,
    home::rank_homes,
    load::{Counts, Loads, Meter, Outcome, ReportPacer, SentReport, Visit},
    placement::Affinity,
    route::Estimates,
    spill::Spill,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

pub(crate) use self::{
    figures::Figures,
    scene::{Leaving, Rule, Scene, Trouble},
};

use self::machines::{Home, Read, Server, Vm};

/// Statements that a server runs at a time.
const SLOTS: usize = 4;

/// Homes of a server.
const HOMES: usize = 2;

/// Connections that a home may open to a server.
const CONNECTIONS: usize = 47;

/// Mean work of a read, and of opening a connection, in microseconds.
const WORK_US: f64 = 18_000.0;
const CONNECT_US: u64 = 12_000;

/// Delay of a message within a data centre and between two, in microseconds.
const NEAR_US: u64 = 250;
const FAR_US: u64 = 5_000;

/// Reads that wait for a server; a home rejects those that would be late.
const MAX_QUEUE: usize = 40;

/// Counts as the response time of a rejected read.
const REJECTED_MS: u64 = 10_000;

/// Bytes of a report.
const REPORT_BYTES: usize = 40;

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive,
    /// A read arrives at the home of its server.
    Reach(usize),
    /// A server ends a read.
    End(usize),
    /// The answer arrives at the VM.
    Answer(usize),
}

/// A running replay.
pub(crate) struct World {
    scene: Scene,
    rng: SmallRng,
    now: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    reads: Vec<Read>,
    servers: Vec<Server>,
    vms: Vec<Vm>,
    accounts: Vec<AccountId>,
    /// Cumulated weights of the accounts.
    weights: Vec<f64>,
    figures: Figures,
}

fn name<T: std::str::FromStr>(text: String) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is a name"))
}

impl World {
    pub(crate) fn new(scene: Scene, seed: u64) -> Self {
        let mut servers = Vec::new();
        for (centre, count) in scene.servers.iter().enumerate() {
            for i in 0..*count {
                let homes = (0..HOMES).map(|home| Home {
                    name: name(format!("home-{centre}-{i}-{home}")),
                    meter: Meter::new(),
                    in_use: 0,
                    idle: VecDeque::new(),
                    pacer: ReportPacer::new(Time::default()),
                    sent: BTreeMap::new(),
                });
                servers.push(Server {
                    name: name(format!("db-{centre}-{i}")),
                    centre,
                    running: 0,
                    queue: VecDeque::new(),
                    homes: homes.collect(),
                });
            }
        }
        let vm = |i: usize| Vm {
            centre: i % scene.servers.len(),
            loads: Loads::new(),
            affinity: Affinity::new(),
            spill: Spill::new(),
            last: (0.0, false),
            estimates: Estimates::new(),
        };
        let mut total = 0.0;
        let weight = |i: usize| {
            total += 1.0 / ((i + 1) as f64).powf(1.2);
            total
        };
        World {
            vms: (0..scene.vms).map(vm).collect(),
            accounts: (0..scene.accounts).map(|i| name(format!("account-{i}"))).collect(),
            weights: (0..scene.accounts).map(weight).collect(),
            figures: Figures::new(servers.len(), &scene),
            servers,
            scene,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            steps: BinaryHeap::new(),
            number: 0,
            reads: Vec::new(),
        }
    }

    /// Plays the scene and returns the figures of its second half.
    pub(crate) fn play(mut self) -> Figures {
        self.push(0, Step::Arrive);
        let half = self.scene.seconds * 500_000;
        let mut halved = false;
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at >= half && !std::mem::replace(&mut halved, true) {
                self.figures = Figures::new(self.servers.len(), &self.scene);
            }
            if at >= half * 2 {
                break;
            }
            self.now = at;
            match step {
                Step::Arrive => self.arrive(),
                Step::Reach(read) => self.reach(read),
                Step::End(read) => self.end(read),
                Step::Answer(read) => self.answer(read),
            }
        }
        self.figures
    }

    fn push(&mut self, at: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()) as u64
    }

    fn delay(&self, vm: usize, server: usize) -> u64 {
        if self.vms[vm].centre == self.servers[server].centre { NEAR_US } else { FAR_US }
    }

    fn arrive(&mut self) {
        let pause = self.exponential(1_000_000.0 / self.scene.rate);
        self.push(self.now + pause, Step::Arrive);
        let vm = self.rng.random_range(0..self.vms.len());
        if self.rng.random::<f64>() >= self.demand(self.vms[vm].centre) {
            return;
        }
        let drawn = self.rng.random::<f64>() * self.weights[self.weights.len() - 1];
        let account = self.weights.partition_point(|weight| *weight < drawn);
        let server = self.choose(vm, account);
        let slow = self.scene.trouble == Trouble::Slow && self.servers[server].centre == 0;
        let work = self.exponential(if slow { 3.0 * WORK_US } else { WORK_US });
        let chosen = &self.servers[server];
        let homes: Vec<VmId> = chosen.homes.iter().map(|home| home.name.clone()).collect();
        let first = rank_homes(&homes, &chosen.name, &self.accounts[account]).swap_remove(0);
        let home = homes.iter().position(|home| *home == first).expect("a home");
        self.figures.across += u64::from(self.is_cut(self.vms[vm].centre, chosen.centre));
        self.figures.far += u64::from(self.delay(vm, server) == FAR_US);
        self.reads.push(Read { vm, account, server, home, asked: self.now, reached: 0, work });
        let at = self.now + self.delay(vm, server);
        self.push(at, Step::Reach(self.reads.len() - 1));
    }

    fn is_late(&self) -> bool {
        self.now >= self.scene.seconds * 500_000
    }

    /// Returns the demand of a data centre as a share of the greatest one.
    fn demand(&self, centre: usize) -> f64 {
        let angle = self.now as f64 / 1e6 / 20.0 * std::f64::consts::TAU;
        match (self.scene.trouble, centre) {
            (Trouble::Calm, _) => 1.0,
            (Trouble::Waves, 0) => 0.5 + 0.5 * angle.sin(),
            (Trouble::Waves, 1) => 0.5 - 0.5 * angle.sin(),
            (Trouble::TwoFull, 0 | 1) => 1.0,
            (Trouble::Partition | Trouble::Silence, 0) => 0.8,
            _ => 0.3,
        }
    }

    fn is_gone(&self, server: usize) -> bool {
        let half = self.scene.trouble == Trouble::HalfGone && self.is_late();
        half && self.servers[server].centre == 0 && server.is_multiple_of(2)
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let cut = self.scene.trouble == Trouble::Partition && self.is_late();
        cut && one != other && (one == 0 || other == 0)
    }

    fn reach(&mut self, number: usize) {
        let now = self.now;
        let read = &mut self.reads[number];
        let server = &mut self.servers[read.server];
        if server.queue.len() >= MAX_QUEUE {
            self.figures.times.push(REJECTED_MS);
            self.figures.by_centre[self.vms[read.vm].centre].push(REJECTED_MS);
            return;
        }
        let home = &mut server.homes[read.home];
        read.reached = now;
        home.in_use += 1;
        match home.idle.iter().rposition(|account| *account == read.account) {
            Some(found) => drop(home.idle.remove(found)),
            None => {
                if home.idle.len() + home.in_use > CONNECTIONS {
                    home.idle.pop_front();
                }
                read.work += CONNECT_US;
                self.figures.connects += 1;
            }
        }
        let counts = Counts { in_use: home.in_use as u32, waiting: 0 };
        home.meter.record_counts(counts, Time::from_micros(now));
        server.queue.push_back(number);
        self.start_next(self.reads[number].server);
    }

    fn start_next(&mut self, server: usize) {
        while self.servers[server].running < SLOTS {
            let Some(read) = self.servers[server].queue.pop_front() else { return };
            self.servers[server].running += 1;
            let at = self.now + self.reads[read].work;
            self.push(at, Step::End(read));
        }
    }

    fn end(&mut self, number: usize) {
        let read = &self.reads[number];
        let (server, now) = (read.server, Time::from_micros(self.now));
        let home = &mut self.servers[server].homes[read.home];
        home.in_use -= 1;
        home.idle.push_back(read.account);
        let took = Duration::from_micros(self.now - read.reached);
        home.meter.record_outcome(Outcome::Answered(took), now);
        self.servers[server].running -= 1;
        self.figures.work[server] += 1;
        let at = self.now + self.delay(self.reads[number].vm, server);
        self.push(at, Step::Answer(number));
        self.start_next(server);
    }

    /// The report is made when the answer arrives; it is older by the way back.
    fn answer(&mut self, number: usize) {
        let read = &self.reads[number];
        let now = Time::from_micros(self.now);
        let response = Duration::from_micros(self.now - read.asked);
        let network = Duration::from_micros(2 * self.delay(read.vm, read.server));
        let vm = &mut self.vms[read.vm];
        let server = &mut self.servers[read.server];
        let home = &mut server.homes[read.home];
        vm.estimates.record_answer(&server.name, Some(response));
        vm.loads.record_visit(&server.name, Visit { wait: Duration::ZERO, response }, now);
        let counts = Counts { in_use: home.in_use as u32, waiting: 0 };
        let report = home.meter.report(counts, now);
        let silent =
            self.scene.trouble == Trouble::Silence && self.now >= self.scene.seconds * 500_000;
        if !silent && home.pacer.try_send(home.sent.get(&read.vm), &report, REPORT_BYTES, now) {
            home.sent.insert(read.vm, SentReport::new(report.clone(), now));
            vm.loads.record_network(&server.name, network);
            vm.loads.record_report(&server.name, &home.name, report, now);
            self.figures.report_bytes += REPORT_BYTES as u64;
        }
        self.figures.answered += 1;
        self.figures.times.push(response.as_millis() as u64);
        self.figures.by_centre[vm.centre].push(response.as_millis() as u64);
    }
}
