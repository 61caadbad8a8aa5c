//! Confirmation of positions by a majority of a database group.
//!
//! A position is *confirmed* once a majority of the group holds it under the
//! term it belongs to. An answer of the primary is sent to the caller only after
//! the position that the answer shows is confirmed. If the primary changes
//! first, the history of the new term decides whether the position survived.
//! A position that survived is part of the log of the new term, and is confirmed
//! once a majority holds that log up to it (see [`Survival::Survived`]).

use std::time::Duration;

use crate::{
    position::{Lsn, Position, Term},
    time::Time,
    view::GroupView,
};

/// Time after which new writes wait if callers wait for a confirmation and the
/// confirmed position does not advance.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether `confirmed`, a position held by a majority under its term,
/// includes `position`.
pub fn covers(confirmed: Position, position: Position) -> bool {
    confirmed.term() == position.term() && confirmed.lsn() >= position.lsn()
}

/// Whether an unconfirmed position survived in the history of the newest view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Survival {
    /// The view has no newer term than that of the position. The primary of that
    /// term may still confirm the position.
    Undecided,
    /// The position is not part of the history of the newer term. It can never
    /// be confirmed, because a majority was fenced before the newer term began and
    /// acknowledges nothing of an older term.
    Lost,
    /// The position is part of the history of the newer term. It is confirmed
    /// once a majority holds the log of that term up to this log position.
    Survived(Term, Lsn),
}

/// Checks whether an unconfirmed position survived according to the newest view.
pub fn check_survival(view: &GroupView, position: Position) -> Survival {
    if view.term <= position.term() {
        return Survival::Undecided;
    }
    match view.contains(position) {
        Some(true) => Survival::Survived(view.term, view.required_lsn(position)),
        Some(false) => Survival::Lost,
        // Only for a position of a newer term than the view, which returned above.
        None => Survival::Undecided,
    }
}

/// State of the queries that ask one primary for its confirmed position.
///
/// A query in flight covers all positions up to the one that it asks for, so
/// another query is sent only for a later position.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationQueries {
    wanted: Position,
    asked: Position,
    confirmed: Position,
    /// Start of the wait for the oldest unconfirmed position, or the last time at
    /// which the confirmed position advanced.
    waiting_since: Option<Time>,
}

impl ConfirmationQueries {
    /// Creates a state without waiters.
    pub fn new() -> Self {
        ConfirmationQueries::default()
    }

    /// Returns the newest confirmed position.
    pub fn confirmed(&self) -> Position {
        self.confirmed
    }

    /// Records that a caller waits for `position`.
    ///
    /// Returns whether another query must be sent.
    pub fn add_waiter(&mut self, position: Position, now: Time) -> bool {
        if covers(self.confirmed, position) {
            return false;
        }
        self.waiting_since.get_or_insert(now);
        self.wanted = self.wanted.max(position);
        self.asked < self.wanted
    }

    /// Returns the position that the next query should ask for, and records that
    /// the query is in flight. Returns `None` if no query is needed.
    pub fn next_query(&mut self) -> Option<Position> {
        if self.asked >= self.wanted || covers(self.confirmed, self.wanted) {
            return None;
        }
        self.asked = self.wanted;
        Some(self.wanted)
    }

    /// Records the answer to the query for `asked`.
    ///
    /// Returns whether the confirmed position advanced.
    pub fn record_answer(&mut self, asked: Position, confirmed: Position, now: Time) -> bool {
        let newer = confirmed > self.confirmed;
        if newer {
            self.confirmed = confirmed;
            self.waiting_since = Some(now);
        }
        // A server at a newer term can't confirm `wanted` under the term of `wanted`.
        if covers(self.confirmed, self.wanted) || self.confirmed.term() > self.wanted.term() {
            self.waiting_since = None;
        } else if !covers(self.confirmed, asked) {
            // The server stopped waiting for a majority, so the query must be
            // repeated.
            self.asked = self.confirmed.min(self.asked);
        }
        newer
    }

