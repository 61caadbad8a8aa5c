//! Durability: whether a commit that the primary acknowledged survives a failover.

use crate::position::Position;

/// Returns how many acknowledged commits the log of a promoted primary lacks, at least.
///
/// `acknowledged` is the newest commit of earlier terms that a caller was told of, and `start`
/// the position at which the promoted primary began. A promoted server goes on counting where
/// its log ends.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Lsn, Position, Term, durability::missing_commits};
///
/// let at = |term, lsn| Position::new(Term::new(term), Lsn::new(lsn));
/// assert_eq!(missing_commits(at(2, 195), at(3, 152)), 43);
/// assert_eq!(missing_commits(at(2, 195), at(3, 195)), 0);
/// assert_eq!(missing_commits(at(3, 160), at(3, 152)), 0, "a commit of the new primary");
/// ```
pub fn missing_commits(acknowledged: Position, start: Position) -> u64 {
    if start.term() <= acknowledged.term() {
        return 0;
    }
    acknowledged.lsn().get().saturating_sub(start.lsn().get())
}
