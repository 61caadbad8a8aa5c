//! Documents of the directory that this VM applies, and restores of the directory.

use std::rc::Rc;

use chicoryhollow_core::{
    DataCentreId,
    document::Acceptance,
    evacuation::RESTORE_GRACE,
    version::{DirectoryVersion, Era},
};
use slog::o;

use super::Engine;
use crate::{
    catalog::{Catalog, ServerEntry},
    clock,
    log::Event,
    relay::Kind,
    seam::{Change, Directory, ServerProtocol},
};

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Applies a change that the directory reported.
    pub(crate) fn apply(self: &Rc<Self>, change: Change) {
        match change {
            Change::Catalog(catalog) => self.accept_catalog(*catalog),
            Change::Evacuated(version, evacuated) => self.apply_evacuated(version, evacuated),
            Change::Servers(version, entries) => self.apply_servers(version, entries),
            Change::Reachable(ok) => self.relay.borrow_mut().record_read(ok, clock::now()),
            Change::Unreadable(key, reason) => {
                self.event_log.record(Event::Unreadable, o!("key" => key, "reason" => reason));
            }
        }
    }

    /// Applies a document that another VM has read.
    pub(crate) fn apply_relayed(
        &self,
        kind: Kind,
        version: u64,
        json: &[u8],
    ) -> Result<(), serde_json::Error> {
        match kind {
            Kind::Catalog => self.activate_catalog(serde_json::from_slice(json)?, "peer"),
            Kind::Evacuated => {
                let version = DirectoryVersion::unpack(version);
                self.apply_evacuated(version, serde_json::from_slice(json)?);
            }
            Kind::Servers => {
                let version = DirectoryVersion::unpack(version);
                self.apply_servers(version, serde_json::from_slice(json)?);
            }
            Kind::Vms => {}
        }
        Ok(())
    }

    fn apply_evacuated(&self, version: DirectoryVersion, listed: Vec<DataCentreId>) {
        self.record_era(version.era());
        let accepted = self.relay.borrow_mut().accept(Kind::Evacuated, version.pack(), &listed);
        if accepted == Acceptance::Old {
            return;
        }
        self.evacuations.borrow_mut().set_listed(listed);
        self.refresh_evacuated();
        if accepted == Acceptance::New {
            self.announce();
        }
    }

    /// Applies the registered servers as the directory lists them.
    pub(crate) fn apply_servers(&self, version: DirectoryVersion, entries: Vec<ServerEntry>) {
        self.record_era(version.era());
        let accepted = self.relay.borrow_mut().accept(Kind::Servers, version.pack(), &entries);
        if accepted == Acceptance::New {
            self.registered.replace(entries);
            self.refresh_servers();
            self.announce();
        }
    }

    /// Activates a configuration if it is newer than the active one.
    pub(crate) fn activate_catalog(&self, catalog: Catalog, source: &'static str) {
        if catalog.version <= self.catalog.borrow().version {
            return;
        }
        let (version, routes) = (catalog.version, catalog.routes.len());
        self.metrics.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let stats = self.relay.borrow().document(Kind::Catalog).fetch_stats(clock::now());
        self.relay.borrow_mut().accept(Kind::Catalog, version, &catalog);
        self.catalog.send_replace(Rc::new(catalog));
        self.event_log.record(
            Event::CatalogActivated,
            o!(
                "version" => version,
                "routes" => routes,
                "source" => source,
                "waited_ms" => stats.waited.as_millis() as u64,
                "requests" => stats.requests,
            ),
        );
        self.announce();
        self.refresh_limits();
    }

    /// Applies the evacuated data centres that are in force now.
    pub(crate) fn refresh_evacuated(&self) {
        let evacuated = self.evacuations.borrow_mut().in_force(clock::now());
        if *self.evacuated.borrow() == evacuated {
            return;
        }
        let list: Vec<_> = evacuated.iter().map(|name| name.as_str().to_owned()).collect();
        self.event_log.record(Event::EvacuationChanged, o!("out" => list.join(",")));
        for group in self.groups() {
            group.borrow_mut().set_evacuated(evacuated.clone());
        }
        self.evacuated.replace(evacuated);
        self.watch_wakeup.notify_one();
    }

    /// Records the era of a version of the directory. A later era tells that the directory
    /// came back from a copy, in which the newest entries are missing until they are written
    /// again.
    pub(crate) fn record_era(&self, era: Era) {
        let before = self.era.get();
        if era <= before {
            return;
        }
        self.era.set(era);
        self.era_known_at.set(clock::now());
        // The first version that a daemon knows tells nothing of a restore.
        if self.has_versions() {
            let now = clock::now();
            self.restored_at.set(Some(now));
            self.regained_at.set(now);
            self.evacuations.borrow_mut().record_restore(now);
            self.event_log
                .record(Event::DirectoryRestored, o!("era" => era.get(), "before" => before.get()));
        }
    }

    /// Returns whether the era of the directory has been known for so long that all that was
    /// missing after its restore has been written again.
    pub(crate) fn is_era_settled(&self) -> bool {
        clock::now().since(self.era_known_at.get()) >= RESTORE_GRACE
    }

    /// Returns whether this VM holds a document with a version of the directory.
    fn has_versions(&self) -> bool {
        let relay = self.relay.borrow();
        [Kind::Evacuated, Kind::Servers].iter().any(|kind| relay.document(*kind).version() > 0)
    }

    /// Returns whether the directory came back from a copy lately, so that rows may be
    /// missing until they are written again.
    pub(crate) fn is_recently_restored(&self) -> bool {
        self.restored_at.get().is_some_and(|at| clock::now().since(at) < RESTORE_GRACE)
    }
}
