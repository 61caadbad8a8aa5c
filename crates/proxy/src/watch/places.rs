//! The VMs that watch each group.
//!
//! They are chosen again only after the configuration or the list of VMs has
//! changed.

use std::sync::Arc;

use chicoryhollow_config::configuration::Versioned;
use chicoryhollow_core::{
    prelude::*,
    watch::{WatcherPlace, choose_watchers},
};
use chicoryhollow_store::{Vm, VmState};
use indexmap::IndexMap;

/// The watchers of all configured groups.
#[derive(Debug, Default)]
pub(super) struct Places {
    version: u64,
    vms: Arc<Vec<Vm>>,
    groups: IndexMap<GroupId, Vec<WatcherPlace>>,
}

impl Places {
    /// Chooses the watchers again if the configuration or the list of VMs has
    /// changed. Returns whether they were chosen again.
    pub(super) fn refresh(&mut self, versioned: &Versioned, vms: &Arc<Vec<Vm>>) -> bool {
        let same_list = Arc::ptr_eq(&self.vms, vms) || *self.vms == **vms;
        if self.version == versioned.version && same_list {
            return false;
        }
        self.version = versioned.version;
        self.vms = Arc::clone(vms);
        let live = live(vms);
        let groups = versioned.configuration.groups.keys();
        self.groups = groups.map(|group| (group.clone(), choose_watchers(group, &live))).collect();
        true
    }

    /// Returns the watchers of `group`, best first.
    pub(super) fn of(&self, group: &GroupId) -> &[WatcherPlace] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// Returns whether `vm` watches `group`.
    pub(super) fn is_watcher(&self, group: &GroupId, vm: &VmId) -> bool {
        self.of(group).iter().any(|place| place.vm == *vm)
    }

    /// Returns all groups with their watchers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&GroupId, &[WatcherPlace])> {
        self.groups.iter().map(|(group, places)| (group, places.as_slice()))
    }
}

fn live(vms: &[Vm]) -> IndexMap<DataCentreId, Vec<VmId>> {
    let mut live: IndexMap<DataCentreId, Vec<VmId>> = IndexMap::new();
    for vm in vms.iter().filter(|vm| vm.state == VmState::Live) {
        live.entry(vm.data_centre.clone()).or_default().push(vm.vm.clone());
    }
    live
}
