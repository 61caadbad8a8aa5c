//! Memory budget: which messages of callers are read, and which caller is rejected first.
//!
//! A daemon holds bytes for its callers: messages that were read and not answered, answers that
//! were not taken, and the state of sessions. A [`Budget`] counts them by connection, by client
//! account and in total. A message that would exceed a limit is not read until there is room.
//! Answers and session state are counted only after they are in memory, so they cannot be made to
//! wait. If together they exceed half of the limit for all callers, the connection that holds most
//! of them is rejected.
//!
//! [`Progress`] and [`Receiving`] decide whether a caller sends or takes bytes too slowly.

mod progress;

use std::{collections::HashMap, fmt};

use indexmap::IndexMap;

use crate::id::AccountId;

pub use self::progress::{PROGRESS_SPAN, Progress, Receiving};

/// Size up to which a message is read without asking the budget, in bytes.
pub const SMALL_MESSAGE_BYTES: usize = 8 << 10;

/// Size up to which a message counts as medium, in bytes.
pub const MEDIUM_MESSAGE_BYTES: usize = 64 << 10;

/// Maximum length of a message of the line protocol, in bytes. Each message above the medium size
/// counts for at least this much; messages of PostgreSQL may be longer.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Copies of a message that exist at the same time while it runs: as it was read, in the command
/// for the server, in the attempt, and as it is sent.
const MESSAGE_COPIES: usize = 4;

/// Divisor of the memory; the result is the part that callers may use.
const MEMORY_DIVISOR: usize = 4;

/// Divisor of the memory; the result is the part that the buffers of sockets may use.
const SOCKET_DIVISOR: usize = 8;

/// Smallest and largest buffer of a socket in each direction, in bytes.
const SOCKET_BUFFER_BYTES: (usize, usize) = (16 << 10, 64 << 10);

/// Smallest limit of the state of one session, in bytes.
const MIN_SESSION_BYTES: usize = 2 << 20;

/// Limits of what a daemon holds for its callers, in bytes.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::budget::{Limits, MAX_MESSAGE_BYTES};
///
/// let limits = Limits::new(128 << 20, 3_300);
/// assert_eq!(limits.process, 32 << 20);
/// assert!(limits.session > MAX_MESSAGE_BYTES);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// For all callers together.
    pub process: usize,
    /// For the messages of one client account.
    pub account: usize,
    /// For the variables and prepared statements of one session.
    pub session: usize,
    /// For the buffer of a caller's socket, in each direction.
    pub socket: usize,
}

impl Limits {
    /// Creates the limits of a VM with so many bytes of `memory` and at most so many `callers`.
    pub fn new(memory: usize, callers: usize) -> Self {
        // One message of the maximum size is always possible, for one account too.
        let largest = message_cost(MAX_MESSAGE_BYTES);
        let process = (memory / MEMORY_DIVISOR).max(2 * largest);
        let (least, most) = SOCKET_BUFFER_BYTES;
        Limits {
            process,
            account: (process / 2).max(largest),
            session: (process / 8).max(MIN_SESSION_BYTES),
            socket: (memory / SOCKET_DIVISOR / 2 / callers.max(1)).clamp(least, most),
        }
    }
}

/// Number of a connection in a [`Budget`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// Kind of bytes that are counted after they are in memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holding {
    /// An answer that the caller has not taken.
    Answer,
    /// Variables and prepared statements of the session.
    Session,
}

/// Whether a message may be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// Its bytes are counted and may be read.
    Read,
    /// It has to wait until others are done.
    Wait,
}

/// Why a caller is rejected or disconnected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LimitReason {
    /// The memory for callers was used up, and it held most of it or waited too long for room.
    Memory,
    /// A statement was refused because the session keeps too many variables or prepared
    /// statements.
    Session,
    /// It sent a message, or a part of one, too slowly.
    SlowSender,
    /// It took an answer too slowly.
    SlowReader,
    /// It sent a message above the limit of its length.
    MessageLength,
    /// There are as many callers as descriptors allow.
    Callers,
    /// It connected to the address of the other VMs and did not show that it is one.
    UnknownPeer,
}

impl LimitReason {
    /// All reasons, in the order of `docs/design/limits.md`.
    pub const ALL: [LimitReason; 7] = [
        LimitReason::Memory,
        LimitReason::Session,
        LimitReason::SlowSender,
        LimitReason::SlowReader,
        LimitReason::MessageLength,
        LimitReason::Callers,
        LimitReason::UnknownPeer,
    ];

    /// Returns the label of the reason in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            LimitReason::Memory => "memory",
            LimitReason::Session => "session",
            LimitReason::SlowSender => "slow_sender",
            LimitReason::SlowReader => "slow_reader",
            LimitReason::MessageLength => "message_length",
            LimitReason::Callers => "callers",
            LimitReason::UnknownPeer => "unknown_peer",
        }
    }
}

impl fmt::Display for LimitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Bytes held for one connection.
#[derive(Clone, Debug, Default)]
struct Holder {
    account: Option<AccountId>,
    message: usize,
    answer: usize,
    session: usize,
    /// Whether the connection is to be closed, after which it holds nothing.
    rejected: bool,
}

