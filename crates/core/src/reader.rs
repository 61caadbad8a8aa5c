//! Which VMs read the directory for the others.
//!
//! In each data centre the VM that ranks first reads. The others take what it has
//! read over the links between VMs, and read themselves only when nobody else has
//! shown for a while to read: one after the other, so that an outage does not make
//! all of them ask.

use std::time::Duration;

use crate::{id::VmId, rank::rank, time::Time};

/// Time after which documents that nobody confirmed are read anew.
const CONFIRMATION: Duration = Duration::from_millis(3_200);

/// Time that each further VM waits longer than the one before it.
const STEP: Duration = Duration::from_millis(100);

/// Longest time that a VM waits for those before it.
const MOST_STEPS: Duration = Duration::from_millis(2_000);

/// How much newer the word of another VM must be than this VM's own reading to
/// show that somebody else reads, too.
const DISTINCT: Duration = Duration::from_millis(150);

/// What one VM knows of who reads the directory.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, reader::Readers};
///
/// let mut readers = Readers::new(Time::default());
/// assert!(readers.is_reader(0, Time::default()), "the first one reads");
/// assert!(!readers.is_reader(3, Time::default()));
/// assert!(readers.is_reader(3, Time::from_millis(3_600)), "nobody else does");
/// readers.record_reads(Some(Time::from_millis(3_500)), None);
/// assert!(!readers.is_reader(3, Time::from_millis(3_600)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Readers {
    /// When somebody else last showed to have read.
    others: Time,
}

impl Readers {
    /// Makes what a VM knows that starts at `now`.
    pub fn new(now: Time) -> Self {
        Readers { others: now }
    }

    /// Takes note of when the newest documents of other VMs were read, and when
    /// this VM itself last read any. Others may only repeat what this VM told.
    pub fn record_reads(&mut self, others: Option<Time>, own: Option<Time>) {
        let distinct = |others: &Time| own.is_none_or(|own| *others > own + DISTINCT);
        self.others = self.others.max(others.filter(distinct).unwrap_or_default());
    }

    /// Tells whether the VM in this `place` among those of its data centre, counted
    /// from 0, reads at `now`.
    pub fn is_reader(&self, place: usize, now: Time) -> bool {
        let turns = u32::try_from(place).unwrap_or(u32::MAX);
        let wait = CONFIRMATION + STEP.saturating_mul(turns).min(MOST_STEPS);
        place == 0 || now.since(self.others) >= wait
    }
}

/// Returns the place of `me` among the VMs of its data centre.
pub fn reader_rank(me: &VmId, vms: &[VmId]) -> usize {
    let ranked = rank("reader", vms, vms.len());
    ranked.iter().position(|vm| *vm == me).unwrap_or_default()
}
