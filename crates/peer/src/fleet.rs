//! What VMs tell each other about groups whose servers answer for themselves.

/// A sign of life with what the VM believes; sent several times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Beat {
    /// Name of the sending VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of its daemon.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Counts the beats on this connection.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Number of the newest beat received from the other side, 0 for none.
    #[prost(uint64, tag = "4")]
    pub echo: u64,
    /// Versions of the directory's documents that the VM holds, by kind.
    #[prost(uint64, repeated, tag = "5")]
    pub versions: Vec<u64>,
    /// Milliseconds since the documents were known to be the newest.
    #[prost(uint32, tag = "8")]
    pub fresh_ms: u32,
    /// Whether the VM reads the directory and gets answers.
    #[prost(bool, tag = "9")]
    pub reads: bool,
    /// Whether the VM has chosen the receiver as a neighbour.
    #[prost(bool, tag = "10")]
    pub chosen: bool,
    /// Digests of the documents that the VM holds, by kind.
    #[prost(fixed64, repeated, tag = "11")]
    pub digests: Vec<u64>,
    /// Version of the duty's row that was seen last, 0 for none.
    #[prost(uint64, tag = "12")]
    pub duty_version: u64,
    /// Milliseconds since some VM first saw that version.
    #[prost(uint32, tag = "13")]
    pub duty_ms: u32,
    /// Whether the VM is about to stop.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// What it knows of groups.
    #[prost(message, repeated, tag = "7")]
    pub groups: Vec<GroupState>,
}

/// What a VM knows of one group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupState {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The primary, empty when none is known.
    #[prost(string, tag = "2")]
    pub primary: String,
    /// Term of the primary.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Term of the newest position with an acknowledged commit.
    #[prost(uint64, tag = "4")]
    pub acknowledged_term: u64,
    /// Log position of the newest acknowledged commit.
    #[prost(uint64, tag = "5")]
    pub acknowledged_lsn: u64,
    /// Milliseconds for which requests to the primary have failed, 0 when they
    /// succeed.
    #[prost(uint32, tag = "6")]
    pub failing_ms: u32,
    /// Term of the newest mark.
    #[prost(uint64, tag = "7")]
    pub mark_term: u64,
    /// Log position of the newest mark.
    #[prost(uint64, tag = "8")]
    pub mark_lsn: u64,
    /// When the mark was asked for, in microseconds after the echoed beat was
    /// received; none when there is no mark.
    #[prost(sint64, optional, tag = "9")]
    pub mark_after_us: Option<i64>,
}

/// Asks for tokens of an account's rate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenAsk {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens wanted, in thousandths.
    #[prost(uint64, tag = "2")]
    pub wanted_milli: u64,
}

/// Hands tokens over; they are no longer the sender's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenGrant {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens handed over, in thousandths.
    #[prost(uint64, tag = "2")]
    pub tokens_milli: u64,
}

/// Asks the home of a backend server for a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseOpen {
    /// Number of the lease, unique on the connection between the VMs.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// Name of the server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Account in whose name statements run.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Milliseconds for which to wait for a connection.
    #[prost(uint32, tag = "4")]
    pub patience_ms: u32,
    /// Session values and the statement to prepare.
    #[prost(message, optional, tag = "5")]
    pub setup: Option<LeaseSetup>,
}

/// What a connection must know before a statement runs on it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseSetup {
    /// Session values, names and values by turns.
    #[prost(string, repeated, tag = "1")]
    pub values: Vec<String>,
    /// Text of the statement to prepare, if any.
    #[prost(string, optional, tag = "2")]
    pub shape: Option<String>,
    /// Whether that statement writes.
    #[prost(bool, tag = "3")]
    pub writes: bool,
}

/// Says whether a connection was lent, or prepared.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseState {
    /// Number of the lease.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// 0 when all is well, else why not.
    #[prost(uint32, tag = "2")]
    pub error: u32,
}

/// Prepares a connection on loan for the next statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeasePrepare {
    /// Number of the lease.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// What it must know.
    #[prost(message, optional, tag = "2")]
    pub setup: Option<LeaseSetup>,
}

/// Runs a command on a connection on loan.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseCommand {
    /// Number of the lease.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// The command as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// Answers a command; without an answer the connection is lost.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseAnswer {
    /// Number of the lease.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// The answer as JSON.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub answer: Option<bytes::Bytes>,
}

/// Ends a lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseEnd {
    /// Number of the lease.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// 0 to close the connection, 1 to give it back clean, 2 to roll back first.
    #[prost(uint32, tag = "2")]
    pub how: u32,
}

/// Asks for a document of which the other VM holds a newer version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentAsk {
    /// Which document it is.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// A document of the directory for a VM that holds an older one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Which document it is.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The document as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub json: bytes::Bytes,
}
