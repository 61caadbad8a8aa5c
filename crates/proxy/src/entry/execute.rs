//! What becomes of one batch, by the state of the caller's transaction.

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::prelude::*;
use pgwire::messages::extendedquery::Sync;

use super::{
    batch::{Effect, Gathered, Item, Problem},
    classify::Control,
    command::Command,
    local::Reply,
    session::{Begin, Session, Transaction},
};
use crate::{
    stream::Refused,
    wire::{self, WireError},
};

/// SQLSTATE of statements in a transaction that was aborted.
const IN_FAILED_TRANSACTION: &str = "25P02";

/// What to do with a batch.
enum Step {
    /// Answer it here.
    Commands,
    /// Answer a control statement here and go on in this state.
    Control(Reply, Transaction),
    /// Run it on the server of the open transaction.
    Continue,
    /// Run it on a server, after the opening of the transaction.
    Start(Option<Begin>),
    /// Answer with an error.
    Fail(Bytes),
    /// Refuse it.
    Refuse(Refusal),
    /// Refuse it as something that pooled connections do not support.
    RefuseUnsupported(String),
}

/// Why a batch was not answered in full.
pub(super) enum Failed {
    /// It was refused.
    Refused(Refused),
    /// Pooled connections do not support this, which names it.
    Unsupported(String),
    /// It was answered with an error.
    Error(Bytes),
    /// The caller's connection failed.
    Caller(WireError),
}

impl From<Refused> for Failed {
    fn from(refused: Refused) -> Self {
        Failed::Refused(refused)
    }
}

impl From<Refusal> for Failed {
    fn from(refusal: Refusal) -> Self {
        Failed::Refused(refusal.into())
    }
}

impl From<WireError> for Failed {
    fn from(error: WireError) -> Self {
        Failed::Caller(error)
    }
}

impl Session {
    /// Answers a batch that ends with `Sync` or `Query`.
    pub(super) async fn run_batch(&mut self, gathered: Gathered) -> Result<(), WireError> {
        if std::mem::take(&mut self.skipping) {
            return self.ready().await;
        }
        if let Err(failed) = self.answer(&gathered, false).await {
            self.fail(failed, &gathered)?;
        }
        self.ready().await
    }

    /// Answers a batch that ends with `Flush`.
    ///
    /// The server gets a `Sync` in its place. That changes nothing inside of a
    /// transaction, nor for messages without a portal. Elsewhere it would
    /// commit too early, so it is refused unless the `Sync` follows.
    pub(super) async fn flush_batch(&mut self, gathered: Gathered) -> Result<(), WireError> {
        let splits = matches!(self.transaction, Transaction::Idle) && gathered.uses_portals();
        let answered = match splits {
            true => Err(Failed::Unsupported(
                "Flush of an execution outside of a transaction, without a Sync".to_owned(),
            )),
            false => self.answer(&gathered, true).await,
        };
        match answered {
            Ok(failed) => self.skipping = failed,
            Err(failed) => {
                self.skipping = true;
                self.fail(failed, &gathered)?;
            }
        }
        self.caller.connection.flush().await
    }

    /// Answers a batch; returns whether the server answered with an error.
    async fn answer(&mut self, gathered: &Gathered, watched: bool) -> Result<bool, Failed> {
        match self.next_step(gathered) {
            Step::Refuse(refusal) => Err(refusal.into()),
            Step::RefuseUnsupported(text) => Err(Failed::Unsupported(text)),
            Step::Fail(error) => Err(Failed::Error(error)),
            Step::Commands => self.run_commands(&gathered.items).map(|()| false),
            Step::Control(reply, next) => {
                self.reply(&gathered.items, &reply);
                self.transaction = next;
                Ok(false)
            }
            Step::Continue => self.run_open(gathered, watched).await,
            Step::Start(begin) => self.run_fresh(gathered, begin, watched).await,
        }
    }

