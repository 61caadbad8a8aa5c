//! A succession never gives up an acknowledged commit: every interleaving of a
//! small group is explored.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    Lsn, Position, ServerId, Term, Time,
    failover::{
        Action, Cause, Failover, Member, MissingServers, Progress, RegisteredServer,
        ReplicationStatus,
    },
};

fn at(term: u64, lsn: u64) -> Position {
    Position::new(Term::new(term), Lsn::new(lsn))
}

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn member(name: &str, fit: bool) -> Member {
    Member { server: server(name), preferred: fit }
}

fn held(received: Position, term: u64) -> ReplicationStatus {
    ReplicationStatus { primary: false, term: Term::new(1), received, fenced_term: Term::new(term) }
}

fn promoted(orders: &[Action]) -> Option<&ServerId> {
    orders.iter().find_map(|order| match order {
        Action::Promote(server) => Some(server),
        _ => None,
    })
}

/// Begins to replace a failed primary at time zero.
fn failure<const N: usize>(members: [Member; N], acknowledged: Position) -> Failover {
    Failover::new(Cause::Failure, members, Term::new(1), acknowledged, Time::default())
}

/// A primary `p` with replicas `a` and `b`, in the small.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct World {
    /// Commits on the primary.
    written: u8,
    /// Commits received by each replica.
    received: [u8; 2],
    /// Whether each replica was stopped from receiving.
    stopped: [bool; 2],
    /// Whether each replica's answer has reached the watcher.
    heard: [bool; 2],
    /// What the answer said.
    said: [u8; 2],
    /// Commits that were acknowledged.
    acknowledged: u8,
}

const MOST_COMMITS: u8 = 3;

/// Returns every world that one step leads to.
fn steps(world: World) -> Vec<World> {
    let mut next = Vec::new();
    if world.written < MOST_COMMITS {
        next.push(World { written: world.written + 1, ..world });
    }
    for i in 0..2 {
        if !world.stopped[i] && world.received[i] < world.written {
            let mut received = world.received;
            received[i] += 1;
            next.push(World { received, ..world });
        }
        if !world.stopped[i] {
            let mut stopped = world.stopped;
            stopped[i] = true;
            let mut said = world.said;
            said[i] = world.received[i];
            next.push(World { stopped, said, ..world });
        }
        if world.stopped[i] && !world.heard[i] {
            let mut heard = world.heard;
            heard[i] = true;
            next.push(World { heard, ..world });
        }
    }
    let received = world.received[0].max(world.received[1]);
    if world.acknowledged < received {
        next.push(World { acknowledged: world.acknowledged + 1, ..world });
    }
    next
}

#[test]
fn no_interleaving_promotes_a_server_that_lacks_an_acknowledged_commit() {
    let start = World {
        written: 0,
        received: [0; 2],
        stopped: [false; 2],
        heard: [false; 2],
        said: [0; 2],
        acknowledged: 0,
    };
    let mut seen = HashSet::from([start]);
    let mut queue = VecDeque::from([start]);
    let mut promotions = 0;
    while let Some(world) = queue.pop_front() {
        let names = ["a", "b"];
        let members = names.map(|name| member(name, true));
        let now = Time::from_millis(1_000);
        let mut succession =
            Failover::new(Cause::Failure, members, Term::new(1), Position::default(), now);
        for (i, name) in names.iter().enumerate().filter(|(i, _)| world.heard[*i]) {
            let said = at(1, u64::from(world.said[i]));
            succession.record_status(&server(name), held(said, 2), now);
        }
        if let Some(winner) = promoted(&succession.next_actions(now)) {
            let winner = names.iter().position(|name| *name == winner.as_str()).expect("a member");
            // Whatever is acknowledged later must be in its log, too.
            let mut later = vec![world];
            let mut known = HashSet::new();
            while let Some(world) = later.pop() {
                assert!(world.received[winner] >= world.acknowledged, "{world:?}");
                later.extend(steps(world).into_iter().filter(|world| known.insert(*world)));
            }
            promotions += 1;
        }
        queue.extend(steps(world).into_iter().filter(|world| seen.insert(*world)));
    }
    println!("{} states, {promotions} of them promote", seen.len());
    assert!(promotions > 0, "the exploration reaches promotions");
}

