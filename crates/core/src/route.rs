//! Choice of a backend server for a batch of statements.
//!
//! A VM has one [`Estimates`] for each database group. It is updated from the positions
//! in answers, without extra messages. A position of the primary shows when the log
//! reached it, and a position of a replica shows how far the replica lags behind.
//!
//! Estimates only decide which server a read tries first. Whether that server is fresh
//! enough is checked by [`GroupView::covers`] on the VM that runs the read on it.

use std::{cmp::Ordering, collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use rand::Rng;

use crate::{
    average::Average,
    id::ServerId,
    position::{Position, Term},
    time::Time,
    view::GroupView,
};

/// Maximum number of samples of the growing log that are stored.
const MAX_SAMPLES: usize = 256;

/// Minimum time between two samples, in microseconds.
const MIN_SAMPLE_SPACING_US: u64 = 500;

/// Extra time that a read may take on a replica before the primary is preferred, in
/// microseconds. All writes need the slots of the primary, so reads spare them.
const PRIMARY_RESERVE_US: u64 = 50_000;

/// Assumed response time within a data centre while none is known, in microseconds.
const NEAR_RESPONSE_US: u64 = 500;

/// Assumed response time of other data centres while none is known, in microseconds.
const FAR_RESPONSE_US: u64 = 2_000;

/// Resolution of expected times, in microseconds. Closer times count as equal.
const TIME_RESOLUTION_US: u64 = 2_000;

/// Minimum time that a server is avoided after a failure, in milliseconds.
const MIN_AVOIDANCE_MS: u64 = 50;

/// Maximum time that a server is avoided after failures, in milliseconds.
const MAX_AVOIDANCE_MS: u64 = 1_000;

/// Consecutive misses of a position after which a replica is avoided.
const MISSES_BEFORE_AVOIDED: u32 = 6;

/// Minimum time that a replica gets to catch up, in microseconds.
const MIN_CATCH_UP_US: u64 = 5_000;

/// Maximum time that a replica gets to catch up, in microseconds.
const MAX_CATCH_UP_US: u64 = 120_000;

/// A backend server that may be chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it runs in the data centre of the VM that chooses.
    pub near: bool,
    /// Whether its whole data centre is unreachable. The server is then tried last.
    pub unreachable: bool,
}

/// A backend server to try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it is the primary.
    pub primary: bool,
    /// Expected time until the server reaches the required position.
    pub expected_wait: Duration,
    /// Maximum time to wait for the server to reach that position.
    pub max_wait: Duration,
    /// Whether it recently failed, missed positions, or is in an unreachable data centre.
    pub avoided: bool,
}

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent.
    Send,
    /// The server failed recently; nothing is sent to it before this time.
    Wait(Time),
}

#[derive(Clone, Copy, Debug)]
struct LogSample {
    position: Position,
    time: Time,
}

#[derive(Clone, Debug, Default)]
struct Estimate {
    applied: Position,
    lag: Duration,
    response_time: Average,
    failures: u32,
    misses: u32,
    avoided_until: Time,
}

/// A VM's estimates of how fast and how fresh the servers of one group are.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    servers: IndexMap<ServerId, Estimate>,
    samples: VecDeque<LogSample>,
    term: Term,
}

impl Estimates {
    /// Creates estimates without any observations.
    pub fn new() -> Self {
        Estimates::default()
    }

