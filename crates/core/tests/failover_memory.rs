//! What the coordinator keeps in its row outlasts the daemon, and no order is sent without it.

use std::time::Duration;

use chicoryhollow_core::{
    GroupId, Lsn, Position, ServerId, Term, Time, VmId,
    coordinator::{
        CoordinatorLease, CoordinatorRow, FailoverMemory, FailoverRecord, FencingToken,
        OrderAnswer, Roster, is_row_key, row_key,
    },
    failover::{
        Action, Cause, Failover, FenceCleanup, FenceUse, Member, MissingServers, OrderAttempt,
        RegisteredServer, ReplicationStatus,
    },
    suspicion::{Evidence, Suspicion},
    version::{DirectoryVersion, Era},
};

/// Greatest size of a row of the platform's table service.
const ROW_BYTES: usize = 65_536;

/// Longest valid name, and the digits that differ.
fn long(prefix: char, number: usize) -> String {
    format!("{}{number:06}", prefix.to_string().repeat(57))
}

fn group() -> GroupId {
    "orders".parse().expect("a valid name")
}

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn version(number: u64) -> DirectoryVersion {
    DirectoryVersion::new(Era::default(), number)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn roster(names: &[&str]) -> Option<Roster> {
    let servers: Vec<ServerId> = names.iter().copied().map(server).collect();
    Some(servers.iter().collect())
}

/// Servers that have disappeared at `now`.
fn missing<'a>(names: impl IntoIterator<Item = &'a ServerId>, now: Time) -> MissingServers {
    let entry = |(i, server): (usize, &'a ServerId)| RegisteredServer {
        server,
        address: ([127, 0, 0, 1], 5_000 + i as u16).into(),
        leaving: false,
    };
    let before: Vec<RegisteredServer<'_>> = names.into_iter().enumerate().map(entry).collect();
    let mut missing = MissingServers::new();
    missing.update(before, [], Duration::ZERO, now);
    missing
}

/// Writes the row, and returns what a daemon that starts then reads from it.
fn restart(memory: &mut FailoverMemory, servers: &[&str], now: Time) -> FailoverMemory {
    let (record, _) = memory.record(roster(servers), now);
    let mut later = FailoverMemory::new(now);
    later.record_row(&record, version(9), now);
    later
}

/// A memory with a sent order to promote each of the servers, with the tokens 1, 2 and so on.
fn with_orders(servers: &[&str]) -> FailoverMemory {
    let mut memory = FailoverMemory::new(at(0));
    for (i, name) in servers.iter().enumerate() {
        let order = memory.prepare(group(), server(name), Term::new(4), at(1_000));
        let token = FencingToken::from_number(i as u64 + 1);
        assert!(memory.record_sent(order.expect("there is room"), token, at(1_000)));
    }
    memory
}

fn open_server(memory: &FailoverMemory) -> Option<&str> {
    Some(memory.open_order(&group())?.server.as_str())
}

/// A success in the term of a server that an older order promotes was told on contact alone, and
/// then replaced by the newer order.
#[test]
fn the_term_that_an_older_order_brings_about_is_announced_with_the_newer_one() {
    let replaced = |servers: &[&str]| with_orders(servers).announcement(&group());
    let replaced = |servers| replaced(servers).expect("an order is open").replaced;
    assert_eq!(replaced(&["a"]), Term::new(4));
    assert_eq!(replaced(&["a", "a"]), Term::new(4), "the later one changes nothing");
    assert_eq!(replaced(&["a", "b"]), Term::new(5));
    let memory = with_orders(&["a", "b"]);
    assert_eq!(memory.pending_term(&group(), None), Some(Term::new(5)));
    assert_eq!(memory.pending_term(&group(), Some(&server("b"))), Some(Term::new(5)));
    let memory = with_orders(&["b"]);
    assert_eq!(memory.pending_term(&group(), Some(&server("b"))), None);
    let mut unsent = FailoverMemory::new(at(0));
    unsent.prepare(group(), server("a"), Term::new(4), at(0)).expect("there is room");
    assert_eq!(unsent.pending_term(&group(), None), None, "it was not sent");
}

/// An order went out although the row was not written, and nobody knew of it after a restart.
#[test]
fn an_order_is_not_safe_until_the_row_was_written() {
    let mut memory = FailoverMemory::new(at(0));
    // A renewal is under way when the order is prepared, and does not carry it.
    let (renewal, carried) = memory.record(roster(&["a"]), at(900));
    let order = memory.prepare(group(), server("a"), Term::new(4), at(1_000)).unwrap();
    assert!(renewal.orders.is_empty());
    memory.record_written(carried);
    assert!(!memory.is_written(order) && memory.needs_write());
    memory.record_unsent(order);
    assert_eq!(memory.open_order(&group()), None);
    assert!(memory.record(roster(&["a"]), at(1_100)).0.orders.is_empty());
}