impl Holder {
    fn kept(&self) -> usize {
        self.answer + self.session
    }
}

/// Bytes held for all connections of a daemon.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    holders: IndexMap<HolderId, Holder>,
    /// Bytes of messages by account.
    accounts: HashMap<AccountId, usize>,
    messages: usize,
    kept: usize,
    next: u64,
}

impl Budget {
    /// Creates a budget without connections.
    pub fn new(limits: Limits) -> Self {
        Budget {
            limits,
            holders: IndexMap::new(),
            accounts: HashMap::new(),
            messages: 0,
            kept: 0,
            next: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the bytes held for all connections.
    pub fn total(&self) -> usize {
        self.messages + self.kept
    }

    /// Adds a connection.
    pub fn join(&mut self) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        self.holders.insert(id, Holder::default());
        id
    }

    /// Sets the account of a connection, whose caller has shown a key.
    pub fn set_account(&mut self, id: HolderId, account: AccountId) {
        self.finish_message(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.account = Some(account);
        }
    }

    /// Removes a connection and everything held for it.
    pub fn leave(&mut self, id: HolderId) {
        self.finish_message(id);
        if let Some(holder) = self.holders.swap_remove(&id)
            && !holder.rejected
        {
            self.kept -= holder.kept();
        }
    }

    /// Asks to read a message of up to `bytes`, of which a part was read already.
    ///
    /// Medium messages leave half of each limit to large ones, and one large message is read
    /// although there is no room, so that a large message always completes although others wait
    /// with a part of theirs.
    pub fn request_message(&mut self, id: HolderId, bytes: usize) -> Grant {
        let Some(holder) = self.holders.get(&id) else { return Grant::Wait };
        let cost = message_cost(bytes);
        let added = cost.saturating_sub(holder.message);
        if added == 0 {
            return Grant::Read;
        }
        let share = |limit: usize| if bytes > MEDIUM_MESSAGE_BYTES { limit } else { limit / 2 };
        let of_account = holder.account.as_ref().map_or(0, |name| self.of_account(name));
        let has_room = self.total() + added <= share(self.limits.process)
            && of_account + added <= share(self.limits.account);
        if !has_room && self.awaits_others(id, bytes) {
            return Grant::Wait;
        }
        self.add_message(id, added);
        Grant::Read
    }

    /// Records that a message was answered or given up.
    pub fn finish_message(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let bytes = std::mem::take(&mut holder.message);
        self.messages -= bytes;
        let Some(name) = &holder.account else { return };
        if let Some(of_account) = self.accounts.get_mut(name) {
            *of_account -= bytes;
            if *of_account == 0 {
                self.accounts.remove(name);
            }
        }
    }

    /// Sets the bytes that a connection holds. Returns the connection to reject if there are too
    /// many: the one that holds most, which may be another one.
    ///
    /// What a rejected connection holds no longer counts, so that the next call does not name it
    /// again while it is being closed, but another one if there are still too many bytes.
    pub fn hold(&mut self, id: HolderId, holding: Holding, bytes: usize) -> Option<HolderId> {
        let holder = self.holders.get_mut(&id)?;
        let before = match holding {
            Holding::Answer => std::mem::replace(&mut holder.answer, bytes),
            Holding::Session => std::mem::replace(&mut holder.session, bytes),
        };
        if holder.rejected {
            return None;
        }
        self.kept = self.kept + bytes - before;
        // The other half is for messages, which wait instead.
        if bytes <= before || self.kept <= self.limits.process / 2 {
            return None;
        }
        let open = self.holders.iter_mut().filter(|(_, holder)| !holder.rejected);
        let (largest, holder) = open.max_by_key(|(id, holder)| (holder.kept(), **id))?;
        holder.rejected = true;
        self.kept -= holder.kept();
        Some(*largest)
    }

    /// Returns whether a message has to wait for others that will be done: a large one for other
    /// large ones, and any other one for all.
    fn awaits_others(&self, id: HolderId, bytes: usize) -> bool {
        let others = self.holders.iter().filter(|(other, _)| **other != id);
        let least =
            if bytes > MEDIUM_MESSAGE_BYTES { message_cost(MEDIUM_MESSAGE_BYTES) } else { 0 };
        others.into_iter().any(|(_, holder)| holder.message > least)
    }

    fn of_account(&self, name: &AccountId) -> usize {
        self.accounts.get(name).copied().unwrap_or_default()
    }

    fn add_message(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.message += bytes;
        self.messages += bytes;
        if let Some(name) = &holder.account {
            *self.accounts.entry(name.clone()).or_default() += bytes;
        }
    }
}

/// Returns the bytes that a message of up to `bytes` uses while it runs.
fn message_cost(bytes: usize) -> usize {
    let class = match bytes {
        0..=SMALL_MESSAGE_BYTES => return 0,
        _ if bytes <= MEDIUM_MESSAGE_BYTES => MEDIUM_MESSAGE_BYTES,
        _ => bytes.max(MAX_MESSAGE_BYTES),
    };
    class * MESSAGE_COPIES
}
