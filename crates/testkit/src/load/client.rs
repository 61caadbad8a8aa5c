//! Minimal PostgreSQL client for loads and tests.
//!
//! Unlike a stock client it exposes what a load has to check: session tokens,
//! SQLSTATEs, and whether the connection closed before an answer was complete.

use std::{collections::BTreeMap, io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext, PgWireBackendMessage as In, PgWireFrontendMessage as Out, ProtocolVersion,
        data::DataRow,
        extendedquery::{Bind, Execute, Parse, Sync},
        response::ErrorResponse,
        simplequery::Query,
        startup::{
            Authentication, PasswordMessageFamily, SASLInitialResponse, SASLResponse, Startup,
        },
        terminate::Terminate,
    },
};
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Parameter status with which the proxy reports the session token.
const SESSION_PARAMETER: &str = "chicoryhollow.session";

/// Failure of a request.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ClientError {
    /// The server answered with an ErrorResponse.
    #[error("{code}: {message}")]
    Server {
        /// SQLSTATE of the error.
        code: String,
        /// Primary message of the error.
        message: String,
        /// Whether the severity is FATAL or PANIC, so that the server closes the
        /// connection.
        fatal: bool,
    },
    /// The connection closed or the server violated the protocol.
    #[error("connection lost: {0}")]
    Broken(String),
}

impl ClientError {
    /// Returns the SQLSTATE if the server answered with an error.
    pub fn code(&self) -> Option<&str> {
        match self {
            ClientError::Server { code, .. } => Some(code),
            ClientError::Broken(_) => None,
        }
    }

    /// Returns whether the error message says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, ClientError::Server { message, .. } if message.contains("not run"))
    }

    /// Returns whether the connection can no longer be used.
    pub fn is_fatal(&self) -> bool {
        matches!(self, ClientError::Broken(_) | ClientError::Server { fatal: true, .. })
    }
}

impl From<PgWireError> for ClientError {
    fn from(error: PgWireError) -> Self {
        ClientError::Broken(error.to_string())
    }
}

impl From<io::Error> for ClientError {
    fn from(error: io::Error) -> Self {
        ClientError::Broken(error.to_string())
    }
}

/// User, password and database of a login.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// User name: the name of the account's key.
    pub user: String,
    /// Password: the secret of the key.
    pub password: String,
    /// Database name: the name of the route.
    pub database: String,
}

/// Rows of columns in text format; `None` is NULL.
pub type Rows = Vec<Vec<Option<String>>>;

/// Connection to a server over the PostgreSQL wire protocol.
#[derive(Debug)]
pub struct Client {
    framed: Framed<TcpStream, ClientCodec>,
    parameters: BTreeMap<String, String>,
    prepared: Vec<String>,
}

