//! Isolation: whether a network partition leaves a VM unable to serve most groups.
//!
//! A VM that is cut off from the other data centres redirects its callers to VMs there,
//! if those can serve more of the callers. Broken links to other VMs alone do not prove a
//! partition: those VMs may have stopped while the backend servers still answer.

use std::time::Duration;

/// Time without an answer of a primary in another data centre after which it counts as
/// unreachable, provided that no VM in another data centre can be reached either.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// Time without a message from any other data centre after which writes to a primary in
/// the VM's own data centre need to be confirmed as safe. A failover outside takes longer.
const MAX_FAR_SILENCE: Duration = Duration::from_millis(600);

/// Returns whether a write to a primary may be acknowledged and lost, unless one of its
/// registered replicas answers this VM.
///
/// `far_silence` is the time since a message arrived from another data centre, or `None`
/// if there is no other one. A data centre may be cut off together with a primary whose
/// registered replicas are all outside. The primary can then only acknowledge writes with
/// a replica that was started behind the cut. A failover outside does not know of that
/// replica, and would lose the writes. A registered replica inside changes little: a failover
/// outside does not wait for it for ever.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::isolation::needs_replica_answer;
///
/// let silence = Some(Duration::from_millis(900));
/// assert!(needs_replica_answer(silence, true));
/// assert!(!needs_replica_answer(silence, false), "the primary is on the other side");
/// ```
pub fn needs_replica_answer(far_silence: Option<Duration>, primary_near: bool) -> bool {
    primary_near && far_silence.is_some_and(|silence| silence >= MAX_FAR_SILENCE)
}

/// How well one VM can reach the primary of one group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrimaryReachability {
    /// Whether a primary is known.
    pub known: bool,
    /// Whether the primary runs in the VM's own data centre.
    pub near: bool,
    /// Whether requests to the primary have failed and none has succeeded since.
    pub failing: bool,
    /// Time since the primary last answered.
    pub silence: Duration,
}

impl PrimaryReachability {
    fn is_lost(&self) -> bool {
        !self.known || self.failing || (!self.near && self.silence >= MAX_SILENCE)
    }
}

/// Returns whether a VM without links to other data centres has lost most primaries.
///
/// `groups` holds the reachability of each group's primary. At least one primary must be
/// unknown or have failed a request, so that silence without any request is not enough.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::isolation::{PrimaryReachability, is_isolated};
///
/// let near =
///     PrimaryReachability { known: true, near: true, failing: false, silence: Duration::ZERO };
/// let failing = PrimaryReachability { near: false, failing: true, ..near };
/// let silent = PrimaryReachability { near: false, silence: Duration::from_secs(1), ..near };
/// assert!(is_isolated([near, failing, silent]));
/// assert!(!is_isolated([near, near, failing]));
/// assert!(!is_isolated([silent, silent]), "no request failed");
/// ```
pub fn is_isolated(groups: impl IntoIterator<Item = PrimaryReachability>) -> bool {
    let groups: Vec<PrimaryReachability> = groups.into_iter().collect();
    let lost = groups.iter().filter(|primary| primary.is_lost()).count();
    let failed = groups.iter().any(|primary| !primary.known || primary.failing);
    failed && lost * 2 > groups.len()
}
