//! Lending of one data centre's part of an account.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    id::{Incarnation, VmId},
    share::{
        bucket::{Bucket, Quota},
        lease::{Grant, LEASE, SliceRequest},
        slice::{Ppm, Slice},
    },
    time::Time,
};

/// Added to a lease on the keeper's clock, for clocks that run apart.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(400);
/// Time after which a borrower's stated demand no longer counts.
const FRESH_DEMAND: Duration = Duration::from_millis(3_000);
/// Least share of the part that a VM with callers gets.
const FLOOR: f64 = 0.01;
/// Demand is covered this many times while there is enough; the rest stays in
/// the pool, from which any VM can draw tokens.
const COVER: f64 = 1.0;
/// Part of its room from which on the pool asks for no tokens back.
const FULL: f64 = 0.4;
/// Room in tokens up to which a VM holds no share and draws every token.
const DRAWN_ROOM: f64 = 2.0;
/// Room in tokens from which on a VM holds its whole share.
const HELD_ROOM: f64 = 8.0;
/// A slice is cut only by more than one part in this many.
const SMALL_CUT: u32 = 5;
/// Part of the rate that is lent at most.
const LENT: f64 = 0.98;

/// What one borrower may hold.
#[derive(Clone, Debug)]
struct Borrower {
    incarnation: Incarnation,
    number: u64,
    reserved: Slice,
    until: Time,
    demand: f64,
    heard: Time,
    local: bool,
}

/// Keeps one data centre's part of one account and lends it.
#[derive(Debug)]
pub struct Keeper {
    part: Slice,
    pool: Bucket,
    borrowers: IndexMap<VmId, Borrower>,
    unheard: IndexSet<VmId>,
    open: Time,
}

impl Keeper {
    /// Makes the keeper of a part that nobody kept before; its tokens are full.
    pub fn new(quota: Quota, part: Ppm, now: Time) -> Self {
        let part = Slice::new(part, part);
        let pool = Bucket::with_full(quota, part, now);
        Keeper { part, pool, borrowers: IndexMap::new(), unheard: IndexSet::new(), open: now }
    }

    /// Makes the keeper of a part that another run kept until `since`.
    ///
    /// Leases of the earlier keeper may run until [`LEASE`] later. Until then,
    /// or until all of `vms` have stated what they hold, it only renews that.
    pub fn with_takeover(
        quota: Quota,
        part: Ppm,
        vms: impl IntoIterator<Item = VmId>,
        since: Time,
    ) -> Self {
        let part = Slice::new(part, part);
        let pool = Bucket::new(quota, since);
        let unheard = vms.into_iter().collect();
        let open = since + LEASE + DRIFT_MARGIN;
        Keeper { part, pool, borrowers: IndexMap::new(), unheard, open }
    }

    /// Replaces the quota of the account.
    pub fn set_quota(&mut self, quota: Quota) {
        self.pool.set_quota(quota);
    }

    /// Answers a request of `vm`, or drops it when it is late or repeated.
    pub fn lend(&mut self, vm: &VmId, ask: &SliceRequest, now: Time) -> Option<Grant> {
        self.settle(now);
        let known = self.borrowers.get(vm);
        let same = known.filter(|borrower| borrower.incarnation == ask.incarnation);
        if same.is_some_and(|borrower| ask.number <= borrower.number) {
            return None;
        }
        let stated = self.record(vm, ask, now);
        self.unheard.shift_remove(vm);
        let grant = if self.is_waiting(now) {
            self.renew(stated, ask)
        } else {
            self.pool.add(ask.returned_milli, self.free());
            self.grant(vm, stated, ask, now)
        };
        let borrower = &mut self.borrowers[vm];
        borrower.reserved = borrower.reserved.max(grant.slice);
        borrower.until = now + LEASE + DRIFT_MARGIN;
        self.pool.clamp(self.free());
        Some(grant)
    }

    /// Returns the slice that is lent to nobody.
    pub fn free(&self) -> Slice {
        self.part - self.borrowers.values().map(|borrower| borrower.reserved).sum()
    }

    /// Tells whether leases of an earlier keeper may run that nobody stated.
    fn is_waiting(&self, now: Time) -> bool {
        now < self.open && !self.unheard.is_empty()
    }

    fn settle(&mut self, now: Time) {
        let earning = if self.is_waiting(now) { Slice::default() } else { self.free() };
        self.pool.settle(earning, now);
        self.borrowers.retain(|_, borrower| now < borrower.until);
    }

