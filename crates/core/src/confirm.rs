//! When a majority of a group holds a position.
//!
//! An answer of the primary is passed on once the position that it shows is
//! *confirmed*: held by a majority under the term it belongs to. When the
//! primary changes first, the new term's history decides whether the position
//! survived.

use std::time::Duration;

use crate::{
    position::{Lsn, Position, Term},
    time::Time,
    view::GroupView,
};

/// Time without an answer from a majority after which new writes wait.
const SILENT_MAJORITY: Duration = Duration::from_millis(300);

/// Tells whether `confirmed`, a position held by a majority under its term,
/// covers `position`.
pub fn covers(confirmed: Position, position: Position) -> bool {
    confirmed.term() == position.term() && confirmed.lsn() >= position.lsn()
}

/// What a new view says of a position that is not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Survival {
    /// The term of the position still is the newest; its primary may confirm it.
    Undecided,
    /// The position is in no surviving history. Since the newer term fenced a
    /// majority, it can never be confirmed.
    Lost,
    /// The position survived. It is confirmed once the newer primary's log is
    /// held by a majority up to this log position.
    Survived(Term, Lsn),
}

/// Judges an unconfirmed position by the newest view.
pub fn check_survival(view: &GroupView, position: Position) -> Survival {
    if view.term <= position.term() {
        return Survival::Undecided;
    }
    match view.contains(position) {
        Some(true) => Survival::Survived(view.term, view.required_lsn(position)),
        Some(false) => Survival::Lost,
        None => Survival::Undecided,
    }
}

/// Questions to one primary for its confirmed position.
///
/// A question that is under way covers all positions up to the one it asks
/// for, so a new one is asked only for a later position.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationQueries {
    wanted: Position,
    asked: Position,
    confirmed: Position,
    /// Since when the oldest unconfirmed position has been wanted.
    waiting_since: Option<Time>,
}

impl ConfirmationQueries {
    /// Makes a state in which nothing is wanted.
    pub fn new() -> Self {
        ConfirmationQueries::default()
    }

    /// Returns the newest confirmed position.
    pub fn confirmed(&self) -> Position {
        self.confirmed
    }

    /// Records that somebody waits for `position`; returns whether a question
    /// must be asked.
    pub fn add_waiter(&mut self, position: Position, now: Time) -> bool {
        if covers(self.confirmed, position) {
            return false;
        }
        self.waiting_since.get_or_insert(now);
        self.wanted = self.wanted.max(position);
        self.asked < self.wanted
    }

    /// Takes the position that the next question should ask for.
    pub fn next_query(&mut self) -> Option<Position> {
        if self.asked >= self.wanted || covers(self.confirmed, self.wanted) {
            return None;
        }
        self.asked = self.wanted;
        Some(self.wanted)
    }

    /// Records the answer to the question for `asked`; returns whether it
    /// confirmed more.
    pub fn record_answer(&mut self, asked: Position, confirmed: Position, now: Time) -> bool {
        let newer = confirmed > self.confirmed;
        if newer {
            self.confirmed = confirmed;
            self.waiting_since = Some(now);
        }
        if covers(self.confirmed, self.wanted) || self.confirmed.term() > self.wanted.term() {
            self.waiting_since = None;
        } else if !covers(self.confirmed, asked) {
            // The server gave up waiting, so it has to be asked again.
            self.asked = self.confirmed.min(self.asked);
        }
        newer
    }

    /// Records that a question got no answer.
    pub fn record_failure(&mut self) {
        self.asked = self.confirmed;
    }

    /// Records that nobody waits any longer for what is not confirmed.
    pub fn clear_waiters(&mut self) {
        self.wanted = self.confirmed;
        self.asked = self.confirmed;
        self.waiting_since = None;
    }

    /// Tells whether a majority has been silent for so long that new writes
    /// should wait before they are sent.
    pub fn is_majority_silent(&self, now: Time) -> bool {
        self.waiting_since.is_some_and(|since| now.since(since) >= SILENT_MAJORITY)
    }
}

