//! Lowest positions that reads with bounded staleness may return.
//!
//! An answer of the primary carries a position of the log. Every commit that was
//! acknowledged before the request was *sent* lies at or before that position. The
//! position is therefore the lowest one that a read may return if its data may be as old
//! as that moment.

use std::{collections::VecDeque, time::Duration};

use crate::{
    position::{Position, Term},
    time::Time,
};

/// Maximum number of observed positions that are stored for a group.
const MAX_POSITIONS: usize = 128;

/// Minimum time between the requests of two stored positions.
const MIN_SPACING: Duration = Duration::from_millis(10);

/// Age above which positions are removed, because no read uses older ones.
const MAX_AGE: Duration = Duration::from_secs(10);

/// A position that the primary returned, with the time of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedPosition {
    /// When the request was sent to the primary.
    pub asked: Time,
    /// Position that the answer carried.
    pub position: Position,
}

/// The positions of one group's log that a VM has observed over time.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Lsn, Position, Term, Time, freshness::ObservedPositions};
///
/// let at = |lsn| Position::new(Term::new(1), Lsn::new(lsn));
/// let mut observed = ObservedPositions::new();
/// observed.add(Time::from_millis(100), at(7));
/// let now = Time::from_millis(1_000);
/// assert_eq!(observed.min_position(now, Duration::from_millis(950)), Some(at(7)));
/// assert_eq!(observed.min_position(now, Duration::from_millis(500)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ObservedPositions {
    positions: VecDeque<ObservedPosition>,
    newest: Position,
}

impl ObservedPositions {
    /// Creates an empty set of positions.
    pub fn new() -> Self {
        ObservedPositions::default()
    }

    /// Records that the primary returned `position` for a request sent at `asked`.
    ///
    /// The first position of a newer term removes those of older terms. The end of an
    /// older term's log may not have survived the failover, and then no server of the new
    /// term ever reaches it. Positions of a term older than the newest are ignored.
    pub fn add(&mut self, asked: Time, position: Position) {
        if position.term() < self.newest.term() {
            return;
        }
        if position.term() > self.newest.term() {
            self.positions.clear();
        }
        self.newest = self.newest.max(position);
        let last = self.positions.back().map(|observed| observed.asked);
        if last.is_some_and(|last| asked < last + MIN_SPACING) {
            return;
        }
        self.positions.push_back(ObservedPosition { asked, position });
        while self.positions.len() > MAX_POSITIONS
            || self.positions.front().is_some_and(|observed| asked.since(observed.asked) > MAX_AGE)
        {
            self.positions.pop_front();
        }
    }

    /// Returns the lowest position that includes every commit acknowledged more than `age`
    /// before `now`, or `None` if no observed position is recent enough.
    pub fn min_position(&self, now: Time, age: Duration) -> Option<Position> {
        let since = now - age;
        self.positions
            .iter()
            .filter(|observed| observed.asked >= since)
            .map(|observed| observed.position)
            .min()
    }

    /// Returns the position of the request that was sent last.
    pub fn latest(&self) -> Option<ObservedPosition> {
        self.positions.back().copied()
    }

    /// Returns the highest position ever observed.
    pub fn newest(&self) -> Position {
        self.newest
    }

    /// Returns the position that a server must have reached for a session that has seen
    /// `seen`.
    ///
    /// A position of an older term may refer to commits that did not survive a failover.
    /// It is replaced by the first observed position of the current term.
    pub fn required_position(&self, seen: Position) -> Position {
        if seen.term() >= self.newest.term() {
            return seen;
        }
        let first =
            |term: Term| self.positions.iter().find(|observed| observed.position.term() == term);
        first(self.newest.term()).map_or(self.newest, |observed| observed.position)
    }
}
