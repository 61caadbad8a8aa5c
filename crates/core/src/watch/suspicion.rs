//! Agreement of several watchers that the primary has failed.
//!
//! One watcher alone may have lost its own connection to the primary. An
//! unreachable primary is therefore replaced only if a second watcher, in
//! another data centre if there is one, cannot reach it either. Watchers that
//! send no observations for a long time do not count.

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, VmId},
    time::Time,
    view::GroupView,
    watch::place::WatcherPlace,
};

/// Time without an answer after which a watcher suspects the primary.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Greatest age at which another watcher's observation supports a suspicion.
pub const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(1_500);
/// Time without an observation after which another watcher no longer counts for
/// agreement.
pub const LOST_WATCHER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The observation that one watcher sends to the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The watcher's current view of the group.
    pub view: GroupView,
    /// Time since the watcher last reached the primary, or since it began to
    /// search for a primary. Zero while no request to the primary has failed.
    pub silence: Duration,
    /// Whether the primary last reported that it reaches a majority.
    pub has_majority: bool,
}

/// An observation of another watcher and the time at which it was received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedObservation {
    pub(crate) observation: Observation,
    pub(crate) at: Time,
}

/// The observations of a group's watchers, as one of them has received them.
#[derive(Debug)]
pub(crate) struct WatcherReports<'a> {
    pub(crate) own: &'a VmId,
    pub(crate) places: &'a [WatcherPlace],
    pub(crate) observations: &'a IndexMap<VmId, ReceivedObservation>,
    /// Time from which a missing observation counts.
    pub(crate) started: Time,
}

impl WatcherReports<'_> {
    /// Returns whether enough watchers, including this one, find that the
    /// primary of `view` has failed.
    ///
    /// Two watchers from two data centres have to agree. Watchers from which
    /// nothing was received for [`LOST_WATCHER_TIMEOUT`] no longer count, so
    /// that the other watchers can act after a data centre has failed. If these
    /// watchers have not failed, the result may be a needless promotion but
    /// never a lost write.
    pub(crate) fn has_agreement(&self, view: &GroupView, now: Time) -> bool {
        let present: Vec<&WatcherPlace> =
            self.places.iter().filter(|place| self.is_present(&place.vm, now)).collect();
        let agreeing: Vec<&WatcherPlace> =
            present.iter().copied().filter(|place| self.agrees_on(&place.vm, view, now)).collect();
        agreeing.len() >= present.len().min(2)
            && count_data_centres(&agreeing) >= count_data_centres(&present).min(2)
    }

    fn is_present(&self, vm: &VmId, now: Time) -> bool {
        let last = self
            .observations
            .get(vm)
            .map_or(self.started, |received| received.at.max(self.started));
        vm == self.own || now.since(last) < LOST_WATCHER_TIMEOUT
    }

    fn agrees_on(&self, vm: &VmId, view: &GroupView, now: Time) -> bool {
        if vm == self.own {
            return true;
        }
        let Some(received) = self.observations.get(vm) else {
            return false;
        };
        let age = now.since(received.at);
        let seen = &received.observation;
        let same = seen.view.term == view.term && seen.view.primary == view.primary;
        let silent = !seen.silence.is_zero() && seen.silence + age >= SUSPICION_TIMEOUT;
        let failed = silent || !seen.has_majority;
        same && failed && age <= MAX_OBSERVATION_AGE
    }
}

fn count_data_centres(places: &[&WatcherPlace]) -> usize {
    places.iter().map(|place| &place.data_centre).collect::<HashSet<&DataCentreId>>().len()
}
