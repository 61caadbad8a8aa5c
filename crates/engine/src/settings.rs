//! Settings that a daemon needs before it can read the directory.

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_core::{DataCentreId, VmId, budget::Limits, failover::ServerTimes};

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
    /// Number that distinguishes this run of the daemon from earlier ones.
    pub incarnation: u64,
}
