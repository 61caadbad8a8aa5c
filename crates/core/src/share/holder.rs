//! Admission of one account's requests on one VM.
//!
//! A holder spends tokens from the slices that it leases from keepers, the VMs
//! that own the parts of the account's token bucket. It states its demand to
//! the keeper of its own data centre first and asks other data centres for the
//! rest. Tokens that it does not need go back to the keeper, so that VMs that
//! are short of tokens can have them.

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
/// Time between two renewals of a lease while callers send requests.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two requests for tokens to the keeper of the own data
/// centre.
pub const LOCAL_TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Least time between two requests that only return tokens.
const RETURN_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between two requests for tokens to another data centre.
const REMOTE_TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Time without requests of callers after which leases are no longer renewed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
/// Fraction of the held rate that counts as covering demand. The rest is a
/// margin.
const USABLE_RATE_FRACTION: f64 = 0.95;
/// Least unused capacity, in tokens, that is returned with a request of its own.
/// The keeper's pool cannot fill while borrowers hold its capacity.
const MIN_RETURNED_CAPACITY: f64 = 1.0;
/// Fraction of the usual capacity that is kept when tokens are returned.
const KEPT_FRACTION: f64 = 0.5;
/// Tokens are returned when the bucket holds at least this fraction of the
/// usual capacity.
const RETURN_THRESHOLD: f64 = 0.75;
/// Time, in seconds, by which tokens are requested before they are needed.
const LOOKAHEAD_SECONDS: f64 = 0.05;
/// Number of requests that may always wait for tokens of a keeper, even if the
/// burst is smaller.
const MIN_FIRST_WAITERS: f64 = 16.0;
/// Greatest number of requests that may wait for the first slice, even if the
/// burst is larger.
const MAX_FIRST_WAITERS: f64 = 1_024.0;

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The request waits about this long and is then decided on again.
    Wait(Duration),
    /// The account exceeds its rate on this VM.
    Refused,
}

/// Why a request is sent to a keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestReason {
    /// There is no reason. Only the first request to a keeper is sent.
    None,
    /// The lease has to be renewed.
    Renew,
    /// Tokens or capacity can be returned.
    Return,
    /// Callers need more tokens.
    Tokens,
}

/// Admits one account's requests on one VM and requests the slices and tokens
/// for them.
#[derive(Debug)]
pub struct Holder {
    data_centre: DataCentreId,
    incarnation: Incarnation,
    bucket: Bucket,
    demand: Demand,
    leases: IndexMap<DataCentreId, Lease>,
    last_request: Option<Time>,
    last_shortage: Option<Time>,
    waiting: usize,
}

impl Holder {
    /// Creates the holder for one incarnation of the daemon in `data_centre`.
    /// It starts without a slice and without tokens.
    pub fn new(
        quota: Quota,
        data_centre: DataCentreId,
        incarnation: Incarnation,
        now: Time,
    ) -> Self {
        Holder {
            data_centre,
            incarnation,
            bucket: Bucket::new(quota, now),
            demand: Demand::new(now),
            leases: IndexMap::new(),
            last_request: None,
            last_shortage: None,
            waiting: 0,
        }
    }

    /// Replaces the quota of the account.
    pub fn set_quota(&mut self, quota: Quota) {
        self.bucket.set_quota(quota);
    }

    /// Sets the keeper of each data centre's part. Leases of earlier keepers
    /// stay valid until they end.
    pub fn set_keepers(&mut self, keepers: impl IntoIterator<Item = (DataCentreId, KeeperId)>) {
        for (data_centre, keeper) in keepers {
            let lease =
                self.leases.entry(data_centre).or_insert_with(|| Lease::new(keeper.clone()));
            lease.switch_to(keeper);
        }
    }

