//! Numbered log events, written as JSON lines to standard output.
//!
//! A test compares `docs/EVENTS.md` with the table in [`Event::row`]. Lines pass
//! through a bounded queue that drops lines when it is full instead of blocking
//! the daemon. Lines about single requests are also limited per second, and the
//! dropped ones are counted.

use std::cell::RefCell;

use chicoryhollow_core::Time;
use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};

use crate::{clock, metrics::Metrics};

/// Maximum number of log lines about single requests per second.
const REQUEST_LINES_PER_SECOND: f64 = 25.0;

/// Log lines about single requests that may be written at once after a pause.
const REQUEST_LINES_BURST: f64 = 50.0;

/// Maximum number of lines that wait to be written.
const LOG_QUEUE_LINES: usize = 1_024;

/// A log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The daemon listens on all its addresses.
    Started,
    /// The daemon received SIGTERM and lets its callers finish.
    Draining,
    /// The daemon stops.
    Stopped,
    /// A task that the daemon cannot do without has panicked; the process ends.
    TaskFailed,
    /// The settings were read again after SIGHUP.
    Reloaded,
    /// The directory stopped answering.
    DirectoryLost,
    /// The directory answers again.
    DirectoryRegained,
    /// A newer configuration was activated.
    CatalogActivated,
    /// The registered servers of a group changed.
    ServersChanged,
    /// Data centres were evacuated or are in use again.
    EvacuationChanged,
    /// An entry of the directory or a document of another VM cannot be used.
    Unreadable,
    /// This VM reads the directory on behalf of others.
    ReaderRoleTaken,
    /// This VM no longer reads the directory on behalf of others.
    ReaderRoleLost,
    /// The directory came back from a copy.
    DirectoryRestored,
    /// This VM knows another primary of a group.
    PrimaryChanged,
    /// This VM started the replacement of a primary.
    FailoverStarted,
    /// This VM ordered the promotion of a server.
    PromotionOrdered,
    /// The promoted server is the primary of its group.
    FailoverCompleted,
    /// A failover was abandoned before its promotion took effect.
    FailoverAbandoned,
    /// This VM asked a failed primary to step down.
    PrimaryDemoted,
    /// The directory did not tell a failover which servers are registered.
    ServersUnlisted,
    /// A missing server has ended as planned.
    ServerEnded,
    /// This VM became the failover coordinator.
    CoordinatorRoleTaken,
    /// This VM is no longer the failover coordinator.
    CoordinatorRoleLost,
    /// A request was refused.
    Refused,
    /// A request was tried again, or its transaction was lost.
    Retried,
    /// It is unknown whether a write was committed.
    InDoubt,
    /// A commit that a primary acknowledged is not known to survive a failover.
    CommitUnproven,
    /// The proxy closed a session.
    SessionClosed,
    /// A request was served; only a sample of these is logged.
    Served,
    /// A request that was read whole got no whole answer.
    Unanswered,
    /// Log lines about requests were dropped.
    LinesDropped,
    /// The log of a new primary lacks acknowledged commits.
    CommitsMissing,
    /// A link to another VM was established.
    PeerLinked,
    /// The link to another VM was lost.
    PeerLost,
    /// Messages and bytes sent to other VMs since the start.
    PeerTraffic,
    /// A promotion order was not sent, because the coordinator's row was not written.
    OrderUnsent,
    /// A new coordinator has read from the row what an earlier one knew of failovers.
    FailoversRecalled,
    /// What the servers of a group reported to a failover.
    MembersReported,
    /// A replica that was fenced by no running failover was told to receive again.
    FenceLifted,
    /// This VM decided on the usage report of a window.
    UsageDecided,
    /// The usage report of a window was accepted.
    UsageReported,
    /// A usage report cannot be decided on or sent now.
    UsageDelayed,
    /// Windows are never reported.
    UsageSkipped,
    /// Counts arrived after the decision on their window.
    UsageLate,
    /// A server gets more requests than it can run in time.
    ServerOverloaded,
    /// A server was overloaded and no longer rejects requests.
    ServerRelieved,
    /// Statements were not retried, because the budget of retries was used up.
    RetriesDenied,
    /// Reads of a group begin to go to another data centre.
    ReadsLeave,
    /// Reads of a group cease to go to another data centre.
    ReadsReturn,
    /// A replica that fails or is slow gets no reads for a while.
    ServerEjected,
    /// An ejected replica gets reads again.
    ServerReadmitted,
    /// A caller exceeded a limit and was rejected or disconnected.
    LimitExceeded,
    /// Messages were not read for want of memory.
    MessagesDelayed,
    /// An unknown client connected to the address of the other VMs.
    PeerRejected,
}

