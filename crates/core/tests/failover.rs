//! A failover never loses an acknowledged commit. One test explores every interleaving of
//! a group with two replicas.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    Lsn, Position, ServerId, Term, Time,
    failover::{
        Action, Cause, CleanupAction, Failover, FenceCleanup, FenceUse, Member, Progress,
        ReplicationStatus,
    },
};

fn at(term: u64, lsn: u64) -> Position {
    Position::new(Term::new(term), Lsn::new(lsn))
}

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn member(name: &str, preferred: bool) -> Member {
    Member { server: server(name), preferred, cold: false, born: 0 }
}

fn replica_status(received: Position, term: u64) -> ReplicationStatus {
    ReplicationStatus { primary: false, term: Term::new(1), received, fenced_term: Term::new(term) }
}

fn promoted(actions: &[Action]) -> Option<&ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Promote(attempt) => Some(attempt.server()),
        _ => None,
    })
}

/// Sends the order among these actions, if there is one, and returns whether it was sent.
fn send_order(failover: &mut Failover, actions: &[Action], now: Time) -> bool {
    actions.iter().any(|action| match action {
        Action::Promote(attempt) => failover.claim(attempt, now),
        _ => false,
    })
}

/// Returns how many of these replicas, which are fenced, are told to receive again after a failover.
fn lifted(names: [&str; 2], needed: FenceUse) -> usize {
    let (servers, now) = (names.map(server), Time::from_millis(20_000));
    let mut cleanup = FenceCleanup::new();
    cleanup.start(now);
    cleanup.next_actions(&servers, needed, now);
    for server in &servers {
        cleanup.record_status(server, replica_status(at(1, 9), 2));
    }
    let actions = cleanup.next_actions(&servers, needed, now);
    actions.iter().filter(|action| matches!(action, CleanupAction::Release(_))).count()
}

/// Time at which all VMs know of a failover that started at time zero.
const ANNOUNCED: Time = Time::from_millis(200);

/// Starts the failover of a failed primary at time zero.
fn start_failover<const N: usize>(members: [Member; N], acknowledged: Position) -> Failover {
    Failover::new(Cause::Failure, members, Term::new(1), acknowledged, Time::default())
}

/// A model of a primary with the replicas `a` and `b`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    /// Commits on the primary.
    written: u8,
    /// Commits received by each replica.
    received: [u8; 2],
    /// Whether each replica was fenced.
    fenced: [bool; 2],
    /// Whether the answer of each replica has reached the coordinator.
    answered: [bool; 2],
    /// Commits received by each replica according to its answer.
    reported: [u8; 2],
    /// Commits that were acknowledged.
    acknowledged: u8,
}

const MAX_COMMITS: u8 = 3;

/// Returns every state that can follow `state` in one step.
fn steps(state: State) -> Vec<State> {
    let mut next = Vec::new();
    if state.written < MAX_COMMITS {
        next.push(State { written: state.written + 1, ..state });
    }
    for i in 0..2 {
        if !state.fenced[i] && state.received[i] < state.written {
            let mut received = state.received;
            received[i] += 1;
            next.push(State { received, ..state });
        }
        if !state.fenced[i] {
            let mut fenced = state.fenced;
            fenced[i] = true;
            let mut reported = state.reported;
            reported[i] = state.received[i];
            next.push(State { fenced, reported, ..state });
        }
        if state.fenced[i] && !state.answered[i] {
            let mut answered = state.answered;
            answered[i] = true;
            next.push(State { answered, ..state });
        }
    }
    let received = state.received[0].max(state.received[1]);
    if state.acknowledged < received {
        next.push(State { acknowledged: state.acknowledged + 1, ..state });
    }
    next
}

