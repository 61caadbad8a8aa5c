//! How many requests a second callers ask for.

use std::time::Duration;

use crate::time::Time;

/// Time over which the quick average is taken.
const QUICK: Duration = Duration::from_millis(1_000);
/// Time over which the steady average is taken.
const STEADY: Duration = Duration::from_millis(4_000);
/// Standard deviations by which the quick average must exceed the steady one to
/// count.
const DOUBT: f64 = 2.0;

/// A request rate, averaged so that it follows a jump within a second and does
/// not follow chance.
#[derive(Clone, Debug)]
pub struct Demand {
    quick: f64,
    steady: f64,
    counted: Time,
}

impl Demand {
    /// Makes a meter that has seen nothing.
    pub fn new(now: Time) -> Self {
        Demand { quick: 0.0, steady: 0.0, counted: now }
    }

    /// Counts one request.
    pub fn count(&mut self, now: Time) {
        let since = now.since(self.counted);
        self.quick = decayed(self.quick, since, QUICK) + 1.0 / QUICK.as_secs_f64();
        self.steady = decayed(self.steady, since, STEADY) + 1.0 / STEADY.as_secs_f64();
        self.counted = self.counted.max(now);
    }

    /// Returns the requests a second.
    pub fn per_second(&self, now: Time) -> f64 {
        let since = now.since(self.counted);
        let quick = decayed(self.quick, since, QUICK);
        let deviation = (quick / (2.0 * QUICK.as_secs_f64())).sqrt();
        decayed(self.steady, since, STEADY).max(quick - DOUBT * deviation)
    }
}

impl Demand {
    /// Returns the requests a second of the last moments, chance included.
    pub fn momentary(&self, now: Time) -> f64 {
        decayed(self.quick, now.since(self.counted), QUICK)
    }
}

fn decayed(average: f64, since: Duration, window: Duration) -> f64 {
    average * (-since.as_secs_f64() / window.as_secs_f64()).exp()
}
