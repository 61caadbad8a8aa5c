//! Token bucket whose slice of the account's rate and burst changes over time.

use std::time::Duration;

use crate::{share::slice::Slice, time::Time};

/// Rate and burst of a whole account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests that are admitted at once: the capacity of the bucket.
    pub burst: f64,
}

/// Tokens that one holder or keeper can spend.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    quota: Quota,
    tokens: f64,
    updated: Time,
}

impl Bucket {
    /// Creates an empty bucket.
    pub(crate) fn new(quota: Quota, now: Time) -> Self {
        Bucket { quota, tokens: 0.0, updated: now }
    }

    /// Creates a bucket that holds as many tokens as `slice` has capacity for.
    pub(crate) fn with_full(quota: Quota, slice: Slice, now: Time) -> Self {
        Bucket { quota, tokens: slice.capacity.of(quota.burst), updated: now }
    }

    /// Replaces the quota. The number of tokens stays until the next refill.
    pub(crate) fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
    }

    /// Adds the tokens that `slice` earned since the last call, up to its
    /// capacity.
    pub(crate) fn refill(&mut self, slice: Slice, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens += elapsed * slice.rate.of(self.quota.rate);
        self.clamp(slice);
    }

    /// Drops the tokens that exceed the capacity of `slice`.
    pub(crate) fn clamp(&mut self, slice: Slice) {
        self.tokens = self.tokens.min(slice.capacity.of(self.quota.burst));
    }

    /// Adds `milli` thousandths of a token, up to the capacity of `slice`.
    pub(crate) fn add(&mut self, milli: u64, slice: Slice) {
        self.tokens += milli as f64 / 1e3;
        self.clamp(slice);
    }

    /// Removes up to `milli` thousandths of a token and returns the number
    /// removed.
    pub(crate) fn remove(&mut self, milli: u64) -> u64 {
        let removed = milli.min((self.tokens.max(0.0) * 1e3) as u64);
        self.tokens -= removed as f64 / 1e3;
        removed
    }

    /// Spends one token, and returns whether one was available.
    pub(crate) fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns the number of tokens.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the quota of the whole account.
    pub(crate) fn quota(&self) -> Quota {
        self.quota
    }

    /// Returns the time until `count` tokens are available, or `None` if they
    /// never will be.
    pub(crate) fn wait(&self, count: f64, slice: Slice) -> Option<Duration> {
        let missing = (count - self.tokens).max(0.0);
        let rate = slice.rate.of(self.quota.rate);
        Duration::try_from_secs_f64(missing / rate).ok()
    }
}
