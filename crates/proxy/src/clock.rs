//! The daemon's monotonic clock.

use std::time::Instant;

use chicoryhollow_core::Time;

/// A monotonic clock that returns the [`Time`] since the daemon started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose zero is now.
    pub fn new() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let micros = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time::from_micros(micros)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
