//! A draining daemon answers every request that it takes on.

use std::time::Duration;

use chicoryhollow_core::{Time, drain::Drain};

const GRACE: Duration = Duration::from_secs(6);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Review case 5: most daemons of a data centre stop at once, so callers arrive until the end.
/// Requests that a daemon took shortly before its end got no answer.
#[test]
fn a_statement_that_is_taken_late_ends_before_the_daemon() {
    let drain = Drain::new(at(0), GRACE);
    let (mut taken, mut refused) = (0, 0);
    for limit in [150, 800, 2_000, 3_000, 10_000].map(Duration::from_millis) {
        for ms in (0..6_000).step_by(10) {
            if !drain.admits_statement(limit, at(ms)) {
                refused += 1;
            } else if at(ms) >= drain.closing() {
                assert!(at(ms) + limit <= drain.cutoff(), "{limit:?} at {ms}");
                taken += 1;
            }
        }
    }
    assert!(taken > 0 && refused > 0, "{taken} taken late, {refused} refused");
}

#[test]
fn new_callers_are_served_until_the_load_balancer_has_noticed() {
    let drain = Drain::new(at(1_000), GRACE);
    for limit in [150, 10_000].map(Duration::from_millis) {
        assert!((1_000..4_000).all(|ms| drain.admits_statement(limit, at(ms))));
    }
}

#[test]
fn no_transaction_is_begun_that_would_be_ended_at_once() {
    let drain = Drain::new(at(0), GRACE);
    let limit = Duration::from_millis(800);
    assert!(drain.admits_transaction(limit, at(2_000)));
    assert!((2_300..6_000).all(|ms| !drain.admits_transaction(limit, at(ms))));
}

#[test]
fn a_short_grace_period_admits_nothing_after_its_half() {
    let drain = Drain::new(at(0), Duration::from_millis(500));
    let limit = Duration::from_millis(10);
    assert!(drain.admits_statement(limit, at(100)));
    assert!(!drain.admits_statement(limit, at(300)));
}
