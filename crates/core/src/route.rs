//! Choice of a backend server for a batch of statements.
//!
//! A VM keeps one [`Estimates`] for each database group. It learns from the
//! positions that answers carry, without messages of its own: a position of the
//! primary marks when the log reached it, and a position of a replica shows how
//! far behind those marks the replica is.
//!
//! Estimates decide only where a read is tried first. Whether a server is fresh
//! enough is checked where it runs, by [`GroupView::covers`].

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

/// Marks kept of the growing log.
const MAX_MARKS: usize = 256;

/// Least time between two marks, in microseconds.
const MARK_SPACING_US: u64 = 500;

/// Extra time that a read may take on a replica before it goes to the primary,
/// whose slots all writes need, in microseconds.
const PRIMARY_RESERVE_US: u64 = 50_000;

/// Assumed time of an answer in the same data centre, in microseconds.
const NEAR_US: u64 = 500;

/// Assumed time of an answer from another data centre, in microseconds.
const FAR_US: u64 = 2_000;

/// Expected times closer than this count as equal, in microseconds.
const BUCKET_US: u64 = 2_000;

/// Shortest time that a server is avoided after a failure, in milliseconds.
const MIN_SUSPENSION_MS: u64 = 50;

/// Longest time that a server is avoided after failures, in milliseconds.
const MAX_SUSPENSION_MS: u64 = 1_000;

/// Times in a row that a replica may miss a position before it is avoided.
const MISSES_ALLOWED: u32 = 6;

/// Shortest time given to a replica to catch up, in microseconds.
const MIN_PATIENCE_US: u64 = 5_000;

/// Longest time given to a replica to catch up, in microseconds.
const MAX_PATIENCE_US: u64 = 120_000;

/// A server that may be chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it runs in the data centre of the choosing VM.
    pub near: bool,
    /// Whether nothing in its data centre can be reached; it is then tried last.
    pub unreachable: bool,
}

/// A server to try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it is the primary.
    pub primary: bool,
    /// Time that it is expected to take to reach the needed position.
    pub expected_wait: Duration,
    /// Time that it may take for that.
    pub max_wait: Duration,
}

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent.
    Send,
    /// The server failed lately; nothing is sent before this time.
    Wait(Time),
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    position: Position,
    time: Time,
}

#[derive(Clone, Debug, Default)]
struct Estimate {
    applied: Position,
    lag: Duration,
    cost: Average,
    failures: u32,
    misses: u32,
    suspended: Time,
}

/// What one VM has learned of the servers of one group.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    servers: IndexMap<ServerId, Estimate>,
    marks: VecDeque<Mark>,
    term: Term,
}

impl Estimates {
    /// Makes estimates that know nothing.
    pub fn new() -> Self {
        Estimates::default()
    }

    /// Records that the log of the group had reached `position`.
    pub fn record_position(&mut self, position: Position, now: Time) {
        if let Some(last) = self.marks.back_mut() {
            if position <= last.position {
                return;
            }
            // A mark that is moved up keeps its earlier time, which makes lags
            // seem larger by the spacing at most.
            if now.since(last.time) < Duration::from_micros(MARK_SPACING_US) {
                last.position = position;
                return;
            }
        }
        self.marks.push_back(Mark { position, time: now });
        if self.marks.len() > MAX_MARKS {
            self.marks.pop_front();
        }
    }

    /// Returns the newest position that the log is known to have reached.
    pub fn newest(&self) -> Option<Position> {
        self.marks.back().map(|mark| mark.position)
    }

    /// Records that a replica had applied `position` at some time between
    /// `since` and `until`.
    ///
    /// The first mark that it had not applied yet bounds its lag from below,
    /// and the last one that it had applied bounds it from above. The estimate
    /// moves as little as these bounds allow.
    pub fn record_applied(
        &mut self,
        server: &ServerId,
        position: Position,
        since: Time,
        until: Time,
    ) {
        let missing = self.marks.iter().find(|mark| mark.position > position);
        let shown = self.marks.iter().rev().find(|mark| mark.position <= position);
        let least = missing.map_or(Duration::ZERO, |mark| since.since(mark.time));
        let most = shown.map_or(Duration::MAX, |mark| until.since(mark.time)).max(least);
        let estimate = self.estimate(server);
        estimate.applied = estimate.applied.max(position);
        estimate.lag = estimate.lag.clamp(least, most);
    }

