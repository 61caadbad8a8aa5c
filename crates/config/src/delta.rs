//! Differences between two configurations, for transport to VMs.
//!
//! The platform stores differences as objects, and VMs send them to each other.

use std::hash::Hash;

use chicoryhollow_core::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;

/// Names that a newer configuration no longer contains.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removed {
    /// Removed data centres.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub data_centres: IndexSet<DataCentreId>,
    /// Removed database groups.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub groups: IndexSet<GroupId>,
    /// Removed client accounts.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub accounts: IndexSet<AccountId>,
    /// Removed keys.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub keys: IndexSet<KeyName>,
    /// Removed routes.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub routes: IndexSet<RouteName>,
}

/// The changes that turn one configuration into another.
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
        compare_section(&old.data_centres, &new.data_centres, data_centres);
        compare_section(&old.groups, &new.groups, (&mut changed.groups, &mut removed.groups));
        compare_section(
            &old.accounts,
            &new.accounts,
            (&mut changed.accounts, &mut removed.accounts),
        );
        compare_section(&old.keys, &new.keys, (&mut changed.keys, &mut removed.keys));
        compare_section(&old.routes, &new.routes, (&mut changed.routes, &mut removed.routes));
        delta
    }

    /// Returns the entries that are new or have a new value.
    pub fn changed(&self) -> &Configuration {
        &self.changed
    }

    /// Returns the names that were removed.
    pub fn removed(&self) -> &Removed {
        &self.removed
    }

    /// Returns whether the two configurations are equal.
    pub fn is_empty(&self) -> bool {
        *self == Delta::default()
    }

    /// Turns the older configuration into the newer one.
    pub fn apply(&self, configuration: &mut Configuration) {
        let Delta { changed, removed } = self;
        patch_section(
            &mut configuration.data_centres,
            &changed.data_centres,
            &removed.data_centres,
        );
        patch_section(&mut configuration.groups, &changed.groups, &removed.groups);
        patch_section(&mut configuration.accounts, &changed.accounts, &removed.accounts);
        patch_section(&mut configuration.keys, &changed.keys, &removed.keys);
        patch_section(&mut configuration.routes, &changed.routes, &removed.routes);
    }

    /// Merges the difference that follows this one into it.
    pub fn join(&mut self, later: &Delta) {
        let Delta { changed, removed } = self;
        let (c, r) = (&later.changed, &later.removed);
        join_section(
            &mut changed.data_centres,
            &mut removed.data_centres,
            &c.data_centres,
            &r.data_centres,
        );
        join_section(&mut changed.groups, &mut removed.groups, &c.groups, &r.groups);
        join_section(&mut changed.accounts, &mut removed.accounts, &c.accounts, &r.accounts);
        join_section(&mut changed.keys, &mut removed.keys, &c.keys, &r.keys);
        join_section(&mut changed.routes, &mut removed.routes, &c.routes, &r.routes);
    }
}

/// Collects the entries of `new` that are missing or different in `old`, and
/// the names of `old` that are missing in `new`.
fn compare_section<K: Clone + Eq + Hash, V: Clone + PartialEq>(
    old: &IndexMap<K, V>,
    new: &IndexMap<K, V>,
    (changed, removed): (&mut IndexMap<K, V>, &mut IndexSet<K>),
) {
    let differs = |(name, value): &(&K, &V)| old.get(*name) != Some(*value);
    changed.extend(new.iter().filter(differs).map(|(name, value)| (name.clone(), value.clone())));
    removed.extend(old.keys().filter(|name| !new.contains_key(*name)).cloned());
}

fn patch_section<K: Clone + Eq + Hash, V: Clone>(
    entries: &mut IndexMap<K, V>,
    changed: &IndexMap<K, V>,
    removed: &IndexSet<K>,
) {
    for name in removed {
        entries.swap_remove(name);
    }
    entries.extend(changed.iter().map(|(name, value)| (name.clone(), value.clone())));
}

/// Merges one section of a later difference into the same section of an
/// earlier one.
fn join_section<K: Clone + Eq + Hash, V: Clone>(
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
