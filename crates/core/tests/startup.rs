//! VMs that start while the directory lacks the newest configuration.

use chicoryhollow_core::{
    Time,
    startup::{ReadVersion, Verdict, judge},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time until a VM that starts is linked to another one, in milliseconds, at most.
const MAX_LINK_MS: u64 = 200;

/// A VM that starts in a fleet.
struct Starting {
    version: u64,
    started: u64,
    /// When each other VM is linked, and its number.
    links: Vec<(u64, usize)>,
    /// Version in use, 0 for none.
    used: u64,
    used_at: u64,
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Starts `count` VMs of ten with version 3 while the others hold version 5. Returns them
/// after two seconds. A newer version arrives as soon as a VM that holds it is linked.
fn start(count: usize, seed: u64) -> Vec<Starting> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut vms: Vec<Starting> = (0..count)
        .map(|i| {
            let started = rng.random_range(0..100);
            let others = (0..10).filter(|other| *other != i);
            let links = others.map(|other| (started + rng.random_range(1..MAX_LINK_MS), other));
            Starting { version: 3, started, links: links.collect(), used: 0, used_at: 0 }
        })
        .collect();
    for ms in 0..2_000 {
        let in_use: Vec<u64> = (0..10).map(|i| vms.get(i).map_or(5, |vm| vm.used)).collect();
        for vm in vms.iter_mut().filter(|vm| vm.started <= ms && vm.used == 0) {
            let linked = vm.links.iter().filter(|(time, _)| *time <= ms);
            let held: Vec<u64> = linked.map(|(_, other)| in_use[*other]).collect();
            let read = ReadVersion { version: vm.version, since: at(vm.started) };
            let newest = held.iter().copied().max().unwrap_or_default();
            if newest > vm.version {
                (vm.used, vm.used_at) = (newest, ms);
            } else if judge(read, Some(9), held, at(ms)) == Verdict::Use {
                (vm.used, vm.used_at) = (vm.version, ms);
            }
        }
    }
    vms
}

/// What is in force at a VM that starts after a restore was older than what others hold.
#[test]
fn no_vm_uses_an_older_configuration_than_running_ones_hold() {
    for (count, seed) in (1..10).flat_map(|count| (0..40).map(move |seed| (count, seed))) {
        for vm in start(count, seed) {
            assert_eq!(vm.used, 5, "{count} of ten VMs start, seed {seed}");
        }
    }
}

#[test]
fn a_fleet_that_restarts_as_a_whole_soon_uses_what_it_reads() {
    for seed in 0..40 {
        for vm in start(10, seed) {
            assert_eq!(vm.used, 3);
            assert!(vm.used_at - vm.started <= 300, "{} ms", vm.used_at - vm.started);
        }
    }
}

#[test]
fn a_vm_that_reaches_no_other_one_waits_for_a_second() {
    let read = ReadVersion { version: 3, since: at(0) };
    assert_eq!(judge(read, Some(9), [], at(999)), Verdict::Wait);
    assert_eq!(judge(read, Some(9), [], at(1_000)), Verdict::Use);
    assert_eq!(judge(read, None, [], at(999)), Verdict::Wait, "nor does it know any");
    assert_eq!(judge(read, Some(9), [5], at(1_000)), Verdict::Use, "version 5 did not arrive");
}

#[test]
fn one_starting_vm_suffices_if_there_is_no_other() {
    let read = ReadVersion { version: 3, since: at(0) };
    assert_eq!(judge(read, Some(1), [0], at(249)), Verdict::Wait);
    assert_eq!(judge(read, Some(1), [0], at(250)), Verdict::Use);
    assert_eq!(judge(read, Some(2), [0], at(250)), Verdict::Wait);
}
