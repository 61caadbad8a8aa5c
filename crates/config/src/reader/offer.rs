//! Offers: messages in which one VM sends another its version of the configuration.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::hash::ContentHash;

/// A version of the configuration, whole or as a difference, or the answer that
/// the sender has no newer one.
///
/// An answer without a newer version has empty JSON and the version itself as its
/// base.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    version: u64,
    base: Option<u64>,
    hash: ContentHash,
    json: Bytes,
    age: Option<Duration>,
}

impl Offer {
    /// Creates the offer of a whole configuration with its content hash.
    pub fn new(version: u64, hash: ContentHash, json: impl Into<Bytes>) -> Self {
        Offer { version, base: None, hash, json: json.into(), age: None }
    }

    /// Marks the JSON as the difference that starts from version `base`.
    pub fn with_base(self, base: u64) -> Self {
        Offer { base: Some(base), ..self }
    }

    /// Sets the time from the sender's last confirmation that the version is the
    /// newest until the offer is sent; `None` if there was no confirmation.
    pub fn with_age(self, age: Option<Duration>) -> Self {
        Offer { age, ..self }
    }

    /// Returns the offered version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version that the difference starts from, or `None` for a
    /// whole configuration.
    pub fn base(&self) -> Option<u64> {
        self.base
    }

    /// Returns the content hash of the offered version.
    pub fn hash(&self) -> ContentHash {
        self.hash
    }

    /// Returns the configuration or the difference as JSON; empty if the sender has no
    /// newer version than the receiver.
    pub fn json(&self) -> &Bytes {
        &self.json
    }

    /// Returns the time from the sender's last confirmation that the version is the
    /// newest until the offer was sent, or `None` if there was no confirmation.
    pub fn age(&self) -> Option<Duration> {
        self.age
    }

    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, OfferError> {
        serde_json::from_slice(&self.json).map_err(|error| OfferError::Json(error.to_string()))
    }
}

/// The reason why an offer of a newer version is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OfferError {
    /// The difference starts from a version that the VM does not hold.
    #[error("the difference starts from version {base}, but version {held} is held")]
    Base {
        /// Version that the VM holds.
        held: u64,
        /// Version that the difference starts from.
        base: u64,
    },
    /// The content does not match the announced hash.
    #[error("the content has hash {found}, expected {expected}")]
    Hash {
        /// Announced hash.
        expected: ContentHash,
        /// Hash of the content.
        found: ContentHash,
    },
    /// The JSON is not a configuration or a difference.
    #[error("malformed JSON: {0}")]
    Json(String),
}
