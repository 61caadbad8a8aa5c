//! Fairness and limits of the statement queue under seeded random loads.

use std::{collections::BinaryHeap, time::Duration};

use chicoryhollow_core::{
    AccountId, Refusal, Time,
    queue::{FairQueue, Grant, Limits, MAX_RESUME_WAIT, Popped, StatementKind},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LIMITS: Limits =
    Limits { slots: 3, account_connections: 15, account_waiting: 64, total_waiting: 256 };
const SERVICE_US: u64 = 1_000;
const DEADLINE: Duration = Duration::from_millis(250);

fn account(number: usize) -> AccountId {
    AccountId::new(format!("account-{number}")).expect("a valid name")
}

/// Results of one account in a simulated run.
#[derive(Clone, Debug, Default)]
struct AccountResult {
    sent: usize,
    run: usize,
    waits: Vec<u64>,
}

impl AccountResult {
    fn p99(&self) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0)
    }
}

/// Simulates ten seconds of Poisson arrivals at `rates` requests per second.
///
/// There is one rate for each account. Returns the results of each account.
fn run(rates: &[f64], seed: u64) -> Vec<AccountResult> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals: Vec<(u64, usize)> = Vec::new();
    for (number, rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        while at < 10_000_000.0 {
            at -= rng.random_range(f64::EPSILON..1.0).ln() / rate * 1e6;
            arrivals.push((at as u64, number));
        }
    }
    arrivals.sort_unstable();
    let mut queue = FairQueue::new(LIMITS);
    let mut results = vec![AccountResult::default(); rates.len()];
    let mut pending = std::collections::HashMap::new();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut grants: std::collections::HashMap<u64, Grant> = Default::default();
    let mut next = 0;
    let mut arrivals = arrivals.into_iter().peekable();
    loop {
        let end = ends.peek().map(|e| e.0.0);
        let now = match (arrivals.peek(), end) {
            (Some((at, _)), Some(end)) => (*at).min(end),
            (Some((at, _)), None) => *at,
            (None, Some(end)) => end,
            (None, None) => return results,
        };
        let time = Time::from_micros(now);
        if end == Some(now) {
            let id = ends.pop().expect("an end time was peeked").0.1;
            let grant = grants.remove(&id).expect("each end has a grant");
            queue.finish(&grant, time);
            queue.release_connection(grant.account());
        } else if let Some((_, number)) = arrivals.next() {
            results[number].sent += 1;
            let name = account(number);
            if let Ok(ticket) = queue.push(&name, 1, StatementKind::Begin, time, time + DEADLINE) {
                pending.insert(ticket, (number, now));
            }
        }
        while let Some(popped) = queue.pop(true, time) {
            let Popped::Run(ticket, grant) = popped else { continue };
            let (number, since) = pending.remove(&ticket).expect("each grant was asked for");
            results[number].run += 1;
            results[number].waits.push(now - since + SERVICE_US);
            let service = rng.random_range(SERVICE_US / 2..SERVICE_US * 3 / 2);
            ends.push(std::cmp::Reverse((now + service, next)));
            grants.insert(next, grant);
            next += 1;
        }
        assert!(queue.running() <= LIMITS.slots && queue.waiting() <= LIMITS.total_waiting);
    }
}

#[test]
fn an_account_at_five_times_its_rate_does_not_slow_the_others() {
    // Eight accounts together use 60% of three slots. Then one of them sends at
    // five times its rate, which is more than the server can process.
    for seed in 0..10 {
        let quiet = run(&[225.0; 8], seed);
        let mut rates = [225.0; 8];
        rates[0] = 5.0 * 700.0;
        let noisy = run(&rates, seed);
        for (before, after) in quiet.iter().zip(&noisy).skip(1) {
            let kept = after.run as f64 / after.sent as f64;
            assert!(kept >= 0.99, "seed {seed}: kept {kept}");
            let (before, after) = (before.p99(), after.p99());
            assert!(after <= 2 * before, "seed {seed}: p99 {before} us grew to {after} us");
        }
        assert!(noisy[0].run >= 7_000, "seed {seed}: the noisy account ran {}", noisy[0].run);
    }
}

#[test]
fn slots_of_a_busy_server_are_divided_by_weight() {
    let mut queue = FairQueue::new(Limits { slots: 1, ..LIMITS });
    let mut counts = [0u64; 2];
    let mut time = Time::from_millis(0);
    let late = Time::from_millis(1_000_000);
    for _ in 0..3_000 {
        for (number, weight) in [(0, 1), (1, 3)] {
            while queue.push(&account(number), weight, StatementKind::Begin, time, late).is_ok() {}
        }
        let Some(Popped::Run(ticket, grant)) = queue.pop(true, time) else { panic!("work waits") };
        counts[usize::from(*ticket.account() == account(1))] += 1;
        time = time + Duration::from_millis(1);
        queue.finish(&grant, time);
        queue.release_connection(grant.account());
    }
    let ratio = counts[1] as f64 / counts[0] as f64;
    assert!((2.9..3.1).contains(&ratio), "weight 3 against 1 gave {ratio}");
}

#[test]
fn slot_time_is_divided_equally_when_one_account_runs_long_statements() {
    let mut queue = FairQueue::new(Limits { slots: 1, ..LIMITS });
    let mut used = [0u64; 2];
    let mut time = Time::from_millis(0);
    let late = Time::from_millis(10_000_000);
    for _ in 0..4_000 {
        for number in 0..2 {
            while queue.push(&account(number), 1, StatementKind::Begin, time, late).is_ok() {}
        }
        let Some(Popped::Run(ticket, grant)) = queue.pop(true, time) else { panic!("work waits") };
        let long = *ticket.account() == account(0);
        let millis = if long { 20 } else { 1 };
        used[usize::from(!long)] += millis;
        time = time + Duration::from_millis(millis);
        queue.finish(&grant, time);
        queue.release_connection(grant.account());
    }
    let ratio = used[0] as f64 / used[1] as f64;
    assert!((0.9..1.1).contains(&ratio), "slot time was split {ratio}");
}