    /// Records that the log of the group had reached `position`.
    pub fn record_position(&mut self, position: Position, now: Time) {
        if let Some(last) = self.samples.back_mut() {
            if position <= last.position {
                return;
            }
            // A sample that is moved to a later position keeps its earlier time. This
            // overestimates lags by the spacing at most.
            if now.since(last.time) < Duration::from_micros(MIN_SAMPLE_SPACING_US) {
                last.position = position;
                return;
            }
        }
        self.samples.push_back(LogSample { position, time: now });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the newest position that the log is known to have reached.
    pub fn newest(&self) -> Option<Position> {
        self.samples.back().map(|sample| sample.position)
    }

    /// Records that a replica had applied `position` at some time between `since` and
    /// `until`.
    ///
    /// The first sample of the log that the replica had not applied yet is a lower bound
    /// of its lag, and the last sample that it had applied is an upper bound. The
    /// estimate changes as little as these bounds allow.
    pub fn record_applied(
        &mut self,
        server: &ServerId,
        position: Position,
        since: Time,
        until: Time,
    ) {
        let missing = self.samples.iter().find(|sample| sample.position > position);
        let applied = self.samples.iter().rev().find(|sample| sample.position <= position);
        let least = missing.map_or(Duration::ZERO, |sample| since.since(sample.time));
        let most = applied.map_or(Duration::MAX, |sample| until.since(sample.time)).max(least);
        let estimate = self.estimate(server);
        estimate.applied = estimate.applied.max(position);
        estimate.lag = estimate.lag.clamp(least, most);
    }

    /// Records that a server answered, and clears its failures and misses.
    ///
    /// `took` is the response time if it is representative of the server's speed.
    pub fn record_answer(&mut self, server: &ServerId, took: Option<Duration>) {
        let estimate = self.estimate(server);
        took.into_iter().for_each(|took| estimate.response_time.add(took));
        estimate.failures = 0;
        estimate.misses = 0;
        estimate.avoided_until = Time::default();
    }

    /// Records that a replica did not reach a position in time.
    ///
    /// The first few misses in a row only show that it lags. A replica that keeps missing
    /// positions is tried last for a while.
    pub fn record_miss(&mut self, server: &ServerId, now: Time) {
        let estimate = self.estimate(server);
        estimate.misses = estimate.misses.saturating_add(1);
        if let Some(excess) = estimate.misses.checked_sub(MISSES_BEFORE_AVOIDED) {
            estimate.avoided_until = estimate.avoided_until.max(now + avoidance_time(excess));
        }
    }

    /// Records that a server could not serve a request. The server is avoided for a time
    /// that doubles with every consecutive failure.
    pub fn record_failure(&mut self, server: &ServerId, now: Time) {
        let estimate = self.estimate(server);
        // Failures of concurrent requests count as one.
        if estimate.avoided_until > now {
            return;
        }
        estimate.avoided_until = now + avoidance_time(estimate.failures);
        estimate.failures = estimate.failures.saturating_add(1);
    }

    /// Returns whether a request may be sent to `server` now.
    ///
    /// Once a server is no longer avoided, one request may probe it. The other requests wait
    /// for another avoidance time.
    pub fn permit(&mut self, server: &ServerId, now: Time) -> Permit {
        let estimate = self.estimate(server);
        if estimate.failures == 0 {
            return Permit::Send;
        }
        if now < estimate.avoided_until {
            return Permit::Wait(estimate.avoided_until);
        }
        estimate.avoided_until = now + avoidance_time(estimate.failures);
        Permit::Send
    }

    /// Clears the failures of the primary if `view` has a newer term than the views before.
    pub fn apply_view(&mut self, view: &GroupView) {
        if view.term <= self.term {
            return;
        }
        let Some(primary) = &view.primary else { return };
        self.term = view.term;
        let estimate = self.estimate(primary);
        estimate.failures = 0;
        estimate.avoided_until = Time::default();
    }

    /// Returns the servers to try for a read that needs the position `needed`, best first.
    ///
    /// Servers are ordered by expected time, which is the response time plus the time
    /// until the replica reaches the position. Among equal times a server in the same data
    /// centre comes first; beyond that the order is random. Servers that failed recently and
    /// those in unreachable data centres come last.
    pub fn choose(
        &self,
        view: &GroupView,
        candidates: &[Candidate],
        needed: Option<Position>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Choice> {
        let mut scored: Vec<_> = candidates
            .iter()
            .map(|candidate| (self.score(view, candidate, needed, now), rng.next_u32(), candidate))
            .collect();
        scored.sort_by(|a, b| a.0.order(&b.0).then(a.1.cmp(&b.1)));
        scored.into_iter().map(|(score, _, candidate)| score.choice(&candidate.server)).collect()
    }

    fn score(
        &self,
        view: &GroupView,
        candidate: &Candidate,
        needed: Option<Position>,
        now: Time,
    ) -> Score {
        let primary = view.primary.as_ref() == Some(&candidate.server);
        let estimate = self.servers.get(&candidate.server);
        let assumed = micros(assumed_response(candidate.near));
        let response_time = estimate.and_then(|e| e.response_time.get()).map_or(assumed, micros);
        let wait = match needed {
            Some(needed) if !primary => micros(self.wait(view, estimate, needed, now)),
            _ => 0,
        };
        let reserve = if primary { PRIMARY_RESERVE_US } else { 0 };
        let avoided = candidate.unreachable || estimate.is_some_and(|e| now < e.avoided_until);
        let lag = estimate.map_or(0, |estimate| micros(estimate.lag));
        let time = response_time + wait + reserve;
        Score { avoided, time, near: candidate.near, primary, wait, lag }
    }

    /// Returns the expected time until a replica has applied `needed`.
    fn wait(
        &self,
        view: &GroupView,
        estimate: Option<&Estimate>,
        needed: Position,
        now: Time,
    ) -> Duration {
        let Some(estimate) = estimate else { return Duration::ZERO };
        if view.covers(estimate.applied, needed) {
            return Duration::ZERO;
        }
        let sample = self.samples.iter().find(|sample| sample.position >= needed);
        let written = sample.map_or(now, |sample| sample.time);
        (written + estimate.lag).since(now)
    }

    fn estimate(&mut self, server: &ServerId) -> &mut Estimate {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), Estimate::default());
        }
        &mut self.servers[server]
    }
}

struct Score {
    avoided: bool,
    time: u64,
    near: bool,
    primary: bool,
    wait: u64,
    lag: u64,
}

impl Score {
    fn order(&self, other: &Score) -> Ordering {
        let key = |score: &Score| (score.avoided, score.time / TIME_RESOLUTION_US, !score.near);
        key(self).cmp(&key(other))
    }

    fn choice(&self, server: &ServerId) -> Choice {
        let max_wait = (self.wait * 2 + self.lag).clamp(MIN_CATCH_UP_US, MAX_CATCH_UP_US);
        Choice {
            server: server.clone(),
            primary: self.primary,
            expected_wait: Duration::from_micros(self.wait),
            max_wait: Duration::from_micros(max_wait),
            avoided: self.avoided,
        }
    }
}

/// Returns the response time that is assumed of a server while none is known.
pub fn assumed_response(near: bool) -> Duration {
    Duration::from_micros(if near { NEAR_RESPONSE_US } else { FAR_RESPONSE_US })
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 4).min(u64::MAX / 4)
}

fn avoidance_time(failures: u32) -> Duration {
    let doubled = MIN_AVOIDANCE_MS.saturating_mul(1 << failures.min(10));
    Duration::from_millis(doubled.min(MAX_AVOIDANCE_MS))
}

#[cfg(test)]
mod tests;
