//! Counts of usage reports reach the reporter although VMs, links and clocks fail, and no
//! window gets two different reports.

#[path = "usage/search.rs"]
mod search;

#[path = "usage/replay.rs"]
mod replay;

use std::time::Duration;

use chicoryhollow_core::{
    AccountId, Incarnation, Time, VmId,
    usage::{
        Book, BookAccount, Change, Collector, Counter, DecidedWindow, Ledger, LedgerRow, Offset,
        OffsetSamples, Restore, Schedule, Sender, Step, Tenure, Totals, TrueTime, WindowId,
    },
    version::{DirectoryVersion, Era},
};
use indexmap::IndexMap;

const FIRST: WindowId = WindowId::new(100);

fn schedule() -> Schedule {
    Schedule::new(Duration::from_secs(5), Duration::from_secs(10))
}

fn account(name: &str) -> AccountId {
    AccountId::new(name).expect("a valid name")
}

fn decided(window: WindowId, count: u64) -> DecidedWindow {
    DecidedWindow { window, counts: IndexMap::from([(account("plant"), count)]) }
}

fn version(era: u32, number: u64) -> DirectoryVersion {
    DirectoryVersion::new(Era::new(era), number)
}

/// A time at which the window can be decided, and the next one cannot.
fn time_of(window: WindowId) -> TrueTime {
    schedule().decision_time(window)
}

/// Returns a ledger that has read that no window was decided yet.
fn new_ledger() -> Ledger {
    let mut ledger = Ledger::new(schedule());
    ledger.record_missing(Era::default(), None, unknown(TrueTime::default()));
    ledger
}

fn unknown(learnt: TrueTime) -> Restore {
    Restore { learnt, knows_all: false }
}

/// Decides on a window, and returns the row that was written with this version.
fn decide(ledger: &mut Ledger, decided: DecidedWindow, version: DirectoryVersion) -> LedgerRow {
    let row = ledger.decide(decided);
    ledger.record_written(row.clone(), version);
    row
}

/// Guards against other numbers after the holder died between decision and report.
#[test]
fn the_next_holder_reports_what_was_decided() {
    let mut dead = new_ledger();
    let row = decide(&mut dead, decided(FIRST, 7), version(0, 1));
    let mut next = Ledger::new(schedule());
    assert_eq!(next.next_step(FIRST, time_of(FIRST)), Step::Read);
    next.record_row(row, version(0, 1));
    assert_eq!(next.next_step(FIRST, time_of(FIRST)), Step::Report(FIRST));
    assert_eq!(next.open(), [decided(FIRST, 7)]);
}

/// Guards against two decisions on a window when a write got no answer or another holder was
/// faster.
#[test]
fn nothing_is_sent_until_the_write_is_known_to_have_succeeded() {
    let mut ledger = new_ledger();
    let _ = ledger.decide(decided(FIRST, 7));
    ledger.forget();
    assert_eq!(ledger.open(), [], "the decision does not count yet");
    assert_eq!(ledger.next_step(FIRST, time_of(FIRST)), Step::Read);
    let other = LedgerRow { through: Some(FIRST), open: vec![decided(FIRST, 8)] };
    ledger.record_row(other, version(0, 2));
    assert_eq!(ledger.open(), [decided(FIRST, 8)]);
}

/// Guards against windows that are decided early, or lost while the API does not answer.
#[test]
fn windows_are_decided_late_and_reported_in_order_after_an_outage() {
    let mut ledger = new_ledger();
    let early = TrueTime::from_micros(time_of(FIRST).as_micros() - 1);
    assert_eq!(ledger.next_step(FIRST, early), Step::Wait);
    let windows = [FIRST, FIRST.next(), FIRST.next().next()];
    for (number, window) in (1..).zip(windows) {
        assert_eq!(ledger.next_step(FIRST, time_of(window)), Step::Decide(window));
        decide(&mut ledger, decided(window, number), version(0, number));
    }
    for window in windows {
        assert_eq!(ledger.next_report(), Step::Report(window));
        ledger.record_reported(window);
    }
    assert_eq!(ledger.next_report(), Step::Wait);
}

