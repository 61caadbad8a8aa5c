//! What is replayed.

/// How reads are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    /// By each VM's own averages.
    Averages,
    /// By reported load.
    Loads,
}

/// Which reads go to other data centres.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Leaving {
    /// None while a near server is usable.
    Never,
    /// All, to the servers that are expected to answer first.
    ByTime,
    /// All, to all servers alike.
    Alike,
    /// All, while near servers are slower by this many milliseconds.
    Above(u64),
    /// By the share of `core::spill`.
    Share,
}

/// What happens in the middle of a replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trouble {
    /// Nothing.
    Calm,
    /// The demand of the first two data centres rises and falls in opposite phase.
    Waves,
    /// The servers of the first data centre take three times as long.
    Slow,
    /// Half of the servers of the first data centre are gone.
    HalfGone,
    /// The first two data centres have 1.5 times as many reads as their servers run.
    TwoFull,
    /// The first data centre is overloaded, and is cut off in the middle.
    Partition,
    /// The first data centre is overloaded, and reports stop in the middle.
    Silence,
}

/// What is replayed.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) rule: Rule,
    pub(crate) leaving: Leaving,
    pub(crate) trouble: Trouble,
    /// Servers of each data centre.
    pub(crate) servers: Vec<usize>,
    pub(crate) vms: usize,
    pub(crate) accounts: usize,
    /// Reads per second.
    pub(crate) rate: f64,
    pub(crate) seconds: u64,
}
