//! Floors of reads hold every commit that the read must show.

use std::time::Duration;

use chicoryhollow_core::{Lsn, Position, Term, Time, freshness::ObservedPositions};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn at(term: u64, lsn: u64) -> Position {
    Position::new(Term::new(term), Lsn::new(lsn))
}

#[test]
fn a_floor_holds_all_commits_older_than_the_stated_age() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut marks = ObservedPositions::new();
        let mut commits = Vec::new();
        let mut now = 0_u64;
        for lsn in 1..400 {
            now += rng.random_range(1..30);
            commits.push((now, lsn));
            if rng.random_bool(0.3) {
                // The answer shows the log at some moment after the question.
                marks.add(
                    Time::from_millis(now.saturating_sub(rng.random_range(0..40))),
                    at(1, lsn),
                );
            }
            let age = rng.random_range(50..1_500);
            let floor = marks.min_position(Time::from_millis(now), Duration::from_millis(age));
            let due =
                commits.iter().filter(|(time, _)| time + age < now).map(|(_, lsn)| *lsn).max();
            if let (Some(floor), Some(due)) = (floor, due) {
                assert!(floor >= at(1, due), "seed {seed}: floor {floor}, due {due}");
            }
        }
    }
}

#[test]
fn a_new_term_drops_the_marks_of_the_old_one() {
    let mut marks = ObservedPositions::new();
    marks.add(Time::from_millis(100), at(1, 90));
    marks.add(Time::from_millis(200), at(2, 80));
    marks.add(Time::from_millis(300), at(1, 95));
    let floor = marks.min_position(Time::from_millis(400), Duration::from_secs(1));
    assert_eq!(floor, Some(at(2, 80)), "the tail of term 1 may be lost");
    assert_eq!(marks.required_position(at(1, 95)), at(2, 80));
    assert_eq!(marks.required_position(at(2, 85)), at(2, 85));
}
