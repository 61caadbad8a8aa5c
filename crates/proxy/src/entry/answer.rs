//! Matching a server's answer with the messages of a batch.

use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::CloseComplete;
use tokio_util::codec::Decoder;

use super::batch::{Effect, Item, Kind};
use crate::wire::{self, FrameCodec, WireError};

/// Largest message of an answer, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// How far the answer to a batch has come.
pub(crate) struct Progress<'a> {
    items: &'a [Item],
    plain: bool,
    failed: bool,
    effects: Vec<Effect>,
}

impl<'a> Progress<'a> {
    /// Makes the progress of a batch that was just sent.
    ///
    /// With `watched`, it also notes whether the server answers with an error.
    pub(crate) fn new(items: &'a [Item], watched: bool) -> Self {
        let plain = |item: &Item| item.shown && item.effect.is_none();
        let plain = !watched && items.iter().all(plain);
        Progress { items, plain, failed: false, effects: Vec::new() }
    }

    /// Takes part of the server's answer and returns what the caller gets.
    pub(crate) fn take(&mut self, bytes: Bytes) -> Result<Bytes, WireError> {
        if self.plain {
            return Ok(bytes);
        }
        let mut output = BytesMut::with_capacity(bytes.len());
        let mut input = BytesMut::from(bytes);
        let mut codec = FrameCodec::new(MAX_MESSAGE_BYTES);
        while let Some(frame) = codec.decode(&mut input)? {
            if self.step(frame.tag(), &mut output) {
                output.extend_from_slice(frame.bytes());
            }
        }
        Ok(output.freeze())
    }

    /// Moves on by one message; tells whether the caller gets it.
    fn step(&mut self, tag: u8, output: &mut BytesMut) -> bool {
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
        item.shown
    }

    /// Answers the messages that the server does not see.
    fn answer_closes(&mut self, output: &mut BytesMut) {
        while let Some((item, rest)) = self.items.split_first()
            && item.kind == Kind::CloseStatement
        {
            self.items = rest;
            self.effects.extend(item.effect.clone());
            output.extend_from_slice(&wire::encode(&CloseComplete::new()));
        }
    }

    /// Ends the answer; returns what the caller still gets.
    pub(crate) fn finish(&mut self) -> Bytes {
        let mut output = BytesMut::new();
        if !self.failed {
            self.answer_closes(&mut output);
        }
        output.freeze()
    }

    /// Tells whether the server answered with an error.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns what the answered messages change in the session.
    pub(crate) fn into_effects(self) -> Vec<Effect> {
        self.effects
    }
}