    /// Records that a server answered, and forgets its failures. `took` is the
    /// time of the answer, where that tells how quick the server is.
    pub fn record_answer(&mut self, server: &ServerId, took: Option<Duration>) {
        let estimate = self.estimate(server);
        took.into_iter().for_each(|took| estimate.cost.add(took));
        estimate.failures = 0;
        estimate.misses = 0;
        estimate.suspended = Time::default();
    }

    /// Records that a replica did not reach a position in time.
    ///
    /// A few times in a row this only makes its lag known. A replica that goes
    /// on missing is tried last for a while.
    pub fn record_miss(&mut self, server: &ServerId, now: Time) {
        let estimate = self.estimate(server);
        estimate.misses = estimate.misses.saturating_add(1);
        if let Some(excess) = estimate.misses.checked_sub(MISSES_ALLOWED) {
            estimate.suspended = estimate.suspended.max(now + suspension(excess));
        }
    }

    /// Records that a server could not serve a request, and avoids it for a
    /// time that doubles with every failure in a row.
    pub fn record_failure(&mut self, server: &ServerId, now: Time) {
        let estimate = self.estimate(server);
        // Requests that were under way together count as one failure.
        if estimate.suspended > now {
            return;
        }
        estimate.suspended = now + suspension(estimate.failures);
        estimate.failures = estimate.failures.saturating_add(1);
    }

    /// Tells whether a request may be sent to `server` now.
    ///
    /// After a suspension one request is let through to probe the server, and
    /// the others wait for another suspension.
    pub fn permit(&mut self, server: &ServerId, now: Time) -> Permit {
        let estimate = self.estimate(server);
        if estimate.failures == 0 {
            return Permit::Send;
        }
        if now < estimate.suspended {
            return Permit::Wait(estimate.suspended);
        }
        estimate.suspended = now + suspension(estimate.failures);
        Permit::Send
    }

    /// Takes note of a view: the primary of a new term starts without failures.
    pub fn apply_view(&mut self, view: &GroupView) {
        if view.term <= self.term {
            return;
        }
        let Some(primary) = &view.primary else { return };
        self.term = view.term;
        let estimate = self.estimate(primary);
        estimate.failures = 0;
        estimate.suspended = Time::default();
    }

    /// Returns the servers to try for a read that needs `needed`, best first.
    ///
    /// The order is by expected time: the answer itself, and the time until the
    /// replica reaches the position. Equal times go to the nearer server, then
    /// by chance. Servers that failed lately come last.
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
        let assumed = if candidate.near { NEAR_US } else { FAR_US };
        let cost = estimate.and_then(|e| e.cost.get()).map_or(assumed, micros);
        let wait = match needed {
            Some(needed) if !primary => micros(self.wait(view, estimate, needed, now)),
            _ => 0,
        };
        let reserve = if primary { PRIMARY_RESERVE_US } else { 0 };
        let suspended = candidate.unreachable || estimate.is_some_and(|e| now < e.suspended);
        let lag = estimate.map_or(0, |estimate| micros(estimate.lag));
        let time = cost + wait + reserve;
        Score { suspended, time, near: candidate.near, primary, wait, lag }
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
        let mark = self.marks.iter().find(|mark| mark.position >= needed);
        let written = mark.map_or(now, |mark| mark.time);
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
    suspended: bool,
    time: u64,
    near: bool,
    primary: bool,
    wait: u64,
    lag: u64,
}

impl Score {
    fn order(&self, other: &Score) -> Ordering {
        let key = |score: &Score| (score.suspended, score.time / BUCKET_US, !score.near);
        key(self).cmp(&key(other))
    }

    fn choice(&self, server: &ServerId) -> Choice {
        let patience = (self.wait * 2 + self.lag).clamp(MIN_PATIENCE_US, MAX_PATIENCE_US);
        Choice {
            server: server.clone(),
            primary: self.primary,
            expected_wait: Duration::from_micros(self.wait),
            max_wait: Duration::from_micros(patience),
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 4).min(u64::MAX / 4)
}

fn suspension(failures: u32) -> Duration {
    let doubled = MIN_SUSPENSION_MS.saturating_mul(1 << failures.min(10));
    Duration::from_millis(doubled.min(MAX_SUSPENSION_MS))
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::StdRng};

    use super::*;
    use crate::position::Lsn;

    fn server(name: &str) -> ServerId {
        name.parse().expect("a valid name")
    }

    fn at(lsn: u64) -> Position {
        Position::new(Term::new(1), Lsn::new(lsn))
    }

