//! A thin PostgreSQL client that keeps what a load needs to see: session
//! tokens, SQLSTATEs, and whether an answer was cut off.

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

/// Parameter in which the proxy reports the session token.
const SESSION_PARAMETER: &str = "chicoryhollow.session";

/// Why a request got no result.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ClientError {
    /// The server answered with an error.
    #[error("{code}: {message}")]
    Server {
        /// SQLSTATE.
        code: String,
        /// Message of the error.
        message: String,
        /// Whether the server ends the connection.
        fatal: bool,
    },
    /// The connection ended or broke the protocol.
    #[error("connection lost: {0}")]
    Broken(String),
}

impl ClientError {
    /// Returns the SQLSTATE, if the server gave one.
    pub fn code(&self) -> Option<&str> {
        match self {
            ClientError::Server { code, .. } => Some(code),
            ClientError::Broken(_) => None,
        }
    }

    /// Tells whether the error claims that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, ClientError::Server { message, .. } if message.contains("not run"))
    }

    /// Tells whether the connection is of no more use.
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

/// Whom a client connects as.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// User name: the name of the key.
    pub user: String,
    /// The key.
    pub password: String,
    /// Database: the name of the route.
    pub database: String,
}

/// Rows of text columns.
pub type Rows = Vec<Vec<Option<String>>>;

/// A connection to a server that speaks the PostgreSQL wire protocol.
#[derive(Debug)]
pub struct Client {
    framed: Framed<TcpStream, ClientCodec>,
    parameters: BTreeMap<String, String>,
    prepared: Vec<String>,
}

impl Client {
    /// Connects and logs in; `token` carries an earlier session on.
    ///
    /// # Errors
    ///
    /// Returns an error when the server cannot be reached or refuses.
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

    /// Returns the newest session token that the proxy reported.
    pub fn token(&self) -> Option<&str> {
        self.parameter(SESSION_PARAMETER)
    }

    /// Returns a parameter that the server reported.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    /// Runs SQL text and returns the rows of its last statement with rows.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or that the connection broke.
    pub async fn simple_query(&mut self, sql: &str) -> Result<Rows, ClientError> {
        self.framed.send(Out::Query(Query::new(sql.to_owned()))).await?;
        self.answer().await
    }

    /// Runs a statement that is prepared at its first use.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or that the connection broke.
    pub async fn run(&mut self, sql: &str, params: &[String]) -> Result<Rows, ClientError> {
        let known = self.prepared.iter().position(|known| known == sql);
        let name = format!("s{}", known.unwrap_or(self.prepared.len()));
        if known.is_none() {
            let parse = Parse::new(Some(name.clone()), sql.to_owned(), Vec::new());
            self.framed.feed(Out::Parse(parse)).await?;
        }
        let values = params.iter().map(|p| Some(Bytes::from(p.clone()))).collect();
        let bind = Bind::new(None, Some(name), Vec::new(), values, Vec::new());
        self.framed.feed(Out::Bind(bind)).await?;
        self.framed.feed(Out::Execute(Execute::new(None, 0))).await?;
        self.framed.send(Out::Sync(Sync::new())).await?;
        let rows = self.answer().await?;
        if known.is_none() {
            self.prepared.push(sql.to_owned());
        }
        Ok(rows)
    }

    /// Ends the connection in good order.
    pub async fn close(mut self) {
        // The connection ends either way.
        let _ = self.framed.send(Out::Terminate(Terminate::new())).await;
    }

    /// Waits for a message that was not asked for and returns what it says.
    pub async fn wait_for_error(&mut self) -> ClientError {
        loop {
            match self.receive().await {
                Ok(In::ErrorResponse(error)) => return refused(&error),
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
                In::ErrorResponse(error) => return Err(refused(&error)),
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
            other => return Err(ClientError::Broken(format!("cannot log in by {other:?}"))),
        };
        Ok(self.framed.send(Out::PasswordMessageFamily(answer)).await?)
    }

    /// Collects one answer up to the server's readiness.
    async fn answer(&mut self) -> Result<Rows, ClientError> {
        let mut rows = Rows::new();
        let mut failed = None;
        loop {
            match self.receive().await {
                Ok(In::DataRow(row)) => rows.push(texts(&row)),
                Ok(In::ErrorResponse(error)) => {
                    let error = refused(&error);
                    if error.is_fatal() {
                        return Err(error);
                    }
                    failed.get_or_insert(error);
                }
                Ok(In::ReadyForQuery(_)) => return failed.map_or(Ok(rows), Err),
                Ok(_) => {}
                Err(error) => return Err(failed.unwrap_or(error)),
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

fn refused(error: &ErrorResponse) -> ClientError {
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

fn texts(row: &DataRow) -> Vec<Option<String>> {
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

/// The client's side of the PostgreSQL wire protocol.
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
