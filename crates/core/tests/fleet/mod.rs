//! Holders and keepers of one account, connected by a simulated lossy network.

use std::{collections::VecDeque, time::Duration};

use chicoryhollow_core::{
    prelude::*,
    share::{Admission, Grant, Holder, Keeper, KeeperId, Ppm, Quota, SliceRequest},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(2);
const CENTRES: usize = 3;

enum Message {
    Request(usize, usize, KeeperId, SliceRequest),
    Grant(usize, usize, KeeperId, Grant),
}

/// A VM with its own clock and the requests that wait on it.
struct Vm {
    holder: Holder,
    incarnation: u64,
    offset: u64,
    drift: f64,
    paused_until: Time,
    waiting: VecDeque<Time>,
}

/// All VMs of an account. Data centre `i` has the VMs `i`, `i + 3`, `i + 6`, …
/// and the first of them that is up keeps its part.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) rng: StdRng,
    pub(crate) loss: f64,
    pub(crate) delay_ms: u64,
    /// Data centres without a connection to the others.
    pub(crate) cut: Vec<usize>,
    pub(crate) sent: u64,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    quota: Quota,
    vms: Vec<Option<Vm>>,
    keepers: Vec<(usize, KeeperId, Keeper)>,
    in_flight: Vec<(Time, Message)>,
    /// Checks that the admitted requests stay within rate and burst.
    limit: ReferenceBucket,
    /// A single bucket for all VMs. It shows how many requests such a bucket
    /// would have refused.
    ideal: ReferenceBucket,
    pub(crate) ideal_refused: u64,
}

/// A token bucket with the whole rate and burst of the account.
struct ReferenceBucket {
    tokens: f64,
    updated: Time,
}

impl ReferenceBucket {
    fn tokens(&mut self, quota: Quota, now: Time) -> f64 {
        let earned = now.since(self.updated).as_secs_f64() * quota.rate;
        self.updated = now;
        self.tokens = (self.tokens + earned).min(quota.burst);
        self.tokens
    }
}

impl Fleet {
    pub(crate) fn new(seed: u64, quota: Quota, count: usize) -> Self {
        let now = Time::from_millis(100_000);
        let mut fleet = Fleet {
            now,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            delay_ms: 2,
            cut: Vec::new(),
            sent: 0,
            admitted: 0,
            refused: 0,
            quota,
            vms: (0..count).map(|_| None).collect(),
            keepers: Vec::new(),
            in_flight: Vec::new(),
            limit: ReferenceBucket { tokens: quota.burst, updated: now },
            ideal: ReferenceBucket { tokens: quota.burst, updated: now },
            ideal_refused: 0,
        };
        for i in 0..count {
            fleet.start(i);
        }
        for centre in 0..CENTRES {
            let clock = fleet.clock(centre);
            let keeper = Keeper::new(quota, Ppm::new(1_000_000 / 3), clock);
            fleet.keepers.push((centre, fleet.keeper_id(centre), keeper));
        }
        fleet.announce();
        fleet
    }

    pub(crate) fn start(&mut self, i: usize) {
        let incarnation = self.rng.random();
        let offset = self.rng.random_range(0..1_000_000_000);
        let drift = self.rng.random_range(0.98..1.02);
        let now = clock(self.now, offset, drift);
        let holder = Holder::new(self.quota, centre(i), Incarnation::new(incarnation), now);
        let paused_until = self.now;
        let waiting = VecDeque::new();
        self.vms[i] = Some(Vm { holder, incarnation, offset, drift, paused_until, waiting });
        self.announce();
    }

    /// Kills a VM. If it kept a part, the part has no keeper until
    /// [`Fleet::take_over`], which stands for its removal from the platform's
    /// list.
    pub(crate) fn kill(&mut self, i: usize) {
        self.refused += self.vms[i].take().map_or(0, |vm| vm.waiting.len() as u64);
    }

    /// Lets the next running VM of the data centre take over the part that VM
    /// `i` kept.
    pub(crate) fn take_over(&mut self, i: usize) {
        let successor = (0..self.vms.len()).find(|j| j % CENTRES == i % CENTRES && self.is_up(*j));
        let kept =
            self.keepers.iter().position(|(vm, id, _)| *vm == i && !self.has_incarnation(i, id));
        if let (Some(j), Some(k)) = (successor, kept) {
            let now = self.clock(j);
            let up: Vec<VmId> = (0..self.vms.len()).filter(|v| self.is_up(*v)).map(vm_id).collect();
            let keeper = Keeper::with_takeover(self.quota, Ppm::new(1_000_000 / 3), up, now);
            self.keepers[k] = (j, self.keeper_id(j), keeper);
            self.announce();
        }
    }

    pub(crate) fn pause(&mut self, i: usize, span: Duration) {
        let until = self.now + span;
        if let Some(vm) = &mut self.vms[i] {
            vm.paused_until = until;
        }
    }

    pub(crate) fn is_up(&self, i: usize) -> bool {
        self.vms[i].is_some()
    }

    /// Sends `rate` requests per second, at random times, to VMs chosen by
    /// `place`.
    pub(crate) fn run(&mut self, span: Duration, rate: f64, place: impl Fn(&mut StdRng) -> usize) {
        let end = self.now + span;
        let chance = rate * STEP.as_secs_f64();
        while self.now < end {
            self.step();
            // Four draws per step approximate a Poisson process.
            for _ in 0..4 {
                if self.rng.random_bool((chance / 4.0).min(1.0)) {
                    let vm = place(&mut self.rng);
                    self.call(vm);
                }
            }
        }
    }

