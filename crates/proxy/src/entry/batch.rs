//! Gathering a caller's messages into batches.
//!
//! A `Parse` of the caller is forwarded as the unnamed statement, in its place,
//! so that the server checks it in order. Statements prepared by earlier
//! batches are prepared again on whichever connection the batch runs on.

use std::{collections::HashMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::Refusal;
use pgwire::messages::{
    PgWireFrontendMessage as Message,
    extendedquery::{Bind, Close, Describe, Parse, TARGET_TYPE_BYTE_STATEMENT},
};

use super::{
    classify::{Class, Control, Shape, Shapes},
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

/// Characters of a refused statement that its refusal repeats.
const MAX_EXCERPT: usize = 80;

/// Prepared statements that one caller may keep.
const MAX_STATEMENTS: usize = 4_096;

/// Kind of a message, by the answer that it gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
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
    /// `Close` of a statement, which the entry answers.
    CloseStatement,
    /// `Query`.
    Query,
}

impl Kind {
    /// Tells whether a message of this tag ends the answer.
    pub(crate) fn ends_with(self, tag: u8) -> bool {
        match self {
            Kind::Parse => tag == b'1',
            Kind::Bind => tag == b'2',
            Kind::DescribeStatement | Kind::DescribePortal => matches!(tag, b'T' | b'n'),
            Kind::Execute => matches!(tag, b'C' | b's' | b'I'),
            Kind::ClosePortal | Kind::CloseStatement => tag == b'3',
            Kind::Query => false,
        }
    }
}

/// What a message changes in the session once it has been answered.
#[derive(Clone)]
pub(crate) enum Effect {
    /// Keeps a prepared statement.
    Define(String, Arc<Statement>),
    /// Forgets a prepared statement.
    Remove(String),
}

/// One message of a batch.
#[derive(Clone)]
pub(crate) struct Item {
    /// Kind of the message.
    pub(crate) kind: Kind,
    /// Whether the caller sent it, and so awaits its answer.
    pub(crate) shown: bool,
    /// What it changes in the session.
    pub(crate) effect: Option<Effect>,
    /// What its statement does, where that is known.
    pub(crate) shape: Option<Arc<Shape>>,
}

impl Item {
    /// Tells whether its statement runs.
    pub(crate) fn runs(&self) -> bool {
        matches!(self.kind, Kind::Execute | Kind::Query)
    }
}

/// Why a batch cannot run, whatever the state of the session.
pub(crate) enum Problem {
    /// The proxy refuses it.
    Refused(Refusal),
    /// Pooled connections do not support this, which names it.
    Unsupported(String),
    /// A name that it uses is unknown or taken.
    Name(Bytes),
}

/// Messages up to a `Sync` or `Query`.
#[derive(Default)]
pub(crate) struct Gathered {
    /// Messages for the backend server.
    pub(crate) messages: BytesMut,
    /// Statements that must be prepared first.
    pub(crate) prepares: Vec<Prepare>,
    /// All messages, in order.
    pub(crate) items: Vec<Item>,
    /// Why the batch cannot run, if so.
    pub(crate) problem: Option<Problem>,
    portals: HashMap<String, Arc<Shape>>,
    defined: HashMap<String, Option<Arc<Statement>>>,
    unnamed: Option<String>,
}

/// What to do after a message was added.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// Wait for more messages.
    More,
    /// Run the batch.
    Run,
    /// Answer what was gathered so far.
    Flush,
    /// End the connection in good order.
    Terminate,
}

