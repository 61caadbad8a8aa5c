//! Connections to other VMs.

mod accept;
mod link;
mod remote;
mod serve;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use chicoryhollow_core::prelude::*;

pub use self::{accept::listen, link::Link, remote::RemoteStream};
use crate::node::Node;

/// Links to the VMs that this one talks to, dialled on first use.
#[derive(Default)]
pub struct Peers {
    links: Mutex<HashMap<VmId, Arc<Link>>>,
    streams: AtomicU64,
}

impl Peers {
    /// Makes a set without links.
    pub fn new() -> Self {
        Peers::default()
    }

    /// Returns the link to `vm`, dialling it when there is none that works.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::HomeUnreachable`] when the VM is not listed.
    pub fn link(&self, node: &Arc<Node>, vm: &VmId) -> Result<Arc<Link>, Refusal> {
        let mut links = self.links.lock().expect("no thread panics with this lock");
        if let Some(link) = links.get(vm).filter(|link| link.is_open()) {
            return Ok(Arc::clone(link));
        }
        let listed = node.members.get(vm).ok_or(Refusal::HomeUnreachable)?;
        let link = Link::dial(node, listed);
        links.insert(vm.clone(), Arc::clone(&link));
        Ok(link)
    }

    /// Returns a number for a new stream.
    fn next_stream(&self) -> u64 {
        self.streams.fetch_add(1, Ordering::Relaxed)
    }
}
