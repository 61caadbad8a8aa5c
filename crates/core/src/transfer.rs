//! Transfers of documents that are large for the links between VMs.
//!
//! A copy of a large configuration takes a good part of a second on a narrow link. If a
//! VM sent it to all its neighbours at once, each would wait for all others, would
//! meanwhile request it elsewhere, and the copies would delay each other further. So a VM
//! sends a document in pieces, to few VMs at a time, and each of them can pass it on while
//! the others still wait. A request that has waited too long is dropped, because the VM
//! that sent it then requests the document elsewhere.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

use crate::time::Time;

/// Size of a piece in bytes. Other messages on the link wait for at most one piece.
pub const PIECE_BYTES: usize = 16 << 10;

/// Maximum number of transfers that make progress at the same time.
const MAX_TRANSFERS: usize = 2;

/// Time without progress after which a transfer no longer counts, so that a VM that does
/// not read keeps nobody else waiting.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a waiting request is dropped. It is a little shorter than the time
/// after which the other VM requests the document elsewhere.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(250);

/// The transfers that one VM sends, each named by a `K`, which tells the receiver.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, transfer::Transfers};
///
/// let now = Time::default();
/// let mut transfers = Transfers::new();
/// ["a", "b", "c"].into_iter().for_each(|vm| transfers.request(vm, now));
/// assert_eq!(transfers.start_next(now), Some("a"));
/// assert_eq!(transfers.start_next(now), Some("b"));
/// assert_eq!(transfers.start_next(now), None, "two at a time");
/// transfers.finish(&"a");
/// assert_eq!(transfers.start_next(now), Some("c"));
/// ```
#[derive(Clone, Debug)]
pub struct Transfers<K> {
    /// When each transfer last made progress.
    active: IndexMap<K, Time>,
    /// When each waiting request arrived, oldest first.
    waiting: IndexMap<K, Time>,
}

impl<K: Clone + Eq + Hash> Transfers<K> {
    /// Creates a sender without transfers.
    pub fn new() -> Self {
        Transfers { active: IndexMap::new(), waiting: IndexMap::new() }
    }

    /// Records a request. A transfer that is active goes on.
    pub fn request(&mut self, transfer: K, now: Time) {
        if !self.active.contains_key(&transfer) {
            self.waiting.shift_remove(&transfer);
            self.waiting.insert(transfer, now);
        }
    }

    /// Returns the transfer to start now, if there is one.
    pub fn start_next(&mut self, now: Time) -> Option<K> {
        self.waiting.retain(|_, arrived| now.since(*arrived) < QUEUE_TIMEOUT);
        let progressing = self.active.values().filter(|last| now.since(**last) < STALL_TIMEOUT);
        if progressing.count() >= MAX_TRANSFERS {
            return None;
        }
        let (transfer, _) = self.waiting.shift_remove_index(0)?;
        self.active.insert(transfer.clone(), now);
        Some(transfer)
    }

    /// Records that the receiver has taken a piece.
    pub fn record_progress(&mut self, transfer: &K, now: Time) {
        if let Some(last) = self.active.get_mut(transfer) {
            *last = now;
        }
    }

    /// Ends a transfer, or drops its request.
    pub fn finish(&mut self, transfer: &K) {
        self.active.swap_remove(transfer);
        self.waiting.shift_remove(transfer);
    }
}

impl<K: Clone + Eq + Hash> Default for Transfers<K> {
    fn default() -> Self {
        Transfers::new()
    }
}

/// A piece of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Piece<'a> {
    /// Version of the document.
    pub version: u64,
    /// Size of the whole document in bytes.
    pub size: usize,
    /// Position of the piece in the document.
    pub offset: usize,
    /// Content of the piece.
    pub bytes: &'a [u8],
}

/// Result of adding a piece to an [`Assembly`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Added {
    /// More pieces are to come.
    Partial,
    /// The document is complete.
    Complete(Vec<u8>),
    /// The piece does not continue the document. The assembly starts over.
    Misplaced,
}

/// Puts the pieces of a document together. They arrive in order, over one connection.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::transfer::{Added, Assembly, Piece};
///
/// let mut assembly = Assembly::default();
/// let piece = |offset, bytes| Piece { version: 7, size: 5, offset, bytes };
/// assert_eq!(assembly.add(piece(0, b"abc")), Added::Partial);
/// assert_eq!(assembly.add(piece(3, b"de")), Added::Complete(b"abcde".to_vec()));
/// assert_eq!(assembly.add(piece(3, b"de")), Added::Misplaced);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    version: u64,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Adds a piece.
    pub fn add(&mut self, piece: Piece<'_>) -> Added {
        if piece.offset == 0 {
            self.version = piece.version;
            self.bytes.clear();
        }
        let end = piece.offset.saturating_add(piece.bytes.len());
        let continues = piece.version == self.version && piece.offset == self.bytes.len();
        if !continues || end > piece.size {
            self.bytes = Vec::new();
            return Added::Misplaced;
        }
        self.bytes.extend_from_slice(piece.bytes);
        if end < piece.size {
            Added::Partial
        } else {
            Added::Complete(std::mem::take(&mut self.bytes))
        }
    }
}
