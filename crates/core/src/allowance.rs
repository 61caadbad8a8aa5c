//! Division of an account's token bucket over VMs.
//!
//! The bucket of an account refills in equal parts on a few VMs, its *keepers*. A VM
//! that needs more tokens than it holds requests some from a keeper. A keeper subtracts
//! tokens before it sends them, so a lost message loses tokens and never duplicates
//! them. A daemon starts with few tokens because it cannot know what was spent before.
//! Clocks of different VMs are never compared, and nothing is stored.
//!
//! Only whole tokens are granted, and a VM requests tokens ahead of need only if its
//! own callers will use them soon. Otherwise the bucket of a small account would be
//! scattered in fractions over VMs that receive no requests.

use std::{cmp::Reverse, time::Duration};

use crate::{
    id::{AccountId, VmId},
    rank::{rank, score},
    time::Time,
};

/// Maximum number of VMs on which the bucket of one account refills.
const MAX_KEEPERS: usize = 8;

/// Minimum number of keepers, so that the failure of one does not stop an account.
const MIN_KEEPERS: usize = 2;

/// One in this many VMs of a data centre may be a keeper.
const VMS_PER_KEEPER_CANDIDATE: usize = 10;

/// Minimum number of VMs of a data centre that may be keepers.
const MIN_KEEPER_POOL: usize = 3;

/// Maximum number of VMs of a data centre that may be keepers.
const MAX_KEEPER_POOL: usize = 36;

/// Maximum number of data centres over which an account with a small burst is spread.
const MAX_DATA_CENTRES: usize = 3;

/// Minimum burst of each keeper when an account is spread over data centres.
const MIN_SPREAD_BURST: f64 = 4.0;

/// An account gets one keeper per this many tokens of burst. In smaller parts a bucket
/// rarely holds a whole token.
const BURST_PER_KEEPER: f64 = 6.0;

/// Span of future demand for which a VM requests tokens ahead of need.
const PREFETCH_SPAN: Duration = Duration::from_millis(400);

/// Span of the rate that a keeper may spend when it starts. A restart takes longer than
/// this, and a process that is down spends nothing.
const STARTUP_SPAN: Duration = Duration::from_millis(250);

/// Extra tokens that all keepers of an account together may spend when they start, so
/// that callers that reconnect are not refused because the bucket is still empty.
const STARTUP_TOKENS: f64 = 6.0;

/// Span of its own demand for which a keeper retains tokens instead of granting them.
const RESERVED_SPAN: Duration = Duration::from_millis(100);

/// Time to wait for the answer of a keeper before another keeper is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause of requests after every keeper had no tokens to grant.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(40);

/// Time constant with which the measured demand decays.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Returns the VMs of one data centre that may be keepers.
///
/// They are few, so that each VM can stay connected to them and need not dial one while
/// a request waits.
pub fn keeper_pool(vms: &[VmId]) -> Vec<VmId> {
    let count = (vms.len() / VMS_PER_KEEPER_CANDIDATE).clamp(MIN_KEEPER_POOL, MAX_KEEPER_POOL);
    rank("keeper", vms, count).into_iter().cloned().collect()
}

/// Returns the keepers of `account`: the VMs on which its bucket refills. `data_centres`
/// holds the VMs of each data centre.
///
/// The keepers are spread over data centres, so that a data centre that is cut off
/// removes only its own part of the rate.
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
    let spread = data_centres.len().min(MAX_DATA_CENTRES).min(wanted(MIN_SPREAD_BURST));
    let count = wanted(BURST_PER_KEEPER).max(spread).clamp(MIN_KEEPERS, MAX_KEEPERS);
    let ranked = |vms: &Vec<VmId>| -> Vec<VmId> {
        rank(account.as_str(), &keeper_pool(vms), count).into_iter().cloned().collect()
    };
    let mut ranked: Vec<Vec<VmId>> = data_centres.iter().map(ranked).collect();
    // Data centres are ordered by the rank of their first VM.
    let order = |vms: &Vec<VmId>| vms.first().map(|vm| score(account.as_str(), vm.as_str()));
    ranked.sort_by_key(|vms| Reverse(order(vms)));
    let interleaved = (0..count).flat_map(|i| ranked.iter().filter_map(move |vms| vms.get(i)));
    interleaved.take(count).cloned().collect()
}

