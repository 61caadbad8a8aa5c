//! Clock values that decisions take as arguments.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A reading of one VM's monotonic clock, in microseconds since an arbitrary
/// start.
///
/// Readings of two VMs cannot be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// Makes a reading from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Makes a reading from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// Returns the reading in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns how long after `earlier` this reading was taken, or zero when it
    /// was taken before.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    /// Returns the time that much earlier, or the clock's start.
    fn sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
