//! Terms and log positions, which order the states of a database group.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Number of a promotion in a database group; each promotion has a higher term.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(u64);

impl Term {
    /// Creates a term from its number.
    pub const fn new(number: u64) -> Self {
        Term(number)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the next term.
    pub fn next(self) -> Self {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Log sequence number: counts the log records of a database group and grows with every
/// committed write.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Lsn(u64);

impl Lsn {
    /// Creates a log position from its number.
    pub fn new(number: u64) -> Self {
        Lsn(number)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A point in the history of a database group, ordered by term and then by log
/// position.
///
/// The text form is `TERM/LSN`, both in decimal. Backend servers report it in the
/// parameter `chicoryhollow.position`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Position {
    term: Term,
    lsn: Lsn,
}

impl Position {
    /// Creates a position from a term and a log position.
    pub fn new(term: Term, lsn: Lsn) -> Self {
        Position { term, lsn }
    }

    /// Returns the term.
    pub fn term(self) -> Term {
        self.term
    }

    /// Returns the log position.
    pub fn lsn(self) -> Lsn {
        self.lsn
    }

    /// Returns the number of the term for a message that also contains `term`: 0 if both are
    /// the same, so that the encoding can leave it out.
    pub fn relative_term(self, term: Term) -> u64 {
        let is_implied = self.term == term && self.lsn > Lsn::default();
        if is_implied { 0 } else { self.term.get() }
    }

    /// Creates a position from the number that [`Position::relative_term`] returned.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryhollow_core::{Lsn, Position, Term};
    ///
    /// let (term, position) = (Term::new(3), Position::new(Term::new(3), Lsn::new(1_207)));
    /// let number = position.relative_term(term);
    /// assert_eq!(number, 0);
    /// assert_eq!(Position::from_relative_term(number, position.lsn(), term), position);
    /// ```
    pub fn from_relative_term(number: u64, lsn: Lsn, term: Term) -> Self {
        let is_implied = number == 0 && lsn > Lsn::default();
        Position::new(if is_implied { term } else { Term::new(number) }, lsn)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.lsn)
    }
}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (term, lsn) = text.split_once('/').ok_or(PositionError)?;
        let term = term.parse().map_err(|_| PositionError)?;
        let lsn = lsn.parse().map_err(|_| PositionError)?;
        Ok(Position::new(Term(term), Lsn(lsn)))
    }
}

/// Error for a text that is not a position of the form `TERM/LSN`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a position has the form TERM/LSN with two decimal numbers")]
pub struct PositionError;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn position_round_trips_through_text() {
        let position = Position::new(Term::new(7), Lsn::new(42));
        assert_eq!(position.to_string(), "7/42");
        assert_eq!("7/42".parse(), Ok(position));
    }

    #[test]
    fn malformed_positions_are_rejected() {
        for text in ["", "7", "7/", "/42", "7/x", "-1/2", "7/42/1"] {
            assert_eq!(text.parse::<Position>(), Err(PositionError), "{text:?}");
        }
    }
}