/// Barriers that share rounds: one that is asked for while a round is under way
/// takes part in the next, since only that one begins after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Barriers {
    started: u64,
    wanted: u64,
}

impl Barriers {
    /// Makes a state without rounds.
    pub fn new() -> Self {
        Barriers::default()
    }

    /// Asks for a barrier; returns the number of the round to wait for.
    pub fn join(&mut self) -> u64 {
        self.wanted = self.started + 1;
        self.wanted
    }

    /// Begins the next round if anybody asked for it.
    pub fn start(&mut self) -> Option<u64> {
        (self.wanted > self.started).then(|| {
            self.started = self.wanted;
            self.started
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::TermStart;

    fn at(term: u64, lsn: u64) -> Position {
        Position::new(Term::new(term), Lsn::new(lsn))
    }

    #[test]
    fn a_new_term_decides_about_unconfirmed_positions() {
        let mut view = GroupView::new("orders".parse().expect("a valid name"));
        view.term = Term::new(3);
        view.history = vec![
            TermStart { term: Term::new(2), lsn: Lsn::new(100), xid: 50 },
            TermStart { term: Term::new(3), lsn: Lsn::new(140), xid: 90 },
        ];
        let cases = [
            (at(3, 500), Survival::Undecided),
            (at(4, 1), Survival::Undecided),
            (at(2, 140), Survival::Survived(Term::new(3), Lsn::new(140))),
            (at(2, 141), Survival::Lost),
            (at(1, 100), Survival::Survived(Term::new(3), Lsn::new(100))),
            (at(1, 120), Survival::Lost),
        ];
        for (position, expected) in cases {
            assert_eq!(check_survival(&view, position), expected, "{position}");
        }
    }

    #[test]
    fn positions_share_questions() {
        let now = Time::from_millis(1);
        let mut queries = ConfirmationQueries::new();
        assert!(queries.add_waiter(at(1, 5), now));
        assert_eq!(queries.next_query(), Some(at(1, 5)));
        assert!(!queries.add_waiter(at(1, 4), now), "the question under way covers it");
        assert!(queries.add_waiter(at(1, 7), now));
        assert!(queries.add_waiter(at(1, 9), now));
        assert_eq!(queries.next_query(), Some(at(1, 9)));
        assert_eq!(queries.next_query(), None);
        assert!(queries.record_answer(at(1, 5), at(1, 6), now));
        assert_eq!(queries.next_query(), None, "the second question is under way");
        assert!(queries.record_answer(at(1, 9), at(1, 8), now));
        assert_eq!(queries.next_query(), Some(at(1, 9)), "the answer left it open");
        assert!(queries.record_answer(at(1, 9), at(1, 9), now));
        assert!(!queries.is_majority_silent(Time::from_millis(9_999)));
    }

    #[test]
    fn a_confirmed_position_of_another_term_confirms_nothing() {
        assert!(!covers(at(2, 100), at(1, 5)));
        assert!(covers(at(2, 100), at(2, 100)));
    }

    #[test]
    fn silence_of_the_majority_shows_after_a_while() {
        let mut queries = ConfirmationQueries::new();
        queries.add_waiter(at(1, 5), Time::from_millis(0));
        assert!(!queries.is_majority_silent(Time::from_millis(299)));
        assert!(queries.is_majority_silent(Time::from_millis(300)));
        queries.record_answer(at(1, 5), at(1, 5), Time::from_millis(301));
        assert!(!queries.is_majority_silent(Time::from_millis(900)));
    }

    #[test]
    fn a_barrier_never_shares_a_round_that_began_before_it() {
        let mut barriers = Barriers::new();
        let first = barriers.join();
        assert_eq!(barriers.start(), Some(first));
        let (second, third) = (barriers.join(), barriers.join());
        assert!(second > first && second == third);
        assert_eq!(barriers.start(), Some(second));
        assert_eq!(barriers.start(), None);
    }
}
