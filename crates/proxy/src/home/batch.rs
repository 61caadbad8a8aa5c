//! State of the batch that runs on a stream.

use bytes::Bytes;
use chicoryhollow_core::prelude::*;

use super::{answer::Answer, request::Preamble};

/// What is known of the batch that runs.
pub(crate) struct BatchState {
    /// Time at which the batch must be over.
    pub(crate) deadline: Time,
    /// Whether the deadline passed and was extended by a grace period.
    pub(crate) late: bool,
    /// Whether the connection can no longer be used.
    pub(crate) lost: bool,
    /// Messages of the caller.
    pub(crate) messages: Bytes,
    /// Whether the server refused a write because it is not the primary.
    pub(crate) not_primary: bool,
    /// What was not passed on yet.
    pub(crate) answer: Answer,
    /// Answers due to what the proxy itself sent.
    pub(crate) preamble: Preamble,
}

impl BatchState {
    /// Makes the state of a batch before it is sent; `holds` tells whether
    /// completions are held back.
    pub(crate) fn new(deadline: Time, holds: bool) -> Self {
        BatchState {
            deadline,
            late: false,
            lost: false,
            messages: Bytes::new(),
            not_primary: false,
            answer: Answer::new(holds),
            preamble: Preamble::default(),
        }
    }
}
