//! Rate and burst of an account over several VMs, while messages are lost and
//! VMs fail.

mod fleet;

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    share::{
        KeeperId, Quota, SlotRecord,
        record::{Candidate, Claim},
    },
};
use fleet::Fleet;
use rand::{RngExt, rngs::StdRng};

/// A large account with a burst of one second of its rate.
const LARGE_BURST: Quota = Quota { rate: 400.0, burst: 400.0 };
const LARGE: Quota = Quota { rate: 400.0, burst: 200.0 };
const SMALL: Quota = Quota { rate: 50.0, burst: 25.0 };
const WARM_UP: Duration = Duration::from_secs(5);

fn any_vm(count: usize) -> impl Fn(&mut StdRng) -> usize {
    move |rng| rng.random_range(0..count)
}

#[test]
fn no_window_exceeds_rate_and_burst_under_faults() {
    for seed in 0..12 {
        let quota = if seed % 2 == 0 { LARGE } else { SMALL };
        let mut fleet = Fleet::new(seed, quota, 6);
        for round in 0..40 {
            let vm = fleet.rng.random_range(0..6);
            match fleet.rng.random_range(0..8) {
                0 => fleet.kill(vm),
                1 if !fleet.is_up(vm) => fleet.take_over(vm),
                2 if !fleet.is_up(vm) => fleet.start(vm),
                3 => fleet.pause(vm, Duration::from_millis(9_000)),
                4 => fleet.cut = vec![vm % 3],
                5 => fleet.cut.clear(),
                6 => (fleet.loss, fleet.delay_ms) = (0.2, 600),
                _ => (fleet.loss, fleet.delay_ms) = (0.02, 5),
            }
            let load = quota.rate * [0.5, 1.0, 4.0, 0.0][round % 4];
            let span = Duration::from_millis(fleet.rng.random_range(200..3_000));
            let favourite = fleet.rng.random_range(0..6);
            fleet.run(span, load, |rng| {
                if rng.random_bool(0.7) { favourite } else { rng.random_range(0..6) }
            });
        }
        assert!(fleet.admitted > 0);
    }
}

#[test]
fn no_window_exceeds_rate_and_burst_when_slices_move_between_vms() {
    type Fault = fn(&mut Fleet);
    let cases: [(&str, Fault); 3] = [
        ("a VM is paused past its lease", |fleet| fleet.pause(4, Duration::from_secs(9))),
        ("a data centre is cut off past its leases", |fleet| fleet.cut = vec![0]),
        ("a cut-off keeper is replaced while others hold its part", |fleet| {
            fleet.cut = vec![0];
            fleet.kill(0);
            fleet.take_over(0);
        }),
    ];
    for (name, fault) in cases {
        println!("{name}");
        for seed in 0..4 {
            let mut fleet = Fleet::new(seed, LARGE, 6);
            let load = LARGE.rate * 4.0;
            fleet.run(WARM_UP, load, |rng| [1, 2, 4, 5][rng.random_range(0..4)]);
            fault(&mut fleet);
            fleet.run(Duration::from_secs(20), load, any_vm(6));
            fleet.cut.clear();
            fleet.run(WARM_UP, load, any_vm(6));
        }
    }
}

/// Runs one account at 0.9 of its rate and returns the greatest share of
/// requests that were wrongly refused, over some seeds.
fn measure_refused(quota: Quota, place: impl Fn(&mut StdRng) -> usize, vms: usize) -> f64 {
    let mut worst: f64 = 0.0;
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed, quota, vms);
        fleet.run(WARM_UP, quota.rate * 0.9, &place);
        (fleet.sent, fleet.refused, fleet.ideal_refused) = (0, 0, 0);
        fleet.run(Duration::from_secs(30), quota.rate * 0.9, &place);
        worst = worst.max(fleet.wrongly_refused());
    }
    worst
}

/// Checks that an account at 0.9 of its rate is never refused.
fn check_none_refused(quota: Quota) {
    type Place = fn(&mut StdRng) -> usize;
    let places: [(&str, Place); 4] = [
        ("all VMs alike", |rng| rng.random_range(0..6)),
        ("one VM", |_| 4),
        ("one data centre", |rng| [1, 4][rng.random_range(0..2)]),
        ("mostly one VM", |rng| if rng.random_bool(0.8) { 2 } else { rng.random_range(0..6) }),
    ];
    for (name, place) in places {
        let share = measure_refused(quota, place, 6);
        println!("{name}: refused {:.3}%", share * 100.0);
        assert!(share <= 0.0, "{name}: refused {share}");
    }
}

