//! Gathering a caller's messages into batches.

use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{CloseComplete, ParseComplete},
};

use super::{
    classify::{Class, classify},
    statements::{Statement, Statements},
};
use crate::{
    stream::Prepare,
    wire::{self, Frame, WireError},
};

/// Messages up to a `Sync` or `Query`.
#[derive(Default)]
pub(crate) struct Gathered {
    /// Messages for the backend server.
    pub(crate) messages: BytesMut,
    /// Statements that they need.
    pub(crate) prepares: Vec<Prepare>,
    /// Answers that the entry gives itself, in front of the server's.
    pub(crate) answers: BytesMut,
    /// What the batch does.
    pub(crate) class: Option<Class>,
    /// SQL of a simple query.
    pub(crate) query: Option<String>,
}

/// What to do after a message was added.
pub(crate) enum Next {
    /// Wait for more messages.
    More,
    /// Run the batch.
    Run,
    /// End the connection in good order.
    Terminate,
}

impl Gathered {
    /// Adds a message of the caller.
    pub(crate) fn add(
        &mut self,
        frame: &Frame,
        statements: &mut Statements,
    ) -> Result<Next, WireError> {
        match frame.frontend()? {
            PgWireFrontendMessage::Query(query) => {
                self.join(classify(&query.query));
                self.query = Some(query.query);
                self.messages.extend_from_slice(frame.bytes());
                return Ok(Next::Run);
            }
            PgWireFrontendMessage::Sync(_) => {
                self.messages.extend_from_slice(frame.bytes());
                return Ok(Next::Run);
            }
            PgWireFrontendMessage::Terminate(_) => return Ok(Next::Terminate),
            PgWireFrontendMessage::Parse(parse) => {
                let statement = Statement::new(&parse);
                self.prepares.push(statement.prepare());
                self.join(statement.class);
                statements.insert(parse.name.unwrap_or_default(), statement);
                self.answers.extend_from_slice(&wire::encode(&ParseComplete::new()));
            }
            PgWireFrontendMessage::Bind(mut bind) => {
                let name = bind.statement_name.take().unwrap_or_default();
                bind.statement_name = self.require(&name, statements);
                self.append(&wire::encode(&bind));
            }
            PgWireFrontendMessage::Describe(mut describe) if describe.target_type == b'S' => {
                let name = describe.name.take().unwrap_or_default();
                describe.name = self.require(&name, statements);
                self.append(&wire::encode(&describe));
            }
            PgWireFrontendMessage::Close(close) if close.target_type == b'S' => {
                statements.remove(&close.name.unwrap_or_default());
                self.answers.extend_from_slice(&wire::encode(&CloseComplete::new()));
            }
            _ => self.messages.extend_from_slice(frame.bytes()),
        }
        Ok(Next::More)
    }

    fn append(&mut self, bytes: &Bytes) {
        self.messages.extend_from_slice(bytes);
    }

    fn join(&mut self, class: Class) {
        self.class = self.class.max(Some(class));
    }

    /// Makes sure that the statement is prepared; returns its backend name.
    fn require(&mut self, name: &str, statements: &Statements) -> Option<String> {
        let statement: &Statement = statements.get(name)?;
        self.join(statement.class);
        if !self.prepares.iter().any(|prepare| prepare.name == statement.name) {
            self.prepares.push(statement.prepare());
        }
        Some(statement.name.clone())
    }
}
