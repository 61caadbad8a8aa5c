//! The list of VMs when it is passed on from one VM to another.

use chicoryhollow_core::Time;
use chicoryhollow_store::{Roster, RosterError, Update, Vm, VmState};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn vm(number: usize, state: VmState) -> Vm {
    Vm {
        vm: format!("vm-{number}").parse().expect("a name"),
        data_centre: "a".parse().expect("a name"),
        peers: ([10, 0, 0, 1], 1).into(),
        admin: ([10, 0, 0, 1], 2).into(),
        state,
    }
}

fn random_list(rng: &mut StdRng) -> Vec<Vm> {
    let mut vms = Vec::new();
    for number in 0..8 {
        if rng.random_bool(0.7) {
            let state = if rng.random_bool(0.8) { VmState::Live } else { VmState::Leaving };
            vms.push(vm(number, state));
        }
    }
    vms
}

fn sorted_vms(roster: &Roster) -> Vec<Vm> {
    let mut vms = roster.vms();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    vms
}

#[test]
fn a_follower_that_misses_updates_reaches_the_current_list() {
    for seed in 0..500 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (mut source, mut follower) = (Roster::new(), Roster::new());
        for round in 1..40 {
            let now = Time::from_millis(round * 100);
            source.replace(random_list(rng), now);
            if rng.random_bool(0.5) {
                continue;
            }
            let update = source.answer(follower.hash(), now).expect("a list was read");
            follower.accept(&update, now).expect("an answer that fits");
            assert_eq!(sorted_vms(&follower), sorted_vms(&source), "seed {seed} round {round}");
            assert_eq!(follower.hash(), source.hash());
        }
    }
}

#[test]
fn an_update_contains_only_what_changed() {
    let mut source = Roster::new();
    source.replace((0..1_000).map(|i| vm(i, VmState::Live)).collect(), Time::default());
    let whole = source.answer(0, Time::default()).expect("a list");
    assert_eq!(whole.base, None);
    let update = source.answer(source.hash(), Time::default()).expect("a list");
    assert_eq!(update.json, b"{}");
    source.replace((0..999).map(|i| vm(i, VmState::Live)).collect(), Time::default());
    let update = source.answer(update.hash, Time::default()).expect("a list");
    assert_eq!(update.json, br#"{"removed":["vm-999"]}"#);
}

#[test]
fn older_and_mismatched_updates_do_not_change_the_list() {
    let (mut old, mut new) = (Roster::new(), Roster::new());
    old.replace(vec![vm(1, VmState::Live)], Time::from_millis(10));
    new.replace(vec![vm(2, VmState::Live)], Time::from_millis(20));
    let stale = old.answer(new.hash(), Time::from_millis(25)).expect("a list");
    assert_eq!(new.accept(&stale, Time::from_millis(25)), Ok(false));
    assert_eq!(new.vms(), [vm(2, VmState::Live)]);
    let mismatched = Update { base: Some(7), ..stale.clone() };
    assert_eq!(new.accept(&mismatched, Time::from_millis(90)), Err(RosterError::Base));
    let wrong_hash = Update { hash: 7, ..stale };
    assert_eq!(new.accept(&wrong_hash, Time::from_millis(90)), Err(RosterError::Hash));
    assert_eq!(new.vms(), [vm(2, VmState::Live)]);
}