#[test]
fn a_large_account_within_its_rate_is_not_refused_wherever_it_lands() {
    check_none_refused(LARGE);
}

#[test]
fn a_small_account_within_its_rate_is_not_refused_wherever_it_lands() {
    check_none_refused(SMALL);
}

/// Kills one of six VMs at 0.9 of the rate and returns the greatest share of
/// requests that were wrongly refused in the 10 s that follow, over some seeds.
fn refused_after_death(quota: Quota, victim: usize, listed_for: Duration) -> f64 {
    let mut worst: f64 = 0.0;
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed, quota, 6);
        fleet.run(WARM_UP, quota.rate * 0.9, any_vm(6));
        fleet.kill(victim);
        (fleet.sent, fleet.refused, fleet.ideal_refused) = (0, 0, 0);
        let rest: Vec<usize> = (0..6).filter(|i| *i != victim).collect();
        let place = |rng: &mut StdRng| rest[rng.random_range(0..5)];
        fleet.run(listed_for, quota.rate * 0.9, place);
        fleet.take_over(victim);
        fleet.run(Duration::from_secs(10) - listed_for, quota.rate * 0.9, place);
        worst = worst.max(fleet.wrongly_refused());
    }
    worst
}

/// Checks that fewer than 1% of the requests are refused in the 10 s after a VM
/// fails.
fn check_few_refused_after_death(quota: Quota) {
    for (name, victim) in [("keeper", 0), ("other", 3)] {
        for listed in [2, 5] {
            let share = refused_after_death(quota, victim, Duration::from_secs(listed));
            println!("{name} dies, listed {listed} s: {:.2}%", share * 100.0);
            assert!(share < 0.01, "{name}: refused {share}");
        }
    }
}

#[test]
fn few_requests_are_refused_after_a_vm_dies_with_a_burst_of_a_second() {
    check_few_refused_after_death(LARGE_BURST);
}

#[test]
fn few_requests_are_refused_after_a_vm_dies_with_a_burst_of_half_a_second() {
    check_few_refused_after_death(LARGE);
}

#[test]
fn a_data_centre_that_is_cut_off_keeps_its_part() {
    let mut fleet = Fleet::new(1, LARGE, 6);
    fleet.run(WARM_UP, LARGE.rate, any_vm(6));
    fleet.cut = vec![0];
    fleet.run(Duration::from_secs(12), LARGE.rate, |rng| [0, 3][rng.random_range(0..2)]);
    fleet.admitted = 0;
    fleet.run(Duration::from_secs(20), LARGE.rate, |rng| [0, 3][rng.random_range(0..2)]);
    let share = fleet.admitted as f64 / 20.0 / LARGE.rate;
    println!("cut off: {:.1}% of the rate", share * 100.0);
    assert!((0.32..0.34).contains(&share), "got {share} of the rate");
}

#[test]
fn a_part_gets_a_new_keeper_only_after_its_keeper_is_gone() {
    let name = |i: u64| KeeperId {
        vm: format!("vm{i}").parse().expect("a valid name"),
        incarnation: Incarnation::new(i),
    };
    let home: DataCentreId = "dc0".parse().expect("a valid name");
    let other: DataCentreId = "dc1".parse().expect("a valid name");
    let vms: Vec<VmId> = (0..3).map(|i| name(i).vm).collect();
    let claims = |record: &SlotRecord, listed: &[VmId]| -> Vec<Claim> {
        (0..3)
            .map(|i| {
                let own = &name(i);
                record.claim(0, Candidate { own, data_centre: &home, listed })
            })
            .filter(|claim| *claim != Claim::None)
            .collect()
    };
    let empty = SlotRecord::new([home.clone(), other]);
    let first = claims(&empty, &vms);
    let [Claim::First(kept)] = first.as_slice() else { panic!("one VM claims: {first:?}") };
    assert_eq!(claims(kept, &vms), []);
    let keeper = kept.keepers().next().expect("the part is kept").1;
    let rest: Vec<VmId> = vms.iter().filter(|vm| **vm != keeper.vm).cloned().collect();
    assert!(matches!(claims(kept, &rest).as_slice(), [Claim::TakeOver(_), ..]));
    let released = kept.release(&keeper).expect("the keeper releases its part");
    assert!(matches!(claims(&released, &vms).as_slice(), [Claim::TakeOver(_)]));
    let mut restarted = keeper.clone();
    restarted.incarnation = Incarnation::new(99);
    let candidate = Candidate { own: &restarted, data_centre: &home, listed: &vms };
    assert!(matches!(kept.claim(0, candidate), Claim::TakeOver(_)));
}
