//! The traits that connect the engine to protocols and to a directory.
//!
//! An adapter implements three interfaces: the protocol of callers
//! ([`CallerProtocol`]), the protocol of backend servers ([`ServerProtocol`]),
//! and the [`Directory`], which stores rows, reports changes and promotes
//! servers. All calls are dispatched statically.

use std::{future::Future, io, net::SocketAddr};

use chicoryhollow_core::{
    AccountId, DataCentreId, GroupId, Position, ServerId, Term, VmId, budget::LimitReason,
    coordinator::FencingToken, failover::ReplicationStatus, usage::DecidedWindow,
    version::DirectoryVersion,
};
use tokio::{
    net::TcpStream,
    sync::{mpsc::UnboundedSender, watch},
};

use crate::{
    budget::Meter,
    catalog::{Catalog, ServerEntry},
    statement::{Answer, Command, Hello, Reply, Request, TransactionState},
};

/// Accepts callers of one wire protocol.
pub trait CallerProtocol: 'static {
    /// Connection of one caller.
    type Caller: Caller;

    /// Wraps an accepted connection, before anything is read from it. What is held for the
    /// caller is counted by `meter`.
    fn open(&self, stream: TcpStream, meter: Meter) -> Self::Caller;
}

/// Connection of one caller.
pub trait Caller {
    /// Reads the first message; `None` if the caller closed the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the message is malformed.
    fn read_hello(&mut self) -> impl Future<Output = Result<Option<Hello>, LinkError>>;

    /// Reads the next request; `None` if the caller closed the connection.
    ///
    /// The future may be dropped before it completes without losing a request.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the message is malformed.
    fn next_request(&mut self) -> impl Future<Output = Result<Option<Request>, LinkError>>;

    /// Sends a reply with the transaction state of the session and, if a
    /// backend server answered, the position of its log.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    fn reply(
        &mut self,
        reply: &Reply,
        state: TransactionState,
        position: Option<Position>,
    ) -> impl Future<Output = Result<(), LinkError>>;

    /// Sends a final refusal, after which the connection is closed.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    fn reject(&mut self, reply: &Reply) -> impl Future<Output = Result<(), LinkError>>;

    /// Closes the connection so that the caller receives all replies, as
    /// [`linger::close`](crate::linger::close) does.
    fn close(&mut self) -> impl Future<Output = ()>;
}

/// Backend server and client account of a new connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the server that must answer; any other one is an error.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Database group that the server must belong to.
    pub group: GroupId,
    /// Client account as which statements run.
    pub account: AccountId,
}

/// Connects to backend servers of one wire protocol.
pub trait ServerProtocol: 'static {
    /// Connection to one backend server.
    type Link: ServerLink;

    /// Connects and checks that the expected server answered.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached, accepts no more connections or
    /// is not the expected one.
    fn connect(&self, target: &Target) -> impl Future<Output = Result<Self::Link, LinkError>>;
}

/// Connection to one backend server.
pub trait ServerLink: 'static {
    /// Sends commands without waiting for their answers.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    fn send(&mut self, commands: &[Command]) -> impl Future<Output = Result<(), LinkError>>;

    /// Receives the answer to the oldest unanswered command.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the answer is malformed.
    fn receive(&mut self) -> impl Future<Output = Result<Answer, LinkError>>;

    /// Returns whether the server has kept the connection open, without waiting.
    fn is_open(&mut self) -> bool;

    /// Parses the status in the answer to [`Command::Status`],
    /// [`Command::Hold`], [`Command::Release`] or [`Command::StepDown`].
    fn parse_status(answer: &Answer) -> Option<ServerStatus>;
}

/// Replication status that a backend server reports about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerStatus {
    /// Whether the server accepts writes.
    pub is_primary: bool,
    /// Term of the server.
    pub term: Term,
    /// Newest position that it has received.
    pub received: Position,
    /// Term at which the server was fenced, which stops it from receiving; zero
    /// if it is not fenced.
    pub fenced_term: Term,
}

impl From<ServerStatus> for ReplicationStatus {
    fn from(status: ServerStatus) -> Self {
        ReplicationStatus {
            primary: status.is_primary,
            term: status.term,
            received: status.received,
            fenced_term: status.fenced_term,
        }
    }
}

/// Why a connection cannot be used any more.
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
    /// The server has reached its limit of connections.
    #[error("the server accepts no more connections")]
    Full,
    /// Another server answered at the address.
    #[error("another server answered at the address")]
    WrongServer,
    /// No answer arrived in time.
    #[error("no answer in time")]
    TimedOut,
    /// The caller exceeded a limit.
    #[error("limit exceeded: {0}")]
    Limit(LimitReason),
}

