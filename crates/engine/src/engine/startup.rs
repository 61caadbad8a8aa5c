//! Start of a daemon: whether the configuration that it reads may be used at once.
//!
//! `chicoryhollow_core::startup` decides. The configuration is held meanwhile.

use std::{future::pending, rc::Rc, time::Duration};

use chicoryhollow_core::{
    Time,
    startup::{ReadVersion, Verdict, judge},
};
use tokio::time::sleep;

use super::Engine;
use crate::{
    catalog::Catalog,
    clock,
    coordinator::reads_settled_era,
    seam::{Directory, ServerProtocol},
};

/// Interval at which a daemon that starts checks whether it may use a configuration.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time to wait for other VMs before the directory is asked whether it is complete. A VM
/// that restarts alone need not ask.
const SETTLED_READ_DELAY: Duration = Duration::from_millis(50);

/// A configuration that was read at the start and is not used yet.
pub(super) struct HeldCatalog {
    catalog: Catalog,
    /// When the first configuration was read.
    since: Time,
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Activates a configuration of the directory, or holds it if other VMs may know a newer
    /// one.
    pub(super) fn accept_catalog(self: &Rc<Self>, catalog: Catalog) {
        if self.catalog().version == 0 && !self.settings.first_start {
            self.hold_catalog(catalog);
        } else {
            self.activate_catalog(catalog, "directory");
        }
    }

    /// Holds a configuration that was read at the start until it may be used.
    fn hold_catalog(self: &Rc<Self>, catalog: Catalog) {
        let mut held = self.held_catalog.borrow_mut();
        match &mut *held {
            Some(held) if catalog.version > held.catalog.version => held.catalog = catalog,
            Some(_) => {}
            None => {
                *held = Some(HeldCatalog { catalog, since: clock::now() });
                actix::spawn(Rc::clone(self).use_held_catalog());
            }
        }
    }

    /// Waits until the held configuration may be used, or a newer one of another VM is.
    async fn use_held_catalog(self: Rc<Self>) {
        let settled = async {
            sleep(SETTLED_READ_DELAY).await;
            if !reads_settled_era(&self).await {
                pending::<()>().await;
            }
        };
        tokio::select! {
            () = settled => {}
            () = self.wait_for_verdict() => {}
        }
        if let Some(held) = self.held_catalog.take() {
            self.activate_catalog(held.catalog, "directory");
        }
    }

    async fn wait_for_verdict(&self) {
        while self.catalog().version == 0 && self.judge_held_catalog() == Verdict::Wait {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    /// Returns the version of the held configuration, or 0 if there is none.
    pub(crate) fn held_version(&self) -> u64 {
        self.held_catalog.borrow().as_ref().map_or(0, |held| held.catalog.version)
    }

    fn judge_held_catalog(&self) -> Verdict {
        let held = self.held_catalog.borrow();
        let Some(HeldCatalog { catalog, since }) = &*held else { return Verdict::Use };
        let read = ReadVersion { version: catalog.version, since: *since };
        judge(read, self.fleet.known_others(), self.fleet.offered_catalogs(), clock::now())
    }
}
