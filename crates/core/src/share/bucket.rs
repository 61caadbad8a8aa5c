//! A token bucket over a slice that changes.

use std::time::Duration;

use crate::{share::slice::Slice, time::Time};

/// Rate and burst of a whole account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// Tokens that one place may spend.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    quota: Quota,
    tokens: f64,
    settled: Time,
}

impl Bucket {
    /// Makes an empty bucket.
    pub(crate) fn new(quota: Quota, now: Time) -> Self {
        Bucket { quota, tokens: 0.0, settled: now }
    }

    /// Makes a bucket that is full for `slice`.
    pub(crate) fn with_full(quota: Quota, slice: Slice, now: Time) -> Self {
        Bucket { quota, tokens: slice.capacity.of(quota.burst), settled: now }
    }

    /// Replaces the quota; the tokens stay until the next settling.
    pub(crate) fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
    }

    /// Adds what `slice` earned since the last call, up to its room.
    pub(crate) fn settle(&mut self, slice: Slice, now: Time) {
        let elapsed = now.since(self.settled).as_secs_f64();
        self.settled = self.settled.max(now);
        self.tokens += elapsed * slice.rate.of(self.quota.rate);
        self.clamp(slice);
    }

    /// Drops the tokens for which `slice` has no room.
    pub(crate) fn clamp(&mut self, slice: Slice) {
        self.tokens = self.tokens.min(slice.capacity.of(self.quota.burst));
    }

    /// Adds tokens in thousandths, up to the room of `slice`.
    pub(crate) fn add(&mut self, milli: u64, slice: Slice) {
        self.tokens += milli as f64 / 1e3;
        self.clamp(slice);
    }

    /// Removes up to `milli` thousandths and returns how many were removed.
    pub(crate) fn remove(&mut self, milli: u64) -> u64 {
        let removed = milli.min((self.tokens.max(0.0) * 1e3) as u64);
        self.tokens -= removed as f64 / 1e3;
        removed
    }

    /// Spends one token if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns the tokens.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the quota.
    pub(crate) fn quota(&self) -> Quota {
        self.quota
    }

    /// Returns when `count` tokens will be there, or `None` for never.
    pub(crate) fn wait(&self, count: f64, slice: Slice) -> Option<Duration> {
        let missing = (count - self.tokens).max(0.0);
        let rate = slice.rate.of(self.quota.rate);
        Duration::try_from_secs_f64(missing / rate).ok()
    }
}
