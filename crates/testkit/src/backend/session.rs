//! One client connection, from its start-up message to its end.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use chicoryhollow_core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use pgwire::{
    error::PgWireError,
    messages::{
        PgWireBackendMessage as Out, PgWireFrontendMessage as In, SslNegotiationMetaMessage,
        data::{FieldDescription, RowDescription},
        response::{CommandComplete, EmptyQueryResponse, ReadyForQuery, SslResponse},
        startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
    },
};
use tokio::{net::TcpStream, sync::Notify, time::timeout};
use tokio_util::codec::{Framed, FramedParts};

use crate::backend::{
    CONTROL_ROLE, REPLICATION_ROLE,
    codec::ServerCodec,
    control,
    core::Role,
    engine::{Column, format_of},
    error::SqlError,
    extended::{Portal, Prepared},
    node::Node,
    replica, shipping,
    statement::{Kind, split},
    transaction::{Executor, Outcome},
};

/// Parameter that reports the server's position.
const POSITION_PARAMETER: &str = "chicoryhollow.position";

/// Parameters that PostgreSQL clients expect at start-up.
const PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// A client connection after its start-up.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) node: Arc<Node>,
    pub(crate) framed: Framed<TcpStream, ServerCodec>,
    pub(crate) executor: Executor,
    pub(crate) statements: HashMap<String, Arc<Prepared>>,
    pub(crate) portals: HashMap<String, Portal>,
    /// Whether messages are skipped up to the next Sync.
    pub(crate) skipping: bool,
    reported: Option<Position>,
    started: Option<RequestStart>,
}

/// State of the server when the first statement of a request started.
#[derive(Clone, Copy, Debug)]
struct RequestStart {
    position: Position,
    epoch: u64,
    is_replica: bool,
}

impl Session {
    /// Serves one connection to its end.
    pub(crate) async fn serve(node: Arc<Node>, stream: TcpStream) {
        let mut framed = Framed::new(stream, ServerCodec::new());
        let Some(parameters) = read_startup(&node, &mut framed).await else { return };
        match parameters.get("user").map(String::as_str) {
            Some(REPLICATION_ROLE) => serve_replication(&node, framed).await,
            Some(CONTROL_ROLE) => serve_statements(&node, framed, None).await,
            _ => serve_limited(&node, framed, &parameters).await,
        }
    }

    /// Answers messages until the client disconnects.
    async fn run(&mut self) -> Result<(), PgWireError> {
        while let Some(message) = self.next_message().await? {
            match message {
                In::Query(query) => self.simple_query(&query.query).await?,
                In::Terminate(_) => return Ok(()),
                other => self.extended_message(other).await?,
            }
        }
        Ok(())
    }

    /// Waits for a message. In an open transaction the wait may have a time limit.
    async fn next_message(&mut self) -> Result<Option<In>, PgWireError> {
        let Some(limit) = self.executor.idle_timeout() else {
            return self.framed.next().await.transpose();
        };
        match timeout(limit, self.framed.next()).await {
            Ok(message) => message.transpose(),
            Err(_) => {
                let text = "terminating connection due to idle-in-transaction timeout";
                let error = SqlError::new("25P03", text);
                self.framed.send(Out::ErrorResponse(error.fatal_response())).await?;
                Ok(None)
            }
        }
    }

    async fn simple_query(&mut self, text: &str) -> Result<(), PgWireError> {
        let statements = split(text);
        if statements.is_empty() {
            self.framed.feed(Out::EmptyQueryResponse(EmptyQueryResponse::new())).await?;
        }
        for statement in statements {
            self.record_start();
            let result = match &statement.kind {
                Kind::Control(call) => control::call(&self.node, call).await,
                _ => self.executor.execute(&statement, &[], &[]).await,
            };
            match result {
                Ok(outcome) => self.send_outcome(outcome).await?,
                Err(error) => {
                    self.send_error(&error).await?;
                    break;
                }
            }
        }
        self.send_ready().await
    }

    async fn send_outcome(&mut self, outcome: Outcome) -> Result<(), PgWireError> {
        if !outcome.answer.columns.is_empty() {
            let description = describe(&outcome.answer.columns, &[]);
            self.framed.feed(Out::RowDescription(description)).await?;
        }
        for row in outcome.answer.rows {
            self.framed.feed(Out::DataRow(row)).await?;
        }
        self.framed.feed(Out::CommandComplete(CommandComplete::new(outcome.tag))).await
    }

    /// Sends an error and aborts the transaction that it occurred in.
    pub(crate) async fn send_error(&mut self, error: &SqlError) -> Result<(), PgWireError> {
        self.executor.fail();
        self.framed.feed(Out::ErrorResponse(error.response())).await
    }

    /// Ends the request: commits its implicit transaction and reports the position
    /// and the transaction status.
    pub(crate) async fn send_ready(&mut self) -> Result<(), PgWireError> {
        if let Err(error) = self.executor.finish_implicit() {
            self.send_error(&error).await?;
        }
        self.report_position().await?;
        let ready = ReadyForQuery::new(self.executor.status());
        self.framed.send(Out::ReadyForQuery(ready)).await
    }

