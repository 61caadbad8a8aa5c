//! When a primary is replaced, and when it is not.

use std::time::Duration;

use chicoryhollow_core::suspicion::{Evidence, Suspicion, Votes};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn votes(total: usize, failed: usize) -> Votes {
    Votes { total, failed }
}

#[test]
fn a_primary_that_answers_is_not_replaced() {
    let cases = [
        Evidence::default(),
        // Requests fail, but an answer has shown since that it still is the primary.
        Evidence { failing: ms(900), silence: ms(100), ..Evidence::default() },
        // No request was sent to it for a long time.
        Evidence { silence: ms(60_000), ..Evidence::default() },
        // Writes are slow on this VM only.
        Evidence { unconfirmed: ms(2_000), unconfirmed_votes: votes(6, 1), ..Evidence::default() },
        // Half of the neighbours cannot reach it, but this VM can.
        Evidence { failed_votes: votes(6, 3), ..Evidence::default() },
        Evidence { no_primary: Some(ms(200)), ..Evidence::default() },
    ];
    for evidence in cases {
        assert_eq!(evidence.suspicion(), None, "{evidence:?}");
    }
}

#[test]
fn each_kind_of_failure_has_its_own_suspicion() {
    let cases = [
        (Evidence { failing: ms(700), silence: ms(700), ..Evidence::default() }, Suspicion::Silent),
        (
            Evidence {
                unconfirmed: ms(900),
                unconfirmed_votes: votes(6, 2),
                ..Evidence::default()
            },
            Suspicion::Unconfirming,
        ),
        (Evidence { failed_votes: votes(6, 4), ..Evidence::default() }, Suspicion::Unreachable),
        (Evidence { no_primary: Some(ms(300)), ..Evidence::default() }, Suspicion::NoPrimary),
        (
            Evidence { leaving: true, has_successor: true, ..Evidence::default() },
            Suspicion::Leaving,
        ),
    ];
    for (evidence, suspicion) in cases {
        assert_eq!(evidence.suspicion(), Some(suspicion), "{evidence:?}");
    }
}

#[test]
fn a_leaving_primary_without_a_successor_is_not_replaced() {
    let evidence =
        Evidence { leaving: true, failing: ms(900), silence: ms(900), ..Evidence::default() };
    assert_eq!(evidence.suspicion(), None);
}
