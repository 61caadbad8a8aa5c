//! Messages of the PostgreSQL protocol, framed but mostly not decoded.
//!
//! Answers pass through the proxy as whole frames. Only the few messages that
//! matter to a decision are decoded, by the codecs of `pgwire`.

use bytes::{BufMut, Bytes, BytesMut};
use chicoryhollow_core::Refusal;
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
        response::ErrorResponse,
    },
};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Bytes of the tag and the length in front of each message.
pub const HEADER_BYTES: usize = 5;

/// One whole message with its tag and length.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Returns the byte that tells the kind of the message.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns the encoded message.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Decodes a message of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when the body does not fit its tag.
    pub fn decode_backend(&self) -> Result<PgWireBackendMessage, WireError> {
        let mut buffer = BytesMut::from(&self.bytes[..]);
        PgWireBackendMessage::decode(&mut buffer, &context())?.ok_or(WireError::Truncated)
    }

    /// Decodes a message of a caller.
    ///
    /// # Errors
    ///
    /// Returns an error when the body does not fit its tag.
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
    /// Makes a codec that refuses messages above `limit` bytes.
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
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let frame = self.frames.decode(source)?;
        Ok(frame.map(|bytes| Frame { bytes: bytes.freeze() }))
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, bytes: Bytes, target: &mut BytesMut) -> Result<(), WireError> {
        target.put(bytes);
        Ok(())
    }
}

/// Splits encoded messages up to the first that is not whole.
pub fn split_frames(bytes: &[u8]) -> impl Iterator<Item = Frame> {
    let mut codec = FrameCodec::new(bytes.len().max(HEADER_BYTES));
    let mut rest = BytesMut::from(bytes);
    std::iter::from_fn(move || codec.decode(&mut rest).ok().flatten())
}

/// Encodes one message.
///
/// # Panics
///
/// Panics when the message is larger than the protocol allows, which no message
/// made by the proxy is.
pub fn encode(message: &impl Message) -> Bytes {
    let mut buffer = BytesMut::with_capacity(message.message_length() + 1);
    message.encode(&mut buffer).expect("the proxy's own messages are small");
    buffer.freeze()
}

/// Makes the error that tells a caller of a refusal.
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

/// Makes an error with a SQLSTATE that belongs to no refusal.
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
    /// A message is shorter than its kind requires.
    #[error("truncated message")]
    Truncated,
    /// A message does not belong where it came.
    #[error("unexpected message")]
    Unexpected,
}