impl Gathered {
    /// Tells whether nothing was gathered.
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty() && self.problem.is_none()
    }

    /// Adds a message of the caller.
    pub(crate) fn add(
        &mut self,
        frame: &Frame,
        statements: &Statements,
        shapes: &Shapes,
    ) -> Result<Next, WireError> {
        if frame.tag() == FUNCTION_CALL {
            self.fail(Problem::Unsupported("function call".to_owned()));
            return Ok(Next::Run);
        }
        if COPY_TAGS.contains(&frame.tag()) {
            return Ok(Next::More);
        }
        match decode(frame)? {
            Message::Query(query) => {
                let shape = shapes.get(&query.query);
                self.check(&shape, &query.query);
                self.push(Kind::Query, Some(shape), frame.bytes());
                return Ok(Next::Run);
            }
            Message::Sync(_) => return Ok(Next::Run),
            Message::Flush(_) => return Ok(Next::Flush),
            Message::Terminate(_) => return Ok(Next::Terminate),
            Message::Parse(parse) => self.parse(&parse, statements, shapes),
            Message::Bind(bind) => self.bind(bind, statements),
            Message::Describe(describe) => self.describe(describe, frame, statements),
            Message::Execute(execute) => {
                let shape = self.portals.get(&execute.name.unwrap_or_default()).cloned();
                self.push(Kind::Execute, shape, frame.bytes());
            }
            Message::Close(close) => self.close(close, frame),
            _ => return Err(WireError::Unexpected),
        }
        Ok(Next::More)
    }

    fn parse(&mut self, parse: &Parse, statements: &Statements, shapes: &Shapes) {
        let name = parse.name.clone().unwrap_or_default();
        if !name.is_empty() && self.find(&name, statements).is_some() {
            let text = format!("prepared statement \"{name}\" already exists: not run");
            return self.fail(Problem::Name(problem("42P05", &text)));
        }
        if statements.len() + self.defined.len() >= MAX_STATEMENTS {
            let text = "too many prepared statements: not run";
            return self.fail(Problem::Name(problem("54000", text)));
        }
        let statement = Arc::new(Statement::new(parse, shapes));
        self.check(&statement.shape, &parse.query);
        self.push(Kind::Parse, Some(Arc::clone(&statement.shape)), &statement.unnamed);
        if let Some(item) = self.items.last_mut() {
            item.effect = Some(Effect::Define(name.clone(), Arc::clone(&statement)));
        }
        self.unnamed = Some(statement.name.clone());
        self.defined.insert(name, Some(statement));
    }

    fn bind(&mut self, mut bind: Bind, statements: &Statements) {
        let name = bind.statement_name.take().unwrap_or_default();
        let Some(statement) = self.require(&name, statements) else { return };
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, Arc::clone(&statement.shape));
        bind.statement_name = self.backend_name(&name, &statement);
        self.push(Kind::Bind, Some(Arc::clone(&statement.shape)), &wire::encode(&bind));
    }

    fn describe(&mut self, mut describe: Describe, frame: &Frame, statements: &Statements) {
        let name = describe.name.take().unwrap_or_default();
        if describe.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let shape = self.portals.get(&name).cloned();
            return self.push(Kind::DescribePortal, shape, frame.bytes());
        }
        let Some(statement) = self.require(&name, statements) else { return };
        describe.name = self.backend_name(&name, &statement);
        let shape = Some(Arc::clone(&statement.shape));
        self.push(Kind::DescribeStatement, shape, &wire::encode(&describe));
    }

    fn close(&mut self, close: Close, frame: &Frame) {
        let name = close.name.unwrap_or_default();
        if close.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let shape = self.portals.remove(&name);
            return self.push(Kind::ClosePortal, shape, frame.bytes());
        }
        self.push(Kind::CloseStatement, None, &Bytes::new());
        if let Some(item) = self.items.last_mut() {
            item.effect = Some(Effect::Remove(name.clone()));
        }
        self.defined.insert(name, None);
    }

    fn push(&mut self, kind: Kind, shape: Option<Arc<Shape>>, message: &Bytes) {
        if shape.as_ref().is_some_and(|shape| shape.class == Class::Unsupported) {
            self.fail(Problem::Refused(Refusal::Unsupported));
        }
        if shape.as_ref().is_none_or(|shape| shape.command.is_none()) {
            self.messages.extend_from_slice(message);
        }
        self.items.push(Item { kind, shown: true, effect: None, shape });
    }

    fn check(&mut self, shape: &Shape, sql: &str) {
        if shape.class == Class::Unsupported {
            self.fail(Problem::Unsupported(sql.chars().take(MAX_EXCERPT).collect()));
        }
    }

    fn fail(&mut self, problem: Problem) {
        self.problem.get_or_insert(problem);
    }

    fn find(&self, name: &str, statements: &Statements) -> Option<Arc<Statement>> {
        let defined = self.defined.get(name).cloned();
        defined.unwrap_or_else(|| statements.get(name).cloned())
    }

    fn require(&mut self, name: &str, statements: &Statements) -> Option<Arc<Statement>> {
        let found = self.find(name, statements);
        if found.is_none() {
            let text = format!("prepared statement \"{name}\" does not exist: not run");
            self.fail(Problem::Name(problem("26000", &text)));
        }
        found
    }

    /// Makes sure that the statement is there when the next message runs, and
    /// returns its name on the backend connection.
    fn backend_name(&mut self, name: &str, statement: &Statement) -> Option<String> {
        if statement.shape.command.is_some() {
            return None;
        }
        let fresh = self.defined.contains_key(name);
        if !fresh && !name.is_empty() {
            if !self.prepares.iter().any(|prepare| prepare.name == statement.name) {
                self.prepares.push(statement.prepare());
            }
            return Some(statement.name.clone());
        }
        if self.unnamed.as_ref() != Some(&statement.name) {
            self.messages.extend_from_slice(&statement.unnamed);
            let shape = Some(Arc::clone(&statement.shape));
            self.items.push(Item { kind: Kind::Parse, shown: false, effect: None, shape });
            self.unnamed = Some(statement.name.clone());
        }
        None
    }

    /// Tells whether the batch holds commands that the entry answers.
    pub(crate) fn has_commands(&self) -> bool {
        self.shapes().any(|shape| shape.command.is_some())
    }

    /// Tells whether anything is to be sent to a backend server.
    pub(crate) fn is_remote(&self) -> bool {
        !self.messages.is_empty()
    }

    fn shapes(&self) -> impl Iterator<Item = &Arc<Shape>> {
        self.items.iter().filter_map(|item| item.shape.as_ref())
    }

    /// Returns the shapes of what is executed; none where it is unknown.
    fn executed(&self) -> impl Iterator<Item = Option<&Arc<Shape>>> {
        self.items.iter().filter(|item| item.runs()).map(|item| item.shape.as_ref())
    }

    /// Returns the control statement that the batch is about, if it executes
    /// that statement once and nothing else.
    pub(crate) fn control(&self) -> Option<Control> {
        let mut executed = self.executed();
        let control = executed.next()??.control;
        let alone = executed.next().is_none() && self.shapes().all(|s| s.control == control);
        control.filter(|_| alone)
    }

    /// Returns the class of what is executed.
    pub(crate) fn class(&self) -> Class {
        let class = |shape: Option<&Arc<Shape>>| shape.map_or(Class::Write, |shape| shape.class);
        self.executed().map(class).max().unwrap_or(Class::Read)
    }

    /// Tells whether a portal is used, which ends with the transaction.
    pub(crate) fn uses_portals(&self) -> bool {
        let portal = |item: &Item| {
            !matches!(item.kind, Kind::Parse | Kind::DescribeStatement | Kind::CloseStatement)
        };
        self.items.iter().any(portal)
    }

    /// Tells whether the batch may commit a transaction.
    pub(crate) fn commits(&self) -> bool {
        self.executed().any(|shape| shape.is_none_or(|shape| shape.commits))
    }

    /// Tells whether the batch may leave a transaction open.
    pub(crate) fn opens(&self) -> bool {
        self.executed().flatten().any(|shape| shape.opens)
    }

    /// Tells whether the batch ends with a simple query.
    pub(crate) fn is_simple(&self) -> bool {
        self.items.last().is_some_and(|item| item.kind == Kind::Query)
    }
}

