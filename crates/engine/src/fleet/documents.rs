//! Documents of the directory that VMs send each other.
//!
//! A document that is larger than a piece is sent in pieces, so that other messages on the
//! link need not wait for all of it. `chicoryhollow_core::transfer` decides which VMs are
//! sent one at the same time.

use std::rc::Rc;

use bytes::Bytes;
use chicoryhollow_core::{
    VmId,
    document::Acceptance,
    transfer::{Added, PIECE_BYTES, Piece},
};
use chicoryhollow_peer::{
    Body,
    codec::MAX_ENVELOPE_BYTES,
    fleet::{Document, DocumentAsk},
    packed::UnpackError,
};
use slog::o;

use crate::{
    clock,
    engine::Engine,
    fleet::{Fleet, Member, link::Link, rows::apply_members},
    log::Event,
    relay::Kind,
    seam::{Directory, ServerProtocol},
};

/// A VM and the kind of a document that it is sent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Recipient {
    vm: VmId,
    kind: Kind,
}

/// A document that is sent over a link in pieces.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    kind: Kind,
    version: u64,
    /// The whole document, compressed.
    bytes: Bytes,
    /// Number of bytes that were queued to be sent.
    queued: usize,
}

impl Outgoing {
    fn new(kind: Kind, version: u64, bytes: Bytes) -> Self {
        Outgoing { kind, version, bytes, queued: 0 }
    }

    fn next_piece(&mut self) -> Document {
        let offset = self.queued;
        self.queued = (offset + PIECE_BYTES).min(self.bytes.len());
        Document {
            kind: self.kind.number(),
            version: self.version,
            json: self.bytes.slice(offset..self.queued),
            packed: true,
            size: clamp(self.bytes.len()),
            offset: clamp(offset),
        }
    }

    fn is_complete(&self) -> bool {
        self.queued == self.bytes.len()
    }
}

