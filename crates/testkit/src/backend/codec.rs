//! The server's side of the PostgreSQL wire protocol.

use bytes::BytesMut;
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
        SslNegotiationMetaMessage,
    },
};
use tokio_util::codec::{Decoder, Encoder};

/// Decodes messages of clients and encodes messages of the server.
#[derive(Debug)]
pub(crate) struct ServerCodec {
    context: DecodeContext,
}

impl ServerCodec {
    /// Makes a codec for a new connection, which begins with a start-up message.
    pub(crate) fn new() -> Self {
        ServerCodec { context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0) }
    }
}

impl Decoder for ServerCodec {
    type Item = PgWireFrontendMessage;
    type Error = PgWireError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Self::Item>, PgWireError> {
        let message = PgWireFrontendMessage::decode(bytes, &self.context)?;
        match &message {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                self.context.awaiting_frontend_ssl = false;
                self.decode(bytes)
            }
            Some(PgWireFrontendMessage::Startup(_)) => {
                self.context.awaiting_frontend_startup = false;
                Ok(message)
            }
            _ => Ok(message),
        }
    }
}

impl Encoder<PgWireBackendMessage> for ServerCodec {
    type Error = PgWireError;

    fn encode(
        &mut self,
        message: PgWireBackendMessage,
        bytes: &mut BytesMut,
    ) -> Result<(), PgWireError> {
        message.encode(bytes)
    }
}
