//! Servers whose entries disappeared, and for how long a failover waits for them.

use std::time::Duration;

use chicoryhollow_core::{
    ServerId, Time,
    failover::{MissingServers, RegisteredServer, ServerTimes},
};

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

/// Servers by name and the last byte of their address.
type Registry = [(&'static str, u8)];

/// Records a change of the registered servers at the time `ms`.
fn update(missing: &mut MissingServers, before: &Registry, after: &Registry, ms: u64) {
    let names = |registry: &Registry| -> Vec<(ServerId, u8)> {
        registry.iter().map(|(name, host)| (server(name), *host)).collect()
    };
    let (before, after) = (names(before), names(after));
    let silence = Duration::ZERO;
    missing.update(registry(&before), registry(&after), silence, Time::from_millis(ms));
}

fn registry(servers: &[(ServerId, u8)]) -> impl Iterator<Item = RegisteredServer<'_>> {
    servers.iter().map(|(server, host)| RegisteredServer {
        server,
        address: ([10, 0, 0, *host], 5_432).into(),
        leaving: false,
    })
}

const TIMES: ServerTimes =
    ServerTimes { heartbeat: Duration::from_millis(1_200), drain: Duration::from_millis(7_000) };

/// When the server of the following tests begins to leave, in milliseconds.
const LEAVING: u64 = 1_000;

/// Records that the entry of the leaving server `a` is removed at the time `removed`, while
/// the primary has been silent for `silence`, both in milliseconds.
fn remove_leaving(removed: u64, silence: u64) -> MissingServers {
    let a = server("a");
    let entry =
        |leaving| RegisteredServer { server: &a, address: ([10, 0, 0, 1], 5_432).into(), leaving };
    let mut missing = MissingServers::new().with_times(Some(TIMES));
    let mut update = |before: Option<bool>, after: Option<bool>, silence, ms| {
        let (before, after) = (before.map(entry), after.map(entry));
        missing.update(before, after, Duration::from_millis(silence), Time::from_millis(ms));
    };
    update(None, Some(false), 0, 0);
    update(Some(false), Some(true), 0, LEAVING);
    // Other changes do not matter.
    update(Some(true), Some(true), 0, LEAVING + 500);
    update(Some(true), None, silence, removed);
    missing
}

/// Returns whether `a` is expected to return after it did not answer at its address.
fn is_expected_unanswered(mut missing: MissingServers) -> bool {
    let a = server("a");
    let is_checked = missing.ended_candidates().any(|(server, _)| *server == a);
    missing.record_unanswered(&a);
    let is_expected = missing.is_any_expected(None, Time::from_millis(LEAVING));
    assert_eq!(is_expected, !is_checked);
    is_expected
}

/// Review case 2: a leaving replica whose entry lapsed behind a cut counted as gone while it
/// confirmed commits to the primary there.
#[test]
fn a_leaving_server_that_is_cut_off_with_the_primary_is_expected_to_return() {
    let heartbeat = TIMES.heartbeat.as_millis() as u64;
    for cut in (LEAVING..LEAVING + 12_000).step_by(100) {
        // Its last heartbeat was up to one interval before the cut, and told that it leaves.
        for before in (0..heartbeat.min(cut - LEAVING + 1)).step_by(100) {
            let removed = cut - before + 3 * heartbeat;
            let missing = remove_leaving(removed, removed - cut);
            assert!(is_expected_unanswered(missing), "cut at {cut}, removed at {removed}");
        }
    }
}

/// A primary that fails right after a planned replacement of a replica need not wait for
/// the old replica.
#[test]
fn a_server_that_left_is_not_expected_to_return() {
    let missing = remove_leaving(LEAVING + 7_000, 200);
    assert!(missing.is_any_expected(None, Time::from_millis(LEAVING)), "it was not asked");
    assert!(!missing.are_returning(Time::from_millis(LEAVING + 7_100)));
    assert!(!is_expected_unanswered(missing));
}

/// A server that crashed while it was leaving may return.
#[test]
fn a_server_that_had_no_time_to_drain_has_not_ended() {
    assert!(is_expected_unanswered(remove_leaving(LEAVING + 6_900, 0)));
}

#[test]
fn no_server_has_ended_if_the_times_of_servers_are_not_known() {
    let mut missing = remove_leaving(LEAVING + 9_000, 0).with_times(None);
    assert_eq!(missing.ended_candidates().count(), 1, "it was known then");
    update(&mut missing, &[("b", 2)], &[], 10_500);
    let candidates: Vec<ServerId> =
        missing.ended_candidates().map(|(server, _)| server.clone()).collect();
    assert_eq!(candidates, [server("a")]);
}

/// The new server at the address of a missing one may be registered later.
#[test]
fn a_missing_server_whose_address_is_taken_over_later_is_not_expected_to_return() {
    let mut missing = MissingServers::new();
    update(&mut missing, &[("a", 1), ("b", 2)], &[("a", 1)], 100);
    assert!(missing.is_any_expected(None, Time::from_millis(200)));
    update(&mut missing, &[("a", 1)], &[("a", 1), ("c", 2)], 300);
    assert!(!missing.is_any_expected(None, Time::from_millis(400)));
}

#[test]
fn a_missing_server_is_expected_to_return_for_a_limited_time() {
    let mut missing = MissingServers::new();
    let p = server("p");
    let all = [("a", 1), ("b", 2), ("p", 3)];
    update(&mut missing, &all, &[("a", 1)], 100);
    assert!(missing.is_any_expected(Some(&p), Time::from_millis(5_000)), "b may hold a commit");
    update(&mut missing, &[("a", 1)], &[("a", 1), ("b", 2)], 6_000);
    assert!(
        !missing.is_any_expected(Some(&p), Time::from_millis(6_000)),
        "only the primary is missing"
    );
    update(&mut missing, &[("a", 1), ("b", 2)], &[("a", 1)], 7_000);
    assert!(missing.is_any_expected(Some(&p), Time::from_millis(16_900)));
    assert!(!missing.is_any_expected(Some(&p), Time::from_millis(17_100)), "it counts as lost");
}

#[test]
fn a_server_counts_as_missing_unless_its_address_was_taken_over() {
    let p = server("p");
    let all = [("a", 1), ("b", 2), ("p", 3)];
    let mut missing = MissingServers::new();
    // The new server at the address of `b` has its log.
    update(&mut missing, &all, &[("a", 1), ("c", 2), ("p", 3)], 100);
    assert!(!missing.is_any_expected(Some(&p), Time::from_millis(200)));
    // A leaving server that disappears because its data centre is cut off is missing.
    update(&mut missing, &[("a", 1), ("c", 2), ("p", 3)], &[("a", 1), ("p", 3)], 300);
    assert!(missing.is_any_expected(Some(&p), Time::from_millis(400)));
    // A new server at another address does not replace it.
    update(&mut missing, &[("a", 1), ("p", 3)], &[("a", 1), ("d", 4), ("p", 3)], 500);
    assert!(missing.is_any_expected(Some(&p), Time::from_millis(600)));
}

/// Time between two decisions of the coordinator, in milliseconds.
const DECISION_MS: u64 = 50;

/// The primary `p`, its replica `r` and a new replica `n` were cut off together. `n` was
/// started behind the cut, so that no entry of it was ever seen outside. Their entries
/// return in any order within two seconds after the cut has healed.
#[test]
fn no_failover_starts_before_a_server_started_behind_a_cut_is_known() {
    const STEP_MS: u64 = 250;
    let outside = [("a", 1), ("b", 2)];
    let inside = [("p", 3), ("r", 4), ("n", 5)];
    let delays = || (0..=2_000).step_by(STEP_MS as usize);
    for p in delays() {
        for r in delays() {
            for n in delays() {
                let mut missing = MissingServers::new();
                let all = [outside[0], outside[1], inside[0], inside[1]];
                update(&mut missing, &all, &outside, 0);
                let (healed, mut known) = (3_000, outside.to_vec());
                for ms in (healed..healed + 2_500).step_by(DECISION_MS as usize) {
                    let before = known.clone();
                    let returned = [p, r, n].map(|delay| ms - healed >= delay);
                    known = outside.to_vec();
                    known
                        .extend(inside.iter().zip(returned).filter(|(_, is)| *is).map(|(s, _)| *s));
                    update(&mut missing, &before, &known, ms);
                    let now = Time::from_millis(ms);
                    let waits = missing.is_any_expected(Some(&server("p")), now)
                        || missing.are_returning(now);
                    let decides = !returned[0] && !waits;
                    assert!(!decides || returned[2], "p {p}, r {r}, n {n} at {ms}");
                }
            }
        }
    }
}