#[test]
fn no_interleaving_promotes_a_server_that_lacks_an_acknowledged_commit() {
    let start = State {
        written: 0,
        received: [0; 2],
        fenced: [false; 2],
        answered: [false; 2],
        reported: [0; 2],
        acknowledged: 0,
    };
    let mut seen = HashSet::from([start]);
    let mut queue = VecDeque::from([start]);
    let mut promotions = 0;
    while let Some(state) = queue.pop_front() {
        let names = ["a", "b"];
        let members = names.map(|name| member(name, true));
        let now = ANNOUNCED;
        let mut failover = start_failover(members, Position::default());
        failover.record_list(now);
        for (i, name) in names.iter().enumerate().filter(|(i, _)| state.answered[*i]) {
            let reported = at(1, u64::from(state.reported[i]));
            failover.record_status(&server(name), replica_status(reported, 2), now);
        }
        if let Some(target) = promoted(&failover.next_actions(now)) {
            let target = names.iter().position(|name| *name == target.as_str()).expect("a member");
            // Commits that are acknowledged later must be in its log too.
            let mut later = vec![state];
            let mut known = HashSet::new();
            while let Some(state) = later.pop() {
                assert!(state.received[target] >= state.acknowledged, "{state:?}");
                later.extend(steps(state).into_iter().filter(|state| known.insert(*state)));
            }
            promotions += 1;
        }
        queue.extend(steps(state).into_iter().filter(|state| seen.insert(*state)));
    }
    println!("{} states, {promotions} of them promote", seen.len());
    assert!(promotions > 0, "the exploration reaches promotions");
}

#[test]
fn no_replica_is_fenced_while_another_one_does_not_answer() {
    let mut failover = start_failover([member("a", true), member("b", true)], Position::default());
    for ms in (0..11_000).step_by(50) {
        let now = Time::from_millis(ms);
        failover.record_status(&server("a"), replica_status(at(1, 9), 0), now);
        // With `a` fenced and `b` silent the primary could not acknowledge anything.
        let actions = failover.next_actions(now);
        assert!(actions.iter().all(|order| matches!(order, Action::Poll(_))), "{actions:?}");
        assert_eq!(failover.progress(now), Progress::Running);
    }
    failover.retain(|name| *name != server("b"));
    let now = Time::from_millis(11_000);
    let actions = failover.next_actions(now);
    assert_eq!(
        actions,
        [Action::Fence(server("a"), Term::new(2)), Action::ListServers],
        "the other replica is gone for good"
    );
    failover.record_status(&server("a"), replica_status(at(1, 9), 2), now);
    failover.record_list(now);
    assert_eq!(promoted(&failover.next_actions(now)), Some(&server("a")));
}

#[test]
fn a_failover_is_abandoned_if_a_replica_stops_answering_after_fencing_began() {
    let mut failover = start_failover([member("a", true), member("b", true)], Position::default());
    for name in ["a", "b"] {
        failover.record_status(&server(name), replica_status(at(1, 9), 0), Time::default());
    }
    assert_eq!(failover.next_actions(Time::default()).len(), 2, "both are fenced");
    failover.record_status(&server("a"), replica_status(at(1, 9), 2), Time::from_millis(5));
    let late = Time::from_millis(1_600);
    assert!(matches!(failover.progress(late), Progress::Abandoned(_)));
    let needed = FenceUse { ordered: failover.has_open_order(), ..FenceUse::default() };
    assert_eq!(lifted(["a", "b"], needed), 2, "both receive again");
}

/// Its order was carried out after the members had received and confirmed more.
#[test]
fn a_failover_that_is_given_up_after_its_order_leaves_the_members_fenced() {
    let mut failover = start_failover([member("a", true), member("b", true)], Position::default());
    failover.record_list(ANNOUNCED);
    failover.record_status(&server("a"), replica_status(at(1, 9), 2), ANNOUNCED);
    failover.record_status(&server("b"), replica_status(at(1, 8), 2), ANNOUNCED);
    let actions = failover.next_actions(ANNOUNCED);
    assert!(send_order(&mut failover, &actions, ANNOUNCED));
    let late = Time::from_millis(12_100);
    assert!(matches!(failover.progress(late), Progress::Abandoned(_)));
    let needed = FenceUse { ordered: failover.has_open_order(), ..FenceUse::default() };
    assert_eq!(lifted(["a", "b"], needed), 0);
}

