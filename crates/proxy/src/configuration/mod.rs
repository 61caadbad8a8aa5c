//! Following the accepted configuration and the list of VMs.
//!
//! The decision is [`ConfigurationState`](chicoryhollow_config::ConfigurationState);
//! an actor carries messages between it, the platform and other VMs.

mod convert;
mod follower;
mod list;
mod seed;

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix::{Actor, Addr};
use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;
use chicoryhollow_store::HttpPlatform;

use self::follower::{Follower, PeerMessage};
use crate::{node::Node, peers::Reply};

/// What the rest of the daemon knows of the follower of the configuration.
#[derive(Debug, Default)]
pub struct FollowerHandle {
    follower: OnceLock<Addr<Follower>>,
    /// When the version in force was last known to be the newest, in
    /// microseconds of the daemon's clock; 0 for never.
    confirmed: AtomicU64,
}

impl FollowerHandle {
    /// Makes the state before the follower starts.
    pub fn new() -> Self {
        FollowerHandle::default()
    }

    /// Returns when the version in force was last known to be the newest.
    fn confirmed(&self) -> Time {
        Time::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    fn confirm(&self, at: Time) {
        self.confirmed.store(at.as_micros(), Ordering::Relaxed);
    }
}

/// Starts to follow the platform and other VMs; returns at once.
pub fn follow(node: &Arc<Node>, platform: HttpPlatform) {
    let follower = Follower::new(Arc::clone(node), platform).start();
    // A daemon starts its follower once.
    drop(node.configuration_follower.follower.set(follower));
}

/// Receives a control message of another VM.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    let Some(follower) = node.configuration_follower.follower.get() else { return };
    follower.do_send(PeerMessage { from: from.clone(), body, reply: reply.clone() });
}

/// Tells whether the configuration in force is older than the settings allow,
/// so that no new work may be taken.
pub(crate) fn is_stale(node: &Node) -> bool {
    let limit = Duration::from_millis(node.settings.limits.stale_configuration_ms);
    !limit.is_zero() && node.clock.now().since(node.configuration_follower.confirmed()) > limit
}
