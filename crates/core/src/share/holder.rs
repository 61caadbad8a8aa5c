//! Admission of one account's requests on one VM.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, Incarnation},
    share::{
        bucket::{Bucket, Quota},
        demand::Demand,
        lease::{Grant, Lease, SliceRequest},
        record::KeeperId,
        slice::{Ppm, Slice},
    },
    time::Time,
};

/// Longest time for which a request waits for a token.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(200);
/// Time between two requests to the keeper while callers are active.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two requests when tokens run low.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Least time between two requests that only give tokens back.
const RETURN_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between two requests to another data centre.
const REMOTE_INTERVAL: Duration = Duration::from_millis(20);
/// Time without callers after which leases run out unrenewed.
const IDLE: Duration = Duration::from_millis(15_000);
/// Part of the held rate that counts as covering demand; the rest is slack.
const LOCAL_ENOUGH: f64 = 0.95;
/// Unused room in tokens that is worth a message to its keeper, whose pool
/// cannot fill without it.
const SPARE_ROOM: f64 = 1.0;
/// Part of the usual room that is kept when tokens are given back.
const KEPT: f64 = 0.5;
/// Part of the usual room above which tokens are given back.
const AMPLE: f64 = 0.75;
/// Time for which tokens are wanted ahead of need, in seconds.
const AHEAD_SECONDS: f64 = 0.05;
/// Requests that may wait for tokens of a keeper, however small the burst.
const FIRST_WAITERS: f64 = 16.0;
/// Requests that may wait for the first slice, however large the burst.
const MOST_FIRST_WAITERS: f64 = 1_024.0;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It runs.
    Admitted,
    /// It waits about this long and asks again.
    Wait(Duration),
    /// The account is above its rate here.
    Refused,
}

/// Why a keeper should be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Urge {
    None,
    Renew,
    Return,
    Tokens,
}

/// Admits one account's requests on one VM.
#[derive(Debug)]
pub struct Holder {
    home: DataCentreId,
    incarnation: Incarnation,
    bucket: Bucket,
    demand: Demand,
    leases: IndexMap<DataCentreId, Lease>,
    used: Option<Time>,
    short: Option<Time>,
    waiting: usize,
}

impl Holder {
    /// Makes the holder of one run of the daemon in data centre `home`; it
    /// starts with nothing.
    pub fn new(quota: Quota, home: DataCentreId, incarnation: Incarnation, now: Time) -> Self {
        Holder {
            home,
            incarnation,
            bucket: Bucket::new(quota, now),
            demand: Demand::new(now),
            leases: IndexMap::new(),
            used: None,
            short: None,
            waiting: 0,
        }
    }

    /// Replaces the quota of the account.
    pub fn set_quota(&mut self, quota: Quota) {
        self.bucket.set_quota(quota);
    }

    /// Says which VM keeps the part of each data centre.
    pub fn set_keepers(&mut self, keepers: impl IntoIterator<Item = (DataCentreId, KeeperId)>) {
        for (data_centre, keeper) in keepers {
            let lease =
                self.leases.entry(data_centre).or_insert_with(|| Lease::new(keeper.clone()));
            lease.turn_to(keeper);
        }
    }

