//! Leasing of one data centre's part of an account.
//!
//! A keeper is the VM that owns the part. It leases slices of it to borrowers,
//! the VMs that serve the account, according to the demand that they state. The
//! rest refills a pool of tokens at the keeper, from which any borrower can
//! draw.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    id::{Incarnation, VmId},
    share::{
        bucket::{Bucket, Quota},
        lease::{Grant, LEASE_DURATION, SliceRequest},
        slice::{Ppm, Slice},
    },
    time::Time,
};

/// Time added to a lease on the keeper's clock, because clocks run at different
/// speeds.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(400);
/// Age after which a borrower's stated demand no longer counts.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(3_000);
/// Least share of the part that a VM of the data centre gets while it serves
/// callers.
const MIN_LOCAL_SHARE: f64 = 0.01;
/// Multiple of the demand that is leased if there is enough. The rest stays in
/// the pool, from which any VM can draw tokens.
const DEMAND_COVERAGE: f64 = 1.0;
/// Fraction of the pool's capacity above which the keeper wants no tokens
/// returned.
const POOL_FULL_FRACTION: f64 = 0.4;
/// Capacity, in tokens, up to which a VM holds no share and draws every token
/// from the pool.
const MIN_HELD_CAPACITY: f64 = 2.0;
/// Least capacity, in tokens, with which a VM holds its whole share.
const FULLY_HELD_CAPACITY: f64 = 8.0;
/// The rate of a slice is reduced only if the reduction exceeds the rate divided
/// by this number.
const MIN_CUT_DIVISOR: u32 = 5;
/// Greatest fraction of the part's rate that is leased out.
const MAX_LENT_FRACTION: f64 = 0.98;

/// One borrower: the slice reserved for it and the demand it stated.
#[derive(Clone, Debug)]
struct Borrower {
    incarnation: Incarnation,
    /// Number of the last request.
    number: u64,
    /// Slice that the borrower may hold, which no other borrower can get.
    reserved: Slice,
    /// When the lease has certainly ended on the borrower's clock.
    until: Time,
    /// Requests per second.
    demand: f64,
    last_request: Time,
    local: bool,
}

/// Keeps one data centre's part of one account and leases slices of it.
#[derive(Debug)]
pub struct Keeper {
    part: Slice,
    pool: Bucket,
    borrowers: IndexMap<VmId, Borrower>,
    /// VMs that have not stated yet what they hold of an earlier keeper.
    unreported: IndexSet<VmId>,
    /// When all leases of an earlier keeper have ended.
    takeover_end: Time,
}

impl Keeper {
    /// Creates the keeper of a part that had no keeper before. Its pool is
    /// full.
    pub fn new(quota: Quota, part: Ppm, now: Time) -> Self {
        let part = Slice::new(part, part);
        let pool = Bucket::with_full(quota, part, now);
        Keeper {
            part,
            pool,
            borrowers: IndexMap::new(),
            unreported: IndexSet::new(),
            takeover_end: now,
        }
    }

    /// Creates the keeper of a part that had another keeper until `since`.
    ///
    /// Leases of the earlier keeper may be valid until [`LEASE_DURATION`]
    /// later. Until then, or until all of `vms` have stated what they hold, the
    /// new keeper only renews those leases.
    pub fn with_takeover(
        quota: Quota,
        part: Ppm,
        vms: impl IntoIterator<Item = VmId>,
        since: Time,
    ) -> Self {
        let part = Slice::new(part, part);
        let pool = Bucket::new(quota, since);
        let unreported = vms.into_iter().collect();
        let takeover_end = since + LEASE_DURATION + DRIFT_MARGIN;
        Keeper { part, pool, borrowers: IndexMap::new(), unreported, takeover_end }
    }

    /// Replaces the quota of the account.
    pub fn set_quota(&mut self, quota: Quota) {
        self.pool.set_quota(quota);
    }

    /// Answers a request of `vm`, or returns `None` if it is late or repeated.
    pub fn lend(&mut self, vm: &VmId, request: &SliceRequest, now: Time) -> Option<Grant> {
        self.refill(now);
        let known = self.borrowers.get(vm);
        let same = known.filter(|borrower| borrower.incarnation == request.incarnation);
        if same.is_some_and(|borrower| request.number <= borrower.number) {
            return None;
        }
        let held = self.record_request(vm, request, now);
        self.unreported.shift_remove(vm);
        let grant = if self.is_taking_over(now) {
            self.renew(held, request)
        } else {
            self.pool.add(request.returned_milli, self.free());
            self.grant(vm, held, request, now)
        };
        let borrower = &mut self.borrowers[vm];
        borrower.reserved = borrower.reserved.max(grant.slice);
        borrower.until = now + LEASE_DURATION + DRIFT_MARGIN;
        self.pool.clamp(self.free());
        Some(grant)
    }

    /// Returns the slice that is reserved for no borrower.
    pub fn free(&self) -> Slice {
        self.part - self.borrowers.values().map(|borrower| borrower.reserved).sum()
    }

    /// Returns whether leases of an earlier keeper may be valid that no
    /// borrower has stated yet.
    fn is_taking_over(&self, now: Time) -> bool {
        now < self.takeover_end && !self.unreported.is_empty()
    }

