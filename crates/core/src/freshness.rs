//! Positions that a read must be at least as new as.
//!
//! An answer of the primary shows a position of the log. Every commit that was
//! acknowledged before the question was *sent* lies at or before that position,
//! so the position is a floor for reads that may be as old as that moment.

use std::{collections::VecDeque, time::Duration};

use crate::{
    position::{Position, Term},
    time::Time,
};

/// ObservedPositions kept for one group.
const MAX_MARKS: usize = 128;

/// Least time between two marks that are kept.
const SPACING: Duration = Duration::from_millis(10);

/// ObservedPositions older than this serve no read.
const KEPT: Duration = Duration::from_secs(10);

/// A position that the primary showed, and when it was asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedPosition {
    /// When the question was sent.
    pub asked: Time,
    /// Position that the answer showed.
    pub position: Position,
}

/// What one VM knows of the growth of a group's log.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Lsn, Position, Term, Time, freshness::ObservedPositions};
///
/// let at = |lsn| Position::new(Term::new(1), Lsn::new(lsn));
/// let mut marks = ObservedPositions::new();
/// marks.add(Time::from_millis(100), at(7));
/// let now = Time::from_millis(1_000);
/// assert_eq!(marks.min_position(now, Duration::from_millis(950)), Some(at(7)));
/// assert_eq!(marks.min_position(now, Duration::from_millis(500)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ObservedPositions {
    marks: VecDeque<ObservedPosition>,
    newest: Position,
}

impl ObservedPositions {
    /// Makes marks that know nothing.
    pub fn new() -> Self {
        ObservedPositions::default()
    }

    /// Records that the primary showed `position` to a question sent at `asked`.
    ///
    /// The first mark of a newer term drops those of older terms: their tails
    /// may not have survived, and a server of the new term never reaches them.
    /// ObservedPositions of an older term than the newest are ignored.
    pub fn add(&mut self, asked: Time, position: Position) {
        if position.term() < self.newest.term() {
            return;
        }
        if position.term() > self.newest.term() {
            self.marks.clear();
        }
        self.newest = self.newest.max(position);
        let last = self.marks.back().map(|mark| mark.asked);
        if last.is_some_and(|last| asked < last + SPACING) {
            return;
        }
        self.marks.push_back(ObservedPosition { asked, position });
        while self.marks.len() > MAX_MARKS
            || self.marks.front().is_some_and(|mark| asked.since(mark.asked) > KEPT)
        {
            self.marks.pop_front();
        }
    }

    /// Returns the least position that shows every commit acknowledged more
    /// than `age` before `now`, or `None` when no mark is young enough.
    pub fn min_position(&self, now: Time, age: Duration) -> Option<Position> {
        let since = now - age;
        self.marks.iter().filter(|mark| mark.asked >= since).map(|mark| mark.position).min()
    }

    /// Returns the mark whose question was sent last.
    pub fn latest(&self) -> Option<ObservedPosition> {
        self.marks.back().copied()
    }

    /// Returns the newest term and position seen.
    pub fn newest(&self) -> Position {
        self.newest
    }

    /// Returns what a session that saw `seen` needs of a server today.
    ///
    /// A position of an older term may name commits that did not survive, so
    /// it is replaced by the first mark of the present term.
    pub fn required_position(&self, seen: Position) -> Position {
        if seen.term() >= self.newest.term() {
            return seen;
        }
        let first = |term: Term| self.marks.iter().find(|mark| mark.position.term() == term);
        first(self.newest.term()).map_or(self.newest, |mark| mark.position)
    }
}