    /// Returns whether at least one keeper is known.
    pub fn has_keeper(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Counts a new request and decides on it, when `ahead` requests already
    /// wait.
    pub fn admit_new(&mut self, ahead: usize, now: Time) -> Admission {
        self.demand.count(now);
        self.last_request = Some(now);
        self.admit(ahead, now)
    }

    /// Decides on a request that was already counted, when `ahead` requests
    /// wait before it.
    pub fn admit(&mut self, ahead: usize, now: Time) -> Admission {
        let held = self.refill(now);
        if ahead == 0 && self.bucket.take() {
            self.waiting = self.waiting.saturating_sub(1);
            return Admission::Admitted;
        }
        self.last_shortage = Some(now);
        self.waiting = ahead + 1;
        let needed = ahead as f64 + 1.0;
        match self.bucket.wait(needed, held) {
            Some(wait) if wait <= MAX_TOKEN_WAIT => Admission::Wait(wait),
            _ if needed <= self.expected_tokens(held, now) => Admission::Wait(LOCAL_TOKEN_INTERVAL),
            _ => Admission::Refused,
        }
    }

    /// Returns the number of tokens that may be available within
    /// [`MAX_TOKEN_WAIT`], including those that a keeper may still hand over.
    fn expected_tokens(&self, held: Slice, now: Time) -> f64 {
        let wait = MAX_TOKEN_WAIT.as_secs_f64();
        let own = self.bucket.tokens() + held.rate.of(self.bucket.quota().rate) * wait;
        if self.leases.values().all(|lease| lease.is_depleted(now)) {
            return own;
        }
        // A holder without a slice does not know how much of the burst is left.
        // Requests that arrive together therefore wait for the keeper's answer.
        let first = if held.is_empty() { self.bucket.quota().burst } else { 0.0 };
        let first = first.clamp(MIN_FIRST_WAITERS, MAX_FIRST_WAITERS);
        own.max(first).max(self.demand.recent_per_second(now) * wait)
    }

    fn refill(&mut self, now: Time) -> Slice {
        let held = self.leases.values().map(|lease| lease.held(now)).sum();
        self.bucket.refill(held, now);
        held
    }

    /// Returns the requests that are due now, each with the data centre of the
    /// part and its keeper.
    pub fn due_requests(&mut self, now: Time) -> Vec<(DataCentreId, KeeperId, SliceRequest)> {
        let held = self.refill(now);
        let centres: Vec<DataCentreId> = self.leases.keys().cloned().collect();
        centres
            .into_iter()
            .filter_map(|centre| {
                let (keeper, request) = self.request(&centre, held, now)?;
                Some((centre, keeper, request))
            })
            .collect()
    }

    fn request(
        &mut self,
        centre: &DataCentreId,
        held: Slice,
        now: Time,
    ) -> Option<(KeeperId, SliceRequest)> {
        let local = *centre == self.data_centre;
        let demand = self.wanted_rate(centre, now);
        let reason = self.request_reason(centre, held, demand, now);
        let lease = &self.leases[centre];
        let due = match reason {
            RequestReason::None => lease.is_new(),
            RequestReason::Renew => lease.since_request(now) >= RENEW_INTERVAL,
            RequestReason::Return => lease.since_request(now) >= RETURN_INTERVAL,
            RequestReason::Tokens if local => lease.since_request(now) >= LOCAL_TOKEN_INTERVAL,
            RequestReason::Tokens => lease.since_request(now) >= REMOTE_TOKEN_INTERVAL,
        };
        if !due || lease.has_pending_request(now) {
            return None;
        }
        self.trim(centre, now);
        let returning = reason == RequestReason::Return && self.leases[centre].wants_tokens();
        let returned_milli = if returning { self.remove_surplus(centre, now) } else { 0 };
        let wanted_milli =
            if reason == RequestReason::Tokens { self.wanted_tokens(now) } else { 0 };
        let lease = &mut self.leases[centre];
        let (keeper, held) = (lease.keeper().clone(), lease.held(now));
        let number = lease.start_request(wanted_milli, now);
        let incarnation = self.incarnation;
        let request =
            SliceRequest { incarnation, number, demand, held, wanted_milli, returned_milli, local };
        Some((keeper, request))
    }

    /// Returns the reason for a request to the keeper of `centre`.
    fn request_reason(
        &self,
        centre: &DataCentreId,
        held: Slice,
        demand: f64,
        now: Time,
    ) -> RequestReason {
        if self.last_request.is_none_or(|at| now.since(at) >= IDLE_TIMEOUT) {
            return RequestReason::None;
        }
        let local = *centre == self.data_centre;
        let lease = &self.leases[centre];
        let needs_tokens = if local { self.is_low(held, now) } else { self.is_locally_short(now) };
        if needs_tokens {
            return RequestReason::Tokens;
        }
        let spare = self.spare_capacity(centre, now).of(self.bucket.quota().burst);
        let surplus =
            if lease.wants_tokens() { self.returnable_tokens(centre, held, now) } else { 0.0 };
        if surplus >= 1.0 || spare >= MIN_RETURNED_CAPACITY {
            return RequestReason::Return;
        }
        let interested = local || demand > 0.0 || !lease.held(now).is_empty();
        if interested { RequestReason::Renew } else { RequestReason::None }
    }

    /// Returns whether requests wait for tokens.
    fn is_short(&self, now: Time) -> bool {
        let recently = self.last_shortage.is_some_and(|at| now.since(at) < MAX_TOKEN_WAIT);
        recently && self.bucket.tokens() < self.waiting as f64
    }

    /// Returns whether requests wait for tokens that the keeper of the own data
    /// centre does not have.
    fn is_locally_short(&self, now: Time) -> bool {
        self.is_short(now)
            && self.leases.get(&self.data_centre).is_none_or(|lease| lease.has_shortage(now))
    }

    /// Returns whether requests wait for tokens or will soon have to.
    fn is_low(&self, held: Slice, now: Time) -> bool {
        let busy = self.demand.per_second(now) > 0.5;
        self.is_short(now)
            || (busy && self.bucket.tokens() < (self.usual_capacity(held) / 4.0).max(1.0))
    }

    /// Returns the tokens that the bucket holds when there are few requests.
    fn usual_capacity(&self, held: Slice) -> f64 {
        held.rate.half().of(self.bucket.quota().burst)
    }

    /// Returns the number of tokens that other VMs can have: those above both
    /// the number that callers will soon need and half of the usual capacity.
    fn surplus(&self, held: Slice, now: Time) -> f64 {
        let usual = self.usual_capacity(held);
        let tokens = self.bucket.tokens();
        let soon = 2.0 * LOOKAHEAD_SECONDS * self.demand.recent_per_second(now);
        if tokens >= usual * RETURN_THRESHOLD {
            tokens - soon.max(usual * KEPT_FRACTION)
        } else {
            0.0
        }
    }

    /// Returns the requests per second that the keeper of `centre` is asked to
    /// cover.
    ///
    /// The keeper of the own data centre is asked for all of them. Each of the
    /// others is asked to cover an equal part of the gap that is left, so that
    /// not all of them change by the whole gap at once.
    fn wanted_rate(&self, centre: &DataCentreId, now: Time) -> f64 {
        let demand = self.demand.per_second(now);
        if *centre == self.data_centre {
            return demand;
        }
        let quota = self.bucket.quota().rate;
        let here = self.leases[centre].held(now).rate.of(quota);
        let all: Slice = self.leases.values().map(|lease| lease.held(now)).sum();
        let gap = demand - all.rate.of(quota) * USABLE_RATE_FRACTION;
        let slack = demand * (1.0 - USABLE_RATE_FRACTION);
        if gap.abs() <= slack {
            return here;
        }
        (here + gap / (self.leases.len() as f64 - 1.0).max(1.0)).clamp(0.0, quota)
    }

    /// Returns the tokens needed for the requests that wait and those expected
    /// soon, in thousandths.
    fn wanted_tokens(&self, now: Time) -> u64 {
        let coming = self.demand.recent_per_second(now) * LOOKAHEAD_SECONDS;
        let waiting = if self.is_short(now) { self.waiting as f64 } else { 0.0 };
        ((coming + waiting - self.bucket.tokens()).max(1.0) * 1e3) as u64
    }

    /// Returns the number of tokens that can be returned to the keeper of
    /// `centre` together with capacity of its lease.
    fn returnable_tokens(&self, centre: &DataCentreId, held: Slice, now: Time) -> f64 {
        let here = self.leases[centre].held(now).capacity.of(self.bucket.quota().burst);
        self.surplus(held, now).min(here)
    }

    /// Removes the tokens that other VMs can have, and returns their number in
    /// thousandths.
    fn remove_surplus(&mut self, centre: &DataCentreId, now: Time) -> u64 {
        let held = self.leases.values().map(|lease| lease.held(now)).sum();
        let surplus = self.returnable_tokens(centre, held, now);
        let removed = self.bucket.remove((surplus * 1e3) as u64);
        // The capacity is returned with the tokens. If it stayed here, it could
        // fill again while the tokens are in flight, and both would be spent.
        let capacity = Ppm::from_fraction(removed as f64 / 1e3 / self.bucket.quota().burst);
        let lease = &mut self.leases[centre];
        let left = lease.held(now).capacity - capacity - Ppm::new(1);
        lease.shrink_capacity(left);
        removed
    }

    /// Returns the capacity leased from the keeper of `centre` that is needed
    /// neither for the usual capacity nor for the present tokens.
    fn spare_capacity(&self, centre: &DataCentreId, now: Time) -> Ppm {
        let all: Slice = self.leases.values().map(|lease| lease.held(now)).sum();
        let tokens = Ppm::from_fraction(self.bucket.tokens() / self.bucket.quota().burst);
        let excess = all.capacity - all.rate.half().max(tokens + Ppm::new(1));
        let held = self.leases[centre].held(now);
        excess.min(held.capacity - held.rate.half())
    }

    /// Gives up the capacity leased from the keeper of `centre` that is not
    /// needed.
    fn trim(&mut self, centre: &DataCentreId, now: Time) {
        let spare = self.spare_capacity(centre, now);
        let lease = &mut self.leases[centre];
        let left = lease.held(now).capacity - spare;
        lease.shrink_capacity(left);
    }

    /// Applies the answer of the keeper of `centre`. Answers of earlier keepers
    /// and late answers are ignored.
    pub fn accept(&mut self, centre: &DataCentreId, keeper: &KeeperId, grant: &Grant, now: Time) {
        self.refill(now);
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
    fn requests_within_the_burst_wait_for_the_first_slice() {
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
