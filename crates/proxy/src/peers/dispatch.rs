//! Dispatch of control messages from other VMs to the modules that handle them.
//!
//! The handlers run on the task that reads the connection, so they must not wait. A handler
//! with more work spawns a task and gives it a clone of [`Reply`].

use std::sync::Arc;

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::{Body, Envelope, member::Hello};
use tokio::sync::mpsc;

use crate::{configuration, entry, members, node::Node, shares, watch};

/// A sign of life of another VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SignOfLife {
    /// Incarnation of the daemon that sent it.
    pub incarnation: Incarnation,
    /// Whether that daemon accepts no new work.
    pub leaving: bool,
    /// Version of the configuration that the daemon uses.
    pub version: u64,
}

/// Sends messages back on the connection on which a message was received.
#[derive(Clone, Debug)]
pub struct Reply {
    outgoing: mpsc::Sender<Envelope>,
}

impl Reply {
    /// Creates a reply that writes to the queue of a connection.
    pub(crate) fn new(outgoing: mpsc::Sender<Envelope>) -> Self {
        Reply { outgoing }
    }

    /// Queues a message and returns whether it was queued.
    ///
    /// It is not queued if the connection is closed or its queue is full.
    pub fn send(&self, body: Body) -> bool {
        self.outgoing.try_send(Envelope::new(body)).is_ok()
    }

    /// Returns whether both send on the same connection.
    pub fn is_same(&self, other: &Reply) -> bool {
        self.outgoing.same_channel(&other.outgoing)
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.outgoing.is_closed()
    }
}

/// The VM at the other end of a connection, as given in its [`Hello`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    /// Name of the VM.
    pub(crate) vm: VmId,
    /// Incarnation of its daemon.
    pub(crate) incarnation: Incarnation,
}

impl Peer {
    /// Creates a peer from its first message, or returns `None` if the name is invalid.
    pub(crate) fn new(hello: &Hello) -> Option<Self> {
        let vm = VmId::new(&hello.vm).ok()?;
        Some(Peer { vm, incarnation: Incarnation::new(hello.incarnation) })
    }

    /// Records a sign of life of this peer.
    pub(crate) fn record_sign_of_life(&self, node: &Arc<Node>, leaving: bool, version: u64) {
        let sign = SignOfLife { incarnation: self.incarnation, leaving, version };
        members::record_sign_of_life(node, &self.vm, &sign);
    }
}

/// Passes a message that belongs to no stream to the module that handles it.
pub(crate) fn dispatch(node: &Arc<Node>, from: &Peer, body: Body, reply: &Reply) {
    match body {
        Body::Subscribe(_) | Body::View(_) | Body::Observation(_) | Body::Suspect(_) => {
            watch::receive(node, &from.vm, body, reply);
        }
        Body::ShareAsk(_) | Body::ShareGrant(_) | Body::SlotAsk(_) | Body::SlotAnswer(_) => {
            shares::receive(node, &from.vm, body, reply);
        }
        Body::ConfigurationAsk(_)
        | Body::ConfigurationAnswer(_)
        | Body::MembersAsk(_)
        | Body::MembersAnswer(_) => {
            configuration::receive(node, &from.vm, body, reply);
        }
        Body::Cancel(cancel) => entry::cancel(node, &cancel),
        // Bodies of later protocol versions are ignored.
        _ => {}
    }
}
