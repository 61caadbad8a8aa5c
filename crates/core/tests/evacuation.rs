//! Evacuated data centres when the directory comes back from a copy.

use std::time::Duration;

use chicoryhollow_core::{
    DataCentreId, Time,
    evacuation::{Evacuations, RESTORE_GRACE},
    version::{DirectoryVersion, Era},
};

fn list(names: &[&str]) -> Vec<DataCentreId> {
    names.iter().map(|name| name.parse().expect("a valid name")).collect()
}

fn in_force(evacuations: &mut Evacuations, ms: u64) -> Vec<String> {
    evacuations.in_force(Time::from_millis(ms)).iter().map(ToString::to_string).collect()
}

fn at(era: u32, number: u64) -> DirectoryVersion {
    DirectoryVersion::new(Era::new(era), number)
}

#[test]
fn an_evacuation_that_the_copy_lacks_stays_in_force() {
    let mut evacuations = Evacuations::new();
    evacuations.update(at(0, 61), list(&["a", "b"]), Time::default());
    evacuations.update(at(1, 49), list(&["a"]), Time::from_millis(1_000));
    assert_eq!(in_force(&mut evacuations, 1_000), ["a", "b"]);
    // Other changes of the table do not end it.
    evacuations.update(at(1, 50), list(&["a", "c"]), Time::from_millis(2_000));
    assert_eq!(in_force(&mut evacuations, 2_000), ["a", "c", "b"]);
    let late = Duration::from_millis(1_000) + RESTORE_GRACE;
    assert_eq!(in_force(&mut evacuations, late.as_millis() as u64), ["a", "c"], "given up");
}

#[test]
fn an_evacuation_that_was_written_again_ends_when_it_is_removed() {
    let mut evacuations = Evacuations::new();
    evacuations.update(at(0, 61), list(&["a"]), Time::default());
    evacuations.update(at(1, 49), list(&[]), Time::from_millis(1_000));
    evacuations.update(at(1, 52), list(&["a"]), Time::from_millis(2_000));
    evacuations.update(at(1, 53), list(&[]), Time::from_millis(3_000));
    assert!(in_force(&mut evacuations, 3_000).is_empty());
}

#[test]
fn an_evacuation_survives_two_restores_in_a_row() {
    let mut evacuations = Evacuations::new();
    evacuations.update(at(0, 61), list(&["a"]), Time::default());
    evacuations.update(at(1, 49), list(&[]), Time::from_millis(1_000));
    evacuations.update(at(2, 48), list(&[]), Time::from_millis(2_000));
    assert_eq!(in_force(&mut evacuations, 2_000), ["a"]);
}
