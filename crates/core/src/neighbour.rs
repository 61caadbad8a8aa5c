//! Which VMs tell each other what they believe.
//!
//! Each VM chooses a few neighbours of its own data centre and a few of others. Two
//! VMs of which either has chosen the other are linked, and exactly one of the two
//! dials. Beliefs reach all VMs in a few steps, and what a VM sends does not grow
//! with the number of VMs.

use indexmap::IndexSet;

use crate::{
    id::{DataCentreId, VmId},
    rank::rank,
};

/// Neighbours that a VM chooses in its own data centre.
const NEAR: usize = 4;

/// Neighbours that a VM chooses in other data centres.
const FAR: usize = 3;

/// A VM and where it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Location<'a> {
    /// Name of the VM.
    pub vm: &'a VmId,
    /// Data centre in which it runs.
    pub data_centre: &'a DataCentreId,
}

/// Returns the neighbours that the VM at `me` chooses among `all`.
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
    let near = rank(me.vm.as_str(), near.map(|place| place.vm), NEAR);
    let far = rank(me.vm.as_str(), far.map(|place| place.vm), FAR);
    near.into_iter().chain(far).cloned().collect()
}

/// Returns those of the neighbours in `mine`, chosen by the VM at `me`, that it
/// dials: those that have not chosen it as well, or whose names sort behind its own.
pub fn neighbours_to_dial(
    me: Location<'_>,
    mine: &IndexSet<VmId>,
    all: &[Location<'_>],
) -> IndexSet<VmId> {
    let dials = |place: &&Location<'_>| {
        place.vm > me.vm || !choose_neighbours(**place, all).contains(me.vm)
    };
    let neighbours = all.iter().filter(|place| mine.contains(place.vm));
    neighbours.filter(dials).map(|place| place.vm.clone()).collect()
}