/// Encodes an error that belongs to no refusal.
fn problem(sqlstate: &str, text: &str) -> Bytes {
    wire::encode(&wire::error_response(sqlstate, text))
}

#[cfg(test)]
mod tests {
    use tokio_util::codec::Decoder;

    use super::*;
    use crate::wire::FrameCodec;

    /// Feeds bytes as a caller's messages and returns the batch gathered.
    fn gather(bytes: &[u8]) -> Gathered {
        let (statements, shapes) = (Statements::new(), Shapes::default());
        let mut gathered = Gathered::default();
        let mut input = BytesMut::from(bytes);
        let mut codec = FrameCodec::new(1 << 20);
        while let Ok(Some(frame)) = codec.decode(&mut input) {
            if gathered.add(&frame, &statements, &shapes).is_err() {
                break;
            }
        }
        gathered
    }

    #[test]
    fn any_messages_are_gathered_or_refused() {
        super::super::connection::quiet_decoders();
        bolero::check!().with_type::<Vec<(u8, Vec<u8>)>>().for_each(
            |messages: &Vec<(u8, Vec<u8>)>| {
                let mut bytes = Vec::new();
                for (tag, body) in messages {
                    bytes.push(*tag);
                    let length = u32::try_from(body.len() + 4).expect("a short body");
                    bytes.extend_from_slice(&length.to_be_bytes());
                    bytes.extend_from_slice(body);
                }
                gather(&bytes);
            },
        );
    }

    #[test]
    fn any_bytes_are_gathered_or_refused() {
        super::super::connection::quiet_decoders();
        bolero::check!().with_type::<Vec<u8>>().for_each(|bytes: &Vec<u8>| {
            gather(bytes);
        });
    }

    #[test]
    fn statements_are_parsed_in_place_and_prepared_once() {
        let parse = |name: &str, sql: &str| {
            wire::encode(&Parse::new(Some(name.to_owned()), sql.to_owned(), Vec::new()))
        };
        let bind = |name: &str| {
            let none = Vec::new;
            wire::encode(&Bind::new(None, Some(name.to_owned()), none(), Vec::new(), none()))
        };
        let batch = [parse("a", "SELECT 1"), parse("b", "SELECT 2"), bind("a"), bind("b")].concat();
        let gathered = gather(&batch);
        let kinds: Vec<_> = gathered.items.iter().map(|item| (item.kind, item.shown)).collect();
        let expected = [
            (Kind::Parse, true),
            (Kind::Parse, true),
            (Kind::Parse, false),
            (Kind::Bind, true),
            (Kind::Parse, false),
            (Kind::Bind, true),
        ];
        assert_eq!(kinds, expected);
        assert!(gathered.prepares.is_empty());
        assert!(gather(&bind("missing")).problem.is_some());
    }
}
