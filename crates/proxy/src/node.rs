//! State that the modules of one daemon share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use chicoryhollow_config::{Settings, configuration::Versioned};
use chicoryhollow_core::{budget::Limits, prelude::*};
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
    /// Identifier of this run of the daemon.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Clock,
    /// Root logger.
    pub log: Logger,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Current configuration; version 0 means that none was received yet.
    pub configuration: sync::watch::Sender<Arc<Versioned>>,
    /// Handle of the task that follows the configuration.
    pub configuration_follower: FollowerHandle,
    /// List of VMs.
    pub members: Members,
    /// Views of the database groups.
    pub groups: Groups,
    /// Backend servers whose home is this VM.
    pub homes: Homes,
    /// Connections to other VMs.
    pub peers: Peers,
    /// State that the callers of this VM share.
    pub entry: Entry,
    /// Admission of requests by the rates of their accounts.
    pub shares: Shares,
    /// Database groups that this VM watches.
    pub watches: Watches,
    /// Whether the daemon drains.
    is_draining: AtomicBool,
    /// Notified when the drain starts.
    drain_started: Notify,
}

impl Node {
    /// Creates the state of a daemon before it has received any configuration.
    pub fn new(settings: Settings, incarnation: Incarnation, log: Logger) -> Arc<Self> {
        let memory = settings.limits.memory_mb << 20;
        let limits = Limits::new(memory, settings.limits.callers);
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
            entry: Entry::new(limits),
            shares: Shares::new(),
            watches: Watches::new(),
            is_draining: AtomicBool::new(false),
            drain_started: Notify::new(),
        })
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> Arc<Versioned> {
        Arc::clone(&self.configuration.borrow())
    }

    /// Starts the drain: the daemon accepts no new work from now on.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.drain_started.notify_waiters();
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns whether the daemon accepts new work. It does so if its configuration
    /// is recent enough, the configuration has the daemon's data centre in service,
    /// and the daemon does not drain.
    pub fn is_accepting_work(&self) -> bool {
        let versioned = self.configuration();
        versioned.configuration.is_in_service(&self.settings.data_centre)
            && !is_stale(self)
            && !self.is_draining()
    }

    /// Waits until the drain starts.
    pub async fn drain_started(&self) {
        let notified = self.drain_started.notified();
        if !self.is_draining() {
            notified.await;
        }
    }
}
