//! What the engine needs of the world around it.
//!
//! An adapter implements three seams: the protocol of callers, the protocol of
//! backend servers, and the directory, which keeps rows, tells of changes and
//! promotes servers. All calls are dispatched statically.

use std::{future::Future, io, net::SocketAddr};

use chicoryhollow_core::{
    AccountId, DataCentreId, GroupId, Position, ServerId, Term, VmId, coordinator::FencingToken,
};
use tokio::{
    net::TcpStream,
    sync::{mpsc::UnboundedSender, watch},
};

use crate::{
    catalog::{Catalog, ServerEntry},
    statement::{Answer, Command, Hello, Reply, Request, TransactionState},
};

/// Speaks with callers.
pub trait CallerProtocol: 'static {
    /// One caller's connection.
    type Caller: Caller;

    /// Takes over a connection that was accepted.
    fn open(&self, stream: TcpStream) -> Self::Caller;
}

/// One caller's connection.
pub trait Caller {
    /// Reads what the caller shows first; `None` when it left.
    ///
    /// # Errors
    ///
    /// Fails when the connection does or a message is malformed.
    fn read_hello(&mut self) -> impl Future<Output = Result<Option<Hello>, LinkError>>;

    /// Reads the next request; `None` when the caller left. May be cancelled.
    ///
    /// # Errors
    ///
    /// Fails when the connection does or a message is malformed.
    fn next_request(&mut self) -> impl Future<Output = Result<Option<Request>, LinkError>>;

    /// Sends an answer, then the state of the session and the position that the
    /// server's log had, if one answered.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    fn reply(
        &mut self,
        reply: &Reply,
        state: TransactionState,
        position: Option<Position>,
    ) -> impl Future<Output = Result<(), LinkError>>;

    /// Sends a last refusal, after which the connection is closed.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    fn reject(&mut self, reply: &Reply) -> impl Future<Output = Result<(), LinkError>>;
}

/// Where and as whom to connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the server that must answer.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Group that it must belong to.
    pub group: GroupId,
    /// Client account in whose name statements run.
    pub account: AccountId,
}

/// Speaks with backend servers.
pub trait ServerProtocol: 'static {
    /// One connection to a backend server.
    type Link: ServerLink;

    /// Connects and checks that the expected server answered.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached, is full or is another one.
    fn connect(&self, target: &Target) -> impl Future<Output = Result<Self::Link, LinkError>>;
}

/// One connection to a backend server.
pub trait ServerLink: 'static {
    /// Sends commands without waiting for their answers.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    fn send(&mut self, commands: &[Command]) -> impl Future<Output = Result<(), LinkError>>;

    /// Receives the answer to the oldest command that has none yet.
    ///
    /// # Errors
    ///
    /// Fails when the connection does or the answer is malformed.
    fn receive(&mut self) -> impl Future<Output = Result<Answer, LinkError>>;

    /// Tells whether the other side has not closed the connection, without
    /// waiting.
    fn is_open(&mut self) -> bool;

    /// Reads the status out of the answer to [`Command::Status`] and its kin.
    fn parse_status(answer: &Answer) -> Option<ServerStatus>;
}

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerStatus {
    /// Whether it takes writes.
    pub is_primary: bool,
    /// Its term.
    pub term: Term,
    /// Newest position that it has received.
    pub received: Position,
    /// Term at which it was stopped from receiving; zero when it was not.
    pub fenced_term: Term,
}

/// Why a connection is of no more use.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other side closed the connection.
    #[error("connection closed")]
    Closed,
    /// A message broke the protocol.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The server has as many connections as it takes.
    #[error("the server takes no more connections")]
    Full,
    /// Another server answered at the address.
    #[error("another server answered at the address")]
    WrongServer,
    /// Nothing came in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Something that the directory tells.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration, with its version inside.
    Catalog(Box<Catalog>),
    /// All data centres that are taken out, as of a version of the directory.
    Evacuated(u64, Vec<DataCentreId>),
    /// All servers that have registered themselves, as of a version.
    Servers(u64, Vec<ServerEntry>),
    /// Whether the directory answers.
    Reachable(bool),
    /// What is written under this key cannot be used, for this reason.
    Unreadable(String, String),
}

/// A row of a table that the engine owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key within the table.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
    /// Version at its last change.
    pub version: u64,
}

/// All rows of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rows {
    /// Version of the directory at that moment.
    pub version: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A change of one row under a condition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Table of the engine.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
    /// Version that the row must have, 0 when it must not exist, or `None` for
    /// no condition.
    pub expected: Option<u64>,
    /// New content, or `None` to remove the row.
    pub value: Option<Vec<u8>>,
}

/// What became of a [`RowWrite`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It was done, with this version.
    Done(u64),
    /// The row has another version.
    Conflict,
}

/// An order to promote a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromoteOrder {
    /// Group of the server.
    pub group: GroupId,
    /// The server.
    pub server: ServerId,
    /// VM that gives the order.
    pub holder: VmId,
    /// Its fencing token.
    pub token: FencingToken,
}

/// The answer to a [`PromoteOrder`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionOutcome {
    /// The server is primary or soon will be.
    Accepted,
    /// A newer token was used, or the server does not run.
    Refused,
}

/// Why the directory did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DirectoryError {
    /// Nothing was done.
    #[error("turned away, not done")]
    TurnedAway,
    /// No answer came: it may have been done, or may be done later.
    #[error("no answer")]
    Unanswered,
}

/// Keeps rows, tells of changes and promotes servers.
pub trait Directory: Clone + 'static {
    /// Tells of changes until the receiver is dropped, beginning with the
    /// present state. While `gate` is false nothing is read; when it opens, the
    /// present state is told anew.
    fn follow(
        &self,
        changes: UnboundedSender<Change>,
        gate: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + 'static;

    /// Reads all rows of one of the engine's tables.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer came.
    fn rows(&self, table: &'static str) -> impl Future<Output = Result<Rows, DirectoryError>>;

    /// Changes a row.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer came.
    fn write(&self, write: &RowWrite)
    -> impl Future<Output = Result<WriteOutcome, DirectoryError>>;

    /// Orders a promotion.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer came.
    fn promote(
        &self,
        order: &PromoteOrder,
    ) -> impl Future<Output = Result<PromotionOutcome, DirectoryError>>;
}
