//! Streams between a caller's session and the home of a backend server.
//!
//! A [`Stream`] carries batches of statements to the home and their answers back.
//! The home may be this VM or another one, which makes no difference to the
//! session.

use std::sync::Arc;

use bytes::Bytes;
use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::stream as message;
pub use chicoryhollow_peer::stream::{Access, Prepare};

use crate::{home::LocalStream, node::Node, peers::RemoteStream};

/// Request to the home of a backend server to open a stream.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Group to which the server belongs.
    pub group: GroupId,
    /// Server that runs the statements.
    pub server: ServerId,
    /// Account of the caller.
    pub account: AccountId,
    /// What the stream may be used for.
    pub access: Access,
    /// Time by which the stream must be open.
    pub deadline: Time,
    /// Position that the server must have applied.
    pub min_position: Option<Position>,
    /// Maximum age of the data that the read accepts, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// How long the home may wait until the server has applied `min_position`, in
    /// milliseconds.
    pub max_wait_ms: u32,
}

/// A batch of statements for a backend server.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Statements that must be prepared on the connection first.
    pub prepares: Vec<Prepare>,
    /// Encoded frontend messages up to a `Sync` or `Query`.
    pub messages: Bytes,
    /// Whether the batch may write.
    pub writes: bool,
    /// Time by which the batch must have ended.
    pub deadline: Time,
}

/// What a stream returns to the session.
#[derive(Clone, Debug)]
pub enum StreamEvent {
    /// Whole encoded backend messages.
    Answer(Bytes),
    /// The answer to the batch is complete.
    Ready(Ready),
}

/// End of the answer to one batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ready {
    /// Transaction status byte: `I`, `T` or `E`.
    pub status: u8,
    /// Newest position that the answer shows. If no transaction is open, the position
    /// is confirmed.
    pub position: Option<Position>,
}

impl Ready {
    /// Returns whether no transaction is open.
    pub fn is_idle(&self) -> bool {
        self.status == b'I'
    }

    /// Creates the message that ends an answer on stream `stream`.
    pub(crate) fn to_message(self, stream: u64) -> message::Ready {
        let position = self.position.map(encode_position);
        message::Ready { stream, status: self.status.into(), position }
    }

    /// Reads the message that ends an answer.
    pub(crate) fn from_message(ready: &message::Ready) -> Self {
        let status = u8::try_from(ready.status).unwrap_or(b'E');
        Ready { status, position: ready.position.map(decode_position) }
    }
}

/// A refusal of the home, with the applied position of a server that lags behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why the home refused.
    pub refusal: Refusal,
    /// Position that the server has applied.
    pub applied: Option<Position>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Refused { refusal, applied: None }
    }
}

/// A stream to the home of a backend server, on this VM or another one.
pub enum Stream {
    /// The home is on this VM.
    Local(Box<LocalStream>),
    /// The home is on another VM.
    Remote(RemoteStream),
}

impl Stream {
    /// Opens a stream to the home of the requested server.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the home cannot be reached or does not accept the
    /// stream. Nothing has run then.
    pub async fn open(node: &Arc<Node>, request: OpenRequest) -> Result<Stream, Refused> {
        let home = find_home(node, &request).ok_or(Refusal::HomeUnreachable)?;
        if home == node.settings.vm {
            node.metrics.streams.with_label_values(&["local"]).inc();
            return LocalStream::open(node, request).await.map(Box::new).map(Stream::Local);
        }
        node.metrics.streams.with_label_values(&["remote"]).inc();
        RemoteStream::open(node, &home, request).await.map(Stream::Remote)
    }

    /// Sends one batch. Its answer must be read to the end before the next batch is
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the batch cannot be sent.
    pub async fn send(&mut self, batch: Batch) -> Result<(), Refused> {
        match self {
            Stream::Local(stream) => stream.send(batch).await,
            Stream::Remote(stream) => stream.send(batch).await,
        }
    }

    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the answer is incomplete. The refusal states the outcome
    /// of the batch. The stream can no longer be used.
    pub async fn next(&mut self) -> Result<StreamEvent, Refused> {
        match self {
            Stream::Local(stream) => stream.next().await,
            Stream::Remote(stream) => stream.next().await,
        }
    }

    /// Asks the backend server to cancel the statement that runs.
    pub async fn interrupt(&mut self) {
        match self {
            Stream::Local(stream) => stream.interrupt(),
            Stream::Remote(stream) => stream.interrupt().await,
        }
    }
}

/// Encodes a position.
pub(crate) fn encode_position(position: Position) -> message::Position {
    message::Position { term: position.term().get(), lsn: position.lsn().get() }
}

/// Decodes a position.
pub(crate) fn decode_position(position: message::Position) -> Position {
    Position::new(Term::new(position.term), Lsn::new(position.lsn))
}

/// Returns the home of the requested server.
fn find_home(node: &Arc<Node>, request: &OpenRequest) -> Option<VmId> {
    let versioned = node.configuration();
    let group = versioned.configuration.groups.get(&request.group)?;
    let server = group.servers.get(&request.server)?;
    let candidates = node.members.homes(&server.data_centre, &request.server);
    node.peers.first_reachable(node, &candidates)
}