impl Client {
    /// Connects and logs in, with SCRAM if the server requires a password.
    ///
    /// With a session `token`, the proxy continues the session that the token
    /// belongs to.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached or refuses the login.
    pub async fn new(
        address: SocketAddr,
        identity: &Identity,
        token: Option<&str>,
    ) -> Result<Self, ClientError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let framed = Framed::new(stream, ClientCodec::new());
        let mut client = Client { framed, parameters: BTreeMap::new(), prepared: Vec::new() };
        client.log_in(identity, token).await?;
        Ok(client)
    }

    /// Returns the session token that the proxy reported last.
    pub fn token(&self) -> Option<&str> {
        self.parameter(SESSION_PARAMETER)
    }

    /// Returns the last reported value of a server parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    /// Runs SQL text with the simple query protocol and returns all rows of the
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or [`ClientError::Broken`] if the connection
    /// closed.
    pub async fn simple_query(&mut self, sql: &str) -> Result<Rows, ClientError> {
        self.framed.send(Out::Query(Query::new(sql.to_owned()))).await?;
        self.read_answer().await
    }

    /// Runs a statement with the extended query protocol; the statement is
    /// prepared at its first use.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or [`ClientError::Broken`] if the connection
    /// closed.
    pub async fn run(&mut self, sql: &str, params: &[String]) -> Result<Rows, ClientError> {
        let position = self.prepared.iter().position(|known| known == sql);
        let name = format!("s{}", position.unwrap_or(self.prepared.len()));
        if position.is_none() {
            let parse = Parse::new(Some(name.clone()), sql.to_owned(), Vec::new());
            self.framed.feed(Out::Parse(parse)).await?;
        }
        let values = params.iter().map(|p| Some(Bytes::from(p.clone()))).collect();
        let bind = Bind::new(None, Some(name), Vec::new(), values, Vec::new());
        self.framed.feed(Out::Bind(bind)).await?;
        self.framed.feed(Out::Execute(Execute::new(None, 0))).await?;
        self.framed.send(Out::Sync(Sync::new())).await?;
        let rows = self.read_answer().await?;
        if position.is_none() {
            self.prepared.push(sql.to_owned());
        }
        Ok(rows)
    }

    /// Closes the connection with a Terminate message.
    pub async fn close(mut self) {
        // The connection closes even if the message cannot be sent.
        let _ = self.framed.send(Out::Terminate(Terminate::new())).await;
    }

    /// Waits without a request until the server sends an error or the
    /// connection closes, and returns the error.
    pub async fn wait_for_error(&mut self) -> ClientError {
        loop {
            match self.receive().await {
                Ok(In::ErrorResponse(error)) => return server_error(&error),
                Ok(_) => {}
                Err(error) => return error,
            }
        }
    }

    async fn log_in(
        &mut self,
        identity: &Identity,
        token: Option<&str>,
    ) -> Result<(), ClientError> {
        let mut startup = Startup::new();
        let mut set = |name: &str, value: &str| {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        };
        set("user", &identity.user);
        set("database", &identity.database);
        if let Some(token) = token {
            set("options", &format!("-c {SESSION_PARAMETER}={token}"));
        }
        self.framed.send(Out::Startup(startup)).await?;
        let mut scram =
            ScramSha256::new(identity.password.as_bytes(), ChannelBinding::unsupported());
        loop {
            match self.receive().await? {
                In::Authentication(step) => self.authenticate(step, &mut scram).await?,
                In::ErrorResponse(error) => return Err(server_error(&error)),
                In::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    async fn authenticate(
        &mut self,
        step: Authentication,
        scram: &mut ScramSha256,
    ) -> Result<(), ClientError> {
        let answer = match step {
            Authentication::Ok => return Ok(()),
            Authentication::SASL(_) => {
                let first = Bytes::copy_from_slice(scram.message());
                let initial = SASLInitialResponse::new(SCRAM_SHA_256.to_owned(), Some(first));
                PasswordMessageFamily::SASLInitialResponse(initial)
            }
            Authentication::SASLContinue(message) => {
                scram.update(&message)?;
                let proof = Bytes::copy_from_slice(scram.message());
                PasswordMessageFamily::SASLResponse(SASLResponse::new(proof))
            }
            Authentication::SASLFinal(message) => return Ok(scram.finish(&message)?),
            other => return Err(ClientError::Broken(format!("unexpected login step {other:?}"))),
        };
        Ok(self.framed.send(Out::PasswordMessageFamily(answer)).await?)
    }

    /// Reads the messages of one answer up to ReadyForQuery and returns its
    /// rows or first error.
    async fn read_answer(&mut self) -> Result<Rows, ClientError> {
        let mut rows = Rows::new();
        let mut first_error = None;
        loop {
            match self.receive().await {
                Ok(In::DataRow(row)) => rows.push(decode_row(&row)),
                Ok(In::ErrorResponse(error)) => {
                    let error = server_error(&error);
                    if error.is_fatal() {
                        return Err(error);
                    }
                    first_error.get_or_insert(error);
                }
                Ok(In::ReadyForQuery(_)) => return first_error.map_or(Ok(rows), Err),
                Ok(_) => {}
                Err(error) => return Err(first_error.unwrap_or(error)),
            }
        }
    }

    async fn receive(&mut self) -> Result<In, ClientError> {
        let end = || ClientError::Broken("the server closed the connection".to_owned());
        let message = self.framed.next().await.ok_or_else(end)??;
        if let In::ParameterStatus(status) = &message {
            self.parameters.insert(status.name.clone(), status.value.clone());
        }
        Ok(message)
    }
}

fn server_error(error: &ErrorResponse) -> ClientError {
    let field = |tag| {
        let found = error.fields.iter().find(|(name, _)| *name == tag);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    ClientError::Server {
        code: field(b'C'),
        message: field(b'M'),
        fatal: matches!(field(b'S').as_str(), "FATAL" | "PANIC"),
    }
}

fn decode_row(row: &DataRow) -> Vec<Option<String>> {
    let mut rest = &row.data[..];
    let mut columns = Vec::new();
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = usize::try_from(i32::from_be_bytes(*length));
        let (value, tail) = tail.split_at(length.unwrap_or(0).min(tail.len()));
        columns.push(length.is_ok().then(|| String::from_utf8_lossy(value).into_owned()));
        rest = tail;
    }
    columns
}

/// Codec of the client's side of the PostgreSQL wire protocol.
#[derive(Debug)]
struct ClientCodec {
    context: DecodeContext,
}

impl ClientCodec {
    fn new() -> Self {
        ClientCodec { context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0) }
    }
}

impl Decoder for ClientCodec {
    type Item = In;
    type Error = PgWireError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<In>, PgWireError> {
        In::decode(bytes, &self.context)
    }
}

impl Encoder<Out> for ClientCodec {
    type Error = PgWireError;

    fn encode(&mut self, message: Out, bytes: &mut BytesMut) -> Result<(), PgWireError> {
        message.encode(bytes)
    }
}
