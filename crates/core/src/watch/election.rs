//! Choice of the server to promote, from the fences granted so far.
//!
//! A server that grants a fence reports the position of its log. After a
//! majority of the members has granted the fence, the server with the greatest
//! position can be promoted without losing an acknowledged write.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::{
    id::{DataCentreId, ServerId},
    watch::{
        members::{MemberList, newest_list},
        plan::GroupPlan,
        status::ServerStatus,
    },
};

/// The result of an election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Election {
    /// Too few servers have granted the fence.
    Open,
    /// A majority has granted the fence, and `target` holds every acknowledged
    /// write.
    Decided {
        /// Server to promote.
        target: ServerId,
        /// Member list with which the server is promoted.
        members: MemberList,
    },
}

/// The data from which an election is decided.
#[derive(Clone, Copy, Debug)]
pub struct ElectionInput<'a> {
    /// Servers that granted the fence, with their status at that time.
    pub granted: &'a IndexMap<ServerId, ServerStatus>,
    /// Last known status of each server, whether fenced or not.
    pub known: &'a IndexMap<ServerId, ServerStatus>,
    /// The configured servers.
    pub plan: &'a GroupPlan,
    /// Failed primary. Its vote counts only if there is no majority without it.
    pub failed: Option<&'a ServerId>,
    /// Data centre in which a new primary is preferred.
    pub preferred: Option<&'a DataCentreId>,
}

impl ElectionInput<'_> {
    /// Decides the election.
    ///
    /// Any majority of the newest member list shares a server with the majority
    /// that held an acknowledged write. Therefore the server with the greatest
    /// position among the granted fences holds that write. Among servers with
    /// the same position, those in service and those in the preferred data
    /// centre come first.
    pub fn decide(&self) -> Election {
        let Some(members) = self.member_list() else {
            return Election::Open;
        };
        let mut voters: Vec<(&ServerId, &ServerStatus)> =
            self.granted.iter().filter(|(server, _)| members.servers.contains(*server)).collect();
        let quorum = self.quorum(&members);
        if voters.len() < quorum {
            return Election::Open;
        }
        // A primary without a connection to its replicas holds the longest log.
        // It would win every election although it cannot confirm any write.
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

    /// Returns whether the servers for which `lost` returns true leave too few
    /// other members to decide the election.
    pub fn is_majority_lost(&self, lost: impl Fn(&ServerId) -> bool) -> bool {
        let Some(members) = self.member_list() else {
            return false;
        };
        members.servers.len() - members.count(lost) < self.quorum(&members)
    }

    /// Returns the newest member list, or the configured servers if no server
    /// of the group ever had a member list.
    fn member_list(&self) -> Option<MemberList> {
        let found = newest_list(self.known.values().chain(self.granted.values()));
        found.or_else(|| {
            let servers: Vec<ServerId> = self.plan.servers.keys().cloned().collect();
            (!servers.is_empty()).then_some(MemberList { version: 1, servers })
        })
    }

    /// Returns the number of fences needed to decide the election.
    ///
    /// A group without a member list starts only after every configured server
    /// has granted the fence. A majority would not be enough, because
    /// majorities of two configuration versions need not share a server.
    fn quorum(&self, members: &MemberList) -> usize {
        let first = newest_list(self.known.values().chain(self.granted.values())).is_none();
        if first { members.servers.len() } else { members.majority() }
    }

    fn preference(&self, server: &ServerId) -> (Reverse<bool>, Reverse<bool>, ServerId) {
        let near = self.preferred.is_some() && self.plan.data_centre(server) == self.preferred;
        (Reverse(self.plan.is_in_service(server)), Reverse(near), server.clone())
    }
}
