//! A VM's copy of a document of the directory.
//!
//! VMs send each other the version and the digest of the documents that they hold. A VM
//! with an older version requests the newer document, unless the digest shows that the
//! content is the same. Equal digests are common: several VMs read the directory, each
//! read gets a version of its own, and most reads return unchanged content.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::time::Time;

/// Time to wait for a requested document, or for its next piece, before another VM is asked
/// for it.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a document that is offered from another data centre is not requested,
/// because a VM nearby may soon have it too.
const FAR_DELAY: Duration = Duration::from_millis(400);

/// Result of offering a document to a [`DocumentCopy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// The document was accepted and its content is new.
    New,
    /// The document was accepted; it has a newer version but the same content.
    Same,
    /// The document was discarded because its version is not newer.
    Old,
}

/// One VM's copy of a document, with its version and digest.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, document::{DocumentCopy, Acceptance}};
///
/// let mut copy = DocumentCopy::default();
/// assert_eq!(copy.accept(3, b"[1]".to_vec()), Acceptance::New);
/// assert_eq!(copy.accept(5, b"[1]".to_vec()), Acceptance::Same);
/// assert_eq!(copy.accept(4, b"[2]".to_vec()), Acceptance::Old);
/// assert!(!copy.should_request(7, copy.digest(), true, Time::default()), "same content");
/// assert!(copy.should_request(9, 1, true, Time::default()));
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct DocumentCopy {
    version: u64,
    json: Vec<u8>,
    digest: u64,
    /// When the document was last requested, or a piece of it last arrived.
    asked: Option<Time>,
    /// Since when a newer document is offered from another data centre.
    offered: Option<Time>,
    /// Since when this VM knows that a newer document exists.
    outdated: Option<Time>,
    /// Number of requests for it.
    requests: u32,
}

/// How a VM has tried to get a newer document.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FetchStats {
    /// Time since the VM learnt that the document exists.
    pub waited: Duration,
    /// Number of requests to other VMs.
    pub requests: u32,
}

impl DocumentCopy {
    /// Returns the version, or 0 if there is no document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document as JSON, or an empty slice if there is none.
    pub fn json(&self) -> &[u8] {
        &self.json
    }

    /// Returns a digest of the JSON, or 0 if there is no document.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether to request the document now from a VM that holds `version`.
    ///
    /// A newer version with the same `digest` is adopted without a request. A VM in another
    /// data centre, which is not `near`, is asked only if none nearby has the document soon.
    pub fn should_request(&mut self, version: u64, digest: u64, near: bool, now: Time) -> bool {
        if version <= self.version {
            return false;
        }
        if self.digest != 0 && digest == self.digest {
            self.version = version;
            self.outdated = None;
            return false;
        }
        self.outdated.get_or_insert(now);
        if !near && now.since(*self.offered.get_or_insert(now)) < FAR_DELAY && self.digest != 0 {
            return false;
        }
        if self.asked.is_some_and(|asked| now.since(asked) < ASK_TIMEOUT) {
            return false;
        }
        self.asked = Some(now);
        self.requests += 1;
        true
    }

    /// Records that a piece of a document with `version` has arrived.
    pub fn record_piece(&mut self, version: u64, now: Time) {
        if version > self.version {
            self.asked = Some(now);
        }
    }

    /// Returns how this VM has tried to get a document that is newer than its copy.
    pub fn fetch_stats(&self, now: Time) -> FetchStats {
        let waited = self.outdated.map_or(Duration::ZERO, |since| now.since(since));
        FetchStats { waited, requests: self.requests }
    }

    /// Replaces this copy by the document if `version` is newer.
    pub fn accept(&mut self, version: u64, json: Vec<u8>) -> Acceptance {
        if version <= self.version {
            return Acceptance::Old;
        }
        let digest = xxh3_64(&json);
        let same = self.digest == digest && self.json == json;
        *self = DocumentCopy { version, json, digest, ..DocumentCopy::default() };
        if same { Acceptance::Same } else { Acceptance::New }
    }
}
