//! The checker reports each breach of a guarantee and nothing else.

use std::time::Duration;

use chicoryhollow_testkit::{
    checker::{Breach, Injection, Report, RunConditions, StoredWrites},
    cluster::Deployment,
    load::{Arrival, Kind, Outcome, Request},
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(kind: Kind, outcome: Outcome, started: u64, ended: u64) -> Request {
    Request {
        kind,
        account: 0,
        vm: 0,
        arrival: Arrival::New,
        retries: 0,
        started: at(started),
        ended: at(ended),
        outcome,
    }
}

fn write(outcome: Outcome) -> Request {
    request(Kind::Write { id: 7 }, outcome, 0, 1)
}

fn read(outcome: Outcome) -> Request {
    request(Kind::Read, outcome, 0, 1)
}

fn refused() -> Outcome {
    Outcome::NotRun("57014".to_owned())
}

fn unknown() -> Outcome {
    Outcome::Unknown("08007".to_owned())
}

fn breaches_of(requests: &[Request], found: u64, conditions: &RunConditions) -> Vec<(Breach, u64)> {
    let stored_writes = StoredWrites::new((found > 0).then_some((7, found)));
    let report = Report::new(&Deployment::pressworks(), requests, &stored_writes, conditions);
    report.breaches.into_iter().filter(|(_, count)| *count > 0).collect()
}

#[test]
fn writes_are_compared_with_the_databases() {
    let cases = [
        (Outcome::Done, 1, None),
        (Outcome::Done, 0, Some(Breach::Lost)),
        (Outcome::Done, 2, Some(Breach::Doubled)),
        (Outcome::Committed, 1, None),
        (Outcome::Committed, 0, Some(Breach::Lost)),
        (refused(), 0, None),
        (refused(), 1, Some(Breach::FalseNotRun)),
        (unknown(), 0, None),
        (unknown(), 1, None),
        (unknown(), 2, Some(Breach::Doubled)),
        (Outcome::Unreachable, 1, Some(Breach::FalseNotRun)),
    ];
    for (outcome, found, breach) in cases {
        let breaches = breaches_of(&[write(outcome.clone())], found, &RunConditions::default());
        let expected: Vec<_> = breach.into_iter().map(|breach| (breach, 1)).collect();
        assert_eq!(breaches, expected, "{outcome:?} found {found} times");
    }
}

#[test]
fn stale_crossed_and_cut_answers_are_breaches() {
    let cases = [
        (Outcome::Done, None),
        (Outcome::Stale, Some(Breach::Stale)),
        (Outcome::Crossed, Some(Breach::Crossed)),
        (Outcome::Cut, Some(Breach::Cut)),
        (refused(), None),
    ];
    for (outcome, breach) in cases {
        let breaches = breaches_of(&[read(outcome.clone())], 0, &RunConditions::default());
        let expected: Vec<_> = breach.into_iter().map(|breach| (breach, 1)).collect();
        assert_eq!(breaches, expected, "{outcome:?}");
    }
}

#[test]
fn requests_cut_on_a_deliberately_broken_vm_are_no_breaches() {
    let conditions = RunConditions { broken_vms: vec![0], ..RunConditions::default() };
    assert_eq!(breaches_of(&[read(Outcome::Cut)], 0, &conditions), []);
}

#[test]
fn a_withdrawn_key_may_be_accepted_for_five_seconds() {
    let conditions =
        RunConditions { withdrawn_key: Some((0, at(1_000))), ..RunConditions::default() };
    for (started, expected) in [(5_900, vec![]), (6_100, vec![(Breach::WithdrawnKey, 1)])] {
        let request = request(Kind::Read, Outcome::Done, started, started + 1);
        assert_eq!(breaches_of(&[request], 0, &conditions), expected, "{started}");
    }
}

#[test]
fn requests_above_rate_and_burst_are_counted() {
    let size = Deployment::pressworks().accounts[0];
    let allowed = (size.rate * 0.25 + size.burst) as u64;
    for (extra, expected) in [(0, vec![]), (5, vec![(Breach::RateExcess, 5)])] {
        let burst: Vec<_> = (0..allowed + extra).map(|_| read(Outcome::Done)).collect();
        assert_eq!(breaches_of(&burst, 0, &RunConditions::default()), expected, "{extra} more");
    }
}

#[test]
fn the_failover_gap_ends_with_the_first_write_sent_after_the_fault() {
    let injection = Some(Injection { at: at(100), groups: vec![0] });
    let conditions = RunConditions { injection, ..RunConditions::default() };
    let write = |started, ended| request(Kind::Write { id: 7 }, Outcome::Done, started, ended);
    let requests = [write(50, 150), write(200, 900), write(400, 800)];
    let stored_writes = StoredWrites::new([(7, 1)]);
    let report = Report::new(&Deployment::pressworks(), &requests, &stored_writes, &conditions);
    assert_eq!(report.failover_gap_ms, Some(700.0));
    let report =
        Report::new(&Deployment::pressworks(), &requests[..1], &stored_writes, &conditions);
    assert_eq!((report.groups_without_write, report.is_clean()), (1, false));
}

#[test]
fn only_refusals_of_accounts_within_their_rate_are_wrongful() {
    let refused = read(Outcome::NotRun("53400".to_owned()));
    for (noisy_accounts, expected) in [(vec![], 1), (vec![0], 0)] {
        let conditions = RunConditions { noisy_accounts, ..RunConditions::default() };
        let deployment = Deployment::pressworks();
        let none = StoredWrites::default();
        let report = Report::new(&deployment, std::slice::from_ref(&refused), &none, &conditions);
        assert_eq!(report.wrongful_refusals, expected);
    }
}
