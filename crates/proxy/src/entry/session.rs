//! One caller's connection after its start-up.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use chicoryhollow_config::configuration::{Route, Versioned};
use chicoryhollow_core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use pgwire::messages::{
    response::{CommandComplete, ReadyForQuery, TransactionStatus},
    startup::ParameterStatus,
};
use tokio::sync::watch;

use super::{
    batch::{Gathered, Next},
    classify::Class,
    handshake::{Caller, SESSION_PARAMETER},
    route::{Target, primary, read_targets},
    statements::Statements,
};
use crate::{
    configuration,
    node::Node,
    stream::{Access, Batch, OpenRequest, Ready, Refused, Stream, StreamEvent},
    wire::{self, WireError},
};

/// One caller's connection.
pub(crate) struct Session {
    node: Arc<Node>,
    caller: Caller,
    statements: Statements,
    stream: Option<Stream>,
    gathered: Gathered,
    configurations: watch::Receiver<Arc<Versioned>>,
    ending: Option<Refusal>,
    reported: String,
    begun: bool,
}

impl Session {
    /// Makes the session of an accepted caller.
    pub(crate) fn new(node: &Arc<Node>, caller: Caller) -> Self {
        let mut configurations = node.configuration.subscribe();
        configurations.mark_changed();
        Session {
            node: Arc::clone(node),
            caller,
            statements: Statements::new(),
            stream: None,
            gathered: Gathered::default(),
            configurations,
            ending: None,
            reported: String::new(),
            begun: false,
        }
    }

    /// Serves the caller until either side ends the connection.
    pub(crate) async fn run(mut self) -> Result<(), WireError> {
        loop {
            // The configuration may also have changed during the start-up.
            if self.configurations.has_changed().unwrap_or(false) {
                self.ending = self.withdrawn();
            }
            if let Some(refusal) = self.due_ending() {
                self.node.metrics.refused(refusal);
                return self.send(&wire::refusal("FATAL", refusal, None)).await;
            }
            let node = Arc::clone(&self.node);
            let frame = tokio::select! {
                frame = self.caller.framed.next() => frame,
                changed = self.configurations.changed() => {
                    self.ending = changed.ok().and_then(|()| self.withdrawn());
                    continue;
                }
                () = node.drained(), if self.stream.is_none() => {
                    self.ending = Some(Refusal::Draining);
                    continue;
                }
            };
            let Some(frame) = frame else { return Ok(()) };
            match self.gathered.add(&frame?, &mut self.statements)? {
                Next::More => {}
                Next::Run => self.run_batch().await?,
                Next::Terminate => return Ok(()),
            }
        }
    }

    async fn run_batch(&mut self) -> Result<(), WireError> {
        let gathered = std::mem::take(&mut self.gathered);
        if let Some(token) = gathered.query.as_deref().and_then(token_setting) {
            return self.set_token(token).await;
        }
        self.begun = false;
        match self.answer(gathered).await {
            Ok(ready) => self.finish(ready).await,
            Err(Failed::Refused(refused)) => self.refuse(refused).await,
            Err(Failed::Caller(error)) => Err(error),
        }
    }

    /// Runs the batch and passes its answer on.
    async fn answer(&mut self, gathered: Gathered) -> Result<Ready, Failed> {
        let deadline =
            self.node.clock.now() + Duration::from_millis(self.node.settings.limits.request_ms);
        let class = gathered.class.unwrap_or(Class::Read);
        if class == Class::Unsupported {
            return Err(Failed::Refused(Refusal::Unsupported.into()));
        }
        let batch = Batch {
            prepares: gathered.prepares,
            messages: gathered.messages.freeze(),
            writes: class == Class::Write,
            deadline,
        };
        if let Some(mut stream) = self.stream.take() {
            let ready = self.exchange(&mut stream, &batch, &gathered.answers).await?;
            self.keep(stream, ready);
            return Ok(ready);
        }
        if configuration::is_stale(&self.node) {
            return Err(Refusal::NotReady.into());
        }
        self.node.shares.admit(&self.node, &self.caller.credentials.account, deadline).await?;
        let route = self.route().ok_or(Refusal::RouteUnknown)?;
        let mut last = Refused::from(Refusal::NoPrimary);
        for target in self.targets(&route, class) {
            match self.attempt(&route, target, &batch, &gathered.answers).await {
                Err(Failed::Refused(refused)) if !self.begun && is_retried(refused) => {
                    last = refused;
                }
                other => return other,
            }
        }
        Err(Failed::Refused(last))
    }

    fn targets(&self, route: &Route, class: Class) -> Vec<Target> {
        if class == Class::Write {
            return primary(&self.node.groups.view(&route.group), Access::Write);
        }
        read_targets(&self.node, route, self.caller.token.as_ref())
    }