/// Guards against another report of a window whose decision a restored directory forgot.
#[test]
fn a_restore_does_not_change_what_was_decided() {
    let mut holder = new_ledger();
    let copy = decide(&mut holder, decided(FIRST, 7), version(0, 1));
    let second = FIRST.next();
    decide(&mut holder, decided(second, 9), version(0, 2));
    let (era, learnt) = (Era::new(1), time_of(second));
    holder.forget();
    holder.record_missing(era, copy.through, Restore { learnt, knows_all: true });
    assert_eq!(holder.open(), [decided(FIRST, 7), decided(second, 9)]);
    assert_eq!(holder.through(), Some(second));
    let mut other = Ledger::new(schedule());
    other.record_missing(era, copy.through, unknown(learnt));
    assert_eq!(other.open(), [], "the copied row may have been written late");
    assert_eq!(other.through(), Some(second), "it may have been decided, and is left out");
    assert_eq!(other.version(), Some(DirectoryVersion::start_of(era)));
}

/// Guards against another decision on a window when a directory that counts no eras came back
/// from a copy.
#[test]
fn a_row_that_is_behind_does_not_change_what_was_decided() {
    let mut holder = new_ledger();
    let copy = decide(&mut holder, decided(FIRST, 7), version(0, 1));
    decide(&mut holder, decided(FIRST.next(), 9), version(0, 2));
    holder.record_reported(FIRST);
    holder.record_row(copy, version(0, 1));
    assert_eq!(holder.through(), Some(FIRST.next()));
    assert_eq!(holder.open(), [decided(FIRST, 7), decided(FIRST.next(), 9)]);
}

/// Guards against counts that are lost, or counted twice, when a daemon starts anew.
#[test]
fn a_restarted_vm_counts_anew_and_repeats_do_no_harm() {
    let mut collector = Collector::default();
    let vm = VmId::new("vm-1").expect("a valid name");
    let sender = |number| Sender { vm: vm.clone(), incarnation: Incarnation::new(number) };
    let key = BookAccount { book: Book::default(), account: account("plant") };
    let change = |count| Change { window: FIRST, key: key.clone(), count };
    let mut receive =
        |number, count| collector.receive(&sender(number), &change(count), Time::default()).count;
    assert_eq!(receive(1, 5), 5);
    assert_eq!(receive(1, 5), 5, "a repeat");
    assert_eq!(receive(2, 3), 8, "the daemon has restarted");
    assert_eq!(receive(1, 4), 8, "an old message");
    assert_eq!(receive(2, 6), 11);
}

/// Guards against a decision that changes with counts that arrive later.
#[test]
fn counts_that_arrive_after_the_decision_are_noticed_and_not_reported() {
    let (mut ledger, mut sums) = (new_ledger(), Totals::default());
    sums.raise(FIRST, &"plant", 5);
    decide(&mut ledger, decided(FIRST, sums.count(FIRST, &"plant")), version(0, 1));
    assert_eq!(sums.raise(FIRST, &"plant", 6), 1, "one operation is late");
    assert_eq!(ledger.open(), [decided(FIRST, 5)]);
}

/// Guards against a time of day that jumps back across the end of a window: a third of the
/// VMs is wrong by 2 s.
#[test]
fn true_time_is_the_median_of_the_times_of_day() {
    let (now, right) = (Time::from_millis(40_000), TrueTime::from_micros(505_100_000));
    let wrong = TrueTime::from_micros(503_100_000);
    let mut near = OffsetSamples::default();
    (0..24).for_each(|i| near.add(Offset::between(if i % 3 == 0 { wrong } else { right }, now)));
    let far = near.clone().quantiles(now);
    assert_eq!(far.vms, 24);
    let mut all = OffsetSamples::default();
    all.add_quantiles(&far, now);
    // A data centre of two VMs that are both wrong has little weight.
    [wrong, wrong].into_iter().for_each(|time| all.add(Offset::between(time, now)));
    for samples in [near, all] {
        assert_eq!(samples.median().map(|offset| offset.convert(now)), Some(right));
    }
}

