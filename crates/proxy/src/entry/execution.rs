//! Execution of one batch, depending on the state of the caller's transaction.
//!
//! A `BEGIN` is answered here. The transaction is opened on a server only together
//! with the next batch that needs one.

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::prelude::*;
use pgwire::messages::extendedquery::Sync;

use super::{
    analysis::TxControl,
    batch::{CallerBatch, Effect, Item, Problem},
    command::Command,
    reply::Reply,
    session::{PendingBegin, Session, Transaction},
};
use crate::{
    stream::Refused,
    wire::{self, WireError},
};

/// SQLSTATE of a statement in an aborted transaction.
const IN_FAILED_TRANSACTION: &str = "25P02";

/// What to do with a batch.
enum Step {
    /// Answer its commands without a backend server.
    Commands,
    /// Answer a transaction control statement without a backend server, and
    /// change to this state.
    Control(Reply, Transaction),
    /// Run it on the server of the open transaction.
    Continue,
    /// Choose a server, open the transaction there if there is one, and run the
    /// batch.
    Start(Option<PendingBegin>),
    /// Answer with this encoded error.
    Fail(Bytes),
    /// Refuse it.
    Refuse(Refusal),
    /// Refuse the named feature or quoted statement as unsupported.
    RefuseUnsupported(String),
}

/// Why a batch was not answered in full.
pub(super) enum BatchError {
    /// The proxy or the home of the server refused the batch.
    Refused(Refused),
    /// Pooled connections do not support the named feature or quoted statement.
    Unsupported(String),
    /// The proxy answers with this encoded error.
    Error(Bytes),
    /// The caller's connection failed.
    Caller(WireError),
}

impl From<Refused> for BatchError {
    fn from(refused: Refused) -> Self {
        BatchError::Refused(refused)
    }
}

impl From<Refusal> for BatchError {
    fn from(refusal: Refusal) -> Self {
        BatchError::Refused(refusal.into())
    }
}

impl From<WireError> for BatchError {
    fn from(error: WireError) -> Self {
        BatchError::Caller(error)
    }
}

impl Session {
    /// Answers a batch that ends with `Sync` or `Query`.
    pub(super) async fn run_batch(&mut self, caller_batch: CallerBatch) -> Result<(), WireError> {
        if std::mem::take(&mut self.is_skipping) {
            return self.send_ready().await;
        }
        if let Err(cause) = self.answer(&caller_batch, false).await {
            self.fail_batch(cause, &caller_batch)?;
        }
        self.send_ready().await
    }

    /// Answers a batch that ends with `Flush`.
    ///
    /// The server receives a `Sync` instead of the `Flush`. That makes no
    /// difference in a transaction, nor for messages without a portal. In other
    /// cases the server would commit before the caller sends its own `Sync`. Such
    /// a batch is refused, unless the caller's `Sync` arrives shortly after the
    /// `Flush`; the batch then ends with that `Sync`.
    pub(super) async fn flush_batch(&mut self, caller_batch: CallerBatch) -> Result<(), WireError> {
        let splits = matches!(self.transaction, Transaction::Idle) && caller_batch.uses_portals();
        let answered = match splits {
            true => Err(BatchError::Unsupported(
                "Flush of an execution outside of a transaction, without a Sync".to_owned(),
            )),
            false => self.answer(&caller_batch, true).await,
        };
        match answered {
            Ok(failed) => self.is_skipping = failed,
            Err(cause) => {
                self.is_skipping = true;
                self.fail_batch(cause, &caller_batch)?;
            }
        }
        self.caller.connection.flush().await
    }

    /// Answers a batch; returns whether the server answered with an error.
    async fn answer(
        &mut self,
        caller_batch: &CallerBatch,
        track_errors: bool,
    ) -> Result<bool, BatchError> {
        match self.next_step(caller_batch) {
            Step::Refuse(refusal) => Err(refusal.into()),
            Step::RefuseUnsupported(text) => Err(BatchError::Unsupported(text)),
            Step::Fail(error) => Err(BatchError::Error(error)),
            Step::Commands => self.run_commands(&caller_batch.items).map(|()| false),
            Step::Control(reply, next) => {
                self.reply(&caller_batch.items, &reply);
                self.transaction = next;
                Ok(false)
            }
            Step::Continue => self.run_in_transaction(caller_batch, track_errors).await,
            Step::Start(begin) => self.run_routed(caller_batch, begin, track_errors).await,
        }
    }

