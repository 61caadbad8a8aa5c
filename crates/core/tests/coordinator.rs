//! At most one VM is the failover coordinator at a time, even if calls to the directory
//! fail and VMs restart.

use std::{collections::HashMap, time::Duration};

use chicoryhollow_core::{
    Time, VmId,
    coordinator::{
        CoordinatorLease, CoordinatorRow, FencingToken, LEASE_DURATION, Outage, RowObservation,
        Step, row_key,
    },
    version::{DirectoryVersion, Era},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().expect("a valid name")
}

/// A version of the first era.
fn version(number: u64) -> DirectoryVersion {
    DirectoryVersion::new(Era::default(), number)
}

/// The coordinator's rows by key, which are changed by conditional writes.
#[derive(Clone, Default)]
struct Store {
    rows: HashMap<String, CoordinatorRow>,
    era: Era,
    number: u64,
}

impl Store {
    fn row(&self) -> Option<&CoordinatorRow> {
        self.rows.get(&row_key(self.era))
    }

    fn touch(&mut self) -> DirectoryVersion {
        self.number += 1;
        DirectoryVersion::new(self.era, self.number)
    }

    /// Writes the row of the expected version's era, as the platform does: it compares the
    /// numbers only. Returns the new version, or `None` for a conflict.
    fn write(
        &mut self,
        expected: DirectoryVersion,
        holder: Option<VmId>,
        incarnation: u64,
    ) -> Option<DirectoryVersion> {
        let key = row_key(expected.era());
        let present = self.rows.get(&key).map_or(0, |row| row.version.number());
        if present != expected.number() {
            return None;
        }
        let version = self.touch();
        self.rows.insert(key, CoordinatorRow { holder, incarnation, version });
        // The answer tells the era, so a write that found its number again does not count.
        (version.era() == expected.era()).then_some(version)
    }

    /// Goes back to `copy`, in a new era.
    fn restore(&mut self, copy: Store) {
        *self = Store { era: Era::new(self.era.get() + 1), ..copy };
    }
}

/// Runs `steps` steps of three VMs. Calls fail, answers are lost, and VMs restart from
/// time to time. The store comes back from a copy with the probability `restores` at each
/// step. Returns how often a VM became the coordinator.
fn run(seed: u64, steps: u64, restores: f64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store { number: 40, ..Store::default() };
    let mut copy = store.clone();
    let mut vms: Vec<(CoordinatorLease, u64)> = (0..3)
        .map(|i| (CoordinatorLease::new(vm(i), i as u64, Time::default()), i as u64))
        .collect();
    let mut holders: Vec<(FencingToken, usize, u64)> = Vec::new();
    for step in 1..steps {
        let now = Time::from_millis(step * 50);
        if rng.random_bool(0.02) {
            copy = store.clone();
        }
        if rng.random_bool(restores) {
            store.restore(copy.clone());
        }
        // Others write to the store, too.
        for _ in 0..rng.random_range(0..3) {
            store.touch();
        }
        for (i, (lease, incarnation)) in vms.iter_mut().enumerate() {
            if rng.random_bool(0.002) {
                *incarnation += 10;
                *lease = CoordinatorLease::new(vm(i), *incarnation, now);
            }
            let fails = rng.random_bool(0.15);
            let loses = rng.random_bool(0.1);
            match lease.next_step(now) {
                Step::Wait(_) => {}
                _ if fails => lease.record_failure(now),
                Step::Read => lease.record_row(store.row(), store.era, None, now),
                Step::Write(expected) => {
                    let written = store.write(expected, Some(vm(i)), *incarnation);
                    match written {
                        _ if loses => lease.record_failure(now),
                        Some(version) => lease.record_write(version, now, now),
                        None => lease.record_conflict(now),
                    }
                }
            }
        }
        let held: Vec<(usize, FencingToken)> = vms
            .iter()
            .enumerate()
            .filter_map(|(i, (lease, _))| Some((i, lease.token(now)?)))
            .collect();
        assert!(held.len() <= 1, "seed {seed}, step {step}: two coordinators {held:?}");
        for (i, token) in held {
            let incarnation = vms[i].1;
            match holders.last() {
                Some((last, holder, life)) if (*holder, *life) == (i, incarnation) => {
                    assert!(token >= *last, "seed {seed}: the token decreased");
                }
                Some((last, _, _)) => assert!(token > *last, "seed {seed}: a token was used twice"),
                None => {}
            }
            if holders.last().is_none_or(|(last, _, _)| token > *last) {
                holders.push((token, i, incarnation));
            }
        }
    }
    holders.len() as u64
}

#[test]
fn there_is_at_most_one_coordinator_and_tokens_increase() {
    let changes: u64 = (0..200).map(|seed| run(seed, 2_000, 0.0)).sum();
    assert!(changes > 200, "the coordinator changes: {changes}");
}

