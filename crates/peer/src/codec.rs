//! Framing of envelopes on a TCP connection.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::envelope::Envelope;

/// Maximum size of an encoded envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 32 << 20;

/// Encodes and decodes length-prefixed [`Envelope`]s.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
    scratch: BytesMut,
}

impl EnvelopeCodec {
    /// Creates a codec that refuses envelopes larger than [`MAX_ENVELOPE_BYTES`].
    pub fn new() -> Self {
        let frames =
            LengthDelimitedCodec::builder().max_frame_length(MAX_ENVELOPE_BYTES).new_codec();
        EnvelopeCodec { frames, scratch: BytesMut::new() }
    }
}

impl EnvelopeCodec {
    /// Changes the size of the largest envelope that is accepted, in bytes.
    pub fn set_limit(&mut self, bytes: usize) {
        self.frames.set_max_frame_length(bytes);
    }
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        EnvelopeCodec::new()
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = CodecError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Envelope>, CodecError> {
        let frame = self.frames.decode(source)?;
        Ok(frame.map(|frame| Envelope::decode(frame.freeze())).transpose()?)
    }
}

impl Encoder<Envelope> for EnvelopeCodec {
    type Error = CodecError;

    fn encode(&mut self, envelope: Envelope, target: &mut BytesMut) -> Result<(), CodecError> {
        envelope.encode(&mut self.scratch)?;
        let frame: Bytes = self.scratch.split().freeze();
        Ok(self.frames.encode(frame, target)?)
    }
}

/// Reason why an envelope could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The connection failed, or a frame was too large.
    #[error("peer connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame does not hold a valid envelope.
    #[error("malformed peer message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// An envelope is too large for the buffer.
    #[error("peer message too large: {0}")]
    Encode(#[from] prost::EncodeError),
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{envelope::Body, member::Ping};

    #[test]
    fn envelopes_round_trip() {
        let mut codec = EnvelopeCodec::new();
        let mut buffer = BytesMut::new();
        let ping = Ping { number: 7, leaving: true, version: 3 };
        let envelope = Envelope::new(Body::Ping(ping));
        codec.encode(envelope.clone(), &mut buffer).expect("a small envelope encodes");
        assert_eq!(codec.decode(&mut buffer).expect("a whole frame decodes"), Some(envelope));
    }

    #[test]
    fn any_bytes_decode_or_are_refused() {
        bolero::check!().with_type::<Vec<u8>>().for_each(|bytes: &Vec<u8>| {
            let mut buffer = BytesMut::from(bytes.as_slice());
            let mut codec = EnvelopeCodec::new();
            while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        });
    }

    /// A frame of a large announced size must not reserve memory that the limit forbids.
    #[test]
    fn pieces_of_frames_in_any_order_need_bounded_memory() {
        const LIMIT: usize = 4 << 10;
        let mut frame = BytesMut::new();
        let ping = Ping { number: 7, leaving: true, version: 3 };
        let envelope = Envelope::new(Body::Ping(ping));
        EnvelopeCodec::new().encode(envelope, &mut frame).expect("a small envelope encodes");
        // A selector takes a part of a valid frame, or announces a length.
        bolero::check!().with_type::<Vec<(u8, u32)>>().for_each(|pieces: &Vec<(u8, u32)>| {
            let mut codec = EnvelopeCodec::new();
            codec.set_limit(LIMIT);
            let (mut buffer, mut sent) = (BytesMut::new(), 0);
            for (selector, number) in pieces {
                let length = usize::from(*selector) % (frame.len() + 1);
                match selector % 3 {
                    0 => buffer.extend_from_slice(&frame[..length]),
                    1 => buffer.extend_from_slice(&frame[length..]),
                    _ => buffer.extend_from_slice(&number.to_be_bytes()),
                }
                sent += frame.len() + 4;
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
