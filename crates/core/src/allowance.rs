//! Tokens of an account's rate that VMs hand to one another.
//!
//! The bucket of an account fills up in equal parts on a few VMs, its keepers.
//! A VM whose callers ask for more than it has asks a keeper for some. A keeper
//! subtracts before it sends, so that a lost message loses tokens and never
//! doubles them; and a daemon starts with few, since it cannot know what was spent
//! before. No clock is compared and nothing is stored.
//!
//! Only whole tokens are handed over, and a VM holds some ahead only where its own
//! callers will use them soon: the bucket of a small account would else lie in
//! fractions on VMs that nobody asks.

use std::{cmp::Reverse, time::Duration};

use crate::{
    id::{AccountId, VmId},
    rank::{rank, score},
    time::Time,
};

/// Most VMs on which the bucket of one account fills up.
const MAX_KEEPERS: usize = 8;

/// Least number of keepers, so that an account outlives one of them.
const LEAST_KEEPERS: usize = 2;

/// VMs of a data centre for one that may be a keeper.
const VMS_PER_KEEPER: usize = 6;

/// Least number of VMs of a data centre that may be keepers.
const LEAST_POOL: usize = 3;

/// Most VMs of a data centre that may be keepers.
const MOST_POOL: usize = 36;

/// Data centres over which an account with a small burst is spread at most.
const MOST_SPREAD: usize = 3;

/// Least burst of one keeper for the sake of that.
const LEAST_BURST: f64 = 4.0;

/// Burst for which one keeper is worth its while: in smaller parts a bucket
/// rarely holds a whole token.
const BURST_PER_KEEPER: f64 = 6.0;

/// Span of demand for which a VM holds tokens ahead.
const AHEAD: Duration = Duration::from_millis(400);

/// Span of the rate that a keeper may spend when it starts: a process is down for
/// longer before it starts again, and spends nothing meanwhile.
const OPENING: Duration = Duration::from_millis(250);

/// Tokens that all keepers of an account together may spend beyond that when they
/// start, so that callers that come back are not refused for want of a bucket.
const OPENING_TOKENS: f64 = 6.0;

/// Span of demand that a keeper does not give away.
const RESERVE: Duration = Duration::from_millis(100);

/// Time to wait for the answer of a keeper before another one is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause after every keeper had nothing to give.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(40);

/// Time constant of the measured demand.
const DEMAND_SPAN: Duration = Duration::from_millis(1_000);

/// Returns the VMs of one data centre that may be keepers. They are few, so that each
/// VM can stay linked to them and need not dial one when a request waits.
pub fn keeper_pool(vms: &[VmId]) -> Vec<VmId> {
    let count = (vms.len() / VMS_PER_KEEPER).clamp(LEAST_POOL, MOST_POOL);
    rank("keeper", vms, count).into_iter().cloned().collect()
}

/// Returns the VMs on which the bucket of `account` fills up, among the VMs of each
/// data centre.
///
/// They are spread over data centres, so that one that is cut off takes no more than
/// its part of the rate along.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{AccountId, VmId, allowance::keepers};
///
/// let vm = |name: &str| name.parse::<VmId>();
/// let account: AccountId = "press-line".parse()?;
/// let data_centres = [vec![vm("a1")?, vm("a2")?], vec![vm("b1")?, vm("b2")?]];
/// let keepers = keepers(&account, 12.0, &data_centres);
/// assert_eq!(keepers.len(), 2);
/// assert_ne!(keepers[0].as_str()[..1], keepers[1].as_str()[..1]);
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
pub fn keepers(account: &AccountId, burst: f64, data_centres: &[Vec<VmId>]) -> Vec<VmId> {
    let wanted = |burst_each: f64| (burst / burst_each) as usize;
    let spread = data_centres.len().min(MOST_SPREAD).min(wanted(LEAST_BURST));
    let count = wanted(BURST_PER_KEEPER).max(spread).clamp(LEAST_KEEPERS, MAX_KEEPERS);
    let ranked = |vms: &Vec<VmId>| -> Vec<VmId> {
        rank(account.as_str(), &keeper_pool(vms), count).into_iter().cloned().collect()
    };
    let mut ranked: Vec<Vec<VmId>> = data_centres.iter().map(ranked).collect();
    // The data centre of the VM that ranks first comes first.
    let order = |vms: &Vec<VmId>| vms.first().map(|vm| score(account.as_str(), vm.as_str()));
    ranked.sort_by_key(|vms| Reverse(order(vms)));
    let turns = (0..count).flat_map(|turn| ranked.iter().filter_map(move |vms| vms.get(turn)));
    turns.take(count).cloned().collect()
}

