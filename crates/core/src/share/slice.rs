//! Shares of an account's rate and burst.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

/// Millionths of a whole.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ppm(u32);

impl Ppm {
    /// The whole.
    pub const WHOLE: Ppm = Ppm(1_000_000);
    /// Nothing.
    pub const ZERO: Ppm = Ppm(0);

    /// Makes a share of `millionths`.
    pub const fn new(millionths: u32) -> Self {
        Ppm(millionths)
    }

    /// Makes the share nearest below `fraction` of the whole.
    pub fn from_fraction(fraction: f64) -> Self {
        Ppm((fraction.clamp(0.0, 4_000.0) * 1e6) as u32)
    }

    /// Returns the millionths.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns this share of `whole`.
    pub fn of(self, whole: f64) -> f64 {
        whole * f64::from(self.0) / 1e6
    }

    /// Returns half of the share.
    pub const fn half(self) -> Self {
        Ppm(self.0 / 2)
    }
}

impl Add for Ppm {
    type Output = Ppm;

    fn add(self, other: Ppm) -> Ppm {
        Ppm(self.0.saturating_add(other.0))
    }
}

impl Sub for Ppm {
    type Output = Ppm;

    /// Returns the difference, or nothing when `other` is larger.
    fn sub(self, other: Ppm) -> Ppm {
        Ppm(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Ppm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ppm", self.0)
    }
}

/// A share of the rate together with a share of the burst.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Slice {
    /// Share of the rate.
    pub rate: Ppm,
    /// Share of the burst: the most tokens that may lie here.
    pub capacity: Ppm,
}

impl Slice {
    /// Makes a slice from its parts.
    pub const fn new(rate: Ppm, capacity: Ppm) -> Self {
        Slice { rate, capacity }
    }

    /// Returns the larger of each part.
    pub fn max(self, other: Slice) -> Slice {
        Slice::new(self.rate.max(other.rate), self.capacity.max(other.capacity))
    }

    /// Returns the smaller of each part.
    pub fn min(self, other: Slice) -> Slice {
        Slice::new(self.rate.min(other.rate), self.capacity.min(other.capacity))
    }

    /// Tells whether nothing is left.
    pub fn is_empty(self) -> bool {
        self == Slice::default()
    }
}

impl Add for Slice {
    type Output = Slice;

    fn add(self, other: Slice) -> Slice {
        Slice::new(self.rate + other.rate, self.capacity + other.capacity)
    }
}

impl Sub for Slice {
    type Output = Slice;

    fn sub(self, other: Slice) -> Slice {
        Slice::new(self.rate - other.rate, self.capacity - other.capacity)
    }
}

impl Sum for Slice {
    fn sum<I: Iterator<Item = Slice>>(slices: I) -> Slice {
        slices.fold(Slice::default(), Add::add)
    }
}
