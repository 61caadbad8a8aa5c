//! Callers share the memory of a VM, and those that hold most of it are rejected first.

use chicoryhollow_core::{
    AccountId, Time,
    budget::{
        Budget, Grant, HolderId, Holding, LimitReason, Limits, MAX_MESSAGE_BYTES,
        MEDIUM_MESSAGE_BYTES, PROGRESS_SPAN, Progress, Receiving, SMALL_MESSAGE_BYTES,
    },
};

const MEMORY: usize = 64 << 20;

fn account(name: &str) -> AccountId {
    name.parse().expect("a valid name")
}

/// Returns a budget with so many connections of each account.
fn budget(accounts: &[(&str, usize)]) -> (Budget, Vec<HolderId>) {
    let mut budget = Budget::new(Limits::new(MEMORY, 50));
    let mut ids = Vec::new();
    for (name, count) in accounts {
        for _ in 0..*count {
            let id = budget.join();
            budget.set_account(id, account(name));
            ids.push(id);
        }
    }
    (budget, ids)
}

/// Callers that each wait with a part of a large message must not keep all others from
/// completing theirs.
#[test]
fn every_large_message_is_read_in_the_end() {
    let (mut budget, mut waiting) = budget(&[("press", 100), ("clinic", 100)]);
    let mut running = Vec::new();
    while !waiting.is_empty() || !running.is_empty() {
        for id in &waiting {
            budget.request_message(*id, MEDIUM_MESSAGE_BYTES);
        }
        let before = running.len();
        waiting.retain(|id| {
            let granted = budget.request_message(*id, MAX_MESSAGE_BYTES) == Grant::Read;
            running.extend(granted.then_some(*id));
            !granted
        });
        assert!(running.len() > before || !running.is_empty(), "one message at least is read");
        assert!(budget.total() <= budget.limits().process);
        running.drain(..).for_each(|id| budget.finish_message(id));
    }
    assert_eq!(budget.total(), 0);
}

#[test]
fn one_account_leaves_room_for_the_messages_of_others() {
    let (mut budget, ids) = budget(&[("press", 20), ("clinic", 1)]);
    let read = |id: &&HolderId| budget.request_message(**id, MAX_MESSAGE_BYTES) == Grant::Read;
    let of_press = ids[..20].iter().filter(read).count();
    assert!((1..20).contains(&of_press), "{of_press}");
    assert_eq!(budget.request_message(ids[20], MAX_MESSAGE_BYTES), Grant::Read);
}

#[test]
fn small_messages_never_wait() {
    let (mut budget, ids) = budget(&[("press", 40)]);
    for id in &ids {
        budget.request_message(*id, MAX_MESSAGE_BYTES);
    }
    assert!(ids.iter().all(|id| budget.request_message(*id, SMALL_MESSAGE_BYTES) == Grant::Read));
}

#[test]
fn the_connection_that_holds_most_is_rejected_first() {
    let (mut budget, ids) = budget(&[("press", 3)]);
    let half = budget.limits().process / 2;
    assert_eq!(budget.hold(ids[0], Holding::Session, half / 4), None);
    assert_eq!(budget.hold(ids[1], Holding::Answer, half / 2), None);
    assert_eq!(budget.hold(ids[2], Holding::Answer, half / 3), Some(ids[1]));
    budget.leave(ids[1]);
    assert_eq!(budget.hold(ids[2], Holding::Answer, half / 3 + 1), None, "there is room again");
    budget.leave(ids[0]);
    budget.leave(ids[2]);
    assert_eq!(budget.total(), 0);
}

/// Messages that wait keep their callers from sending more, so answers must not take their part.
#[test]
fn a_message_is_read_whatever_others_hold() {
    let (mut budget, ids) = budget(&[("press", 2)]);
    let most = budget.limits().process / 2;
    budget.hold(ids[0], Holding::Answer, most);
    assert_eq!(budget.request_message(ids[1], MAX_MESSAGE_BYTES), Grant::Read);
}

#[test]
fn a_message_over_a_tenth_of_a_slow_line_is_fast_enough() {
    // 1 Mbit/s, in pieces of a packet.
    let (mut progress, mut sent, mut ms) = (Progress::new(Time::default()), 0, 0);
    while sent < MAX_MESSAGE_BYTES {
        ms += 12;
        sent += 1_460;
        progress.record(1_460);
        assert!(progress.check(Time::from_millis(ms)), "at {ms} ms");
    }
    let mut slow = Progress::new(Time::default());
    slow.record(50);
    assert!(!slow.check(Time::default() + PROGRESS_SPAN), "ten bytes per second");
}

/// A caller that had to wait for room did not send because nothing was read.
#[test]
fn the_time_for_which_the_daemon_makes_a_caller_wait_does_not_count() {
    let (mut receiving, due) = (Receiving::default(), Time::default() + PROGRESS_SPAN);
    assert_eq!(receiving.check(true, Time::default()), Ok(Some(due)));
    receiving.restart();
    assert_eq!(receiving.check(true, due), Ok(Some(due + PROGRESS_SPAN)));
    receiving.record(100_000);
    assert!(receiving.check(true, due + PROGRESS_SPAN).is_ok(), "enough for the span");
    assert_eq!(receiving.check(true, due + 2 * PROGRESS_SPAN), Err(LimitReason::SlowSender));
}

/// The daemon for PostgreSQL accepts messages that cost more than the whole budget.
#[test]
fn a_message_that_exceeds_the_budget_is_read_alone() {
    let (mut budget, ids) = budget(&[("press", 2)]);
    let bytes = budget.limits().process;
    assert_eq!(budget.request_message(ids[0], bytes), Grant::Read);
    assert_eq!(budget.request_message(ids[1], MEDIUM_MESSAGE_BYTES), Grant::Wait);
    budget.finish_message(ids[0]);
    assert_eq!(budget.request_message(ids[1], MEDIUM_MESSAGE_BYTES), Grant::Read);
}

/// Callers that wait with a part of a large message and sessions with large state left no room in
/// which any message could complete.
#[test]
fn a_large_message_is_read_although_sessions_fill_their_half_of_the_memory() {
    let (mut budget, ids) = budget(&[("press", 40), ("clinic", 40), ("archive", 8)]);
    let (waiting, sessions) = ids.split_at(80);
    for id in waiting {
        budget.request_message(*id, MEDIUM_MESSAGE_BYTES);
    }
    let part = budget.limits().process / 2 / sessions.len();
    sessions.iter().for_each(|id| assert_eq!(budget.hold(*id, Holding::Session, part), None));
    let read = |id: &&HolderId| budget.request_message(**id, MAX_MESSAGE_BYTES) == Grant::Read;
    assert_eq!(waiting.iter().filter(read).count(), 1);
}

/// The same connection was named until it was closed, and the others went on to fill the memory.
#[test]
fn a_connection_that_is_being_closed_is_not_rejected_again() {
    let (mut budget, ids) = budget(&[("press", 10)]);
    let limit = budget.limits().process / 2;
    let rejected: Vec<HolderId> =
        ids.iter().filter_map(|id| budget.hold(*id, Holding::Answer, limit / 2)).collect();
    assert_eq!(rejected.len(), 8, "two answers fit");
    let mut distinct = rejected.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), rejected.len());
    ids.iter().for_each(|id| budget.leave(*id));
    assert_eq!(budget.total(), 0);
}
