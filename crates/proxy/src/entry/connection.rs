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
use chicoryhollow_core::{
    Time,
    budget::{Holding, LimitReason, Progress, Receiving, SMALL_MESSAGE_BYTES},
};
use pgwire::messages::{Message, PgWireFrontendMessage};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};
use tokio_util::codec::Decoder;

use super::meter::Meter;
use crate::wire::{self, Frame, FrameCodec, HEADER_BYTES, WireError};

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
    /// Counts what is held, once the key of the caller was accepted.
    meter: Option<Meter>,
    /// How long a large message waits to be read.
    max_wait: Duration,
    /// Bytes of the messages that were read and not answered.
    batch_bytes: usize,
    /// Whether the present message may be read.
    is_requested: bool,
    /// Progress of the message that is being read.
    receiving: Receiving,
    /// When the connection was created.
    opened: Instant,
}

impl Connection {
    /// Creates a connection from `socket`, from which `input` was read already.
    /// Messages above `limit` bytes are refused.
    pub(crate) fn new(socket: TcpStream, input: BytesMut, limit: usize) -> Self {
        Connection {
            socket,
            codec: FrameCodec::new(limit),
            input,
            output: BytesMut::new(),
            meter: None,
            max_wait: Duration::ZERO,
            batch_bytes: 0,
            is_requested: false,
            receiving: Receiving::default(),
            opened: Instant::now(),
        }
    }

    /// Counts with `meter` what is held from now on. A large message waits up to `max_wait`
    /// to be read.
    pub(crate) fn set_meter(&mut self, meter: Meter, max_wait: Duration) {
        self.meter = Some(meter);
        self.max_wait = max_wait;
    }

    /// Returns the meter, if the key of the caller was accepted.
    pub(crate) fn meter(&self) -> Option<&Meter> {
        self.meter.as_ref()
    }

    /// Records that all messages that were read are answered.
    pub(crate) fn finish_batch(&mut self) {
        // Nothing was read meanwhile.
        self.receiving.restart();
        if std::mem::take(&mut self.batch_bytes) > SMALL_MESSAGE_BYTES
            && let Some(meter) = &self.meter
        {
            meter.finish_message();
        }
    }

    /// Completes when the caller is to be rejected.
    async fn rejected(&self) {
        match &self.meter {
            Some(meter) => meter.rejected().await,
            None => std::future::pending().await,
        }
    }

    fn now(&self) -> Time {
        Time::default() + self.opened.elapsed()
    }

    fn instant(&self, time: Time) -> Instant {
        self.opened + time.since(Time::default())
    }

    /// Waits until the message whose header was received may be read.
    async fn request_message(&mut self) -> Result<(), WireError> {
        let Some(header) = self.input.first_chunk::<HEADER_BYTES>() else { return Ok(()) };
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        // The decoder refuses a longer message, for which no room is taken.
        if length as usize > self.codec.limit() {
            return Ok(());
        }
        let bytes = self.batch_bytes + length as usize;
        let Some(meter) = self.meter.as_ref().filter(|_| bytes > SMALL_MESSAGE_BYTES) else {
            return Ok(());
        };
        match meter.request_message(bytes, self.max_wait).await {
            true => Ok(()),
            false => Err(WireError::Limit(LimitReason::Memory)),
        }
    }

    /// Waits for input. A message of which a part has arrived must go on.
    async fn wait_for_input(&mut self) -> Result<(), WireError> {
        let now = self.now();
        let due = self.receiving.check(!self.input.is_empty(), now).map_err(WireError::Limit)?;
        let deadline = self.instant(due.unwrap_or_default());
        tokio::select! {
            biased;
            readable = self.socket.readable() => Ok(readable?),
            () = self.rejected() => Err(WireError::Limit(LimitReason::Memory)),
            // The next round checks the progress.
            () = sleep_until(deadline), if due.is_some() => Ok(()),
        }
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
            // The decoder reserves the memory of a message when it has its header.
            if !self.is_requested && self.input.len() >= HEADER_BYTES {
                self.request_message().await?;
                self.is_requested = true;
                self.receiving.restart();
            }
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                self.receiving.restart();
                self.is_requested = false;
                self.batch_bytes += frame.bytes().len();
                return Ok(Some(frame));
            }
            if self.input.is_empty() && self.input.capacity() > 0 {
                self.input = BytesMut::new();
            }
            self.wait_for_input().await?;
            self.input.reserve(READ_BUFFER_BYTES);
            match self.socket.try_read_buf(&mut self.input) {
                Ok(0) if self.input.is_empty() => return Ok(None),
                Ok(0) => return Err(WireError::Truncated),
                Ok(length) => self.receiving.record(length),
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
        if self.output.len() > SMALL_MESSAGE_BYTES
            && let Some(meter) = &self.meter
        {
            meter.hold(Holding::Answer, self.output.len());
        }
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
        let (mut written, mut progress) = (0, Progress::new(self.now()));
        while written < self.output.len() {
            let deadline = self.instant(progress.due());
            tokio::select! {
                biased;
                () = self.rejected() => return Err(WireError::Limit(LimitReason::Memory)),
                writable = self.socket.writable() => writable?,
                () = sleep_until(deadline) => {}
            }
            match self.socket.try_write(&self.output[written..]) {
                Ok(length) => {
                    written += length;
                    progress.record(length);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
            if written < self.output.len() && !progress.check(self.now()) {
                return Err(WireError::Limit(LimitReason::SlowReader));
            }
        }
        if self.output.len() > SMALL_MESSAGE_BYTES
            && let Some(meter) = &self.meter
        {
            meter.hold(Holding::Answer, 0);
        }
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
