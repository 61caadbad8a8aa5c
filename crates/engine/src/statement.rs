//! Statements, commands and answers, independent of any wire protocol.
//!
//! A caller sends a [`Request`] with a [`Statement`] and gets a [`Reply`]. The
//! engine sends a [`Command`] to a backend server and gets an [`Answer`].
//! Commands and answers are also serialised to forward them to another VM.

use std::fmt;

use chicoryhollow_core::{Position, Refusal, Term};
use serde::{Deserialize, Serialize};

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Access {
    /// It only reads, so a replica may run it.
    Read,
    /// It writes, so the primary must run it.
    Write,
}

/// A parsed statement of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Reads or writes; the text is passed on unchanged.
    Run(Access),
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: String,
        /// New value of the variable.
        value: String,
    },
    /// Prepares a statement under a name that is valid in the session.
    Prepare {
        /// Name that the caller chose.
        name: String,
        /// Statement that is prepared.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name that the caller chose.
        name: String,
        /// Everything after the name, as the caller wrote it.
        arguments: String,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name that the caller chose.
        name: String,
    },
    /// A statement that the protocol does not define.
    Unknown,
}

/// A statement that is prepared on a backend connection before it runs.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub access: Access,
    /// Text of the statement, opaque to the engine.
    pub text: String,
}

impl PreparedStatement {
    /// Returns the name of the statement on backend connections.
    ///
    /// The name depends only on the content, so that all sessions that use a
    /// connection share the statement.
    pub fn pooled_name(&self) -> String {
        let access = if self.access == Access::Read { 'r' } else { 'w' };
        let hex: String = self.text.bytes().map(|byte| format!("{byte:02x}")).collect();
        format!("{access}{hex}")
    }
}

/// One request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Id that the caller gave the request.
    pub id: String,
    /// Text of the statement.
    pub text: String,
    /// The parsed statement.
    pub statement: Statement,
}

/// The first message of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Name of the database, which selects the route.
    pub database: String,
    /// Secret key of the caller; empty if it sent none.
    pub key: String,
}

/// Transaction state of a session between two requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Outside of a transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a failed transaction, which can only be ended.
    Failed,
}

/// What the proxy sends to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The session is open.
    Welcome,
    /// The proxy ran the statement itself.
    Local,
    /// A backend server answered.
    Served(Served),
    /// The request was refused by the proxy.
    Refused(Refusal),
    /// A backend server refused or failed the request.
    Fault(Fault),
}

/// The answer of a backend server that ran a statement.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Served {
    /// Rows of the result, as the server sent them.
    pub rows: Vec<String>,
    /// Signature with which the server signed the answer.
    pub signature: String,
}

/// Why a backend server did not serve a statement.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum FaultKind {
    /// The server is overloaded.
    Busy,
    /// The name of the prepared statement is unknown.
    UnknownName,
    /// The server's log has not reached the requested position.
    Behind,
    /// The server is not, or no longer, the primary.
    NotPrimary,
    /// Another server than the expected one answered.
    WrongServer,
    /// The server has reached its limit of connections.
    Full,
    /// The server ran the statement, which failed.
    Failed,
    /// The server ran the statement, which exceeded a time limit.
    TimedOut,
    /// The server could not parse the message.
    Malformed,
}

impl FaultKind {
    /// Returns whether it is certain that the statement did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, FaultKind::Failed | FaultKind::TimedOut)
    }

    /// Returns the label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            FaultKind::Busy => "server_busy",
            FaultKind::UnknownName => "server_unknown_name",
            FaultKind::Behind => "server_behind",
            FaultKind::NotPrimary => "server_not_primary",
            FaultKind::WrongServer => "server_wrong",
            FaultKind::Full => "server_full",
            FaultKind::Failed => "server_failed",
            FaultKind::TimedOut => "server_timed_out",
            FaultKind::Malformed => "server_malformed",
        }
    }
}

/// A refusal or failure of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Reason of the refusal or failure.
    pub kind: FaultKind,
    /// Message of the server.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.label(), self.text)
    }
}

/// A caller's statement in the form that a backend server receives.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The caller's text, unchanged.
    Text(String),
    /// A prepared statement, run by its pooled name, and the caller's arguments.
    Prepared(PreparedStatement, String),
}

impl Body {
    /// Returns the statement that must be prepared on the connection first.
    pub fn prepared_statement(&self) -> Option<&PreparedStatement> {
        match self {
            Body::Text(_) => None,
            Body::Prepared(statement, _) => Some(statement),
        }
    }
}

/// A command that the engine sends to a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Begins a transaction; a read transaction may require a position that the
    /// server's log must have reached.
    Begin(Access, Option<Position>),
    /// Rolls back the open transaction.
    Rollback,
    /// Runs a caller's read, write or commit.
    Pass {
        /// Id that the caller gave the request.
        id: String,
        /// Statement to run.
        body: Body,
        /// Position that the server's log must have reached.
        after: Option<Position>,
    },
    /// Sets a session variable, by name and value.
    Set(String, String),
    /// Prepares a statement under its pooled name.
    Prepare(PreparedStatement),
    /// Drops session variables and prepared statements.
    Reset,
    /// Requests the replication status of the server.
    Status,
    /// Fences a replica at a term, which stops it from receiving.
    Hold(Term),
    /// Removes the fence from a replica, which then receives again.
    Release,
    /// Makes a primary of a lower term a replica.
    StepDown(Term),
}

/// The answer of a backend server to one [`Command`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows and signature, or the refusal or failure.
    pub result: Result<Served, Fault>,
    /// Transaction state of the connection after the command.
    pub state: TransactionState,
    /// Position of the server's log, if the server reported it.
    pub position: Option<Position>,
}
