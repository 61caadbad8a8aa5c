//! A caller's connection, split into messages.
//!
//! Its buffers are released while the caller is idle, since most callers are
//! idle most of the time.

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

/// Buffer space reserved for one read, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Maximum size of the output buffer that is kept after use, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 1 << 10;

/// A caller's connection.
pub(crate) struct Connection {
    socket: TcpStream,
    codec: FrameCodec,
    input: BytesMut,
    output: BytesMut,
}

impl Connection {
    /// Creates a connection from `socket`, from which `input` was read already.
    /// Messages above `limit` bytes are refused.
    pub(crate) fn new(socket: TcpStream, input: BytesMut, limit: usize) -> Self {
        Connection { socket, codec: FrameCodec::new(limit), input, output: BytesMut::new() }
    }

    /// Changes the size of the largest message that the caller may send.
    pub(crate) fn set_limit(&mut self, limit: usize) {
        self.codec = FrameCodec::new(limit);
    }

    /// Receives the next message; `None` when the caller closed the connection.
    ///
    /// This function is cancel safe: dropping the future loses no input.
    pub(crate) async fn read(&mut self) -> Result<Option<Frame>, WireError> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                return Ok(Some(frame));
            }
            if self.input.is_empty() && self.input.capacity() > 0 {
                self.input = BytesMut::new();
            }
            self.socket.readable().await?;
            self.input.reserve(READ_BUFFER_BYTES);
            match self.socket.try_read_buf(&mut self.input) {
                Ok(0) if self.input.is_empty() => return Ok(None),
                Ok(0) => return Err(WireError::Truncated),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Returns whether unprocessed input was received.
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

    /// Returns the number of queued bytes.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.output.len()
    }

    /// Drops the queued bytes after the first `length` ones.
    pub(crate) fn truncate(&mut self, length: usize) {
        self.output.truncate(length);
    }

    /// Writes all queued bytes and waits until the socket has accepted them.
    pub(crate) async fn flush(&mut self) -> Result<(), WireError> {
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        if self.output.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.output = BytesMut::new();
        }
        Ok(())
    }

    /// Sends the queued bytes and one message.
    pub(crate) async fn send(&mut self, message: &impl Message) -> Result<(), WireError> {
        self.queue_message(message);
        self.flush().await
    }

    /// Closes the connection so that a message that was just sent still arrives.
    ///
    /// Closing a socket with unread input resets the connection, and the caller
    /// may then lose the message. So input is read and discarded for up to `limit`.
    pub(crate) async fn close(mut self, limit: Duration) {
        let drain = async {
            self.socket.shutdown().await?;
            let mut unread = [0; 512];
            while self.socket.read(&mut unread).await? > 0 {}
            Ok::<(), io::Error>(())
        };
        // After the limit the connection is closed even if the caller still sends.
        drop(timeout(limit, drain).await);
    }
}

/// Decodes a caller's message.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub(crate) fn decode(frame: &Frame) -> Result<PgWireFrontendMessage, WireError> {
    catch_decoder_panic(|| frame.decode_frontend())
}

thread_local! {
    /// Whether this thread runs a decoder whose panics are expected.
    static DECODING: Cell<bool> = const { Cell::new(false) };
}

/// Runs a decoder that may panic on malformed input, and returns an error if it
/// does.
pub(crate) fn catch_decoder_panic<T>(
    decoder: impl FnOnce() -> Result<T, WireError>,
) -> Result<T, WireError> {
    DECODING.set(true);
    let decoded = catch_unwind(AssertUnwindSafe(decoder));
    DECODING.set(false);
    decoded.unwrap_or(Err(WireError::Truncated))
}

/// Suppresses the panic messages of decoders on standard error. Otherwise callers
/// could fill the log with malformed messages.
pub(super) fn silence_decoder_panics() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        if !DECODING.get() {
            report(info);
        }
    }));
}
