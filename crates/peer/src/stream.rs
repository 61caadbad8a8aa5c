//! One caller's statements on their way to a backend server and back.
//!
//! A stream holds at most one backend connection, from its first batch until
//! the connection is idle again and the stream is closed.

/// A position of a group's log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Position {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Log position within the group.
    #[prost(uint64, tag = "2")]
    pub lsn: u64,
}

/// What a stream may be used for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum Access {
    /// Reads on a replica or the primary, from the position in
    /// [`Open::needed`] on.
    Read = 0,
    /// Reads and writes on the primary.
    Write = 1,
    /// Reads on the primary after a barrier taken when the stream opens.
    Barrier = 2,
}

/// Opens a stream to the home of a backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Open {
    /// Number of the stream, chosen by the entry and never used again by its
    /// incarnation.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Backend server to run on.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Client account that is served.
    #[prost(string, tag = "3")]
    pub account: String,
    /// What the stream may be used for.
    #[prost(enumeration = "Access", tag = "4")]
    pub access: i32,
    /// Milliseconds left until the request's deadline.
    #[prost(uint32, tag = "5")]
    pub deadline_ms: u32,
    /// Position that the server must have applied.
    #[prost(message, optional, tag = "6")]
    pub needed: Option<Position>,
    /// Age in milliseconds that the read accepts.
    #[prost(uint64, optional, tag = "7")]
    pub max_age_ms: Option<u64>,
    /// Milliseconds that the home may wait for the server to apply `needed`
    /// before it answers that the server is behind.
    #[prost(uint32, tag = "8")]
    pub patience_ms: u32,
}

/// A named statement that later batches may execute.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    /// Name on backend connections, derived from the statement itself.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The encoded `Parse` message under that name.
    #[prost(bytes = "bytes", tag = "2")]
    pub parse: bytes::Bytes,
}

/// Statements of one batch: frontend messages up to a `Sync` or `Query`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Statements that must be prepared on the connection first.
    #[prost(message, repeated, tag = "2")]
    pub prepares: Vec<Prepare>,
    /// Encoded frontend messages.
    #[prost(bytes = "bytes", tag = "3")]
    pub messages: bytes::Bytes,
    /// Whether the batch may write.
    #[prost(bool, tag = "4")]
    pub writes: bool,
    /// Milliseconds left until the batch's deadline.
    #[prost(uint32, tag = "5")]
    pub deadline_ms: u32,
    /// Number of the batch on its stream, counted from one.
    #[prost(uint32, tag = "6")]
    pub number: u32,
}

/// Part of an answer: whole encoded backend messages, without `ReadyForQuery`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Encoded backend messages.
    #[prost(bytes = "bytes", tag = "2")]
    pub messages: bytes::Bytes,
}

/// End of the answer to one batch; the entry makes `ReadyForQuery` of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ready {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Transaction status byte: `I`, `T` or `E`.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Newest position that the answer shows, confirmed when idle.
    #[prost(message, optional, tag = "3")]
    pub position: Option<Position>,
}

/// Allows the home to send more of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Credit {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Bytes taken by the entry since its last credit.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// Ends a stream, from either side.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Close {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Label of the refusal, or empty for an ordinary end.
    #[prost(string, tag = "2")]
    pub refusal: String,
    /// Position that the server has applied, when it was behind.
    #[prost(message, optional, tag = "3")]
    pub applied: Option<Position>,
}

/// Cancels the statement that runs on a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Interrupt {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// Tells the entry which transaction is about to run, so that the entry can
/// find out what became of it when the home is lost.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Noted {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Term in which the transaction runs.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Its transaction id.
    #[prost(uint64, tag = "3")]
    pub xid: u64,
}

/// Asks what became of a batch whose connection was lost.
///
/// A batch that the home does not know is never run afterwards.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Inquiry {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Number of the batch on its stream.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

/// State of a batch.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum BatchState {
    /// The batch never arrived, and will not run.
    Unknown = 0,
    /// The batch runs.
    Running = 1,
    /// The batch was refused.
    Refused = 2,
    /// The batch was answered in full.
    Finished = 3,
}

/// Answers an [`Inquiry`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finding {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Number of the batch on its stream.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// State of the batch.
    #[prost(enumeration = "BatchState", tag = "3")]
    pub state: i32,
    /// Label of the refusal of a refused batch.
    #[prost(string, tag = "4")]
    pub refusal: String,
    /// The whole answer to a finished batch, if it was kept.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub answer: Option<bytes::Bytes>,
    /// The end of that answer.
    #[prost(message, optional, tag = "6")]
    pub ready: Option<Ready>,
}
