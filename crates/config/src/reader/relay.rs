//! What other VMs ask and offer.

use std::time::Duration;

use chicoryhollow_core::{Time, VmId};
use indexmap::IndexMap;

use super::{Action, CHILD_LEASE, Child, ConfigurationState, MAX_CHILDREN, Offer, OfferError};

impl ConfigurationState {
    /// Takes in the ask of another VM for a version newer than `version`.
    pub fn handle_ask(&mut self, from: VmId, version: u64, now: Time) -> Vec<Action> {
        let Some(held) = &self.held else {
            return Vec::new();
        };
        let present = held.versioned.version;
        let mut actions = Vec::new();
        if version > present && !self.asked.contains_key(&from) {
            self.ask(from.clone(), now, &mut actions);
        }
        actions.push(Action::Send(from.clone(), self.offer(version, now)));
        if self.children.len() < MAX_CHILDREN || self.children.contains_key(&from) {
            let child = Child { version: version.max(present), until: now + CHILD_LEASE };
            self.children.insert(from, child);
        }
        actions
    }

    /// Takes in an offer of another VM.
    ///
    /// # Errors
    ///
    /// Returns why an offer of a newer version was not accepted.
    pub fn handle_offer(
        &mut self,
        from: &VmId,
        offer: &Offer,
        now: Time,
    ) -> Result<Vec<Action>, OfferError> {
        let asked = self.asked.swap_remove(from);
        if Some(from) == self.place.parent() || self.asked.is_empty() {
            self.misses = 0;
            self.asked.clear();
        }
        let actions = if offer.version() > self.version() {
            self.accept(offer, now)?
        } else {
            self.settle(now).into_iter().collect()
        };
        // The age was measured when the answer was sent, which was not before
        // the oldest ask that it may belong to.
        if let (Some(asked), Some(age)) = (asked, offer.age())
            && offer.version() >= self.version()
        {
            self.confirm_before(asked, age);
        }
        Ok(actions)
    }

    /// Offers the version held to the VMs that have asked and are behind it.
    pub(super) fn pass_on(&mut self, now: Time) -> Vec<Action> {
        let version = self.version();
        let behind: Vec<_> = self
            .children
            .iter()
            .filter(|(_, child)| child.version < version && child.until > now)
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

    /// Makes the offer for a VM that holds `version`.
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

    fn confirm_before(&mut self, asked: Time, age: Duration) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        self.confirm(Some(Time::from_micros(asked.as_micros().saturating_sub(age))));
    }
}
