//! State of the batch that runs on a stream.

use bytes::Bytes;
use chicoryhollow_core::prelude::*;

use super::{answer::AnswerBuffer, request::Preamble};

/// What is known of the batch that runs.
pub(crate) struct BatchState {
    /// Time at which the batch must be over.
    pub(crate) deadline: Time,
    /// Whether the deadline passed and was extended by a grace period.
    pub(crate) is_late: bool,
    /// Whether the connection can no longer be used.
    pub(crate) connection_lost: bool,
    /// Messages of the caller.
    pub(crate) messages: Bytes,
    /// Whether the server refused a write because it is not the primary.
    pub(crate) not_primary: bool,
    /// What was not passed on yet.
    pub(crate) answer: AnswerBuffer,
    /// Answers due to what the proxy itself sent.
    pub(crate) preamble: Preamble,
}

impl BatchState {
    /// Makes the state of a batch before it is sent; `holds` tells whether
    /// completions are held back.
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