    fn call(&mut self, i: usize) {
        let now = self.now;
        let clock = self.clock(i);
        let Some(vm) = self.vms[i].as_mut().filter(|vm| vm.paused_until <= now) else {
            return;
        };
        self.sent += 1;
        if self.ideal.tokens(self.quota, now) >= 1.0 {
            self.ideal.tokens -= 1.0;
        } else {
            self.ideal_refused += 1;
        }
        match vm.holder.admit_new(vm.waiting.len(), clock) {
            Admission::Admitted => self.admit(),
            Admission::Wait(_) => vm.waiting.push_back(now),
            Admission::Refused => self.refused += 1,
        }
    }

    /// Counts an admission against a bucket with the whole rate and burst. The
    /// bucket has a token exactly if no window of time exceeds rate × time +
    /// burst.
    fn admit(&mut self) {
        self.admitted += 1;
        let tokens = self.limit.tokens(self.quota, self.now);
        assert!(tokens > 1.0 - 1e-3, "more than rate x time + burst was admitted");
        self.limit.tokens -= 1.0;
    }

    /// Returns the share of requests that were refused beyond the number that a
    /// single bucket for all VMs would have refused.
    pub(crate) fn wrongly_refused(&self) -> f64 {
        self.refused.saturating_sub(self.ideal_refused) as f64 / self.sent as f64
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
        for i in 0..self.vms.len() {
            if self.is_running(i) {
                self.serve(i);
            }
        }
    }

    fn serve(&mut self, i: usize) {
        let (now, clock) = (self.now, self.clock(i));
        let mut admitted = 0;
        let Some(vm) = self.vms[i].as_mut() else { return };
        while let Some(since) = vm.waiting.front().copied() {
            if vm.holder.admit(0, clock) == Admission::Admitted {
                admitted += 1;
            } else if now.since(since) >= Duration::from_millis(200) {
                self.refused += 1;
            } else {
                break;
            }
            vm.waiting.pop_front();
        }
        let requests = vm.holder.due_requests(clock);
        for _ in 0..admitted {
            self.admit();
        }
        for (_, keeper, request) in requests {
            if let Some(k) = self.keepers.iter().position(|(_, id, _)| *id == keeper) {
                self.send(Message::Request(i, k, keeper, request));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(from, k, id, request) => {
                let (host, present, _) = &self.keepers[k];
                let host = *host;
                if *present != id || !self.has_incarnation(host, &id) || !self.is_running(host) {
                    return;
                }
                let clock = self.clock(host);
                if let Some(grant) = self.keepers[k].2.lend(&vm_id(from), &request, clock) {
                    self.send(Message::Grant(k, from, id, grant));
                }
            }
            Message::Grant(k, to, id, grant) => {
                let clock = self.clock(to);
                if let Some(vm) = self.vms[to].as_mut() {
                    vm.holder.accept(&centre(k), &id, &grant, clock);
                }
            }
        }
    }

    fn send(&mut self, message: Message) {
        let (Message::Request(vm, keeper, ..) | Message::Grant(keeper, vm, ..)) = &message;
        let across = vm % CENTRES != keeper % CENTRES;
        let cut = self.cut.contains(&(vm % CENTRES)) || self.cut.contains(keeper);
        if (across && cut) || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
            return;
        }
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            let duplicate = match &message {
                Message::Request(v, k, id, request) => {
                    Message::Request(*v, *k, id.clone(), request.clone())
                }
                Message::Grant(k, v, id, grant) => Message::Grant(*k, *v, id.clone(), *grant),
            };
            let at = self.arrival();
            self.in_flight.push((at, duplicate));
        }
        let at = self.arrival();
        self.in_flight.push((at, message));
    }

    fn arrival(&mut self) -> Time {
        self.now + Duration::from_millis(self.rng.random_range(1..=self.delay_ms))
    }

    fn announce(&mut self) {
        let known: Vec<_> = self
            .keepers
            .iter()
            .enumerate()
            .map(|(k, (_, id, _))| (centre(k), id.clone()))
            .collect();
        for vm in self.vms.iter_mut().flatten() {
            vm.holder.set_keepers(known.clone());
        }
    }

    fn is_running(&self, i: usize) -> bool {
        self.vms[i].as_ref().is_some_and(|vm| vm.paused_until <= self.now)
    }

    fn has_incarnation(&self, i: usize, id: &KeeperId) -> bool {
        self.vms[i].as_ref().is_some_and(|vm| vm.incarnation == id.incarnation.get())
    }

    fn keeper_id(&self, i: usize) -> KeeperId {
        let number = self.vms[i].as_ref().map_or(0, |vm| vm.incarnation);
        KeeperId { vm: vm_id(i), incarnation: Incarnation::new(number) }
    }

    fn clock(&self, i: usize) -> Time {
        self.vms[i].as_ref().map_or(self.now, |vm| clock(self.now, vm.offset, vm.drift))
    }
}

/// Returns the time of a clock that runs at `drift` times the true speed.
fn clock(now: Time, offset: u64, drift: f64) -> Time {
    Time::from_micros(offset + (now.as_micros() as f64 * drift) as u64)
}

fn vm_id(i: usize) -> VmId {
    format!("vm{i}").parse().expect("a valid name")
}

fn centre(i: usize) -> DataCentreId {
    format!("dc{}", i % CENTRES).parse().expect("a valid name")
}