    async fn attempt(
        &mut self,
        route: &Route,
        target: Target,
        batch: &Batch,
        answers: &BytesMut,
    ) -> Result<Ready, Failed> {
        let kind = if target.access == Access::Read { "replica" } else { "primary" };
        let request = OpenRequest {
            group: route.group.clone(),
            server: target.server,
            account: self.caller.credentials.account.clone(),
            access: target.access,
            deadline: batch.deadline,
            needed: target.needed,
            max_age_ms: route.max_age_ms,
            patience_ms: target.patience,
        };
        let mut stream = Stream::open(&self.node, request).await?;
        let ready = self.exchange(&mut stream, batch, answers).await?;
        self.node.metrics.batches.with_label_values(&[kind]).inc();
        if !batch.writes {
            self.node.metrics.reads.with_label_values(&[kind]).inc();
        }
        if let Some(position) = ready.position {
            let token = self.caller.token.get_or_insert_default();
            token.observe(&route.group, position);
        }
        self.keep(stream, ready);
        Ok(ready)
    }

    /// Sends a batch and passes the answer on, up to its end.
    async fn exchange(
        &mut self,
        stream: &mut Stream,
        batch: &Batch,
        answers: &BytesMut,
    ) -> Result<Ready, Failed> {
        stream.send(batch.clone()).await?;
        loop {
            match stream.next().await? {
                StreamEvent::Answer(bytes) => {
                    self.begin(answers).await?;
                    self.caller.framed.feed(bytes).await?;
                }
                StreamEvent::Ready(ready) => {
                    self.begin(answers).await?;
                    return Ok(ready);
                }
            }
        }
    }

    async fn begin(&mut self, answers: &BytesMut) -> Result<(), WireError> {
        if !self.begun && !answers.is_empty() {
            self.caller.framed.feed(Bytes::copy_from_slice(answers)).await?;
        }
        self.begun = true;
        Ok(())
    }

    fn keep(&mut self, stream: Stream, ready: Ready) {
        if !ready.is_idle() {
            self.stream = Some(stream);
        }
    }

    async fn finish(&mut self, ready: Ready) -> Result<(), WireError> {
        if ready.is_idle() {
            self.report_token().await?;
        }
        let status = TransactionStatus::try_from(ready.status)?;
        self.send(&ReadyForQuery::new(status)).await
    }

    /// Tells the caller its token when it changed.
    async fn report_token(&mut self) -> Result<(), WireError> {
        let Some(token) = &self.caller.token else { return Ok(()) };
        let text = token.to_string();
        if text != self.reported {
            let status = ParameterStatus::new(SESSION_PARAMETER.to_owned(), text.clone());
            self.caller.framed.feed(wire::encode(&status)).await?;
            self.reported = text;
        }
        Ok(())
    }

    async fn refuse(&mut self, refused: Refused) -> Result<(), WireError> {
        self.node.metrics.refused(refused.refusal);
        self.stream = None;
        let error = wire::refusal("ERROR", refused.refusal, None);
        self.caller.framed.feed(wire::encode(&error)).await?;
        self.send(&ReadyForQuery::new(TransactionStatus::Idle)).await
    }

    async fn set_token(&mut self, text: &str) -> Result<(), WireError> {
        match text.parse() {
            Ok(token) => {
                self.caller.token.get_or_insert_default().merge(&token);
                let done = wire::encode(&CommandComplete::new("SET".to_owned()));
                self.caller.framed.feed(done).await?;
                self.finish(Ready { status: b'I', position: None }).await
            }
            Err(_) => self.refuse(Refusal::BadToken.into()).await,
        }
    }

    /// Returns why the caller may no longer be served, if so.
    fn withdrawn(&mut self) -> Option<Refusal> {
        let versioned = Arc::clone(&self.configurations.borrow_and_update());
        let configuration = &versioned.configuration;
        if let Err(refusal) = configuration.check_standing(&self.caller.credentials) {
            return Some(refusal);
        }
        let in_service = configuration.is_in_service(&self.node.settings.data_centre);
        (!in_service).then_some(Refusal::Draining)
    }

    /// Returns the refusal to end with now; a drain lets an open transaction
    /// finish first.
    fn due_ending(&self) -> Option<Refusal> {
        self.ending.filter(|refusal| *refusal != Refusal::Draining || self.stream.is_none())
    }

    fn route(&self) -> Option<Route> {
        self.node.configuration().configuration.routes.get(&self.caller.credentials.route).cloned()
    }

    async fn send(&mut self, message: &impl pgwire::messages::Message) -> Result<(), WireError> {
        self.caller.framed.send(wire::encode(message)).await
    }
}

/// Why a batch was not answered in full.
enum Failed {
    /// It was refused.
    Refused(Refused),
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

fn is_retried(refused: Refused) -> bool {
    let row = refused.refusal.row();
    row.outcome == Outcome::NotRun
        && (row.retry == chicoryhollow_core::refusal::Retry::Within
            || refused.refusal == Refusal::ReadInterrupted)
}

/// Returns the token of `SET chicoryhollow.session = 'TOKEN'`.
fn token_setting(sql: &str) -> Option<&str> {
    let rest = sql.trim().trim_end_matches(';').strip_prefix("SET ")?;
    let rest = rest.trim_start().strip_prefix(SESSION_PARAMETER)?.trim_start();
    let rest = rest.strip_prefix('=').or_else(|| rest.strip_prefix("TO "))?;
    rest.trim().strip_prefix('\'')?.strip_suffix('\'')
}
