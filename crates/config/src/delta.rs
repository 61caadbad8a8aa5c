//! Differences between two configurations, for transport.

use std::hash::Hash;

use chicoryhollow_core::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;

/// Names that a configuration no longer holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removed {
    /// Data centres that are gone.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub data_centres: IndexSet<DataCentreId>,
    /// Database groups that are gone.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub groups: IndexSet<GroupId>,
    /// Client accounts that are gone.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub accounts: IndexSet<AccountId>,
    /// Keys that are gone.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub keys: IndexSet<KeyName>,
    /// Routes that are gone.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub routes: IndexSet<RouteName>,
}

/// What turns one configuration into another.
///
/// # Example
///
/// ```
/// use chicoryhollow_config::{Configuration, DataCentre, Delta};
///
/// let old = Configuration::default();
/// let mut new = old.clone();
/// new.data_centres.insert("a".parse()?, DataCentre::default());
/// let mut copy = old.clone();
/// Delta::new(&old, &new).apply(&mut copy);
/// assert_eq!(copy, new);
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delta {
    changed: Configuration,
    removed: Removed,
}

impl Delta {
    /// Compares two configurations.
    pub fn new(old: &Configuration, new: &Configuration) -> Self {
        let mut delta = Delta::default();
        let Delta { changed, removed } = &mut delta;
        let data_centres = (&mut changed.data_centres, &mut removed.data_centres);
        compare(&old.data_centres, &new.data_centres, data_centres);
        compare(&old.groups, &new.groups, (&mut changed.groups, &mut removed.groups));
        compare(&old.accounts, &new.accounts, (&mut changed.accounts, &mut removed.accounts));
        compare(&old.keys, &new.keys, (&mut changed.keys, &mut removed.keys));
        compare(&old.routes, &new.routes, (&mut changed.routes, &mut removed.routes));
        delta
    }

    /// Returns the entries that are new or have a new value.
    pub fn changed(&self) -> &Configuration {
        &self.changed
    }

    /// Returns the names that are gone.
    pub fn removed(&self) -> &Removed {
        &self.removed
    }

    /// Tells whether the two configurations are equal.
    pub fn is_empty(&self) -> bool {
        *self == Delta::default()
    }

    /// Turns the older configuration into the newer one.
    pub fn apply(&self, configuration: &mut Configuration) {
        let Delta { changed, removed } = self;
        patch(&mut configuration.data_centres, &changed.data_centres, &removed.data_centres);
        patch(&mut configuration.groups, &changed.groups, &removed.groups);
        patch(&mut configuration.accounts, &changed.accounts, &removed.accounts);
        patch(&mut configuration.keys, &changed.keys, &removed.keys);
        patch(&mut configuration.routes, &changed.routes, &removed.routes);
    }

    /// Joins this difference and the one that follows it.
    pub fn join(&mut self, later: &Delta) {
        let Delta { changed, removed } = self;
        let (c, r) = (&later.changed, &later.removed);
        follow(
            &mut changed.data_centres,
            &mut removed.data_centres,
            &c.data_centres,
            &r.data_centres,
        );
        follow(&mut changed.groups, &mut removed.groups, &c.groups, &r.groups);
        follow(&mut changed.accounts, &mut removed.accounts, &c.accounts, &r.accounts);
        follow(&mut changed.keys, &mut removed.keys, &c.keys, &r.keys);
        follow(&mut changed.routes, &mut removed.routes, &c.routes, &r.routes);
    }
}

/// Finds the entries of `new` that `old` lacks or holds otherwise, and the
/// names of `old` that `new` lacks.
fn compare<K: Clone + Eq + Hash, V: Clone + PartialEq>(
    old: &IndexMap<K, V>,
    new: &IndexMap<K, V>,
    (changed, removed): (&mut IndexMap<K, V>, &mut IndexSet<K>),
) {
    let differs = |(name, value): &(&K, &V)| old.get(*name) != Some(*value);
    changed.extend(new.iter().filter(differs).map(|(name, value)| (name.clone(), value.clone())));
    removed.extend(old.keys().filter(|name| !new.contains_key(*name)).cloned());
}

fn patch<K: Clone + Eq + Hash, V: Clone>(
    entries: &mut IndexMap<K, V>,
    changed: &IndexMap<K, V>,
    removed: &IndexSet<K>,
) {
    for name in removed {
        entries.swap_remove(name);
    }
    entries.extend(changed.iter().map(|(name, value)| (name.clone(), value.clone())));
}

/// Extends one section of a difference by the same section of a later one.
fn follow<K: Clone + Eq + Hash, V: Clone>(
    changed: &mut IndexMap<K, V>,
    removed: &mut IndexSet<K>,
    later_changed: &IndexMap<K, V>,
    later_removed: &IndexSet<K>,
) {
    for name in later_removed {
        changed.swap_remove(name);
        removed.insert(name.clone());
    }
    for (name, value) in later_changed {
        removed.swap_remove(name);
        changed.insert(name.clone(), value.clone());
    }
}