/// The tokens of one account's rate that one VM holds.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, allowance::TokenBalance};
///
/// let mut balance = TokenBalance::new(Time::default());
/// balance.set_limits(2.0, 50.0, 1, Time::default());
/// assert_eq!(balance.tokens(), 6.5, "a keeper starts with a few tokens");
/// while balance.take(Time::default()) {}
/// assert!(balance.take(Time::from_millis(300)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBalance {
    tokens: f64,
    /// Tokens that are added per second.
    refill_rate: f64,
    /// Number of tokens from which on none are added.
    capacity: f64,
    started: bool,
    last_fill: Time,
    /// Requests per second, averaged over about [`DEMAND_TIME_CONSTANT`].
    demand: f64,
    asked: Option<Time>,
    /// Consecutive keepers that had no tokens to grant.
    empty_answers: usize,
    paused_until: Time,
}

impl TokenBalance {
    /// Creates an empty balance that does not refill.
    pub fn new(now: Time) -> Self {
        TokenBalance {
            tokens: 0.0,
            refill_rate: 0.0,
            capacity: 0.0,
            started: false,
            last_fill: now,
            demand: 0.0,
            asked: None,
            empty_answers: 0,
            paused_until: now,
        }
    }

    /// Sets the rate in tokens per second and the burst of the whole account, and the
    /// number of `keepers` that share them; 0 if this VM is not a keeper.
    pub fn set_limits(&mut self, rate: f64, burst: f64, keepers: usize, now: Time) {
        self.refill(now);
        let part = if keepers == 0 { 0.0 } else { 1.0 / keepers as f64 };
        let capacity = burst * part;
        if capacity < self.capacity {
            self.tokens = self.tokens.min(capacity);
        }
        self.refill_rate = rate * part;
        self.capacity = capacity;
        if keepers > 0 && !std::mem::replace(&mut self.started, true) {
            let initial = self.refill_rate * STARTUP_SPAN.as_secs_f64() + STARTUP_TOKENS * part;
            self.tokens = (self.tokens + initial).min(capacity);
        }
    }

    /// Takes one token for a request; returns false if no whole token is left.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let spent = self.tokens >= 1.0;
        if spent {
            self.tokens -= 1.0;
        }
        spent
    }

    /// Records a request of a caller, whether it is admitted or not.
    pub fn record_demand(&mut self, now: Time) {
        self.refill(now);
        self.demand += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
    }

    /// Returns the number of tokens left, as of the last call with a time.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the number of tokens to request from a keeper now, if any. `waiting` is
    /// the number of callers' requests that wait for a token.
    pub fn next_request(&mut self, waiting: usize, now: Time) -> Option<f64> {
        self.refill(now);
        let waits = self.asked.is_some_and(|asked| now.since(asked) < ASK_TIMEOUT);
        let ahead = (self.demand * PREFETCH_SPAN.as_secs_f64()).floor();
        let wanted = (waiting as f64 + ahead - self.tokens).ceil();
        if waits || now < self.paused_until || wanted < 1.0 {
            return None;
        }
        self.asked = Some(now);
        Some(wanted)
    }

    /// Removes up to `wanted` whole tokens for another VM and returns their number.
    pub fn grant(&mut self, wanted: f64, now: Time) -> f64 {
        self.refill(now);
        let spare = self.tokens - self.demand.min(self.refill_rate) * RESERVED_SPAN.as_secs_f64();
        let granted = wanted.min(spare).floor().max(0.0);
        self.tokens -= granted;
        granted
    }

    /// Adds the tokens that a keeper granted. `keepers` is the number of keepers that
    /// can be asked; after that many empty answers in a row, requests pause.
    pub fn receive(&mut self, tokens: f64, keepers: usize, now: Time) {
        self.refill(now);
        self.asked = None;
        self.tokens += tokens;
        self.empty_answers = if tokens > 0.0 { 0 } else { self.empty_answers + 1 };
        if self.empty_answers >= keepers.max(1) {
            self.empty_answers = 0;
            self.paused_until = now + EXHAUSTED_PAUSE;
        }
    }

    /// Records that the last request could not be sent to a keeper, so that the next one
    /// need not wait.
    pub fn cancel_request(&mut self) {
        self.asked = None;
    }

    fn refill(&mut self, now: Time) {
        let span = now.since(self.last_fill).as_secs_f64();
        self.last_fill = self.last_fill.max(now);
        self.demand *= (-span / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let gained = self.refill_rate * span;
        // Granted tokens may exceed the capacity; they stay, but none are added.
        if self.tokens < self.capacity {
            self.tokens = (self.tokens + gained).min(self.capacity);
        }
    }
}
