//! A VM with its daemon and callers.

use chicoryhollow_core::{
    Position, VmId,
    coordinator::{CoordinatorLease, FailoverMemory},
};

use super::{
    group_view::GroupView,
    row::{Ordering, RowWrite},
    time,
    watch::Watch,
};

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
    /// When each VM was last heard.
    pub(crate) heard: Vec<u32>,
    /// When the other data centre was last silent for long.
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
    /// Creates one of `count` VMs.
    pub(crate) fn new(vm: usize, tick: u32, count: usize) -> Self {
        let incarnation = u64::from(tick) + 1;
        Vm {
            lease: CoordinatorLease::new(vm_id(vm), incarnation, time(tick)),
            memory: FailoverMemory::new(time(tick)),
            incarnation,
            view: GroupView::new(tick),
            watch: Watch::default(),
            heard: vec![tick; count],
            silent: None,
            writes: Vec::new(),
            row_write: None,
            orderings: Vec::new(),
        }
    }
}
