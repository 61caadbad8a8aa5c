//! A VM with its daemon and callers.

use chicoryhollow_core::{
    Position, VmId,
    coordinator::{CoordinatorLease, FailoverMemory},
};

use super::{
    group_view::GroupView,
    row::{Ordering, RowWrite},
    ticks, time,
    watch::Watch,
    world::World,
};

/// Time without a message after which another data centre is silent.
const CONTACT_SILENCE: u32 = ticks(800);

/// Time between two messages that tell what a VM knows of the group.
const TELL_EVERY: u32 = ticks(500);

/// A write that was sent to the primary.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) commit: u8,
    pub(crate) server: usize,
    pub(crate) position: Position,
    pub(crate) sent: u32,
    /// When the primary acknowledged it.
    pub(crate) answered: Option<u32>,
}

/// A VM.
#[derive(Clone, Debug)]
pub(crate) struct Vm {
    pub(crate) lease: CoordinatorLease,
    /// What the coordinator keeps in its row.
    pub(crate) memory: FailoverMemory,
    /// Incarnation of the daemon.
    pub(crate) incarnation: u64,
    pub(crate) view: GroupView,
    pub(crate) watch: Watch,
    /// When the other VM was last heard.
    pub(crate) heard: u32,
    /// When the other VM was last silent for long.
    pub(crate) silent: Option<u32>,
    pub(crate) writes: Vec<Write>,
    /// The write of the coordinator's row that has not ended.
    pub(crate) row_write: Option<RowWrite>,
    /// Orders that wait for the row.
    pub(crate) orderings: Vec<Ordering>,
}

/// Returns the identity of a VM.
pub(crate) fn vm_id(vm: usize) -> VmId {
    format!("vm-{vm}").parse().expect("a valid name")
}

impl Vm {
    pub(crate) fn new(vm: usize, tick: u32) -> Self {
        let incarnation = u64::from(tick) + 1;
        Vm {
            lease: CoordinatorLease::new(vm_id(vm), incarnation, time(tick)),
            memory: FailoverMemory::new(time(tick)),
            incarnation,
            view: GroupView::new(tick),
            watch: Watch::default(),
            heard: tick,
            silent: None,
            writes: Vec::new(),
            row_write: None,
            orderings: Vec::new(),
        }
    }
}

impl World {
    /// Receives what the other VM knows, if a message passes.
    pub(crate) fn hear(&mut self, vm: usize) {
        let other = 1 - vm;
        if self.tick - self.vms[vm].heard >= CONTACT_SILENCE {
            self.vms[vm].silent = Some(self.tick);
        }
        if !self.passes_vms(other, vm) {
            return;
        }
        let (tick, from) = (self.tick, self.vms[other].view.clone());
        let me = &mut self.vms[vm];
        me.heard = tick;
        // News of a failover is told at once.
        me.view.record_failover(from.failover);
        if !tick.is_multiple_of(TELL_EVERY) {
            return;
        }
        if let Some(primary) = from.primary.filter(|_| from.term > me.view.term) {
            me.view.adopt(primary, from.term);
        }
        me.view.acknowledged = me.view.acknowledged.max(from.acknowledged);
    }
}
