//! What watchers know of a database group.

use crate::stream::Position;

/// Asks for the view of a group, now and whenever it changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
}

/// Where the log of one term begins.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TermStart {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Last log position held from earlier terms.
    #[prost(uint64, tag = "2")]
    pub lsn: u64,
    /// First transaction id of the term.
    #[prost(uint64, tag = "3")]
    pub xid: u64,
}

/// What is known of one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerView {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Whether it was reached lately.
    #[prost(bool, tag = "2")]
    pub reachable: bool,
    /// Newest position that it was seen to have applied.
    #[prost(message, optional, tag = "3")]
    pub applied: Option<Position>,
}

/// The view of a group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct View {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the newest known primary.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Name of the newest known primary, or empty.
    #[prost(string, tag = "3")]
    pub primary: String,
    /// Starts of all terms, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub history: Vec<TermStart>,
    /// Servers of the group.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerView>,
}

/// What one watcher sees of a group's servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Observation {
    /// What the watcher knows.
    #[prost(message, optional, tag = "1")]
    pub view: Option<View>,
    /// Milliseconds since the watcher last reached the primary.
    #[prost(uint64, tag = "2")]
    pub silence_ms: u64,
    /// Whether the primary said that it reaches a majority.
    #[prost(bool, tag = "3")]
    pub majority: bool,
}

/// Tells a watcher that requests to a group's primary fail.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the primary that the sender used.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}
