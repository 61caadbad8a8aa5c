//! Questions about a commit, to other VMs and to the homes of replicas.

use super::Failover;

/// Asks whether the receiver knows of a failover of a group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ContactAsk {
    /// Number of the question, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Name of the group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Term of a commit that the receiver counts as acknowledged before it answers.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Log position of that commit.
    #[prost(uint64, tag = "4")]
    pub lsn: u64,
    /// Replica whose status is asked for before the answer, or empty for none.
    #[prost(string, tag = "5")]
    pub server: String,
}

/// What a replica has answered to a home of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaReport {
    /// Whether it was too busy to report its status; then the fields of the status are 0.
    #[prost(bool, tag = "1")]
    pub busy: bool,
    /// Whether it accepts writes.
    #[prost(bool, tag = "2")]
    pub primary: bool,
    /// Term that it follows.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Term of the newest position that it has received.
    #[prost(uint64, tag = "4")]
    pub received_term: u64,
    /// Log position that it has received.
    #[prost(uint64, tag = "5")]
    pub received_lsn: u64,
    /// Term at which it was fenced, or 0.
    #[prost(uint64, tag = "6")]
    pub fenced_term: u64,
    /// Unix time of its start, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub born: u64,
    /// Time for which the home has known it to be registered and to stay, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub registered_ms: u32,
}

/// Answers a [`ContactAsk`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ContactAnswer {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Newest term in which the sender knows a primary to lead.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Newest failover that may run.
    #[prost(message, optional, tag = "3")]
    pub failover: Option<Failover>,
    /// What the replica answered that the question names, if it did in time.
    #[prost(message, optional, tag = "4")]
    pub report: Option<ReplicaReport>,
}