    /// Records that a query got no answer.
    pub fn record_failure(&mut self) {
        self.asked = self.confirmed;
    }

    /// Records that nothing waits any longer for the unconfirmed positions.
    pub fn clear_waiters(&mut self) {
        self.wanted = self.confirmed;
        self.asked = self.confirmed;
        self.waiting_since = None;
    }

    /// Returns whether callers have waited for so long without a new confirmation
    /// that new writes should wait before they are sent. Always false while no
    /// caller waits for an unconfirmed position.
    pub fn is_majority_silent(&self, now: Time) -> bool {
        self.waiting_since.is_some_and(|since| now.since(since) >= MAJORITY_TIMEOUT)
    }
}

/// Numbers the rounds that barriers share.
///
/// A *barrier* is a request for a position that the primary has reached, and a
/// *round* is one query to the primary that answers several barriers at once. A barrier needs a round that begins after the barrier was requested. A barrier
/// that is requested during a round therefore waits for the next round.
#[derive(Clone, Copy, Debug, Default)]
pub struct Barriers {
    started: u64,
    wanted: u64,
}

impl Barriers {
    /// Creates a state without rounds.
    pub fn new() -> Self {
        Barriers::default()
    }

    /// Requests a barrier and returns the number of the round to wait for.
    pub fn join(&mut self) -> u64 {
        self.wanted = self.started + 1;
        self.wanted
    }

    /// Starts the next round if it was requested, and returns its number.
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
    fn history_of_a_new_term_decides_which_unconfirmed_positions_survive() {
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
    fn one_query_covers_all_positions_up_to_its_own() {
        let now = Time::from_millis(1);
        let mut queries = ConfirmationQueries::new();
        assert!(queries.add_waiter(at(1, 5), now));
        assert_eq!(queries.next_query(), Some(at(1, 5)));
        assert!(!queries.add_waiter(at(1, 4), now), "the query in flight covers it");
        assert!(queries.add_waiter(at(1, 7), now));
        assert!(queries.add_waiter(at(1, 9), now));
        assert_eq!(queries.next_query(), Some(at(1, 9)));
        assert_eq!(queries.next_query(), None);
        assert!(queries.record_answer(at(1, 5), at(1, 6), now));
        assert_eq!(queries.next_query(), None, "the second query is in flight");
        assert!(queries.record_answer(at(1, 9), at(1, 8), now));
        assert_eq!(queries.next_query(), Some(at(1, 9)), "the answer did not confirm it");
        assert!(queries.record_answer(at(1, 9), at(1, 9), now));
        assert!(!queries.is_majority_silent(Time::from_millis(9_999)));
    }

    #[test]
    fn a_confirmed_position_covers_no_position_of_another_term() {
        assert!(!covers(at(2, 100), at(1, 5)));
        assert!(covers(at(2, 100), at(2, 100)));
    }

    #[test]
    fn the_majority_is_silent_after_300_ms_without_confirmation() {
        let mut queries = ConfirmationQueries::new();
        queries.add_waiter(at(1, 5), Time::from_millis(0));
        assert!(!queries.is_majority_silent(Time::from_millis(299)));
        assert!(queries.is_majority_silent(Time::from_millis(300)));
        queries.record_answer(at(1, 5), at(1, 5), Time::from_millis(301));
        assert!(!queries.is_majority_silent(Time::from_millis(900)));
    }

    #[test]
    fn a_barrier_never_joins_a_round_that_began_before_it() {
        let mut barriers = Barriers::new();
        let first = barriers.join();
        assert_eq!(barriers.start(), Some(first));
        let (second, third) = (barriers.join(), barriers.join());
        assert!(second > first && second == third);
        assert_eq!(barriers.start(), Some(second));
        assert_eq!(barriers.start(), None);
    }
}