    fn next_step(&self, caller_batch: &CallerBatch) -> Step {
        match &caller_batch.problem {
            Some(Problem::Refused(refusal)) => return Step::Refuse(*refusal),
            Some(Problem::Unsupported(text)) => return Step::RefuseUnsupported(text.clone()),
            Some(Problem::Name(error)) => return Step::Fail(error.clone()),
            None if !caller_batch.needs_server() => return Step::Commands,
            None if caller_batch.has_commands() => return Step::Refuse(Refusal::Unsupported),
            None => {}
        }
        let control = caller_batch.control();
        match (&self.transaction, control) {
            (Transaction::Aborted, Some(TxControl::Commit | TxControl::Rollback)) => {
                Step::Control(Reply::Tag("ROLLBACK"), Transaction::Idle)
            }
            (Transaction::Aborted, _) => Step::Fail(aborted_error()),
            (Transaction::Open(_), _) => Step::Continue,
            (Transaction::Idle | Transaction::Begun(_), Some(TxControl::Commit)) => {
                Step::Control(Reply::Tag("COMMIT"), Transaction::Idle)
            }
            (Transaction::Idle | Transaction::Begun(_), Some(TxControl::Rollback)) => {
                Step::Control(Reply::Tag("ROLLBACK"), Transaction::Idle)
            }
            (Transaction::Idle, Some(TxControl::Begin { read_only })) => {
                let messages = begin_messages(caller_batch);
                let begin =
                    PendingBegin { prepares: caller_batch.prepares.clone(), messages, read_only };
                Step::Control(Reply::Tag("BEGIN"), Transaction::Begun(begin))
            }
            (Transaction::Idle, _) => Step::Start(None),
            (Transaction::Begun(begin), _) => Step::Start(Some(begin.clone())),
        }
    }

    /// Answers every message of a batch that runs one statement without rows.
    fn reply(&mut self, items: &[Item], reply: &Reply) {
        let mut output = BytesMut::new();
        let mut effects = Vec::new();
        for item in items.iter().filter(|item| item.from_caller) {
            reply.encode(item.kind, &mut output);
            effects.extend(item.effect.clone());
        }
        self.caller.connection.queue(&output);
        self.apply(effects);
    }

    fn run_commands(&mut self, items: &[Item]) -> Result<(), BatchError> {
        let mut output = BytesMut::new();
        let mut effects: Vec<Effect> = Vec::new();
        for item in items {
            let command = item.analysis.as_ref().and_then(|analysis| analysis.command.as_ref());
            let reply = match command {
                Some(command) if item.executes() => self.run_command(command)?,
                Some(Command::ShowSession) => Reply::Session(String::new()),
                _ => Reply::Tag(""),
            };
            reply.encode(item.kind, &mut output);
            effects.extend(item.effect.clone());
        }
        self.caller.connection.queue(&output);
        self.apply(effects);
        Ok(())
    }

    fn run_command(&mut self, command: &Command) -> Result<Reply, Refusal> {
        match command {
            Command::Accept(tag) => return Ok(Reply::Tag(tag)),
            Command::SetSession(text) => {
                let token: SessionToken = text.parse().map_err(|_| Refusal::BadToken)?;
                self.caller.token.get_or_insert_default().merge(&token);
            }
            Command::ShowSession => {
                let token = self.caller.token.as_ref();
                return Ok(Reply::Session(token.map(ToString::to_string).unwrap_or_default()));
            }
            Command::SetTimeout(limit) => self.caller.timeout = *limit,
            Command::Deallocate(name) => {
                match name {
                    Some(name) => drop(self.statements.remove(name)),
                    None => self.statements.clear(),
                }
                return Ok(Reply::Tag(if name.is_some() {
                    "DEALLOCATE"
                } else {
                    "DEALLOCATE ALL"
                }));
            }
            Command::DiscardAll => {
                self.statements.clear();
                self.caller.timeout = None;
                return Ok(Reply::Tag("DISCARD ALL"));
            }
        }
        Ok(Reply::Tag("SET"))
    }

    /// Sends the caller the error that ended its batch, and aborts its
    /// transaction as PostgreSQL does after an error.
    fn fail_batch(
        &mut self,
        cause: BatchError,
        caller_batch: &CallerBatch,
    ) -> Result<(), WireError> {
        let error = match cause {
            BatchError::Caller(error) => return Err(error),
            BatchError::Error(error) => error,
            BatchError::Unsupported(text) => {
                self.node.metrics.record_refusal(Refusal::Unsupported);
                wire::encode(&wire::refusal_error("ERROR", Refusal::Unsupported, Some(&text)))
            }
            BatchError::Refused(refused) => {
                self.node.metrics.record_refusal(refused.refusal);
                wire::encode(&wire::refusal_error("ERROR", refused.refusal, None))
            }
        };
        self.caller.connection.queue(&error);
        let ends = caller_batch.commits() && !caller_batch.opens();
        match &self.transaction {
            Transaction::Begun(_) if ends => self.transaction = Transaction::Idle,
            Transaction::Begun(_) | Transaction::Open(_) => self.transaction = Transaction::Aborted,
            // A caller may send more statements before it receives the error.
            // They must not run outside of the transaction that it tried to
            // open.
            Transaction::Idle if caller_batch.opens() => self.transaction = Transaction::Aborted,
            Transaction::Idle | Transaction::Aborted => {}
        }
        Ok(())
    }
}

fn aborted_error() -> Bytes {
    let text = "current transaction is aborted, commands are ignored until its end: not run";
    wire::encode(&wire::error_response(IN_FAILED_TRANSACTION, text))
}

/// Returns the messages that open the transaction on a server.
fn begin_messages(caller_batch: &CallerBatch) -> Bytes {
    let mut messages = BytesMut::from(&caller_batch.messages[..]);
    if !caller_batch.is_simple() {
        messages.extend_from_slice(&wire::encode(&Sync::new()));
    }
    messages.freeze()
}
