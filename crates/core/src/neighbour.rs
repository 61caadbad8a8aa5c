//! Neighbours: the VMs with which a VM exchanges heartbeats.
//!
//! Each VM chooses a few neighbours in its own data centre and a few in others. Two VMs
//! are linked if either has chosen the other, and exactly one of them dials. News about
//! primaries reaches all VMs in a few hops, while the traffic of a VM does not grow with
//! the number of VMs.

use indexmap::IndexSet;

use crate::{
    id::{DataCentreId, VmId},
    rank::rank,
};

/// Number of neighbours that a VM chooses in its own data centre.
const NEAR_NEIGHBOURS: usize = 4;

/// Number of neighbours that a VM chooses in other data centres.
const FAR_NEIGHBOURS: usize = 3;

/// A VM and the data centre that it runs in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Location<'a> {
    /// Name of the VM.
    pub vm: &'a VmId,
    /// Data centre in which it runs.
    pub data_centre: &'a DataCentreId,
}

/// Returns the neighbours that the VM `me` chooses among `all`, which may include itself.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{DataCentreId, VmId, neighbour::{Location, choose_neighbours}};
///
/// let vms: Vec<VmId> = (0..40).map(|i| format!("vm-{i}").parse()).collect::<Result<_, _>>()?;
/// let places: [DataCentreId; 2] = ["a".parse()?, "b".parse()?];
/// let place = |(i, vm)| Location { vm, data_centre: &places[i % 2] };
/// let all: Vec<Location<'_>> = vms.iter().enumerate().map(place).collect();
/// assert_eq!(choose_neighbours(all[0], &all).len(), 7);
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
pub fn choose_neighbours(me: Location<'_>, all: &[Location<'_>]) -> IndexSet<VmId> {
    let others = || all.iter().filter(|place| place.vm != me.vm);
    let near = others().filter(|place| place.data_centre == me.data_centre);
    let far = others().filter(|place| place.data_centre != me.data_centre);
    let near = rank(me.vm.as_str(), near.map(|place| place.vm), NEAR_NEIGHBOURS);
    let far = rank(me.vm.as_str(), far.map(|place| place.vm), FAR_NEIGHBOURS);
    near.into_iter().chain(far).cloned().collect()
}

/// Returns the neighbours in `mine` that the VM `me` dials, where `mine` are the ones it
/// has chosen.
///
/// It dials a neighbour that has not chosen it as well. If both have chosen each other,
/// the VM with the lesser name dials.
pub fn neighbours_to_dial(
    me: Location<'_>,
    mine: &IndexSet<VmId>,
    all: &[Location<'_>],
) -> IndexSet<VmId> {
    let dials = |to: &&Location<'_>| to.vm > me.vm || !choose_neighbours(**to, all).contains(me.vm);
    let neighbours = all.iter().filter(|place| mine.contains(place.vm));
    neighbours.filter(dials).map(|place| place.vm.clone()).collect()
}
