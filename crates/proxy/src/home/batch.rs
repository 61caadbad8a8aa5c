//! State of the batch that a stream is running.

use bytes::Bytes;
use chicoryhollow_core::prelude::*;

use super::{answer::AnswerBuffer, request::Preamble};

/// State of the batch that is running.
pub(crate) struct BatchState {
    /// Time by which the batch must have ended.
    pub(crate) deadline: Time,
    /// Whether the deadline passed and was extended by a grace period.
    pub(crate) is_late: bool,
    /// Whether the connection to the server can no longer be used.
    pub(crate) connection_lost: bool,
    /// Encoded messages of the caller.
    pub(crate) messages: Bytes,
    /// Whether the server refused a write because it is not the primary.
    pub(crate) not_primary: bool,
    /// The part of the answer that was not passed on yet.
    pub(crate) answer: AnswerBuffer,
    /// Expected answers to the messages that the proxy itself sent before the batch.
    pub(crate) preamble: Preamble,
}

impl BatchState {
    /// Creates the state of a batch before it is sent.
    ///
    /// `holds_completions` says whether completions are held back until the batch is
    /// confirmed.
    pub(crate) fn new(deadline: Time, holds_completions: bool) -> Self {
        BatchState {
            deadline,
            is_late: false,
            connection_lost: false,
            messages: Bytes::new(),
            not_primary: false,
            answer: AnswerBuffer::new(holds_completions),
            preamble: Preamble::default(),
        }
    }
}
