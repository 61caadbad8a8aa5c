//! Live VMs and the roles that follow from them.

use std::{
    collections::HashMap,
    sync::{Arc, RwLock},
};

use chicoryhollow_core::{prelude::*, rank::rank};
use chicoryhollow_store::{Vm, VmState};

use crate::{node::Node, peers::Sign};

/// VMs that may be in charge of one server.
const HOME_CANDIDATES: usize = 3;

/// What this VM knows of the VMs.
#[derive(Debug)]
pub struct Members {
    data_centre: DataCentreId,
    listed: RwLock<Arc<Vec<Vm>>>,
    /// Homes of servers under the present list; ranking costs time with every
    /// VM of a data centre, and each request needs a home.
    homes: RwLock<HashMap<ServerId, Arc<[VmId]>>>,
}

impl Members {
    /// Makes an empty list as seen from `data_centre`.
    pub fn new(data_centre: DataCentreId) -> Self {
        Members { data_centre, listed: RwLock::default(), homes: RwLock::default() }
    }

    /// Replaces the list.
    pub fn replace(&self, vms: Vec<Vm>) {
        *self.listed.write().expect("no thread panics with this lock") = Arc::new(vms);
        // Cleared after the list, so that no home of the old list stays behind.
        self.homes.write().expect("no thread panics with this lock").clear();
    }

    /// Returns the list.
    pub fn vms(&self) -> Arc<Vec<Vm>> {
        Arc::clone(&self.listed.read().expect("no thread panics with this lock"))
    }

    /// Returns the VM of that name, if it is listed.
    pub fn get(&self, vm: &VmId) -> Option<Vm> {
        self.vms().iter().find(|listed| listed.vm == *vm).cloned()
    }

    /// Returns the data centre from which the list is seen.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Returns the VM in charge of `server` in `data_centre`: the first by rank
    /// among the live VMs there, or among all live VMs when it has none.
    pub fn home(&self, data_centre: &DataCentreId, server: &ServerId) -> Option<VmId> {
        self.homes(data_centre, server).first().cloned()
    }

    /// Returns the VMs that may be in charge of `server`, the first by rank in
    /// front; each further one stands in when those before it are down.
    pub fn homes(&self, data_centre: &DataCentreId, server: &ServerId) -> Arc<[VmId]> {
        let known = self.homes.read().expect("no thread panics with this lock");
        if let Some(homes) = known.get(server) {
            return Arc::clone(homes);
        }
        drop(known);
        // The lock is taken before the list is read, so that a newer list
        // clears what an older one leaves here.
        let mut homes = self.homes.write().expect("no thread panics with this lock");
        let ranked = self.rank_homes(data_centre, server);
        homes.insert(server.clone(), Arc::clone(&ranked));
        ranked
    }

    fn rank_homes(&self, data_centre: &DataCentreId, server: &ServerId) -> Arc<[VmId]> {
        let listed = self.vms();
        let live = || listed.iter().filter(|vm| vm.state == VmState::Live);
        let near: Vec<&str> =
            live().filter(|vm| vm.data_centre == *data_centre).map(|vm| vm.vm.as_str()).collect();
        let all = || live().map(|vm| vm.vm.as_str()).collect();
        let candidates = if near.is_empty() { all() } else { near };
        let ranked = rank(&format!("home/{server}"), candidates, HOME_CANDIDATES);
        ranked.into_iter().filter_map(|name| VmId::new(name).ok()).collect()
    }
}

/// Receives a sign of life of another VM.
pub(crate) fn record_sign_of_life(_node: &Arc<Node>, _from: &VmId, _sign: &Sign) {}
