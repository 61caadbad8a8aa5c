//! Member lists, which change one server at a time.

use indexmap::IndexSet;

use crate::{id::ServerId, position::Term, watch::plan::GroupPlan, watch::status::ServerStatus};

/// Members below which a leaving server keeps its vote until it is removed from
/// the configuration.
const KEPT_MEMBERS: usize = 3;

/// The servers whose majority confirms writes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberList {
    /// Version of the list within its term.
    pub version: u64,
    /// The members.
    pub servers: Vec<ServerId>,
}

impl MemberList {
    /// Returns how many members form a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Counts the members for which `test` holds.
    pub fn count(&self, test: impl Fn(&ServerId) -> bool) -> usize {
        self.servers.iter().filter(|server| test(server)).count()
    }

    /// Tells whether `test` holds for a majority.
    pub fn has_majority(&self, test: impl Fn(&ServerId) -> bool) -> bool {
        !self.servers.is_empty() && self.count(test) >= self.majority()
    }
}

/// Returns the newest member list among `statuses`.
///
/// A primary that was replaced may hold a list of a higher version that no
/// majority ever had, so the term of the log counts before the version.
pub fn newest<'a>(statuses: impl IntoIterator<Item = &'a ServerStatus>) -> Option<MemberList> {
    let key = |status: &&ServerStatus| -> (Term, u64) { (status.term, status.members_version) };
    let found = statuses.into_iter().filter(|status| !status.members.is_empty()).max_by_key(key)?;
    Some(MemberList { version: found.members_version, servers: found.members.clone() })
}

/// Returns the next member list on the way from `current` to `plan`, or `None`
/// when nothing is to change.
///
/// Members that cannot be reached and are to go are removed first, since they
/// only make a majority harder to reach. Additions follow, and other removals
/// come last. The primary itself is never removed.
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
        if wanted.len() < KEPT_MEMBERS {
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
