//! Messages of usage reports stay small.

use chicoryhollow_peer::{
    Body, Envelope, Message,
    usage::{UsageAsk, UsageClock, UsageReport, UsageSums, UsageWindow},
};

/// A point in time in microseconds since the start of 1970.
const TIME_US: u64 = 1_765_000_000_000_000;

const WINDOW: UsageWindow = UsageWindow {
    window: 353_445_120,
    book: u64::MAX,
    accounts: Vec::new(),
    counts: Vec::new(),
    numbers: Vec::new(),
};

/// Returns the size of a report of so many accounts that the receiver knows.
fn report_bytes(accounts: u32) -> usize {
    let numbers = (0..accounts).collect();
    let counts = (0..accounts).map(|i| u64::from(i) * 7 % 500).collect();
    let windows = vec![UsageWindow { counts, numbers, ..WINDOW }];
    let report = UsageReport {
        incarnation: u64::MAX,
        time_us: TIME_US,
        windows,
        numbering: u32::MAX,
        first: accounts,
        names: Vec::new(),
    };
    Envelope::new(Body::UsageReport(report)).encoded_len()
}

/// Returns the size of the sums of so many accounts.
fn sums_bytes(accounts: u64) -> usize {
    let names = (0..accounts).map(|i| format!("acct{i:05}")).collect();
    let counts = (0..accounts).map(|i| i * 131 % 20_000).collect();
    let windows = vec![UsageWindow { accounts: names, counts, ..WINDOW }];
    let times_us = vec![TIME_US; accounts.min(9) as usize];
    let sums = UsageSums {
        incarnation: u64::MAX,
        last: accounts,
        windows,
        times_us,
        ..Default::default()
    };
    Envelope::new(Body::UsageSums(sums)).encoded_len()
}

/// Guards against messages that exceed the traffic budget: the design note multiplies them.
#[test]
fn messages_have_the_sizes_of_the_design_note() {
    let clock = UsageClock { true_us: TIME_US, decided: 353_445_118 };
    let ask =
        UsageAsk { incarnation: u64::MAX, after: 9_999, clock: Some(clock.clone()), all: false };
    let bytes = |body| Envelope::new(body).encoded_len();
    let found = [
        bytes(Body::UsageClock(clock)),
        bytes(Body::UsageAsk(ask)),
        report_bytes(0),
        report_bytes(5),
        report_bytes(30),
        sums_bytes(74),
        sums_bytes(8_000),
    ];
    assert_eq!(found, [18, 32, 43, 59, 120, 1_071, 105_500]);
}
