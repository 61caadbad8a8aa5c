//! Settings that a daemon needs before it can read the directory.

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_core::{
    DataCentreId, VmId, budget::Limits, failover::ServerTimes, usage::Schedule,
};

/// Settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address on which the daemon accepts callers.
    pub callers: SocketAddr,
    /// Address on which the daemon accepts other VMs.
    pub peers: SocketAddr,
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Times that backend servers keep, if they are known.
    pub server_times: Option<ServerTimes>,
    /// Maximum number of connected callers.
    pub max_callers: usize,
    /// Limits of the memory that is held for callers.
    pub limits: Limits,
    /// Whether the whole fleet starts for the first time, so that no VM knows a newer
    /// configuration than the directory.
    pub first_start: bool,
    /// Whether load decides what a server gets and where reads go: bounded statements, fairness
    /// between accounts, a budget of retries, and placement by reported load. If false, every
    /// decision is made without it.
    pub load_aware: bool,
    /// Number that distinguishes this run of the daemon from earlier ones.
    pub incarnation: u64,
    /// Usage reports, if they are enabled.
    pub usage: Option<UsageSettings>,
}

/// Settings of usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSettings {
    /// Windows, and when their reports are due.
    pub schedule: Schedule,
    /// Greatest accepted error of an account's count, in thousandths of it.
    pub tolerance: u32,
    /// Time for which a VM sends nothing after it has taken the role of the reporter again.
    pub lease: Duration,
}
