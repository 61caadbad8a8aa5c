//! Matching a server's answer with the messages of a batch.
//!
//! The proxy adds messages to a batch that the caller did not send, and answers
//! some messages of the caller itself. [`AnswerFilter`] removes the answers to
//! the former and inserts those to the latter.

use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::CloseComplete;
use tokio_util::codec::Decoder;

use super::batch::{Effect, Item, ItemKind};
use crate::wire::{self, FrameCodec};

/// Maximum size of one message of an answer, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A server's answer that contains a malformed message.
#[derive(Debug, Eq, PartialEq, thiserror::Error)]
#[error("malformed message in the answer of a backend server")]
pub(crate) struct MalformedAnswer;

/// Converts the server's answer to a batch into what the caller receives.
pub(crate) struct AnswerFilter<'a> {
    items: &'a [Item],
    /// Whether the answer needs no inspection and is forwarded unchanged.
    passthrough: bool,
    failed: bool,
    effects: Vec<Effect>,
}

impl<'a> AnswerFilter<'a> {
    /// Creates the filter for the answer to a batch that was just sent.
    ///
    /// With `track_errors`, it also records whether the server answers with an error.
    pub(crate) fn new(items: &'a [Item], track_errors: bool) -> Self {
        let passthrough = |item: &Item| item.from_caller && item.effect.is_none();
        let passthrough = !track_errors && items.iter().all(passthrough);
        AnswerFilter { items, passthrough, failed: false, effects: Vec::new() }
    }

    /// Filters a part of the server's answer; returns the bytes for the caller.
    ///
    /// # Errors
    ///
    /// Fails when the answer contains a malformed message. The rest of it is lost then.
    pub(crate) fn filter(&mut self, bytes: Bytes) -> Result<Bytes, MalformedAnswer> {
        if self.passthrough {
            return Ok(bytes);
        }
        let mut output = BytesMut::with_capacity(bytes.len());
        let mut input = BytesMut::from(bytes);
        let mut codec = FrameCodec::new(MAX_MESSAGE_BYTES);
        while let Some(frame) = codec.decode(&mut input).map_err(|_| MalformedAnswer)? {
            if self.advance(frame.tag(), &mut output) {
                output.extend_from_slice(frame.bytes());
            }
        }
        Ok(output.freeze())
    }

    /// Processes one message of the answer; returns whether to forward it to
    /// the caller.
    fn advance(&mut self, tag: u8, output: &mut BytesMut) -> bool {
        match tag {
            b'E' => {
                self.failed = true;
                return true;
            }
            b'N' | b'A' | b'S' => return true,
            _ => self.answer_closes(output),
        }
        let Some((item, rest)) = self.items.split_first() else { return true };
        if item.kind.ends_with(tag) {
            self.items = rest;
            self.effects.extend(item.effect.clone());
        }
        item.from_caller
    }

    /// Answers the `Close` messages that are not sent to the server.
    fn answer_closes(&mut self, output: &mut BytesMut) {
        while let Some((item, rest)) = self.items.split_first()
            && item.kind == ItemKind::CloseStatement
        {
            self.items = rest;
            self.effects.extend(item.effect.clone());
            output.extend_from_slice(&wire::encode(&CloseComplete::new()));
        }
    }

    /// Ends the answer; returns the remaining bytes for the caller.
    pub(crate) fn finish(&mut self) -> Bytes {
        let mut output = BytesMut::new();
        if !self.failed {
            self.answer_closes(&mut output);
        }
        output.freeze()
    }

    /// Returns whether the server answered with an error.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns the effects of the answered messages on the session.
    pub(crate) fn into_effects(self) -> Vec<Effect> {
        self.effects
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_malformed_message_is_the_fault_of_the_server() {
        let mut filter = AnswerFilter::new(&[], true);
        // A message whose length is less than the four bytes of the length itself.
        let malformed = Bytes::from_static(b"D\0\0\0\x01");
        assert_eq!(filter.filter(malformed), Err(MalformedAnswer));
    }
}
