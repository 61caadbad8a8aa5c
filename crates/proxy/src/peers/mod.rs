//! Connections to other VMs.

mod accept;
mod dispatch;
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
use chicoryhollow_peer::Body;

pub(crate) use self::link::hello;
pub use self::{
    accept::listen,
    dispatch::{Reply, Sign},
    link::Link,
    remote::RemoteStream,
};
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

    /// Sends a message that belongs to no stream to `vm`, dialling it when
    /// needed; returns whether the message was queued.
    ///
    /// What the VM answers arrives at the receiver of the module concerned.
    pub fn send(&self, node: &Arc<Node>, vm: &VmId, body: Body) -> bool {
        self.link(node, vm).is_ok_and(|link| link.try_send(body))
    }

    /// Returns a number for a new stream.
    fn next_stream(&self) -> u64 {
        self.streams.fetch_add(1, Ordering::Relaxed)
    }
}