#[test]
fn no_server_is_promoted_without_the_known_acknowledged_commits() {
    let mut failover = start_failover([member("a", true)], at(1, 10));
    failover.record_list(ANNOUNCED);
    failover.record_status(&server("a"), replica_status(at(1, 9), 2), Time::default());
    assert_eq!(promoted(&failover.next_actions(Time::default())), None);
    for ms in (200..700).step_by(10) {
        let now = Time::from_millis(ms);
        failover.record_status(&server("a"), replica_status(at(1, 9), 2), now);
        assert_eq!(promoted(&failover.next_actions(now)), None, "{ms} ms");
    }
    let received = Time::from_millis(700);
    failover.record_status(&server("a"), replica_status(at(1, 10), 2), received);
    assert_eq!(promoted(&failover.next_actions(received)), Some(&server("a")), "at once");
}

/// A VM that did not know of the failover passed on commits of a server that nobody had listed.
#[test]
fn no_server_is_promoted_before_all_vms_know_of_the_failover_and_the_servers_are_listed() {
    let mut failover = start_failover([member("a", true)], Position::default());
    for ms in (0..200).step_by(10) {
        let now = Time::from_millis(ms);
        failover.record_status(&server("a"), replica_status(at(1, 9), 2), now);
        failover.record_list(now);
        let actions = failover.next_actions(now);
        let is_poll = |action: &Action| matches!(action, Action::Poll(_));
        assert!(actions.iter().all(is_poll), "{ms} ms: {actions:?}");
    }
    assert!(failover.next_actions(ANNOUNCED).contains(&Action::ListServers));
    failover.join([member("new", true)]);
    failover.record_list(ANNOUNCED);
    let fence = [Action::Fence(server("new"), Term::new(2))];
    assert_eq!(failover.next_actions(Time::from_millis(210)), fence);
    let later = Time::from_millis(220);
    failover.record_status(&server("new"), replica_status(at(1, 10), 2), later);
    assert!(failover.next_actions(later).contains(&Action::ListServers), "once more");
    failover.record_list(later);
    assert_eq!(promoted(&failover.next_actions(later)), Some(&server("new")));
}

/// A coordinator that had just started did not know the primary's term, and told VMs nothing that
/// made them stop.
#[test]
fn a_failover_that_learns_of_a_higher_term_waits_until_all_vms_know() {
    let mut failover = start_failover([member("a", true)], Position::default());
    failover.record_list(ANNOUNCED);
    let status = ReplicationStatus { term: Term::new(7), ..replica_status(at(7, 9), 8) };
    failover.record_status(&server("a"), status, ANNOUNCED);
    assert_eq!(failover.reported_term(), Term::new(7));
    failover.record_announcement(ANNOUNCED);
    for ms in (200..400).step_by(10) {
        let now = Time::from_millis(ms);
        assert_eq!(promoted(&failover.next_actions(now)), None, "{ms} ms");
    }
    let told = Time::from_millis(400);
    assert!(failover.next_actions(told).contains(&Action::ListServers));
    failover.record_list(told);
    assert_eq!(promoted(&failover.next_actions(told)), Some(&server("a")));
}

#[test]
fn a_directory_that_does_not_answer_delays_a_promotion_for_a_limited_time() {
    let promoted_at = |fails: bool| {
        let mut failover = start_failover([member("a", true)], Position::default());
        let is_promoted = |ms: &u64| {
            let now = Time::from_millis(*ms);
            failover.record_status(&server("a"), replica_status(at(1, 9), 2), now);
            let actions = failover.next_actions(now);
            if fails && actions.contains(&Action::ListServers) {
                failover.record_list_failure();
            }
            promoted(&actions).is_some()
        };
        (0..1_000).step_by(10).find(is_promoted)
    };
    assert_eq!(promoted_at(true), Some(210), "an error ends the wait");
    assert_eq!(promoted_at(false), Some(500), "silence does so after a while");
}

/// The one that still receives may be the only one with the next commit.
#[test]
fn no_server_is_promoted_while_another_one_is_not_fenced() {
    for (fenced, open) in [("a", "b"), ("b", "a")] {
        let members = ["a", "b"].map(|name| member(name, true));
        let mut failover = start_failover(members, Position::default());
        failover.record_list(ANNOUNCED);
        for ms in (200..1_000).step_by(50) {
            let now = Time::from_millis(ms);
            failover.record_status(&server(fenced), replica_status(at(1, 9), 2), now);
            failover.record_status(&server(open), replica_status(at(1, 9), 0), now);
            assert_eq!(promoted(&failover.next_actions(now)), None, "{open} receives");
        }
        let now = Time::from_millis(1_000);
        failover.record_status(&server(open), replica_status(at(1, 10), 2), now);
        failover.record_list(now);
        assert_eq!(promoted(&failover.next_actions(now)), Some(&server(open)));
    }
}

