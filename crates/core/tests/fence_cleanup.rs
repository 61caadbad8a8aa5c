//! Fences that have outlived their failover are lifted, and no others.

use chicoryhollow_core::{
    ServerId, Term, Time,
    failover::{CleanupAction, FenceCleanup, FenceUse, ReplicationStatus},
};

const NONE: FenceUse = FenceUse { running: false, ordered: false, role_expiring: false };

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn status(fenced_term: u64) -> ReplicationStatus {
    ReplicationStatus { fenced_term: Term::new(fenced_term), ..ReplicationStatus::default() }
}

/// A group with two replicas whose fences change as the requests say.
struct Replicas {
    cleanup: FenceCleanup,
    fences: [u64; 2],
    /// When requests were sent.
    polls: Vec<u64>,
    releases: Vec<u64>,
}

impl Replicas {
    fn new(fences: [u64; 2]) -> Self {
        let cleanup = FenceCleanup::new();
        Replicas { cleanup, fences, polls: Vec::new(), releases: Vec::new() }
    }

    /// Carries out the requests of every 50 ms from `from` until `until`.
    fn run(&mut self, from: u64, until: u64) {
        for ms in (from..until).step_by(50) {
            let servers = ["a", "b"].map(server);
            for action in self.cleanup.next_actions(&servers, NONE, at(ms)) {
                let released = match action {
                    CleanupAction::Poll(server) => {
                        self.polls.push(ms);
                        self.answer(&server);
                        continue;
                    }
                    CleanupAction::Release(server) => server,
                };
                self.releases.push(ms);
                self.fences[usize::from(released.as_str() == "b")] = 0;
                self.answer(&released);
            }
        }
    }

    fn answer(&mut self, server: &ServerId) {
        let fence = self.fences[usize::from(server.as_str() == "b")];
        self.cleanup.record_status(server, status(fence));
    }
}

/// Replicas that stay fenced after the promotion keep the group from acknowledging writes.
#[test]
fn a_fence_that_arrives_after_its_failover_is_lifted() {
    for late in (0..12_500).step_by(100) {
        let mut replicas = Replicas::new([0, 0]);
        replicas.cleanup.record_unanswered_fence(at(0));
        replicas.run(0, late);
        replicas.fences = [4, 4];
        replicas.run(late, late + 1_200);
        assert_eq!(replicas.fences, [0, 0], "it arrived after {late} ms");
    }
}

#[test]
fn a_fence_of_a_killed_coordinator_is_lifted_by_the_next_one_at_once() {
    let mut replicas = Replicas::new([9, 10]);
    replicas.cleanup.start(at(0));
    replicas.run(0, 150);
    assert_eq!(replicas.releases, [50, 50]);
}

#[test]
fn replicas_without_fences_are_asked_twice_and_no_more() {
    let mut replicas = Replicas::new([0, 0]);
    replicas.run(0, 1_000);
    assert!(replicas.polls.is_empty(), "nothing is amiss");
    replicas.cleanup.start(at(1_000));
    replicas.run(1_000, 60_000);
    assert_eq!(replicas.polls, [1_000, 1_000, 1_200, 1_200]);
}

#[test]
fn a_fence_that_something_needs_is_not_lifted() {
    let needed = [
        FenceUse { running: true, ..NONE },
        FenceUse { ordered: true, ..NONE },
        FenceUse { role_expiring: true, ..NONE },
    ];
    for needed in needed {
        let a = server("a");
        let mut cleanup = FenceCleanup::new();
        cleanup.start(at(0));
        assert_eq!(cleanup.next_actions([&a], NONE, at(0)), [CleanupAction::Poll(a.clone())]);
        cleanup.record_status(&a, status(4));
        for ms in (0..5_000).step_by(50) {
            assert_eq!(cleanup.next_actions([&a], needed, at(ms)), [], "{needed:?}");
        }
        let lifted = [CleanupAction::Release(a.clone())];
        assert_eq!(cleanup.next_actions([&a], NONE, at(5_000)), lifted, "afterwards");
    }
}

/// A failover that began meanwhile would have its own fence lifted.
#[test]
fn a_release_is_open_until_it_is_answered_or_given_up() {
    let a = server("a");
    let mut cleanup = FenceCleanup::new();
    cleanup.start(at(0));
    cleanup.next_actions([&a], NONE, at(0));
    assert!(!cleanup.is_releasing(), "only its status was asked for");
    cleanup.record_status(&a, status(4));
    cleanup.next_actions([&a], NONE, at(50));
    assert!(cleanup.is_releasing());
    cleanup.start(at(100));
    assert!(cleanup.is_releasing(), "another failover has ended");
    cleanup.record_failure(&a);
    assert!(!cleanup.is_releasing());
    let polls = [CleanupAction::Poll(a.clone())];
    assert_eq!(cleanup.next_actions([&a], NONE, at(300)), polls, "whether it is fenced is open");
}

/// Every write that is not confirmed would ask all replicas again.
#[test]
fn writes_that_stay_unconfirmed_ask_the_replicas_once_a_second() {
    let mut replicas = Replicas::new([0, 0]);
    for ms in (0..5_000).step_by(50) {
        replicas.cleanup.start_unconfirmed(at(ms));
        replicas.run(ms, ms + 50);
    }
    assert!(replicas.polls.len() <= 2 * 2 * 5, "{:?}", replicas.polls);
}
