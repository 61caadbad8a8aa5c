//! Measurement of the request rate that callers ask for.

use std::time::Duration;

use crate::time::Time;

/// Time constant of the short average.
const SHORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Time constant of the long average.
const LONG_WINDOW: Duration = Duration::from_millis(4_000);
/// Standard deviations subtracted from the short average before it is compared
/// with the long one, so that a random burst does not count as more demand.
const NOISE_DEVIATIONS: f64 = 2.0;

/// A request rate that follows a sudden increase within a second and ignores
/// random variation.
///
/// It keeps two decaying averages. The short one counts only where it exceeds
/// the long one by more than random variation explains.
#[derive(Clone, Debug)]
pub struct Demand {
    short: f64,
    long: f64,
    updated: Time,
}

impl Demand {
    /// Creates a meter that has counted no request.
    pub fn new(now: Time) -> Self {
        Demand { short: 0.0, long: 0.0, updated: now }
    }

    /// Counts one request that arrived at `now`.
    pub fn count(&mut self, now: Time) {
        let since = now.since(self.updated);
        self.short = decayed(self.short, since, SHORT_WINDOW) + 1.0 / SHORT_WINDOW.as_secs_f64();
        self.long = decayed(self.long, since, LONG_WINDOW) + 1.0 / LONG_WINDOW.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the demand in requests per second, without random variation.
    pub fn per_second(&self, now: Time) -> f64 {
        let since = now.since(self.updated);
        let short = decayed(self.short, since, SHORT_WINDOW);
        let deviation = (short / (2.0 * SHORT_WINDOW.as_secs_f64())).sqrt();
        decayed(self.long, since, LONG_WINDOW).max(short - NOISE_DEVIATIONS * deviation)
    }
}

impl Demand {
    /// Returns the requests per second of about the last second, including
    /// random variation.
    pub fn recent_per_second(&self, now: Time) -> f64 {
        decayed(self.short, now.since(self.updated), SHORT_WINDOW)
    }
}

fn decayed(average: f64, since: Duration, window: Duration) -> f64 {
    average * (-since.as_secs_f64() / window.as_secs_f64()).exp()
}
