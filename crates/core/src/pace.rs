//! Intervals between periodic control messages.
//!
//! A daemon with few roles repeats its control messages at a short interval. A
//! daemon with many roles uses a longer interval, so that all its control
//! messages together stay within the daemon's traffic budget.

use std::{fmt, str::FromStr, time::Duration};

/// A data rate in bytes per second.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ByteRate(u32);

impl ByteRate {
    /// Creates a rate of `bytes` per second.
    pub const fn new(bytes: u32) -> Self {
        ByteRate(bytes)
    }

    /// Returns the rate in bytes per second.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B/s", self.0)
    }
}

impl FromStr for ByteRate {
    type Err = ByteRateError;

    fn from_str(text: &str) -> Result<Self, ByteRateError> {
        let number = text.strip_suffix("B/s").ok_or(ByteRateError)?;
        number.parse().map(ByteRate).map_err(|_| ByteRateError)
    }
}

/// Error for a text that is not a rate of the form `NUMBERB/s`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a byte rate is a whole number of bytes a second, written NUMBERB/s")]
pub struct ByteRateError;

/// Interval of one kind of control message, adapted to the number of messages.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use chicoryhollow_core::pace::{ByteRate, Pace};
///
/// let pace = Pace::new(Duration::from_millis(250), Duration::from_secs(3))
///     .with_cost(200, ByteRate::new(1_000));
/// assert_eq!(pace.interval(1), Duration::from_millis(250));
/// assert_eq!(pace.interval(10), Duration::from_secs(2));
/// assert_eq!(pace.interval(1_000), Duration::from_secs(3));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    shortest: Duration,
    longest: Duration,
    bytes: u32,
    budget: ByteRate,
}

impl Pace {
    /// Creates a pace with intervals from `shortest` to `longest` and no budget.
    ///
    /// # Panics
    ///
    /// Panics if `shortest` is longer than `longest`.
    pub const fn new(shortest: Duration, longest: Duration) -> Self {
        assert!(shortest.as_nanos() <= longest.as_nanos(), "the shortest interval is longer");
        Pace { shortest, longest, bytes: 0, budget: ByteRate::new(u32::MAX) }
    }

    /// Sets the size of one message including its answer, in `bytes`, and the
    /// `budget` of all messages of this kind together.
    pub const fn with_cost(self, bytes: u32, budget: ByteRate) -> Self {
        Pace { bytes, budget, ..self }
    }

    /// Returns the time between two rounds of `messages` messages.
    ///
    /// The longest interval takes precedence over the budget, because failures
    /// must be detected within a bounded time.
    pub fn interval(&self, messages: usize) -> Duration {
        let messages = u32::try_from(messages).unwrap_or(u32::MAX);
        let round = f64::from(messages) * f64::from(self.bytes);
        let needed = round / f64::from(self.budget.get().max(1));
        Duration::from_secs_f64(needed).clamp(self.shortest, self.longest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn byte_rates_round_trip_through_text() {
        let rate = ByteRate::new(2_048);
        assert_eq!(rate.to_string().parse(), Ok(rate));
        assert_eq!("2048".parse::<ByteRate>(), Err(ByteRateError));
    }

    #[test]
    fn rounds_stay_within_the_budget_up_to_the_longest_interval() {
        let budget = ByteRate::new(1_200);
        let pace =
            Pace::new(Duration::from_millis(250), Duration::from_secs(3)).with_cost(200, budget);
        for messages in 0..=18 {
            let round = f64::from(u32::try_from(messages).expect("a small number")) * 200.0;
            let rate = round / pace.interval(messages).as_secs_f64();
            assert!(rate <= 1_201.0, "{messages} messages cost {rate} bytes a second");
        }
        assert_eq!(pace.interval(usize::MAX), Duration::from_secs(3));
    }
}
