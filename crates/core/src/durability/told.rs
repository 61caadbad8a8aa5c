//! Commits of which callers were told, and whether a promoted primary has them.

use crate::position::{Position, Term};

/// Commits that are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingCommits {
    /// Newest commit of which callers were told before the promotion.
    pub told: Position,
    /// Where the log of the promoted primary began, in its term.
    pub start: Position,
}

impl MissingCommits {
    /// Returns the number of commits that are missing, at least.
    pub fn count(&self) -> u64 {
        self.told.lsn().get().saturating_sub(self.start.lsn().get())
    }
}

/// The newest commits of which one VM has told callers.
///
/// A promoted server goes on counting where its log ends, in a new term. So a commit of an
/// earlier term with a greater number is missing in its log.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Lsn, Position, Term, durability::ToldCommits};
///
/// let at = |term, lsn| Position::new(Term::new(term), Lsn::new(lsn));
/// let mut told = ToldCommits::default();
/// told.record(at(2, 195));
/// told.record_start(at(3, 152));
/// assert_eq!(told.take_missing().map(|missing| missing.count()), Some(43));
/// assert_eq!(told.take_missing(), None, "it is reported once");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldCommits {
    /// Newest commit.
    newest: Position,
    /// Newest commit of the terms before that of the newest one.
    earlier: Position,
    start: Position,
    /// Newest term whose missing commits were returned.
    reported: Term,
}

impl ToldCommits {
    /// Records a commit of which a caller is told.
    pub fn record(&mut self, commit: Position) {
        if commit.term() > self.newest.term() {
            self.earlier = self.newest;
        }
        self.newest = self.newest.max(commit);
    }

    /// Records where the log of a promoted primary began, in its term.
    pub fn record_start(&mut self, start: Position) {
        self.start = self.start.max(start);
    }

    /// Returns where the log of the newest promoted primary began, in its term.
    pub fn start(&self) -> Position {
        self.start
    }

    /// Returns the commits that the newest promoted primary lacks, once for each term in which
    /// it lacks some.
    pub fn take_missing(&mut self) -> Option<MissingCommits> {
        let known = [self.newest, self.earlier];
        let told = known.into_iter().find(|commit| commit.term() < self.start.term())?;
        let missing = MissingCommits { told, start: self.start };
        if missing.count() == 0 || self.start.term() <= self.reported {
            return None;
        }
        self.reported = self.start.term();
        Some(missing)
    }
}
