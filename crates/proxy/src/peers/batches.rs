//! Results of writing batches that entries on other VMs sent to this VM.
//!
//! An entry that loses its connection to the home during a write asks on a new connection
//! for the outcome of the batch. The results are stored here for that case.

use std::sync::{Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::{
    batch::{BatchId, BatchRegistry, BatchStatus},
    prelude::*,
};
use chicoryhollow_peer::stream;

use crate::stream::{Ready, Refused};

/// Maximum size of a stored answer in bytes. Answers to writes are short.
const MAX_STORED_ANSWER_BYTES: usize = 512;

/// How a batch ended.
#[derive(Clone, Debug)]
pub(crate) enum BatchResult {
    /// The batch was refused.
    Refused(Refused),
    /// The batch was answered. The answer is stored if it is short.
    Ready(Option<Bytes>, Ready),
}

/// Gathers the parts of an answer for as long as it is short enough to be stored.
#[derive(Debug, Default)]
pub(crate) struct StoredAnswer {
    bytes: BytesMut,
    /// Whether the answer was longer than [`MAX_STORED_ANSWER_BYTES`].
    overflowed: bool,
}

impl StoredAnswer {
    /// Adds a part of the answer.
    pub(crate) fn add(&mut self, part: &[u8]) {
        self.overflowed |= self.bytes.len() + part.len() > MAX_STORED_ANSWER_BYTES;
        if !self.overflowed {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Takes the whole answer, or returns `None` if it was too long.
    pub(crate) fn take(&mut self) -> Option<Bytes> {
        let bytes = self.bytes.split().freeze();
        (!std::mem::take(&mut self.overflowed)).then_some(bytes)
    }
}

/// The writing batches of entries on other VMs, with their results.
#[derive(Default)]
pub(crate) struct Batches {
    registry: Mutex<BatchRegistry<BatchResult>>,
}

impl Batches {
    /// Records that a batch arrived and returns whether it may run.
    pub(crate) fn start(&self, id: BatchId, now: Time) -> bool {
        self.lock().start(id, now)
    }

    /// Records how a batch ended.
    pub(crate) fn finish(&self, id: BatchId, ended: BatchResult, now: Time) {
        self.lock().finish(id, ended, now);
    }

    /// Returns the state of a batch, for an entry that lost its connection.
    ///
    /// A batch that has not arrived is barred: it is refused if it arrives later.
    pub(crate) fn query_or_bar(
        &self,
        entry: Incarnation,
        inquiry: stream::Inquiry,
        now: Time,
    ) -> stream::Finding {
        let stream::Inquiry { stream, number } = inquiry;
        let status = self.lock().query_or_bar(BatchId { entry, stream, number }, now);
        let mut finding = stream::Finding { stream, number, ..stream::Finding::default() };
        match status {
            BatchStatus::Barred => finding.set_state(stream::BatchState::Unknown),
            BatchStatus::Running => finding.set_state(stream::BatchState::Running),
            BatchStatus::Finished(BatchResult::Refused(refused)) => {
                finding.set_state(stream::BatchState::Refused);
                finding.refusal = refused.refusal.row().label.to_owned();
            }
            BatchStatus::Finished(BatchResult::Ready(answer, ready)) => {
                finding.set_state(stream::BatchState::Finished);
                finding.answer = answer;
                finding.ready = Some(ready.to_message(stream));
            }
        }
        finding
    }

    fn lock(&self) -> MutexGuard<'_, BatchRegistry<BatchResult>> {
        self.registry.lock().expect("no thread panics with this lock")
    }
}
