//! Choice of the VMs that watch a group.

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, GroupId, VmId},
    rank::rank,
};

/// Greatest number of VMs that watch one group.
pub const MAX_WATCHERS: usize = 3;

/// A VM that watches a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatcherPlace {
    /// The VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
}

/// Chooses up to [`MAX_WATCHERS`] VMs for `group`, best first.
///
/// Data centres are used in turn, so that the watchers are spread over as many
/// data centres as possible. All VMs that know the same list choose the same
/// watchers.
pub fn choose_watchers(
    group: &GroupId,
    vms: &IndexMap<DataCentreId, Vec<VmId>>,
) -> Vec<WatcherPlace> {
    let role = format!("watcher/{group}");
    let centres: Vec<&DataCentreId> = rank(&role, vms.keys(), vms.len());
    let ranked: Vec<Vec<&VmId>> =
        centres.iter().map(|centre| rank(&role, &vms[*centre], MAX_WATCHERS)).collect();
    let mut places = Vec::with_capacity(MAX_WATCHERS);
    for round in 0..MAX_WATCHERS {
        for (centre, candidates) in centres.iter().zip(&ranked) {
            if let Some(vm) = candidates.get(round) {
                let data_centre = (*centre).clone();
                places.push(WatcherPlace { vm: (*vm).clone(), data_centre });
            }
        }
    }
    places.truncate(MAX_WATCHERS);
    places
}
