//! When a VM is isolated and redirects its callers to other data centres.

use std::time::Duration;

use chicoryhollow_core::isolation::{PrimaryReachability, is_isolated};

fn primary(near: bool, failing: bool, silence_ms: u64) -> PrimaryReachability {
    PrimaryReachability { known: true, near, failing, silence: Duration::from_millis(silence_ms) }
}

#[test]
fn a_vm_that_reaches_only_the_primaries_in_its_own_data_centre_is_isolated() {
    let mut groups = vec![primary(false, true, 900); 6];
    groups.extend([primary(true, false, 20); 2]);
    assert!(is_isolated(groups));
}

#[test]
fn one_failed_primary_and_silence_of_the_others_make_a_vm_isolated() {
    let mut groups = vec![primary(false, false, 1_200); 7];
    groups.push(primary(false, true, 300));
    assert!(is_isolated(groups));
}

#[test]
fn a_vm_is_not_isolated_while_half_of_the_primaries_answer() {
    // The other VMs are stopped, but the backend servers still answer.
    let groups = vec![primary(false, false, 40); 8];
    assert!(!is_isolated(groups));
    let half = [primary(true, false, 10), primary(false, true, 2_000)];
    assert!(!is_isolated(half), "half of the groups can be served");
}

#[test]
fn an_unknown_primary_counts_as_lost() {
    let unknown = PrimaryReachability { known: false, ..primary(false, false, 0) };
    assert!(is_isolated([unknown]));
    assert!(!is_isolated([]));
}
