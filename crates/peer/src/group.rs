//! Messages about database groups, sent and received by the VMs that watch them.
//!
//! A watcher is a VM that polls the backend servers of a group and replaces a
//! failed primary. Watchers send each other their observations, and they send
//! views of the group to all other VMs that use it.

use crate::stream::Position;

/// Asks for the view of a group, immediately and after every change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
}

/// Point at which the log of one term starts.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TermStart {
    /// The term that starts here.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Last log position (LSN) of earlier terms that the new primary holds.
    #[prost(uint64, tag = "2")]
    pub lsn: u64,
    /// First transaction id that the new primary assigned.
    #[prost(uint64, tag = "3")]
    pub xid: u64,
}

/// State of one backend server of a group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerView {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Whether a watcher reached the server recently.
    #[prost(bool, tag = "2")]
    pub reachable: bool,
    /// Newest position that the server is known to have applied.
    #[prost(message, optional, tag = "3")]
    pub applied: Option<Position>,
}

/// The newest known state of a group, as reported by its watchers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct View {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the newest known primary.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Name of the newest known primary, or empty if there is none.
    #[prost(string, tag = "3")]
    pub primary: String,
    /// Starts of all terms up to [`View::term`], oldest first.
    #[prost(message, repeated, tag = "4")]
    pub history: Vec<TermStart>,
    /// States of the servers of the group.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerView>,
}

/// What one watcher observes of a group's servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Observation {
    /// View of the group that the watcher has.
    #[prost(message, optional, tag = "1")]
    pub view: Option<View>,
    /// Milliseconds since the watcher last reached the primary.
    #[prost(uint64, tag = "2")]
    pub silence_ms: u64,
    /// Whether the primary reported that it reaches a majority of the members.
    #[prost(bool, tag = "3")]
    pub majority: bool,
}

/// Reports to a watcher that requests to a group's primary fail.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the primary that the sender used.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}
