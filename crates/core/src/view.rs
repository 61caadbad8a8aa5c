//! The state of one database group as known to a VM.
//!
//! A view holds the term, the primary, the history of terms and the servers of the
//! group. The history decides which positions survived the promotions.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::{GroupId, ServerId},
    position::{Lsn, Position, Term},
};

/// Point at which the log of one term starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term that starts here.
    pub term: Term,
    /// Last log position of earlier terms that the new primary holds.
    pub lsn: Lsn,
    /// First transaction id that the new primary assigned.
    pub xid: u64,
}

/// State of one backend server of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerView {
    /// Whether a watcher reached the server recently.
    pub reachable: bool,
    /// Newest position that the server is known to have applied.
    pub applied: Position,
}

/// The newest known state of a database group, as reported by its watchers.
///
/// A view with an older term never replaces one with a newer term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// The group that this view describes.
    pub group: GroupId,
    /// Term of the newest known primary.
    pub term: Term,
    /// The newest known primary, or `None` during a promotion.
    pub primary: Option<ServerId>,
    /// Starts of all terms up to [`GroupView::term`], oldest first.
    pub history: Vec<TermStart>,
    /// States of the servers of the group.
    pub servers: IndexMap<ServerId, ServerView>,
}

impl GroupView {
    /// Creates the view of a group about which nothing is known yet.
    pub fn new(group: GroupId) -> Self {
        GroupView {
            group,
            term: Term::default(),
            primary: None,
            history: Vec::new(),
            servers: IndexMap::new(),
        }
    }

    /// Returns whether `position` is part of the history that led to the term of
    /// this view.
    ///
    /// A position of an older term is part of it if the next term started at or
    /// after the position. Returns `None` if the term of the position is newer
    /// than the view, which can't decide then.
    pub fn contains(&self, position: Position) -> Option<bool> {
        if position.term() > self.term {
            return None;
        }
        let next = self.history.iter().find(|start| start.term > position.term());
        Some(next.is_none_or(|start| position.lsn() <= start.lsn))
    }

    /// Returns the log position at which a server of this view's term has all
    /// surviving writes up to `position`.
    pub fn required_lsn(&self, position: Position) -> Lsn {
        let next = self.history.iter().find(|start| start.term > position.term());
        next.map_or(position.lsn(), |start| position.lsn().min(start.lsn))
    }

    /// Returns whether a server that has applied `applied` shows all surviving
    /// writes up to `needed`.
    ///
    /// If `applied` is not part of the history of this view, the answer is no. If
    /// the term of `applied` is newer than this view, the answer is yes if `applied`
    /// has the same or a later term than `needed` and is at least as far in the log.
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
    fn positions_in_the_lost_end_of_a_log_are_not_in_the_history() {
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
    fn only_servers_whose_log_survived_cover_a_position() {
        let at = |term, lsn| Position::new(Term::new(term), Lsn::new(lsn));
        let cases = [
            // applied, needed, covered
            (at(3, 200), at(3, 200), true),
            (at(3, 199), at(3, 200), false),
            // The log of term 2 above 140 was lost, so 140 is sufficient.
            (at(3, 140), at(2, 190), true),
            (at(3, 139), at(2, 190), false),
            // A server with log records that were lost covers nothing.
            (at(2, 150), at(2, 120), false),
            (at(2, 150), at(1, 1), false),
            // A server that still follows an older term, within the common log.
            (at(2, 130), at(2, 120), true),
            (at(2, 130), at(3, 150), false),
            // Positions of terms that the view doesn't know yet.
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
