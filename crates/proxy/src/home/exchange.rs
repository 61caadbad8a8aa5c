//! Short exchanges with a backend server that the proxy itself starts.
//!
//! The proxy reads the id of a transaction and the term of the server, and rolls back
//! transactions that were left open.

use std::time::Duration;

use chicoryhollow_core::prelude::*;
use pgwire::messages::PgWireBackendMessage;
use tokio::time::timeout;

use super::{
    backend::{Backend, BackendError, error_code},
    request,
    scheduler::PooledConnection,
};
use crate::wire::Frame;

/// SQLSTATE of a write that is refused because the server is not the primary.
const READ_ONLY: &str = "25006";

/// Maximum time for a rollback; after it the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of reading the transaction id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum XidResult {
    /// The transaction has this id.
    Xid(u64),
    /// The server has no transaction ids; the connection stays usable.
    Unavailable,
    /// The server is not the primary.
    NotPrimary,
    /// The connection can no longer be used.
    Lost,
}

/// Reads the id of the open transaction, or of a new one if none is open.
pub(crate) async fn fetch_xid(backend: &mut Backend, max_wait: Duration) -> XidResult {
    timeout(max_wait, fetch_xid_unbounded(backend))
        .await
        .unwrap_or(Ok(XidResult::Lost))
        .unwrap_or(XidResult::Lost)
}

async fn fetch_xid_unbounded(backend: &mut Backend) -> Result<XidResult, BackendError> {
    let query = request::encode_xid_query(&mut backend.prepared);
    backend.send(query)?;
    let mut xid = None;
    loop {
        let frame = backend.receive().await?;
        match frame.tag() {
            b'D' => xid = request::decode_single_value(&frame),
            b'C' => return Ok(xid.map_or(XidResult::Lost, XidResult::Xid)),
            b'E' => {
                request::forget_xid(&mut backend.prepared);
                backend.send(request::encode_sync())?;
                skip_to_ready(backend).await?;
                let not_primary = is_not_primary(&frame);
                return Ok(if not_primary {
                    XidResult::NotPrimary
                } else {
                    XidResult::Unavailable
                });
            }
            _ => {}
        }
    }
}

/// Returns the current term of the server.
///
/// If the last reported term is older than `expected`, this sends an empty statement first
/// so that the server reports its term again.
pub(crate) async fn fetch_term(
    backend: &mut Backend,
    expected: Term,
    max_wait: Duration,
) -> Result<Term, BackendError> {
    let reported = |backend: &Backend| backend.position().map_or(expected, Position::term);
    if reported(backend) >= expected {
        return Ok(reported(backend));
    }
    backend.send(request::encode_query(""))?;
    timeout(max_wait, skip_to_ready(backend)).await.unwrap_or(Err(BackendError::Closed))?;
    Ok(reported(backend))
}

/// Rolls back an open transaction and returns its connection to the pool.
///
/// Closes the connection if the rollback fails or takes too long.
pub(crate) async fn roll_back(mut connection: PooledConnection) {
    let rolling = async {
        let backend = connection.backend().map_err(|_| BackendError::Closed)?;
        backend.send(request::encode_query("ROLLBACK"))?;
        skip_to_ready(backend).await
    };
    if let Ok(Ok(b'I')) = timeout(ROLLBACK_TIMEOUT, rolling).await {
        connection.release();
    }
}

/// Returns whether an error says that the server is not the primary.
pub(crate) fn is_not_primary(frame: &Frame) -> bool {
    match frame.decode_backend() {
        Ok(PgWireBackendMessage::ErrorResponse(error)) => error_code(&error.fields) == READ_ONLY,
        _ => false,
    }
}

/// Reads to the end of an answer and returns the transaction status.
async fn skip_to_ready(backend: &mut Backend) -> Result<u8, BackendError> {
    loop {
        let frame = backend.receive().await?;
        if frame.tag() == b'Z' {
            return Ok(frame.bytes().last().copied().unwrap_or(b'E'));
        }
    }
}
