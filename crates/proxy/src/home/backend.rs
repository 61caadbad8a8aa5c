//! One connection to a backend server.
//!
//! A [`Backend`] logs in, sends and receives messages of the PostgreSQL protocol, and
//! records the position that the server reports with its answers.

use std::{net::SocketAddr, task::Poll, time::Duration};

use bytes::{Bytes, BytesMut};
use chicoryhollow_config::settings::BackendRole;
use chicoryhollow_core::{prelude::*, prepared::PreparedStatements};
use futures_util::{FutureExt, SinkExt, StreamExt, future::poll_fn};
use pgwire::messages::{
    Message, PgWireBackendMessage,
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, Password, SecretKey, Startup},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};
use tokio_util::codec::Framed;

use crate::wire::{self, Frame, FrameCodec, WireError};

/// Name of the parameter in which a server reports its position.
const POSITION_PARAMETER: &str = "chicoryhollow.position";

/// Maximum size of a message from a server, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Maximum number of statements that stay prepared on one connection.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// Maximum time to connect and log in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a backend server that has logged in.
pub(crate) struct Backend {
    framed: Framed<TcpStream, FrameCodec>,
    address: SocketAddr,
    /// Process id and secret that a cancel request needs.
    key: Option<(i32, SecretKey)>,
    position: Option<Position>,
    /// Whether all queued bytes were written to the socket.
    flushed: bool,
    pub(crate) prepared: PreparedStatements,
}

impl Backend {
    /// Connects and logs in as `user`.
    pub(crate) async fn connect(
        address: SocketAddr,
        user: &str,
        role: &BackendRole,
    ) -> Result<Self, BackendError> {
        let connecting = Backend::connect_unbounded(address, user, role);
        timeout(CONNECT_TIMEOUT, connecting).await.unwrap_or(Err(BackendError::Closed))
    }

    async fn connect_unbounded(
        address: SocketAddr,
        user: &str,
        role: &BackendRole,
    ) -> Result<Self, BackendError> {
        let socket = TcpStream::connect(address).await.map_err(WireError::Io)?;
        socket.set_nodelay(true).map_err(WireError::Io)?;
        let framed = Framed::new(socket, FrameCodec::new(MAX_MESSAGE_BYTES));
        let prepared = PreparedStatements::new(MAX_PREPARED_STATEMENTS);
        let mut backend =
            Backend { framed, address, key: None, position: None, flushed: true, prepared };
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), user.to_owned());
        startup.parameters.insert("database".to_owned(), role.database.clone());
        backend.send(wire::encode(&startup))?;
        backend.log_in(role).await?;
        Ok(backend)
    }

    async fn log_in(&mut self, role: &BackendRole) -> Result<(), BackendError> {
        loop {
            let frame = self.receive().await?;
            match frame.decode_backend()? {
                PgWireBackendMessage::Authentication(Authentication::Ok) => {}
                PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                    let password = role.password.clone().ok_or(BackendError::Unexpected)?;
                    self.send(wire::encode(&Password::new(password)))?;
                }
                PgWireBackendMessage::BackendKeyData(BackendKeyData {
                    pid, secret_key, ..
                }) => {
                    self.key = Some((pid, secret_key));
                }
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                PgWireBackendMessage::ErrorResponse(error) => {
                    return Err(BackendError::Refused(error_code(&error.fields)));
                }
                PgWireBackendMessage::ParameterStatus(_)
                | PgWireBackendMessage::NoticeResponse(_) => {}
                _ => return Err(BackendError::Unexpected),
            }
        }
    }

    /// Queues encoded messages and writes as much as possible without waiting.
    ///
    /// [`Backend::receive`] writes the rest. Waiting here until everything is written could
    /// block forever, because the server may wait for its answers to be read.
    pub(crate) fn send(&mut self, bytes: Bytes) -> Result<(), BackendError> {
        self.framed.start_send_unpin(bytes)?;
        self.flushed = false;
        match self.framed.flush().now_or_never() {
            Some(written) => {
                written?;
                self.flushed = true;
            }
            None => self.flushed = false,
        }
        Ok(())
    }

    /// Receives the next message and records the position if the message reports one.
    ///
    /// The returned future is cancel safe: no message is lost if it is dropped.
    pub(crate) async fn receive(&mut self) -> Result<Frame, BackendError> {
        let frame = poll_fn(|context| {
            if !self.flushed
                && let Poll::Ready(written) = self.framed.poll_flush_unpin(context)
            {
                written?;
                self.flushed = true;
            }
            self.framed.poll_next_unpin(context).map(|frame| match frame {
                Some(frame) => frame.map_err(BackendError::from),
                None => Err(BackendError::Closed),
            })
        });
        let frame = frame.await?;
        if frame.tag() == b'S'
            && let PgWireBackendMessage::ParameterStatus(status) = frame.decode_backend()?
            && status.name == POSITION_PARAMETER
        {
            self.position = status.value.parse().ok();
        }
        Ok(frame)
    }

    /// Returns the position that the server reported last.
    pub(crate) fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns whether no bytes are left to be written and no received bytes are left to be
    /// decoded.
    pub(crate) fn is_clean(&self) -> bool {
        self.flushed && self.framed.read_buffer().is_empty()
    }

    /// Returns whether an idle connection can no longer be used, because it was closed or
    /// because the server sent an unexpected message.
    pub(crate) fn is_stale(&self) -> bool {
        let mut byte = [0];
        self.framed.get_ref().peek(&mut byte).now_or_never().is_some()
    }

    /// Returns the canceller of the running statement, if the server sent a cancel key.
    pub(crate) fn canceller(&self) -> Option<Canceller> {
        let (pid, secret) = self.key.clone()?;
        Some(Canceller { address: self.address, pid, secret })
    }
}

/// Cancels the running statement of one connection.
pub(crate) struct Canceller {
    address: SocketAddr,
    pid: i32,
    secret: SecretKey,
}

impl Canceller {
    /// Asks the server to cancel the statement.
    ///
    /// Success doesn't mean that the statement was cancelled. The answer to the statement
    /// shows whether it was.
    pub(crate) async fn cancel(self) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        let request = CancelRequest::new(self.pid, self.secret);
        request.encode(&mut buffer).map_err(std::io::Error::other)?;
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let mut socket = connecting.await??;
        socket.write_all(&buffer).await?;
        socket.shutdown().await
    }
}

/// Returns the SQLSTATE among the fields of an error.
pub(crate) fn error_code(fields: &[(u8, String)]) -> String {
    fields
        .iter()
        .find(|(field, _)| *field == b'C')
        .map(|(_, code)| code.clone())
        .unwrap_or_default()
}

/// Reason why a connection to a backend server can no longer be used.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// Reading from or writing to the connection failed.
    #[error("backend server: {0}")]
    Wire(#[from] WireError),
    /// The server closed the connection or did not answer in time.
    #[error("backend server closed the connection")]
    Closed,
    /// The server refused the login or statement with this SQLSTATE.
    #[error("backend server refused with SQLSTATE {0}")]
    Refused(String),
    /// The server sent a message that the protocol doesn't allow here.
    #[error("backend server sent an unexpected message")]
    Unexpected,
}
