//! Fencing tokens, which rank the orders of all coordinators.

use crate::version::DirectoryVersion;

/// Bits of a token that count the orders with one version of the coordinator's row.
const ORDER_BITS: u32 = 10;

/// Ranks an order among all orders of all coordinators, so that the platform can refuse those
/// that newer ones have replaced.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{
///     coordinator::FencingToken,
///     version::{DirectoryVersion, Era},
/// };
///
/// let token = |number| FencingToken::new(DirectoryVersion::new(Era::default(), number));
/// let second = token(7).next().unwrap();
/// assert!(token(7) < second && second < token(8));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates the first token with a version of the coordinator's row.
    pub const fn new(version: DirectoryVersion) -> Self {
        let packed = version.pack();
        let most = u64::MAX >> ORDER_BITS;
        FencingToken(if packed > most { most } else { packed } << ORDER_BITS)
    }

    /// Returns the next token with the same version, or `None` after the last one.
    pub const fn next(self) -> Option<Self> {
        let next = FencingToken(self.0.wrapping_add(1));
        if next.0 >> ORDER_BITS == self.0 >> ORDER_BITS { Some(next) } else { None }
    }

    /// Returns the token with this number.
    pub const fn from_number(number: u64) -> Self {
        FencingToken(number)
    }

    /// Returns the token as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}
