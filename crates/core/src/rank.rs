//! Placement of roles on VMs by rendezvous hashing.
//!
//! The score of a VM for a role is a hash of both names, and the VMs with the highest
//! scores hold the role. If a VM joins or leaves, only the roles that it gains or loses
//! move.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Returns the `count` best of `candidates` for `role`, best first.
///
/// The order depends only on the names, so all VMs that know the same candidates agree
/// on it.
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

/// Returns the score of the candidate called `name` for `role`; the highest is best.
pub(crate) fn score(role: &str, name: &str) -> u64 {
    let mut text = String::with_capacity(role.len() + name.len() + 1);
    text.push_str(role);
    // No name may contain this separator, so ("ab", "c") differs from ("a", "bc").
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