/// A renewal that followed the write for an order removed the order from the row.
#[test]
fn each_write_of_the_row_carries_the_open_orders() {
    let mut memory = with_orders(&["a"]);
    for now in [at(2_000), at(3_000)] {
        let (record, _) = memory.record(roster(&["a"]), now);
        assert_eq!(record.orders.len(), 1);
        assert_eq!(record.orders[0].age_ms, now.since(at(1_000)).as_millis() as u64);
    }
}

/// A directory that has just failed was called again for every order.
#[test]
fn the_row_is_not_written_right_after_a_failure() {
    let vm: VmId = "vm-0".parse().unwrap();
    let mut lease = CoordinatorLease::new(vm.clone(), 7, at(0));
    assert_eq!(lease.begin_write(at(0)), None, "only the holder writes");
    lease.record_write(version(5), at(0), at(0));
    assert_eq!(lease.begin_write(at(100)), Some(version(5)));
    lease.record_failure(at(200));
    assert_eq!(lease.begin_write(at(300)), None);
    assert_eq!(lease.begin_write(at(600)), Some(version(5)));
    let row =
        |incarnation| CoordinatorRow { holder: Some(vm.clone()), incarnation, version: version(6) };
    assert!(lease.is_own(&row(7)) && !lease.is_own(&row(8)));
}

/// A failover of the group whose replicas `a` and `b` have answered and are fenced.
fn fenced_failover(open_order: Option<&str>) -> Failover {
    let member = |name| Member { server: server(name), preferred: true, cold: false, born: 0 };
    let received = Position::new(Term::new(4), Lsn::new(70));
    let members = [member("a"), member("b")];
    let mut failover = Failover::new(Cause::Failure, members, Term::new(4), received, at(0))
        .with_open_order(open_order.map(server));
    for (now, fenced_term) in [(at(100), 0), (at(500), 5)] {
        for name in ["a", "b"] {
            let status = ReplicationStatus {
                primary: false,
                term: Term::new(4),
                received,
                fenced_term: Term::new(fenced_term),
            };
            failover.record_status(&server(name), status, now);
        }
        failover.next_actions(now);
        failover.record_list(now);
    }
    failover
}

/// Returns how many of the fences are lifted after a failover.
fn lifted(ordered: bool) -> usize {
    let servers: Vec<ServerId> = ["a", "b"].map(server).to_vec();
    let needed = FenceUse { ordered, ..FenceUse::default() };
    let mut cleanup = FenceCleanup::new();
    cleanup.start(at(20_000));
    cleanup.next_actions(&servers, needed, at(20_000));
    let status = ReplicationStatus { fenced_term: Term::new(5), ..ReplicationStatus::default() };
    servers.iter().for_each(|server| cleanup.record_status(server, status));
    cleanup.next_actions(&servers, needed, at(20_000)).len()
}

fn attempt(actions: &[Action]) -> &OrderAttempt {
    let mut attempts = actions.iter().filter_map(|action| match action {
        Action::Promote(attempt) => Some(attempt),
        _ => None,
    });
    attempts.next().expect("an attempt")
}

fn orders(actions: &[Action]) -> Vec<&str> {
    let promotions = actions.iter().filter_map(|action| match action {
        Action::Promote(attempt) => Some(attempt.server().as_str()),
        _ => None,
    });
    promotions.collect()
}

/// A failover whose order could not be written kept the group fenced as if it had been sent.
#[test]
fn a_failover_that_cannot_write_its_order_waits_and_lifts_the_fences() {
    let mut failover = fenced_failover(None);
    let actions = failover.next_actions(at(510));
    assert_eq!(orders(&actions).len(), 1);
    failover.record_promotion_unsent(attempt(&actions), at(520));
    assert!(!failover.has_open_order());
    assert_eq!(orders(&failover.next_actions(at(600))).len(), 0, "not at once");
    assert_eq!(lifted(failover.has_open_order()), 2);
    let actions = failover.next_actions(at(800));
    assert!(failover.claim(attempt(&actions), at(800)));
    assert!(failover.has_open_order());
}

/// A new coordinator lifted the fences while an order of the last one was open.
#[test]
fn fences_stay_while_an_earlier_order_is_open() {
    let failover = fenced_failover(Some("a"));
    assert!(failover.has_open_order());
    assert_eq!(lifted(failover.has_open_order()), 0);
}