#[test]
fn of_equal_servers_a_preferred_one_is_promoted() {
    for preferred in ["a", "b"] {
        let members = ["a", "b"].map(|name| member(name, name == preferred));
        let mut failover = start_failover(members, Position::default());
        failover.record_list(ANNOUNCED);
        failover.record_status(&server("a"), replica_status(at(1, 4), 2), ANNOUNCED);
        failover.record_status(&server("b"), replica_status(at(1, 4), 2), ANNOUNCED);
        assert_eq!(promoted(&failover.next_actions(Time::from_millis(199))), None);
        assert_eq!(promoted(&failover.next_actions(ANNOUNCED)), Some(&server(preferred)));
    }
}

#[test]
fn a_planned_failover_fences_all_servers_but_its_target() {
    let mut failover = Failover::new(
        Cause::Planned,
        [member("a", true), member("b", true)],
        Term::new(1),
        Position::default(),
        Time::default(),
    );
    let polls = failover.next_actions(Time::default());
    assert_eq!(polls, [Action::Poll(server("a")), Action::Poll(server("b"))]);
    failover.record_status(&server("a"), replica_status(at(1, 7), 0), Time::default());
    failover.record_status(&server("b"), replica_status(at(1, 5), 0), Time::default());
    let actions = failover.next_actions(Time::from_millis(300));
    assert!(actions.contains(&Action::Fence(server("b"), Term::new(2))), "{actions:?}");
    assert!(!actions.contains(&Action::Fence(server("a"), Term::new(2))), "{actions:?}");
    failover.record_list(Time::from_millis(300));
    // `b` received more before it was fenced, so the target has to catch up first.
    failover.record_status(&server("b"), replica_status(at(1, 8), 2), Time::default());
    assert_eq!(promoted(&failover.next_actions(Time::from_millis(350))), None);
    failover.record_status(&server("a"), replica_status(at(1, 8), 0), Time::default());
    assert_eq!(promoted(&failover.next_actions(Time::from_millis(400))), Some(&server("a")));
}

#[test]
fn another_primary_ends_the_failover() {
    let mut other_primary = start_failover([member("a", true)], Position::default());
    other_primary.record_status(
        &server("a"),
        ReplicationStatus { primary: true, ..replica_status(at(2, 1), 0) },
        Time::default(),
    );
    assert!(matches!(other_primary.progress(Time::default()), Progress::Abandoned(_)));
}

#[test]
fn a_promotion_without_effect_is_requested_again_until_it_is_seen() {
    let mut failover = start_failover([member("a", true)], Position::default());
    failover.record_list(ANNOUNCED);
    failover.record_status(&server("a"), replica_status(at(1, 1), 2), ANNOUNCED);
    let actions = failover.next_actions(ANNOUNCED);
    assert!(send_order(&mut failover, &actions, ANNOUNCED));
    let polls = failover.next_actions(Time::from_millis(400));
    assert_eq!(polls, [Action::Poll(server("a"))]);
    // It answers the polls, and still has the log for which it was chosen.
    failover.record_status(&server("a"), replica_status(at(1, 1), 2), Time::from_millis(1_650));
    assert_eq!(promoted(&failover.next_actions(Time::from_millis(1_699))), None);
    assert_eq!(promoted(&failover.next_actions(Time::from_millis(1_700))), Some(&server("a")));
    let primary =
        ReplicationStatus { primary: true, term: Term::new(2), ..replica_status(at(2, 1), 0) };
    failover.record_status(&server("a"), primary, Time::default());
    let done = Progress::Done(server("a"), Term::new(2));
    assert_eq!(failover.progress(Time::from_millis(1_700)), done);
    assert_eq!(failover.progress(Time::default() + Duration::from_secs(60)), done);
}

