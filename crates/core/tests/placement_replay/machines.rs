//! VMs, servers and their homes.

use std::collections::{BTreeMap, VecDeque};

use chicoryhollow_core::{
    ServerId, VmId,
    load::{Loads, Meter, ReportPacer, SentReport},
    placement::Affinity,
    route::Estimates,
    spill::Spill,
};

/// A read and where it runs.
pub(super) struct Read {
    pub(super) vm: usize,
    pub(super) account: usize,
    pub(super) server: usize,
    pub(super) home: usize,
    pub(super) asked: u64,
    pub(super) reached: u64,
    pub(super) work: u64,
}

/// A server and its homes.
pub(super) struct Server {
    pub(super) name: ServerId,
    pub(super) centre: usize,
    pub(super) running: usize,
    pub(super) queue: VecDeque<usize>,
    pub(super) homes: Vec<Home>,
}

/// A VM that holds connections to a server.
pub(super) struct Home {
    pub(super) name: VmId,
    pub(super) meter: Meter,
    pub(super) in_use: usize,
    /// Accounts of idle connections, the longest idle first.
    pub(super) idle: VecDeque<usize>,
    pub(super) pacer: ReportPacer,
    pub(super) sent: BTreeMap<usize, SentReport>,
}

/// A VM at which reads arrive.
pub(super) struct Vm {
    pub(super) centre: usize,
    pub(super) loads: Loads,
    pub(super) affinity: Affinity,
    pub(super) spill: Spill,
    /// Last share that left, and whether it last rose.
    pub(super) last: (f64, bool),
    pub(super) estimates: Estimates,
}
