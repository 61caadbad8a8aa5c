//! Documents of the directory, and who reads them for whom.
//!
//! A few VMs read the directory (`core::reader`); the others take what they have read
//! over the links between VMs. A document that was read anew and says the same is not
//! passed on, only its newer version is.

use chicoryhollow_core::{
    Time,
    document::{Acceptance, DocumentCopy},
    reader::Readers,
};
use serde::Serialize;
use tokio::sync::watch;

use crate::clock;

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
    held: [DocumentCopy; 4],
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
        self.held.iter().map(DocumentCopy::version).collect()
    }

    /// Returns the digests of the documents held, by kind.
    pub(crate) fn digests(&self) -> Vec<u64> {
        self.held.iter().map(DocumentCopy::digest).collect()
    }

    /// Returns a document.
    pub(crate) fn held(&self, kind: Kind) -> &DocumentCopy {
        &self.held[kind.number() as usize]
    }

    /// Tells whether a VM that holds `version` of a document is to be asked for it.
    pub(crate) fn needs(&mut self, kind: Kind, version: u64, digest: u64, now: Time) -> bool {
        self.held[kind.number() as usize].should_request(version, digest, now)
    }

    /// Keeps a document to pass it on, unless an equally new one is held.
    pub(crate) fn keep(
        &mut self,
        kind: Kind,
        version: u64,
        document: &impl Serialize,
    ) -> Acceptance {
        match serde_json::to_vec(document) {
            Ok(json) => self.held[kind.number() as usize].accept(version, json),
            // Documents are plain data, which JSON can always hold.
            Err(_) => Acceptance::Old,
        }
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
        self.readers.record_reads(others, self.read);
        let reads = self.readers.is_reader(place, now);
        self.gate.send_if_modified(|gate| std::mem::replace(gate, reads) != reads);
    }
}
