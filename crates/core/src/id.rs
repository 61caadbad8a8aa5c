//! Identifiers of configured objects and of daemon runs.
//!
//! All names share the generic type [`Name`] and differ by a marker type, so the
//! compiler rejects, for example, a route name where an account name is expected.

use std::{fmt, hash::Hash, marker::PhantomData, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Marker types that distinguish the kinds of [`Name`].
pub mod kind {
    /// Marks the name of a VM.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Vm {}
    /// Marks the name of a data centre.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum DataCentre {}
    /// Marks the name of a client account.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Account {}
    /// Marks the name of a key.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Key {}
    /// Marks the name of a route.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Route {}
    /// Marks the name of a database group.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Group {}
    /// Marks the name of a backend server.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Server {}
}

/// Name of a VM.
pub type VmId = Name<kind::Vm>;
/// Name of a data centre.
pub type DataCentreId = Name<kind::DataCentre>;
/// Name of a client account.
pub type AccountId = Name<kind::Account>;
/// Name of a key, which callers send as their user name.
pub type KeyName = Name<kind::Key>;
/// Name of a route, which callers send as their database name.
pub type RouteName = Name<kind::Route>;
/// Name of a database group.
pub type GroupId = Name<kind::Group>;
/// Name of a backend server, unique across all database groups.
pub type ServerId = Name<kind::Server>;

/// A validated name: 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `-` and `_`.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::AccountId;
///
/// let account: AccountId = "press-line".parse()?;
/// assert_eq!(account.as_str(), "press-line");
/// assert!("Press Line".parse::<AccountId>().is_err());
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
pub struct Name<K> {
    text: Arc<str>,
    kind: PhantomData<fn() -> K>,
}

impl<K> Name<K> {
    /// Validates `text` and creates a name from it.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if the text is empty, is too long or contains a
    /// character outside the allowed set.
    pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
        let text = text.as_ref();
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(NameError::TooLong { bytes: text.len() });
        }
        let allowed = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(*c);
        if let Some(found) = text.chars().find(|c| !allowed(c)) {
            return Err(NameError::Character { found });
        }
        Ok(Name { text: Arc::from(text), kind: PhantomData })
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl<K> Clone for Name<K> {
    fn clone(&self) -> Self {
        Name { text: Arc::clone(&self.text), kind: PhantomData }
    }
}

impl<K> PartialEq for Name<K> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<K> Eq for Name<K> {}

impl<K> PartialOrd for Name<K> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for Name<K> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.text.cmp(&other.text)
    }
}

impl<K> Hash for Name<K> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl<K> AsRef<str> for Name<K> {
    fn as_ref(&self) -> &str {
        &self.text
    }
}

impl<K> std::borrow::Borrow<str> for Name<K> {
    fn borrow(&self) -> &str {
        &self.text
    }
}

impl<K> fmt::Display for Name<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl<K> fmt::Debug for Name<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl<K> FromStr for Name<K> {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Name::new(text)
    }
}

impl<K> Serialize for Name<K> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de, K> Deserialize<'de> for Name<K> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        Name::new(text).map_err(serde::de::Error::custom)
    }
}

/// Reason why a text is not a valid [`Name`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name of {bytes} bytes is too long, at most {MAX_NAME_BYTES} are allowed")]
    TooLong {
        /// Length of the rejected text, in bytes.
        bytes: usize,
    },
    /// The text contains a character outside `a-z`, `0-9`, `-` and `_`.
    #[error("a name may hold only a-z, 0-9, '-' and '_', not {found:?}")]
    Character {
        /// First character that is not allowed.
        found: char,
    },
}

/// Identifier of one run of a daemon process on a VM.
///
/// A daemon chooses a new random incarnation at each start, so messages and
/// leases of an earlier run are never mistaken for those of the current run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from a random number chosen at start-up.
    pub fn new(number: u64) -> Self {
        Incarnation(number)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Incarnation)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_names_are_rejected() {
        assert_eq!(GroupId::new(""), Err(NameError::Empty));
        assert_eq!(GroupId::new("a b"), Err(NameError::Character { found: ' ' }));
        assert_eq!(GroupId::new("x".repeat(64)), Err(NameError::TooLong { bytes: 64 }));
        assert_eq!(GroupId::new("orders_1").map(|g| g.to_string()), Ok("orders_1".to_owned()));
    }

    #[test]
    fn incarnation_round_trips_through_text() {
        let incarnation = Incarnation::new(0xfeed);
        assert_eq!(incarnation.to_string().parse(), Ok(incarnation));
    }
}
