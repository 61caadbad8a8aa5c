//! Clock readings, which are passed to decisions as arguments.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A reading of the monotonic clock of one VM, in microseconds since an arbitrary
/// start.
///
/// Readings from different VMs can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// Creates a reading from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Creates a reading from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// Returns the reading in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed from `earlier` to this reading, or zero if this
    /// reading is the earlier one.
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

    /// Returns the reading earlier by `span`, or the start of the clock if that
    /// would be before it.
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
