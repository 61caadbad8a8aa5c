//! Session tokens, which record the positions that a session has seen.
//!
//! The caller receives the token and sends it with later requests. Any VM can
//! then give the session answers that are at least as new as those it has seen.

use std::{fmt, str::FromStr};

use indexmap::IndexMap;

use crate::{id::GroupId, position::Position};

/// Maximum number of database groups in one token; a longer token is refused.
pub const MAX_TOKEN_GROUPS: usize = 64;

/// The newest position of each database group that a session wrote or read.
///
/// The text form is a list of `group=TERM/LSN` separated by commas. The empty token
/// belongs to a session that has seen nothing. That differs from a session for which
/// it is unknown what it has seen.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::SessionToken;
///
/// let token: SessionToken = "orders=3/17,quotes=1/4".parse()?;
/// assert_eq!(token.to_string(), "orders=3/17,quotes=1/4");
/// # Ok::<(), chicoryhollow_core::session::TokenError>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionToken {
    positions: IndexMap<GroupId, Position>,
}

impl SessionToken {
    /// Creates the token of a session that has seen nothing.
    pub fn new() -> Self {
        SessionToken::default()
    }

    /// Returns the newest position of `group` that the session has seen.
    pub fn position(&self, group: &GroupId) -> Option<Position> {
        self.positions.get(group).copied()
    }

    /// Records that the session has seen `position` of `group`. A position older
    /// than the recorded one is ignored.
    pub fn observe(&mut self, group: &GroupId, position: Position) {
        match self.positions.get_mut(group) {
            Some(seen) => *seen = (*seen).max(position),
            None => drop(self.positions.insert(group.clone(), position)),
        }
    }

    /// Merges `other` into this token and keeps the newer position of each group.
    pub fn merge(&mut self, other: &SessionToken) {
        for (group, position) in &other.positions {
            self.observe(group, *position);
        }
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (group, position)) in self.positions.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{group}={position}")?;
        }
        Ok(())
    }
}

impl FromStr for SessionToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let mut token = SessionToken::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (group, position) = part.split_once('=').ok_or(TokenError::Syntax)?;
            let group = GroupId::new(group).map_err(|_| TokenError::Syntax)?;
            token.observe(&group, position.parse().map_err(|_| TokenError::Syntax)?);
            if token.positions.len() > MAX_TOKEN_GROUPS {
                return Err(TokenError::TooLong);
            }
        }
        Ok(token)
    }
}

/// Reason why a text is not a valid [`SessionToken`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TokenError {
    /// A part is not of the form `group=TERM/LSN`.
    #[error("a session token is a list of group=TERM/LSN joined by commas")]
    Syntax,
    /// The token contains more than [`MAX_TOKEN_GROUPS`] groups.
    #[error("a session token names at most {MAX_TOKEN_GROUPS} groups")]
    TooLong,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_token_that_parses_round_trips_through_text() {
        bolero::check!().with_type::<String>().for_each(|text: &String| {
            if let Ok(token) = text.parse::<SessionToken>() {
                assert_eq!(token.to_string().parse(), Ok(token));
            }
        });
    }
}
