//! A moving average of durations.

use std::time::Duration;

/// Inverse of the weight of a new sample.
const WINDOW: u64 = 4;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Average {
    micros: Option<u64>,
}

impl Average {
    /// Makes an average without samples.
    pub fn new() -> Self {
        Average::default()
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX / WINDOW);
        let sample = sample.min(u64::MAX / WINDOW);
        let average = self.micros.map_or(sample, |old| (old * (WINDOW - 1) + sample) / WINDOW);
        self.micros = Some(average);
    }

    /// Returns the average, or `None` without samples.
    pub fn get(&self) -> Option<Duration> {
        self.micros.map(Duration::from_micros)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_sample_counts_in_full() {
        let mut average = Average::new();
        assert_eq!(average.get(), None);
        average.add(Duration::from_micros(800));
        assert_eq!(average.get(), Some(Duration::from_micros(800)));
        average.add(Duration::ZERO);
        assert_eq!(average.get(), Some(Duration::from_micros(600)));
    }
}
