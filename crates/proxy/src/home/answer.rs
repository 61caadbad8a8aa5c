//! Buffer for the part of an answer that was not passed on yet.
//!
//! A caller may take the completion of a statement for an acknowledgement. On a primary,
//! completions are therefore held back until the batch is confirmed.

use bytes::{Bytes, BytesMut};

use crate::wire::{Frame, HEADER_BYTES};

/// Number of bytes of an answer that are gathered before they are passed on.
const CHUNK_BYTES: usize = 16 << 10;

/// Maximum number of bytes that are held back until the end of the batch, once a statement
/// has completed.
const MAX_HELD_BYTES: usize = 256 << 10;

/// What to do after a message was added to an [`AnswerBuffer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum NextStep {
    /// Wait for more messages from the server.
    More,
    /// Pass this part on to the caller.
    Pass(Bytes),
    /// The limit of held bytes is reached: confirm what was committed, then call
    /// [`AnswerBuffer::take`].
    Confirm,
}

/// Messages from the server that were not passed on yet.
///
/// On a primary, everything from the first completed statement on is held back until the
/// batch has ended and is confirmed, since a caller may take the completion for an
/// acknowledgement.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuffer {
    pending: BytesMut,
    holds_completions: bool,
    /// Offset of the first completion that is held back.
    held_from: Option<usize>,
    /// Whether the pending messages contain the completion of a `COMMIT`.
    commits: bool,
    /// Whether a part of the answer was passed on.
    passed_on: bool,
    failed: bool,
}

impl AnswerBuffer {
    /// Creates an empty buffer; `holds_completions` says whether completions are held back.
    pub(crate) fn new(holds_completions: bool) -> Self {
        AnswerBuffer { holds_completions, ..AnswerBuffer::default() }
    }

    /// Returns whether nothing was passed on and no completion is held back.
    pub(crate) fn is_untouched(&self) -> bool {
        !self.passed_on && self.held_from.is_none()
    }

    /// Returns whether an error was received.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Adds a message from the server.
    pub(crate) fn add(&mut self, frame: &Frame) -> NextStep {
        if self.holds_completions && self.held_from.is_none() && frame.tag() == b'C' {
            self.held_from = Some(self.pending.len());
        }
        self.commits |= frame.tag() == b'C' && is_commit(frame);
        self.failed |= frame.tag() == b'E';
        self.pending.extend_from_slice(frame.bytes());
        let passable = self.held_from.unwrap_or(self.pending.len());
        if passable >= CHUNK_BYTES {
            return NextStep::Pass(self.split(passable));
        }
        if self.pending.len() < MAX_HELD_BYTES {
            return NextStep::More;
        }
        // A completion inside an open transaction doesn't acknowledge a commit.
        if self.commits {
            NextStep::Confirm
        } else {
            NextStep::Pass(self.take().unwrap_or_default())
        }
    }

    /// Takes all pending messages, or returns `None` if there are none.
    pub(crate) fn take(&mut self) -> Option<Bytes> {
        self.commits = false;
        let length = self.pending.len();
        (length > 0).then(|| self.split(length))
    }

    fn split(&mut self, length: usize) -> Bytes {
        self.passed_on = true;
        self.held_from = self.held_from.and_then(|at| at.checked_sub(length));
        self.pending.split_to(length).freeze()
    }
}

/// Returns whether a completion belongs to a `COMMIT`.
fn is_commit(frame: &Frame) -> bool {
    frame.bytes()[HEADER_BYTES..].starts_with(b"COMMIT\0")
}

#[cfg(test)]
mod tests {
    use bytes::BytesMut;
    use pgwire::messages::response::CommandComplete;
    use tokio_util::codec::Decoder;

    use super::*;
    use crate::wire::{FrameCodec, encode};

    fn frame(bytes: &[u8]) -> Frame {
        let decoded = FrameCodec::new(1 << 20).decode(&mut BytesMut::from(bytes));
        decoded.expect("a valid frame").expect("a whole frame")
    }

    fn complete(tag: &str) -> Frame {
        frame(&encode(&CommandComplete::new(tag.to_owned())))
    }

    fn row(bytes: usize) -> Frame {
        let mut row = vec![b'D'];
        row.extend_from_slice(&u32::try_from(bytes + 4).expect("small").to_be_bytes());
        row.resize(bytes + 5, 0);
        frame(&row)
    }

    #[test]
    fn rows_are_passed_on_and_completions_are_held_back() {
        let mut answer = AnswerBuffer::new(true);
        assert_eq!(answer.add(&row(1_000)), NextStep::More);
        assert!(
            matches!(answer.add(&row(CHUNK_BYTES)), NextStep::Pass(part) if part.len() > 17_000)
        );
        assert_eq!(answer.add(&complete("INSERT 0 1")), NextStep::More);
        assert_eq!(answer.add(&row(CHUNK_BYTES)), NextStep::More);
        assert!(answer.take().is_some_and(|part| part[0] == b'C'));
    }

    #[test]
    fn a_large_answer_after_a_commit_must_be_confirmed() {
        let mut answer = AnswerBuffer::new(true);
        answer.add(&complete("COMMIT"));
        assert_eq!(answer.add(&row(MAX_HELD_BYTES)), NextStep::Confirm);
        let mut answer = AnswerBuffer::new(true);
        answer.add(&complete("INSERT 0 1"));
        assert!(matches!(answer.add(&row(MAX_HELD_BYTES)), NextStep::Pass(_)));
    }
}