/// Why a document of another VM cannot be used.
#[derive(Debug, thiserror::Error)]
enum DocumentError {
    /// It cannot be decompressed.
    #[error(transparent)]
    Packed(#[from] UnpackError),
    /// It is not valid JSON, or a field is missing or has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is announced with more bytes than a message may have.
    #[error("a document of {0} bytes is too large")]
    TooLarge(u32),
    /// A piece does not continue the document.
    #[error("a piece at {0} is out of place")]
    Misplaced(u32),
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Sends a document that `vm` asked for, or queues it if it is large.
    pub(super) fn send_document(&self, vm: &VmId, link: &Link, ask: &DocumentAsk) {
        let Some(kind) = Kind::from_number(ask.kind) else { return };
        let mut relay = self.relay.borrow_mut();
        let json = match ask.packed {
            true => relay.packed_document(kind),
            false => Bytes::copy_from_slice(relay.document(kind).json()),
        };
        if ask.packed && ask.pieces && json.len() > PIECE_BYTES {
            drop(relay);
            let recipient = Recipient { vm: vm.clone(), kind };
            self.fleet.transfers.borrow_mut().request(recipient, clock::now());
            return self.start_transfers();
        }
        let version = relay.document(kind).version();
        let (kind, packed) = (ask.kind, ask.packed);
        link.send(Body::Document(Document { kind, version, json, packed, size: 0, offset: 0 }));
    }

    fn start_transfers(&self) {
        loop {
            let next = self.fleet.transfers.borrow_mut().start_next(clock::now());
            let Some(recipient) = next else { return };
            let Some(link) = self.fleet.link(&recipient.vm) else {
                self.fleet.transfers.borrow_mut().finish(&recipient);
                continue;
            };
            let outgoing = {
                let mut relay = self.relay.borrow_mut();
                let bytes = relay.packed_document(recipient.kind);
                Outgoing::new(recipient.kind, relay.document(recipient.kind).version(), bytes)
            };
            link.outgoing.borrow_mut().push_back(outgoing);
            link.send_next_piece();
        }
    }

    /// Records that a piece was written to the link, and sends the next one.
    pub(super) fn record_piece_written(&self, vm: &VmId, link: &Link) {
        link.piece_queued.set(false);
        let mut outgoing = link.outgoing.borrow_mut();
        if let Some(first) = outgoing.front() {
            let recipient = Recipient { vm: vm.clone(), kind: first.kind };
            let mut transfers = self.fleet.transfers.borrow_mut();
            if first.is_complete() {
                transfers.finish(&recipient);
                outgoing.pop_front();
            } else {
                transfers.record_progress(&recipient, clock::now());
            }
        }
        drop(outgoing);
        link.send_next_piece();
        self.start_transfers();
    }

    /// Ends the transfers over a link that was lost, and starts others.
    pub(super) fn end_transfers(&self, vm: &VmId, link: &Link) {
        for outgoing in link.outgoing.take() {
            let recipient = Recipient { vm: vm.clone(), kind: outgoing.kind };
            self.fleet.transfers.borrow_mut().finish(&recipient);
        }
        self.start_transfers();
    }

    pub(super) fn handle_document(&self, vm: &VmId, link: &Link, document: Document) {
        let accepted = self.assemble(link, document).and_then(|document| match document {
            Some(document) => self.accept_document(&document),
            None => Ok(()),
        });
        if let Err(error) = accepted {
            let reason = format!("document of {vm} unreadable: {error}");
            self.event_log.record(Event::Unreadable, o!("reason" => reason));
        }
    }

    /// Returns the document if this message completes it.
    fn assemble(&self, link: &Link, document: Document) -> Result<Option<Document>, DocumentError> {
        let Document { version, size, offset, .. } = document;
        let kind = match Kind::from_number(document.kind) {
            Some(kind) if size > 0 => kind,
            _ => return Ok(Some(document)),
        };
        if size as usize > MAX_ENVELOPE_BYTES {
            return Err(DocumentError::TooLarge(size));
        }
        let bytes = &document.json;
        let piece = Piece { version, size: size as usize, offset: offset as usize, bytes };
        match link.incoming.borrow_mut().entry(kind).or_default().add(piece) {
            Added::Partial => {
                self.relay.borrow_mut().record_piece(kind, version, clock::now());
                Ok(None)
            }
            Added::Complete(json) => Ok(Some(Document { json: json.into(), ..document })),
            Added::Misplaced => Err(DocumentError::Misplaced(offset)),
        }
    }

    fn accept_document(&self, document: &Document) -> Result<(), DocumentError> {
        let json = document.content()?;
        match Kind::from_number(document.kind) {
            Some(Kind::Vms) => {
                let members: Vec<Member> = serde_json::from_slice(&json)?;
                let accepted =
                    self.relay.borrow_mut().accept(Kind::Vms, document.version, &members);
                if accepted == Acceptance::New {
                    apply_members(self, members);
                }
            }
            Some(kind) => self.apply_relayed(kind, document.version, &json)?,
            // A kind that only a later version of the daemon knows is ignored.
            None => {}
        }
        Ok(())
    }
}

impl Fleet {
    /// Returns the version of the configuration that each linked VM holds, 0 for none.
    pub(crate) fn offered_catalogs(&self) -> Vec<u64> {
        let links = self.links.borrow();
        let version = |link: &Rc<Link>| link.offered.borrow().version(Kind::Catalog);
        links.values().filter_map(version).collect()
    }
}

impl Link {
    /// Queues the next piece of the oldest outgoing document, unless one is queued.
    fn send_next_piece(&self) {
        if self.piece_queued.get() {
            return;
        }
        let piece = self.outgoing.borrow_mut().front_mut().map(Outgoing::next_piece);
        if let Some(piece) = piece {
            self.piece_queued.set(true);
            self.send(Body::Document(piece));
        }
    }
}

/// Returns a size or position in a document, which is far below the limit of the type.
fn clamp(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
