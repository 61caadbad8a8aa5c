//! When a VM sends its callers to other data centres.

use std::time::Duration;

use chicoryhollow_core::isolation::{PrimaryReachability, is_isolated};

fn sight(near: bool, failing: bool, quiet_ms: u64) -> PrimaryReachability {
    PrimaryReachability { known: true, near, failing, silence: Duration::from_millis(quiet_ms) }
}

#[test]
fn a_primary_in_the_cut_off_data_centre_keeps_nobody_there() {
    let mut groups = vec![sight(false, true, 900); 6];
    groups.extend([sight(true, false, 20); 2]);
    assert!(is_isolated(groups));
}

#[test]
fn one_failure_and_silence_elsewhere_are_enough() {
    let mut groups = vec![sight(false, false, 1_200); 7];
    groups.push(sight(false, true, 300));
    assert!(is_isolated(groups));
}

#[test]
fn primaries_that_answer_keep_callers_here() {
    // The other VMs were stopped; the servers run.
    let groups = vec![sight(false, false, 40); 8];
    assert!(!is_isolated(groups));
    let half = [sight(true, false, 10), sight(false, true, 2_000)];
    assert!(!is_isolated(half), "half of the groups are served");
}

#[test]
fn a_primary_that_nobody_knows_is_lost() {
    let unknown = PrimaryReachability { known: false, ..sight(false, false, 0) };
    assert!(is_isolated([unknown]));
    assert!(!is_isolated([]));
}
