//! Messages of the PostgreSQL protocol.
//!
//! The proxy splits byte streams into frames, one for each message, and forwards
//! most of them without decoding. Only messages that the proxy must understand are
//! decoded, by the codecs of `pgwire`.

use bytes::{BufMut, Bytes, BytesMut};
use chicoryhollow_core::{Refusal, budget::LimitReason};
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
        response::ErrorResponse,
    },
};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Length of the header of each message, in bytes: the tag and the length field.
pub const HEADER_BYTES: usize = 5;

/// One whole message with its tag and length.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Returns the byte that identifies the kind of the message.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns the encoded message, including its header.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Decodes a message of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed for its tag.
    pub fn decode_backend(&self) -> Result<PgWireBackendMessage, WireError> {
        let mut buffer = BytesMut::from(&self.bytes[..]);
        PgWireBackendMessage::decode(&mut buffer, &context())?.ok_or(WireError::Truncated)
    }

    /// Decodes a message of a caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed for its tag.
    pub fn decode_frontend(&self) -> Result<PgWireFrontendMessage, WireError> {
        let mut buffer = BytesMut::from(&self.bytes[..]);
        PgWireFrontendMessage::decode(&mut buffer, &context())?.ok_or(WireError::Truncated)
    }
}

fn context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Splits a byte stream into [`Frame`]s and writes encoded messages.
#[derive(Debug)]
pub struct FrameCodec {
    frames: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that refuses messages above `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_offset(1)
            .length_field_length(4)
            .length_adjustment(1)
            .num_skip(0)
            .max_frame_length(limit)
            .new_codec();
        FrameCodec { frames }
    }

    /// Returns the length above which messages are refused, in bytes.
    pub fn limit(&self) -> usize {
        self.frames.max_frame_length()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        match self.frames.decode(source)? {
            // The length field counts its own four bytes, so a lower length is malformed.
            Some(bytes) if bytes.len() < HEADER_BYTES => Err(WireError::Truncated),
            frame => Ok(frame.map(|bytes| Frame { bytes: bytes.freeze() })),
        }
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, bytes: Bytes, target: &mut BytesMut) -> Result<(), WireError> {
        target.put(bytes);
        Ok(())
    }
}

/// Splits encoded messages into frames, up to the first incomplete message.
pub fn split_frames(bytes: &[u8]) -> impl Iterator<Item = Frame> {
    let mut codec = FrameCodec::new(bytes.len().max(HEADER_BYTES));
    let mut rest = BytesMut::from(bytes);
    std::iter::from_fn(move || codec.decode(&mut rest).ok().flatten())
}

/// Encodes one message.
///
/// # Panics
///
/// Panics if the message is larger than the protocol allows. No message that the
/// proxy creates is that large.
pub fn encode(message: &impl Message) -> Bytes {
    let mut buffer = BytesMut::with_capacity(message.message_length() + 1);
    message.encode(&mut buffer).expect("the proxy's own messages are small");
    buffer.freeze()
}

/// Creates the `ErrorResponse` that reports a refusal to a caller.
pub fn refusal_error(severity: &str, refusal: Refusal, detail: Option<&str>) -> ErrorResponse {
    let row = refusal.row();
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', row.sqlstate.to_owned()),
        (b'M', refusal.to_string()),
        (b'H', row.hint.to_owned()),
        (b'R', row.label.to_owned()),
    ];
    if let Some(detail) = detail {
        fields.push((b'D', detail.to_owned()));
    }
    ErrorResponse::new(fields)
}

/// Creates an `ErrorResponse` for an error that is not one of the proxy's refusals.
pub fn error_response(sqlstate: &str, text: &str) -> ErrorResponse {
    ErrorResponse::new(vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', text.to_owned()),
    ])
}

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection failed, or a message was too large.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A message does not follow the protocol.
    #[error("malformed message: {0}")]
    Protocol(#[from] PgWireError),
    /// A message or packet is incomplete or has an invalid length, or its decoder panicked.
    #[error("truncated message")]
    Truncated,
    /// A message is not allowed in the current state of the connection.
    #[error("unexpected message")]
    Unexpected,
    /// The caller exceeded a limit.
    #[error("limit exceeded: {0}")]
    Limit(LimitReason),
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A message of a large announced size must not reserve memory that the limit forbids.
    #[test]
    fn pieces_of_messages_in_any_order_need_bounded_memory() {
        const LIMIT: usize = 4 << 10;
        let message = encode(&error_response("42P05", "a text"));
        // A selector takes a part of a valid message, or announces a length.
        bolero::check!().with_type::<Vec<(u8, u32)>>().for_each(|pieces: &Vec<(u8, u32)>| {
            let mut codec = FrameCodec::new(LIMIT);
            let (mut buffer, mut sent) = (BytesMut::new(), 0);
            for (selector, number) in pieces {
                let length = usize::from(*selector) % (message.len() + 1);
                match selector % 3 {
                    0 => buffer.extend_from_slice(&message[..length]),
                    1 => buffer.extend_from_slice(&message[length..]),
                    _ => {
                        buffer.put_u8(*selector);
                        buffer.put_u32(*number);
                    }
                }
                sent += message.len() + HEADER_BYTES;
                let decoded = loop {
                    match codec.decode(&mut buffer) {
                        Ok(Some(_)) => {}
                        other => break other,
                    }
                };
                assert!(buffer.capacity() <= 2 * (LIMIT + sent), "{}", buffer.capacity());
                if decoded.is_err() {
                    return;
                }
            }
        });
    }
}