/// Guards against operations that move to another window, or to the account's new name, when
/// the clock is corrected or the configuration changes.
#[test]
fn an_operation_counts_when_it_was_sent_and_for_the_account_that_sent_it() {
    let vm = VmId::new("vm-1").expect("a valid name");
    let mut counter = Counter::new(schedule(), &vm);
    let start = schedule().end(FIRST.earlier_by(1));
    let second = Time::from_millis(1_000);
    counter.record(&account("old"), second);
    counter.set_offset(Offset::between(start, second));
    counter.record(&account("new"), second + Duration::from_millis(4_999));
    counter.record(&account("new"), second + Duration::from_millis(5_000));
    counter.set_offset(Offset::between(start, second + Duration::from_secs(2)));
    counter.record(&account("new"), second + Duration::from_millis(5_000));
    let count = |window, name| {
        counter.totals().accounts(window).get(&account(name)).copied().unwrap_or_default()
    };
    assert_eq!([count(FIRST, "old"), count(FIRST, "new"), count(FIRST.next(), "new")], [1, 2, 1]);
}

/// Guards against holders that alternate within the lease.
#[test]
fn a_vm_that_takes_the_role_again_waits_before_it_reports() {
    let (lease, second) = (Duration::from_secs(3), Duration::from_secs(1));
    let start = Time::from_millis(10_000);
    let mut tenure = Tenure::new(start, lease);
    let first = start + lease;
    assert!(tenure.update(true, first));
    assert!(tenure.may_report(first), "it held the role neither in this run nor lately");
    tenure.update(false, first + second);
    assert!(!tenure.may_report(first + second));
    let again = first + second + second;
    assert!(tenure.update(true, again));
    assert!(!tenure.may_report(again + second));
    assert!(tenure.may_report(again + lease));
    let mut restarted = Tenure::new(start, lease);
    restarted.update(true, start + second);
    assert!(!restarted.may_report(start + second), "it may have held the role before");
}

/// Guards against a holder that trusts its memory although another VM decided before the
/// directory came back from a copy.
#[test]
fn only_a_tenure_until_the_restore_in_which_the_row_was_read_knows_all_decisions() {
    let at = Time::from_millis;
    let mut tenure = Tenure::new(at(0), Duration::from_secs(3));
    tenure.update(true, at(10_000));
    tenure.update(true, at(20_000));
    tenure.update(false, at(20_100));
    assert!(tenure.held_until(at(19_900), Some(at(10_100))));
    assert!(!tenure.held_until(at(19_900), Some(at(9_000))), "it was not read since");
    assert!(!tenure.held_until(at(20_500), Some(at(10_100))), "another VM may have had the role");
    tenure.update(true, at(30_000));
    assert!(tenure.held_until(at(19_900), Some(at(10_100))));
    assert!(!tenure.held_until(at(29_000), Some(at(10_100))));
}

/// Guards against a message that grows with the history, or that leaves changes out.
#[test]
fn changes_are_sent_once_and_in_pieces() {
    let mut totals = Totals::default();
    (0..5).for_each(|i| totals.add(FIRST, &i, 1));
    let first = totals.changes(0, 3);
    assert!(first.has_more && first.totals.len() == 3);
    totals.add(FIRST, &0, 1);
    let rest = totals.changes(first.last, 10);
    let keys: Vec<(i32, u64)> =
        rest.totals.iter().map(|change| (change.key, change.count)).collect();
    assert_eq!(keys, [(3, 1), (4, 1), (0, 2)]);
    assert!(totals.changes(rest.last, 10).totals.is_empty());
}
