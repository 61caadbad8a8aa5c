//! Rates and bursts of client accounts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A rate in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate of `per_second` requests per second, or `None` if the number
    /// is not finite and positive.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second > 0.0).then_some(Rate(per_second))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let number = text.strip_suffix("/s").ok_or(RateError)?.parse().map_err(|_| RateError)?;
        Rate::new(number).ok_or(RateError)
    }
}

impl TryFrom<f64> for Rate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        Rate::new(per_second).ok_or(RateError)
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}

/// The text or number is not a valid rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid rate, expected a positive number of requests per second, written NUMBER/s")]
pub struct RateError;

/// Largest number of requests that an account may send at once.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct Burst(f64);

impl Burst {
    /// Creates a burst of `requests`, or `None` if it is not finite or is below one.
    pub fn new(requests: f64) -> Option<Self> {
        (requests.is_finite() && requests >= 1.0).then_some(Burst(requests))
    }

    /// Returns the burst in requests.
    pub fn requests(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Burst {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Burst {
    type Err = BurstError;

    fn from_str(text: &str) -> Result<Self, BurstError> {
        text.parse::<f64>().ok().and_then(Burst::new).ok_or(BurstError)
    }
}

impl TryFrom<f64> for Burst {
    type Error = BurstError;

    fn try_from(requests: f64) -> Result<Self, BurstError> {
        Burst::new(requests).ok_or(BurstError)
    }
}

impl From<Burst> for f64 {
    fn from(burst: Burst) -> f64 {
        burst.0
    }
}

/// The text or number is not a valid burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid burst, expected a number of requests of at least 1")]
pub struct BurstError;