impl Event {
    /// All events, in the order of their numbers.
    pub const ALL: [Event; 55] = [
        Event::Started,
        Event::Draining,
        Event::Stopped,
        Event::Reloaded,
        Event::TaskFailed,
        Event::DirectoryLost,
        Event::DirectoryRegained,
        Event::CatalogActivated,
        Event::ServersChanged,
        Event::EvacuationChanged,
        Event::Unreadable,
        Event::ReaderRoleTaken,
        Event::ReaderRoleLost,
        Event::DirectoryRestored,
        Event::PrimaryChanged,
        Event::FailoverStarted,
        Event::PromotionOrdered,
        Event::FailoverCompleted,
        Event::FailoverAbandoned,
        Event::CoordinatorRoleTaken,
        Event::CoordinatorRoleLost,
        Event::PrimaryDemoted,
        Event::ServersUnlisted,
        Event::ServerEnded,
        Event::Refused,
        Event::Retried,
        Event::InDoubt,
        Event::SessionClosed,
        Event::Served,
        Event::LinesDropped,
        Event::CommitUnproven,
        Event::CommitsMissing,
        Event::Unanswered,
        Event::PeerLinked,
        Event::PeerLost,
        Event::PeerTraffic,
        Event::OrderUnsent,
        Event::FailoversRecalled,
        Event::UsageDecided,
        Event::UsageReported,
        Event::UsageDelayed,
        Event::UsageSkipped,
        Event::UsageLate,
        Event::ServerOverloaded,
        Event::ServerRelieved,
        Event::RetriesDenied,
        Event::ReadsLeave,
        Event::ReadsReturn,
        Event::ServerEjected,
        Event::ServerReadmitted,
        Event::LimitExceeded,
        Event::MessagesDelayed,
        Event::PeerRejected,
        Event::MembersReported,
        Event::FenceLifted,
    ];

