//! Member lists of a group, which change one server at a time.
//!
//! With one change at a time, each majority of the new list shares a server
//! with each majority of the old one.

use indexmap::IndexSet;

use crate::{id::ServerId, position::Term, watch::plan::GroupPlan, watch::status::ServerStatus};

/// Number of members below which a leaving server keeps its vote until it is
/// removed from the configuration.
const MIN_MEMBERS: usize = 3;

/// The servers whose majority confirms writes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberList {
    /// Version of the list, which increases with each change within a term.
    pub version: u64,
    /// Servers that have a vote.
    pub servers: Vec<ServerId>,
}

impl MemberList {
    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the number of members for which `test` returns true.
    pub fn count(&self, test: impl Fn(&ServerId) -> bool) -> usize {
        self.servers.iter().filter(|server| test(server)).count()
    }

    /// Returns whether `test` returns true for a majority of the members. An
    /// empty list has no majority.
    pub fn has_majority(&self, test: impl Fn(&ServerId) -> bool) -> bool {
        !self.servers.is_empty() && self.count(test) >= self.majority()
    }
}

/// Returns the newest member list among `statuses`.
///
/// The term of the log counts before the version of the list, because a primary
/// that was replaced may hold a list of a higher version that no majority ever
/// had.
pub fn newest_list<'a>(statuses: impl IntoIterator<Item = &'a ServerStatus>) -> Option<MemberList> {
    let key = |status: &&ServerStatus| -> (Term, u64) { (status.term, status.members_version) };
    let found = statuses.into_iter().filter(|status| !status.members.is_empty()).max_by_key(key)?;
    Some(MemberList { version: found.members_version, servers: found.members.clone() })
}

/// Returns the member list that follows `current` on the way to the servers of
/// `plan`, or `None` if no change is needed.
///
/// Unreachable members that have to leave are removed first, because they only
/// make a majority harder to reach. Additions follow, and other removals come
/// last. The primary itself is never removed.
pub fn next_list(
    current: &MemberList,
    plan: &GroupPlan,
    primary: &ServerId,
    reachable: impl Fn(&ServerId) -> bool,
) -> Option<MemberList> {
    let wanted = wanted(plan);
    let surplus: Vec<&ServerId> = current
        .servers
        .iter()
        .filter(|server| *server != primary && !wanted.contains(*server))
        .collect();
    let gone = surplus.iter().find(|server| !reachable(server));
    let missing =
        wanted.iter().find(|server| !current.servers.contains(**server) && reachable(server));
    if let Some(server) = gone {
        return Some(without(current, server));
    }
    if let Some(server) = missing {
        return Some(with(current, server));
    }
    surplus.first().map(|server| without(current, server))
}

fn wanted(plan: &GroupPlan) -> IndexSet<&ServerId> {
    let staying = |leaving: bool| {
        plan.servers.iter().filter(move |(_, p)| p.leaving == leaving).map(|(server, _)| server)
    };
    let mut wanted: IndexSet<&ServerId> = staying(false).collect();
    for server in staying(true) {
        if wanted.len() < MIN_MEMBERS {
            wanted.insert(server);
        }
    }
    wanted
}

fn with(list: &MemberList, server: &ServerId) -> MemberList {
    let mut servers = list.servers.clone();
    servers.push(server.clone());
    MemberList { version: list.version + 1, servers }
}

fn without(list: &MemberList, server: &ServerId) -> MemberList {
    let servers = list.servers.iter().filter(|s| *s != server).cloned().collect();
    MemberList { version: list.version + 1, servers }
}
