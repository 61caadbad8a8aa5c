//! One connection to a backend server.

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

/// Parameter in which a server reports its position.
const POSITION_PARAMETER: &str = "chicoryhollow.position";

/// Largest message that a server may send, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Statements kept prepared on one connection.
const MAX_PREPARED: usize = 256;

/// Longest time to connect and log in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a backend server after its start-up.
pub(crate) struct Backend {
    framed: Framed<TcpStream, FrameCodec>,
    address: SocketAddr,
    key: Option<(i32, SecretKey)>,
    position: Option<Position>,
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
        let prepared = PreparedStatements::new(MAX_PREPARED);
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

    /// Queues encoded messages and writes what the connection takes at once;
    /// [`Backend::receive`] writes the rest.
    ///
    /// Waiting here for the whole to be written could block forever, when the
    /// server in turn waits for its answers to be read.
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

    /// Receives the next message and notes the position that it may report.
    ///
    /// Nothing is lost when the returned future is dropped.
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

    /// Returns the position last reported.
    pub(crate) fn position(&self) -> Option<Position> {
        self.position
    }

    /// Tells whether nothing is left to be written or taken from what was read.
    pub(crate) fn is_clean(&self) -> bool {
        self.flushed && self.framed.read_buffer().is_empty()
    }

    /// Tells whether an idle connection can no longer be used: it was closed,
    /// or the server sent something that nobody asked for.
    pub(crate) fn is_stale(&self) -> bool {
        let mut byte = [0];
        self.framed.get_ref().peek(&mut byte).now_or_never().is_some()
    }

    /// Returns what is needed to cancel the statement that runs.
    pub(crate) fn canceller(&self) -> Option<Canceller> {
        let (pid, secret) = self.key.clone()?;
        Some(Canceller { address: self.address, pid, secret })
    }
}

/// Cancels the statement that runs on one connection.
pub(crate) struct Canceller {
    address: SocketAddr,
    pid: i32,
    secret: SecretKey,
}

impl Canceller {
    /// Asks the server to cancel; whether it does shows on the connection.
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

/// Why a connection to a backend server is of no more use.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The connection failed.
    #[error("backend server: {0}")]
    Wire(#[from] WireError),
    /// The server closed the connection or did not answer in time.
    #[error("backend server closed the connection")]
    Closed,
    /// The server refused with this SQLSTATE.
    #[error("backend server refused with SQLSTATE {0}")]
    Refused(String),
    /// The server sent a message that does not belong here.
    #[error("backend server sent an unexpected message")]
    Unexpected,
}
