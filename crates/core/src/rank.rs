//! Placement of roles on VMs by rendezvous hashing.
//!
//! Each VM scores every role by hashing the pair, and the highest scores hold
//! it. A VM that comes or goes moves only the roles that it gains or loses.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Returns the first `count` of `candidates` for `role`, best first.
///
/// The order depends only on the names, so all VMs that see the same
/// candidates agree on it.
pub fn rank<'a, T: AsRef<str> + ?Sized>(
    role: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    count: usize,
) -> Vec<&'a T> {
    let mut scored: Vec<_> =
        candidates.into_iter().map(|name| (Reverse(score(role, name.as_ref())), name)).collect();
    scored.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.into_iter().take(count).map(|(_, name)| name).collect()
}

/// Returns how well a candidate called `name` suits `role`.
pub(crate) fn score(role: &str, name: &str) -> u64 {
    let mut text = String::with_capacity(role.len() + name.len() + 1);
    text.push_str(role);
    // A separator that no name may hold keeps ("ab", "c") apart from ("a", "bc").
    text.push('\0');
    text.push_str(name);
    xxh3_64(text.as_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leaving_vm_moves_only_its_own_roles() {
        let vms = ["vm-1", "vm-2", "vm-3", "vm-4"];
        for role in (0..200).map(|i| format!("server-{i}")) {
            let before = rank(&role, vms, 1)[0];
            let after = rank(&role, vms.into_iter().filter(|vm| *vm != "vm-3"), 1)[0];
            assert!(before == after || before == "vm-3", "{role} moved from {before} to {after}");
        }
    }
}
