//! Readers: the VMs that read the directory for the others.
//!
//! In each data centre the VM that ranks first reads the directory. The others receive
//! its documents over the links between VMs. Such a VM reads the directory itself only if
//! no other VM has shown for a while that it reads. Each VM waits a little longer than the
//! one ranked before it, so that an outage of the directory does not make all VMs send
//! requests. A VM that has lost its links to all VMs that read waits less long, because a
//! network partition may have left it without any.
//!
//! The VMs that read may all lose the directory in silence, just after a change. The others
//! then believe that they are up to date, and learn of nothing until they read themselves.
//! All waits together therefore stay below the three seconds within which a configuration
//! is in force.

use std::time::Duration;

use crate::{id::VmId, rank::rank, time::Time};

/// Time for which the directory keeps a call open that waits for operators' documents. A
/// reader shows at least this often that it reads.
pub const READ_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time without a known read by another VM after which a VM reads the directory itself. It
/// exceeds [`READ_INTERVAL`] by the time that heartbeats take to tell all VMs of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time to wait before reading after the links to all VMs that read were lost.
const LOST_READER_TIMEOUT: Duration = Duration::from_millis(300);

/// Extra time that a VM waits for each VM that ranks before it.
const WAIT_PER_RANK: Duration = Duration::from_millis(50);

/// Maximum extra time that a VM waits because of its rank.
const MAX_RANK_WAIT: Duration = Duration::from_millis(500);

/// Minimum time by which a reported read must be newer than this VM's own last read to
/// prove that another VM reads the directory too.
const MIN_READ_GAP: Duration = Duration::from_millis(150);

/// What a VM knows about which VMs read the directory.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, reader::Readers};
///
/// let mut readers = Readers::new(Time::default());
/// assert!(readers.is_reader(0, Time::default()), "the first VM reads");
/// assert!(!readers.is_reader(3, Time::default()));
/// assert!(readers.is_reader(3, Time::from_millis(2_200)), "no other VM reads");
/// readers.record_reads(Some(Time::from_millis(2_100)), None);
/// assert!(!readers.is_reader(3, Time::from_millis(2_200)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Readers {
    /// When another VM was last known to have read.
    others: Time,
    /// When the link to the last VM that reads was lost, until another one is linked.
    lost: Option<Time>,
}

impl Readers {
    /// Creates the state of a VM that starts at `now`.
    pub fn new(now: Time) -> Self {
        Readers { others: now, lost: None }
    }

    /// Records when the newest documents of other VMs were read (`others`), and when this
    /// VM itself last read (`own`).
    ///
    /// Other VMs may only report what they received from this one, so their time counts
    /// only if it is clearly newer than `own`.
    pub fn record_reads(&mut self, others: Option<Time>, own: Option<Time>) {
        let distinct = |others: &Time| own.is_none_or(|own| *others > own + MIN_READ_GAP);
        self.others = self.others.max(others.filter(distinct).unwrap_or_default());
    }

    /// Records that the link to a VM that reads was lost, and that no other linked VM reads.
    pub fn record_lost(&mut self, now: Time) {
        self.lost.get_or_insert(now);
    }

    /// Records that a linked VM reads the directory and gets answers.
    pub fn record_linked(&mut self) {
        self.lost = None;
    }

    /// Returns whether the VM with this `rank` in its data centre, counted from 0, reads
    /// the directory at `now`.
    pub fn is_reader(&self, rank: usize, now: Time) -> bool {
        let steps = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = WAIT_PER_RANK.saturating_mul(steps).min(MAX_RANK_WAIT);
        let is_lost = |lost| now.since(lost) >= LOST_READER_TIMEOUT + wait;
        rank == 0 || now.since(self.others) >= READ_TIMEOUT + wait || self.lost.is_some_and(is_lost)
    }
}

/// Returns the rank of `me` among the `vms` of its data centre, counted from 0.
pub fn reader_rank(me: &VmId, vms: &[VmId]) -> usize {
    let ranked = rank("reader", vms, vms.len());
    ranked.iter().position(|vm| *vm == me).unwrap_or_default()
}
