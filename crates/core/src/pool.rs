//! How many connections to keep open to one backend server.
//!
//! The pool holds no connections itself. It counts those that its adapter holds
//! and says how many to open or close. Connections are opened ahead of need,
//! since a new one takes longer than most statements, and closed slowly.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::time::Time;

/// Length of one of the two windows over which the greatest use is remembered.
/// Another VM that believes to be in charge gets no connection meanwhile, so two
/// windows must be shorter than a request may wait.
const WINDOW: Duration = Duration::from_secs(3);

/// Time between two closings of a connection that is no longer needed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(500);

/// First pause after the server could not be reached or was full.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after the server could not be reached or was full.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// One spare connection is kept for so many in use.
const USED_PER_SPARE: u32 = 4;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenError {
    /// The server has as many connections as it takes.
    Full,
    /// The server could not be reached, or broke off.
    Unreachable,
}

/// What to do with the connections now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Connections to start to open.
    pub open: u32,
    /// Idle connections to close.
    pub close: u32,
}

/// Counts the connections to one backend server.
#[derive(Clone, Debug)]
pub struct Pool {
    limit: u32,
    /// Connections beyond which the server refused more.
    ceiling: u32,
    draining: bool,
    opening: u32,
    idle: u32,
    used: u32,
    peak: [u32; 2],
    window_end: Time,
    last_close: Time,
    failures: u32,
    unreachable: bool,
    retry_at: Time,
}

impl Pool {
    /// Makes a pool of at most `limit` connections.
    pub fn new(limit: u32) -> Self {
        Pool {
            limit,
            ceiling: limit,
            draining: false,
            opening: 0,
            idle: 0,
            used: 0,
            peak: [0; 2],
            window_end: Time::default(),
            last_close: Time::default(),
            failures: 0,
            unreachable: false,
            retry_at: Time::default(),
        }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: u32) {
        if limit != self.limit {
            self.limit = limit;
            self.ceiling = limit;
        }
    }

    /// Sets whether the pool keeps no idle connections.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns how many connections are open or being opened.
    pub fn total(&self) -> u32 {
        self.opening + self.idle + self.used
    }

    /// Returns how many connections are idle.
    pub fn idle(&self) -> u32 {
        self.idle
    }

