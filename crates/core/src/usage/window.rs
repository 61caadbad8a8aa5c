//! Windows of true time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long before its report is due a window is decided at the earliest. The time is left
/// for a slow store and a slow call.
const DECISION_LEAD: Duration = Duration::from_millis(2_500);

/// Number of a window: the number of whole windows between the start of 1970 and its start.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowId(u64);

impl WindowId {
    /// Creates the id of the window with this number.
    pub const fn new(number: u64) -> Self {
        WindowId(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the window that follows.
    pub const fn next(self) -> Self {
        WindowId(self.0.saturating_add(1))
    }

    /// Returns the window that is `count` windows earlier.
    pub const fn earlier_by(self, count: u64) -> Self {
        WindowId(self.0.saturating_sub(count))
    }
}

/// A point in true time, in microseconds since the start of 1970.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TrueTime(u64);

impl TrueTime {
    /// Creates a time from microseconds since the start of 1970.
    pub const fn from_micros(micros: u64) -> Self {
        TrueTime(micros)
    }

    /// Returns the microseconds since the start of 1970.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

/// Length of the windows, and when their reports are due.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use chicoryhollow_core::usage::{Schedule, TrueTime, WindowId};
///
/// let schedule = Schedule::new(Duration::from_secs(5), Duration::from_secs(10));
/// assert_eq!(schedule.window_at(TrueTime::from_micros(12_000_000)), WindowId::new(2));
/// assert_eq!(schedule.end(WindowId::new(2)), TrueTime::from_micros(15_000_000));
/// assert_eq!(schedule.due(WindowId::new(2)), TrueTime::from_micros(25_000_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    window: Duration,
    delay: Duration,
}

impl Schedule {
    /// Creates a schedule of windows of this length, which are reported `delay` after their
    /// end.
    pub fn new(window: Duration, delay: Duration) -> Self {
        Schedule { window: window.max(Duration::from_millis(1)), delay }
    }

    /// Returns the window that contains `time`.
    pub fn window_at(self, time: TrueTime) -> WindowId {
        WindowId(time.0 / micros(self.window))
    }

    /// Returns the end of a window.
    pub fn end(self, window: WindowId) -> TrueTime {
        TrueTime(window.next().0.saturating_mul(micros(self.window)))
    }

    /// Returns when the report of a window is due.
    pub fn due(self, window: WindowId) -> TrueTime {
        TrueTime(self.end(window).0.saturating_add(micros(self.delay)))
    }

    /// Returns when a window is decided at the earliest: as late as is safe, so that late
    /// counts are included.
    pub fn decision_time(self, window: WindowId) -> TrueTime {
        let lead = DECISION_LEAD.min(self.delay / 2);
        TrueTime(self.due(window).0.saturating_sub(micros(lead)))
    }

    /// Returns the last window whose decision time has come, if there is one.
    pub fn last_decidable(self, now: TrueTime) -> Option<WindowId> {
        let lead = DECISION_LEAD.min(self.delay / 2);
        let settled = now.0.checked_sub(micros(self.delay - lead))?;
        (settled / micros(self.window)).checked_sub(1).map(WindowId)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
