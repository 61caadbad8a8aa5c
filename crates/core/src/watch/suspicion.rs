//! Whether the primary has failed, as several watchers see it.

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, VmId},
    time::Time,
    view::GroupView,
    watch::place::WatcherPlace,
};

/// Silence after which a watcher suspects the primary.
pub const SUSPECT: Duration = Duration::from_millis(1_000);
/// Age up to which another watcher's observation supports a suspicion.
pub const FRESH_OBSERVATION: Duration = Duration::from_millis(1_500);
/// Silence after which another watcher no longer counts for agreement.
pub const LOST_WATCHER: Duration = Duration::from_millis(4_000);

/// What one watcher tells the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// What the watcher believes of the group.
    pub view: GroupView,
    /// Time since it last reached the primary, or since it began to look for one;
    /// zero while no question to the primary has failed.
    pub silence: Duration,
    /// Whether the primary last said that it reaches a majority.
    pub has_majority: bool,
}

/// An observation with the time at which it arrived.
#[derive(Clone, Debug)]
pub(crate) struct Heard {
    pub(crate) observation: Observation,
    pub(crate) at: Time,
}

/// The watchers of a group as one of them sees them.
#[derive(Debug)]
pub(crate) struct Panel<'a> {
    pub(crate) own: &'a VmId,
    pub(crate) places: &'a [WatcherPlace],
    pub(crate) heard: &'a IndexMap<VmId, Heard>,
    pub(crate) started: Time,
}

impl Panel<'_> {
    /// Tells whether enough watchers find the primary of `view` unreachable,
    /// this one included.
    ///
    /// Two watchers from two data centres have to agree. Watchers that have
    /// been silent for [`LOST_WATCHER`] no longer count, so that the survivors
    /// of a failed data centre can act; a wrong guess costs a needless
    /// promotion and never a write.
    pub(crate) fn agrees(&self, view: &GroupView, now: Time) -> bool {
        let present: Vec<&WatcherPlace> =
            self.places.iter().filter(|place| self.is_present(&place.vm, now)).collect();
        let concurring: Vec<&WatcherPlace> =
            present.iter().copied().filter(|place| self.concurs(&place.vm, view, now)).collect();
        concurring.len() >= present.len().min(2) && spread(&concurring) >= spread(&present).min(2)
    }

    fn is_present(&self, vm: &VmId, now: Time) -> bool {
        let last = self.heard.get(vm).map_or(self.started, |heard| heard.at.max(self.started));
        vm == self.own || now.since(last) < LOST_WATCHER
    }

    fn concurs(&self, vm: &VmId, view: &GroupView, now: Time) -> bool {
        if vm == self.own {
            return true;
        }
        let Some(heard) = self.heard.get(vm) else {
            return false;
        };
        let age = now.since(heard.at);
        let seen = &heard.observation;
        let same = seen.view.term == view.term && seen.view.primary == view.primary;
        let silent = !seen.silence.is_zero() && seen.silence + age >= SUSPECT;
        let failed = silent || !seen.has_majority;
        same && failed && age <= FRESH_OBSERVATION
    }
}

fn spread(places: &[&WatcherPlace]) -> usize {
    places.iter().map(|place| &place.data_centre).collect::<HashSet<&DataCentreId>>().len()
}
