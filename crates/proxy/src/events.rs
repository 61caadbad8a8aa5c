//! Numbered log events.
//!
//! Each event has a number, a level and a text. A test compares `docs/EVENTS.md` with
//! [`Event::row`].

use chicoryhollow_config::settings::{Log, LogFormat};
use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};

/// A log event of the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The daemon listens on all its addresses.
    Started,
    /// The daemon has received SIGTERM and drains.
    Draining,
    /// The daemon stops.
    Stopped,
    /// A newer configuration was applied.
    ConfigurationApplied,
    /// The platform stopped answering.
    PlatformUnavailable,
    /// The platform answers again.
    PlatformAvailable,
    /// Another VM offered a configuration that cannot be used.
    ConfigurationRefused,
    /// A group has a new primary.
    PrimaryChanged,
    /// A watcher no longer reaches a primary, or the primary no longer reaches a
    /// majority.
    PrimarySuspected,
    /// A watcher starts to promote a new primary.
    PromotionStarted,
    /// A promotion is complete: the group has a new primary.
    PromotionCompleted,
    /// A promotion was abandoned. Another one may follow.
    PromotionAbandoned,
    /// A connection was closed because of a malformed message.
    MalformedMessage,
    /// A request was refused.
    Refused,
    /// A caller was disconnected for exceeding a limit.
    LimitExceeded,
    /// A peer connection failed.
    PeerLost,
}

impl Event {
    /// All events, in the order of their numbers.
    pub const ALL: [Event; 16] = [
        Event::Started,
        Event::Draining,
        Event::Stopped,
        Event::ConfigurationApplied,
        Event::PlatformUnavailable,
        Event::PlatformAvailable,
        Event::ConfigurationRefused,
        Event::PrimaryChanged,
        Event::PrimarySuspected,
        Event::PromotionStarted,
        Event::PromotionCompleted,
        Event::PromotionAbandoned,
        Event::MalformedMessage,
        Event::Refused,
        Event::LimitExceeded,
        Event::PeerLost,
    ];

    /// Returns the number, level and text of the event.
    pub fn row(self) -> (u16, Level, &'static str) {
        match self {
            Event::Started => (100, Level::Info, "daemon started"),
            Event::Draining => (101, Level::Info, "daemon draining"),
            Event::Stopped => (102, Level::Info, "daemon stopped"),
            Event::ConfigurationApplied => (200, Level::Info, "configuration applied"),
            Event::PlatformUnavailable => (201, Level::Warning, "platform unavailable"),
            Event::PlatformAvailable => (202, Level::Info, "platform available"),
            Event::ConfigurationRefused => (203, Level::Warning, "configuration offer refused"),
            Event::PrimaryChanged => (300, Level::Info, "primary changed"),
            Event::PrimarySuspected => (301, Level::Warning, "primary suspected"),
            Event::PromotionStarted => (302, Level::Info, "promotion started"),
            Event::PromotionCompleted => (303, Level::Info, "promotion completed"),
            Event::PromotionAbandoned => (304, Level::Warning, "promotion abandoned"),
            Event::MalformedMessage => (400, Level::Warning, "malformed message"),
            Event::Refused => (401, Level::Debug, "request refused"),
            Event::LimitExceeded => (402, Level::Info, "caller exceeded a limit"),
            Event::PeerLost => (500, Level::Warning, "peer connection lost"),
        }
    }

    /// Writes the event to `log`, with its number and `fields`.
    pub fn record<T>(self, log: &Logger, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        let (number, level, text) = self.row();
        let log = log.new(fields);
        match level {
            Level::Warning => slog::warn!(log, "{}", text; "event" => number),
            Level::Info => slog::info!(log, "{}", text; "event" => number),
            _ => slog::debug!(log, "{}", text; "event" => number),
        }
    }
}

/// Creates a logger with the format and level of the settings. It writes to standard
/// error.
pub fn logger(settings: &Log) -> Logger {
    let level = settings.level.parse().unwrap_or(Level::Info);
    match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            filtered(drain, level)
        }
        LogFormat::Json => filtered(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// Creates an asynchronous logger that writes events of at least `level` to `drain`.
fn filtered(
    drain: impl Drain<Ok = (), Err = slog::Never> + Send + 'static,
    level: Level,
) -> Logger {
    let drain = drain.filter_level(level).fuse();
    Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
}
