//! The list of VMs, and the homes of backend servers that are computed from it.
//!
//! Every VM computes the home of a backend server from the same list by rendezvous
//! hashing, so VMs with the same list agree without messages.

use std::{
    collections::HashMap,
    sync::{Arc, RwLock},
};

use chicoryhollow_core::{prelude::*, rank::rank};
use chicoryhollow_store::{Vm, VmState};

use crate::{node::Node, peers::SignOfLife};

/// Number of VMs that may be the home of one server.
const HOME_CANDIDATES: usize = 3;

/// The list of VMs.
#[derive(Debug)]
pub struct Members {
    data_centre: DataCentreId,
    listed: RwLock<Arc<Vec<Vm>>>,
    /// Homes of servers under the current list. They are cached because the time to
    /// rank grows with the number of VMs in a data centre, and each request needs a
    /// home.
    homes: RwLock<HashMap<ServerId, Arc<[VmId]>>>,
}

impl Members {
    /// Creates an empty list for a VM in `data_centre`.
    pub fn new(data_centre: DataCentreId) -> Self {
        Members { data_centre, listed: RwLock::default(), homes: RwLock::default() }
    }

    /// Replaces the list.
    pub fn replace(&self, vms: Vec<Vm>) {
        *self.listed.write().expect("no thread panics with this lock") = Arc::new(vms);
        // Cleared after the list is replaced, so that no home of the old list stays
        // in the cache.
        self.homes.write().expect("no thread panics with this lock").clear();
    }

    /// Returns all VMs of the list, in any state.
    pub fn vms(&self) -> Arc<Vec<Vm>> {
        Arc::clone(&self.listed.read().expect("no thread panics with this lock"))
    }

    /// Returns the VM with that name, if it is listed.
    pub fn get(&self, vm: &VmId) -> Option<Vm> {
        self.vms().iter().find(|listed| listed.vm == *vm).cloned()
    }

    /// Returns the data centre of this VM.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Returns the home of `server` in `data_centre`: the first by rank among the
    /// live VMs there, or among all live VMs if the data centre has none.
    pub fn home(&self, data_centre: &DataCentreId, server: &ServerId) -> Option<VmId> {
        self.homes(data_centre, server).first().cloned()
    }

    /// Returns the VMs that may be the home of `server`, ordered by rank. Each one
    /// replaces those before it when they are down.
    pub fn homes(&self, data_centre: &DataCentreId, server: &ServerId) -> Arc<[VmId]> {
        let known = self.homes.read().expect("no thread panics with this lock");
        if let Some(homes) = known.get(server) {
            return Arc::clone(homes);
        }
        drop(known);
        // The lock is taken before the list is read. Homes of an older list are
        // therefore inserted before the newer list clears the cache.
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

/// Receives a sign of life of another VM. Does nothing at present.
pub(crate) fn record_sign_of_life(_node: &Arc<Node>, _from: &VmId, _sign: &SignOfLife) {}
