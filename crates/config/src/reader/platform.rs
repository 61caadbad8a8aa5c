//! Handles the answers of the platform: its row and its objects.

use chicoryhollow_core::Time;

use super::{Action, ConfigurationState, FETCH_TIMEOUT, Offer, Target};
use crate::publish;

impl ConfigurationState {
    /// Handles the platform's row; `None` if the row does not exist.
    pub fn handle_row(&mut self, row: Option<publish::Versioned>, now: Time) -> Vec<Action> {
        // The answer may belong to any read since the last answer. An answer
        // without such a read is late and does not confirm the version.
        let read_at = self.oldest_read.take();
        self.last_answer = Some(now);
        let Some(row) = row else {
            return Vec::new();
        };
        if row.version <= self.version() {
            self.confirm(read_at);
            return self.activate_if_ready(now).into_iter().collect();
        }
        if self.target.as_ref().is_none_or(|target| target.row.version <= row.version) {
            self.target = Some(Target { row, read_at });
        }
        self.start_fetch(now).into_iter().collect()
    }

    /// Starts to read the next object on the way from the held version to the
    /// row's, unless a read is pending.
    fn start_fetch(&mut self, now: Time) -> Option<Action> {
        if self.pending_fetch.as_ref().is_some_and(|(_, at)| now.since(*at) < FETCH_TIMEOUT) {
            return None;
        }
        let target = self.target.as_ref().filter(|target| target.row.version > self.version())?;
        let delta = self.next_delta(&target.row).map(|(_, name)| name);
        let name = delta.unwrap_or_else(|| target.row.value.hash.object_name());
        self.pending_fetch = Some((name.clone(), now));
        Some(Action::ReadObject(name))
    }

    /// Returns the next version after the held one and the name of the object with
    /// the difference between them.
    fn next_delta(&self, row: &publish::Versioned) -> Option<(publish::PublishedVersion, String)> {
        let held = self.held.as_ref().filter(|_| !self.needs_whole && !self.object_missing)?;
        row.at(held.versioned.version).filter(|past| past.hash == held.hash)?;
        let next = row.at(held.versioned.version + 1)?;
        Some((next, held.hash.delta_object_name(&next.hash)))
    }

    /// Handles an object of the platform; `None` if it could not be read.
    pub fn handle_object(&mut self, name: &str, bytes: Option<Vec<u8>>, now: Time) -> Vec<Action> {
        if self.pending_fetch.as_ref().is_none_or(|(fetched, _)| fetched != name) {
            return Vec::new();
        }
        self.pending_fetch = None;
        let Some(Target { row, read_at }) = self.target.clone() else {
            return Vec::new();
        };
        let Some(json) = bytes else {
            self.object_missing = true;
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
            self.confirm(read_at);
        }
        actions.extend(self.start_fetch(now));
        actions
    }
}
