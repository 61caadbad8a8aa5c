//! Control functions of a backend server.

use std::net::SocketAddr;

use chicoryhollow_config::settings::BackendRole;
use indexmap::IndexMap;
use pgwire::messages::{PgWireBackendMessage, data::DataRow, simplequery::Query};

pub use super::backend::BackendError;
use super::backend::{Backend, error_code};
use crate::wire;

/// Role reserved for control connections.
pub const CONTROL_USER: &str = "chicoryhollow_control";

/// A control connection to a backend server.
pub struct Control {
    backend: Backend,
    transferred_bytes: u64,
}

/// The one row that a control function answers, by column name.
pub type ControlRow = IndexMap<String, String>;

impl Control {
    /// Connects as the control role.
    ///
    /// # Errors
    ///
    /// Returns an error when the server cannot be reached or refuses.
    pub async fn connect(address: SocketAddr, role: &BackendRole) -> Result<Self, BackendError> {
        let backend = Backend::connect(address, CONTROL_USER, role).await?;
        Ok(Control { backend, transferred_bytes: 0 })
    }

    /// Tells whether an idle connection can no longer be used.
    pub(crate) fn is_stale(&self) -> bool {
        self.backend.is_stale()
    }

    /// Returns the bytes of questions and answers since the last call.
    pub(crate) fn take_transferred_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.transferred_bytes)
    }

    /// Calls `chicoryhollow.FUNCTION`, given with its arguments.
    ///
    /// # Errors
    ///
    /// Returns the SQLSTATE when the function fails, and an error of the
    /// connection otherwise; the connection is of no more use in either case.
    pub async fn call(&mut self, function: &str) -> Result<ControlRow, BackendError> {
        self.query(format!("SELECT * FROM chicoryhollow.{function}")).await
    }

    /// Runs a statement that answers at most one row.
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

/// Returns the text of each column; a null becomes the empty text.
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