/// A primary that worked kept its group, although an order to replace it was open.
#[test]
fn a_primary_is_replaced_while_an_order_is_open() {
    let open = |ms| Some(Duration::from_millis(ms));
    let evidence = |open_order| Evidence { open_order, ..Evidence::default() };
    assert_eq!(evidence(None).suspicion(), None);
    assert_eq!(evidence(open(1_999)).suspicion(), None, "its outcome may show");
    let leaving = Evidence { leaving: true, has_successor: true, ..evidence(open(2_000)) };
    for evidence in [evidence(open(2_000)), leaving] {
        assert_eq!(evidence.suspicion(), Some(Suspicion::OpenOrder));
    }
    assert_eq!(Suspicion::OpenOrder.cause(), Cause::Failure);
}

/// An earlier order that is carried out too changes nothing if its server was chosen again.
#[test]
fn the_server_of_an_open_order_is_chosen_among_equals() {
    for name in ["a", "b"] {
        let mut failover = fenced_failover(Some(name));
        assert_eq!(orders(&failover.next_actions(at(510))), [name]);
    }
}

/// The holder died after it had written an order and before it knew the order's token.
#[test]
fn an_order_that_may_not_have_been_sent_counts_as_open() {
    let mut memory = FailoverMemory::new(at(0));
    memory.prepare(group(), server("a"), Term::new(4), at(1_000)).unwrap();
    let mut later = restart(&mut memory, &["a"], at(1_200));
    let open = later.open_order(&group()).expect("the order is open");
    assert_eq!(open.token, Some(FencingToken::new(version(9))));
    assert!(open.token < Some(FencingToken::new(version(10))), "the next order replaces it");
    // The directory may go away before this VM has the role.
    let failover = later.announcement(&group()).expect("a failover counts as running");
    assert!(failover.may_replace(Term::new(4), at(1_200)));
    assert!(!failover.may_replace(Term::new(5), at(1_200)), "its successor may lead");
    assert_eq!(later.take_unannounced(&group()), Some(Term::new(4)));
    assert_eq!(later.take_unannounced(&group()), None, "it is announced once");
    // The holder after this one has to announce it too.
    let mut last = restart(&mut later, &["a"], at(1_500));
    assert_eq!(last.take_unannounced(&group()), Some(Term::new(4)));
}

/// An order was counted from before its row was written. If that took long, successes were told
/// while it could still be carried out.
#[test]
fn an_order_counts_as_open_from_when_it_is_sent_however_long_its_row_takes() {
    let mut memory = with_orders(&[]);
    let order = memory.prepare(group(), server("a"), Term::new(4), at(0)).expect("there is room");
    assert!(memory.record_sent(order, FencingToken::from_number(1), at(3_000)));
    let announcement = memory.announcement(&group()).expect("an open order");
    // It is carried out up to 13 s after it was sent, and takes effect within a second.
    assert!(announcement.may_replace(Term::new(4), at(16_999)));
    assert!(!announcement.may_replace(Term::new(4), at(17_000)));
}

/// VMs that read the row took the announced terms back, and told successes that the order rolled back.
#[test]
fn an_order_in_the_row_covers_all_that_its_failover_was_announced_to_replace() {
    let mut memory = with_orders(&[]);
    let order = memory.prepare(group(), server("a"), Term::new(4), at(0)).expect("there is room");
    memory.record_announced(order, Term::new(5));
    assert!(memory.record_sent(order, FencingToken::from_number(1), at(0)));
    let later = restart(&mut memory, &["a"], at(1_000));
    for memory in [&memory, &later] {
        let announcement = memory.announcement(&group()).expect("an open order");
        assert_eq!(announcement.replaced, Term::new(5));
        assert_eq!(memory.pending_term(&group(), None), Some(Term::new(6)));
    }
    memory.record_leader(&group(), &server("a"), Term::new(5));
    assert_eq!(memory.counts().0, 0, "it may lead the term after that of the primary");
}

/// A coordinator that had lost its role left its failover announced for 13 s, and callers were told of
/// no success although the primary worked.
#[test]
fn a_later_holder_knows_that_no_order_is_open_unless_the_directory_was_restored() {
    let mut memory = with_orders(&[]);
    assert!(memory.has_no_order(&group(), at(1_000)));
    assert!(!with_orders(&["a"]).has_no_order(&group(), at(1_000)));
    memory.record_absence(Era::new(1), None, at(1_000));
    assert!(!memory.has_no_order(&group(), at(30_999)), "the row may have lost one");
    assert!(memory.has_no_order(&group(), at(31_000)));
    let record = FailoverRecord::default();
    let mut later = FailoverMemory::new(at(2_000));
    later.record_row(&record, DirectoryVersion::new(Era::new(1), 7), at(2_000));
    assert!(
        !later.has_no_order(&group(), at(3_000)),
        "nor does a daemon know that has just started"
    );
}