#[test]
fn statements_are_refused_when_the_queue_is_full_or_the_deadline_too_close() {
    let mut queue = FairQueue::new(Limits {
        slots: 1,
        account_connections: 1,
        account_waiting: 3,
        total_waiting: 5,
    });
    let now = Time::from_millis(0);
    let late = Time::from_millis(10_000);
    for _ in 0..3 {
        queue.push(&account(0), 1, StatementKind::Begin, now, late).expect("there is room");
    }
    let full = queue.push(&account(0), 1, StatementKind::Begin, now, late);
    assert_eq!(full, Err(Refusal::QueueFull));
    let near = queue.push(&account(0), 1, StatementKind::Resume, now, Time::from_millis(1));
    assert_eq!(near, Err(Refusal::DeadlineTooClose));
    let other = queue.push(&account(1), 1, StatementKind::Begin, now, Time::from_millis(1));
    assert!(other.is_ok(), "an account without a queue is next");
}

#[test]
fn a_statement_of_an_open_transaction_needs_no_free_connection() {
    let mut queue = FairQueue::new(LIMITS);
    let now = Time::from_millis(0);
    let late = Time::from_millis(1_000);
    queue.push(&account(0), 1, StatementKind::Begin, now, late).expect("there is room");
    assert_eq!(queue.pop(false, now), None);
    let ticket =
        queue.push(&account(1), 1, StatementKind::Resume, now, late).expect("there is room");
    assert!(matches!(queue.pop(false, now), Some(Popped::Run(found, _)) if found == ticket));
}

#[test]
fn one_account_cannot_hold_every_connection() {
    let mut queue = FairQueue::new(Limits { slots: 9, account_connections: 2, ..LIMITS });
    let now = Time::from_millis(0);
    let late = Time::from_millis(1_000);
    for _ in 0..3 {
        queue.push(&account(0), 1, StatementKind::Begin, now, late).expect("there is room");
    }
    let runs = |queue: &mut FairQueue| matches!(queue.pop(true, now), Some(Popped::Run(..)));
    assert!(runs(&mut queue) && runs(&mut queue));
    assert!(!runs(&mut queue), "the third connection is kept for others");
    queue.release_connection(&account(0));
    assert!(runs(&mut queue));
}

#[test]
fn counts_stay_correct_over_random_operations() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut queue = FairQueue::new(LIMITS);
        let (mut tickets, mut grants) = (Vec::new(), Vec::new());
        for step in 0..500u64 {
            let now = Time::from_millis(step);
            match rng.random_range(0..4) {
                0 | 1 => {
                    let kind = if rng.random_bool(0.8) {
                        StatementKind::Begin
                    } else {
                        StatementKind::Resume
                    };
                    let name = account(rng.random_range(0..5));
                    let deadline = now + Duration::from_millis(rng.random_range(1..50));
                    tickets.extend(queue.push(&name, 1, kind, now, deadline));
                }
                2 => match queue.pop(rng.random_bool(0.5), now) {
                    Some(Popped::Run(ticket, grant)) => {
                        tickets.retain(|t| *t != ticket);
                        grants.push(grant);
                    }
                    Some(Popped::Expired(ticket)) => tickets.retain(|t| *t != ticket),
                    None => {}
                },
                _ if !grants.is_empty() => queue.finish(&grants.swap_remove(0), now),
                _ if !tickets.is_empty() => assert!(queue.cancel(&tickets.swap_remove(0))),
                _ => {}
            }
            assert_eq!(queue.waiting(), tickets.len(), "seed {seed}");
            assert_eq!(queue.running() as usize, grants.len(), "seed {seed}");
        }
    }
}

#[test]
fn an_overdue_statement_of_an_open_transaction_runs_without_a_free_slot() {
    let start = Time::from_millis(0);
    let deadline = start + Duration::from_secs(10);
    for holders in 0..3 {
        let mut queue = FairQueue::new(LIMITS);
        for number in 0..LIMITS.slots as usize {
            let name = account(number % (holders + 1));
            queue.push(&name, 1, StatementKind::Begin, start, deadline).expect("there is room");
            assert!(matches!(queue.pop(true, start), Some(Popped::Run(..))));
        }
        queue.push(&account(0), 1, StatementKind::Begin, start, deadline).expect("there is room");
        let first = queue.push(&account(0), 1, StatementKind::Resume, start, deadline);
        let first = first.expect("there is room");
        let gone = queue.push(&account(1), 1, StatementKind::Resume, start, deadline);
        let later = start + Duration::from_millis(5);
        let second = queue.push(&account(2), 1, StatementKind::Resume, later, deadline);
        let second = second.expect("there is room");
        assert!(queue.cancel(&gone.expect("there is room")));
        assert_eq!(queue.pop(true, start + MAX_RESUME_WAIT / 2), None);
        let run = |popped| match popped {
            Some(Popped::Run(ticket, _)) => ticket,
            other => panic!("no statement runs: {other:?}"),
        };
        assert_eq!(run(queue.pop(true, start + MAX_RESUME_WAIT)), first);
        assert_eq!(queue.pop(true, start + MAX_RESUME_WAIT), None);
        assert_eq!(run(queue.pop(false, later + MAX_RESUME_WAIT)), second);
        assert_eq!(queue.pop(true, later + MAX_RESUME_WAIT * 9), None, "it holds no connection");
        assert_eq!(queue.running(), LIMITS.slots + 2);
    }
}
