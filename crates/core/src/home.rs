//! Which VMs hold the connections to a backend server.
//!
//! A server takes few connections, and each runs statements of one account, so
//! not every VM may dial every server for every account. A few VMs of the
//! server's own data centre are its homes and share its connections. Each
//! account has one of them as its first choice, so that the account's statements
//! meet on connections that are open already.

use crate::{
    id::{AccountId, ServerId, VmId},
    rank::rank,
};

/// Connections for which one home is worth its while.
const CONNECTIONS_PER_HOME: u32 = 8;

/// Least number of homes, so that a server outlives one of them.
const LEAST_HOMES: usize = 2;

/// Share of a server's connections that its homes may open together.
const SHARE: f64 = 0.5;

/// Connections that a VM that is no home may open when no home can be reached.
pub const FALLBACK_CONNECTIONS: u32 = 2;

/// Returns the homes of `server`, which takes `connections`, among the VMs of
/// its data centre.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{ServerId, VmId, home::homes};
///
/// let server: ServerId = "orders-1".parse()?;
/// let vms: Vec<VmId> = (1..=9).map(|i| format!("vm-{i}").parse()).collect::<Result<_, _>>()?;
/// assert_eq!(homes(&server, &vms, 24).len(), 3);
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
pub fn homes(server: &ServerId, vms: &[VmId], connections: u32) -> Vec<VmId> {
    let count = (connections / CONNECTIONS_PER_HOME) as usize;
    let names = vms.iter().map(VmId::as_str);
    let ranked = rank(server.as_str(), names, count.max(LEAST_HOMES));
    ranked.iter().filter_map(|name| vms.iter().find(|vm| vm.as_str() == *name)).cloned().collect()
}

/// Returns `homes` in the order in which statements of `account` try them.
pub fn rank_homes(homes: &[VmId], server: &ServerId, account: &AccountId) -> Vec<VmId> {
    let role = format!("{server}\0{account}");
    let ranked = rank(&role, homes.iter().map(VmId::as_str), homes.len());
    ranked.iter().filter_map(|name| homes.iter().find(|vm| vm.as_str() == *name)).cloned().collect()
}

/// Returns how many connections one of `homes` homes may open.
pub fn connection_limit(connections: u32, homes: usize) -> u32 {
    let part = f64::from(connections) * SHARE / homes.max(1) as f64;
    (part.floor() as u32).max(1)
}
