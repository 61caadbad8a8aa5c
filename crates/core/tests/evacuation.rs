//! Evacuated data centres when the directory comes back from a copy.

use std::time::Duration;

use chicoryhollow_core::{
    DataCentreId, Time,
    evacuation::{Evacuations, RESTORE_GRACE},
};

fn list(names: &[&str]) -> Vec<DataCentreId> {
    names.iter().map(|name| name.parse().expect("a valid name")).collect()
}

fn in_force(evacuations: &mut Evacuations, ms: u64) -> Vec<String> {
    evacuations.in_force(Time::from_millis(ms)).iter().map(ToString::to_string).collect()
}

#[test]
fn an_evacuation_that_the_copy_lacks_stays_in_force() {
    let mut evacuations = Evacuations::new();
    evacuations.set_listed(list(&["a", "b"]));
    evacuations.record_restore(Time::from_millis(1_000));
    evacuations.set_listed(list(&["a"]));
    assert_eq!(in_force(&mut evacuations, 1_000), ["a", "b"]);
    // Other changes of the table do not end it.
    evacuations.set_listed(list(&["a", "c"]));
    assert_eq!(in_force(&mut evacuations, 2_000), ["a", "c", "b"]);
    let late = Duration::from_millis(1_000) + RESTORE_GRACE;
    assert_eq!(in_force(&mut evacuations, late.as_millis() as u64), ["a", "c"], "given up");
}

#[test]
fn an_evacuation_that_was_written_again_ends_when_it_is_removed() {
    let mut evacuations = Evacuations::new();
    evacuations.set_listed(list(&["a"]));
    evacuations.record_restore(Time::from_millis(1_000));
    evacuations.set_listed(list(&[]));
    evacuations.set_listed(list(&["a"]));
    evacuations.set_listed(list(&[]));
    assert!(in_force(&mut evacuations, 3_000).is_empty());
}

#[test]
fn an_evacuation_survives_two_restores_in_a_row() {
    let mut evacuations = Evacuations::new();
    evacuations.set_listed(list(&["a"]));
    evacuations.record_restore(Time::from_millis(1_000));
    evacuations.set_listed(list(&[]));
    evacuations.record_restore(Time::from_millis(2_000));
    evacuations.set_listed(list(&[]));
    assert_eq!(in_force(&mut evacuations, 2_000), ["a"]);
}
