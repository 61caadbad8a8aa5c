//! Documents of the directory, and who reads them for whom.
//!
//! A few VMs read the directory (`core::reader`); the others take what they have read
//! over the links between VMs. A document that was read anew and says the same is not
//! passed on, only its newer version is.

use std::time::Duration;

use bytes::Bytes;
use chicoryhollow_core::{Time, reader::Readers};
use serde::Serialize;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;

/// Time to wait for a document before another VM is asked for it.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// A kind of document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// The configuration.
    Catalog,
    /// Data centres that are taken out.
    Evacuated,
    /// Registered servers.
    Servers,
    /// VMs.
    Vms,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub(crate) const ALL: [Kind; 4] = [Kind::Catalog, Kind::Evacuated, Kind::Servers, Kind::Vms];

    /// Returns the number on the wire.
    pub(crate) fn number(self) -> u32 {
        self as u32
    }

    /// Returns the kind of a number.
    pub(crate) fn from_number(number: u32) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.number() == number)
    }
}

/// A document as it is passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// Version; 0 when there is no document.
    pub(crate) version: u64,
    /// The document as JSON.
    pub(crate) json: Bytes,
    /// Digest of the JSON; 0 when there is no document.
    digest: u64,
}

/// What became of a document that was to be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kept {
    /// It says something new.
    New,
    /// It is newer and says what the one before said.
    Same,
    /// An equally new one is held.
    Old,
}

/// What another VM said about its documents.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word {
    /// When its documents were known to be the newest.
    pub(crate) fresh: Time,
    /// Whether it reads the directory and gets answers.
    pub(crate) reads: bool,
}

/// The documents that this VM holds.
pub(crate) struct Relay {
    held: [Held; 4],
    /// When another VM was asked for a document.
    asked: [Option<Time>; 4],
    /// When this VM last read the directory with success.
    read: Option<Time>,
    works: bool,
    readers: Readers,
    gate: watch::Sender<bool>,
}

impl Relay {
    /// Holds nothing yet.
    pub(crate) fn new() -> Self {
        Relay {
            held: Default::default(),
            asked: Default::default(),
            read: None,
            works: false,
            readers: Readers::new(clock::now()),
            gate: watch::Sender::new(true),
        }
    }

    /// Returns a receiver that tells whether this VM is to read the directory.
    pub(crate) fn gate(&self) -> watch::Receiver<bool> {
        self.gate.subscribe()
    }

    /// Tells whether this VM is to read the directory.
    pub(crate) fn is_reader(&self) -> bool {
        *self.gate.borrow()
    }

    /// Tells whether this VM reads the directory and gets answers.
    pub(crate) fn works(&self) -> bool {
        self.works && self.is_reader()
    }

    /// Records whether the directory answered.
    pub(crate) fn note_read(&mut self, works: bool, now: Time) {
        self.works = works;
        if works {
            self.read = Some(now);
        }
    }

    /// Returns the versions held, by kind.
    pub(crate) fn versions(&self) -> Vec<u64> {
        self.held.iter().map(|held| held.version).collect()
    }

    /// Returns the digests of the documents held, by kind.
    pub(crate) fn digests(&self) -> Vec<u64> {
        self.held.iter().map(|held| held.digest).collect()
    }

    /// Returns a document.
    pub(crate) fn held(&self, kind: Kind) -> &Held {
        &self.held[kind.number() as usize]
    }

    /// Tells whether a VM that holds `version` of a document is to be asked for it; a
    /// newer version with the same `digest` is taken over without asking.
    pub(crate) fn needs(&mut self, kind: Kind, version: u64, digest: u64, now: Time) -> bool {
        let held = &mut self.held[kind.number() as usize];
        if version > held.version && held.digest != 0 && digest == held.digest {
            held.version = version;
        }
        let asked = &mut self.asked[kind.number() as usize];
        let waits = asked.is_some_and(|asked| now.since(asked) < ASK_TIMEOUT);
        let needed = version > held.version && !waits;
        if needed {
            *asked = Some(now);
        }
        needed
    }

    /// Keeps a document to pass it on, unless an equally new one is held.
    pub(crate) fn keep(&mut self, kind: Kind, version: u64, document: &impl Serialize) -> Kept {
        let held = &mut self.held[kind.number() as usize];
        if version <= held.version {
            return Kept::Old;
        }
        let Ok(json) = serde_json::to_vec(document) else { return Kept::Old };
        let digest = xxh3_64(&json);
        self.asked[kind.number() as usize] = None;
        if digest == held.digest {
            held.version = version;
            return Kept::Same;
        }
        *held = Held { version, json: json.into(), digest };
        Kept::New
    }

    /// Returns when the documents were last known to be the newest.
    pub(crate) fn fresh<'a>(&self, words: impl IntoIterator<Item = &'a Word>) -> Time {
        let heard = words.into_iter().map(|word| word.fresh).max();
        heard.max(self.read).unwrap_or_default()
    }

    /// Decides whether this VM is to read the directory: `place` is its place among
    /// the VMs of its data centre, `others` is when the newest documents of linked
    /// VMs were read.
    pub(crate) fn choose_reader(&mut self, place: usize, others: Option<Time>, now: Time) {
        self.readers.hear(others, self.read);
        let reads = self.readers.reads(place, now);
        self.gate.send_if_modified(|gate| std::mem::replace(gate, reads) != reads);
    }
}
