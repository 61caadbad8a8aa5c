//! Copies of the directory's documents, passed on between VMs.
//!
//! A few VMs read the directory (see `chicoryhollow_core::reader`). The others
//! receive the documents over the links between VMs. If a document is read again
//! and its content is unchanged, only its newer version is passed on.

use bytes::Bytes;
use chicoryhollow_core::{
    Time,
    document::{Acceptance, DocumentCopy},
    reader::Readers,
};
use chicoryhollow_peer::packed::pack;
use serde::Serialize;
use tokio::sync::watch;

use crate::{clock, seam::Reading};

/// A kind of document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Kind {
    /// The configuration.
    Catalog,
    /// Evacuated data centres.
    Evacuated,
    /// Registered servers.
    Servers,
    /// List of VMs.
    Vms,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub(crate) const ALL: [Kind; 4] = [Kind::Catalog, Kind::Evacuated, Kind::Servers, Kind::Vms];

    /// Returns the number of the kind in peer messages.
    pub(crate) fn number(self) -> u32 {
        self as u32
    }

    /// Returns the kind with a number, if there is one.
    pub(crate) fn from_number(number: u32) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.number() == number)
    }
}

/// The documents that a VM holds, in the order of the numbers of their kinds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Offer {
    /// Version of each document.
    pub(crate) versions: Vec<u64>,
    /// Digest of each document.
    pub(crate) digests: Vec<u64>,
}

impl Offer {
    /// Returns the version of a document, 0 for none, or `None` if the offer is empty.
    pub(crate) fn version(&self, kind: Kind) -> Option<u64> {
        self.versions.get(kind.number() as usize).copied()
    }
}

/// What another VM reported about its documents.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DocumentStatus {
    /// When its documents were last known to be up to date.
    pub(crate) fresh_at: Time,
    /// Whether it reads the directory and gets answers.
    pub(crate) is_active_reader: bool,
}

/// This VM's copies of the documents, and its role as a reader of the directory.
pub(crate) struct Relay {
    documents: [DocumentCopy; 4],
    /// Compressed documents with their versions, by kind.
    packed: [Option<(u64, Bytes)>; 4],
    /// When this VM last read the directory successfully.
    last_read: Option<Time>,
    /// Whether the directory answered the last read.
    answered: bool,
    readers: Readers,
    /// How this VM should read the directory.
    reading: watch::Sender<Reading>,
}

impl Relay {
    /// Creates a relay that holds no documents yet.
    pub(crate) fn new() -> Self {
        Relay {
            documents: Default::default(),
            packed: Default::default(),
            last_read: None,
            answered: false,
            readers: Readers::new(clock::now()),
            reading: watch::Sender::new(Reading::Once),
        }
    }

    /// Returns a receiver of how this VM should read the directory.
    pub(crate) fn reading(&self) -> watch::Receiver<Reading> {
        self.reading.subscribe()
    }

    /// Returns whether this VM should read the directory on behalf of others.
    pub(crate) fn is_reader(&self) -> bool {
        *self.reading.borrow() == Reading::Always
    }

    /// Returns whether this VM reads the directory and gets answers.
    pub(crate) fn is_active_reader(&self) -> bool {
        self.answered && self.is_reader()
    }

    /// Records whether the directory answered.
    pub(crate) fn record_read(&mut self, answered: bool, now: Time) {
        self.answered = answered;
        if answered {
            self.last_read = Some(now);
        }
    }

    /// Returns the documents that this VM holds.
    pub(crate) fn offer(&self) -> Offer {
        Offer {
            versions: self.documents.iter().map(DocumentCopy::version).collect(),
            digests: self.documents.iter().map(DocumentCopy::digest).collect(),
        }
    }

    /// Returns this VM's copy of a document.
    pub(crate) fn document(&self, kind: Kind) -> &DocumentCopy {
        &self.documents[kind.number() as usize]
    }

    /// Returns this VM's copy of a document, compressed.
    pub(crate) fn packed_document(&mut self, kind: Kind) -> Bytes {
        let i = kind.number() as usize;
        let copy = &self.documents[i];
        match &self.packed[i] {
            Some((version, bytes)) if *version == copy.version() => bytes.clone(),
            _ => {
                let bytes = pack(copy.json());
                self.packed[i] = Some((copy.version(), bytes.clone()));
                bytes
            }
        }
    }

    /// Returns whether to ask a VM, which may be `near`, for a document that it holds in
    /// `version`.
    pub(crate) fn should_request(
        &mut self,
        kind: Kind,
        version: u64,
        digest: u64,
        near: bool,
        now: Time,
    ) -> bool {
        self.documents[kind.number() as usize].should_request(version, digest, near, now)
    }

    /// Records that a piece of a document has arrived.
    pub(crate) fn record_piece(&mut self, kind: Kind, version: u64, now: Time) {
        self.documents[kind.number() as usize].record_piece(version, now);
    }

    /// Stores a document to pass it on, unless the present copy is at least as new.
    pub(crate) fn accept(
        &mut self,
        kind: Kind,
        version: u64,
        document: &impl Serialize,
    ) -> Acceptance {
        match serde_json::to_vec(document) {
            Ok(json) => self.documents[kind.number() as usize].accept(version, json),
            // Documents are plain data, which can always be written as JSON.
            Err(_) => Acceptance::Old,
        }
    }

    /// Returns when the documents were last known to be up to date, according to
    /// this VM's own reads and the reports of other VMs.
    pub(crate) fn fresh_at<'a>(
        &self,
        statuses: impl IntoIterator<Item = &'a DocumentStatus>,
    ) -> Time {
        let newest = statuses.into_iter().map(|status| status.fresh_at).max();
        newest.max(self.last_read).unwrap_or_default()
    }

    /// Records that the link to a VM that reads was lost, and that no other linked VM reads.
    pub(crate) fn record_lost_reader(&mut self, now: Time) {
        self.readers.record_lost(now);
    }

    /// Records that a linked VM reads the directory and gets answers.
    pub(crate) fn record_linked_reader(&mut self) {
        self.readers.record_linked();
    }

    /// Decides whether this VM should read the directory. `rank` is its rank among
    /// the VMs of its data centre. `others` is the newest time at which the documents
    /// of a linked VM were known to be up to date. Returns whether this VM has begun or
    /// ceased to read for others, or `None` if neither.
    pub(crate) fn choose_reader(
        &mut self,
        rank: usize,
        others: Option<Time>,
        now: Time,
    ) -> Option<bool> {
        let was_reader = self.is_reader();
        self.readers.record_reads(others, self.last_read);
        let has_documents =
            [Kind::Catalog, Kind::Servers].iter().all(|kind| self.document(*kind).version() > 0);
        let mode = match (self.readers.is_reader(rank, now), has_documents) {
            (true, _) => Reading::Always,
            (false, true) => Reading::Paused,
            (false, false) => Reading::Once,
        };
        self.reading.send_if_modified(|last| std::mem::replace(last, mode) != mode);
        (self.is_reader() != was_reader).then(|| self.is_reader())
    }
}
