//! Choice of the VMs that watch a group.

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, GroupId, VmId},
    rank::rank,
};

/// VMs that watch one group.
pub const WATCHERS: usize = 3;

/// A VM that watches a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatcherPlace {
    /// The VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
}

/// Chooses up to [`WATCHERS`] VMs for `group`, best first.
///
/// Data centres take turns, so that the choice spans as many of them as it can.
pub fn choose_watchers(
    group: &GroupId,
    vms: &IndexMap<DataCentreId, Vec<VmId>>,
) -> Vec<WatcherPlace> {
    let role = format!("watcher/{group}");
    let centres: Vec<&DataCentreId> = rank(&role, vms.keys(), vms.len());
    let ranked: Vec<Vec<&VmId>> =
        centres.iter().map(|centre| rank(&role, &vms[*centre], WATCHERS)).collect();
    let mut places = Vec::with_capacity(WATCHERS);
    for round in 0..WATCHERS {
        for (centre, candidates) in centres.iter().zip(&ranked) {
            if let Some(vm) = candidates.get(round) {
                let data_centre = (*centre).clone();
                places.push(WatcherPlace { vm: (*vm).clone(), data_centre });
            }
        }
    }
    places.truncate(WATCHERS);
    places
}
