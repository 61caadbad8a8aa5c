//! Subscriptions of this VM to the views of groups that it does not watch.

use std::{collections::HashMap, time::Duration};

use chicoryhollow_core::{
    pace::{ByteRate, Pace},
    prelude::*,
    watch::WatcherPlace,
};

/// Time between two renewals, stretched when there are many subscriptions.
const RENEWAL: Pace = Pace::new(Duration::from_millis(500), Duration::from_secs(30))
    .with_cost(RENEWAL_BYTES, ByteRate::new(300));

/// Bytes of a renewal and of the view that answers it.
const RENEWAL_BYTES: u32 = 200;

/// Silence after a renewal at which the next watcher is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(750);

/// Time without use after which a group is followed no more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The subscription to one group.
#[derive(Debug)]
struct Subscription {
    watcher: Option<VmId>,
    asked: Option<Time>,
    heard: Option<Time>,
    renew: bool,
    used: Time,
}

/// Subscriptions by group.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    groups: HashMap<GroupId, Subscription>,
}

impl Subscriptions {
    /// Notes that `group` is in use.
    pub(super) fn used(&mut self, group: &GroupId, now: Time) {
        let made = Subscription { watcher: None, asked: None, heard: None, renew: true, used: now };
        self.groups.entry(group.clone()).or_insert(made).used = now;
    }

    /// Notes a view that `vm` sent.
    pub(super) fn heard(&mut self, group: &GroupId, vm: &VmId, now: Time) {
        if let Some(found) = self.groups.get_mut(group)
            && found.watcher.as_ref() == Some(vm)
        {
            found.heard = Some(now);
        }
    }

    /// Makes the next renewal of `group` due at once.
    pub(super) fn hurry(&mut self, group: &GroupId) {
        if let Some(found) = self.groups.get_mut(group) {
            found.renew = true;
        }
    }

    /// Forgets groups out of use and those for which `watched` holds.
    pub(super) fn retain(&mut self, now: Time, watched: impl Fn(&GroupId) -> bool) {
        self.groups.retain(|group, found| now.since(found.used) < IDLE_TIMEOUT && !watched(group));
    }

    /// Returns the watchers that are to be asked now.
    pub(super) fn due(
        &mut self,
        now: Time,
        places: impl Fn(&GroupId) -> Vec<WatcherPlace>,
        here: &DataCentreId,
    ) -> Vec<(GroupId, VmId)> {
        let interval = RENEWAL.interval(self.groups.len());
        let mut due = Vec::new();
        for (group, found) in &mut self.groups {
            if found.is_due(now, interval) {
                found.choose(now, places(group), here);
                due.extend(found.watcher.clone().map(|watcher| (group.clone(), watcher)));
            }
        }
        due
    }
}

impl Subscription {
    fn is_due(&self, now: Time, interval: Duration) -> bool {
        let Some(asked) = self.asked else { return true };
        let since = now.since(asked);
        let waits = self.is_unanswered() && since >= ANSWER_TIMEOUT;
        waits || since >= interval || self.renew
    }

    fn is_unanswered(&self) -> bool {
        self.asked.is_some_and(|asked| self.heard.is_none_or(|heard| heard < asked))
    }

    /// Keeps the watcher that answers, and turns to the next one otherwise.
    fn choose(&mut self, now: Time, mut places: Vec<WatcherPlace>, here: &DataCentreId) {
        places.sort_by_key(|place| place.data_centre != *here);
        let present = places.iter().position(|p| Some(&p.vm) == self.watcher.as_ref());
        let silent = self.is_unanswered()
            && self.asked.is_some_and(|asked| now.since(asked) >= ANSWER_TIMEOUT);
        let next = match present {
            Some(index) if silent => (index + 1) % places.len(),
            Some(index) => index,
            None => 0,
        };
        // An unanswered watcher keeps its deadline when it is asked again early.
        if !self.is_unanswered() || silent || present.is_none() {
            self.asked = Some(now);
        }
        self.watcher = places.get(next).map(|place| place.vm.clone());
        self.renew = false;
    }
}
