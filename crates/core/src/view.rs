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

    /// Tells whether a server that has applied `applied` shows everything that
    /// `needed` stands for and that survived.
    ///
    /// A server whose log is not part of the history of this view covers
    /// nothing. Where this view is older than the server, a server of the same
    /// or a later term that is at least as far in the log covers `needed`.
    pub fn covers(&self, applied: Position, needed: Position) -> bool {
        match self.contains(applied) {
            Some(false) => false,
            Some(true) if needed.term() <= self.term => applied.lsn() >= self.required_lsn(needed),
            Some(true) => false,
            None => applied.term() >= needed.term() && applied.lsn() >= needed.lsn(),
        }
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

    #[test]
    fn only_servers_with_the_surviving_log_cover_a_position() {
        let at = |term, lsn| Position::new(Term::new(term), Lsn::new(lsn));
        let cases = [
            // applied, needed, covered
            (at(3, 200), at(3, 200), true),
            (at(3, 199), at(3, 200), false),
            // The tail of term 2 above 140 was lost, so 140 is all that is needed.
            (at(3, 140), at(2, 190), true),
            (at(3, 139), at(2, 190), false),
            // A server with a lost tail covers nothing.
            (at(2, 150), at(2, 120), false),
            (at(2, 150), at(1, 1), false),
            // A server that still follows an older term, within the shared log.
            (at(2, 130), at(2, 120), true),
            (at(2, 130), at(3, 150), false),
            // A position of a term that the view does not know yet.
            (at(3, 500), at(4, 10), false),
            (at(4, 200), at(3, 200), true),
            (at(4, 150), at(3, 200), false),
            (at(4, 150), at(5, 100), false),
        ];
        for (applied, needed, covered) in cases {
            assert_eq!(view().covers(applied, needed), covered, "{applied} {needed}");
        }
    }
}