/// An order that is carried out late made an old primary of the group's present one.
#[test]
fn an_order_is_open_until_a_newer_one_is_accepted_or_its_outcome_is_known() {
    let token = FencingToken::from_number;
    let mut memory = with_orders(&["a", "b"]);
    assert_eq!(open_server(&memory), Some("b"));
    memory.record_answer(&group(), token(2), OrderAnswer::Refused);
    assert_eq!(open_server(&memory), Some("a"), "a refused order says nothing about another one");

    let mut memory = with_orders(&["a", "b"]);
    memory.record_answer(&group(), token(2), OrderAnswer::Accepted);
    assert_eq!(memory.counts().0, 1, "the older order will be refused");
    memory.record_leader(&group(), &server("b"), Term::new(4));
    assert_eq!(memory.counts().0, 1, "it led before");
    memory.record_leader(&group(), &server("b"), Term::new(5));
    assert_eq!(memory.counts().0, 0);

    let mut memory = with_orders(&["a", "b"]);
    memory.record_leader(&group(), &server("a"), Term::new(5));
    assert_eq!(open_server(&memory), Some("b"), "the newer order may be carried out yet");
    let mut memory = with_orders(&["a", "b"]);
    memory.record_leader(&group(), &server("b"), Term::new(5));
    assert_eq!(memory.counts().0, 0, "the older order is refused from now on");
}

/// The second of two orders for a server was forgotten once that server led by the first one, and
/// promoted it again after it had been replaced.
#[test]
fn a_second_order_for_the_server_that_leads_is_kept_and_changes_nothing_meanwhile() {
    let mut memory = with_orders(&["a", "a"]);
    memory.record_leader(&group(), &server("a"), Term::new(5));
    for _ in 0..2 {
        assert_eq!(open_server(&memory), None, "no failover is due to it, and no fence is kept");
        assert_eq!(memory.announcement(&group()), None);
        assert_eq!(memory.take_unannounced(&group()), None);
        let effect = memory.pending_term(&group(), None);
        assert_eq!(effect, Some(Term::new(6)), "a failover of the leader announces this");
        assert_eq!(memory.pending_term(&group(), Some(&server("a"))), None);
        memory.record_leader(&group(), &server("a"), Term::new(5));
        memory = restart(&mut memory, &["a"], at(1_000));
    }
    memory.record_leader(&group(), &server("a"), Term::new(6));
    assert_eq!(memory.counts().0, 0, "it was carried out");
    let mut memory = with_orders(&["a", "a"]);
    memory.record_leader(&group(), &server("a"), Term::new(5));
    memory.record(roster(&["a"]), at(31_000));
    assert_eq!(memory.counts().0, 0, "it is too old to be carried out");
}

#[test]
fn an_order_expires_long_after_it_can_be_carried_out() {
    let mut memory = with_orders(&["a"]);
    let mut later = restart(&mut memory, &["a"], at(15_000));
    assert_eq!(open_server(&later), Some("a"));
    later.record(roster(&["a"]), at(31_000));
    assert_eq!(open_server(&later), None);
}

/// A daemon that had restarted no longer knew which servers were missing.
#[test]
fn missing_servers_outlast_the_daemon() {
    let (gone, there) = (server("a"), server("b"));
    let mut memory = FailoverMemory::new(at(0));
    memory.update_missing(&group(), &missing([&gone], at(20_000)));
    assert!(memory.needs_write(), "it is written at once");
    let mut later = restart(&mut memory, &["b"], at(23_000));
    assert!(!later.needs_write());
    let present = || {
        let address = ([127, 0, 0, 1], 6_000).into();
        [RegisteredServer { server: &there, address, leaving: false }]
    };
    let mut known = MissingServers::new();
    // Nothing is forgotten if the row is written before the group is known.
    let (record, _) = later.record(roster(&["b"]), at(23_100));
    assert_eq!(record.missing[0].age_ms, 3_100);
    assert!(!later.awaits_unlisted(at(23_100)), "all others are there");
    known.recall(later.take_missing(&group()), present());
    assert!(known.is_any_expected(None, at(29_900)));
    assert!(!known.is_any_expected(None, at(30_000)));
    // One that is back, or whose address another server has, is not missing.
    let mut known = MissingServers::new();
    let taken = RegisteredServer {
        server: &there,
        address: ([127, 0, 0, 1], 5_000).into(),
        leaving: false,
    };
    known.recall(missing([&gone], at(20_000)).iter(), [taken]);
    assert!(known.is_empty());
}