    /// Notes what the borrower states, and returns what it holds.
    ///
    /// A run of the daemon that was restarted holds nothing, but the slice of
    /// its earlier run stays reserved until the lease ends.
    fn record(&mut self, vm: &VmId, ask: &SliceRequest, now: Time) -> Slice {
        let free = self.free();
        let held = match self.borrowers.get(vm) {
            Some(known) if known.incarnation == ask.incarnation => ask.held.min(known.reserved),
            _ => ask.held.min(free),
        };
        let mut borrower = Borrower {
            incarnation: ask.incarnation,
            number: ask.number,
            reserved: held,
            until: now + LEASE + DRIFT_MARGIN,
            demand: ask.demand,
            heard: now,
            local: ask.local,
        };
        if let Some(known) = self.borrowers.get(vm)
            && known.incarnation != ask.incarnation
        {
            borrower.reserved = known.reserved;
        }
        self.borrowers.insert(vm.clone(), borrower);
        held
    }

    fn renew(&self, stated: Slice, ask: &SliceRequest) -> Grant {
        let number = ask.number;
        Grant { number, slice: stated, tokens_milli: 0, lease: LEASE, wants_tokens: false }
    }

    fn grant(&mut self, vm: &VmId, held: Slice, ask: &SliceRequest, now: Time) -> Grant {
        let free = self.free();
        let target = self.target(vm, now);
        // What a borrower is to give up stays reserved until it confirms, so
        // small changes down would cost more than they free.
        let small = held.rate.get() / SMALL_CUT;
        let rate = if target < held.rate && target + Ppm::new(small) >= held.rate {
            held.rate
        } else {
            target.min(held.rate + free.rate)
        };
        let tokens = self.tokens_for(ask, free);
        let room = self.room_for(rate, held, tokens, free);
        let tokens_milli = self.pool.remove(tokens);
        let slice = Slice::new(rate, room);
        let full = self.part.capacity.of(self.pool.quota().burst) * FULL;
        let wants_tokens = self.pool.tokens() < full;
        Grant { number: ask.number, slice, tokens_milli, lease: LEASE, wants_tokens }
    }

    /// Returns the thousandths of tokens to hand over: what is wanted, but at
    /// most half of the pool, so that the next borrower finds some.
    fn tokens_for(&self, ask: &SliceRequest, free: Slice) -> u64 {
        let room = free.capacity.of(self.pool.quota().burst);
        let most = (self.pool.tokens() * 0.8).max(self.pool.tokens().min(1.0)).min(room);
        ask.wanted_milli.min((most * 1e3) as u64)
    }

    fn room_for(&self, rate: Ppm, held: Slice, tokens_milli: u64, free: Slice) -> Ppm {
        let burst = self.pool.quota().burst;
        let extra = Ppm::from_fraction(tokens_milli as f64 / 1e3 / burst);
        let one = if tokens_milli > 0 { Ppm::new(1) } else { Ppm::ZERO };
        let wanted = rate.half().max(held.capacity + extra + one);
        wanted.min(held.capacity + free.capacity)
    }

    /// Returns the share of the rate that suits the borrower's demand.
    fn target(&self, vm: &VmId, now: Time) -> Ppm {
        let asked = &self.borrowers[vm];
        let lent = f64::from(self.part.rate.get()) / 1e6 * LENT;
        let local = self.needs(true, now);
        let (supply, wanted) = if asked.local {
            (lent, local)
        } else {
            ((lent - local).max(0.0), self.needs(false, now))
        };
        let scale = if wanted > supply { supply / wanted } else { 1.0 };
        let fair = self.need(asked) * scale;
        Ppm::from_fraction(fair * self.held_part(fair))
    }

    /// Returns how much of a share is worth holding.
    ///
    /// A VM whose share of the burst is a few tokens would often be full or
    /// empty, so that tokens are lost on one VM while requests are refused on
    /// another. Such a VM draws its tokens from the pool instead.
    fn held_part(&self, share: f64) -> f64 {
        let room = share * self.pool.quota().burst / 2.0;
        ((room - DRAWN_ROOM) / (HELD_ROOM - DRAWN_ROOM)).clamp(0.0, 1.0)
    }

    fn needs(&self, local: bool, now: Time) -> f64 {
        self.borrowers
            .values()
            .filter(|b| b.local == local && now.since(b.heard) < FRESH_DEMAND)
            .map(|b| self.need(b))
            .sum()
    }

    fn need(&self, borrower: &Borrower) -> f64 {
        let floor =
            if borrower.local { FLOOR * f64::from(self.part.rate.get()) / 1e6 } else { 0.0 };
        borrower.demand / self.pool.quota().rate * COVER + floor
    }
}
