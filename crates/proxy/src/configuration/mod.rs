//! The follower of the accepted configuration and of the list of VMs.
//!
//! [`ConfigurationState`](chicoryhollow_config::ConfigurationState) decides which
//! version is the current one. An actor, the follower, passes messages between it, the
//! platform and other VMs.

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

/// Handle of the follower of the configuration for the rest of the daemon.
#[derive(Debug, Default)]
pub struct FollowerHandle {
    follower: OnceLock<Addr<Follower>>,
    /// Time at which the current version was last known to be the newest, in
    /// microseconds of the daemon's clock, or 0 for never.
    confirmed: AtomicU64,
}

impl FollowerHandle {
    /// Creates the handle of a follower that has not started.
    pub fn new() -> Self {
        FollowerHandle::default()
    }

    /// Returns the time at which the current version was last known to be the
    /// newest.
    fn confirmed(&self) -> Time {
        Time::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    fn set_confirmed(&self, at: Time) {
        self.confirmed.store(at.as_micros(), Ordering::Relaxed);
    }
}

/// Starts the follower in the background.
pub fn follow(node: &Arc<Node>, platform: HttpPlatform) {
    let follower = Follower::new(Arc::clone(node), platform).start();
    // This does not fail, because a daemon starts only one follower.
    drop(node.configuration_follower.follower.set(follower));
}

/// Passes a control message of another VM to the follower.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    let Some(follower) = node.configuration_follower.follower.get() else { return };
    follower.do_send(PeerMessage { from: from.clone(), body, reply: reply.clone() });
}

/// Returns whether the current configuration is older than the settings allow. The
/// VM accepts no new work then.
pub(crate) fn is_stale(node: &Node) -> bool {
    let limit = Duration::from_millis(node.settings.limits.stale_configuration_ms);
    !limit.is_zero() && node.clock.now().since(node.configuration_follower.confirmed()) > limit
}
