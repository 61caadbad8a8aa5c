//! Events that a watcher handles and actions that it returns.

use std::time::Duration;

use crate::{
    id::{ServerId, VmId},
    position::Term,
    view::GroupView,
    watch::{
        members::MemberList,
        status::{FenceOwner, ServerStatus},
        suspicion::Observation,
    },
};

/// An input of a watcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Expected every few milliseconds.
    Tick,
    /// A server answered a status request.
    Status(ServerId, ServerStatus),
    /// A request to a server failed.
    RequestFailed(ServerId),
    /// A server answered a fence at this term. The flag is whether it granted
    /// the fence.
    Fenced(ServerId, Term, bool, ServerStatus),
    /// A server answered a request to hold new writes. The flag is whether no
    /// transaction that has written is open.
    Quiesced(ServerId, bool),
    /// A server answered a promotion at this term. The flag is whether it
    /// became primary.
    Promoted(ServerId, Term, bool),
    /// Another watcher sent its observation.
    Observation(VmId, Observation),
    /// A VM reported that its requests to the primary fail.
    Suspected,
}

/// A promotion that a watcher is running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Promotion {
    /// Term that the promotion opens.
    pub term: Term,
    /// Whether it is a switchover: the present primary has not failed.
    pub planned: bool,
}

/// An action that a watcher requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Request the status of a server.
    Poll(ServerId),
    /// Let a primary hold new writes until its open write transactions have
    /// ended.
    Quiesce {
        /// The primary.
        server: ServerId,
        /// Longest time for which the primary waits for them.
        timeout: Duration,
    },
    /// Fence a server.
    Fence {
        /// Server to fence.
        server: ServerId,
        /// Term to fence it at.
        term: Term,
        /// Owner of the fence.
        owner: FenceOwner,
    },
    /// Promote a fenced server.
    Promote {
        /// Server to promote.
        server: ServerId,
        /// Term that the promotion opens.
        term: Term,
        /// Owner of the fence that the server granted.
        owner: FenceOwner,
        /// Member list of the new term.
        members: MemberList,
    },
    /// Replace the member list on the primary.
    SetMembers {
        /// The primary.
        server: ServerId,
        /// Term of the primary.
        term: Term,
        /// The new list.
        members: MemberList,
    },
    /// Send this view to all subscribers.
    Publish(GroupView),
    /// Send this observation to the other watchers.
    SendObservation(Observation),
}
