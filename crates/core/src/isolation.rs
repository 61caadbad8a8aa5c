//! Whether a partition leaves a VM with too little to serve its callers.
//!
//! A VM that is cut off from the other data centres sends its callers away when the
//! VMs there can serve more of them. Links between VMs that broke are not enough: the
//! other VMs may have stopped while the servers still answer.

use std::time::Duration;

/// Time without an answer of a primary in another data centre after which it counts
/// as out of reach, while no VM there can be reached either.
const QUIET: Duration = Duration::from_millis(700);

/// What a VM sees of one group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrimaryReachability {
    /// Whether a primary is known.
    pub known: bool,
    /// Whether it runs in the VM's own data centre.
    pub near: bool,
    /// Whether requests to it have failed without a success since.
    pub failing: bool,
    /// Time since it last answered.
    pub silence: Duration,
}

impl PrimaryReachability {
    fn is_lost(&self) -> bool {
        !self.known || self.failing || (!self.near && self.silence >= QUIET)
    }
}

/// Tells whether a VM that is linked to no other data centre has lost most primaries,
/// one at least by a request that failed.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::isolation::{PrimaryReachability, is_isolated};
///
/// let near = PrimaryReachability { known: true, near: true, failing: false, silence: Duration::ZERO };
/// let failing = PrimaryReachability { near: false, failing: true, ..near };
/// let quiet = PrimaryReachability { near: false, silence: Duration::from_secs(1), ..near };
/// assert!(is_isolated([near, failing, quiet]));
/// assert!(!is_isolated([near, near, failing]));
/// assert!(!is_isolated([quiet, quiet]), "nothing was tried");
/// ```
pub fn is_isolated(groups: impl IntoIterator<Item = PrimaryReachability>) -> bool {
    let groups: Vec<PrimaryReachability> = groups.into_iter().collect();
    let lost = groups.iter().filter(|sight| sight.is_lost()).count();
    let tried = groups.iter().any(|sight| !sight.known || sight.failing);
    tried && lost * 2 > groups.len()
}
