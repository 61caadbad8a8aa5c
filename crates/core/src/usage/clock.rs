//! Conversion of a VM's monotonic clock to true time.
//!
//! The time of day of some VMs is wrong by seconds and may jump. The median over many VMs is
//! right as long as most of them are.

use crate::{time::Time, usage::TrueTime};

/// Difference between true time and a VM's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Offset(i64);

impl Offset {
    /// Returns the offset of a monotonic clock that read `at` at the time `time`.
    pub fn between(time: TrueTime, at: Time) -> Self {
        Offset((time.as_micros() as i64).wrapping_sub(at.as_micros() as i64))
    }

    /// Converts a reading of the monotonic clock.
    pub fn convert(self, at: Time) -> TrueTime {
        TrueTime::from_micros((at.as_micros() as i64).saturating_add(self.0).max(0) as u64)
    }
}

/// Maximum number of quantiles that stand for the offsets of many VMs.
const MAX_QUANTILES: usize = 9;

/// Quantiles of the times of day of several VMs at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quantiles {
    /// Number of VMs.
    pub vms: u32,
    /// Times of day, in ascending order.
    pub times: Vec<TrueTime>,
}

/// Weighted offsets, of which the median is taken.
#[derive(Clone, Debug, Default)]
pub struct OffsetSamples(Vec<(Offset, f64)>);

impl OffsetSamples {
    /// Adds the offset that one VM's time of day gives.
    pub fn add(&mut self, offset: Offset) {
        self.0.push((offset, 1.0));
    }

    /// Adds the offsets of several VMs, whose quantiles were received at `at`.
    pub fn add_quantiles(&mut self, quantiles: &Quantiles, at: Time) {
        let weight = f64::from(quantiles.vms) / quantiles.times.len().max(1) as f64;
        let offsets = quantiles.times.iter().map(|time| (Offset::between(*time, at), weight));
        self.0.extend(offsets);
    }

    /// Returns the offset that half of the VMs do not exceed, or `None` without VMs.
    pub fn median(mut self) -> Option<Offset> {
        self.0.sort_by_key(|(offset, _)| *offset);
        let half = self.0.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
        let mut below = 0.0;
        for (offset, weight) in &self.0 {
            below += weight;
            if below >= half {
                return Some(*offset);
            }
        }
        None
    }

    /// Returns the quantiles of the offsets, as times of day at `now`.
    pub fn quantiles(mut self, now: Time) -> Quantiles {
        self.0.sort_by_key(|(offset, _)| *offset);
        let count = self.0.len();
        let shown = count.min(MAX_QUANTILES);
        let pick = |index: usize| (2 * index + 1) * count / (2 * shown);
        let times = (0..shown).map(|index| self.0[pick(index)].0.convert(now)).collect();
        Quantiles { vms: u32::try_from(count).unwrap_or(u32::MAX), times }
    }
}
