//! Messages between VMs that run the session engine. The backend servers of these
//! VMs report their term and log position themselves.
//!
//! VMs exchange heartbeats, which report what each of them knows of the directory
//! and of the database groups. They relay documents of the directory, hand each
//! other tokens of accounts' rates, and use each other's connections to backend
//! servers. The messages call such a forwarded connection a lease (`LeaseOpen`,
//! `LeaseCommand` and so on). It is no time-limited claim: their field `lease` is
//! the connection's number on the link.

mod contact;

pub use self::contact::{ContactAnswer, ContactAsk, ReplicaReport};

/// A heartbeat with what the sender knows. The first message of each side of a
/// connection is a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Beat {
    /// Name of the sending VM; empty except in the first message.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the sending daemon; 0 except in the first message.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the heartbeat on this connection.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Number of the last heartbeat received from the other side, or 0 for none.
    #[prost(uint64, tag = "4")]
    pub echo: u64,
    /// Versions of the directory's documents that the sender holds, in the order
    /// of the numbers of their kinds. Empty if neither versions nor digests have changed
    /// since they were last sent on this connection, or if the receiver is no neighbour and
    /// this is not the first message.
    #[prost(uint64, repeated, tag = "5")]
    pub versions: Vec<u64>,
    /// Milliseconds since the sender last knew that its documents were the newest.
    #[prost(uint32, tag = "8")]
    pub fresh_ms: u32,
    /// Whether the sender reads the directory and gets answers.
    #[prost(bool, tag = "9")]
    pub reads: bool,
    /// Whether the sender has chosen the receiver as a neighbour, a VM that it
    /// exchanges heartbeats with.
    #[prost(bool, tag = "10")]
    pub chosen: bool,
    /// Digests of the documents that the sender holds, in the order of
    /// [`Beat::versions`].
    #[prost(fixed64, repeated, tag = "11")]
    pub digests: Vec<u64>,
    /// Last known version of the row that holds the role of failover coordinator,
    /// or 0 for none.
    #[prost(uint64, tag = "12")]
    pub duty_version: u64,
    /// Milliseconds since any VM first saw that version of the coordinator's row.
    #[prost(uint32, tag = "13")]
    pub duty_ms: u32,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Whether the sender requests a heartbeat in reply.
    #[prost(bool, tag = "14")]
    pub wants_reply: bool,
    /// What the sender knows of the groups and has not told the receiver before. Empty
    /// if the receiver is no neighbour.
    #[prost(message, repeated, tag = "7")]
    pub groups: Vec<GroupState>,
}

/// What a VM knows of one group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupState {
    /// Name of the group; empty if [`GroupState::number`] was sent with it before.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Number that stands for the name on this connection, or 0 for none.
    #[prost(uint32, tag = "10")]
    pub number: u32,
    /// Name of the primary; empty if the receiver was told of this term before.
    #[prost(string, tag = "2")]
    pub primary: String,
    /// Term of the primary.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Term of the newest acknowledged commit; 0 for [`GroupState::term`] if there is a log
    /// position.
    #[prost(uint64, tag = "4")]
    pub acknowledged_term: u64,
    /// Log position of the newest acknowledged commit.
    #[prost(uint64, tag = "5")]
    pub acknowledged_lsn: u64,
    /// Milliseconds for which requests to the primary have failed, or 0 if they
    /// succeed.
    #[prost(uint32, tag = "6")]
    pub failing_ms: u32,
    /// Term of the newest observed position; 0 for [`GroupState::term`] if there is a log
    /// position. The fields that begin with `mark_`
    /// describe a position that a backend server reported and the time at which it
    /// was requested.
    #[prost(uint64, tag = "7")]
    pub mark_term: u64,
    /// Log position (LSN) of the newest observed position.
    #[prost(uint64, tag = "8")]
    pub mark_lsn: u64,
    /// Time at which the observed position was requested, in microseconds after
    /// the sender received the heartbeat named by [`Beat::echo`]. Negative if it
    /// was requested before. Missing if there is no observed position.
    #[prost(sint64, optional, tag = "9")]
    pub mark_after_us: Option<i64>,
    /// Term whose primary was promoted by a VM of the sender's version, or 0 for none.
    #[prost(uint64, tag = "11")]
    pub start_term: u64,
    /// Log position at which that primary began.
    #[prost(uint64, tag = "12")]
    pub start_lsn: u64,
    /// Newest failover that may run.
    #[prost(message, optional, tag = "13")]
    pub failover: Option<Failover>,
}

/// A failover that a coordinator has begun.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Failover {
    /// Number of the failover.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Term of the primary that it replaces.
    #[prost(uint64, tag = "2")]
    pub replaced: u64,
    /// Milliseconds since it was begun.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether an order of an earlier failover may still be carried out.
    #[prost(bool, tag = "4")]
    pub ordered: bool,
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

/// Hands tokens of an account's rate over. The sender has already removed them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenGrant {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens handed over, in thousandths.
    #[prost(uint64, tag = "2")]
    pub tokens_milli: u64,
}