/// A change that the directory reports.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration, which contains its version.
    Catalog(Box<Catalog>),
    /// Version of the directory, and all data centres that are evacuated.
    Evacuated(DirectoryVersion, Vec<DataCentreId>),
    /// Version of the directory, and all registered servers.
    Servers(DirectoryVersion, Vec<ServerEntry>),
    /// Whether the directory answers.
    Reachable(bool),
    /// Key of an entry that cannot be used, and the reason.
    Unreadable(String, String),
}

/// All registered servers at one version of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Servers {
    /// Version of the directory when the entries were read.
    pub version: DirectoryVersion,
    /// Entries that can be used.
    pub entries: Vec<ServerEntry>,
}

/// A row of a table that the engine owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key within the table.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
    /// Version of the directory at the last change of the row.
    pub version: DirectoryVersion,
}

/// All rows of a table at one version of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rows {
    /// Version of the directory when the rows were read.
    pub version: DirectoryVersion,
    /// Rows of the table.
    pub rows: Vec<Row>,
}

/// A conditional change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Table of the engine.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
    /// Version that the row must have, or `None` for no condition. The row must not exist
    /// if this is the start of an era. A version of an earlier era than the directory's
    /// never matches.
    pub expected: Option<DirectoryVersion>,
    /// New content, or `None` to remove the row.
    pub value: Option<Vec<u8>>,
}

/// The result of a [`RowWrite`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The row was written and has this version.
    Done(DirectoryVersion),
    /// The row has another version than expected, or the directory came back from a copy,
    /// so that the expected version may have been another one of the same number.
    Conflict,
}

/// An order to promote a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromoteOrder {
    /// Group of the server.
    pub group: GroupId,
    /// Server to promote.
    pub server: ServerId,
    /// VM that gives the order, the failover coordinator.
    pub holder: VmId,
    /// Fencing token of that VM.
    pub token: FencingToken,
}

/// The answer to a [`PromoteOrder`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionOutcome {
    /// The server is the primary or is being promoted.
    Accepted,
    /// A newer fencing token was used before, or the server does not run.
    Refused,
}

/// A report of the statements of each account in one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// What is reported.
    pub decided: DecidedWindow,
    /// VM that reports, the failover coordinator.
    pub holder: VmId,
    /// Fencing token of that VM.
    pub token: FencingToken,
}

/// The answer to a [`UsageReport`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UsageOutcome {
    /// The report was accepted, now or before.
    Accepted,
    /// A newer fencing token was used before.
    Refused,
}

/// Why the directory did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DirectoryError {
    /// The directory rejected the request without executing it.
    #[error("the directory rejected the request without executing it")]
    TurnedAway,
    /// No answer arrived: the request may have been executed, or may still be.
    #[error("no answer from the directory")]
    Unanswered,
}

/// How a VM reads the documents of the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// Not at all.
    Paused,
    /// Once, at the start, so that the VM need not wait for others that start too.
    Once,
    /// Whenever they change, on behalf of the other VMs too.
    Always,
}

/// Stores rows, reports changes and promotes servers.
pub trait Directory: Clone + 'static {
    /// Sends changes until the receiver is dropped, as `reading` says. The current state
    /// is sent first, and again after each pause.
    fn follow(
        &self,
        changes: UnboundedSender<Change>,
        reading: watch::Receiver<Reading>,
    ) -> impl Future<Output = ()> + 'static;

    /// Reads which servers are registered now.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer arrives.
    fn servers(&self) -> impl Future<Output = Result<Servers, DirectoryError>>;

    /// Reads all rows of one of the engine's tables.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer arrives.
    fn rows(&self, table: &'static str) -> impl Future<Output = Result<Rows, DirectoryError>>;

    /// Changes a row if it has the expected version.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer arrives.
    fn write(&self, write: &RowWrite)
    -> impl Future<Output = Result<WriteOutcome, DirectoryError>>;

    /// Orders the promotion of a server.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer arrives.
    fn promote(
        &self,
        order: &PromoteOrder,
    ) -> impl Future<Output = Result<PromotionOutcome, DirectoryError>>;

    /// Reports the statements of each account in one window.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer arrives.
    fn report_usage(
        &self,
        report: &UsageReport,
    ) -> impl Future<Output = Result<UsageOutcome, DirectoryError>>;
}
