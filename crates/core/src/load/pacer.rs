//! Limits on how often a home sends its reports.

use std::time::Duration;

use super::Report;
use crate::{pace::ByteRate, time::Time};

/// Minimum time between two reports on a server to the same VM.
const MIN_SPACING: Duration = Duration::from_millis(250);

/// Minimum time between two reports that hardly differ.
const UNCHANGED_SPACING: Duration = Duration::from_millis(1_000);

/// Bytes of reports that a VM may send per second.
const REPORT_RATE: ByteRate = ByteRate::new(768);

/// Bytes of reports that a VM may send at once after a pause.
const REPORT_BURST: u32 = 3_072;

/// Change of an expected time below which two reports hardly differ.
const SMALL_CHANGE: Duration = Duration::from_millis(4);

/// Change of the connections in use, in hundredths, below which two reports hardly differ.
const SMALL_IN_FLIGHT: u32 = 50;

/// The last report on a server to one VM.
#[derive(Clone, Debug)]
pub struct SentReport {
    report: Report,
    sent: Time,
}

impl SentReport {
    /// Creates the record of a report that is sent now.
    pub fn new(report: Report, sent: Time) -> Self {
        SentReport { report, sent }
    }

    /// Returns whether a report is due after this one.
    fn is_due(&self, report: &Report, now: Time) -> bool {
        let spacing = if differ(&self.report, report) { MIN_SPACING } else { UNCHANGED_SPACING };
        now.since(self.sent) >= spacing
    }
}

/// Keeps the reports of a VM within their data rate.
#[derive(Clone, Debug)]
pub struct ReportPacer {
    bytes: f64,
    refilled: Time,
}

impl ReportPacer {
    /// Creates a pacer with all of its burst.
    pub fn new(now: Time) -> Self {
        ReportPacer { bytes: REPORT_BURST.into(), refilled: now }
    }

    /// Decides whether a report of `size` bytes is sent, and counts it if so. `last` is the
    /// one before it on the same server to the same VM.
    pub fn try_send(
        &mut self,
        last: Option<&SentReport>,
        report: &Report,
        size: usize,
        now: Time,
    ) -> bool {
        if last.is_some_and(|last| !last.is_due(report, now)) {
            return false;
        }
        let gained = now.since(self.refilled).as_secs_f64() * f64::from(REPORT_RATE.get());
        self.refilled = now;
        self.bytes = (self.bytes + gained).min(REPORT_BURST.into());
        if self.bytes < size as f64 {
            return false;
        }
        self.bytes -= size as f64;
        true
    }
}

fn differ(before: &Report, after: &Report) -> bool {
    let times = |report: &Report| {
        let [first, second, third] = report.waits;
        [first, second, third, report.service]
    };
    let moved = |(a, b): (Duration, Duration)| a.abs_diff(b) >= SMALL_CHANGE;
    times(before).into_iter().zip(times(after)).any(moved)
        || before.in_flight.abs_diff(after.in_flight) >= SMALL_IN_FLIGHT
        || before.failures.total() != after.failures.total()
}