    /// Returns the number, level and text of the event.
    pub fn row(self) -> (u16, Level, &'static str) {
        match self {
            Event::Started => (600, Level::Info, "engine started"),
            Event::Draining => (601, Level::Info, "engine draining"),
            Event::Stopped => (602, Level::Info, "engine stopped"),
            Event::Reloaded => (603, Level::Info, "settings read again"),
            Event::TaskFailed => (604, Level::Warning, "task failed"),
            Event::DirectoryLost => (610, Level::Warning, "directory unreachable"),
            Event::DirectoryRegained => (611, Level::Info, "directory reachable again"),
            Event::CatalogActivated => (612, Level::Info, "configuration activated"),
            Event::ServersChanged => (613, Level::Info, "servers changed"),
            Event::EvacuationChanged => (614, Level::Info, "evacuation changed"),
            Event::Unreadable => (615, Level::Warning, "directory entry unreadable"),
            Event::ReaderRoleTaken => (616, Level::Info, "reader role taken"),
            Event::ReaderRoleLost => (617, Level::Info, "reader role lost"),
            Event::DirectoryRestored => (618, Level::Warning, "directory restored"),
            Event::PrimaryChanged => (620, Level::Info, "primary changed"),
            Event::FailoverStarted => (621, Level::Warning, "failover started"),
            Event::PromotionOrdered => (622, Level::Warning, "promotion ordered"),
            Event::FailoverCompleted => (623, Level::Info, "failover completed"),
            Event::FailoverAbandoned => (624, Level::Warning, "failover abandoned"),
            Event::CoordinatorRoleTaken => (625, Level::Info, "coordinator role taken"),
            Event::CoordinatorRoleLost => (626, Level::Info, "coordinator role lost"),
            Event::PrimaryDemoted => (627, Level::Info, "primary asked to step down"),
            Event::ServersUnlisted => (628, Level::Warning, "servers not listed"),
            Event::ServerEnded => (629, Level::Info, "server ended"),
            Event::Refused => (630, Level::Info, "statement refused"),
            Event::Retried => (631, Level::Info, "statement retried"),
            Event::InDoubt => (632, Level::Warning, "write outcome unknown"),
            Event::SessionClosed => (633, Level::Info, "session closed by proxy"),
            Event::Served => (634, Level::Info, "statement served"),
            Event::LinesDropped => (635, Level::Warning, "log lines dropped"),
            Event::CommitUnproven => (636, Level::Warning, "commit not passed on"),
            Event::CommitsMissing => (637, Level::Warning, "acknowledged commits missing"),
            Event::Unanswered => (638, Level::Warning, "request ended without an answer"),
            Event::PeerLinked => (640, Level::Info, "peer connected"),
            Event::PeerLost => (641, Level::Warning, "peer connection lost"),
            Event::PeerTraffic => (642, Level::Info, "peer traffic"),
            Event::OrderUnsent => (643, Level::Warning, "promotion order not sent"),
            Event::FailoversRecalled => (644, Level::Info, "failovers recalled"),
            Event::UsageDecided => (645, Level::Info, "usage decided"),
            Event::UsageReported => (646, Level::Info, "usage reported"),
            Event::UsageDelayed => (647, Level::Warning, "usage report delayed"),
            Event::UsageSkipped => (648, Level::Warning, "usage windows skipped"),
            Event::UsageLate => (649, Level::Warning, "usage counts late"),
            Event::ServerOverloaded => (650, Level::Warning, "server overloaded"),
            Event::ServerRelieved => (651, Level::Info, "server no longer overloaded"),
            Event::RetriesDenied => (652, Level::Warning, "retries denied"),
            Event::ReadsLeave => (654, Level::Info, "reads leave data centre"),
            Event::ReadsReturn => (655, Level::Info, "reads return to data centre"),
            Event::ServerEjected => (656, Level::Warning, "server ejected"),
            Event::ServerReadmitted => (657, Level::Info, "server readmitted"),
            Event::LimitExceeded => (658, Level::Warning, "caller exceeded a limit"),
            Event::MessagesDelayed => (659, Level::Warning, "messages delayed for memory"),
            Event::PeerRejected => (660, Level::Warning, "unknown peer rejected"),
            Event::MembersReported => (662, Level::Info, "servers in failover"),
            Event::FenceLifted => (663, Level::Warning, "fence lifted"),
        }
    }

    fn is_about_request(self) -> bool {
        matches!(self.row().0, 630..=634 | 636 | 638 | 658 | 660)
    }
}

/// Writes events to the log, within the budget for lines about requests.
pub(crate) struct EventLog {
    log: Logger,
    metrics: Metrics,
    budget: RefCell<Budget>,
}

struct Budget {
    lines: f64,
    refilled: Time,
    dropped: u64,
}

impl EventLog {
    /// Creates an event log that writes to `log`.
    pub(crate) fn new(log: Logger, metrics: Metrics) -> Self {
        let budget = Budget { lines: REQUEST_LINES_BURST, refilled: clock::now(), dropped: 0 };
        EventLog { log, metrics, budget: RefCell::new(budget) }
    }

    /// Writes `event` with `fields`, unless the budget for its kind is used up.
    pub(crate) fn record<T>(&self, event: Event, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        if event.is_about_request() && !self.try_spend() {
            self.metrics.dropped_lines.inc();
            return;
        }
        self.write(event, fields);
    }

    /// Logs how many lines were dropped since the last call, if any.
    pub(crate) fn report_dropped(&self) {
        let dropped = std::mem::take(&mut self.budget.borrow_mut().dropped);
        if dropped > 0 {
            self.write(Event::LinesDropped, o!("lines" => dropped));
        }
    }

    fn try_spend(&self) -> bool {
        let mut budget = self.budget.borrow_mut();
        let now = clock::now();
        let gained = now.since(budget.refilled).as_secs_f64() * REQUEST_LINES_PER_SECOND;
        budget.refilled = now;
        budget.lines = (budget.lines + gained).min(REQUEST_LINES_BURST);
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

/// Creates the logger, which writes JSON lines to standard output through a
/// bounded queue.
pub fn logger() -> Logger {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let queue = slog_async::Async::new(json).chan_size(LOG_QUEUE_LINES).build().fuse();
    Logger::root(queue, o!())
}
