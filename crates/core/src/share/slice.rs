//! Shares of an account's rate and burst, in millionths.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

/// A share in parts per million of a whole.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ppm(u32);

impl Ppm {
    /// The whole: one million millionths.
    pub const WHOLE: Ppm = Ppm(1_000_000);
    /// An empty share.
    pub const ZERO: Ppm = Ppm(0);

    /// Creates a share of `millionths` parts per million.
    pub const fn new(millionths: u32) -> Self {
        Ppm(millionths)
    }

    /// Creates the largest share that does not exceed `fraction` of the whole.
    pub fn from_fraction(fraction: f64) -> Self {
        Ppm((fraction.clamp(0.0, 4_000.0) * 1e6) as u32)
    }

    /// Returns the share in parts per million.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns this share of `whole`.
    pub fn of(self, whole: f64) -> f64 {
        whole * f64::from(self.0) / 1e6
    }

    /// Returns half of the share, rounded down.
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

    /// Returns the difference, or an empty share if `other` is larger.
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
    /// Share of the burst: the most tokens that the bucket of this slice can
    /// hold.
    pub capacity: Ppm,
}

impl Slice {
    /// Creates a slice from a share of the rate and a share of the burst.
    pub const fn new(rate: Ppm, capacity: Ppm) -> Self {
        Slice { rate, capacity }
    }

    /// Returns the larger rate and the larger capacity of the two slices.
    pub fn max(self, other: Slice) -> Slice {
        Slice::new(self.rate.max(other.rate), self.capacity.max(other.capacity))
    }

    /// Returns the smaller rate and the smaller capacity of the two slices.
    pub fn min(self, other: Slice) -> Slice {
        Slice::new(self.rate.min(other.rate), self.capacity.min(other.capacity))
    }

    /// Returns whether both shares are empty.
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
