//! The first packets of a connection, before the caller is known.
//!
//! A connection begins with a request for a session or for the cancellation of a
//! statement on another connection. Requests for encryption may precede it and are
//! declined.

use bytes::BytesMut;
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, SslNegotiationMetaMessage, cancel::CancelRequest,
    startup::Startup,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::connection::catch_decoder_panic;
use crate::wire::WireError;

/// Maximum size of a start-up packet, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// Maximum number of requests for encryption on one connection.
const MAX_NEGOTIATIONS: usize = 2;

/// What the first packets of a connection request.
#[derive(Debug)]
pub(super) enum StartupRequest {
    /// A session. Holds the bytes that were read after the packet.
    Session(Startup, BytesMut),
    /// The cancellation of a statement on another connection.
    Cancel(CancelRequest),
    /// Nothing, because the caller closed the connection.
    Closed,
}

/// Reads packets up to a request. Requests for encryption are declined.
pub(super) async fn read(socket: &mut TcpStream) -> Result<StartupRequest, WireError> {
    let mut buffer = BytesMut::with_capacity(512);
    let mut parser = Parser::new();
    loop {
        match parser.parse(&mut buffer)? {
            Parsed::Startup(startup) => return Ok(StartupRequest::Session(startup, buffer)),
            Parsed::Cancel(request) => return Ok(StartupRequest::Cancel(request)),
            Parsed::Encryption => socket.write_all(b"N").await?,
            Parsed::More => {
                if socket.read_buf(&mut buffer).await? == 0 {
                    let truncated = !buffer.is_empty();
                    return if truncated {
                        Err(WireError::Truncated)
                    } else {
                        Ok(StartupRequest::Closed)
                    };
                }
            }
        }
    }
}

/// Result of parsing the bytes that were received so far.
enum Parsed {
    More,
    Encryption,
    Startup(Startup),
    Cancel(CancelRequest),
}

struct Parser {
    context: DecodeContext,
    negotiations: usize,
}

impl Parser {
    fn new() -> Self {
        Parser { context: DecodeContext::default(), negotiations: 0 }
    }

    fn parse(&mut self, buffer: &mut BytesMut) -> Result<Parsed, WireError> {
        loop {
            if let Some(length) = buffer.first_chunk::<4>() {
                let length = usize::try_from(i32::from_be_bytes(*length));
                if !length.is_ok_and(|length| (8..=MAX_STARTUP_BYTES).contains(&length)) {
                    return Err(WireError::Truncated);
                }
            }
            match catch_decoder_panic(|| Ok(PgWireFrontendMessage::decode(buffer, &self.context)?))?
            {
                Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                    self.negotiations += 1;
                    let allowed = self.negotiations <= MAX_NEGOTIATIONS;
                    return if allowed {
                        Ok(Parsed::Encryption)
                    } else {
                        Err(WireError::Unexpected)
                    };
                }
                Some(PgWireFrontendMessage::Startup(startup)) => {
                    return Ok(Parsed::Startup(startup));
                }
                Some(PgWireFrontendMessage::CancelRequest(request)) => {
                    return Ok(Parsed::Cancel(request));
                }
                Some(_) => return Err(WireError::Unexpected),
                None => return Ok(Parsed::More),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_first_packets_parse_or_are_refused() {
        bolero::check!().with_type::<Vec<u8>>().for_each(|bytes: &Vec<u8>| {
            let mut buffer = BytesMut::from(bytes.as_slice());
            let mut parser = Parser::new();
            while let Ok(Parsed::Encryption) = parser.parse(&mut buffer) {}
        });
    }

    #[test]
    fn packets_of_a_wrong_size_are_refused_at_once() {
        for length in [-1_i32, 0, 7, 10_001, i32::MAX] {
            let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);
            assert!(Parser::new().parse(&mut buffer).is_err(), "{length}");
        }
    }
}