/// The token went back with the store, and two holders ordered promotions with the same one.
#[test]
fn tokens_increase_when_the_store_comes_back_from_a_copy() {
    let changes: u64 = (0..200).map(|seed| run(seed, 2_000, 0.01)).sum();
    assert!(changes > 1_000, "the coordinator changes: {changes}");
}

/// The holder of the era before may act until its lease expires.
#[test]
fn a_missing_row_is_created_only_a_lease_after_a_restore() {
    let era = Era::new(1);
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    lease.record_row(None, era, None, Time::default());
    let early = Time::default() + LEASE_DURATION - Duration::from_millis(1);
    assert!(!matches!(lease.next_step(early), Step::Write(_)));
    let late = Time::default() + LEASE_DURATION;
    assert_eq!(lease.next_step(late), Step::Write(DirectoryVersion::start_of(era)));
}

#[test]
fn a_lease_expires_for_its_holder_before_another_vm_may_take_it() {
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    assert_eq!(lease.next_step(Time::default()), Step::Read);
    lease.record_row(None, Era::default(), None, Time::default());
    assert_eq!(lease.next_step(Time::default()), Step::Write(version(0)));
    // The answer is slow, but the lease counts from when the call was sent.
    lease.record_write(version(7), Time::from_millis(100), Time::from_millis(900));
    assert_eq!(lease.token(Time::from_millis(900)), Some(FencingToken::new(version(7))));
    assert_eq!(lease.token(Time::from_millis(100) + LEASE_DURATION), None);
}

#[test]
fn a_row_that_is_unchanged_after_an_outage_is_taken_over_soon() {
    let row = CoordinatorRow { holder: Some(vm(1)), incarnation: 7, version: version(41) };
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    let mut ms = 0;
    let mut step = |lease: &mut CoordinatorLease, answers: bool| loop {
        ms += 50;
        let now = Time::from_millis(ms);
        match lease.next_step(now) {
            Step::Wait(_) => {}
            Step::Read if answers => lease.record_row(Some(&row), Era::default(), None, now),
            Step::Read => lease.record_failure(now),
            Step::Write(expected) => return (expected.number(), ms),
        }
        if answers && ms > 20_000 || !answers && ms >= 6_000 {
            return (0, ms);
        }
    };
    // The row is read at the start; then the directory does not answer for six seconds.
    lease.record_row(Some(&row), Era::default(), None, Time::default());
    assert_eq!(step(&mut lease, false), (0, 6_000));
    let (expected, taken) = step(&mut lease, true);
    assert_eq!(expected, 41);
    assert!(taken <= 7_500, "taken over at {taken} ms");
    assert!(taken >= 6_700, "the holder had time to renew the row: {taken} ms");
}

#[test]
fn a_vm_that_starts_to_read_the_row_uses_observations_of_others() {
    let row = CoordinatorRow { holder: Some(vm(1)), incarnation: 7, version: version(41) };
    let started = Time::from_millis(10_000);
    let taken = |received: Option<RowObservation>| {
        let mut lease = CoordinatorLease::new(vm(0), 1, started);
        let mut now = started;
        loop {
            match lease.next_step(now) {
                Step::Wait(_) => {}
                Step::Read => lease.record_row(Some(&row), Era::default(), received, now),
                Step::Write(expected) => {
                    return (expected.number(), now.since(started).as_millis());
                }
            }
            now = now + Duration::from_millis(50);
        }
    };
    let long_ago = RowObservation { version: version(41), since: Time::from_millis(5_000) };
    assert_eq!(taken(Some(long_ago)), (41, 900), "the holder had time to renew the row");
    assert_eq!(taken(None), (41, 2_500), "as soon as the lease has lapsed");
    let older = RowObservation { version: version(40), ..long_ago };
    assert_eq!(taken(Some(older)), (41, 2_500), "the row has changed since that observation");
}

#[test]
fn observations_merge_to_the_newer_version_and_the_earlier_time() {
    let observation =
        |number, ms| RowObservation { version: version(number), since: Time::from_millis(ms) };
    assert_eq!(observation(3, 100).merge(observation(3, 50)), observation(3, 50));
    assert_eq!(observation(3, 100).merge(observation(4, 500)), observation(4, 500));
    assert_eq!(observation(4, 500).merge(observation(3, 100)), observation(4, 500));
}

#[test]
fn a_holder_whose_order_was_refused_has_no_token_until_it_has_a_newer_one() {
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    lease.record_row(None, Era::default(), None, Time::default());
    lease.record_write(version(7), Time::default(), Time::default());
    lease.record_refusal(Time::from_millis(10));
    assert_eq!(lease.token(Time::from_millis(10)), None);
    let row = CoordinatorRow { holder: Some(vm(0)), incarnation: 1, version: version(9) };
    let later = Time::from_millis(1_000);
    lease.record_row(Some(&row), Era::default(), None, later);
    assert_eq!(lease.token(later), Some(FencingToken::new(version(9))));
    assert_eq!(
        lease.next_step(later),
        Step::Write(version(9)),
        "reading the row does not renew the lease"
    );
}