/// The order was repeated for a server that had crashed and started again with an empty log.
#[test]
fn a_target_that_starts_again_without_its_log_is_not_promoted() {
    let mut failover = start_failover([member("a", true), member("b", true)], at(1, 9));
    failover.record_list(ANNOUNCED);
    failover.record_status(&server("a"), replica_status(at(1, 10), 2), ANNOUNCED);
    failover.record_status(&server("b"), replica_status(at(1, 9), 2), ANNOUNCED);
    assert_eq!(promoted(&failover.next_actions(ANNOUNCED)), Some(&server("a")));
    let started = Time::from_millis(900);
    failover.record_status(&server("a"), replica_status(Position::default(), 0), started);
    for ms in (900..2_000).step_by(50) {
        let now = Time::from_millis(ms);
        let actions = failover.next_actions(now);
        assert_ne!(promoted(&actions), Some(&server("a")), "{ms} ms");
        if actions.contains(&Action::Fence(server("a"), Term::new(2))) {
            failover.record_status(&server("a"), replica_status(Position::default(), 2), now);
        }
        failover.record_status(&server("b"), replica_status(at(1, 9), 2), now);
        if promoted(&actions) == Some(&server("b")) {
            return;
        }
    }
    panic!("the server that holds the log is not promoted");
}

/// A replica that had started again received from the old primary until the promotion.
#[test]
fn a_fenced_server_that_starts_again_is_fenced_again_until_its_successor_leads() {
    let mut failover = start_failover([member("a", true), member("b", true)], Position::default());
    failover.record_list(ANNOUNCED);
    failover.record_status(&server("a"), replica_status(at(1, 10), 2), ANNOUNCED);
    failover.record_status(&server("b"), replica_status(at(1, 9), 2), ANNOUNCED);
    assert_eq!(promoted(&failover.next_actions(ANNOUNCED)), Some(&server("a")));
    let asked = (210..800).step_by(10).find(|ms| {
        let actions = failover.next_actions(Time::from_millis(*ms));
        actions.contains(&Action::Poll(server("b")))
    });
    let answered = Time::from_millis(asked.expect("a fenced server is asked again"));
    failover.record_status(&server("b"), replica_status(Position::default(), 0), answered);
    let is_fenced = (800..1_200).step_by(10).any(|ms| {
        let actions = failover.next_actions(Time::from_millis(ms));
        actions.contains(&Action::Fence(server("b"), Term::new(2)))
    });
    assert!(is_fenced, "it receives again");
}

/// The order was repeated for a target that had crashed since its last answer.
#[test]
fn a_promotion_is_not_requested_again_of_a_server_that_does_not_answer() {
    let mut failover = start_failover([member("a", true), member("b", true)], at(1, 9));
    failover.record_list(ANNOUNCED);
    failover.record_status(&server("a"), replica_status(at(1, 10), 2), ANNOUNCED);
    failover.record_status(&server("b"), replica_status(at(1, 9), 2), ANNOUNCED);
    assert_eq!(promoted(&failover.next_actions(ANNOUNCED)), Some(&server("a")));
    for ms in (250..4_000).step_by(50) {
        let now = Time::from_millis(ms);
        failover.record_status(&server("b"), replica_status(at(1, 9), 2), now);
        assert_eq!(promoted(&failover.next_actions(now)), None, "{ms} ms");
    }
    let returned = Time::from_millis(4_000);
    failover.record_status(&server("a"), replica_status(at(1, 10), 2), returned);
    assert_eq!(promoted(&failover.next_actions(returned)), Some(&server("a")));
}

#[test]
fn servers_fenced_by_a_vm_that_crashed_are_promoted_by_the_next_failover() {
    // The VM that fenced `a` at term 2 and `b` at term 3 has crashed, and this one knows no term.
    let (a, b) = (server("a"), server("b"));
    let members = [member("a", true), member("b", true)];
    let (term, now) = (Term::default(), Time::default());
    let mut failover = Failover::new(Cause::Failure, members, term, Position::default(), now);
    failover.record_status(&a, replica_status(at(1, 9), 2), now);
    failover.record_status(&b, replica_status(at(1, 7), 3), now);
    assert_eq!(failover.term(), Term::new(2), "the one that the promotion will lead");
    assert_eq!(failover.progress(now), Progress::Running);
    let actions = failover.next_actions(now);
    let polls = [Action::Poll(a.clone()), Action::Poll(b)];
    assert_eq!(actions, polls, "fences of that term or a higher one are as good as new ones");
    failover.record_list(ANNOUNCED);
    assert_eq!(promoted(&failover.next_actions(ANNOUNCED)), Some(&a));
}

