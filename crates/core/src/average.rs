//! A moving average of durations.

use std::time::Duration;

/// Inverse of the weight of a new sample, unless another one is given.
const INVERSE_WEIGHT: u32 = 4;

/// An exponentially weighted moving average, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Average {
    micros: Option<u64>,
    inverse_weight: u32,
}

impl Default for Average {
    fn default() -> Self {
        Average::new()
    }
}

impl Average {
    /// Creates an average without samples.
    pub const fn new() -> Self {
        Average { micros: None, inverse_weight: INVERSE_WEIGHT }
    }

    /// Sets the inverse of the weight of a new sample, which must not be zero.
    pub const fn with_inverse_weight(self, inverse_weight: u32) -> Self {
        Average { inverse_weight, ..self }
    }

    /// Adds a sample. The first sample becomes the average.
    pub fn add(&mut self, sample: Duration) {
        let weight = u64::from(self.inverse_weight);
        let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX).min(u64::MAX / weight);
        let average = self.micros.map_or(sample, |old| (old * (weight - 1) + sample) / weight);
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
