//! Everything that the modules of one daemon share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use chicoryhollow_config::{Settings, configuration::Versioned};
use chicoryhollow_core::prelude::*;
use slog::Logger;
use tokio::sync::{self, Notify};

use crate::{
    clock::Clock,
    configuration::{FollowerHandle, is_stale},
    entry::Entry,
    groups::Groups,
    home::Homes,
    members::Members,
    metrics::Metrics,
    peers::Peers,
    shares::Shares,
    watch::Watches,
};

/// The shared state of one daemon.
pub struct Node {
    /// Settings of the daemon.
    pub settings: Settings,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Clock,
    /// Root logger.
    pub log: Logger,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Accepted configuration; version 0 means that none was received yet.
    pub configuration: sync::watch::Sender<Arc<Versioned>>,
    /// Follower of the configuration.
    pub configuration_follower: FollowerHandle,
    /// Live VMs.
    pub members: Members,
    /// Views of the database groups.
    pub groups: Groups,
    /// Backend servers that this VM is in charge of.
    pub homes: Homes,
    /// Connections to other VMs.
    pub peers: Peers,
    /// What the callers of this VM share.
    pub entry: Entry,
    /// Admission by rate.
    pub shares: Shares,
    /// Database groups that this VM watches.
    pub watches: Watches,
    /// Whether the daemon drains.
    draining: AtomicBool,
    drain: Notify,
}

impl Node {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new(settings: Settings, incarnation: Incarnation, log: Logger) -> Arc<Self> {
        Arc::new(Node {
            members: Members::new(settings.data_centre.clone()),
            settings,
            incarnation,
            clock: Clock::new(),
            log,
            metrics: Metrics::new(),
            configuration: sync::watch::Sender::new(Arc::default()),
            configuration_follower: FollowerHandle::new(),
            groups: Groups::new(),
            homes: Homes::new(),
            peers: Peers::new(),
            entry: Entry::new(),
            shares: Shares::new(),
            watches: Watches::new(),
            draining: AtomicBool::new(false),
            drain: Notify::new(),
        })
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Arc<Versioned> {
        Arc::clone(&self.configuration.borrow())
    }

    /// Stops taking new work.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.drain.notify_waiters();
    }

    /// Tells whether the daemon takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Tells whether the daemon takes new work: it has a configuration that is
    /// fresh enough and has its data centre in service, and does not drain.
    pub fn is_accepting_work(&self) -> bool {
        let versioned = self.configuration();
        versioned.configuration.is_in_service(&self.settings.data_centre)
            && !is_stale(self)
            && !self.is_draining()
    }

    /// Waits until the daemon drains.
    pub async fn drain_started(&self) {
        let notified = self.drain.notified();
        if !self.is_draining() {
            notified.await;
        }
    }
}
