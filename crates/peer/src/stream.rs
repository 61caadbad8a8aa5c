//! Messages that carry one caller's statements to a backend server and the answers
//! back.
//!
//! The entry, which is the VM that the caller is connected to, opens a stream to
//! the home of the backend server. A stream uses at most one connection to the
//! server, from its first batch until the connection is idle again and the stream
//! is closed.

/// A position in a group's log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Position {
    /// Term in which the position was written.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Log position (LSN) within the group.
    #[prost(uint64, tag = "2")]
    pub lsn: u64,
}

/// What a stream may be used for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum Access {
    /// Reads on a replica or the primary that has applied at least
    /// [`Open::needed`].
    Read = 0,
    /// Reads and writes on the primary.
    Write = 1,
    /// Reads on the primary after a barrier that is taken when the stream opens.
    Barrier = 2,
}

/// Opens a stream to the home of a backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Open {
    /// Number of the stream. The entry chooses it and never reuses it within its
    /// incarnation.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Name of the backend server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Name of the client account.
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
    /// Maximum age of the data that the read accepts, in milliseconds.
    #[prost(uint64, optional, tag = "7")]
    pub max_age_ms: Option<u64>,
    /// Maximum time in milliseconds that the home waits for the server to apply
    /// `needed`. After that it answers that the server is behind.
    #[prost(uint32, tag = "8")]
    pub patience_ms: u32,
}

/// A named statement that later batches may execute.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    /// Name on connections to the backend server, derived from the statement.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The encoded `Parse` message under that name.
    #[prost(bytes = "bytes", tag = "2")]
    pub parse: bytes::Bytes,
}

/// Statements of one batch: frontend messages up to a `Sync` or `Query` message.
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
    /// Number of the batch on its stream, starting at one.
    #[prost(uint32, tag = "6")]
    pub number: u32,
}

/// Part of an answer: complete encoded backend messages, without `ReadyForQuery`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Encoded backend messages.
    #[prost(bytes = "bytes", tag = "2")]
    pub messages: bytes::Bytes,
}

/// End of the answer to one batch. The entry turns it into `ReadyForQuery`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ready {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Transaction status byte: `I`, `T` or `E`.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Newest position that the answer shows. It is confirmed if no transaction is
    /// open.
    #[prost(message, optional, tag = "3")]
    pub position: Option<Position>,
}

/// Allows the home to send more of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Credit {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Bytes of the answer that the entry has consumed since its last credit.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// Ends a stream. Either side sends it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Close {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Label of the refusal, or empty for a regular end.
    #[prost(string, tag = "2")]
    pub refusal: String,
    /// Position that the server has applied, if the stream was refused because the
    /// server was behind.
    #[prost(message, optional, tag = "3")]
    pub applied: Option<Position>,
}

/// Cancels the statement that is running on a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Interrupt {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// Reports the transaction that is about to run, so that the entry can determine
/// its outcome if it loses the home.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Noted {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Term in which the transaction runs.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Transaction id.
    #[prost(uint64, tag = "3")]
    pub xid: u64,
}

/// Asks for the outcome of a batch after the connection was lost.
///
/// If the home does not know the batch, it refuses the batch should it arrive
/// later.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Inquiry {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Number of the batch on its stream.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

/// State of a batch at its home.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum BatchState {
    /// The batch has not arrived and will not run.
    Unknown = 0,
    /// The batch is running.
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
    /// Label of the refusal if the batch was refused.
    #[prost(string, tag = "4")]
    pub refusal: String,
    /// The whole answer if the batch has finished and its answer was kept.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub answer: Option<bytes::Bytes>,
    /// The end of the answer if the batch has finished.
    #[prost(message, optional, tag = "6")]
    pub ready: Option<Ready>,
}
