//! What one VM tells another of the configuration.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::hash::ContentHash;

/// A version of the configuration, whole or as a difference, or the news that
/// there is none newer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    version: u64,
    base: Option<u64>,
    hash: ContentHash,
    json: Bytes,
    age: Option<Duration>,
}

impl Offer {
    /// Makes the offer of a whole configuration with its content hash.
    pub fn new(version: u64, hash: ContentHash, json: impl Into<Bytes>) -> Self {
        Offer { version, base: None, hash, json: json.into(), age: None }
    }

    /// Makes it the offer of a difference to version `base`.
    pub fn with_base(self, base: u64) -> Self {
        Offer { base: Some(base), ..self }
    }

    /// Says how long ago the sender knew that the version was the newest.
    pub fn with_age(self, age: Option<Duration>) -> Self {
        Offer { age, ..self }
    }

    /// Returns the version offered.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version that the difference starts from, or `None` for a
    /// whole configuration.
    pub fn base(&self) -> Option<u64> {
        self.base
    }

    /// Returns the content hash of the version offered.
    pub fn hash(&self) -> ContentHash {
        self.hash
    }

    /// Returns the configuration or the difference as JSON; empty when the
    /// receiver has the version already.
    pub fn json(&self) -> &Bytes {
        &self.json
    }

    /// Returns how long before sending the sender knew that the version was the
    /// newest, or `None` when it never did.
    pub fn age(&self) -> Option<Duration> {
        self.age
    }

    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, OfferError> {
        serde_json::from_slice(&self.json).map_err(|error| OfferError::Json(error.to_string()))
    }
}

/// Why an offer of a newer version is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OfferError {
    /// The difference starts from a version that is not held.
    #[error("the difference starts from version {base}, but version {held} is held")]
    Base {
        /// Version held.
        held: u64,
        /// Version that the difference starts from.
        base: u64,
    },
    /// The content is not what its hash says.
    #[error("the content has hash {found} in place of {expected}")]
    Hash {
        /// Hash that was announced.
        expected: ContentHash,
        /// Hash of the content.
        found: ContentHash,
    },
    /// The text is no configuration or difference.
    #[error("malformed: {0}")]
    Json(String),
}
