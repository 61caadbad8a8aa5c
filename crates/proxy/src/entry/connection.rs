//! A caller's connection, framed with buffers that an idle caller does not hold.

use std::{
    cell::Cell,
    io,
    panic::{self, AssertUnwindSafe, catch_unwind},
    time::Duration,
};

use bytes::BytesMut;
use pgwire::messages::{Message, PgWireFrontendMessage};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tokio_util::codec::Decoder;

use crate::wire::{self, Frame, FrameCodec, WireError};

/// Room made for one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Buffers above this size are given back after use, in bytes.
const KEPT_BYTES: usize = 1 << 10;

/// A caller's connection.
pub(crate) struct Connection {
    socket: TcpStream,
    codec: FrameCodec,
    input: BytesMut,
    output: BytesMut,
}

impl Connection {
    /// Frames `socket`, from which `input` was read already.
    pub(crate) fn new(socket: TcpStream, input: BytesMut, limit: usize) -> Self {
        Connection { socket, codec: FrameCodec::new(limit), input, output: BytesMut::new() }
    }

    /// Changes the size of the largest message that the caller may send.
    pub(crate) fn set_limit(&mut self, limit: usize) {
        self.codec = FrameCodec::new(limit);
    }

    /// Receives the next message; `None` when the caller closed the connection.
    ///
    /// Dropping the future loses nothing.
    pub(crate) async fn read(&mut self) -> Result<Option<Frame>, WireError> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                return Ok(Some(frame));
            }
            if self.input.is_empty() && self.input.capacity() > 0 {
                self.input = BytesMut::new();
            }
            self.socket.readable().await?;
            self.input.reserve(READ_BYTES);
            match self.socket.try_read_buf(&mut self.input) {
                Ok(0) if self.input.is_empty() => return Ok(None),
                Ok(0) => return Err(WireError::Truncated),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Tells whether part of a message was received.
    pub(crate) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Queues encoded messages.
    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Queues one message.
    pub(crate) fn queue_message(&mut self, message: &impl Message) {
        self.queue(&wire::encode(message));
    }

    /// Returns the bytes that are queued.
    pub(crate) fn queued(&self) -> usize {
        self.output.len()
    }

    /// Drops what is queued beyond the first `length` bytes.
    pub(crate) fn truncate(&mut self, length: usize) {
        self.output.truncate(length);
    }

    /// Writes what is queued, as fast as the caller takes it.
    pub(crate) async fn flush(&mut self) -> Result<(), WireError> {
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        if self.output.capacity() > KEPT_BYTES {
            self.output = BytesMut::new();
        }
        Ok(())
    }

    /// Sends one message.
    pub(crate) async fn send(&mut self, message: &impl Message) -> Result<(), WireError> {
        self.queue_message(message);
        self.flush().await
    }

    /// Ends the connection so that a message just sent still arrives.
    ///
    /// Closing a socket with unread input resets it, and the caller may then
    /// lose the message. So input is taken for a short while.
    pub(crate) async fn close(mut self, limit: Duration) {
        let drain = async {
            self.socket.shutdown().await?;
            let mut unread = [0; 512];
            while self.socket.read(&mut unread).await? > 0 {}
            Ok::<(), io::Error>(())
        };
        // A caller that goes on sending is cut off.
        drop(timeout(limit, drain).await);
    }
}

/// Decodes a caller's message; a malformed one is an error.
pub(crate) fn decode(frame: &Frame) -> Result<PgWireFrontendMessage, WireError> {
    contained(|| frame.decode_frontend())
}

thread_local! {
    /// Whether this thread runs a decoder whose panics are expected.
    static DECODING: Cell<bool> = const { Cell::new(false) };
}

/// Runs a decoder that may panic on malformed input.
pub(crate) fn contained<T>(decoder: impl FnOnce() -> Result<T, WireError>) -> Result<T, WireError> {
    DECODING.set(true);
    let decoded = catch_unwind(AssertUnwindSafe(decoder));
    DECODING.set(false);
    decoded.unwrap_or(Err(WireError::Truncated))
}

/// Keeps panics of decoders off standard error, where callers could otherwise
/// write as much as they like.
pub(super) fn quiet_decoders() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        if !DECODING.get() {
            report(info);
        }
    }));
}