/// The platform also refuses the promotion of a server that does not run. Other groups
/// must not wait because of that.
#[test]
fn a_holder_whose_order_was_refused_reads_the_row_at_once() {
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    lease.record_row(None, Era::default(), None, Time::default());
    assert_eq!(lease.next_step(Time::default()), Step::Write(version(0)));
    lease.record_write(version(7), Time::default(), Time::default());
    let now = Time::from_millis(10);
    lease.record_refusal(now);
    assert_eq!(lease.next_step(now), Step::Read);
    assert!(lease.is_disputed(), "the VM reads the row itself");
    let own = CoordinatorRow { holder: Some(vm(0)), incarnation: 1, version: version(7) };
    lease.record_row(Some(&own), Era::default(), None, now);
    assert_eq!(
        lease.token(now),
        Some(FencingToken::new(version(7))),
        "no other VM has taken the role"
    );
    lease.record_refusal(now);
    let taken = CoordinatorRow { holder: Some(vm(1)), incarnation: 4, version: version(12) };
    lease.record_row(Some(&taken), Era::default(), None, now);
    assert_eq!(lease.token(now), None, "another VM has taken the role");
    assert!(!lease.is_disputed());
}

/// A write that fails must not lengthen the lease: others count from the write before.
#[test]
fn a_failed_renewal_does_not_lengthen_the_lease() {
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    lease.record_row(None, Era::default(), None, Time::default());
    assert_eq!(lease.next_step(Time::default()), Step::Write(version(0)));
    lease.record_write(version(7), Time::default(), Time::default());
    let renewal = Time::from_millis(1_000);
    assert_eq!(lease.next_step(renewal), Step::Write(version(7)));
    lease.record_failure(renewal);
    let own = CoordinatorRow { holder: Some(vm(0)), incarnation: 1, version: version(7) };
    lease.record_row(Some(&own), Era::default(), None, Time::from_millis(1_500));
    assert_eq!(lease.token(Time::default() + LEASE_DURATION), None);
}

/// A holder that was cut off saw no answers of the directory either, and acted again when
/// the partition healed, although another VM had taken its role.
#[test]
fn a_holder_acts_after_its_lease_only_if_no_vm_is_missing() {
    let outage = Outage { answered: false, missing_vms: 0, in_contact: true };
    assert!(outage.keeps_role(), "nobody can write the row");
    let cases = [
        Outage { answered: true, ..outage },
        Outage { missing_vms: 2, ..outage },
        Outage { in_contact: false, ..outage },
    ];
    for case in cases {
        assert!(!case.keeps_role(), "{case:?}");
    }
}

/// What a holder ordered: the token, and the number of the decision.
type Order = (FencingToken, u64);

/// Review case 3: an order that got no answer was carried out after newer ones, because all
/// orders of a lease had the same token.
#[test]
fn an_order_that_is_carried_out_late_never_replaces_a_newer_one() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
        lease.record_row(None, Era::default(), None, Time::default());
        let (mut number, mut highest, mut in_force) = (7, FencingToken::default(), 0);
        let mut late: Vec<Order> = Vec::new();
        for decision in 1..400 {
            let now = Time::from_millis(decision * 50);
            if rng.random_bool(0.2) {
                number += rng.random_range(1..4);
                lease.record_write(version(number), now, now);
            }
            if rng.random_bool(0.05) {
                // The order was refused for its own sake, and the row still names this VM.
                lease.record_refusal(now);
                let row = CoordinatorRow {
                    holder: Some(vm(0)),
                    incarnation: 1,
                    version: version(number),
                };
                lease.record_row(Some(&row), Era::default(), None, now);
            }
            let Some(held) = lease.last_token() else { continue };
            let token = lease.next_order(held).expect("fewer orders than tokens");
            let order = (token, decision);
            late.push(order);
            if rng.random_bool(0.6) {
                // The platform refuses a token that is lower than one that it has seen.
                assert!(token > highest, "seed {seed}: the token did not increase");
                (highest, in_force) = order;
            }
            if rng.random_bool(0.5) {
                let (token, decision) = late[rng.random_range(0..late.len())];
                if token >= highest {
                    assert!(decision >= in_force, "seed {seed}: {decision} replaces {in_force}");
                    (highest, in_force) = (token, decision);
                }
            }
        }
    }
}

#[test]
fn no_order_is_given_without_a_token_of_its_own() {
    let mut lease = CoordinatorLease::new(vm(0), 1, Time::default());
    lease.record_row(None, Era::default(), None, Time::default());
    lease.record_write(version(7), Time::default(), Time::default());
    let held = FencingToken::new(version(7));
    let mut last = None;
    while let Some(token) = lease.next_order(held) {
        assert!(Some(token) > last && token < FencingToken::new(version(8)));
        last = Some(token);
    }
    lease.record_write(version(8), Time::default(), Time::default());
    let renewed = FencingToken::new(version(8));
    assert_eq!(lease.next_order(renewed), Some(renewed));
}
