//! Publishes a new version of the configuration by a compare-and-swap.
//!
//! The row [`ROW_KEY`] of the platform's table contains a [`Published`]; the
//! row's version is the version of the configuration. The content itself is
//! stored in objects that the row names. [`Publisher`] decides which request to
//! send to the platform next and when the outcome is known.

use std::{fmt, str::FromStr, time::Duration};

use chicoryhollow_core::Time;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::hash::ContentHash;

/// Key of the row that names the newest configuration.
pub const ROW_KEY: &str = "configuration";

/// Number of earlier versions that the row lists.
pub const RECENT_VERSIONS: usize = 8;

/// Pause before the first retry of a request to the platform.
const FIRST_RETRY_PAUSE_MS: u64 = 100;
/// Longest pause between two retries of a request to the platform.
const MAX_RETRY_PAUSE_MS: u64 = 2_000;

/// Identifies one attempt to publish.
///
/// If the answer to an attempt was lost, the row shows by this identifier whether
/// the attempt succeeded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ApplyId(u64);

impl ApplyId {
    /// Creates an identifier from a random number.
    pub fn new(number: u64) -> Self {
        ApplyId(number)
    }
}

impl fmt::Display for ApplyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ApplyId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(ApplyId)
    }
}

impl From<ApplyId> for String {
    fn from(id: ApplyId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for ApplyId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// A published version that the row lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The version.
    pub version: u64,
    /// Hash of its content.
    pub hash: ContentHash,
    /// Attempt that published it.
    pub apply: ApplyId,
}

/// Value of the row [`ROW_KEY`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Hash of the content, which names the object that holds it.
    pub hash: ContentHash,
    /// Attempt that published it.
    pub apply: ApplyId,
    /// Version that it was based on, or 0 if there was none.
    pub base: u64,
    /// Name of the object with the difference from the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<String>,
    /// Versions before this one, newest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent: Vec<PublishedVersion>,
}

impl Published {
    /// Creates the first value of the row.
    pub fn new(hash: ContentHash, apply: ApplyId) -> Self {
        Published { hash, apply, base: 0, delta: None, recent: Vec::new() }
    }

    /// Makes this value the successor of `present`, which becomes its base.
    pub fn with_base(self, present: &Versioned) -> Self {
        let Versioned { version, value } = present;
        let newest = PublishedVersion { version: *version, hash: value.hash, apply: value.apply };
        let earlier = value.recent.iter().copied();
        let recent = std::iter::once(newest).chain(earlier).take(RECENT_VERSIONS).collect();
        let delta = Some(value.hash.delta_object_name(&self.hash));
        Published { base: *version, delta, recent, ..self }
    }
}

/// The row [`ROW_KEY`] as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Version of the row.
    pub version: u64,
    /// Value of the row.
    pub value: Published,
}

impl Versioned {
    /// Returns all versions that the row lists, newest first.
    pub fn versions(&self) -> impl Iterator<Item = PublishedVersion> {
        let Published { hash, apply, .. } = self.value;
        let newest = PublishedVersion { version: self.version, hash, apply };
        std::iter::once(newest).chain(self.value.recent.iter().copied())
    }

    /// Returns the given version, or `None` if the row does not list it.
    pub fn at(&self, version: u64) -> Option<PublishedVersion> {
        self.versions().find(|past| past.version == version)
    }
}

/// The next step of a [`Publisher`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Store the objects, then report [`Event::Stored`].
    Store,
    /// Replace the row if it is still at the base version.
    Swap,
    /// Read the row.
    Read,
    /// Wait for this time, then report [`Event::Waited`].
    Wait(Duration),
    /// The configuration is published as this version.
    Done(u64),
    /// Another configuration was published first; the row is at this version.
    Conflict(u64),
    /// The platform did not answer in time, and nothing was published.
    Unavailable,
    /// The platform did not answer in time, and it is not known whether the
    /// configuration was published.
    Unknown,
}

/// The result of a [`Step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The objects are stored.
    Stored,
    /// The row was written and is at this version.
    Swapped(u64),
    /// The current row, or `None` if it does not exist. It was read, or a swap
    /// failed because the row was not at the base version.
    Row(Option<Versioned>),
    /// The platform did not answer; a write may have taken effect.
    Unavailable,
    /// The pause is over.
    Waited,
}

/// Decides the steps by which one configuration is published.
///
/// If the answer to a write was lost, the row is read: it lists the attempt if
/// the write took effect. If it did not, the write is sent again. This is safe
/// because at most one write succeeds from one base version.
#[derive(Debug)]
pub struct Publisher {
    base: u64,
    apply: ApplyId,
    deadline: Time,
    next: Step,
    pause: Duration,
    swap_sent: bool,
}

impl Publisher {
    /// Starts an attempt that is based on version `base`, or 0 if there is none, and
    /// is abandoned after `deadline`.
    pub fn new(base: u64, apply: ApplyId, deadline: Time) -> Self {
        let pause = Duration::from_millis(FIRST_RETRY_PAUSE_MS);
        Publisher { base, apply, deadline, next: Step::Store, pause, swap_sent: false }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Store
    }

    /// Handles the result of a step and returns the next step.
    pub fn handle(&mut self, event: Event, now: Time, rng: &mut impl Rng) -> Step {
        match event {
            Event::Stored => self.proceed(Step::Swap),
            Event::Swapped(version) => Step::Done(version),
            Event::Row(row) => self.check_row(row, now),
            Event::Unavailable => self.retry(now, rng),
            Event::Waited => self.proceed(self.next),
        }
    }

    fn proceed(&mut self, step: Step) -> Step {
        self.swap_sent |= step == Step::Swap;
        self.next = step;
        step
    }

    /// Returns the next step after a row that was read or that made a swap fail.
    fn check_row(&mut self, row: Option<Versioned>, now: Time) -> Step {
        let version = row.as_ref().map_or(0, |row| row.version);
        if version == self.base {
            return if now < self.deadline {
                self.proceed(Step::Swap)
            } else {
                self.deadline_step()
            };
        }
        let successor = row.and_then(|row| row.at(self.base + 1));
        match successor {
            Some(past) if past.apply == self.apply => Step::Done(past.version),
            Some(_) => Step::Conflict(version),
            // The row has changed so often that it no longer lists the successor,
            // or it was reset to an older version. A write that was never sent
            // cannot have succeeded.
            None if self.swap_sent => Step::Unknown,
            None => Step::Conflict(version),
        }
    }

    fn deadline_step(&self) -> Step {
        if self.swap_sent { Step::Unknown } else { Step::Unavailable }
    }

    fn retry(&mut self, now: Time, rng: &mut impl Rng) -> Step {
        if now >= self.deadline {
            return self.deadline_step();
        }
        // The swap may have taken effect, so the row is read before the next one.
        if self.next == Step::Swap {
            self.next = Step::Read;
        }
        let jitter = rng.random_range(0.5..=1.0);
        let pause = self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(Duration::from_millis(MAX_RETRY_PAUSE_MS));
        Step::Wait(pause)
    }
}
