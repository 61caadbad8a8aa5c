//! The list of VMs that one VM passes on to others.
//!
//! Only a few VMs of each data centre read the list from the platform; the
//! others request it from them. If the requester's list is one of the last few
//! versions, the answer contains only the changes since then. Lists are compared
//! by their hash.

use std::{collections::VecDeque, time::Duration};

use chicoryhollow_core::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Vm;

/// Number of changes that are kept to update VMs with an older list.
const MAX_KEPT_CHANGES: usize = 64;

/// The difference between two lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Change {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    changed: Vec<Vm>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    removed: Vec<VmId>,
}

/// An answer to a VM that requested the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Hash of the list after the update.
    pub hash: u64,
    /// Hash of the list to which the changes apply, or `None` if the update
    /// contains the whole list.
    pub base: Option<u64>,
    /// The whole list or the changes, as JSON.
    pub json: Vec<u8>,
    /// Time between the read from the platform and this answer.
    pub age: Duration,
}

/// The current list of VMs and its last changes.
#[derive(Debug, Default)]
pub struct Roster {
    vms: IndexMap<VmId, Vm>,
    hash: u64,
    /// When the read of the list from the platform began.
    read: Option<Time>,
    /// Last changes, oldest first, each with the hash of the list before it.
    changes: VecDeque<(u64, Change)>,
}

impl Roster {
    /// Creates an empty list, as it is before the first read.
    pub fn new() -> Self {
        Roster::default()
    }

    /// Returns the VMs of the list, in no particular order.
    pub fn vms(&self) -> Vec<Vm> {
        self.vms.values().cloned().collect()
    }

    /// Returns the hash of the list, or 0 if no list was read yet.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Replaces the list with the answer to a read from the platform that began
    /// at `read`, and returns whether the list changed. An older answer is
    /// ignored.
    pub fn replace(&mut self, vms: Vec<Vm>, read: Time) -> bool {
        if self.read.is_some_and(|current| read < current) {
            return false;
        }
        self.read = Some(read);
        let next: IndexMap<_, _> = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        let change = difference(&self.vms, &next);
        if change == Change::default() {
            return false;
        }
        self.set_list(next, change);
        true
    }

    /// Returns the answer for a VM whose list has `hash`, or `None` if no list was
    /// read yet.
    ///
    /// The answer contains the whole list if `hash` is 0 or none of the last lists
    /// has it.
    pub fn answer(&self, hash: u64, now: Time) -> Option<Update> {
        let age = now.since(self.read?);
        let known = (hash != 0).then(|| self.changes_since(hash)).flatten();
        let (base, json) = match known {
            Some(change) => (Some(hash), serde_json::to_vec(&change)),
            None => (None, serde_json::to_vec(&self.vms())),
        };
        let json = json.expect("a list of VMs is always JSON");
        Some(Update { hash: self.hash, base, json, age })
    }

    /// Applies the answer to a request that was sent at `asked`, and returns
    /// whether the list changed. An answer that is older than the current list
    /// is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not match the current list. The next request
    /// should then contain hash 0 to get the whole list.
    pub fn accept(&mut self, update: &Update, asked: Time) -> Result<bool, RosterError> {
        // The age was measured after the request was sent, so the list can only seem
        // older than it is.
        let age = u64::try_from(update.age.as_micros()).unwrap_or(u64::MAX);
        let read = Time::from_micros(asked.as_micros().saturating_sub(age));
        if self.read.is_some_and(|current| read < current) {
            return Ok(false);
        }
        let next = match update.base {
            None => {
                let vms: Vec<Vm> = parse(&update.json)?;
                vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect()
            }
            Some(base) if base == self.hash => self.with_change(parse(&update.json)?),
            Some(_) => return Err(RosterError::Base),
        };
        if list_hash(&next) != update.hash {
            return Err(RosterError::Hash);
        }
        self.read = Some(read);
        let change = difference(&self.vms, &next);
        let changed = change != Change::default();
        if changed {
            self.set_list(next, change);
        }
        Ok(changed)
    }

    fn set_list(&mut self, next: IndexMap<VmId, Vm>, change: Change) {
        if self.changes.len() == MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((self.hash, change));
        self.hash = list_hash(&next);
        self.vms = next;
    }

    fn with_change(&self, change: Change) -> IndexMap<VmId, Vm> {
        let mut vms = self.vms.clone();
        change.removed.iter().for_each(|vm| drop(vms.swap_remove(vm)));
        vms.extend(change.changed.into_iter().map(|vm| (vm.vm.clone(), vm)));
        vms
    }

    /// Merges the changes since the list had `hash`; `None` if they are not kept
    /// any more.
    fn changes_since(&self, hash: u64) -> Option<Change> {
        if hash == self.hash {
            return Some(Change::default());
        }
        let first = self.changes.iter().rposition(|(base, _)| *base == hash)?;
        let mut changed = IndexMap::new();
        let mut removed = Vec::new();
        for (_, change) in self.changes.range(first..) {
            changed.extend(change.changed.iter().map(|vm| (vm.vm.clone(), vm.clone())));
            removed.extend(change.removed.iter().cloned());
        }
        // A VM may have been changed and later removed, or the other way round.
        // Only its current state counts.
        changed.retain(|vm, _| self.vms.contains_key(vm));
        removed.retain(|vm| !self.vms.contains_key(vm));
        Some(Change { changed: changed.into_values().collect(), removed })
    }
}

fn difference(old: &IndexMap<VmId, Vm>, new: &IndexMap<VmId, Vm>) -> Change {
    let changed = new.values().filter(|vm| old.get(&vm.vm) != Some(vm)).cloned().collect();
    let removed = old.keys().filter(|vm| !new.contains_key(*vm)).cloned().collect();
    Change { changed, removed }
}

/// Hashes a list independently of its order. The result is never 0, which means
/// that there is no list.
fn list_hash(vms: &IndexMap<VmId, Vm>) -> u64 {
    let hash = |vm: &Vm| xxh3_64(&serde_json::to_vec(vm).expect("a VM is always JSON"));
    let sum = vms.values().map(hash).fold(vms.len() as u64, u64::wrapping_add);
    sum.max(1)
}

fn parse<T: serde::de::DeserializeOwned>(json: &[u8]) -> Result<T, RosterError> {
    serde_json::from_slice(json).map_err(|error| RosterError::Json(error.to_string()))
}

/// Why an update cannot be applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RosterError {
    /// The changes apply to another list than the current one.
    #[error("the update applies to another version of the list of VMs")]
    Base,
    /// The resulting list does not have the hash of the update.
    #[error("the updated list of VMs has another hash than announced")]
    Hash,
    /// The JSON is neither a list nor a change.
    #[error("malformed update of the list of VMs: {0}")]
    Json(String),
}
