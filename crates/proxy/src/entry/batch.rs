//! Batches of a caller's messages.
//!
//! A batch is what runs on one server connection as a whole: the messages up to
//! a `Sync` or `Query`. A `Parse` is forwarded at its place in the batch, as
//! the unnamed statement, so that the server checks it in order. Statements that
//! earlier batches prepared are prepared again if the connection on which the
//! batch runs lacks them.

use std::{collections::HashMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::Refusal;
use pgwire::messages::{
    PgWireFrontendMessage as Message,
    extendedquery::{Bind, Close, Describe, Parse, TARGET_TYPE_BYTE_STATEMENT},
};

use super::{
    analysis::{Analysis, AnalysisCache, Class, TxControl},
    connection::decode,
    statements::{Statement, Statements},
};
use crate::{
    stream::Prepare,
    wire::{self, Frame, WireError},
};

/// Tag of the message that calls a function directly.
const FUNCTION_CALL: u8 = b'F';

/// Tags of the messages that carry copied data.
const COPY_TAGS: [u8; 3] = [b'd', b'c', b'f'];

/// Maximum number of characters of an unsupported statement that its refusal quotes.
const MAX_EXCERPT_CHARS: usize = 80;

/// Maximum number of prepared statements of one caller.
const MAX_STATEMENTS: usize = 4_096;

/// Kind of a caller's message. Each kind has its own answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ItemKind {
    /// `Parse`.
    Parse,
    /// `Bind`.
    Bind,
    /// `Describe` of a statement.
    DescribeStatement,
    /// `Describe` of a portal.
    DescribePortal,
    /// `Execute`.
    Execute,
    /// `Close` of a portal.
    ClosePortal,
    /// `Close` of a statement, which is answered without a backend server.
    CloseStatement,
    /// `Query`.
    Query,
}

impl ItemKind {
    /// Returns whether a message with this tag ends the answer to this kind.
    pub(crate) fn ends_with(self, tag: u8) -> bool {
        match self {
            ItemKind::Parse => tag == b'1',
            ItemKind::Bind => tag == b'2',
            ItemKind::DescribeStatement | ItemKind::DescribePortal => matches!(tag, b'T' | b'n'),
            ItemKind::Execute => matches!(tag, b'C' | b's' | b'I'),
            ItemKind::ClosePortal | ItemKind::CloseStatement => tag == b'3',
            ItemKind::Query => false,
        }
    }
}

/// A change of the session that takes effect once the message is answered.
#[derive(Clone)]
pub(crate) enum Effect {
    /// Stores a prepared statement.
    Define(String, Arc<Statement>),
    /// Removes a prepared statement.
    Remove(String),
}

/// One message of a batch.
#[derive(Clone)]
pub(crate) struct Item {
    /// Kind of the message.
    pub(crate) kind: ItemKind,
    /// Whether the caller sent the message, and so receives the answer to it.
    pub(crate) from_caller: bool,
    /// Change of the session when it has been answered.
    pub(crate) effect: Option<Effect>,
    /// Analysis of its statement, if the statement is known.
    pub(crate) analysis: Option<Arc<Analysis>>,
}

impl Item {
    /// Returns whether the message executes its statement.
    pub(crate) fn executes(&self) -> bool {
        matches!(self.kind, ItemKind::Execute | ItemKind::Query)
    }
}

/// Why a batch cannot run in any state of the session.
pub(crate) enum Problem {
    /// The proxy refuses the batch.
    Refused(Refusal),
    /// Pooled connections do not support the named feature or quoted statement.
    Unsupported(String),
    /// The name of a statement is unknown or in use, or there are too many
    /// names. Holds the encoded error.
    Name(Bytes),
}

/// A caller's messages up to a `Sync` or `Query`.
#[derive(Default)]
pub(crate) struct CallerBatch {
    /// Messages for the backend server.
    pub(crate) messages: BytesMut,
    /// Statements that must be prepared on the connection first.
    pub(crate) prepares: Vec<Prepare>,
    /// All messages, in order.
    pub(crate) items: Vec<Item>,
    /// The first reason why the batch cannot run, if there is one.
    pub(crate) problem: Option<Problem>,
    /// Analyses of the portals that this batch binds, by name.
    portals: HashMap<String, Arc<Analysis>>,
    /// Statements that this batch prepares, or closes (`None`), by the caller's
    /// name.
    defined: HashMap<String, Option<Arc<Statement>>>,
    /// Backend name of the statement that is the unnamed one on the server.
    unnamed: Option<String>,
}

/// What to do after a message has been added.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// Wait for more messages.
    More,
    /// Run the batch.
    Run,
    /// Answer the messages that were collected so far.
    Flush,
    /// Close the connection; the caller has asked for it.
    Terminate,
}

