//! Outcome of a write whose answer was lost.
//!
//! The home, the VM that owns the connections to a backend server, records the
//! transaction id before it sends a write. If the answer is lost, the group's newest
//! primary is asked for the status of that id.
//!
//! A transaction id is valid within one term only: a new primary assigns ids from
//! the point where its log ended, so an id at or above the start of a later term
//! belongs to another transaction there.

use crate::{
    position::{Lsn, Term},
    view::GroupView,
};

/// A write that was sent but not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InterruptedWrite {
    /// Term of the primary that the write was sent to.
    pub term: Term,
    /// Transaction id, if it was recorded before the interruption.
    pub xid: Option<u64>,
}

/// Status of a transaction as reported by a primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum XactStatus {
    /// The transaction committed.
    Committed,
    /// The transaction was rolled back.
    Aborted,
    /// The transaction is still running.
    InProgress,
    /// The server no longer knows the transaction.
    Forgotten,
}

impl std::str::FromStr for XactStatus {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "committed" => XactStatus::Committed,
            "aborted" => XactStatus::Aborted,
            "in progress" => XactStatus::InProgress,
            _ => XactStatus::Forgotten,
        })
    }
}

/// Next step in finding the outcome of an interrupted write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask the primary of this term for the status of this transaction id.
    Ask(Term, u64),
    /// Wait for a newer view or for a short time, then decide again.
    Wait,
    /// The write committed. Wait until a majority confirms the primary's log up
    /// to this position, or up to a barrier if the position is not known.
    Confirm(Option<Lsn>),
    /// The write had no effect and never will have one.
    Lost,
    /// The outcome cannot be determined.
    Unknown,
}

/// Returns the first step for an interrupted write, given the newest view.
pub fn first_step(view: &GroupView, write: InterruptedWrite) -> Step {
    let Some(xid) = write.xid else { return Step::Unknown };
    if view.term < write.term || view.primary.is_none() {
        return Step::Wait;
    }
    let next = view.history.iter().find(|start| start.term > write.term);
    match next {
        // The log that the new term began with doesn't contain the transaction.
        Some(start) if xid >= start.xid => Step::Lost,
        _ => Step::Ask(view.term, xid),
    }
}

/// Returns the next step after the primary of term `asked` reported `state`.
pub fn next_step(
    view: &GroupView,
    write: InterruptedWrite,
    asked: Term,
    state: XactStatus,
) -> Step {
    if view.term != asked {
        // The primary that answered may have been replaced meanwhile, so its
        // answer may be out of date.
        return first_step(view, write);
    }
    let start = view.history.iter().find(|start| start.term > write.term);
    match state {
        XactStatus::Committed => Step::Confirm(start.map(|start| start.lsn)),
        XactStatus::Aborted => Step::Lost,
        // The server has not detected yet that its client disconnected.
        XactStatus::InProgress => Step::Wait,
        XactStatus::Forgotten => Step::Unknown,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::TermStart;

    fn view(term: u64) -> GroupView {
        let mut view = GroupView::new("orders".parse().expect("a valid name"));
        view.term = Term::new(term);
        view.primary = Some("s1".parse().expect("a valid name"));
        let start = |term, lsn, xid| TermStart { term: Term::new(term), lsn: Lsn::new(lsn), xid };
        view.history = vec![start(1, 0, 1), start(2, 100, 50), start(3, 140, 90)];
        view.history.truncate(usize::try_from(term).expect("small"));
        view
    }

    fn write(term: u64, xid: u64) -> InterruptedWrite {
        InterruptedWrite { term: Term::new(term), xid: Some(xid) }
    }

    #[test]
    fn history_decides_which_primary_is_asked() {
        let without_xid = InterruptedWrite { term: Term::new(1), xid: None };
        let cases = [
            (view(1), write(1, 7), Step::Ask(Term::new(1), 7)),
            (view(1), write(2, 7), Step::Wait),
            (view(2), write(1, 49), Step::Ask(Term::new(2), 49)),
            (view(2), write(1, 50), Step::Lost),
            (view(3), write(1, 60), Step::Lost),
            (view(3), write(2, 60), Step::Ask(Term::new(3), 60)),
            (view(3), without_xid, Step::Unknown),
        ];
        for (view, write, expected) in cases {
            assert_eq!(first_step(&view, write), expected, "{write:?} at term {}", view.term);
        }
        let mut promoting = view(2);
        promoting.primary = None;
        assert_eq!(first_step(&promoting, write(2, 60)), Step::Wait);
    }

    #[test]
    fn a_committed_write_is_confirmed_before_it_is_reported() {
        let answer =
            |view: &GroupView, asked, state| next_step(view, write(1, 7), Term::new(asked), state);
        assert_eq!(answer(&view(1), 1, XactStatus::Committed), Step::Confirm(None));
        let survived = Step::Confirm(Some(Lsn::new(100)));
        assert_eq!(answer(&view(2), 2, XactStatus::Committed), survived);
        assert_eq!(answer(&view(2), 2, XactStatus::Aborted), Step::Lost);
        assert_eq!(answer(&view(2), 2, XactStatus::InProgress), Step::Wait);
        assert_eq!(answer(&view(2), 2, XactStatus::Forgotten), Step::Unknown);
    }

    #[test]
    fn the_answer_of_a_replaced_primary_is_ignored() {
        let step = next_step(&view(2), write(1, 7), Term::new(1), XactStatus::Committed);
        assert_eq!(step, Step::Ask(Term::new(2), 7));
    }
}
