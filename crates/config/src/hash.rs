//! Content hashes of configurations.

use std::{collections::BTreeMap, fmt, str::FromStr};

use chicoryhollow_core::id::Name;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::{configuration::Configuration, delta::Delta, schema::EntryKind};

/// Length of a content hash in bytes.
const HASH_BYTES: usize = 32;

/// SHA-256 hash of the content of a [`Configuration`], independent of the order
/// of its names.
///
/// Each entry is hashed on its own, and the hash of the configuration covers
/// the hashes of the entries. [`Digests`] can thus apply a small change at a
/// small cost.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ContentHash([u8; HASH_BYTES]);

impl ContentHash {
    /// Hashes `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        Digests::new(configuration).hash()
    }

    /// Creates a hash from its bytes; `None` unless there are 32 of them.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(ContentHash)
    }

    /// Returns the bytes of the hash.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the name of the platform's object with this configuration.
    pub fn object_name(&self) -> String {
        format!("configuration-{self}")
    }

    /// Returns the name of the platform's object with the difference to `next`.
    pub fn delta_object_name(&self, next: &ContentHash) -> String {
        format!("delta-{self}-{next}")
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ContentHash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, HashError> {
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(HashError);
        }
        let mut bytes = [0; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| HashError)?;
        }
        Ok(ContentHash(bytes))
    }
}

impl Serialize for ContentHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ContentHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}

/// The text is not a content hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid content hash, expected 64 hexadecimal digits")]
pub struct HashError;

/// Hashes of all entries of one configuration, which are updated by a difference
/// without hashing the unchanged entries again.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    entries: BTreeMap<(EntryKind, String), [u8; HASH_BYTES]>,
}

impl Digests {
    /// Hashes all entries of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut digests = Digests::default();
        digests.insert_all(configuration);
        digests
    }

    /// Applies the difference from the hashed configuration to the next one.
    pub fn apply(&mut self, delta: &Delta) {
        let removed = delta.removed();
        self.remove(EntryKind::DataCentre, &removed.data_centres);
        self.remove(EntryKind::Group, &removed.groups);
        self.remove(EntryKind::Account, &removed.accounts);
        self.remove(EntryKind::Key, &removed.keys);
        self.remove(EntryKind::Route, &removed.routes);
        self.insert_all(delta.changed());
    }

    /// Returns the hash of the whole configuration.
    pub fn hash(&self) -> ContentHash {
        let mut whole = Sha256::new();
        self.entries.values().for_each(|digest| whole.update(digest));
        ContentHash(whole.finalize().into())
    }

    fn insert_all(&mut self, configuration: &Configuration) {
        self.insert(EntryKind::DataCentre, &configuration.data_centres);
        self.insert(EntryKind::Group, &configuration.groups);
        self.insert(EntryKind::Account, &configuration.accounts);
        self.insert(EntryKind::Key, &configuration.keys);
        self.insert(EntryKind::Route, &configuration.routes);
    }

    fn insert<K, V: Canonical>(&mut self, kind: EntryKind, entries: &IndexMap<Name<K>, V>) {
        for (name, value) in entries {
            let digest = entry_digest(kind, name.as_str(), value);
            self.entries.insert((kind, name.as_str().to_owned()), digest);
        }
    }

    fn remove<K>(&mut self, kind: EntryKind, names: &IndexSet<Name<K>>) {
        for name in names {
            self.entries.remove(&(kind, name.as_str().to_owned()));
        }
    }
}

/// An entry that has the same JSON text for all equal values.
trait Canonical: Serialize {
    fn canonical(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry with names for keys is always JSON")
    }
}

impl Canonical for crate::configuration::DataCentre {}
impl Canonical for crate::configuration::Account {}
impl Canonical for crate::configuration::Key {}

impl Canonical for crate::configuration::Group {
    fn canonical(&self) -> Vec<u8> {
        let servers: BTreeMap<_, _> = self.servers.iter().collect();
        serde_json::to_vec(&servers).expect("servers with names for keys are always JSON")
    }
}

impl Canonical for crate::configuration::Route {
    fn canonical(&self) -> Vec<u8> {
        let mut route = self.clone();
        route.accounts.sort_unstable();
        serde_json::to_vec(&route).expect("a route is always JSON")
    }
}

/// Hashes one entry with its kind and name.
///
/// Names contain no zero byte, so a zero byte separates the parts.
fn entry_digest(kind: EntryKind, name: &str, value: &impl Canonical) -> [u8; HASH_BYTES] {
    let mut digest = Sha256::new();
    for part in [kind.section().as_bytes(), b"\0", name.as_bytes(), b"\0", &value.canonical()] {
        digest.update(part);
    }
    digest.finalize().into()
}
