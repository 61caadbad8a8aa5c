//! Homes: the VMs that own the pooled connections to a backend server.
//!
//! A backend server accepts few connections, and each connection runs statements of one
//! account, so not every VM can connect to every server for every account. Instead a few
//! VMs in the server's own data centre are its homes and share its connections. Each
//! account prefers one of the homes, so that its statements meet on connections that are
//! already open.

use crate::{
    id::{AccountId, ServerId, VmId},
    rank::rank,
};

/// A server gets one home per this many connections. Fewer would be closed and opened all
/// the time, since each runs statements of one account.
const CONNECTIONS_PER_HOME: u32 = 24;

/// Minimum number of homes, so that a server stays reachable when one fails.
const MIN_HOMES: usize = 2;

/// Fraction of a server's connections that all of its homes together may open.
const HOMES_FRACTION: f64 = 0.85;

/// Fraction of a home's connections that it keeps while they are idle. After a loss of
/// power, servers hold the connections of before for a while, and the others must suffice.
const KEPT_FRACTION: f64 = 0.6;

/// Maximum number of connections that a VM that is not a home opens to a backend server
/// when it can reach no home of that server.
pub const FALLBACK_CONNECTIONS: u32 = 2;

/// Returns the homes of `server`, which accepts `connections` connections, among the
/// `vms` of its data centre.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{ServerId, VmId, home::homes};
///
/// let server: ServerId = "orders-1".parse()?;
/// let vms: Vec<VmId> = (1..=9).map(|i| format!("vm-{i}").parse()).collect::<Result<_, _>>()?;
/// assert_eq!(homes(&server, &vms, 72).len(), 3);
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
pub fn homes(server: &ServerId, vms: &[VmId], connections: u32) -> Vec<VmId> {
    let count = (connections / CONNECTIONS_PER_HOME) as usize;
    let names = vms.iter().map(VmId::as_str);
    let ranked = rank(server.as_str(), names, count.max(MIN_HOMES));
    ranked.iter().filter_map(|name| vms.iter().find(|vm| vm.as_str() == *name)).cloned().collect()
}

/// Returns the `homes` of `server` in the order in which statements of `account` try them.
pub fn rank_homes(homes: &[VmId], server: &ServerId, account: &AccountId) -> Vec<VmId> {
    let role = format!("{server}\0{account}");
    let ranked = rank(&role, homes.iter().map(VmId::as_str), homes.len());
    ranked.iter().filter_map(|name| homes.iter().find(|vm| vm.as_str() == *name)).cloned().collect()
}

/// Returns how many of a server's `connections` each of its `homes` homes may open.
pub fn connection_limit(connections: u32, homes: usize) -> u32 {
    let limit = f64::from(connections) * HOMES_FRACTION / homes.max(1) as f64;
    (limit.floor() as u32).max(1)
}

/// Returns how many of the `limit` connections that a home may open it keeps while they
/// are idle.
pub fn kept_connections(limit: u32) -> u32 {
    ((f64::from(limit) * KEPT_FRACTION).floor() as u32).max(1)
}
