//! An order is sent only while its failover runs and wants it.

use chicoryhollow_core::{
    Lsn, Position, ServerId, Term, Time,
    failover::{Action, Cause, Failover, Member, OrderAttempt, Progress, ReplicationStatus},
};

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn member(name: &str) -> Member {
    Member { server: server(name), preferred: true, cold: false, born: 0 }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn position(lsn: u64) -> Position {
    Position::new(Term::new(1), Lsn::new(lsn))
}

fn fenced(lsn: u64) -> ReplicationStatus {
    ReplicationStatus {
        primary: false,
        term: Term::new(1),
        received: position(lsn),
        fenced_term: Term::new(2),
    }
}

fn attempt(actions: Vec<Action>) -> Option<OrderAttempt> {
    actions.into_iter().find_map(|action| match action {
        Action::Promote(attempt) => Some(attempt),
        _ => None,
    })
}

/// A failover with the fenced replicas `a` and `b`, and its attempt to promote `a`, which waits for
/// the coordinator's row.
fn waiting() -> (Failover, OrderAttempt) {
    let members = ["a", "b"].map(member);
    let mut failover =
        Failover::new(Cause::Failure, members, Term::new(1), position(8), Time::default());
    answer(&mut failover, 200);
    failover.record_list(at(200));
    let attempt = attempt(failover.next_actions(at(200))).expect("an order");
    assert_eq!(*attempt.server(), server("a"));
    (failover, attempt)
}

/// Records that both replicas answer as before.
fn answer(failover: &mut Failover, ms: u64) {
    failover.record_status(&server("a"), fenced(9), at(ms));
    failover.record_status(&server("b"), fenced(8), at(ms));
}

/// Lets the failover run until `until`, in milliseconds, while its order waits.
fn wait(failover: &mut Failover, until: u64) {
    for ms in (250..=until).step_by(50) {
        assert_eq!(attempt(failover.next_actions(at(ms))), None, "{ms} ms: one order at a time");
        answer(failover, ms);
    }
}

/// A leaving primary acknowledges writes while its successor's order waits for the row.
#[test]
fn a_planned_order_is_sent_although_the_primary_goes_on_acknowledging() {
    let members = ["a", "b"].map(member);
    let (term, now) = (Term::new(1), Time::default());
    let mut failover = Failover::new(Cause::Planned, members, term, position(8), now)
        .with_primary(server("p"), now);
    let open = |lsn| ReplicationStatus { fenced_term: Term::default(), ..fenced(lsn) };
    failover.record_status(&server("a"), fenced(8), now);
    failover.record_status(&server("b"), open(9), now);
    failover.next_actions(now);
    failover.record_status(&server("a"), fenced(8), at(250));
    failover.record_status(&server("b"), open(9), at(250));
    failover.record_list(at(250));
    let attempt = attempt(failover.next_actions(at(250))).expect("an order");
    assert_eq!(*attempt.server(), server("b"));
    failover.record_acknowledged(position(10));
    assert!(failover.claim(&attempt, at(300)), "only its server can have confirmed the commit");
}

/// Another server may lead by then, and what it has acknowledged would be lost.
#[test]
fn an_order_whose_failover_has_ended_is_not_sent() {
    let (mut failover, attempt) = waiting();
    wait(&mut failover, 600);
    assert!(failover.clone().claim(&attempt, at(600)), "until then it is wanted");
    failover.end();
    assert!(!failover.claim(&attempt, at(600)));
    assert!(!failover.has_open_order());
    assert_eq!(failover.next_actions(at(900)), [], "nothing else is sent either");
}

#[test]
fn an_order_that_waits_long_is_sent_once_and_not_beside_another_one() {
    let (mut failover, attempt) = waiting();
    wait(&mut failover, 4_000);
    assert_eq!(failover.progress(at(4_000)), Progress::Running);
    assert!(failover.claim(&attempt, at(4_000)));
    assert!(!failover.claim(&attempt, at(4_000)), "it was sent");
}

/// The server that was ordered first may have led meanwhile, and what it acknowledged was told.
#[test]
fn a_failover_that_chooses_again_after_an_order_is_announced_before_the_next_one() {
    let (mut failover, attempt_a) = waiting();
    assert!(!failover.needs_announcement());
    assert!(failover.claim(&attempt_a, at(250)));
    failover.record_promotion_refusal(&attempt_a);
    assert!(failover.needs_announcement());
    let ordered = |failover: &mut Failover, ms| {
        answer(failover, ms);
        failover.record_list(at(ms));
        attempt(failover.next_actions(at(ms)))
    };
    for ms in (300..1_000).step_by(50) {
        assert_eq!(ordered(&mut failover, ms), None, "{ms} ms: nobody was told");
    }
    failover.record_announcement(at(1_000));
    assert_eq!(ordered(&mut failover, 1_150), None, "not all VMs know");
    assert!(ordered(&mut failover, 1_200).is_some());
}

/// The old primary may be the target; an answer of it from before its order ended the failover.
#[test]
fn an_answer_of_a_lower_term_does_not_complete_a_failover() {
    let (mut failover, attempt) = waiting();
    assert!(failover.claim(&attempt, at(250)));
    let led = |term| ReplicationStatus { primary: true, term: Term::new(term), ..fenced(9) };
    failover.record_status(&server("a"), led(1), at(300));
    assert_eq!(failover.progress(at(300)), Progress::Running);
    failover.record_status(&server("a"), led(2), at(350));
    assert_eq!(failover.progress(at(350)), Progress::Done(server("a"), Term::new(2)));
}

/// Fences of another VM, at the same term or a higher one, count like own ones; they are no reason
/// to order a server before all are fenced, or one that lacks a commit.
#[test]
fn fences_of_another_vm_let_only_the_longest_log_lead() {
    for term in [2, 3, 9] {
        let members = ["a", "b"].map(member);
        let mut failover =
            Failover::new(Cause::Failure, members, Term::new(1), position(8), Time::default());
        let by_other = |lsn| ReplicationStatus { fenced_term: Term::new(term), ..fenced(lsn) };
        let open = ReplicationStatus { fenced_term: Term::default(), ..fenced(9) };
        failover.record_status(&server("a"), open, at(200));
        failover.record_status(&server("b"), by_other(8), at(200));
        failover.record_list(at(200));
        let actions = failover.next_actions(at(200));
        assert!(actions.contains(&Action::Fence(server("a"), Term::new(2))), "{actions:?}");
        assert_eq!(attempt(actions), None, "one is not fenced yet");
        failover.record_status(&server("a"), by_other(9), at(250));
        failover.next_actions(at(250));
        failover.record_list(at(300));
        let ordered = attempt(failover.next_actions(at(300))).expect("an order");
        assert_eq!(*ordered.server(), server("a"), "fenced at {term}");
    }
}

/// The group has no primary until another one is chosen.
#[test]
fn another_server_is_chosen_if_the_ordered_one_disappears() {
    let (mut failover, attempt) = waiting();
    assert!(failover.claim(&attempt, at(250)));
    failover.retain(|name| *name != server("a"));
    // It had led the term of the failover, which the other one follows.
    let follower = ReplicationStatus { term: Term::new(2), ..fenced(8) };
    failover.record_status(
        &server("b"),
        ReplicationStatus { fenced_term: Term::default(), ..follower },
        at(300),
    );
    failover.next_actions(at(300));
    failover.record_status(&server("b"), follower, at(350));
    let actions = failover.next_actions(at(350));
    assert_eq!(failover.term(), Term::new(3), "a fence at term 2 would be refused: {actions:?}");
}

#[test]
fn an_order_for_a_server_that_would_not_be_chosen_any_more_is_not_sent() {
    let changes: [fn(&mut Failover); 5] = [
        // It has started again without its log.
        |failover| failover.record_status(&server("a"), fenced(0), at(600)),
        // The other one has lost its fence, and may receive more.
        |failover| {
            let status = ReplicationStatus { fenced_term: Term::default(), ..fenced(8) };
            failover.record_status(&server("b"), status, at(600));
        },
        // A third one has registered.
        |failover| failover.join([member("n")]),
        // A server leads by another order, and was too busy to say so.
        |failover| failover.record_led(Term::new(2)),
        // Not all VMs know of the term that is replaced.
        |failover| failover.record_announcement(at(600)),
    ];
    for (i, change) in changes.into_iter().enumerate() {
        let (mut failover, attempt) = waiting();
        wait(&mut failover, 600);
        change(&mut failover);
        assert!(!failover.claim(&attempt, at(600)), "change {i}");
    }
    let (mut failover, attempt) = waiting();
    wait(&mut failover, 600);
    assert!(!failover.claim(&attempt, at(1_500)), "it has not answered since");
}

/// A server that an earlier order had just promoted was too busy to answer the failover, which then
/// had another one promoted over it.
#[test]
fn a_failover_ends_once_another_server_is_known_to_lead() {
    let (mut failover, attempt) = waiting();
    failover.record_led(Term::new(1));
    assert_eq!(failover.progress(at(250)), Progress::Running, "that is the term it replaces");
    let mut sent = failover.clone();
    assert!(sent.claim(&attempt, at(250)));
    sent.record_led(Term::new(2));
    assert_eq!(sent.progress(at(300)), Progress::Running, "its own order may be carried out");
    failover.record_led(Term::new(2));
    assert!(matches!(failover.progress(at(300)), Progress::Abandoned(_)));
}

/// The answer to an order may arrive after its failover has ordered another server.
#[test]
fn the_refusal_of_an_earlier_attempt_does_not_touch_the_present_one() {
    let (mut failover, first) = waiting();
    failover.record_promotion_unsent(&first, at(250));
    wait(&mut failover, 450);
    answer(&mut failover, 500);
    let second = attempt(failover.next_actions(at(500))).expect("another attempt");
    assert_ne!(first, second);
    failover.record_promotion_refusal(&first);
    failover.record_promotion_unsent(&first, at(510));
    assert!(!failover.claim(&first, at(510)));
    assert!(failover.claim(&second, at(510)));
}

/// A server that registers between the list and the last fence may have received a commit.
#[test]
fn the_servers_are_listed_after_the_last_one_is_known_to_be_fenced() {
    let members = ["a", "b"].map(member);
    let mut failover =
        Failover::new(Cause::Failure, members, Term::new(1), position(8), Time::default());
    failover.record_status(&server("a"), fenced(9), at(200));
    let open = ReplicationStatus { fenced_term: Term::default(), ..fenced(8) };
    failover.record_status(&server("b"), open, at(200));
    failover.next_actions(at(200));
    failover.record_list(at(200));
    failover.record_status(&server("b"), fenced(8), at(320));
    let actions = failover.next_actions(at(320));
    assert!(actions.contains(&Action::ListServers), "{actions:?}");
    assert_eq!(attempt(actions), None);
    failover.join([member("n")]);
    failover.record_list(at(320));
    failover.record_status(&server("n"), fenced(10), at(340));
    assert_eq!(attempt(failover.next_actions(at(340))), None, "it was fenced after the list");
    failover.record_list(at(340));
    let attempt = attempt(failover.next_actions(at(350))).expect("an order");
    assert_eq!(*attempt.server(), server("n"));
}
