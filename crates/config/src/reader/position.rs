//! The position of a VM in the tree by which versions are distributed.

use chicoryhollow_core::{DataCentreId, VmId, rank::rank};
use indexmap::IndexMap;
use rand::{Rng, seq::IndexedRandom};

/// Number of VMs of each data centre that read the platform's row.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Maximum number of VMs that have the same parent.
pub const FAN_OUT: usize = 8;
/// Name of the role for which VMs are ranked; their rank depends on it.
const ROLE: &str = "configuration";

/// A live VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
}

/// The position of one VM in the tree of live VMs of its data centre.
///
/// The VMs of a data centre are ordered by their rank. The first
/// [`READERS_PER_DATA_CENTRE`] read the platform's row. Each of the others has a
/// parent whose index is about [`FAN_OUT`] times lower than its own, so that the
/// tree is shallow and no VM has more than [`FAN_OUT`] children.
#[derive(Debug)]
pub struct TreePosition {
    vm: VmId,
    data_centre: DataCentreId,
    /// Live VMs of this data centre by rank, best first.
    order: Vec<VmId>,
    /// Index of this VM in `order`.
    index: usize,
    /// VMs that read the platform's row in other data centres.
    remote: Vec<VmId>,
    /// All other live VMs, of all data centres.
    others: Vec<VmId>,
}

impl TreePosition {
    /// Creates the position of a VM that knows no other VM.
    pub fn new(vm: VmId, data_centre: DataCentreId) -> Self {
        let (order, remote, others) = (vec![vm.clone()], Vec::new(), Vec::new());
        TreePosition { vm, data_centre, order, index: 0, remote, others }
    }

    /// Sets the live VMs; this one always counts as live.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let mut data_centres: IndexMap<DataCentreId, Vec<VmId>> = IndexMap::new();
        self.others.clear();
        for Member { vm, data_centre } in members {
            if vm != self.vm {
                self.others.push(vm.clone());
                data_centres.entry(data_centre).or_default().push(vm);
            }
        }
        let mut local = data_centres.swap_remove(&self.data_centre).unwrap_or_default();
        local.push(self.vm.clone());
        self.order = rank_vms(&local, local.len());
        self.index = self.order.iter().position(|vm| *vm == self.vm).unwrap_or_default();
        self.remote =
            data_centres.values().flat_map(|vms| rank_vms(vms, READERS_PER_DATA_CENTRE)).collect();
    }

    /// Returns whether this VM reads the platform's row.
    pub fn is_reader(&self) -> bool {
        self.index < READERS_PER_DATA_CENTRE
    }

    /// Returns the VM that this one asks, or `None` if it reads the row itself.
    pub fn parent(&self) -> Option<&VmId> {
        self.index.checked_sub(READERS_PER_DATA_CENTRE).map(|below| &self.order[below / FAN_OUT])
    }

    /// Picks a random VM with a lower index than this one.
    pub(crate) fn pick_upstream(&self, rng: &mut impl Rng) -> Option<VmId> {
        self.order[..self.index].choose(rng).cloned()
    }

    /// Picks a random other VM.
    pub(crate) fn pick_any(&self, rng: &mut impl Rng) -> Option<VmId> {
        self.others.choose(rng).cloned()
    }

    /// Picks a random VM of another data centre that reads the platform's row, or
    /// any VM if there is no other data centre.
    pub(crate) fn pick_remote_reader(&self, rng: &mut impl Rng) -> Option<VmId> {
        self.remote.choose(rng).cloned().or_else(|| self.pick_any(rng))
    }
}

fn rank_vms(vms: &[VmId], count: usize) -> Vec<VmId> {
    let names: IndexMap<&str, &VmId> = vms.iter().map(|vm| (vm.as_str(), vm)).collect();
    let best = rank(ROLE, names.keys().copied(), count);
    best.into_iter().map(|name| names[name].clone()).collect()
}
