//! What reaches a watcher and what it wants done.

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

/// What reaches a watcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected every few milliseconds.
    Tick,
    /// A server answered a status request.
    Status(ServerId, ServerStatus),
    /// A status request failed.
    RequestFailed(ServerId),
    /// A server answered a fence at this term, granting it or not.
    Fenced(ServerId, Term, bool, ServerStatus),
    /// A server answered a request to hold new writes: whether no transaction
    /// that has written is open.
    Quiesced(ServerId, bool),
    /// A server answered an order to become primary at this term.
    Promoted(ServerId, Term, bool),
    /// Another watcher told what it sees.
    Observation(VmId, Observation),
    /// Requests to the primary failed, as a VM that sends them noticed.
    Suspected,
}

/// A promotion that a watcher has under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Promotion {
    /// Term that it opens.
    pub term: Term,
    /// Whether the present primary has not failed.
    pub planned: bool,
}

/// What a watcher wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask a server for its status.
    Poll(ServerId),
    /// Let a primary hold new writes until its open ones have ended.
    Quiesce {
        /// The primary.
        server: ServerId,
        /// Longest time for which it waits for them.
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
        /// Term that it opens.
        term: Term,
        /// Owner of its fence.
        owner: FenceOwner,
        /// Member list that it starts with.
        members: MemberList,
    },
    /// Replace the member list on the primary.
    SetMembers {
        /// The primary.
        server: ServerId,
        /// Its term.
        term: Term,
        /// The new list.
        members: MemberList,
    },
    /// Give this view to all subscribers.
    Publish(GroupView),
    /// Send this observation to the other watchers.
    SendObservation(Observation),
}
