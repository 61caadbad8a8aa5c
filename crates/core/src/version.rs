//! Versions of the directory, which never go back.
//!
//! The directory numbers its changes. If it comes back from a copy after a failure, its
//! numbers go back to those of the copy and are given out again, but its [`Era`] rises. A
//! [`DirectoryVersion`] is the pair, so that one from before the restore is always less than
//! one from after it, whatever their numbers are.

use std::{fmt, num::ParseIntError, str::FromStr};

/// Bits of a packed version that hold the number: a thousand changes a second for 34 years.
const NUMBER_BITS: u32 = 40;

/// Greatest number that a packed version holds.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Greatest era that a packed version holds.
const MAX_ERA: u32 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// Counts how often the directory came back from a copy.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Era(u32);

impl Era {
    /// Creates an era from its number, which is limited to what a packed version holds.
    pub const fn new(number: u32) -> Self {
        Era(if number > MAX_ERA { MAX_ERA } else { number })
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Era::new)
    }
}

/// A version of the directory: its era, and the number of a change in it.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::version::{DirectoryVersion, Era};
///
/// let lost = DirectoryVersion::new(Era::new(0), 61);
/// let next = DirectoryVersion::new(Era::new(1), 49);
/// assert!(lost < next);
/// assert_eq!(next.to_string(), "1:49");
/// assert_eq!(DirectoryVersion::unpack(next.pack()), next);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DirectoryVersion {
    era: Era,
    number: u64,
}

impl DirectoryVersion {
    /// Creates a version. The number is limited to what a packed version holds.
    pub const fn new(era: Era, number: u64) -> Self {
        let number = if number > MAX_NUMBER { MAX_NUMBER } else { number };
        DirectoryVersion { era, number }
    }

    /// Returns the version before all changes of an era. A row that does not exist has it.
    pub const fn start_of(era: Era) -> Self {
        DirectoryVersion { era, number: 0 }
    }

    /// Returns the era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the number of the change in its era.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Packs the version into one number with the same order. In the first era it is the
    /// number itself.
    pub const fn pack(self) -> u64 {
        (self.era.0 as u64) << NUMBER_BITS | self.number
    }

    /// Returns the version that was packed into a number.
    pub const fn unpack(packed: u64) -> Self {
        DirectoryVersion { era: Era((packed >> NUMBER_BITS) as u32), number: packed & MAX_NUMBER }
    }
}

impl fmt::Display for DirectoryVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.number)
    }
}

/// Reason why a text is not a [`DirectoryVersion`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a version of the directory has the form ERA:NUMBER")]
pub struct VersionError;

impl FromStr for DirectoryVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        let (era, number) = text.split_once(':').ok_or(VersionError)?;
        let era = era.parse().map_err(|_| VersionError)?;
        Ok(DirectoryVersion::new(era, number.parse().map_err(|_| VersionError)?))
    }
}
