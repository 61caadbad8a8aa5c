//! Contact with other data centres, as far as messages of their VMs show it.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use chicoryhollow_core::{DataCentreId, Time};

use crate::{
    clock,
    fleet::{Fleet, Link},
};

/// Silence of all other data centres from which on this VM counts as cut off.
const CUT_OFF_SILENCE: Duration = Duration::from_millis(750);

/// Silence of a data centre from which on it is out of contact.
const CONTACT_SILENCE: Duration = Duration::from_millis(800);

/// Time without such silence after which a data centre is in contact again.
const CONTACT_SPAN: Duration = Duration::from_secs(6);

impl Fleet {
    /// Records that a message arrived over `link`.
    pub(super) fn record_received(&self, link: &Link, now: Time) {
        link.update(|liveness| liveness.record_received(now));
        if !link.near.get() {
            self.far_heard.set(now);
        }
    }

    /// Records which data centres are silent, and returns those that were not before. A VM
    /// that hears of no other data centre has lost contact with its own servers as far as
    /// others can tell.
    pub(super) fn record_silence(&self, now: Time) -> Vec<DataCentreId> {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let Some(me) = self.me.borrow().clone() else { return Vec::new() };
        let mut heard: HashMap<&DataCentreId, bool> = HashMap::new();
        for member in members.values() {
            let is_heard = links
                .get(&member.vm)
                .is_some_and(|link| link.liveness.get().silence(now) < CONTACT_SILENCE);
            *heard.entry(&member.data_centre).or_default() |= is_heard;
        }
        heard.remove(&me.data_centre);
        let silent = heard.iter().filter(|(_, is_heard)| !**is_heard);
        let silent: BTreeSet<DataCentreId> = silent.map(|(centre, _)| (*centre).clone()).collect();
        let mut silent_at = self.silent_at.borrow_mut();
        silent_at.extend(silent.iter().map(|centre| (centre.clone(), now)));
        if !heard.is_empty() && silent.len() == heard.len() {
            silent_at.insert(me.data_centre.clone(), now);
        }
        let before = self.silent.replace(silent.clone());
        silent.difference(&before).cloned().collect()
    }

    /// Returns whether other data centres have VMs and nothing arrives from any of them.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.far_silence(clock::now()).is_some_and(|silence| silence >= CUT_OFF_SILENCE)
    }

    /// Returns whether messages of a data centre, or of others if it is this VM's own, have
    /// arrived steadily for longer than an entry of the directory outlives its server.
    pub(crate) fn is_in_contact(&self, data_centre: &DataCentreId, now: Time) -> bool {
        let silent_at = self.silent_at.borrow();
        silent_at.get(data_centre).is_none_or(|at| now.since(*at) >= CONTACT_SPAN)
    }

    /// Returns the time since a message of another data centre arrived, or `None` if no
    /// other one has VMs.
    pub(crate) fn far_silence(&self, now: Time) -> Option<Duration> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let here = &me.as_ref()?.data_centre;
        let has_far = members.values().any(|member| member.data_centre != *here);
        has_far.then(|| now.since(self.far_heard.get()))
    }

    /// Returns whether a data centre has VMs, and none of them was linked or has sent a
    /// message lately.
    pub(crate) fn is_unreachable(&self, data_centre: &DataCentreId) -> bool {
        self.unreachable.borrow().contains(data_centre)
            || self.silent.borrow().contains(data_centre)
    }

    /// Updates the data centres in which no VM is linked.
    pub(crate) fn refresh_unreachable(&self) {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let mut unreachable: BTreeSet<DataCentreId> =
            members.values().map(|member| member.data_centre.clone()).collect();
        for vm in links.keys() {
            if let Some(member) = members.get(vm) {
                unreachable.remove(&member.data_centre);
            }
        }
        if let Some(me) = self.me.borrow().as_ref() {
            unreachable.remove(&me.data_centre);
        }
        self.unreachable.replace(unreachable);
    }
}
