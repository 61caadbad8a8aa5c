//! Messages that carry the counts of usage reports between VMs.
//!
//! A VM sends its own counts to collectors of its data centre. The VM that decides on the
//! reports, and some that may succeed it, ask the collectors for sums. Counts are totals
//! since the start of the sending daemon, so messages may be repeated.

/// Counts of one window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageWindow {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Number of the book in which the operations were counted.
    #[prost(fixed64, tag = "2")]
    pub book: u64,
    /// Names of accounts; empty in a [`UsageReport`].
    #[prost(string, repeated, tag = "3")]
    pub accounts: Vec<String>,
    /// Operations of each of these accounts.
    #[prost(uint64, repeated, tag = "4")]
    pub counts: Vec<u64>,
    /// Numbers of the accounts in a [`UsageReport`].
    #[prost(uint32, repeated, tag = "5")]
    pub numbers: Vec<u32>,
}

/// Operations that the sender has counted itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageReport {
    /// Incarnation of the sending daemon.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Time of day of the sender, in microseconds since the start of 1970.
    #[prost(fixed64, tag = "2")]
    pub time_us: u64,
    /// Counts that have changed.
    #[prost(message, repeated, tag = "3")]
    pub windows: Vec<UsageWindow>,
    /// Distinguishes the numbers of accounts on this connection from earlier ones.
    #[prost(fixed32, tag = "4")]
    pub numbering: u32,
    /// Number of the first of [`UsageReport::names`].
    #[prost(uint32, tag = "5")]
    pub first: u32,
    /// Names of accounts that have not been sent before on this connection.
    #[prost(string, repeated, tag = "6")]
    pub names: Vec<String>,
}

/// Tells the true time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageClock {
    /// True time as the sender knows it, in microseconds since the start of 1970.
    #[prost(fixed64, tag = "1")]
    pub true_us: u64,
    /// Last window that was decided, or 0 if none is known.
    #[prost(uint64, tag = "2")]
    pub decided: u64,
}

/// Asks a collector for its sums.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageAsk {
    /// Incarnation of the collector to which [`UsageAsk::after`] refers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the last change that the sender has received.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// What the sender knows of the time and of the decisions; missing if it does not know
    /// the time.
    #[prost(message, optional, tag = "3")]
    pub clock: Option<UsageClock>,
    /// Whether the sender also asks for sums that the receiver has from other collectors.
    #[prost(bool, tag = "4")]
    pub all: bool,
}

/// Sums of a collector.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageSums {
    /// Incarnation of the collector.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the last change up to which all are included.
    #[prost(uint64, tag = "2")]
    pub last: u64,
    /// Whether there are later changes.
    #[prost(bool, tag = "3")]
    pub has_more: bool,
    /// Sums that have changed.
    #[prost(message, repeated, tag = "4")]
    pub windows: Vec<UsageWindow>,
    /// Number of VMs that told the collector their times of day.
    #[prost(uint32, tag = "5")]
    pub vms: u32,
    /// Quantiles of their times of day, in microseconds since the start of 1970.
    #[prost(fixed64, repeated, tag = "6")]
    pub times_us: Vec<u64>,
    /// Whether these are also sums that the sender has from other collectors.
    #[prost(bool, tag = "7")]
    pub all: bool,
}