    /// Records the state of the server before the first statement of a request.
    pub(crate) fn record_start(&mut self) {
        if self.started.is_none() {
            self.started = Some(self.node.with(|core| RequestStart {
                position: core.position(),
                epoch: core.epoch,
                is_replica: core.role == Role::Replica,
            }));
        }
    }

    /// Reports a position if it differs from the last reported one. On a replica, or
    /// if the server has started or stopped being the primary during the request,
    /// it is the position at the request's start; otherwise the current one.
    async fn report_position(&mut self) -> Result<(), PgWireError> {
        let started = self.started.take();
        let (now, epoch) = self.node.with(|core| (core.position(), core.epoch));
        let position = match started {
            Some(started) if started.is_replica || started.epoch != epoch => started.position,
            _ => now,
        };
        if self.reported == Some(position) {
            return Ok(());
        }
        self.reported = Some(position);
        self.framed.feed(parameter(POSITION_PARAMETER, &position.to_string())).await
    }
}

/// Reads the start-up message and answers requests that may precede it. Returns
/// its parameters, or `None` if no session follows.
async fn read_startup(
    node: &Node,
    framed: &mut Framed<TcpStream, ServerCodec>,
) -> Option<BTreeMap<String, String>> {
    loop {
        match framed.next().await?.ok()? {
            In::SslNegotiation(SslNegotiationMetaMessage::None) => {}
            In::SslNegotiation(_) => {
                framed.send(Out::SslResponse(SslResponse::Refuse)).await.ok()?;
            }
            In::CancelRequest(request) => {
                node.cancel(request.pid, request.secret_key.as_i32()?);
                return None;
            }
            In::Startup(startup) => return Some(startup.parameters),
            _ => return None,
        }
    }
}

async fn serve_replication(node: &Node, framed: Framed<TcpStream, ServerCodec>) {
    let parts = framed.into_parts();
    let mut link = FramedParts::new::<Bytes>(parts.io, shipping::link_codec());
    link.read_buf = parts.read_buf;
    let mut link = Framed::from_parts(link);
    // Errors are ignored because the primary opens a new link after any failure.
    let _ = replica::follow(node, &mut link).await;
}

async fn serve_limited(
    node: &Arc<Node>,
    mut framed: Framed<TcpStream, ServerCodec>,
    parameters: &BTreeMap<String, String>,
) {
    let taken = node.connections.fetch_add(1, Ordering::SeqCst);
    if taken < node.options.connections {
        tokio::time::sleep(node.options.connect_delay).await;
        serve_statements(node, framed, Some(parameters)).await;
    } else {
        let error = SqlError::new("53300", "sorry, too many clients already");
        // Ignored because the connection ends in any case.
        let _ = framed.send(Out::ErrorResponse(error.fatal_response())).await;
    }
    node.connections.fetch_sub(1, Ordering::SeqCst);
}

/// Serves statements. `limited` has the start-up parameters of a session that
/// needs slots for its statements; sessions of the control role need none.
async fn serve_statements(
    node: &Arc<Node>,
    framed: Framed<TcpStream, ServerCodec>,
    limited: Option<&BTreeMap<String, String>>,
) {
    let cancel = Arc::new(Notify::new());
    let secret: i32 = rand::random();
    let process = node.register(secret, Arc::clone(&cancel));
    let mut executor = Executor::new(Arc::clone(node), limited.is_some(), cancel);
    for (name, value) in limited.into_iter().flatten() {
        executor.set(&format!("{name}={value}"));
    }
    let mut session = Session {
        node: Arc::clone(node),
        framed,
        executor,
        statements: HashMap::new(),
        portals: HashMap::new(),
        skipping: false,
        reported: None,
        started: None,
    };
    if send_startup(&mut session, process, secret).await.is_ok() {
        // A protocol error of the client only ends its connection.
        let _ = session.run().await;
    }
    node.unregister(process);
}

async fn send_startup(session: &mut Session, process: i32, secret: i32) -> Result<(), PgWireError> {
    session.framed.feed(Out::Authentication(Authentication::Ok)).await?;
    for (name, value) in PARAMETERS {
        session.framed.feed(parameter(name, value)).await?;
    }
    let key = BackendKeyData::new(process, SecretKey::I32(secret));
    session.framed.feed(Out::BackendKeyData(key)).await?;
    session.send_ready().await
}

fn parameter(name: &str, value: &str) -> Out {
    Out::ParameterStatus(ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Makes the description of result columns that are sent in `formats`.
pub(crate) fn describe(columns: &[Column], formats: &[i16]) -> RowDescription {
    let field = |(i, column): (usize, &Column)| {
        let format = format_of(formats, i);
        FieldDescription::new(column.name.clone(), 0, 0, column.type_id, -1, -1, format)
    };
    RowDescription::new(columns.iter().enumerate().map(field).collect())
}
