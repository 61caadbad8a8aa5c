//! The lists of VMs of the data centres that this VM deals with.

use std::{collections::BTreeSet, sync::Arc};

use chicoryhollow_config::configuration::Versioned;
use chicoryhollow_core::{listing::ListSchedule, prelude::*};
use chicoryhollow_platform::{Listing, Vm};
use indexmap::IndexMap;
use rand::Rng;

/// The last list of each data centre and the tag that names it.
#[derive(Debug)]
pub(super) struct Lists {
    schedule: ListSchedule,
    known: IndexMap<DataCentreId, (String, Vec<Vm>)>,
}

impl Lists {
    /// Makes lists that follow only the data centre `own`.
    pub(super) fn new(own: DataCentreId) -> Self {
        Lists { schedule: ListSchedule::new(own), known: IndexMap::new() }
    }

    /// Follows the data centres of a configuration.
    pub(super) fn follow(&mut self, versioned: &Arc<Versioned>) {
        let configuration = &versioned.configuration;
        let servers = configuration.groups.values().flat_map(|group| group.servers.values());
        let homes = servers.map(|server| server.data_centre.clone());
        let names: BTreeSet<_> = configuration.data_centres.keys().cloned().chain(homes).collect();
        self.schedule.follow(names);
    }

    /// Returns the data centres whose list is due, each with the known tag.
    pub(super) fn due(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(DataCentreId, String)> {
        let vms = self.known.values().map(|(_, vms)| vms.len()).sum();
        let due = self.schedule.due(now, vms, rng).into_iter();
        due.map(|name| {
            let tag = self.known.get(&name).map(|(tag, _)| tag.clone()).unwrap_or_default();
            (name, tag)
        })
        .collect()
    }

    /// Takes an answer over; returns all known VMs when they changed.
    pub(super) fn answered(&mut self, name: DataCentreId, listing: Listing) -> Option<Vec<Vm>> {
        let Listing::Changed { tag, vms } = listing else { return None };
        self.known.insert(name, (tag, vms));
        Some(self.known.values().flat_map(|(_, vms)| vms.iter().cloned()).collect())
    }
}
