//! One VM's copy of a document of the directory.
//!
//! VMs tell each other which version they hold and a digest of what it says. A VM that
//! holds an older version asks for the newer one, unless the digest shows that it says
//! the same: documents are read anew by several VMs, each reading has a version of its
//! own, and most say nothing new.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::time::Time;

/// Time to wait for a document before another VM is asked for it.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// What became of a document that was to be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// It says something new.
    New,
    /// It is newer and says what the one before said.
    Same,
    /// An equally new one is held.
    Old,
}

/// One VM's copy of a document.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, document::{DocumentCopy, Acceptance}};
///
/// let mut held = DocumentCopy::default();
/// assert_eq!(held.accept(3, b"[1]".to_vec()), Acceptance::New);
/// assert_eq!(held.accept(5, b"[1]".to_vec()), Acceptance::Same);
/// assert_eq!(held.accept(4, b"[2]".to_vec()), Acceptance::Old);
/// assert!(!held.should_request(7, held.digest(), Time::default()), "it says the same");
/// assert!(held.should_request(9, 1, Time::default()));
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct DocumentCopy {
    version: u64,
    json: Vec<u8>,
    digest: u64,
    asked: Option<Time>,
}

impl DocumentCopy {
    /// Returns the version; 0 when there is no document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document as JSON; empty when there is none.
    pub fn json(&self) -> &[u8] {
        &self.json
    }

    /// Returns a digest of the JSON; 0 when there is no document.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Tells whether a VM that holds `version` is to be asked for it now; a newer
    /// version with the same `digest` is taken over without asking.
    pub fn should_request(&mut self, version: u64, digest: u64, now: Time) -> bool {
        if version <= self.version {
            return false;
        }
        if self.digest != 0 && digest == self.digest {
            self.version = version;
            return false;
        }
        if self.asked.is_some_and(|asked| now.since(asked) < ASK_TIMEOUT) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Keeps a document, unless an equally new one is held.
    pub fn accept(&mut self, version: u64, json: Vec<u8>) -> Acceptance {
        if version <= self.version {
            return Acceptance::Old;
        }
        let digest = xxh3_64(&json);
        let same = self.digest == digest && self.json == json;
        *self = DocumentCopy { version, json, digest, asked: None };
        if same { Acceptance::Same } else { Acceptance::New }
    }
}
