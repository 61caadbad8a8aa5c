//! The lowest position of a read includes every commit that the read must return.

use std::time::Duration;

use chicoryhollow_core::{Lsn, Position, Term, Time, freshness::ObservedPositions};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn at(term: u64, lsn: u64) -> Position {
    Position::new(Term::new(term), Lsn::new(lsn))
}

#[test]
fn the_lowest_position_includes_all_commits_older_than_the_given_age() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut observed = ObservedPositions::new();
        let mut commits = Vec::new();
        let mut now = 0_u64;
        for lsn in 1..400 {
            now += rng.random_range(1..30);
            commits.push((now, lsn));
            if rng.random_bool(0.3) {
                // The answer carries the position of the log at a time after the request.
                observed.add(
                    Time::from_millis(now.saturating_sub(rng.random_range(0..40))),
                    at(1, lsn),
                );
            }
            let age = rng.random_range(50..1_500);
            let lowest = observed.min_position(Time::from_millis(now), Duration::from_millis(age));
            let due =
                commits.iter().filter(|(time, _)| time + age < now).map(|(_, lsn)| *lsn).max();
            if let (Some(lowest), Some(due)) = (lowest, due) {
                assert!(lowest >= at(1, due), "seed {seed}: position {lowest}, commit {due}");
            }
        }
    }
}

#[test]
fn a_new_term_removes_the_positions_of_the_old_one() {
    let mut observed = ObservedPositions::new();
    observed.add(Time::from_millis(100), at(1, 90));
    observed.add(Time::from_millis(200), at(2, 80));
    observed.add(Time::from_millis(300), at(1, 95));
    let lowest = observed.min_position(Time::from_millis(400), Duration::from_secs(1));
    assert_eq!(lowest, Some(at(2, 80)), "the last commits of term 1 may be lost");
    assert_eq!(observed.required_position(at(1, 95)), at(2, 80));
    assert_eq!(observed.required_position(at(2, 85)), at(2, 85));
}
