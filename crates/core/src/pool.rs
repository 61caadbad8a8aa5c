//! Size of the connection pool of one backend server.
//!
//! [`Pool`] doesn't hold connections itself. It counts the connections that the
//! calling code holds and decides how many to open or close. Connections are
//! opened before they are needed, because opening one takes longer than most
//! statements, and they are closed slowly.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::time::Time;

/// Length of each of the two windows over which the peak use is recorded.
///
/// If another VM also acts as home of the server, it gets none of the
/// connections kept here for the peak. The two windows together must therefore
/// be shorter than the time for which a request may wait.
const PEAK_WINDOW: Duration = Duration::from_secs(3);

/// Minimum time between closing two connections that are no longer needed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before the next attempt after the first failure to open a connection.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause after repeated failures to open a connection, before jitter.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Number of connections in use for which one spare connection is kept.
const USED_PER_SPARE: u32 = 4;

/// Reason why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenError {
    /// The server has reached its connection limit.
    Full,
    /// The server could not be reached, or closed the connection.
    Unreachable,
}

/// Numbers of connections to open and to close now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Number of connections to start opening.
    pub open: u32,
    /// Number of idle connections to close.
    pub close: u32,
}

/// Counts the connections to one backend server and decides on their number.
#[derive(Clone, Debug)]
pub struct Pool {
    limit: u32,
    /// Highest number of connections that the server is assumed to accept; below
    /// `limit` after the server was full.
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
    /// Creates an empty pool of at most `limit` connections.
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

    /// Sets the maximum number of connections.
    pub fn set_limit(&mut self, limit: u32) {
        if limit != self.limit {
            self.limit = limit;
            self.ceiling = limit;
        }
    }

    /// Sets whether the pool is draining. A draining pool keeps no idle
    /// connections.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns the number of connections that are open or being opened.
    pub fn total(&self) -> u32 {
        self.opening + self.idle + self.used
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> u32 {
        self.idle
    }

    /// Returns the number of connections in use.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Returns whether the server could not be reached and no connection is left.
    ///
    /// Statements needn't wait for a connection then. They do wait for a server
    /// that is full: it may not have detected yet that other connections were
    /// closed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable && self.total() == 0
    }

    /// Records that a connection was opened; it is idle.
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
            // Another VM that acts as home of this server uses the other
            // connections that the server allows.
            self.ceiling = (self.idle + self.used).max(1);
        }
        let pause = FIRST_RETRY_PAUSE * 2u32.pow(self.failures.min(8));
        self.retry_at = now + pause.min(MAX_RETRY_PAUSE).mul_f64(rng.random_range(0.75..1.25));
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that an idle connection is now in use.
    pub fn record_taken(&mut self) {
        self.idle -= 1;
        self.used += 1;
        self.peak[0] = self.peak[0].max(self.used);
    }

    /// Records that a connection in use is idle again.
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

    /// Decides how many connections to open and close while `waiting` statements
    /// wait for a connection.
    ///
    /// The connections to open are counted as being opened from now on.
    pub fn plan(&mut self, waiting: u32, now: Time) -> Plan {
        self.rotate_window(now);
        let target = self.target(waiting);
        let total = self.total();
        if total < target && now >= self.retry_at {
            if self.failures > 0 && self.ceiling < self.limit {
                // Tries one more connection, since the other VM may have closed
                // some of its own meanwhile.
                self.ceiling += 1;
            }
            let wanted = target.min(self.ceiling).saturating_sub(total);
            // After a failure one connection at a time is enough to find out
            // whether the server accepts connections again.
            let open = if self.failures > 0 { wanted.min(1) } else { wanted };
            let open = if self.failures > 0 && self.opening > 0 { 0 } else { open };
            self.opening += open;
            return Plan { open, close: 0 };
        }
        Plan { open: 0, close: self.surplus(target, now) }
    }

    /// Returns the desired number of connections.
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

    fn rotate_window(&mut self, now: Time) {
        if now >= self.window_end {
            self.peak = [self.used, self.peak[0]];
            self.window_end = now + PEAK_WINDOW;
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::StdRng};

    use super::*;

    #[test]
    fn connections_are_opened_before_they_are_needed_and_closed_slowly() {
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
    fn a_full_server_lowers_the_ceiling_until_it_accepts_more() {
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
    fn random_use_never_exceeds_the_limit() {
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
