//! Who may use a server's connections and slots.

use std::time::Duration;

use chicoryhollow_core::{
    AccountId, Time,
    admission::{Arrival, Grant, Limits, Request, Scheduler, home_slots, least_useful},
    waiting::Priority,
};

const PATIENCE: Duration = Duration::from_millis(300);

fn account(name: &str) -> AccountId {
    AccountId::new(name).expect("a valid name")
}

/// Lets a request of priority 1 arrive at a server to which no connection is idle.
fn arrive(scheduler: &mut Scheduler<String>, name: &str, now: Time) -> Arrival {
    let account = account(name);
    let request = Request { account: &account, priority: Priority::new(1), patience: PATIENCE };
    scheduler.arrive(request, now, |_| 0, || name.to_owned())
}

fn admit(scheduler: &mut Scheduler<String>, name: &str, now: Time) -> Grant {
    match arrive(scheduler, name, now) {
        Arrival::Admitted(mut grant) => {
            scheduler.settle(&mut grant);
            grant
        }
        other => panic!("{name} is not admitted: {other:?}"),
    }
}

#[test]
fn statements_of_open_transactions_do_not_wait_behind_new_ones() {
    let now = Time::default();
    let mut scheduler = Scheduler::new(Limits { connections: 8, slots: 1 });
    let mut open = admit(&mut scheduler, "a", now);
    scheduler.pause(&mut open, now);
    let new = admit(&mut scheduler, "b", now);
    assert!(matches!(arrive(&mut scheduler, "c", now), Arrival::Waiting(_)));
    scheduler.resume(&mut open, now);
    assert_eq!(scheduler.running(), 2, "the transaction goes on above the limit");
    scheduler.release(new, now);
    assert!(scheduler.next(now, |_| 0).is_none(), "new work waits for the transaction");
    scheduler.release(open, now);
    assert!(scheduler.next(now, |_| 0).is_some());
}

#[test]
fn idle_transactions_of_one_account_do_not_hold_all_connections() {
    let now = Time::default();
    let mut scheduler = Scheduler::new(Limits { connections: 8, slots: 4 });
    let mut held = Vec::new();
    while let Arrival::Admitted(mut grant) = arrive(&mut scheduler, "a", now) {
        scheduler.settle(&mut grant);
        scheduler.pause(&mut grant, now);
        held.push(grant);
    }
    assert!((4..8).contains(&held.len()), "{}", held.len());
    assert!(matches!(arrive(&mut scheduler, "b", now), Arrival::Waiting(_)));
    let (next, grant) = scheduler.next(now, |_| 0).expect("a connection is left");
    assert_eq!(next, "b");
    scheduler.release(grant, now);
    held.into_iter().for_each(|grant| scheduler.release(grant, now));
    assert_eq!((scheduler.in_use(), scheduler.running()), (0, 0));
}

#[test]
fn a_request_gives_up_its_place_when_it_can_no_longer_be_in_time() {
    let start = Time::default();
    let mut scheduler = Scheduler::new(Limits { connections: 8, slots: 1 });
    let grant = admit(&mut scheduler, "a", start);
    assert!(matches!(arrive(&mut scheduler, "b", start), Arrival::Waiting(_)));
    let late = start + PATIENCE;
    scheduler.release(grant, late);
    assert!(scheduler.next(late, |_| 0).is_none());
    assert_eq!(scheduler.waiting(), 0);
}

/// A slow past must not refuse the requests that would correct the estimate.
#[test]
fn a_request_that_finds_a_free_slot_is_not_refused() {
    let mut now = Time::default();
    let mut scheduler = Scheduler::new(Limits { connections: 8, slots: 1 });
    for _ in 0..40 {
        let mut grant = admit(&mut scheduler, "a", now);
        now = now + Duration::from_secs(5);
        grant.record_work(Duration::from_secs(5));
        scheduler.release(grant, now);
    }
    let grant = admit(&mut scheduler, "a", now);
    assert!(matches!(arrive(&mut scheduler, "b", now), Arrival::Refused(_)));
    scheduler.release(grant, now);
    admit(&mut scheduler, "b", now);
}

/// An account must not be shut out for seconds because its statements hung.
#[test]
fn an_account_whose_statements_hung_is_served_soon_again() {
    let start = Time::default();
    let mut scheduler = Scheduler::new(Limits { connections: 8, slots: 1 });
    let hung = admit(&mut scheduler, "a", start);
    let mut now = start + Duration::from_secs(5);
    scheduler.release(hung, now);
    let mut running = admit(&mut scheduler, "b", now);
    for others in 0.. {
        for name in ["a", "b"] {
            arrive(&mut scheduler, name, now);
        }
        now = now + Duration::from_millis(10);
        running.record_work(Duration::from_millis(10));
        scheduler.release(running, now);
        let (next, mut grant) = scheduler.next(now, |_| 0).expect("requests wait");
        if next == "a" {
            break;
        }
        scheduler.settle(&mut grant);
        running = grant;
        assert!(others < 30, "the account is still not served");
    }
}

#[test]
fn an_account_with_one_connection_keeps_it_while_another_has_several() {
    let [a, b] = ["a", "b"].map(account);
    assert_eq!(least_useful([&a, &b, &b].into_iter()), Some(1));
    assert_eq!(least_useful([&b, &a].into_iter()), Some(0));
    assert_eq!(least_useful([].into_iter()), None);
}

#[test]
fn homes_keep_a_server_busy_without_filling_its_queue() {
    for slots in 1..16 {
        for homes in 1..8 {
            let part = home_slots(slots, homes);
            assert!(part > 1 && part <= slots + 1);
            assert!(part * homes as u32 > slots);
        }
    }
}
