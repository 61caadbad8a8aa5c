//! What a VM believes about one database group.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::{GroupId, ServerId},
    position::{Lsn, Position, Term},
};

/// Where the log of one term begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term that was promoted.
    pub term: Term,
    /// Last log position that the new primary held from earlier terms.
    pub lsn: Lsn,
    /// First transaction id that the new primary gave out.
    pub xid: u64,
}

/// What is known of one backend server of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerView {
    /// Whether a watcher reached it lately.
    pub reachable: bool,
    /// Newest position it was seen to have applied.
    pub applied: Position,
}

/// The newest knowledge of a database group, as told by its watchers.
///
/// Views only move forward: one with an older term never replaces a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// The group described.
    pub group: GroupId,
    /// Term of the newest known primary.
    pub term: Term,
    /// The newest known primary, or none while a promotion is under way.
    pub primary: Option<ServerId>,
    /// Starts of all terms up to [`GroupView::term`], oldest first.
    pub history: Vec<TermStart>,
    /// The servers of the group.
    pub servers: IndexMap<ServerId, ServerView>,
}

impl GroupView {
    /// Makes the view of a group of which nothing is known yet.
    pub fn new(group: GroupId) -> Self {
        GroupView {
            group,
            term: Term::default(),
            primary: None,
            history: Vec::new(),
            servers: IndexMap::new(),
        }
    }

    /// Tells whether `position` is part of the history that led to this view's
    /// term.
    ///
    /// A position of an older term survives when the next term began at or
    /// after it. `None` means that the view is older than the position and
    /// cannot tell.
    pub fn contains(&self, position: Position) -> Option<bool> {
        if position.term() > self.term {
            return None;
        }
        let next = self.history.iter().find(|start| start.term > position.term());
        Some(next.is_none_or(|start| position.lsn() <= start.lsn))
    }

    /// Returns the log position at which a server of this view's term holds
    /// all that `position` stands for and that survived.
    pub fn required_lsn(&self, position: Position) -> Lsn {
        let next = self.history.iter().find(|start| start.term > position.term());
        next.map_or(position.lsn(), |start| position.lsn().min(start.lsn))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view() -> GroupView {
        let mut view = GroupView::new("orders".parse().expect("a valid name"));
        view.term = Term::new(3);
        view.history = vec![
            TermStart { term: Term::new(2), lsn: Lsn::new(100), xid: 50 },
            TermStart { term: Term::new(3), lsn: Lsn::new(140), xid: 90 },
        ];
        view
    }

    #[test]
    fn lost_tails_are_told_apart_from_surviving_writes() {
        let at = |term, lsn| Position::new(Term::new(term), Lsn::new(lsn));
        let cases = [
            (at(1, 100), Some(true)),
            (at(1, 101), Some(false)),
            (at(2, 140), Some(true)),
            (at(2, 141), Some(false)),
            (at(3, 999), Some(true)),
            (at(4, 1), None),
        ];
        for (position, expected) in cases {
            assert_eq!(view().contains(position), expected, "{position}");
        }
    }
}
