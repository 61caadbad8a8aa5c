//! Errors of statements, and the SQLSTATE of SQLite's errors.

use pgwire::messages::response::ErrorResponse;
use rusqlite::ffi;

/// An error with its SQLSTATE, as sent to the client.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{code}: {message}")]
pub(crate) struct SqlError {
    code: &'static str,
    message: String,
}

impl SqlError {
    /// Makes an error with a SQLSTATE.
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> Self {
        SqlError { code, message: message.into() }
    }

    /// The server is not the primary, so the statement did not run.
    pub(crate) fn not_primary() -> Self {
        SqlError::new("25006", "cannot execute a statement that writes: not the primary")
    }

    /// The statement was cancelled.
    pub(crate) fn cancelled() -> Self {
        SqlError::new("57014", "canceling statement due to user request")
    }

    /// Makes the response for an error that ends a statement.
    pub(crate) fn response(&self) -> ErrorResponse {
        self.with_severity("ERROR")
    }

    /// Makes the response for an error that ends the connection.
    pub(crate) fn fatal_response(&self) -> ErrorResponse {
        self.with_severity("FATAL")
    }

    fn with_severity(&self, severity: &str) -> ErrorResponse {
        let field = |tag: u8, text: &str| (tag, text.to_owned());
        ErrorResponse::new(vec![
            field(b'S', severity),
            field(b'V', severity),
            field(b'C', self.code),
            field(b'M', &self.message),
        ])
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = match &error {
            rusqlite::Error::SqliteFailure(_, Some(text)) => text.clone(),
            rusqlite::Error::SqlInputError { msg, .. } => msg.clone(),
            other => other.to_string(),
        };
        SqlError { code: sqlstate(&error, &message), message }
    }
}

fn sqlstate(error: &rusqlite::Error, message: &str) -> &'static str {
    match error.sqlite_error().map(|e| e.extended_code) {
        Some(ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY) => "23505",
        Some(ffi::SQLITE_CONSTRAINT_NOTNULL) => "23502",
        Some(ffi::SQLITE_CONSTRAINT_FOREIGNKEY) => "23503",
        Some(ffi::SQLITE_CONSTRAINT_CHECK) => "23514",
        _ if message.contains("no such table") => "42P01",
        _ if message.contains("already exists") => "42P07",
        _ if message.contains("no such column") => "42703",
        _ if message.contains("no such function") => "42883",
        _ if message.contains("syntax error") || message.contains("incomplete input") => "42601",
        _ if message.contains("parameter") => "08P01",
        _ => "XX000",
    }
}
