//! One connection to a backend server.

use std::{collections::HashSet, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use chicoryhollow_config::settings::BackendRole;
use chicoryhollow_core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use pgwire::messages::{
    Message, PgWireBackendMessage,
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, SecretKey, Startup},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};
use tokio_util::codec::Framed;

use crate::wire::{Frame, FrameCodec, WireError};

/// Parameter in which a server reports its position.
const POSITION_PARAMETER: &str = "chicoryhollow.position";

/// Largest message that a server may send, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A connection to a backend server after its start-up.
pub(crate) struct Backend {
    framed: Framed<TcpStream, FrameCodec>,
    address: SocketAddr,
    key: Option<(i32, SecretKey)>,
    position: Option<Position>,
    prepared: HashSet<String>,
}

impl Backend {
    /// Connects and logs in as `user`.
    pub(crate) async fn connect(
        address: SocketAddr,
        user: &str,
        role: &BackendRole,
    ) -> Result<Self, BackendError> {
        let socket = TcpStream::connect(address).await.map_err(WireError::Io)?;
        socket.set_nodelay(true).map_err(WireError::Io)?;
        let framed = Framed::new(socket, FrameCodec::new(MAX_MESSAGE_BYTES));
        let mut backend =
            Backend { framed, address, key: None, position: None, prepared: HashSet::new() };
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), user.to_owned());
        startup.parameters.insert("database".to_owned(), role.database.clone());
        backend.send(crate::wire::encode(&startup)).await?;
        backend.log_in().await?;
        Ok(backend)
    }

    async fn log_in(&mut self) -> Result<(), BackendError> {
        loop {
            let frame = self.receive().await?;
            match frame.backend()? {
                PgWireBackendMessage::Authentication(Authentication::Ok) => {}
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

    /// Sends encoded messages.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> Result<(), BackendError> {
        Ok(self.framed.send(bytes).await?)
    }

    /// Receives the next message and notes the position that it may report.
    pub(crate) async fn receive(&mut self) -> Result<Frame, BackendError> {
        let frame = self.framed.next().await.ok_or(BackendError::Closed)??;
        if frame.tag() == b'S'
            && let PgWireBackendMessage::ParameterStatus(status) = frame.backend()?
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

    /// Notes that a statement of this name is prepared; returns whether it is new.
    pub(crate) fn note_prepared(&mut self, name: &str) -> bool {
        self.prepared.insert(name.to_owned())
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
        let mut socket = TcpStream::connect(self.address).await?;
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
    /// The server closed the connection.
    #[error("backend server closed the connection")]
    Closed,
    /// The server refused with this SQLSTATE.
    #[error("backend server refused with SQLSTATE {0}")]
    Refused(String),
    /// The server sent a message that does not belong here.
    #[error("backend server sent an unexpected message")]
    Unexpected,
}