    /// Tells whether a keeper is known.
    pub fn has_keeper(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Counts a request and decides on it; `ahead` requests already wait.
    pub fn admit_new(&mut self, ahead: usize, now: Time) -> Admission {
        self.demand.count(now);
        self.used = Some(now);
        self.admit(ahead, now)
    }

    /// Decides on a request that was counted before; `ahead` requests wait
    /// before it.
    pub fn admit(&mut self, ahead: usize, now: Time) -> Admission {
        let held = self.settle(now);
        if ahead == 0 && self.bucket.take() {
            self.waiting = self.waiting.saturating_sub(1);
            return Admission::Admitted;
        }
        self.short = Some(now);
        self.waiting = ahead + 1;
        let needed = ahead as f64 + 1.0;
        match self.bucket.wait(needed, held) {
            Some(wait) if wait <= MAX_TOKEN_WAIT => Admission::Wait(wait),
            _ if needed <= self.expected(held, now) => Admission::Wait(URGENT_INTERVAL),
            _ => Admission::Refused,
        }
    }

    /// Returns how many tokens may be there within [`MAX_TOKEN_WAIT`], counting those
    /// that a keeper may still hand over.
    fn expected(&self, held: Slice, now: Time) -> f64 {
        let wait = MAX_TOKEN_WAIT.as_secs_f64();
        let own = self.bucket.tokens() + held.rate.of(self.bucket.quota().rate) * wait;
        if self.leases.values().all(|lease| lease.is_dry(now)) {
            return own;
        }
        // A holder without a slice cannot tell how much of the burst is left, so
        // callers that come all at once wait for the keeper's answer.
        let first = if held.is_empty() { self.bucket.quota().burst } else { 0.0 };
        let first = first.clamp(FIRST_WAITERS, MOST_FIRST_WAITERS);
        own.max(first).max(self.demand.momentary(now) * wait)
    }

    fn settle(&mut self, now: Time) -> Slice {
        let held = self.leases.values().map(|lease| lease.held(now)).sum();
        self.bucket.settle(held, now);
        held
    }

    /// Returns the requests to be sent now, each with the data centre whose
    /// part it asks for and the keeper of that part.
    pub fn due_requests(&mut self, now: Time) -> Vec<(DataCentreId, KeeperId, SliceRequest)> {
        let held = self.settle(now);
        let centres: Vec<DataCentreId> = self.leases.keys().cloned().collect();
        centres
            .into_iter()
            .filter_map(|centre| {
                let (keeper, ask) = self.ask(&centre, held, now)?;
                Some((centre, keeper, ask))
            })
            .collect()
    }

    fn ask(
        &mut self,
        centre: &DataCentreId,
        held: Slice,
        now: Time,
    ) -> Option<(KeeperId, SliceRequest)> {
        let local = *centre == self.home;
        let demand = self.wanted_rate(centre, now);
        let urge = self.urge(centre, held, demand, now);
        let lease = &self.leases[centre];
        let due = match urge {
            Urge::None => lease.is_new(),
            Urge::Renew => lease.quiet(now) >= RENEW_INTERVAL,
            Urge::Return => lease.quiet(now) >= RETURN_INTERVAL,
            Urge::Tokens if local => lease.quiet(now) >= URGENT_INTERVAL,
            Urge::Tokens => lease.quiet(now) >= REMOTE_INTERVAL,
        };
        if !due || lease.is_waiting(now) {
            return None;
        }
        self.trim(centre, now);
        let returning = urge == Urge::Return && self.leases[centre].wants_tokens();
        let returned_milli = if returning { self.give_back(centre, now) } else { 0 };
        let wanted_milli = if urge == Urge::Tokens { self.wanted_tokens(now) } else { 0 };
        let lease = &mut self.leases[centre];
        let (keeper, held) = (lease.keeper().clone(), lease.held(now));
        let number = lease.ask(wanted_milli, now);
        let incarnation = self.incarnation;
        let ask =
            SliceRequest { incarnation, number, demand, held, wanted_milli, returned_milli, local };
        Some((keeper, ask))
    }

    /// Returns why the keeper of `centre` should be asked.
    fn urge(&self, centre: &DataCentreId, held: Slice, demand: f64, now: Time) -> Urge {
        if self.used.is_none_or(|at| now.since(at) >= IDLE) {
            return Urge::None;
        }
        let local = *centre == self.home;
        let lease = &self.leases[centre];
        let needs_tokens = if local { self.is_low(held, now) } else { self.is_stuck(now) };
        if needs_tokens {
            return Urge::Tokens;
        }
        let spare = self.spare_room(centre, now).of(self.bucket.quota().burst);
        let surplus = if lease.wants_tokens() { self.returnable(centre, held, now) } else { 0.0 };
        if surplus >= 1.0 || spare >= SPARE_ROOM {
            return Urge::Return;
        }
        let interested = local || demand > 0.0 || !lease.held(now).is_empty();
        if interested { Urge::Renew } else { Urge::None }
    }

    /// Tells whether requests wait for tokens.
    fn is_short(&self, now: Time) -> bool {
        let lately = self.short.is_some_and(|at| now.since(at) < MAX_TOKEN_WAIT);
        lately && self.bucket.tokens() < self.waiting as f64
    }

    /// Tells whether requests wait for tokens that the own keeper does not have.
    fn is_stuck(&self, now: Time) -> bool {
        self.is_short(now) && self.leases.get(&self.home).is_none_or(|lease| lease.falls_short(now))
    }

    /// Tells whether requests are or will soon be short of tokens.
    fn is_low(&self, held: Slice, now: Time) -> bool {
        let busy = self.demand.per_second(now) > 0.5;
        self.is_short(now)
            || (busy && self.bucket.tokens() < (self.usual_room(held) / 4.0).max(1.0))
    }

    /// Returns the tokens that lie here in quiet times.
    fn usual_room(&self, held: Slice) -> f64 {
        held.rate.half().of(self.bucket.quota().burst)
    }

    /// Returns how many tokens others may have: those above what callers will
    /// soon need and above half of the usual room.
    fn surplus(&self, held: Slice, now: Time) -> f64 {
        let usual = self.usual_room(held);
        let tokens = self.bucket.tokens();
        let soon = 2.0 * AHEAD_SECONDS * self.demand.momentary(now);
        if tokens >= usual * AMPLE { tokens - soon.max(usual * KEPT) } else { 0.0 }
    }

    /// Returns the requests a second to be covered by the keeper of `centre`:
    /// all of them by the own one, and what it leaves open by the others, in
    /// equal steps so that they do not all jump at once.
    fn wanted_rate(&self, centre: &DataCentreId, now: Time) -> f64 {
        let demand = self.demand.per_second(now);
        if *centre == self.home {
            return demand;
        }
        let quota = self.bucket.quota().rate;
        let here = self.leases[centre].held(now).rate.of(quota);
        let all: Slice = self.leases.values().map(|lease| lease.held(now)).sum();
        let gap = demand - all.rate.of(quota) * LOCAL_ENOUGH;
        let slack = demand * (1.0 - LOCAL_ENOUGH);
        if gap.abs() <= slack {
            return here;
        }
        (here + gap / (self.leases.len() as f64 - 1.0).max(1.0)).clamp(0.0, quota)
    }

    /// Returns the tokens for the requests that wait and those about to come,
    /// in thousandths.
    fn wanted_tokens(&self, now: Time) -> u64 {
        let coming = self.demand.momentary(now) * AHEAD_SECONDS;
        let waiting = if self.is_short(now) { self.waiting as f64 } else { 0.0 };
        ((coming + waiting - self.bucket.tokens()).max(1.0) * 1e3) as u64
    }

    /// Returns how many tokens can go back to the keeper of `centre` together
    /// with room of its lease.
    fn returnable(&self, centre: &DataCentreId, held: Slice, now: Time) -> f64 {
        let here = self.leases[centre].held(now).capacity.of(self.bucket.quota().burst);
        self.surplus(held, now).min(here)
    }

    /// Takes out the tokens that VMs which run short can have.
    fn give_back(&mut self, centre: &DataCentreId, now: Time) -> u64 {
        let held = self.leases.values().map(|lease| lease.held(now)).sum();
        let surplus = self.returnable(centre, held, now);
        let removed = self.bucket.remove((surplus * 1e3) as u64);
        // The room travels with the tokens. Kept here it could fill again while
        // the tokens are on their way, and both would be spent.
        let room = Ppm::from_fraction(removed as f64 / 1e3 / self.bucket.quota().burst);
        let lease = &mut self.leases[centre];
        let left = lease.held(now).capacity - room - Ppm::new(1);
        lease.shrink_room(left);
        removed
    }

    /// Returns how much room of the keeper of `centre` neither the usual size
    /// nor the tokens need.
    fn spare_room(&self, centre: &DataCentreId, now: Time) -> Ppm {
        let all: Slice = self.leases.values().map(|lease| lease.held(now)).sum();
        let tokens = Ppm::from_fraction(self.bucket.tokens() / self.bucket.quota().burst);
        let excess = all.capacity - all.rate.half().max(tokens + Ppm::new(1));
        let held = self.leases[centre].held(now);
        excess.min(held.capacity - held.rate.half())
    }

    fn trim(&mut self, centre: &DataCentreId, now: Time) {
        let spare = self.spare_room(centre, now);
        let lease = &mut self.leases[centre];
        let left = lease.held(now).capacity - spare;
        lease.shrink_room(left);
    }

    /// Takes the answer of the keeper of `centre`.
    pub fn accept(&mut self, centre: &DataCentreId, keeper: &KeeperId, grant: &Grant, now: Time) {
        self.settle(now);
        let Some(lease) = self.leases.get_mut(centre).filter(|lease| lease.keeper() == keeper)
        else {
            return;
        };
        if lease.accept(grant, now) {
            let held = self.leases.values().map(|lease| lease.held(now)).sum();
            self.bucket.add(grant.tokens_milli, held);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_crowd_within_the_burst_waits_for_the_first_slice() {
        let now = Time::from_millis(1);
        let quota = Quota { rate: 1_000.0, burst: 500.0 };
        let home: DataCentreId = "a".parse().expect("a valid name");
        let mut holder = Holder::new(quota, home.clone(), Incarnation::new(1), now);
        let vm = "vm-1".parse().expect("a valid name");
        holder.set_keepers([(home, KeeperId { vm, incarnation: Incarnation::new(2) })]);
        let decisions: Vec<_> = (0..501).map(|ahead| holder.admit_new(ahead, now)).collect();
        let waits = |decision: &&Admission| matches!(decision, Admission::Wait(_));
        assert_eq!(decisions.iter().filter(waits).count(), 500);
        assert_eq!(decisions[500], Admission::Refused, "more than the burst may not wait");
    }
}
