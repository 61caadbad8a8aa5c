//! Messages that introduce a VM, check that it is alive and relay the list of VMs.
//!
//! A request of a caller to cancel a statement is here as well, because it may
//! arrive at any VM.

/// First message of a connection, in both directions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the sending VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the sending daemon.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Data centre of the sending VM.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Whether the sender is leaving and accepts no new work.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Version of the configuration that the sender uses.
    #[prost(uint64, tag = "5")]
    pub version: u64,
}

/// Checks whether the receiver is alive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    /// Number of the ping, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Version of the configuration that the sender uses.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Answers a [`Ping`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {
    /// Number of the ping.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Version of the configuration that the sender uses.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Asks for the list of VMs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersAsk {
    /// Hash of the list that the sender holds, or 0 for none.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
}

/// Answers a [`MembersAsk`] with the list of VMs or with the changes to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersAnswer {
    /// Hash of the resulting list.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
    /// Hash of the list that the changes apply to, or 0 for a whole list.
    #[prost(fixed64, tag = "2")]
    pub base: u64,
    /// The list or the changes, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub json: bytes::Bytes,
    /// Milliseconds since the list was read from the platform.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Forwards a caller's request to cancel a statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cancel {
    /// Process ID that the caller was given.
    #[prost(int32, tag = "1")]
    pub process: i32,
    /// Secret that the caller was given.
    #[prost(bytes = "bytes", tag = "2")]
    pub secret: bytes::Bytes,
}