/// A server disappeared while no daemon ran, so that it was in no list of missing servers.
#[test]
fn a_daemon_that_starts_waits_if_servers_have_disappeared_before() {
    let mut memory = FailoverMemory::new(at(0));
    let (record, _) = memory.record(roster(&["a", "b"]), at(5_000));
    for (servers, waits) in [(["b", "a"], false), (["a", "c"], true)] {
        let mut later = FailoverMemory::new(at(9_000));
        later.record_row(&record, version(9), at(9_100));
        assert!(later.awaits_unlisted(at(9_100)), "the servers are not known yet");
        let (next, _) = later.record(None, at(9_100));
        assert_eq!(next.roster, record.roster, "the next daemon may have to compare them");
        later.record(roster(&servers), at(9_200));
        assert_eq!(later.awaits_unlisted(at(9_200)), waits, "{servers:?}");
        assert!(!later.awaits_unlisted(at(19_000)), "it counts as lost");
    }
    // A daemon that has run for long has seen itself which servers disappeared.
    let mut other = FailoverMemory::new(at(0));
    other.record_row(&record, version(9), at(30_000));
    assert!(!other.awaits_unlisted(at(30_000)));
}

/// The directory came back from a copy, and the coordinator's row with it.
#[test]
fn a_restored_directory_forgets_no_order_that_this_vm_knows() {
    let era = Era::new(1);
    let mut memory = with_orders(&["a"]);
    memory.record_absence(era, None, at(2_000));
    assert_eq!(open_server(&memory), Some("a"));
    // A VM that starts has the row of the copy only.
    let (record, _) = memory.record(roster(&["a"]), at(2_000));
    let mut later = FailoverMemory::new(at(3_000));
    let version = DirectoryVersion::new(era, 5);
    later.record_absence(era, Some((&record, version)), at(3_100));
    later.record_absence(era, Some((&record, version)), at(3_200));
    assert_eq!(later.counts(), (1, 0));
    assert!(later.awaits_unlisted(at(12_900)) && !later.awaits_unlisted(at(13_000)));
    // A first start waits for nobody.
    let mut first = FailoverMemory::new(at(0));
    first.record_absence(Era::default(), None, at(100));
    assert!(!first.awaits_unlisted(at(100)));
    assert!(is_row_key(&row_key(Era::default())) && is_row_key(&row_key(era)));
    assert!(!is_row_key("succession-x") && !is_row_key("usage"));
}

/// A row over the limit of the table service cannot be written, and stops all failovers.
#[test]
fn the_row_stays_small_whatever_fails() {
    let servers: Vec<ServerId> = (0..2_000).map(|i| server(&long('s', i))).collect();
    let mut memory = FailoverMemory::new(at(0));
    let far: GroupId = long('g', 0).parse().unwrap();
    memory.update_missing(&far, &missing(&servers, at(50_000)));
    let prepared = servers.iter().map(|server| {
        let replaced = Term::new(u64::MAX);
        memory.prepare(far.clone(), server.clone(), replaced, at(50_000)).is_ok()
    });
    let count = prepared.filter(|is_ok| *is_ok).count();
    assert!((100..2_000).contains(&count), "{count} orders");
    let (record, _) = memory.record(roster(&["a"]), at(51_000));
    let bytes = serde_json::to_vec(&record).unwrap().len();
    assert!(bytes < ROW_BYTES - 2_000, "{bytes} bytes");
    assert_eq!(record.unlisted_ms, Some(1_000), "the others are not forgotten");
    let mut later = FailoverMemory::new(at(51_000));
    later.record_row(&record, version(9), at(51_000));
    later.record(roster(&["a"]), at(51_100));
    assert!(later.awaits_unlisted(at(59_900)) && !later.awaits_unlisted(at(60_000)));
}

/// A row of an earlier version has none of the fields.
#[test]
fn a_row_of_an_earlier_version_parses() {
    let record: FailoverRecord = serde_json::from_str("{}").unwrap();
    assert_eq!(record, FailoverRecord::default());
    let mut memory = FailoverMemory::new(at(7_000));
    memory.record_row(&record, version(9), at(7_100));
    assert_eq!(memory.counts(), (0, 0));
    let (record, _) = memory.record(roster(&["a"]), at(7_200));
    assert!(memory.awaits_unlisted(at(7_200)), "its servers are not known");
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<FailoverRecord>(&text).unwrap(), record);
}
