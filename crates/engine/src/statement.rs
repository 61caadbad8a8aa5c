//! Statements and answers, free of any wire protocol.

use std::fmt;

use chicoryhollow_core::{Position, Refusal, Term};
use serde::{Deserialize, Serialize};

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// What a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes by itself; the text is carried through.
    Run(Access),
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name that the caller chose.
        name: String,
        /// What the statement is.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name that the caller chose.
        name: String,
        /// Everything behind the name, as the caller wrote it.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name that the caller chose.
        name: String,
    },
    /// Something that the protocol does not know.
    Unknown,
}

/// What a prepared statement does.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub access: Access,
    /// Its text, opaque to the engine.
    pub text: String,
}

impl PreparedStatement {
    /// Returns the name under which all sessions share the statement on a
    /// backend connection.
    pub fn pooled_name(&self) -> String {
        let access = if self.access == Access::Read { 'r' } else { 'w' };
        let hex: String = self.text.bytes().map(|byte| format!("{byte:02x}")).collect();
        format!("{access}{hex}")
    }
}

/// One message of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The caller's id of the request.
    pub id: String,
    /// The statement's text.
    pub text: String,
    /// What it asks for.
    pub statement: Statement,
}

/// What a caller shows when it connects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Name of the database, which selects the route.
    pub database: String,
    /// Secret that the caller shows; empty when it shows none.
    pub key: String,
}

/// Where a session stands between two requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Outside of a transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed and can only be ended.
    Failed,
}

/// What a session is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The session is open.
    Welcome,
    /// The statement was answered by the proxy itself.
    Local,
    /// A backend server answered.
    Served(Served),
    /// The request was refused by the proxy.
    Refused(Refusal),
    /// A backend server refused or failed it.
    Fault(Fault),
}

/// The answer of a backend server that ran a statement.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Served {
    /// The rows, as the server sent them.
    pub rows: Vec<String>,
    /// The server's signature of the answer.
    pub signature: String,
}

/// Why a backend server did not serve a statement.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum FaultKind {
    /// It takes no more work.
    Busy,
    /// The prepared name is unknown.
    UnknownName,
    /// Its log lacks the position asked for.
    Behind,
    /// It is not the primary, or no longer.
    NotPrimary,
    /// It is another server than the one asked for.
    WrongServer,
    /// It has as many connections as it takes.
    Full,
    /// It ran the statement and failed.
    Failed,
    /// It ran the statement and gave up.
    TimedOut,
    /// It could not read the message.
    Malformed,
}

impl FaultKind {
    /// Tells whether the statement did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, FaultKind::Failed | FaultKind::TimedOut)
    }

    /// Returns the label in counters and logs.
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
    /// What kind it is.
    pub kind: FaultKind,
    /// What the server said.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.label(), self.text)
    }
}

/// A caller's statement as a backend server gets it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The caller's text, unchanged.
    Text(String),
    /// A prepared statement by its pooled name, with the caller's arguments.
    Prepared(PreparedStatement, String),
}

impl Body {
    /// Returns the prepared statement that must be known on the connection.
    pub fn prepared_statement(&self) -> Option<&PreparedStatement> {
        match self {
            Body::Text(_) => None,
            Body::Prepared(statement, _) => Some(statement),
        }
    }
}

/// What the engine sends to a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Begins a transaction; a read transaction may need a position.
    Begin(Access, Option<Position>),
    /// Rolls back.
    Rollback,
    /// Passes a caller's read, write or commit on, at or after a position.
    Pass {
        /// The caller's id.
        id: String,
        /// What is run.
        body: Body,
        /// Position that the server's log must hold.
        after: Option<Position>,
    },
    /// Sets a session value.
    Set(String, String),
    /// Prepares a statement under its pooled name.
    Prepare(PreparedStatement),
    /// Drops session values and prepared statements.
    Reset,
    /// Asks for the server's status.
    Status,
    /// Stops a replica from receiving, at a term.
    Hold(Term),
    /// Lets a replica receive again.
    Release,
}

/// The answer of a backend server to one [`Command`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows and signature, or the fault.
    pub result: Result<Served, Fault>,
    /// Transaction state of the connection.
    pub state: TransactionState,
    /// Position of the server's log.
    pub position: Option<Position>,
}