#[test]
fn nothing_is_stopped_while_a_replica_is_silent() {
    let mut succession = failure([member("a", true), member("b", true)], Position::default());
    for ms in (0..11_000).step_by(50) {
        let now = Time::from_millis(ms);
        succession.record_status(&server("a"), held(at(1, 9), 0), now);
        // A stop of `a` alone would leave the primary without any receipt.
        let orders = succession.next_actions(now);
        assert!(orders.iter().all(|order| matches!(order, Action::Poll(_))), "{orders:?}");
        assert_eq!(succession.progress(now), Progress::Running);
        assert_eq!(succession.release_actions(), []);
    }
    succession.retain(|name| *name != server("b"));
    let now = Time::from_millis(11_000);
    let orders = succession.next_actions(now);
    assert_eq!(
        orders,
        [Action::Fence(server("a"), Term::new(2))],
        "the other one is gone for good"
    );
    succession.record_status(&server("a"), held(at(1, 9), 2), now);
    assert_eq!(promoted(&succession.next_actions(now)), Some(&server("a")));
}

#[test]
fn a_replica_that_falls_silent_once_others_are_stopped_ends_the_succession() {
    let mut succession = failure([member("a", true), member("b", true)], Position::default());
    for name in ["a", "b"] {
        succession.record_status(&server(name), held(at(1, 9), 0), Time::default());
    }
    assert_eq!(succession.next_actions(Time::default()).len(), 2, "both are stopped");
    succession.record_status(&server("a"), held(at(1, 9), 2), Time::from_millis(5));
    let late = Time::from_millis(1_600);
    assert!(matches!(succession.progress(late), Progress::Abandoned(_)));
    assert_eq!(succession.release_actions().len(), 2, "both receive again");
}

#[test]
fn nobody_is_promoted_without_what_is_known_to_be_acknowledged() {
    let mut succession = failure([member("a", true)], at(1, 10));
    succession.record_status(&server("a"), held(at(1, 9), 2), Time::default());
    assert_eq!(promoted(&succession.next_actions(Time::default())), None);
    succession.record_status(&server("a"), held(at(1, 10), 2), Time::default());
    assert_eq!(promoted(&succession.next_actions(Time::from_millis(10))), Some(&server("a")));
}

#[test]
fn among_equals_a_server_that_may_stay_is_promoted() {
    for fit in ["a", "b"] {
        let members = ["a", "b"].map(|name| member(name, name == fit));
        let mut succession = failure(members, Position::default());
        succession.record_status(&server("a"), held(at(1, 4), 2), Time::default());
        succession.record_status(&server("b"), held(at(1, 4), 2), Time::default());
        assert_eq!(promoted(&succession.next_actions(Time::default())), Some(&server(fit)));
    }
}

#[test]
fn a_planned_move_stops_all_but_its_target() {
    let mut succession = Failover::new(
        Cause::Planned,
        [member("a", true), member("b", true)],
        Term::new(1),
        Position::default(),
        Time::default(),
    );
    let asks = succession.next_actions(Time::default());
    assert_eq!(asks, [Action::Poll(server("a")), Action::Poll(server("b"))]);
    succession.record_status(&server("a"), held(at(1, 7), 0), Time::default());
    succession.record_status(&server("b"), held(at(1, 5), 0), Time::default());
    let orders = succession.next_actions(Time::from_millis(300));
    assert!(orders.contains(&Action::Fence(server("b"), Term::new(2))), "{orders:?}");
    assert!(!orders.contains(&Action::Fence(server("a"), Term::new(2))), "{orders:?}");
    // The other one received more before it was stopped: the target catches up first.
    succession.record_status(&server("b"), held(at(1, 8), 2), Time::default());
    assert_eq!(promoted(&succession.next_actions(Time::from_millis(350))), None);
    succession.record_status(&server("a"), held(at(1, 8), 0), Time::default());
    assert_eq!(promoted(&succession.next_actions(Time::from_millis(400))), Some(&server("a")));
}

#[test]
fn another_leader_or_a_higher_term_ends_the_succession() {
    let begin = || failure([member("a", true)], Position::default());
    let mut leads = begin();
    leads.record_status(
        &server("a"),
        ReplicationStatus { primary: true, ..held(at(2, 1), 0) },
        Time::default(),
    );
    assert!(matches!(leads.progress(Time::default()), Progress::Abandoned(_)));
    let mut outbid = begin();
    outbid.record_status(&server("a"), held(at(1, 1), 3), Time::default());
    assert!(matches!(outbid.progress(Time::default()), Progress::Abandoned(_)));
}

