//! Whom a VM asks for the configuration.

use chicoryhollow_core::{DataCentreId, VmId, rank::rank};
use indexmap::IndexMap;
use rand::{Rng, seq::IndexedRandom};

/// VMs of each data centre that read the platform's row.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// VMs that have the same parent.
pub const FAN_OUT: usize = 8;
/// Name under which VMs are ranked.
const ROLE: &str = "configuration";

/// A live VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
}

/// TreePosition of one VM among the live ones.
///
/// The VMs of a data centre stand in the order of their rank. The first ones
/// read the platform, and each asks the one [`FAN_OUT`] times nearer to them.
#[derive(Debug)]
pub struct TreePosition {
    vm: VmId,
    data_centre: DataCentreId,
    order: Vec<VmId>,
    index: usize,
    remote: Vec<VmId>,
    others: Vec<VmId>,
}

impl TreePosition {
    /// Makes the place of a VM that knows of no other.
    pub fn new(vm: VmId, data_centre: DataCentreId) -> Self {
        let (order, remote, others) = (vec![vm.clone()], Vec::new(), Vec::new());
        TreePosition { vm, data_centre, order, index: 0, remote, others }
    }

    /// Takes in the live VMs; this one counts as live in any case.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let mut centres: IndexMap<DataCentreId, Vec<VmId>> = IndexMap::new();
        self.others.clear();
        for Member { vm, data_centre } in members {
            if vm != self.vm {
                self.others.push(vm.clone());
                centres.entry(data_centre).or_default().push(vm);
            }
        }
        let mut local = centres.swap_remove(&self.data_centre).unwrap_or_default();
        local.push(self.vm.clone());
        self.order = ranked(&local, local.len());
        self.index = self.order.iter().position(|vm| *vm == self.vm).unwrap_or_default();
        self.remote =
            centres.values().flat_map(|vms| ranked(vms, READERS_PER_DATA_CENTRE)).collect();
    }

    /// Tells whether this VM reads the platform's row.
    pub fn is_reader(&self) -> bool {
        self.index < READERS_PER_DATA_CENTRE
    }

    /// Returns the VM that this one asks, or `None` for a reader.
    pub fn parent(&self) -> Option<&VmId> {
        self.index.checked_sub(READERS_PER_DATA_CENTRE).map(|below| &self.order[below / FAN_OUT])
    }

    /// Draws a VM nearer to the platform than this one.
    pub(crate) fn nearer(&self, rng: &mut impl Rng) -> Option<VmId> {
        self.order[..self.index].choose(rng).cloned()
    }

    /// Draws any other VM.
    pub(crate) fn any(&self, rng: &mut impl Rng) -> Option<VmId> {
        self.others.choose(rng).cloned()
    }

    /// Draws a VM of another data centre that reads the platform's row, or any
    /// when there is no other data centre.
    pub(crate) fn remote_reader(&self, rng: &mut impl Rng) -> Option<VmId> {
        self.remote.choose(rng).cloned().or_else(|| self.any(rng))
    }
}

fn ranked(vms: &[VmId], count: usize) -> Vec<VmId> {
    let names: IndexMap<&str, &VmId> = vms.iter().map(|vm| (vm.as_str(), vm)).collect();
    let best = rank(ROLE, names.keys().copied(), count);
    best.into_iter().map(|name| names[name].clone()).collect()
}
