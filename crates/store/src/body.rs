//! Bodies of HTTP answers.
//!
//! The time limit of a request ends with the head of its answer. The rest of an answer may
//! take long on a narrow link, so its size decides how long it may take in all, but it must
//! keep arriving: a connection that has gone dark reports no error.

use std::time::Duration;

use awc::{ClientResponse, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;

/// Time without any part of an answer after which it is given up. It leaves time for
/// retransmissions of a lost packet.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why the body of an answer could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// Nothing more arrived, although the answer was not complete.
    #[error("the answer stopped midway")]
    Stalled,
    /// The body has more bytes than allowed.
    #[error("the answer has more than {0} bytes")]
    TooLarge(usize),
    /// The connection failed or the encoding is invalid.
    #[error(transparent)]
    Payload(#[from] PayloadError),
}

/// Reads the body of an answer, which may have at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is too large, or if it stops arriving before it is complete.
pub async fn read_body<S>(
    response: &mut ClientResponse<S>,
    limit: usize,
) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    loop {
        let next = timeout(STALL_TIMEOUT, response.next()).await;
        let Some(part) = next.map_err(|_| BodyError::Stalled)? else {
            return Ok(body.freeze());
        };
        let part = part?;
        if body.len() + part.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&part);
    }
}
