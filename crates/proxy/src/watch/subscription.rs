//! Subscriptions of this VM to the views of groups that it does not watch.

use std::{collections::HashMap, time::Duration};

use chicoryhollow_core::{
    pace::{ByteRate, Pace},
    prelude::*,
    watch::WatcherPlace,
};

/// Time between two renewals. It grows with the number of subscriptions.
const RENEWAL_PACE: Pace = Pace::new(Duration::from_millis(500), Duration::from_secs(30))
    .with_cost(RENEWAL_BYTES, ByteRate::new(300));

/// Bytes on the network of a renewal and of the view that answers it.
const RENEWAL_BYTES: u32 = 200;

/// Time without an answer to a renewal after which the next watcher is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(750);

/// Time without use of a group after which its subscription ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The subscription to one group.
#[derive(Debug)]
struct Subscription {
    watcher: Option<VmId>,
    requested: Option<Time>,
    received: Option<Time>,
    is_urgent: bool,
    used: Time,
}

/// Subscriptions by group.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    groups: HashMap<GroupId, Subscription>,
}

impl Subscriptions {
    /// Records that `group` is in use, and subscribes to it if necessary.
    pub(super) fn record_use(&mut self, group: &GroupId, now: Time) {
        let new = Subscription {
            watcher: None,
            requested: None,
            received: None,
            is_urgent: true,
            used: now,
        };
        self.groups.entry(group.clone()).or_insert(new).used = now;
    }

    /// Records that `vm` sent a view of `group`.
    pub(super) fn record_view(&mut self, group: &GroupId, vm: &VmId, now: Time) {
        if let Some(found) = self.groups.get_mut(group)
            && found.watcher.as_ref() == Some(vm)
        {
            found.received = Some(now);
        }
    }

    /// Marks the next renewal of `group` as due immediately.
    pub(super) fn renew_now(&mut self, group: &GroupId) {
        if let Some(found) = self.groups.get_mut(group) {
            found.is_urgent = true;
        }
    }

    /// Removes groups that are no longer in use and those for which `watched`
    /// returns true.
    pub(super) fn retain(&mut self, now: Time, watched: impl Fn(&GroupId) -> bool) {
        self.groups.retain(|group, found| now.since(found.used) < IDLE_TIMEOUT && !watched(group));
    }

    /// Returns the groups whose renewal is due, each with the watcher to ask.
    pub(super) fn due_renewals(
        &mut self,
        now: Time,
        places: impl Fn(&GroupId) -> Vec<WatcherPlace>,
        here: &DataCentreId,
    ) -> Vec<(GroupId, VmId)> {
        let interval = RENEWAL_PACE.interval(self.groups.len());
        let mut due = Vec::new();
        for (group, found) in &mut self.groups {
            if found.is_due(now, interval) {
                found.choose_watcher(now, places(group), here);
                due.extend(found.watcher.clone().map(|watcher| (group.clone(), watcher)));
            }
        }
        due
    }
}

impl Subscription {
    fn is_due(&self, now: Time, interval: Duration) -> bool {
        let Some(requested) = self.requested else { return true };
        let since = now.since(requested);
        let overdue = self.is_unanswered() && since >= ANSWER_TIMEOUT;
        overdue || since >= interval || self.is_urgent
    }

    fn is_unanswered(&self) -> bool {
        self.requested
            .is_some_and(|requested| self.received.is_none_or(|received| received < requested))
    }

    /// Keeps the current watcher if it answers, or else chooses the next one. Watchers
    /// in the same data centre come first.
    fn choose_watcher(&mut self, now: Time, mut places: Vec<WatcherPlace>, here: &DataCentreId) {
        places.sort_by_key(|place| place.data_centre != *here);
        let current = places.iter().position(|p| Some(&p.vm) == self.watcher.as_ref());
        let timed_out = self.is_unanswered()
            && self.requested.is_some_and(|requested| now.since(requested) >= ANSWER_TIMEOUT);
        let next = match current {
            Some(index) if timed_out => (index + 1) % places.len(),
            Some(index) => index,
            None => 0,
        };
        // A watcher that has not answered yet keeps its deadline if it is asked again
        // early.
        if !self.is_unanswered() || timed_out || current.is_none() {
            self.requested = Some(now);
        }
        self.watcher = places.get(next).map(|place| place.vm.clone());
        self.is_urgent = false;
    }
}
