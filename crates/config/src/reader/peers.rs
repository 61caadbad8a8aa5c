//! Handles requests and offers of other VMs.

use std::time::Duration;

use chicoryhollow_core::{Time, VmId};
use indexmap::IndexMap;

use super::{Action, CHILD_TIMEOUT, Child, ConfigurationState, MAX_CHILDREN, Offer, OfferError};

impl ConfigurationState {
    /// Handles the request of another VM for a version newer than `version`.
    ///
    /// The request is answered with an offer, and for some seconds that VM also gets
    /// new versions as they arrive. If that VM has a newer version than this one,
    /// this one asks it in turn. A VM without a configuration does not answer.
    pub fn handle_ask(&mut self, from: VmId, version: u64, now: Time) -> Vec<Action> {
        let Some(held) = &self.held else {
            return Vec::new();
        };
        let present = held.versioned.version;
        let mut actions = Vec::new();
        if version > present && !self.pending_asks.contains_key(&from) {
            self.ask(from.clone(), now, &mut actions);
        }
        actions.push(Action::Send(from.clone(), self.offer(version, now)));
        if self.children.len() < MAX_CHILDREN || self.children.contains_key(&from) {
            let child = Child { version: version.max(present), expires: now + CHILD_TIMEOUT };
            self.children.insert(from, child);
        }
        actions
    }

    /// Handles an offer of another VM.
    ///
    /// # Errors
    ///
    /// Returns the reason why an offer of a newer version was not accepted.
    pub fn handle_offer(
        &mut self,
        from: &VmId,
        offer: &Offer,
        now: Time,
    ) -> Result<Vec<Action>, OfferError> {
        let asked = self.pending_asks.swap_remove(from);
        if Some(from) == self.position.parent() || self.pending_asks.is_empty() {
            self.misses = 0;
            self.pending_asks.clear();
        }
        let actions = if offer.version() > self.version() {
            self.accept(offer, now)?
        } else {
            self.activate_if_ready(now).into_iter().collect()
        };
        // The age was measured when the answer was sent, which was not before
        // the oldest request to which it may belong. Counted back from that
        // request, the age can only make the version seem older than it is.
        if let (Some(asked), Some(age)) = (asked, offer.age())
            && offer.version() >= self.version()
        {
            self.confirm_with_age(asked, age);
        }
        Ok(actions)
    }

    /// Offers the held version to the VMs that have asked and have an older one.
    pub(super) fn offer_to_children(&mut self, now: Time) -> Vec<Action> {
        let version = self.version();
        let behind: Vec<_> = self
            .children
            .iter()
            .filter(|(_, child)| child.version < version && child.expires > now)
            .map(|(vm, child)| (vm.clone(), child.version))
            .collect();
        let mut offers = IndexMap::new();
        let mut actions = Vec::new();
        for (vm, base) in behind {
            let offer = offers.entry(base).or_insert_with(|| self.offer(base, now));
            actions.push(Action::Send(vm, offer.clone()));
        }
        self.children.values_mut().for_each(|child| child.version = version);
        actions
    }

    /// Creates the offer for a VM that holds `version`.
    fn offer(&self, version: u64, now: Time) -> Offer {
        let held = self.held.as_ref().expect("only a VM with a configuration makes offers");
        let present = held.versioned.version;
        let age = self.age(now);
        if version >= present {
            return Offer::new(present, held.hash, Vec::new()).with_base(present).with_age(age);
        }
        let json = |value: Result<Vec<u8>, _>| value.expect("a configuration is always JSON");
        let offer = match self.log.since(version) {
            Some(delta) => {
                let json = json(serde_json::to_vec(&delta));
                Offer::new(present, held.hash, json).with_base(version)
            }
            None => {
                let json = json(serde_json::to_vec(&held.versioned.configuration));
                Offer::new(present, held.hash, json)
            }
        };
        offer.with_age(age)
    }

    fn confirm_with_age(&mut self, asked: Time, age: Duration) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        self.confirm(Some(Time::from_micros(asked.as_micros().saturating_sub(age))));
    }
}