/// Asks the home of a backend server to open a forwarded connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseOpen {
    /// Number of the forwarded connection, unique on the link between the VMs.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// Name of the backend server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Name of the client account for which statements run.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Maximum time in milliseconds to wait for a free connection.
    #[prost(uint32, tag = "4")]
    pub patience_ms: u32,
    /// Session values to set and the statement to prepare.
    #[prost(message, optional, tag = "5")]
    pub setup: Option<LeaseSetup>,
    /// Priority of the statement; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
}

/// State that a connection needs before a statement runs on it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseSetup {
    /// Session values, as alternating names and values.
    #[prost(string, repeated, tag = "1")]
    pub values: Vec<String>,
    /// Text of the statement to prepare, if there is one.
    #[prost(string, optional, tag = "2")]
    pub shape: Option<String>,
    /// Whether that statement writes.
    #[prost(bool, tag = "3")]
    pub writes: bool,
}

/// Reports whether a forwarded connection was opened or prepared.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseState {
    /// Number of the forwarded connection.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// 0 on success, or else the reason: 1 if all connections stayed in use, 2 if
    /// the server accepts no more connections, 3 if it could not be reached.
    #[prost(uint32, tag = "2")]
    pub error: u32,
    /// What the home knows of the server's load, if a report is due.
    #[prost(message, optional, tag = "3")]
    pub report: Option<ServerReport>,
}

/// What a home of a backend server knows of the server's load. It is sent only along with
/// other messages.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerReport {
    /// Average number of connections of the home that are in use, in hundredths.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Requests that wait for a connection of the home.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Expected wait for a connection in microseconds, by priority; empty if there is none.
    #[prost(uint32, repeated, tag = "3")]
    pub waits_us: Vec<u32>,
    /// Mean service time of the server, in microseconds.
    #[prost(uint32, tag = "4")]
    pub service_us: u32,
    /// Lowest recent mean service time, in microseconds.
    #[prost(uint32, tag = "5")]
    pub quiet_us: u32,
    /// Share of recent statements that the server rejected, in thousandths.
    #[prost(uint32, tag = "6")]
    pub rejected: u32,
    /// Share of recent statements whose connection broke, in thousandths.
    #[prost(uint32, tag = "7")]
    pub broken: u32,
    /// Share of recent statements that got no answer in time, in thousandths.
    #[prost(uint32, tag = "8")]
    pub unanswered: u32,
    /// Term of the newest position that the server is known to have applied.
    #[prost(uint64, tag = "9")]
    pub term: u64,
    /// Log position of it.
    #[prost(uint64, tag = "10")]
    pub lsn: u64,
    /// Milliseconds since the newest measurement.
    #[prost(uint32, tag = "11")]
    pub age_ms: u32,
    /// Microseconds in which the home carried out what this message answers.
    #[prost(uint32, tag = "12")]
    pub ran_us: u32,
}

/// Prepares a forwarded connection for the next statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeasePrepare {
    /// Number of the forwarded connection.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// Session values to set and the statement to prepare.
    #[prost(message, optional, tag = "2")]
    pub setup: Option<LeaseSetup>,
}

/// Runs a command on a forwarded connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseCommand {
    /// Number of the forwarded connection.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// The command as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// Answers a [`LeaseCommand`]. If the answer is missing, the connection is lost.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseAnswer {
    /// Number of the forwarded connection.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// The answer as JSON.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub answer: Option<bytes::Bytes>,
    /// What the home knows of the server's load, if a report is due.
    #[prost(message, optional, tag = "3")]
    pub report: Option<ServerReport>,
}

/// Ends the use of a forwarded connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseEnd {
    /// Number of the forwarded connection.
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    /// What the home does with its pooled connection: 0 to close it, 1 to return
    /// it to the pool as it is, 2 to roll back and then return it.
    #[prost(uint32, tag = "2")]
    pub how: u32,
}

/// Asks for a document of which the receiver holds a newer version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentAsk {
    /// Number of the document's kind: 0 for the configuration, 1 for evacuated data
    /// centres, 2 for registered backend servers, 3 for the list of VMs.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Whether the sender can restore a compressed document.
    #[prost(bool, tag = "2")]
    pub packed: bool,
    /// Whether the sender can put a document together from pieces.
    #[prost(bool, tag = "3")]
    pub pieces: bool,
}

/// A document of the directory, or a piece of it. It is sent to a VM that holds an older
/// version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Number of the document's kind: 0 for the configuration, 1 for evacuated data
    /// centres, 2 for registered backend servers, 3 for the list of VMs.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Version of the document.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The document as JSON, compressed if [`Document::packed`]; see
    /// [`Document::content`]. Only a part of it in a piece.
    #[prost(bytes = "bytes", tag = "3")]
    pub json: bytes::Bytes,
    /// Whether the document is compressed.
    #[prost(bool, tag = "4")]
    pub packed: bool,
    /// Size of [`Document::json`] in bytes once all pieces are put together, or 0 if this
    /// is no piece.
    #[prost(uint32, tag = "5")]
    pub size: u32,
    /// Position of the piece in bytes.
    #[prost(uint32, tag = "6")]
    pub offset: u32,
}