    fn view() -> GroupView {
        let mut view = GroupView::new("orders".parse().expect("a valid name"));
        view.term = Term::new(1);
        view.primary = Some(server("p"));
        view
    }

    fn candidates() -> Vec<Candidate> {
        [("p", false), ("near", true), ("far", false)]
            .map(|(name, near)| Candidate { server: server(name), near, unreachable: false })
            .to_vec()
    }

    fn first(estimates: &Estimates, needed: Option<Position>, now: Time) -> String {
        let mut rng = StdRng::seed_from_u64(1);
        let order = estimates.choose(&view(), &candidates(), needed, now, &mut rng);
        order[0].server.to_string()
    }

    /// Estimates whose near replica lags by `lag_ms` when position 10 is written.
    fn lagging(lag_ms: u64) -> Estimates {
        let mut estimates = Estimates::new();
        estimates.record_position(at(1), Time::from_millis(0));
        estimates.record_position(at(2), Time::from_millis(1_000));
        for name in ["near", "far"] {
            let then = Time::from_millis(1_000 + lag_ms);
            estimates.record_applied(&server(name), at(1), then, then);
        }
        estimates.record_position(at(10), Time::from_millis(2_000));
        estimates
    }

    #[test]
    fn reads_prefer_the_near_replica() {
        assert_eq!(first(&Estimates::new(), None, Time::default()), "near");
        assert_eq!(first(&Estimates::new(), Some(at(5)), Time::default()), "near");
    }

    #[test]
    fn fresh_reads_wait_or_use_the_primary_by_expected_time() {
        let cases = [
            // lag in ms, ms since the write, server
            (10, 0, "near"),
            (40, 0, "near"),
            (400, 0, "p"),
            (400, 360, "near"),
            (5_000, 1_000, "p"),
        ];
        for (lag, since, expected) in cases {
            let now = Time::from_millis(2_000 + since);
            assert_eq!(first(&lagging(lag), Some(at(10)), now), expected, "{lag} {since}");
        }
    }

    #[test]
    fn servers_that_failed_are_avoided_and_probed() {
        let mut estimates = Estimates::new();
        let near = server("near");
        estimates.record_failure(&near, Time::from_millis(0));
        assert_eq!(first(&estimates, None, Time::from_millis(10)), "far");
        assert_eq!(
            estimates.permit(&near, Time::from_millis(10)),
            Permit::Wait(Time::from_millis(50))
        );
        assert_eq!(estimates.permit(&near, Time::from_millis(50)), Permit::Send);
        let others = estimates.permit(&near, Time::from_millis(51));
        assert_eq!(others, Permit::Wait(Time::from_millis(150)));
        estimates.record_answer(&near, Some(Duration::from_micros(300)));
        assert_eq!(first(&estimates, None, Time::from_millis(60)), "near");
    }

    #[test]
    fn a_replica_that_goes_on_missing_is_tried_last() {
        let mut estimates = Estimates::new();
        let now = Time::from_millis(1);
        for misses in 0..MISSES_ALLOWED {
            assert_eq!(first(&estimates, None, now), "near", "{misses} misses");
            estimates.record_miss(&server("near"), now);
        }
        assert_eq!(first(&estimates, None, now), "far");
        assert_eq!(estimates.permit(&server("near"), now), Permit::Send);
        estimates.record_answer(&server("near"), None);
        assert_eq!(first(&estimates, None, now), "near");
    }

    #[test]
    fn a_promotion_clears_the_failures_of_the_new_primary() {
        let mut estimates = Estimates::new();
        estimates.record_failure(&server("p"), Time::from_millis(0));
        estimates.apply_view(&view());
        assert_eq!(estimates.permit(&server("p"), Time::from_millis(1)), Permit::Send);
    }

    #[test]
    fn servers_in_a_dark_data_centre_are_tried_last() {
        let mut candidates = candidates();
        candidates[1].unreachable = true;
        let mut rng = StdRng::seed_from_u64(1);
        let order = Estimates::new().choose(&view(), &candidates, None, Time::default(), &mut rng);
        let names: Vec<&str> = order.iter().map(|choice| choice.server.as_str()).collect();
        assert_eq!(names, ["far", "p", "near"]);
    }

    #[test]
    fn slow_replicas_lose_reads_to_quicker_ones() {
        let mut estimates = Estimates::new();
        estimates.record_answer(&server("near"), Some(Duration::from_millis(30)));
        assert_eq!(first(&estimates, None, Time::default()), "far");
    }
}
