//! Calls of the control functions of a backend server.
//!
//! The functions are in the schema `chicoryhollow` of the server. They report its state,
//! such as the positions that a majority holds, and change its role. A separate database
//! role is reserved for these connections.

use std::net::SocketAddr;

use chicoryhollow_config::settings::BackendRole;
use indexmap::IndexMap;
use pgwire::messages::{PgWireBackendMessage, data::DataRow, simplequery::Query};

pub use super::backend::BackendError;
use super::backend::{Backend, error_code};
use crate::wire;

/// Database role that is reserved for control connections.
pub const CONTROL_USER: &str = "chicoryhollow_control";

/// A control connection to a backend server.
pub struct Control {
    backend: Backend,
    transferred_bytes: u64,
}

/// The row that a control function returns, by column name.
pub type ControlRow = IndexMap<String, String>;

impl Control {
    /// Connects as the role [`CONTROL_USER`].
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached or refuses the connection.
    pub async fn connect(address: SocketAddr, role: &BackendRole) -> Result<Self, BackendError> {
        let backend = Backend::connect(address, CONTROL_USER, role).await?;
        Ok(Control { backend, transferred_bytes: 0 })
    }

    /// Returns whether an idle connection can no longer be used.
    pub(crate) fn is_stale(&self) -> bool {
        self.backend.is_stale()
    }

    /// Returns the number of bytes sent and received since the last call.
    pub(crate) fn take_transferred_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.transferred_bytes)
    }

    /// Calls the function of the schema `chicoryhollow` that `function` names, with its
    /// arguments, such as `status()`.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::Refused`] with the SQLSTATE if the function fails, and
    /// another error if the connection fails. In both cases the connection must not be used
    /// again.
    pub async fn call(&mut self, function: &str) -> Result<ControlRow, BackendError> {
        self.query(format!("SELECT * FROM chicoryhollow.{function}")).await
    }

    /// Runs a statement that returns at most one row.
    ///
    /// # Errors
    ///
    /// As for [`Control::call`].
    pub async fn query(&mut self, sql: String) -> Result<ControlRow, BackendError> {
        let request = wire::encode(&Query::new(sql));
        self.transferred_bytes += byte_count(&request);
        self.backend.send(request)?;
        let mut names = Vec::new();
        let mut row = ControlRow::new();
        loop {
            let frame = self.backend.receive().await?;
            self.transferred_bytes += byte_count(frame.bytes());
            match frame.decode_backend()? {
                PgWireBackendMessage::RowDescription(description) => {
                    names = description.fields.into_iter().map(|field| field.name).collect();
                }
                PgWireBackendMessage::DataRow(data) => {
                    row = names.iter().cloned().zip(decode_values(&data)).collect();
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    return Err(BackendError::Refused(error_code(&error.fields)));
                }
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(row),
                _ => {}
            }
        }
    }
}

fn byte_count(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

/// Returns the text of each column; a null becomes an empty string.
fn decode_values(row: &DataRow) -> Vec<String> {
    let mut rest = &row.data[..];
    let mut values = Vec::new();
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or(0);
        let (value, tail) = tail.split_at(length.min(tail.len()));
        values.push(String::from_utf8_lossy(value).into_owned());
        rest = tail;
    }
    values
}