    /// Returns how many connections are in use.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Tells whether the server could not be reached and no connection is left,
    /// so that statements need not wait for one. A server that is full is
    /// worth waiting for: it may not have noticed yet that others were closed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable && self.total() == 0
    }

    /// Records that a connection was opened and is idle.
    pub fn record_opened(&mut self) {
        self.opening -= 1;
        self.idle += 1;
        self.failures = 0;
        self.unreachable = false;
    }

    /// Records that a connection could not be opened.
    pub fn record_open_failure(&mut self, error: OpenError, now: Time, rng: &mut impl Rng) {
        self.opening -= 1;
        self.unreachable = error == OpenError::Unreachable;
        if error == OpenError::Full {
            // Another holder of this role uses the rest of the server's limit.
            self.ceiling = (self.idle + self.used).max(1);
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(8));
        self.retry_at = now + pause.min(LONGEST_PAUSE).mul_f64(rng.random_range(0.75..1.25));
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that an idle connection was taken into use.
    pub fn record_taken(&mut self) {
        self.idle -= 1;
        self.used += 1;
        self.peak[0] = self.peak[0].max(self.used);
    }

    /// Records that a connection in use became idle.
    pub fn record_returned(&mut self) {
        self.used -= 1;
        self.idle += 1;
    }

    /// Records that a connection in use was closed.
    pub fn record_used_closed(&mut self) {
        self.used -= 1;
    }

    /// Records that an idle connection was closed.
    pub fn record_idle_closed(&mut self) {
        self.idle -= 1;
    }

    /// Decides what to open and close while `waiting` statements wait for a
    /// connection; the openings are counted as begun.
    pub fn plan(&mut self, waiting: u32, now: Time) -> Plan {
        self.turn_window(now);
        let target = self.target(waiting);
        let total = self.total();
        if total < target && now >= self.retry_at {
            if self.failures > 0 && self.ceiling < self.limit {
                // One more is tried: the other holder may have left by now.
                self.ceiling += 1;
            }
            let wanted = target.min(self.ceiling).saturating_sub(total);
            // After a failure one connection at a time tells enough.
            let open = if self.failures > 0 { wanted.min(1) } else { wanted };
            let open = if self.failures > 0 && self.opening > 0 { 0 } else { open };
            self.opening += open;
            return Plan { open, close: 0 };
        }
        Plan { open: 0, close: self.surplus(target, now) }
    }

    /// Returns how many connections there should be.
    fn target(&self, waiting: u32) -> u32 {
        if self.draining {
            return (self.used + waiting).min(self.limit);
        }
        let peak = self.peak[0].max(self.peak[1]).max(self.used + waiting);
        (peak + peak.div_ceil(USED_PER_SPARE).max(1)).min(self.limit)
    }

    fn surplus(&mut self, target: u32, now: Time) -> u32 {
        let surplus = self.total().saturating_sub(target).min(self.idle);
        if self.draining {
            return surplus;
        }
        if surplus == 0 || now.since(self.last_close) < CLOSE_INTERVAL {
            return 0;
        }
        self.last_close = now;
        1
    }

    fn turn_window(&mut self, now: Time) {
        if now >= self.window_end {
            self.peak = [self.used, self.peak[0]];
            self.window_end = now + WINDOW;
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::StdRng};

    use super::*;

    #[test]
    fn connections_are_opened_ahead_of_need_and_closed_slowly() {
        let mut pool = Pool::new(20);
        assert_eq!(pool.plan(0, Time::from_millis(0)), Plan { open: 1, close: 0 });
        pool.record_opened();
        assert_eq!(pool.plan(7, Time::from_millis(1)).open, 8);
        for _ in 0..8 {
            pool.record_opened();
        }
        for _ in 0..8 {
            pool.record_taken();
        }
        for _ in 0..8 {
            pool.record_returned();
        }
        let mut closed = 0;
        for second in 1..60 {
            let plan = pool.plan(0, Time::from_millis(second * 1_000));
            assert!(plan.close <= 1);
            closed += plan.close;
            (0..plan.close).for_each(|_| pool.record_idle_closed());
            assert!(second > 2 || closed == 0, "closed after {second} s");
        }
        assert_eq!(pool.total(), 1);
    }

    #[test]
    fn a_full_server_shrinks_the_pool_until_it_has_room_again() {
        let mut rng = StdRng::seed_from_u64(1);
        let mut pool = Pool::new(20);
        assert_eq!(pool.plan(10, Time::from_millis(0)).open, 13);
        for _ in 0..6 {
            pool.record_opened();
        }
        for _ in 0..7 {
            pool.record_open_failure(OpenError::Full, Time::from_millis(10), &mut rng);
        }
        assert_eq!(pool.plan(10, Time::from_millis(20)).open, 0);
        assert!(!pool.is_unreachable());
        assert_eq!(pool.plan(10, Time::from_millis(2_000)).open, 1);
        pool.record_opened();
        assert!(pool.plan(10, Time::from_millis(2_001)).open <= 1);
    }

    #[test]
    fn random_use_keeps_within_the_limit() {
        for seed in 0..100 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut pool = Pool::new(rng.random_range(1..30));
            for step in 0..2_000 {
                let now = Time::from_millis(step * 7);
                match rng.random_range(0..7) {
                    0 if pool.opening > 0 => pool.record_opened(),
                    1 if pool.opening > 0 => {
                        pool.record_open_failure(OpenError::Full, now, &mut rng);
                    }
                    2 if pool.opening > 0 => {
                        pool.record_open_failure(OpenError::Unreachable, now, &mut rng);
                    }
                    3 if pool.idle > 0 => pool.record_taken(),
                    4 if pool.used > 0 => pool.record_returned(),
                    5 if pool.used > 0 => pool.record_used_closed(),
                    _ => {
                        let plan = pool.plan(rng.random_range(0..40), now);
                        (0..plan.close).for_each(|_| pool.record_idle_closed());
                    }
                }
                assert!(pool.total() <= pool.limit, "seed {seed}");
            }
        }
    }
}
