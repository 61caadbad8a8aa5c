//! What a backend server tells about itself.

use std::{fmt, time::Duration};

use crate::{
    id::{Incarnation, ServerId, VmId},
    position::{Lsn, Position, Term},
    view::TermStart,
};

/// Who ordered a fence: a VM and the run of its daemon.
///
/// Two watchers that fence at the same term differ in their owner, and so does
/// a watcher from its own earlier run.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FenceOwner(String);

impl FenceOwner {
    /// Makes the owner that stands for one run of the daemon on `vm`.
    pub fn new(vm: &VmId, incarnation: Incarnation) -> Self {
        FenceOwner(format!("{vm}/{incarnation}"))
    }

    /// Takes an owner as a backend server reported it.
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

/// What part a backend server plays in its group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerRole {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    #[default]
    Replica,
    /// Fenced at a term that has no primary yet.
    Fenced,
}

/// The answer of a backend server to a status request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerStatus {
    /// Part that the server plays.
    pub role: ServerRole,
    /// Term of the newest log record that it follows.
    pub term: Term,
    /// Highest term at which it was fenced.
    pub fence_term: Term,
    /// Who fenced it at that term.
    pub fence_owner: FenceOwner,
    /// Log position that it holds durably.
    pub received: Lsn,
    /// Log position visible to its reads.
    pub applied: Lsn,
    /// Time since a majority last answered it; primary only.
    pub majority_age: Option<Duration>,
    /// Members of the group that it knows.
    pub members: Vec<ServerId>,
    /// Version of that member list.
    pub members_version: u64,
    /// Starts of all terms that it knows, oldest first.
    pub history: Vec<TermStart>,
}

impl ServerStatus {
    /// Returns the position that the server holds durably.
    ///
    /// A server that began to follow a term and has not yet received all that
    /// came before it ranks with the term that its log reaches. Otherwise it
    /// would outrank a server that holds acknowledged writes of that term.
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

    /// Returns the highest term that the server has seen.
    pub fn highest_term(&self) -> Term {
        self.term.max(self.fence_term)
    }
}