impl CallerBatch {
    /// Returns whether the batch has no message.
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty() && self.problem.is_none()
    }

    /// Adds a message of the caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or not allowed here.
    pub(crate) fn add(
        &mut self,
        frame: &Frame,
        statements: &Statements,
        analyses: &AnalysisCache,
    ) -> Result<Action, WireError> {
        if frame.tag() == FUNCTION_CALL {
            self.set_problem(Problem::Unsupported("function call".to_owned()));
            return Ok(Action::Run);
        }
        if COPY_TAGS.contains(&frame.tag()) {
            return Ok(Action::More);
        }
        match decode(frame)? {
            Message::Query(query) => {
                let analysis = analyses.get(&query.query);
                self.check_supported(&analysis, &query.query);
                self.push(ItemKind::Query, Some(analysis), frame.bytes());
                return Ok(Action::Run);
            }
            Message::Sync(_) => return Ok(Action::Run),
            Message::Flush(_) => return Ok(Action::Flush),
            Message::Terminate(_) => return Ok(Action::Terminate),
            Message::Parse(parse) => self.parse(&parse, statements, analyses),
            Message::Bind(bind) => self.bind(bind, statements),
            Message::Describe(describe) => self.describe(describe, frame, statements),
            Message::Execute(execute) => {
                let analysis = self.portals.get(&execute.name.unwrap_or_default()).cloned();
                self.push(ItemKind::Execute, analysis, frame.bytes());
            }
            Message::Close(close) => self.close(close, frame),
            _ => return Err(WireError::Unexpected),
        }
        Ok(Action::More)
    }

    /// Refuses the batch because the caller has too many prepared statements.
    pub(crate) fn refuse_statement(&mut self) {
        let text = "too many prepared statements: not run";
        self.set_problem(Problem::Name(encode_error("54000", text)));
    }

    fn parse(&mut self, parse: &Parse, statements: &Statements, analyses: &AnalysisCache) {
        let name = parse.name.clone().unwrap_or_default();
        if !name.is_empty() && self.find_statement(&name, statements).is_some() {
            let text = format!("prepared statement \"{name}\" already exists: not run");
            return self.set_problem(Problem::Name(encode_error("42P05", &text)));
        }
        if statements.len() + self.defined.len() >= MAX_STATEMENTS {
            return self.refuse_statement();
        }
        let statement = Arc::new(Statement::new(parse, analyses));
        self.check_supported(&statement.analysis, &parse.query);
        self.push(ItemKind::Parse, Some(Arc::clone(&statement.analysis)), &statement.unnamed);
        if let Some(item) = self.items.last_mut() {
            item.effect = Some(Effect::Define(name.clone(), Arc::clone(&statement)));
        }
        self.unnamed = Some(statement.name.clone());
        self.defined.insert(name, Some(statement));
    }

    fn bind(&mut self, mut bind: Bind, statements: &Statements) {
        let name = bind.statement_name.take().unwrap_or_default();
        let Some(statement) = self.require_statement(&name, statements) else { return };
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, Arc::clone(&statement.analysis));
        bind.statement_name = self.prepare_statement(&name, &statement);
        self.push(ItemKind::Bind, Some(Arc::clone(&statement.analysis)), &wire::encode(&bind));
    }

    fn describe(&mut self, mut describe: Describe, frame: &Frame, statements: &Statements) {
        let name = describe.name.take().unwrap_or_default();
        if describe.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let analysis = self.portals.get(&name).cloned();
            return self.push(ItemKind::DescribePortal, analysis, frame.bytes());
        }
        let Some(statement) = self.require_statement(&name, statements) else { return };
        describe.name = self.prepare_statement(&name, &statement);
        let analysis = Some(Arc::clone(&statement.analysis));
        self.push(ItemKind::DescribeStatement, analysis, &wire::encode(&describe));
    }

    fn close(&mut self, close: Close, frame: &Frame) {
        let name = close.name.unwrap_or_default();
        if close.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let analysis = self.portals.remove(&name);
            return self.push(ItemKind::ClosePortal, analysis, frame.bytes());
        }
        self.push(ItemKind::CloseStatement, None, &Bytes::new());
        if let Some(item) = self.items.last_mut() {
            item.effect = Some(Effect::Remove(name.clone()));
        }
        self.defined.insert(name, None);
    }

    fn push(&mut self, kind: ItemKind, analysis: Option<Arc<Analysis>>, message: &Bytes) {
        if analysis.as_ref().is_some_and(|analysis| analysis.class == Class::Unsupported) {
            self.set_problem(Problem::Refused(Refusal::Unsupported));
        }
        if analysis.as_ref().is_none_or(|analysis| analysis.command.is_none()) {
            self.messages.extend_from_slice(message);
        }
        self.items.push(Item { kind, from_caller: true, effect: None, analysis });
    }

    fn check_supported(&mut self, analysis: &Analysis, sql: &str) {
        if analysis.class == Class::Unsupported {
            self.set_problem(Problem::Unsupported(sql.chars().take(MAX_EXCERPT_CHARS).collect()));
        }
    }

    fn set_problem(&mut self, problem: Problem) {
        self.problem.get_or_insert(problem);
    }

    fn find_statement(&self, name: &str, statements: &Statements) -> Option<Arc<Statement>> {
        let defined = self.defined.get(name).cloned();
        defined.unwrap_or_else(|| statements.get(name).cloned())
    }

    fn require_statement(&mut self, name: &str, statements: &Statements) -> Option<Arc<Statement>> {
        let found = self.find_statement(name, statements);
        if found.is_none() {
            let text = format!("prepared statement \"{name}\" does not exist: not run");
            self.set_problem(Problem::Name(encode_error("26000", &text)));
        }
        found
    }

    /// Ensures that the statement is prepared when the next message runs, and
    /// returns its name on the backend connection; `None` is the unnamed one.
    fn prepare_statement(&mut self, name: &str, statement: &Statement) -> Option<String> {
        if statement.analysis.command.is_some() {
            return None;
        }
        let is_defined_here = self.defined.contains_key(name);
        if !is_defined_here && !name.is_empty() {
            if !self.prepares.iter().any(|prepare| prepare.name == statement.name) {
                self.prepares.push(statement.prepare());
            }
            return Some(statement.name.clone());
        }
        if self.unnamed.as_ref() != Some(&statement.name) {
            self.messages.extend_from_slice(&statement.unnamed);
            let analysis = Some(Arc::clone(&statement.analysis));
            self.items.push(Item {
                kind: ItemKind::Parse,
                from_caller: false,
                effect: None,
                analysis,
            });
            self.unnamed = Some(statement.name.clone());
        }
        None
    }

    /// Returns whether the batch has commands that need no backend server.
    pub(crate) fn has_commands(&self) -> bool {
        self.analyses().any(|analysis| analysis.command.is_some())
    }

    /// Returns whether any message must be sent to a backend server.
    pub(crate) fn needs_server(&self) -> bool {
        !self.messages.is_empty()
    }

    fn analyses(&self) -> impl Iterator<Item = &Arc<Analysis>> {
        self.items.iter().filter_map(|item| item.analysis.as_ref())
    }

    /// Returns the analyses of the statements that are executed, `None` for an
    /// unknown one.
    fn executed(&self) -> impl Iterator<Item = Option<&Arc<Analysis>>> {
        self.items.iter().filter(|item| item.executes()).map(|item| item.analysis.as_ref())
    }

    /// Returns the transaction control statement of the batch, if the batch
    /// executes that statement once and nothing else.
    pub(crate) fn control(&self) -> Option<TxControl> {
        let mut executed = self.executed();
        let control = executed.next()??.control;
        let alone = executed.next().is_none() && self.analyses().all(|s| s.control == control);
        control.filter(|_| alone)
    }

    /// Returns the highest class of the statements that are executed.
    pub(crate) fn class(&self) -> Class {
        let class = |analysis: Option<&Arc<Analysis>>| analysis.map_or(Class::Write, |a| a.class);
        self.executed().map(class).max().unwrap_or(Class::Read)
    }

    /// Returns whether the batch uses a portal. Portals end with the transaction.
    pub(crate) fn uses_portals(&self) -> bool {
        let portal = |item: &Item| {
            !matches!(
                item.kind,
                ItemKind::Parse | ItemKind::DescribeStatement | ItemKind::CloseStatement
            )
        };
        self.items.iter().any(portal)
    }

    /// Returns whether the batch may commit a transaction.
    pub(crate) fn commits(&self) -> bool {
        self.executed().any(|analysis| analysis.is_none_or(|analysis| analysis.commits))
    }

    /// Returns whether the batch may leave a transaction open.
    pub(crate) fn opens(&self) -> bool {
        self.executed().flatten().any(|analysis| analysis.opens)
    }

    /// Returns whether the batch ends with a simple query.
    pub(crate) fn is_simple(&self) -> bool {
        self.items.last().is_some_and(|item| item.kind == ItemKind::Query)
    }
}

/// Encodes an error that is not one of the proxy's refusals.
fn encode_error(sqlstate: &str, text: &str) -> Bytes {
    wire::encode(&wire::error_response(sqlstate, text))
}

#[cfg(test)]
mod tests;