/// The tokens of one account on one VM.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, allowance::TokenBalance};
///
/// let mut purse = TokenBalance::new(Time::default());
/// purse.set_limits(2.0, 50.0, 1, Time::default());
/// assert_eq!(purse.tokens(), 6.5, "a few tokens to start with");
/// while purse.take(Time::default()) {}
/// assert!(purse.take(Time::from_millis(300)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBalance {
    tokens: f64,
    /// Tokens that this VM gains a second.
    gain: f64,
    /// Tokens above which it gains no more.
    room: f64,
    opened: bool,
    filled: Time,
    demand: f64,
    asked: Option<Time>,
    /// Keepers in a row that had nothing to give.
    empty: usize,
    quiet: Time,
}

impl TokenBalance {
    /// Makes an empty purse that gains nothing.
    pub fn new(now: Time) -> Self {
        TokenBalance {
            tokens: 0.0,
            gain: 0.0,
            room: 0.0,
            opened: false,
            filled: now,
            demand: 0.0,
            asked: None,
            empty: 0,
            quiet: now,
        }
    }

    /// Sets rate and burst of the account, split over `keepers`; 0 when this VM
    /// is none of them.
    pub fn set_limits(&mut self, rate: f64, burst: f64, keepers: usize, now: Time) {
        self.fill(now);
        let part = if keepers == 0 { 0.0 } else { 1.0 / keepers as f64 };
        let room = burst * part;
        if room < self.room {
            self.tokens = self.tokens.min(room);
        }
        self.gain = rate * part;
        self.room = room;
        if keepers > 0 && !std::mem::replace(&mut self.opened, true) {
            let opening = self.gain * OPENING.as_secs_f64() + OPENING_TOKENS * part;
            self.tokens = (self.tokens + opening).min(room);
        }
    }

    /// Takes one token for a request; returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        let spent = self.tokens >= 1.0;
        if spent {
            self.tokens -= 1.0;
        }
        spent
    }

    /// Notes a request of a caller, whether it is admitted or not.
    pub fn record_demand(&mut self, now: Time) {
        self.fill(now);
        self.demand += 1.0 / DEMAND_SPAN.as_secs_f64();
    }

    /// Returns how many tokens are left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the tokens to ask a keeper for now, if any, while `waiting` requests
    /// of callers have none.
    pub fn next_request(&mut self, waiting: usize, now: Time) -> Option<f64> {
        self.fill(now);
        let waits = self.asked.is_some_and(|asked| now.since(asked) < ASK_TIMEOUT);
        let ahead = (self.demand * AHEAD.as_secs_f64()).floor();
        let wanted = (waiting as f64 + ahead - self.tokens).ceil();
        if waits || now < self.quiet || wanted < 1.0 {
            return None;
        }
        self.asked = Some(now);
        Some(wanted)
    }

    /// Takes out up to `wanted` whole tokens for another VM.
    pub fn grant(&mut self, wanted: f64, now: Time) -> f64 {
        self.fill(now);
        let spare = self.tokens - self.demand.min(self.gain) * RESERVE.as_secs_f64();
        let lent = wanted.min(spare).floor().max(0.0);
        self.tokens -= lent;
        lent
    }

    /// Takes in the tokens that a keeper gave, out of `keepers` that could be
    /// asked.
    pub fn receive(&mut self, tokens: f64, keepers: usize, now: Time) {
        self.fill(now);
        self.asked = None;
        self.tokens += tokens;
        self.empty = if tokens > 0.0 { 0 } else { self.empty + 1 };
        if self.empty >= keepers.max(1) {
            self.empty = 0;
            self.quiet = now + EXHAUSTED_PAUSE;
        }
    }

    /// Takes note that a keeper could not be asked.
    pub fn cancel_request(&mut self) {
        self.asked = None;
    }

    fn fill(&mut self, now: Time) {
        let span = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.demand *= (-span / DEMAND_SPAN.as_secs_f64()).exp();
        let gained = self.gain * span;
        // Tokens that were handed over may exceed the room; they are kept but
        // nothing is added to them.
        if self.tokens < self.room {
            self.tokens = (self.tokens + gained).min(self.room);
        }
    }
}
