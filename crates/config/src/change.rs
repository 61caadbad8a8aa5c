//! Checks which changes may follow the active configuration.
//!
//! VMs activate a new version at different times, so that two consecutive versions
//! can be active at once. Changes that are unsafe in this state are refused
//! although the files are valid.

use std::fmt;

use chicoryhollow_core::prelude::*;
use indexmap::IndexMap;
use serde::Serialize;

use crate::configuration::{Configuration, Group, Server};

/// Maximum number of servers by which a group may change between two consecutive
/// versions.
///
/// Two VMs may use consecutive versions at the same time, and majorities of two
/// memberships that differ by one server always overlap.
const MAX_SERVERS_CHANGED: usize = 1;

/// A change that is refused although the files are valid.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ChangeProblem {
    /// Path of the field that changes.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for ChangeProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.field, self.message, self.remedy)
    }
}

/// Returns the reasons why `new` may not follow `old`; empty if it may.
pub fn forbidden_changes(old: &Configuration, new: &Configuration) -> Vec<ChangeProblem> {
    let mut problems = Vec::new();
    for (name, group) in &new.groups {
        if let Some(before) = old.groups.get(name) {
            problems.extend(membership_change(name, before, group));
        }
    }
    let before = servers(old);
    for (name, (group, server)) in servers(new) {
        if let Some((old_group, old_server)) = before.get(&name) {
            let field = format!("groups.{group}.servers.{name}");
            problems.extend(placement_change(&field, (old_group, old_server), (group, server)));
        }
    }
    problems
}

/// Returns the groups that exist in both configurations but with different
/// servers.
pub fn changed_memberships(old: &Configuration, new: &Configuration) -> Vec<GroupId> {
    let same = |a: &Group, b: &Group| {
        a.servers.len() == b.servers.len() && a.servers.keys().all(|s| b.servers.contains_key(s))
    };
    let changed = |(name, group): &(&GroupId, &Group)| {
        old.groups.get(*name).is_some_and(|before| !same(before, group))
    };
    new.groups.iter().filter(changed).map(|(name, _)| name.clone()).collect()
}

fn membership_change(name: &GroupId, before: &Group, after: &Group) -> Option<ChangeProblem> {
    let missing = |from: &Group, other: &Group| {
        from.servers.keys().filter(|server| !other.servers.contains_key(*server)).count()
    };
    let (added, removed) = (missing(after, before), missing(before, after));
    (added + removed > MAX_SERVERS_CHANGED).then(|| ChangeProblem {
        field: format!("groups.{name}.servers"),
        message: format!("{added} servers join and {removed} leave at once"),
        remedy: "add or remove one server, wait until that is in force, then go on".to_owned(),
    })
}

fn servers(configuration: &Configuration) -> IndexMap<ServerId, (&GroupId, &Server)> {
    let groups = configuration.groups.iter();
    let members = groups.flat_map(|(name, group)| {
        group.servers.iter().map(move |(server, value)| (server.clone(), (name, value)))
    });
    members.collect()
}

/// Returns a problem if a server keeps its name but changes its group, data
/// centre or address.
fn placement_change(
    field: &str,
    (old_group, old): (&GroupId, &Server),
    (group, new): (&GroupId, &Server),
) -> Option<ChangeProblem> {
    let message = if old_group != group {
        format!("the server moves from group {old_group} to {group}")
    } else if old.data_centre != new.data_centre {
        format!("the server moves from data centre {} to {}", old.data_centre, new.data_centre)
    } else if old.address != new.address {
        format!("the server's address changes from {} to {}", old.address, new.address)
    } else {
        return None;
    };
    let remedy = "remove the server, wait until that is in force, then add it under a new name";
    Some(ChangeProblem { field: field.to_owned(), message, remedy: remedy.to_owned() })
}