    fn next_step(&self, gathered: &Gathered) -> Step {
        match &gathered.problem {
            Some(Problem::Refused(refusal)) => return Step::Refuse(*refusal),
            Some(Problem::Unsupported(text)) => return Step::RefuseUnsupported(text.clone()),
            Some(Problem::Name(error)) => return Step::Fail(error.clone()),
            None if !gathered.is_remote() => return Step::Commands,
            None if gathered.has_commands() => return Step::Refuse(Refusal::Unsupported),
            None => {}
        }
        let control = gathered.control();
        match (&self.transaction, control) {
            (Transaction::Aborted, Some(Control::Commit | Control::Rollback)) => {
                Step::Control(Reply::Tag("ROLLBACK"), Transaction::Idle)
            }
            (Transaction::Aborted, _) => Step::Fail(aborted()),
            (Transaction::Open(_), _) => Step::Continue,
            (Transaction::Idle | Transaction::Begun(_), Some(Control::Commit)) => {
                Step::Control(Reply::Tag("COMMIT"), Transaction::Idle)
            }
            (Transaction::Idle | Transaction::Begun(_), Some(Control::Rollback)) => {
                Step::Control(Reply::Tag("ROLLBACK"), Transaction::Idle)
            }
            (Transaction::Idle, Some(Control::Begin { read_only })) => {
                let messages = begin_messages(gathered);
                let begin = Begin { prepares: gathered.prepares.clone(), messages, read_only };
                Step::Control(Reply::Tag("BEGIN"), Transaction::Begun(begin))
            }
            (Transaction::Idle, _) => Step::Start(None),
            (Transaction::Begun(begin), _) => Step::Start(Some(begin.clone())),
        }
    }

    /// Answers every message of a batch about one statement without rows.
    fn reply(&mut self, items: &[Item], reply: &Reply) {
        let mut output = BytesMut::new();
        let mut effects = Vec::new();
        for item in items.iter().filter(|item| item.shown) {
            reply.encode(item.kind, &mut output);
            effects.extend(item.effect.clone());
        }
        self.caller.connection.queue(&output);
        self.apply(effects);
    }

    fn run_commands(&mut self, items: &[Item]) -> Result<(), Failed> {
        let mut output = BytesMut::new();
        let mut effects: Vec<Effect> = Vec::new();
        for item in items {
            let command = item.shape.as_ref().and_then(|shape| shape.command.as_ref());
            let reply = match command {
                Some(command) if item.runs() => self.run_command(command)?,
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

    /// Tells the caller why its batch was not answered, and ends its
    /// transaction as PostgreSQL does after an error.
    fn fail(&mut self, failed: Failed, gathered: &Gathered) -> Result<(), WireError> {
        let error = match failed {
            Failed::Caller(error) => return Err(error),
            Failed::Error(error) => error,
            Failed::Unsupported(text) => {
                self.node.metrics.record_refusal(Refusal::Unsupported);
                wire::encode(&wire::refusal_error("ERROR", Refusal::Unsupported, Some(&text)))
            }
            Failed::Refused(refused) => {
                self.node.metrics.record_refusal(refused.refusal);
                wire::encode(&wire::refusal_error("ERROR", refused.refusal, None))
            }
        };
        self.caller.connection.queue(&error);
        let ends = gathered.commits() && !gathered.opens();
        match &self.transaction {
            Transaction::Begun(_) if ends => self.transaction = Transaction::Idle,
            Transaction::Begun(_) | Transaction::Open(_) => self.transaction = Transaction::Aborted,
            // A caller that goes on without waiting for the answer must not run
            // outside of the transaction that it meant to open.
            Transaction::Idle if gathered.opens() => self.transaction = Transaction::Aborted,
            Transaction::Idle | Transaction::Aborted => {}
        }
        Ok(())
    }
}

fn aborted() -> Bytes {
    let text = "current transaction is aborted, commands are ignored until its end: not run";
    wire::encode(&wire::error_response(IN_FAILED_TRANSACTION, text))
}

/// Returns the messages that open the transaction on a server.
fn begin_messages(gathered: &Gathered) -> Bytes {
    let mut messages = BytesMut::from(&gathered.messages[..]);
    if !gathered.is_simple() {
        messages.extend_from_slice(&wire::encode(&Sync::new()));
    }
    messages.freeze()
}