#[test]
fn an_order_without_effect_is_repeated_and_confirmed() {
    let mut succession = failure([member("a", true)], Position::default());
    succession.record_status(&server("a"), held(at(1, 1), 2), Time::default());
    assert!(promoted(&succession.next_actions(Time::default())).is_some());
    let asks = succession.next_actions(Time::from_millis(200));
    assert_eq!(asks, [Action::Poll(server("a"))]);
    assert!(promoted(&succession.next_actions(Time::from_millis(1_600))).is_some());
    let leads = ReplicationStatus { primary: true, term: Term::new(2), ..held(at(2, 1), 0) };
    succession.record_status(&server("a"), leads, Time::default());
    let done = Progress::Done(server("a"), Term::new(2));
    assert_eq!(succession.progress(Time::from_millis(1_700)), done);
    assert_eq!(succession.progress(Time::default() + Duration::from_secs(60)), done);
}

#[test]
fn servers_that_a_dead_vm_stopped_are_promoted_by_the_next_succession() {
    // The VM that stopped `a` and `b` at term 2 is gone, and this one knows no term.
    let (a, b) = (server("a"), server("b"));
    let begin = |highest: Term| {
        let members = [member("a", true), member("b", true)];
        Failover::new(Cause::Failure, members, highest, Position::default(), Time::default())
    };
    let mut first = begin(Term::default());
    first.record_status(&a, held(at(1, 9), 2), Time::default());
    first.record_status(&b, held(at(1, 7), 2), Time::default());
    assert!(matches!(first.progress(Time::default()), Progress::Abandoned(_)));
    let mut second = begin(first.highest_term());
    assert_eq!(second.term(), Term::new(3));
    second.record_status(&a, held(at(1, 9), 2), Time::default());
    second.record_status(&b, held(at(1, 7), 2), Time::default());
    assert_eq!(second.progress(Time::default()), Progress::Running);
    let orders = second.next_actions(Time::default());
    assert!(orders.contains(&Action::Fence(a.clone(), Term::new(3))), "{orders:?}");
    second.record_status(&a, held(at(1, 9), 3), Time::default());
    second.record_status(&b, held(at(1, 7), 3), Time::default());
    assert_eq!(promoted(&second.next_actions(Time::from_millis(300))), Some(&a));
}

/// Servers by name and the last byte of their address.
type Registry = [(&'static str, u8)];

/// Takes note of a change of the registered servers.
fn note(absentees: &mut MissingServers, before: &Registry, after: &Registry, ms: u64) {
    let names = |registry: &Registry| -> Vec<(ServerId, u8)> {
        registry.iter().map(|(name, host)| (server(name), *host)).collect()
    };
    let (before, after) = (names(before), names(after));
    absentees.update(registry(&before), registry(&after), Time::from_millis(ms));
}

fn registry(servers: &[(ServerId, u8)]) -> impl Iterator<Item = RegisteredServer<'_>> {
    servers.iter().map(|(server, host)| RegisteredServer {
        server,
        address: ([10, 0, 0, *host], 5_432).into(),
    })
}

#[test]
fn a_server_that_vanished_is_expected_back_for_a_while() {
    let mut absentees = MissingServers::new();
    let p = server("p");
    let all = [("a", 1), ("b", 2), ("p", 3)];
    note(&mut absentees, &all, &[("a", 1)], 100);
    assert!(absentees.is_any_expected(Some(&p), Time::from_millis(5_000)), "b may hold a commit");
    note(&mut absentees, &[("a", 1)], &[("a", 1), ("b", 2)], 6_000);
    assert!(
        !absentees.is_any_expected(Some(&p), Time::from_millis(6_000)),
        "only the primary is away"
    );
    note(&mut absentees, &[("a", 1), ("b", 2)], &[("a", 1)], 7_000);
    assert!(absentees.is_any_expected(Some(&p), Time::from_millis(16_900)));
    assert!(!absentees.is_any_expected(Some(&p), Time::from_millis(17_100)), "it counts as lost");
}

#[test]
fn only_a_server_whose_address_was_taken_over_is_not_missed() {
    let p = server("p");
    let all = [("a", 1), ("b", 2), ("p", 3)];
    let mut absentees = MissingServers::new();
    // The next one at the address has the log of `b`.
    note(&mut absentees, &all, &[("a", 1), ("c", 2), ("p", 3)], 100);
    assert!(!absentees.is_any_expected(Some(&p), Time::from_millis(200)));
    // One that leaves, and vanishes since its data centre is cut off, is missed.
    note(&mut absentees, &[("a", 1), ("c", 2), ("p", 3)], &[("a", 1), ("p", 3)], 300);
    assert!(absentees.is_any_expected(Some(&p), Time::from_millis(400)));
    // A server elsewhere does not stand in for it.
    note(&mut absentees, &[("a", 1), ("p", 3)], &[("a", 1), ("d", 4), ("p", 3)], 500);
    assert!(absentees.is_any_expected(Some(&p), Time::from_millis(600)));
}
