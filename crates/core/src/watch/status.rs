//! Status that a backend server reports.

use std::{fmt, time::Duration};

use crate::{
    id::{Incarnation, ServerId, VmId},
    position::{Lsn, Position, Term},
    view::TermStart,
};

/// The owner of a fence: the VM that requested it and the incarnation of its
/// daemon.
///
/// Two watchers that fence at the same term have different owners, and so have
/// two incarnations of the same watcher.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FenceOwner(String);

impl FenceOwner {
    /// Creates the owner for one incarnation of the daemon on `vm`.
    pub fn new(vm: &VmId, incarnation: Incarnation) -> Self {
        FenceOwner(format!("{vm}/{incarnation}"))
    }

    /// Creates an owner from the text that a backend server reported.
    pub fn from_text(text: impl Into<String>) -> Self {
        FenceOwner(text.into())
    }

    /// Returns the text form, `VM/INCARNATION`.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for FenceOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The role of a backend server in its group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerRole {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    #[default]
    Replica,
    /// Fenced at a term that has no primary yet.
    Fenced,
}

/// The answer of a backend server to a status request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerStatus {
    /// Role of the server.
    pub role: ServerRole,
    /// Term of the log that the server follows.
    pub term: Term,
    /// Highest term at which the server was fenced.
    pub fence_term: Term,
    /// Owner of the fence at that term.
    pub fence_owner: FenceOwner,
    /// Log position up to which the server holds the log durably.
    pub received: Lsn,
    /// Log position up to which reads on the server see changes.
    pub applied: Lsn,
    /// Time since a majority last answered the server. Reported only by a
    /// primary.
    pub majority_age: Option<Duration>,
    /// Members of the group that the server knows.
    pub members: Vec<ServerId>,
    /// Version of that member list.
    pub members_version: u64,
    /// Starts of all terms that the server knows, oldest first.
    pub history: Vec<TermStart>,
}

impl ServerStatus {
    /// Returns the position that the server holds durably.
    ///
    /// A server may follow a term before it has received the whole log up to
    /// the start of that term. It then counts with the term that its log
    /// reaches. Otherwise it would rank above a server that holds acknowledged
    /// writes of that term.
    pub fn position(&self) -> Position {
        let begun = |start: &&TermStart| start.lsn > self.received;
        let missing = self.history.iter().find(begun).map(|start| start.term);
        let reached = self.history.iter().rev().find(|start| start.lsn <= self.received);
        let term = match missing {
            Some(_) => reached.map_or(Term::default(), |start| start.term),
            None => self.term,
        };
        Position::new(term, self.received)
    }

    /// Returns the highest term that the server has seen, in its log or in a
    /// fence.
    pub fn highest_term(&self) -> Term {
        self.term.max(self.fence_term)
    }
}
