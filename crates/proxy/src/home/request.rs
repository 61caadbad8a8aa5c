//! Messages that the proxy itself sends to a backend server, and their answers.
//!
//! If a statement that a caller has prepared doesn't exist on the connection that runs the
//! batch, the proxy prepares it first and removes the answers to its own messages. The proxy
//! also reads the transaction id before a batch that writes. Other functions check whether a
//! batch is a single statement or a `COMMIT`.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::prepared::PreparedStatements;
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{Bind, Close, Execute, Flush, Parse, Sync as SyncMessage},
    response::CommandComplete,
    simplequery::Query,
};

use crate::{
    stream::Batch,
    wire::{self, Frame},
};

/// Name of the prepared statement and the portal that read the transaction id.
const XID_NAME: &str = "chicoryhollow_xid";

/// Statement that assigns an id to the transaction and returns it.
const XID_SQL: &str = "SELECT pg_current_xact_id()::text";

/// Expected answer to a message that the proxy itself sent.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Expected {
    Closed,
    Parsed(String),
}

/// Expected answers that arrive before those to the caller's messages.
#[derive(Debug, Default)]
pub(crate) struct Preamble {
    expected: VecDeque<Expected>,
}

impl Preamble {
    /// Encodes a batch, preceded by the statements that must be prepared first.
    ///
    /// Also closes old prepared statements, so that their number stays limited.
    pub(crate) fn encode(&mut self, batch: &Batch, prepared: &mut PreparedStatements) -> Bytes {
        let mut parses = BytesMut::new();
        let mut names = Vec::new();
        for prepare in &batch.prepares {
            if prepared.record_use(&prepare.name) {
                parses.extend_from_slice(&prepare.parse);
                names.push(prepare.name.clone());
            }
        }
        if names.is_empty() {
            return batch.messages.clone();
        }
        let mut bytes = BytesMut::new();
        for name in prepared.evict() {
            bytes.extend_from_slice(&wire::encode(&Close::new(b'S', Some(name))));
            self.expected.push_back(Expected::Closed);
        }
        self.expected.extend(names.into_iter().map(Expected::Parsed));
        bytes.extend_from_slice(&parses);
        bytes.extend_from_slice(&batch.messages);
        bytes.freeze()
    }

    /// Returns whether a message answers one of the proxy's own messages. Such a message is
    /// not passed on.
    pub(crate) fn try_consume(&mut self, frame: &Frame, prepared: &mut PreparedStatements) -> bool {
        match (self.expected.front(), frame.tag()) {
            (Some(Expected::Closed), b'3') | (Some(Expected::Parsed(_)), b'1') => {
                self.expected.pop_front();
                true
            }
            (Some(_), b'E') => {
                // The server skips all further messages up to the end of the batch.
                for expected in self.expected.drain(..) {
                    if let Expected::Parsed(name) = expected {
                        prepared.forget(&name);
                    }
                }
                false
            }
            _ => false,
        }
    }

    /// Returns whether all expected answers were received.
    pub(crate) fn is_done(&self) -> bool {
        self.expected.is_empty()
    }
}

/// Encodes the query for the transaction id, which also begins an implicit transaction if
/// none is open.
///
/// The caller's batch must be sent only after the answer. If both were sent together, the
/// server could commit before the id is known.
pub(crate) fn encode_xid_query(prepared: &mut PreparedStatements) -> Bytes {
    let mut bytes = BytesMut::new();
    let name = || Some(XID_NAME.to_owned());
    if prepared.record_use(XID_NAME) {
        let parse = Parse::new(name(), XID_SQL.to_owned(), Vec::new());
        bytes.extend_from_slice(&wire::encode(&parse));
    }
    let bind = Bind::new(name(), name(), Vec::new(), Vec::new(), Vec::new());
    bytes.extend_from_slice(&wire::encode(&bind));
    bytes.extend_from_slice(&wire::encode(&Execute::new(name(), 0)));
    bytes.extend_from_slice(&wire::encode(&Flush::new()));
    bytes.freeze()
}

/// Marks the statement of [`encode_xid_query`] as not prepared, after it failed.
pub(crate) fn forget_xid(prepared: &mut PreparedStatements) {
    prepared.forget(XID_NAME);
}

/// Encodes the `Sync` message that ends a failed batch.
pub(crate) fn encode_sync() -> Bytes {
    wire::encode(&SyncMessage::new())
}

/// Encodes a statement in the simple query protocol.
pub(crate) fn encode_query(sql: &str) -> Bytes {
    wire::encode(&Query::new(sql.to_owned()))
}

/// Returns whether a batch consists of a single `COMMIT`.
pub(crate) fn is_commit(messages: &[u8]) -> bool {
    let Some(frame) = wire::split_frames(messages).next() else { return false };
    if frame.bytes().len() != messages.len() {
        return false;
    }
    let Ok(PgWireFrontendMessage::Query(query)) = frame.decode_frontend() else { return false };
    let text = query.query.trim().trim_end_matches(';').trim_end();
    ["commit", "end", "commit work", "commit transaction"]
        .into_iter()
        .any(|commit| text.eq_ignore_ascii_case(commit))
}

/// Encodes the completion message of a `COMMIT`.
pub(crate) fn encode_commit_complete() -> Bytes {
    wire::encode(&CommandComplete::new("COMMIT".to_owned()))
}

/// Returns whether a batch runs at most one statement and thus has a single outcome.
pub(crate) fn is_single(messages: &[u8]) -> bool {
    let count = |frame: Frame| match frame.tag() {
        b'E' => 1,
        b'Q' => 1 + inner_semicolons(&frame),
        _ => 0,
    };
    wire::split_frames(messages).map(count).sum::<usize>() <= 1
}

/// Counts the semicolons of a simple query without the last one.
///
/// Semicolons in string literals and comments count too, so a single statement may be taken
/// for several, but not the other way round.
fn inner_semicolons(frame: &Frame) -> usize {
    let text = frame.bytes()[wire::HEADER_BYTES..].trim_ascii_end();
    let text = text.strip_suffix(b"\0").unwrap_or(text).trim_ascii_end();
    let text = text.strip_suffix(b";").unwrap_or(text);
    text.iter().filter(|byte| **byte == b';').count()
}

/// Parses the number in the only column of a row.
pub(crate) fn decode_single_value(frame: &Frame) -> Option<u64> {
    // Tag, length and number of columns precede the length of the value.
    let value = frame.bytes().get(wire::HEADER_BYTES + 6..)?;
    std::str::from_utf8(value).ok()?.parse().ok()
}
