//! What the platform answers.

use chicoryhollow_core::Time;

use super::{Action, ConfigurationState, FETCH_TIMEOUT, Offer, Target};
use crate::publish;

impl ConfigurationState {
    /// Takes in the platform's row.
    pub fn handle_row(&mut self, row: Option<publish::Versioned>, now: Time) -> Vec<Action> {
        // The answer may belong to any read since the last one, and an answer
        // without a read is a late one that proves nothing.
        let read = self.row_asked.take();
        self.row_answered = Some(now);
        let Some(row) = row else {
            return Vec::new();
        };
        if row.version <= self.version() {
            self.confirm(read);
            return self.settle(now).into_iter().collect();
        }
        if self.target.as_ref().is_none_or(|target| target.row.version <= row.version) {
            self.target = Some(Target { row, read });
        }
        self.fetch(now).into_iter().collect()
    }

    /// Chooses the object that leads from the version held towards the row's.
    fn fetch(&mut self, now: Time) -> Option<Action> {
        if self.fetch.as_ref().is_some_and(|(_, at)| now.since(*at) < FETCH_TIMEOUT) {
            return None;
        }
        let target = self.target.as_ref().filter(|target| target.row.version > self.version())?;
        let delta = self.next_delta(&target.row).map(|(_, name)| name);
        let name = delta.unwrap_or_else(|| target.row.value.hash.object_name());
        self.fetch = Some((name.clone(), now));
        Some(Action::ReadObject(name))
    }

    /// Finds the difference from the version held to the one that follows it.
    fn next_delta(&self, row: &publish::Versioned) -> Option<(publish::PublishedVersion, String)> {
        let held = self.held.as_ref().filter(|_| !self.whole && !self.missing)?;
        row.at(held.versioned.version).filter(|past| past.hash == held.hash)?;
        let next = row.at(held.versioned.version + 1)?;
        Some((next, held.hash.delta_object_name(&next.hash)))
    }

    /// Takes in an object of the platform; `None` when it could not be read.
    pub fn handle_object(&mut self, name: &str, bytes: Option<Vec<u8>>, now: Time) -> Vec<Action> {
        if self.fetch.as_ref().is_none_or(|(fetched, _)| fetched != name) {
            return Vec::new();
        }
        self.fetch = None;
        let Some(Target { row, read }) = self.target.clone() else {
            return Vec::new();
        };
        let Some(json) = bytes else {
            self.missing = true;
            return Vec::new();
        };
        let offer = match self.next_delta(&row).filter(|(_, delta)| delta == name) {
            Some((next, _)) => Offer::new(next.version, next.hash, json).with_base(self.version()),
            None if name == row.value.hash.object_name() => {
                Offer::new(row.version, row.value.hash, json)
            }
            None => return Vec::new(),
        };
        let mut actions = self.accept(&offer, now).unwrap_or_default();
        if self.version() == row.version {
            self.confirm(read);
        }
        actions.extend(self.fetch(now));
        actions
    }
}