/// Replicas would accept a fence of the next failover that arrives after its promotion, if earlier
/// fences had raised the term of the fence.
#[test]
fn a_fence_does_not_raise_the_term_of_the_next_failover() {
    let mut failover = start_failover([member("a", true)], Position::default());
    failover.record_status(&server("a"), replica_status(at(1, 9), 7), Time::default());
    assert_eq!(failover.term(), Term::new(2));
    let status = ReplicationStatus { term: Term::new(4), ..replica_status(at(1, 9), 7) };
    failover.record_status(&server("a"), status, Time::default());
    assert_eq!(failover.term(), Term::new(5), "it has heard of a promotion");
}

/// Replaces a leaving primary at once and returns its successor.
fn replace_leaving(members: &[Member], commits: u64) -> ServerId {
    let (start, position) = (Time::from_millis(1_000), at(1, commits));
    let members = members.to_vec();
    let names: Vec<ServerId> = members.iter().map(|member| member.server.clone()).collect();
    let mut failover = Failover::new(Cause::Planned, members, Term::new(1), position, start);
    for ms in (1_000..2_000).step_by(50) {
        let now = Time::from_millis(ms);
        for name in &names {
            let fenced = if failover.promotion_target() == Some(name) { 0 } else { 2 };
            failover.record_status(name, replica_status(position, fenced), now);
        }
        if let Some(target) = promoted(&failover.next_actions(now)) {
            return target.clone();
        }
    }
    panic!("no server is promoted");
}

/// Each of three servers is replaced by a new one, in turn. Another failover followed
/// whenever the server that was promoted was to leave next.
#[test]
fn a_rolling_replacement_of_all_servers_needs_one_failover() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    // The order in which the servers are listed must not matter.
    for (order, reversed) in orders.into_iter().flat_map(|order| [(order, false), (order, true)]) {
        let name = |slot: usize, round: u64| server(&format!("i-{slot}-{round}"));
        let mut servers: Vec<Member> = (0..3)
            .map(|slot| Member { server: name(slot, 0), preferred: true, cold: false, born: 5 })
            .collect();
        let (mut primary, mut failovers) = (name(0, 0), 0);
        for (round, slot) in (1_u64..).zip(order) {
            let new =
                Member { server: name(slot, 1), preferred: true, cold: false, born: 5 + round };
            servers.push(new);
            for member in servers.iter_mut().filter(|member| member.server == name(slot, 0)) {
                member.preferred = false;
            }
            if primary == name(slot, 0) {
                let others = servers.iter().filter(|member| member.server != primary);
                let mut others: Vec<Member> = others.cloned().collect();
                if reversed {
                    others.reverse();
                }
                primary = replace_leaving(&others, round);
                failovers += 1;
            }
            servers.retain(|member| member.server != name(slot, 0));
        }
        assert_eq!(failovers, 1, "{order:?}, reversed: {reversed}");
    }
}

#[test]
fn a_server_that_lags_or_is_slow_is_no_successor_if_another_one_is_not() {
    let newest = |cold| Member { born: 9, cold, ..member("new", true) };
    let position = at(1, 4);
    for (received, cold, expected) in
        [(position, false, "new"), (position, true, "old"), (at(1, 3), false, "old")]
    {
        let members = [member("old", true), newest(cold)];
        let (start, now) = (Time::default(), ANNOUNCED);
        let mut failover = Failover::new(Cause::Planned, members, Term::new(1), position, start);
        failover.record_list(now);
        failover.record_status(&server("new"), replica_status(received, 0), now);
        failover.record_status(&server("old"), replica_status(position, 0), now);
        failover.next_actions(now);
        failover.record_status(&server("new"), replica_status(position, 2), now);
        failover.record_status(&server("old"), replica_status(position, 2), now);
        let actions = failover.next_actions(now);
        assert_eq!(promoted(&actions).map(ServerId::as_str), Some(expected), "{received} {cold}");
    }
}
