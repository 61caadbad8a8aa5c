//! Which server is promoted, given the fences granted so far.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, ServerId},
    watch::{
        members::{MemberList, newest},
        plan::GroupPlan,
        status::ServerStatus,
    },
};

/// The result of an election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Election {
    /// Too few servers are fenced.
    Open,
    /// A majority is fenced, and `target` holds every acknowledged write.
    Decided {
        /// Server to promote.
        target: ServerId,
        /// Member list to promote it with.
        members: MemberList,
    },
}

/// What an election is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Ballot<'a> {
    /// Servers that granted the fence, with what they held then.
    pub granted: &'a IndexMap<ServerId, ServerStatus>,
    /// Last known status of every server, fenced or not.
    pub known: &'a IndexMap<ServerId, ServerStatus>,
    /// Configured servers.
    pub plan: &'a GroupPlan,
    /// Failed primary, whose vote is counted only when no majority forms without
    /// it.
    pub failed: Option<&'a ServerId>,
    /// Data centre in which a new primary is preferred.
    pub near: Option<&'a DataCentreId>,
}

impl Ballot<'_> {
    /// Decides the election.
    ///
    /// Any majority of the newest member list shares a server with the majority
    /// that held an acknowledged write, so the greatest position among the
    /// granted fences covers it. Servers that hold the same position are told
    /// apart by whether they are in service and by their data centre.
    pub fn decide(&self) -> Election {
        let Some(members) = self.list() else {
            return Election::Open;
        };
        let mut voters: Vec<(&ServerId, &ServerStatus)> =
            self.granted.iter().filter(|(server, _)| members.servers.contains(*server)).collect();
        let quorum = self.quorum(&members);
        if voters.len() < quorum {
            return Election::Open;
        }
        // A primary cut off from its replicas holds the longest log and would
        // win every election, although it can confirm nothing.
        if voters.len() > quorum {
            voters.retain(|(server, _)| Some(*server) != self.failed);
        }
        let Some(greatest) = voters.iter().map(|(_, status)| status.position()).max() else {
            return Election::Open;
        };
        let target = voters
            .into_iter()
            .filter(|(_, status)| status.position() == greatest)
            .min_by_key(|(server, _)| self.preference(server))
            .map(|(server, _)| server.clone());
        target.map_or(Election::Open, |target| Election::Decided { target, members })
    }

    /// Tells whether the servers for which `lost` holds leave no majority.
    pub fn is_hopeless(&self, lost: impl Fn(&ServerId) -> bool) -> bool {
        let Some(members) = self.list() else {
            return false;
        };
        members.servers.len() - members.count(lost) < self.quorum(&members)
    }

    /// Returns the newest member list, or the configured servers when no server
    /// of the group ever had one.
    fn list(&self) -> Option<MemberList> {
        let found = newest(self.known.values().chain(self.granted.values()));
        found.or_else(|| {
            let servers: Vec<ServerId> = self.plan.servers.keys().cloned().collect();
            (!servers.is_empty()).then_some(MemberList { version: 1, servers })
        })
    }

    /// A group without a member list starts only once every configured server
    /// is fenced, because two configuration versions may not overlap in a
    /// majority.
    fn quorum(&self, members: &MemberList) -> usize {
        let first = newest(self.known.values().chain(self.granted.values())).is_none();
        if first { members.servers.len() } else { members.majority() }
    }

    fn preference(&self, server: &ServerId) -> (Reverse<bool>, Reverse<bool>, ServerId) {
        let near = self.near.is_some() && self.plan.data_centre(server) == self.near;
        (Reverse(self.plan.serves(server)), Reverse(near), server.clone())
    }
}