    fn refill(&mut self, now: Time) {
        let earning = if self.is_taking_over(now) { Slice::default() } else { self.free() };
        self.pool.refill(earning, now);
        self.borrowers.retain(|_, borrower| now < borrower.until);
    }

    /// Records what the borrower states, and returns the slice that it holds.
    ///
    /// A restarted daemon holds nothing, but the slice of its earlier
    /// incarnation stays reserved until the lease ends.
    fn record_request(&mut self, vm: &VmId, request: &SliceRequest, now: Time) -> Slice {
        let free = self.free();
        let held = match self.borrowers.get(vm) {
            Some(known) if known.incarnation == request.incarnation => {
                request.held.min(known.reserved)
            }
            _ => request.held.min(free),
        };
        let mut borrower = Borrower {
            incarnation: request.incarnation,
            number: request.number,
            reserved: held,
            until: now + LEASE_DURATION + DRIFT_MARGIN,
            demand: request.demand,
            last_request: now,
            local: request.local,
        };
        if let Some(known) = self.borrowers.get(vm)
            && known.incarnation != request.incarnation
        {
            borrower.reserved = known.reserved;
        }
        self.borrowers.insert(vm.clone(), borrower);
        held
    }

    fn renew(&self, held: Slice, request: &SliceRequest) -> Grant {
        let number = request.number;
        Grant { number, slice: held, tokens_milli: 0, lease: LEASE_DURATION, wants_tokens: false }
    }

    fn grant(&mut self, vm: &VmId, held: Slice, request: &SliceRequest, now: Time) -> Grant {
        let free = self.free();
        let target = self.target_rate(vm, now);
        // The old slice stays reserved until the borrower has confirmed a
        // smaller one, so a small reduction would cost more than it frees.
        let small = held.rate.get() / MIN_CUT_DIVISOR;
        let rate = if target < held.rate && target + Ppm::new(small) >= held.rate {
            held.rate
        } else {
            target.min(held.rate + free.rate)
        };
        let tokens = self.tokens_for(request, free);
        let capacity = self.capacity_for(rate, held, tokens, free);
        let tokens_milli = self.pool.remove(tokens);
        let slice = Slice::new(rate, capacity);
        let full = self.part.capacity.of(self.pool.quota().burst) * POOL_FULL_FRACTION;
        let wants_tokens = self.pool.tokens() < full;
        Grant { number: request.number, slice, tokens_milli, lease: LEASE_DURATION, wants_tokens }
    }

    /// Returns the tokens to hand over, in thousandths: those that are wanted,
    /// but at most four fifths of the pool, so that some are left for the next
    /// borrower.
    ///
    /// Up to one token is handed over even if it is more than four fifths of the
    /// pool. The result never exceeds the capacity of `free`.
    fn tokens_for(&self, request: &SliceRequest, free: Slice) -> u64 {
        let capacity = free.capacity.of(self.pool.quota().burst);
        let most = (self.pool.tokens() * 0.8).max(self.pool.tokens().min(1.0)).min(capacity);
        request.wanted_milli.min((most * 1e3) as u64)
    }

    fn capacity_for(&self, rate: Ppm, held: Slice, tokens_milli: u64, free: Slice) -> Ppm {
        let burst = self.pool.quota().burst;
        let extra = Ppm::from_fraction(tokens_milli as f64 / 1e3 / burst);
        let one = if tokens_milli > 0 { Ppm::new(1) } else { Ppm::ZERO };
        let wanted = rate.half().max(held.capacity + extra + one);
        wanted.min(held.capacity + free.capacity)
    }

    /// Returns the share of the rate that the borrower should hold for its
    /// demand.
    fn target_rate(&self, vm: &VmId, now: Time) -> Ppm {
        let borrower = &self.borrowers[vm];
        let lent = f64::from(self.part.rate.get()) / 1e6 * MAX_LENT_FRACTION;
        let local = self.total_need(true, now);
        let (supply, wanted) = if borrower.local {
            (lent, local)
        } else {
            ((lent - local).max(0.0), self.total_need(false, now))
        };
        let scale = if wanted > supply { supply / wanted } else { 1.0 };
        let fair = self.need(borrower) * scale;
        Ppm::from_fraction(fair * self.held_fraction(fair))
    }

    /// Returns the fraction of a share that the borrower should hold.
    ///
    /// A bucket with a capacity of a few tokens is often full or empty. Tokens
    /// would be lost on one VM while requests are refused on another. A VM with
    /// such a small share draws its tokens from the pool instead.
    fn held_fraction(&self, share: f64) -> f64 {
        let capacity = share * self.pool.quota().burst / 2.0;
        ((capacity - MIN_HELD_CAPACITY) / (FULLY_HELD_CAPACITY - MIN_HELD_CAPACITY)).clamp(0.0, 1.0)
    }

    fn total_need(&self, local: bool, now: Time) -> f64 {
        self.borrowers
            .values()
            .filter(|b| b.local == local && now.since(b.last_request) < MAX_DEMAND_AGE)
            .map(|b| self.need(b))
            .sum()
    }

    fn need(&self, borrower: &Borrower) -> f64 {
        let min_share = if borrower.local {
            MIN_LOCAL_SHARE * f64::from(self.part.rate.get()) / 1e6
        } else {
            0.0
        };
        borrower.demand / self.pool.quota().rate * DEMAND_COVERAGE + min_share
    }
}
