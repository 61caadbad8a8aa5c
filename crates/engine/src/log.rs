//! Numbered log events on standard output; `docs/EVENTS.md` is checked against
//! this table.
//!
//! Lines pass through a bounded queue that drops rather than blocks. Lines about
//! single requests also have a budget a second; what it drops is counted.

use std::cell::RefCell;

use chicoryhollow_core::Time;
use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};

use crate::{clock, metrics::Metrics};

/// Lines about single requests a second.
const LINES_PER_SECOND: f64 = 25.0;

/// Lines about single requests at once.
const LINES_BURST: f64 = 50.0;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 1_024;

/// Something worth a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The daemon listens on all its addresses.
    Started,
    /// The daemon drains after SIGTERM.
    Draining,
    /// The daemon ends.
    Stopped,
    /// The settings were read again.
    Reloaded,
    /// The directory stopped answering.
    DirectoryLost,
    /// The directory answers again.
    DirectoryRegained,
    /// A newer configuration is in force.
    CatalogInForce,
    /// The registered servers of a group changed.
    ServersChanged,
    /// Data centres were taken out or brought back.
    EvacuationChanged,
    /// Something in the directory cannot be used.
    Unreadable,
    /// A group has a new primary.
    PrimaryChanged,
    /// This VM begins to replace a primary.
    FailoverStarted,
    /// This VM ordered a server to be promoted.
    PromotionOrdered,
    /// A group has the primary that was promoted.
    FailoverCompleted,
    /// A replacement was given up.
    FailoverAbandoned,
    /// This VM took the duty to replace primaries.
    CoordinatorRoleTaken,
    /// This VM no longer has that duty.
    CoordinatorRoleLost,
    /// A request was refused.
    Refused,
    /// A request was tried again.
    Retried,
    /// The fate of a write is unknown.
    InDoubt,
    /// A session was ended by the proxy.
    SessionClosed,
    /// A sampled request that was served.
    Served,
    /// Lines about requests were dropped.
    LinesDropped,
    /// Another VM was connected.
    PeerLinked,
    /// The connection to another VM was lost.
    PeerLost,
}

impl Event {
    /// All events, in the order of their numbers.
    pub const ALL: [Event; 25] = [
        Event::Started,
        Event::Draining,
        Event::Stopped,
        Event::Reloaded,
        Event::DirectoryLost,
        Event::DirectoryRegained,
        Event::CatalogInForce,
        Event::ServersChanged,
        Event::EvacuationChanged,
        Event::Unreadable,
        Event::PrimaryChanged,
        Event::FailoverStarted,
        Event::PromotionOrdered,
        Event::FailoverCompleted,
        Event::FailoverAbandoned,
        Event::CoordinatorRoleTaken,
        Event::CoordinatorRoleLost,
        Event::Refused,
        Event::Retried,
        Event::InDoubt,
        Event::SessionClosed,
        Event::Served,
        Event::LinesDropped,
        Event::PeerLinked,
        Event::PeerLost,
    ];

    /// Returns number, level and text of the event.
    pub fn row(self) -> (u16, Level, &'static str) {
        match self {
            Event::Started => (600, Level::Info, "engine started"),
            Event::Draining => (601, Level::Info, "engine drains"),
            Event::Stopped => (602, Level::Info, "engine stopped"),
            Event::Reloaded => (603, Level::Info, "settings read again"),
            Event::DirectoryLost => (610, Level::Warning, "directory lost"),
            Event::DirectoryRegained => (611, Level::Info, "directory regained"),
            Event::CatalogInForce => (612, Level::Info, "catalog in force"),
            Event::ServersChanged => (613, Level::Info, "servers changed"),
            Event::EvacuationChanged => (614, Level::Info, "evacuation changed"),
            Event::Unreadable => (615, Level::Warning, "directory entry refused"),
            Event::PrimaryChanged => (620, Level::Info, "primary believed"),
            Event::FailoverStarted => (621, Level::Warning, "succession begun"),
            Event::PromotionOrdered => (622, Level::Warning, "promotion ordered"),
            Event::FailoverCompleted => (623, Level::Info, "succession done"),
            Event::FailoverAbandoned => (624, Level::Warning, "succession abandoned"),
            Event::CoordinatorRoleTaken => (625, Level::Info, "duty taken"),
            Event::CoordinatorRoleLost => (626, Level::Info, "duty lost"),
            Event::Refused => (630, Level::Info, "statement refused"),
            Event::Retried => (631, Level::Info, "statement retried"),
            Event::InDoubt => (632, Level::Warning, "outcome unknown"),
            Event::SessionClosed => (633, Level::Info, "session dismissed"),
            Event::Served => (634, Level::Info, "statement served"),
            Event::LinesDropped => (635, Level::Warning, "log lines dropped"),
            Event::PeerLinked => (640, Level::Info, "peer linked"),
            Event::PeerLost => (641, Level::Warning, "peer lost"),
        }
    }

    fn is_about_request(self) -> bool {
        (630..635).contains(&self.row().0)
    }
}

/// Writes events within the budget.
pub(crate) struct EventLog {
    log: Logger,
    metrics: Metrics,
    budget: RefCell<Budget>,
}

struct Budget {
    lines: f64,
    filled: Time,
    dropped: u64,
}

impl EventLog {
    /// Makes a journal that writes to `log`.
    pub(crate) fn new(log: Logger, metrics: Metrics) -> Self {
        let budget = Budget { lines: LINES_BURST, filled: clock::now(), dropped: 0 };
        EventLog { log, metrics, budget: RefCell::new(budget) }
    }

    /// Writes `event` with `fields`, unless its budget is spent.
    pub(crate) fn record<T>(&self, event: Event, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        if event.is_about_request() && !self.spend() {
            self.metrics.dropped_lines.inc();
            return;
        }
        self.write(event, fields);
    }

    /// Writes how many lines were dropped since the last time, if any.
    pub(crate) fn report_dropped(&self) {
        let dropped = std::mem::take(&mut self.budget.borrow_mut().dropped);
        if dropped > 0 {
            self.write(Event::LinesDropped, o!("lines" => dropped));
        }
    }

    fn spend(&self) -> bool {
        let mut budget = self.budget.borrow_mut();
        let now = clock::now();
        let gained = now.since(budget.filled).as_secs_f64() * LINES_PER_SECOND;
        budget.filled = now;
        budget.lines = (budget.lines + gained).min(LINES_BURST);
        let allowed = budget.lines >= 1.0;
        if allowed {
            budget.lines -= 1.0;
        } else {
            budget.dropped += 1;
        }
        allowed
    }

    fn write<T>(&self, event: Event, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        let (number, level, text) = event.row();
        let log = self.log.new(fields);
        match level {
            Level::Warning => slog::warn!(log, "{}", text; "event" => number),
            _ => slog::info!(log, "{}", text; "event" => number),
        }
    }
}

/// Makes the logger: JSON lines on standard output through a bounded queue.
pub fn logger() -> Logger {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let queue = slog_async::Async::new(json).chan_size(QUEUE_LINES).build().fuse();
    Logger::root(queue, o!())
}
