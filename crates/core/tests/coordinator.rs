//! A duty has one holder at a time, whatever becomes of calls and VMs.

use std::time::Duration;

use chicoryhollow_core::{
    Time, VmId,
    coordinator::{
        CoordinatorLease, CoordinatorRow, FencingToken, LEASE_DURATION, RowObservation, Step,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().expect("a valid name")
}

/// A row under conditional writes.
#[derive(Default)]
struct Store {
    row: Option<CoordinatorRow>,
    version: u64,
}

impl Store {
    fn write(&mut self, expected: u64, holder: Option<VmId>, incarnation: u64) -> Option<u64> {
        let present = self.row.as_ref().map_or(0, |row| row.version);
        if present != expected {
            return None;
        }
        self.version += 1;
        self.row = Some(CoordinatorRow { holder, incarnation, version: self.version });
        Some(self.version)
    }
}

/// Runs `steps` steps of three VMs whose calls fail, or whose answers are lost,
/// and which are restarted now and then.
fn run(seed: u64, steps: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store { row: None, version: 40 };
    let mut vms: Vec<(CoordinatorLease, u64)> = (0..3)
        .map(|i| (CoordinatorLease::new(vm(i), i as u64, Time::default()), i as u64))
        .collect();
    let mut holders: Vec<(FencingToken, usize, u64)> = Vec::new();
    for step in 1..steps {
        let now = Time::from_millis(step * 50);
        for (i, (tenure, incarnation)) in vms.iter_mut().enumerate() {
            if rng.random_bool(0.002) {
                *incarnation += 10;
                *tenure = CoordinatorLease::new(vm(i), *incarnation, now);
            }
            let fails = rng.random_bool(0.15);
            let loses = rng.random_bool(0.1);
            match tenure.next_step(now) {
                Step::Wait(_) => {}
                _ if fails => tenure.record_failure(now),
                Step::Read => tenure.record_row(store.row.as_ref(), None, now),
                Step::Write(expected) => {
                    let written = store.write(expected, Some(vm(i)), *incarnation);
                    match written {
                        _ if loses => tenure.record_failure(now),
                        Some(version) => tenure.record_write(version, now, now),
                        None => tenure.record_conflict(now),
                    }
                }
            }
        }
        let held: Vec<(usize, FencingToken)> = vms
            .iter()
            .enumerate()
            .filter_map(|(i, (tenure, _))| Some((i, tenure.token(now)?)))
            .collect();
        assert!(held.len() <= 1, "seed {seed}, step {step}: two holders {held:?}");
        for (i, token) in held {
            let incarnation = vms[i].1;
            match holders.last() {
                Some((last, holder, life)) if (*holder, *life) == (i, incarnation) => {
                    assert!(token >= *last, "seed {seed}: a token went back");
                }
                Some((last, _, _)) => assert!(token > *last, "seed {seed}: a token came twice"),
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
fn there_is_one_holder_and_tokens_only_grow() {
    let changes: u64 = (0..200).map(|seed| run(seed, 2_000)).sum();
    assert!(changes > 200, "the duty moves: {changes}");
}

#[test]
fn the_holder_stops_before_another_may_begin() {
    let mut tenure = CoordinatorLease::new(vm(0), 1, Time::default());
    assert_eq!(tenure.next_step(Time::default()), Step::Read);
    tenure.record_row(None, None, Time::default());
    assert_eq!(tenure.next_step(Time::default()), Step::Write(0));
    // The answer is slow: the lease counts from when the call was sent.
    tenure.record_write(7, Time::from_millis(100), Time::from_millis(900));
    assert_eq!(tenure.token(Time::from_millis(900)), Some(FencingToken::new(7)));
    assert_eq!(tenure.token(Time::from_millis(100) + LEASE_DURATION), None);
}

#[test]
fn a_row_that_outlived_an_outage_unchanged_is_taken_over_soon_after_it() {
    let row = CoordinatorRow { holder: Some(vm(1)), incarnation: 7, version: 41 };
    let mut tenure = CoordinatorLease::new(vm(0), 1, Time::default());
    let mut ms = 0;
    let mut step = |tenure: &mut CoordinatorLease, answers: bool| loop {
        ms += 50;
        let now = Time::from_millis(ms);
        match tenure.next_step(now) {
            Step::Wait(_) => {}
            Step::Read if answers => tenure.record_row(Some(&row), None, now),
            Step::Read => tenure.record_failure(now),
            Step::Write(expected) => return (expected, ms),
        }
        if answers && ms > 20_000 || !answers && ms >= 6_000 {
            return (0, ms);
        }
    };
    // The holder was last seen at the start; then nothing answers for six seconds.
    tenure.record_row(Some(&row), None, Time::default());
    assert_eq!(step(&mut tenure, false), (0, 6_000));
    let (expected, taken) = step(&mut tenure, true);
    assert_eq!(expected, 41);
    assert!(taken <= 7_500, "taken over at {taken} ms");
    assert!(taken >= 6_700, "the holder had time to renew the row: {taken} ms");
}

#[test]
fn a_vm_that_begins_to_look_goes_by_what_others_saw() {
    let row = CoordinatorRow { holder: Some(vm(1)), incarnation: 7, version: 41 };
    let begun = Time::from_millis(10_000);
    let taken = |heard: Option<RowObservation>| {
        let mut tenure = CoordinatorLease::new(vm(0), 1, begun);
        let mut now = begun;
        loop {
            match tenure.next_step(now) {
                Step::Wait(_) => {}
                Step::Read => tenure.record_row(Some(&row), heard, now),
                Step::Write(expected) => return (expected, now.since(begun).as_millis()),
            }
            now = now + Duration::from_millis(50);
        }
    };
    let long_ago = RowObservation { version: 41, since: Time::from_millis(5_000) };
    assert_eq!(taken(Some(long_ago)), (41, 900), "the holder had time to renew the row");
    assert_eq!(taken(None), (41, 2_700));
    let older = RowObservation { version: 40, ..long_ago };
    assert_eq!(taken(Some(older)), (41, 2_700), "the row has changed since");
}

#[test]
fn what_vms_saw_is_merged_by_the_newer_version_and_the_earlier_time() {
    let sight = |version, ms| RowObservation { version, since: Time::from_millis(ms) };
    assert_eq!(sight(3, 100).merge(sight(3, 50)), sight(3, 50));
    assert_eq!(sight(3, 100).merge(sight(4, 500)), sight(4, 500));
    assert_eq!(sight(4, 500).merge(sight(3, 100)), sight(4, 500));
}

#[test]
fn a_refused_holder_is_quiet_until_it_has_a_newer_token() {
    let mut tenure = CoordinatorLease::new(vm(0), 1, Time::default());
    tenure.record_row(None, None, Time::default());
    tenure.record_write(7, Time::default(), Time::default());
    tenure.record_refusal(Time::from_millis(10));
    assert_eq!(tenure.token(Time::from_millis(10)), None);
    let row = CoordinatorRow { holder: Some(vm(0)), incarnation: 1, version: 9 };
    let later = Time::from_millis(1_000);
    tenure.record_row(Some(&row), None, later);
    assert_eq!(tenure.token(later), Some(FencingToken::new(9)));
    assert_eq!(tenure.next_step(later), Step::Write(9), "reading renews nothing");
}
