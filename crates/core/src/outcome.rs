//! What became of a write whose answer was lost.
//!
//! The home notes the transaction id before it sends a write. Later the group's
//! newest primary is asked for the state of that id. Transaction ids belong to
//! a term: the new primary gives out ids from where its log ended, so an id at
//! or above the start of a later term names another transaction there.

use crate::{
    position::{Lsn, Term},
    view::GroupView,
};

/// A write that was sent and not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InterruptedWrite {
    /// Term in which it was sent.
    pub term: Term,
    /// Transaction id, if it was noted in time.
    pub xid: Option<u64>,
}

/// State of a transaction as a primary tells it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum XactStatus {
    /// Its effects are visible.
    Committed,
    /// It has no effects.
    Aborted,
    /// It still runs.
    InProgress,
    /// The server no longer knows.
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

/// What to do next about an interrupted write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask the primary of this term for the state of the transaction id.
    Ask(Term, u64),
    /// Wait for a newer view, or a while, and decide again.
    Wait,
    /// The write took effect; confirm the primary's log up to this position, or
    /// up to a barrier when it is not known.
    Confirm(Option<Lsn>),
    /// The write has no effect and never will.
    Lost,
    /// Nobody can tell.
    Unknown,
}

/// Decides from the newest view what to do about an interrupted write.
pub fn first_step(view: &GroupView, write: InterruptedWrite) -> Step {
    let Some(xid) = write.xid else { return Step::Unknown };
    if view.term < write.term || view.primary.is_none() {
        return Step::Wait;
    }
    let next = view.history.iter().find(|start| start.term > write.term);
    match next {
        // The transaction had not reached the log that the new term began with.
        Some(start) if xid >= start.xid => Step::Lost,
        _ => Step::Ask(view.term, xid),
    }
}

/// Decides from the state that the primary of `asked` told.
pub fn next_step(
    view: &GroupView,
    write: InterruptedWrite,
    asked: Term,
    state: XactStatus,
) -> Step {
    if view.term != asked {
        // The primary that answered may be deposed and its answer out of date.
        return first_step(view, write);
    }
    let start = view.history.iter().find(|start| start.term > write.term);
    match state {
        XactStatus::Committed => Step::Confirm(start.map(|start| start.lsn)),
        XactStatus::Aborted => Step::Lost,
        // The server has not noticed yet that its client is gone.
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
    fn the_newest_history_decides_whom_to_ask() {
        let unnoted = InterruptedWrite { term: Term::new(1), xid: None };
        let cases = [
            (view(1), write(1, 7), Step::Ask(Term::new(1), 7)),
            (view(1), write(2, 7), Step::Wait),
            (view(2), write(1, 49), Step::Ask(Term::new(2), 49)),
            (view(2), write(1, 50), Step::Lost),
            (view(3), write(1, 60), Step::Lost),
            (view(3), write(2, 60), Step::Ask(Term::new(3), 60)),
            (view(3), unnoted, Step::Unknown),
        ];
        for (view, write, expected) in cases {
            assert_eq!(first_step(&view, write), expected, "{write:?} at term {}", view.term);
        }
        let mut promoting = view(2);
        promoting.primary = None;
        assert_eq!(first_step(&promoting, write(2, 60)), Step::Wait);
    }

    #[test]
    fn a_committed_write_must_still_be_confirmed() {
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
    fn the_answer_of_a_deposed_primary_is_not_taken() {
        let step = next_step(&view(2), write(1, 7), Term::new(1), XactStatus::Committed);
        assert_eq!(step, Step::Ask(Term::new(2), 7));
    }
}
