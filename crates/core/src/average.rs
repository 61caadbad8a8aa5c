//! A moving average of durations.

use std::time::Duration;

/// Inverse of the weight of a new sample.
const INVERSE_WEIGHT: u64 = 4;

/// An exponentially weighted moving average, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Average {
    micros: Option<u64>,
}

impl Average {
    /// Creates an average without samples.
    pub fn new() -> Self {
        Average::default()
    }

    /// Adds a sample. The first sample becomes the average.
    pub fn add(&mut self, sample: Duration) {
        let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX / INVERSE_WEIGHT);
        let sample = sample.min(u64::MAX / INVERSE_WEIGHT);
        let average = self
            .micros
            .map_or(sample, |old| (old * (INVERSE_WEIGHT - 1) + sample) / INVERSE_WEIGHT);
        self.micros = Some(average);
    }

    /// Returns the average, or `None` if there are no samples.
    pub fn get(&self) -> Option<Duration> {
        self.micros.map(Duration::from_micros)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_sample_is_not_weighted() {
        let mut average = Average::new();
        assert_eq!(average.get(), None);
        average.add(Duration::from_micros(800));
        assert_eq!(average.get(), Some(Duration::from_micros(800)));
        average.add(Duration::ZERO);
        assert_eq!(average.get(), Some(Duration::from_micros(600)));
    }
}
