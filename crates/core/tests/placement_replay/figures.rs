//! What a replay showed.

use std::{fmt, time::Duration};

use super::scene::Scene;

/// What a replay showed, without its first seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) answered: u64,
    pub(crate) connects: u64,
    pub(crate) far: u64,
    /// Reads that were sent to a data centre that is cut off.
    pub(crate) across: u64,
    /// Number of VMs, and seconds that count.
    pub(crate) vms: u32,
    pub(crate) seconds: f64,
    /// Changes of direction of the share that leaves, by all VMs.
    pub(crate) turns: u64,
    /// Response times of the callers of each data centre in milliseconds.
    pub(crate) by_centre: Vec<Vec<u64>>,
    pub(crate) report_bytes: u64,
    /// Reads that each server ran.
    pub(crate) work: Vec<u64>,
    /// Response times in milliseconds.
    pub(crate) times: Vec<u64>,
}

impl Figures {
    pub(super) fn new(servers: usize, scene: &Scene) -> Self {
        let by_centre = vec![Vec::new(); scene.servers.len()];
        let (vms, seconds) = (scene.vms as u32, scene.seconds as f64 / 2.0);
        Figures { work: vec![0; servers], by_centre, vms, seconds, ..Figures::default() }
    }

    /// Returns the load of the busiest server as a multiple of the mean.
    pub(crate) fn busiest(&self) -> f64 {
        let total: u64 = self.work.iter().sum();
        let most = self.work.iter().max().copied().unwrap_or_default();
        most as f64 * self.work.len() as f64 / total.max(1) as f64
    }

    /// Returns the share of reads that were answered within `objective`.
    pub(crate) fn in_time(&self, objective: Duration) -> f64 {
        let limit = objective.as_millis() as u64;
        let good = self.times.iter().filter(|time| **time <= limit).count();
        good as f64 / self.times.len().max(1) as f64
    }

    /// Returns the share of the reads of one data centre that were answered within 250 ms.
    pub(crate) fn good(&self, centre: usize) -> f64 {
        let times = &self.by_centre[centre];
        times.iter().filter(|time| **time <= 250).count() as f64 / times.len().max(1) as f64
    }

    /// Returns the share of reads that left their data centre.
    pub(crate) fn far_share(&self) -> f64 {
        self.far as f64 / self.times.len().max(1) as f64
    }

    /// Returns the changes of direction of one VM's share in a minute.
    pub(crate) fn turns_per_minute(&self) -> f64 {
        self.turns as f64 / f64::from(self.vms) * 60.0 / self.seconds
    }

    /// Returns new connections for each read.
    pub(crate) fn connects_per_read(&self) -> f64 {
        self.connects as f64 / self.answered.max(1) as f64
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (busiest, connects) = (self.busiest(), self.connects_per_read());
        let in_time = self.in_time(Duration::from_millis(250));
        write!(
            f,
            "{} answered, {in_time:.4} in 250 ms, busiest {busiest:.2}, {connects:.4} connects \
             per read, {} far, {} report bytes",
            self.answered, self.far, self.report_bytes
        )
    }
}
