//! Running a batch on a server, and on another one when that failed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chicoryhollow_config::configuration::{Route, Service};
use chicoryhollow_core::{
    prelude::*,
    retry::{Action, Attempt, Backoff, next_action},
    route::{Candidate, Choice, Permit},
};
use pgwire::messages::extendedquery::Sync;
use tokio::time::timeout;

use super::{
    answer::Progress,
    batch::Gathered,
    classify::Class,
    execute::Failed,
    freshness::{FRESH_MS, Need},
    session::{Begin, Open, Session, Transaction},
};
use crate::{
    configuration::is_stale,
    stream::{Access, Batch, OpenRequest, Ready, Stream, StreamEvent},
    wire::{self, WireError},
};

/// Bytes of an answer that are held back before the first is passed on. As
/// long as none was, a broken answer can be replaced by a whole one.
const HELD_BYTES: usize = 16 << 10;

/// Time that the primary has to reach a position, in milliseconds.
const PRIMARY_PATIENCE_MS: u64 = 20;

/// One batch on its way to a server.
pub(super) struct Job<'a> {
    /// The batch.
    pub(super) gathered: &'a Gathered,
    /// The transaction that it begins.
    pub(super) begin: Option<Begin>,
    /// Route of the caller.
    pub(super) route: Route,
    /// Time at which it must be over.
    pub(super) deadline: Time,
    /// Whether to note that the server answers with an error.
    pub(super) watched: bool,
}

/// A server to run on.
struct Target {
    server: ServerId,
    access: Access,
    needed: Option<Position>,
    patience: Duration,
    /// Time until which the batch may begin.
    until: Time,
    /// Whether the time of the answer tells how quick the server is.
    timed: bool,
    /// Whether the server is to blame when it is not fresh enough.
    blamed: bool,
}

/// Why an attempt failed, and whether part of an answer was passed on.
struct Broken {
    failed: Failed,
    passed: bool,
}

impl<T: Into<Failed>> From<T> for Broken {
    fn from(failed: T) -> Self {
        Broken { failed: failed.into(), passed: false }
    }
}

impl Session {
    /// Runs a batch on the server of the open transaction.
    pub(super) async fn run_open(
        &mut self,
        gathered: &Gathered,
        watched: bool,
    ) -> Result<bool, Failed> {
        let open = std::mem::replace(&mut self.transaction, Transaction::Aborted);
        let Transaction::Open(mut open) = open else {
            return Err(Refusal::TransactionEnded.into());
        };
        let writes = gathered.class() != Class::Read && !open.read_only;
        let batch = batch(gathered, writes, self.deadline());
        match self.exchange(&mut open.stream, batch, gathered, watched).await {
            Ok((ready, failed)) => {
                let group = self.route().map(|route| route.group);
                if let (Ok(group), Some(position)) = (group, ready.position) {
                    self.caller.token.get_or_insert_default().observe(&group, position);
                }
                self.keep(open.stream, ready, open.read_only);
                Ok(failed)
            }
            Err(broken) => {
                if gathered.commits() && !gathered.opens() {
                    self.transaction = Transaction::Idle;
                }
                Err(settle(broken.failed, gathered, Refusal::TransactionEnded))
            }
        }
    }

    /// Runs a batch outside of a transaction, or the first one of it.
    pub(super) async fn run_fresh(
        &mut self,
        gathered: &Gathered,
        begin: Option<Begin>,
        watched: bool,
    ) -> Result<bool, Failed> {
        let node = Arc::clone(&self.node);
        if is_stale(&node) {
            return Err(Refusal::NotReady.into());
        }
        let route = self.route()?;
        let deadline = self.deadline();
        node.shares.admit(&node, &self.caller.credentials.account, deadline).await?;
        node.entry.with_budget(|budget| budget.record_request());
        let reads = match &begin {
            Some(begin) => begin.read_only,
            None => gathered.class() == Class::Read,
        };
        let job = Job { gathered, begin, route, deadline, watched };
        if reads {
            return self.read(&job).await;
        }
        if job.begin.is_some() && self.caller.token.is_none() {
            self.learn_past(&job).await?;
        }
        self.write(&job).await
    }

    fn deadline(&self) -> Time {
        let limit = Duration::from_millis(self.node.settings.limits.request_ms);
        self.node.clock.now() + self.caller.timeout.map_or(limit, |timeout| timeout.min(limit))
    }

    async fn read(&mut self, job: &Job<'_>) -> Result<bool, Failed> {
        let node = Arc::clone(&self.node);
        let mut views = node.groups.follow(&job.route.group);
        let mut backoff = Backoff::new();
        let fresh = node.clock.now() + Duration::from_millis(FRESH_MS);
        let mut last = Refusal::NoPrimary;
        let mut tried = false;
        loop {
            let need = self.need(job).await?;
            let view = Arc::clone(&views.borrow_and_update());
            for choice in self.choices(job, &view, need.position) {
                let now = node.clock.now();
                let group = &job.route.group;
                let permit = node.entry.with_estimates(group, |e| e.permit(&choice.server, now));
                if permit != Permit::Send {
                    continue;
                }
                if tried && need.verified && !self.may_retry(last) {
                    return Err(last.into());
                }
                tried = true;
                match self.attempt(job, target_of(choice, &need)).await {
                    Ok(failed) => return Ok(failed),
                    Err(broken) => last = decide(broken, job, Attempt::Read)?,
                }
                self.route()?;
            }
            let end =
                if last == Refusal::TooStale { fresh.min(job.deadline) } else { job.deadline };
            let left = end.since(node.clock.now());
            if left.is_zero() {
                return Err(last.into());
            }
            let pause = backoff.pause(&mut rand::rng()).min(left);
            // Either way it is time to look again.
            drop(timeout(pause, views.changed()).await);
        }
    }

    async fn write(&mut self, job: &Job<'_>) -> Result<bool, Failed> {
        let node = Arc::clone(&self.node);
        let group = &job.route.group;
        let mut views = node.groups.follow(group);
        let mut backoff = Backoff::new();
        let mut last = Refusal::NoPrimary;
        let mut tried = false;
        let repeatable = job.route.idempotent && job.begin.is_none() && !job.gathered.opens();
        let kind = if repeatable { Attempt::Idempotent } else { Attempt::Write };
        loop {
            let view = Arc::clone(&views.borrow_and_update());
            let mut pause = backoff.pause(&mut rand::rng());
            let now = node.clock.now();
            if let Some(server) = self.known_primary(&view) {
                let permit = node.entry.with_estimates(group, |estimates| {
                    estimates.apply_view(&view);
                    estimates.permit(&server, now)
                });
                match permit {
                    Permit::Wait(until) => pause = until.since(now),
                    Permit::Send => {
                        if tried && !self.may_retry(last) {
                            return Err(last.into());
                        }
                        tried = true;
                        match self.attempt(job, primary_target(server, job.deadline)).await {
                            Ok(failed) => return Ok(failed),
                            Err(broken) => last = decide(broken, job, kind)?,
                        }
                    }
                }
            }
            let left = job.deadline.since(node.clock.now());
            if left.is_zero() {
                return Err(last.into());
            }
            // Either way it is time to look again.
            drop(timeout(pause.min(left), views.changed()).await);
            self.route()?;
        }
    }

    /// Returns the primary, unless the session has seen a later term.
    fn known_primary(&self, view: &GroupView) -> Option<ServerId> {
        let seen = self.caller.token.as_ref().and_then(|token| token.position(&view.group));
        let current = seen.is_none_or(|seen| seen.term() <= view.term);
        view.primary.clone().filter(|_| current)
    }

    /// Takes a retry from the budget and counts it.
    fn may_retry(&self, reason: Refusal) -> bool {
        let allowed = self.node.entry.with_budget(|budget| budget.try_take());
        if allowed {
            self.node.metrics.retries.with_label_values(&[reason.row().label]).inc();
        }
        allowed
    }

    /// Returns the servers to try for a read, best first.
    fn choices(&self, job: &Job<'_>, view: &GroupView, needed: Option<Position>) -> Vec<Choice> {
        let versioned = self.node.configuration();
        let configuration = &versioned.configuration;
        let Some(group) = configuration.groups.get(&job.route.group) else { return Vec::new() };
        let is_in = |data_centre: &DataCentreId| {
            let found = configuration.data_centres.get(data_centre);
            found.is_none_or(|found| found.service == Service::In)
        };
        let candidates: Vec<_> = group
            .servers
            .iter()
            .filter(|(name, server)| {
                // The primary may be out of service until another one is.
                let primary = view.primary.as_ref() == Some(*name);
                primary || (server.service == Service::In && is_in(&server.data_centre))
            })
            .map(|(name, server)| Candidate {
                server: name.clone(),
                near: server.data_centre == self.node.settings.data_centre,
                // Servers are known by their answers alone.
                unreachable: false,
            })
            .collect();
        let now = self.node.clock.now();
        self.node.entry.with_estimates(&job.route.group, |estimates| {
            estimates.apply_view(view);
            estimates.choose(view, &candidates, needed, now, &mut rand::rng())
        })
    }

    async fn attempt(&mut self, job: &Job<'_>, target: Target) -> Result<bool, Broken> {
        let node = Arc::clone(&self.node);
        let group = &job.route.group;
        let sent = node.clock.now();
        let answered = self.run_on(job, &target).await;
        let now = node.clock.now();
        let replica = target.access == Access::Read;
        node.entry.with_estimates(group, |estimates| match &answered {
            Ok((_, ready, _)) => {
                let took = target.timed.then(|| now.since(sent));
                estimates.record_answer(&target.server, took);
                if let Some(position) = ready.position {
                    estimates.record_position(position, now);
                    if replica {
                        estimates.record_applied(&target.server, position, sent, now);
                    }
                }
            }
            Err(Broken { failed: Failed::Refused(refused), .. }) => {
                if let Some(applied) = refused.applied.filter(|_| replica) {
                    estimates.record_applied(&target.server, applied, now, now);
                }
                if refused.refusal == Refusal::TooStale && target.blamed {
                    estimates.record_miss(&target.server, now);
                } else if is_fault(refused.refusal) && now < job.deadline {
                    estimates.record_failure(&target.server, now);
                }
            }
            Err(_) => {}
        });
        let (stream, ready, failed) = answered?;
        let kind = if replica { "replica" } else { "primary" };
        node.metrics.batches.with_label_values(&[kind]).inc();
        if job.gathered.class() == Class::Read && job.begin.is_none() {
            node.metrics.reads.with_label_values(&[kind]).inc();
        }
        if let Some(position) = ready.position {
            self.caller.token.get_or_insert_default().observe(group, position);
        }
        let read_only = job.begin.as_ref().is_some_and(|begin| begin.read_only);
        self.keep(stream, ready, read_only);
        Ok(failed)
    }

    async fn run_on(
        &mut self,
        job: &Job<'_>,
        target: &Target,
    ) -> Result<(Stream, Ready, bool), Broken> {
        let node = Arc::clone(&self.node);
        let request = OpenRequest {
            group: job.route.group.clone(),
            server: target.server.clone(),
            account: self.caller.credentials.account.clone(),
            access: target.access,
            deadline: target.until,
            min_position: target.needed,
            max_age_ms: job.route.max_age_ms,
            max_wait_ms: u32::try_from(target.patience.as_millis()).unwrap_or(u32::MAX),
        };
        let mut stream = Stream::open(&node, request).await?;
        if let Some(begin) = &job.begin {
            open_transaction(&mut stream, begin, job.deadline).await?;
        }
        let read_only = job.begin.as_ref().is_some_and(|begin| begin.read_only);
        let writes = job.gathered.class() != Class::Read && !read_only;
        let batch = batch(job.gathered, writes, job.deadline);
        let answered = self.exchange(&mut stream, batch, job.gathered, job.watched).await;
        let (ready, failed) = answered?;
        Ok((stream, ready, failed))
    }

    /// Sends a batch and passes the answer on, up to its end.
    async fn exchange(
        &mut self,
        stream: &mut Stream,
        batch: Batch,
        gathered: &Gathered,
        watched: bool,
    ) -> Result<(Ready, bool), Broken> {
        let start = self.caller.connection.queued();
        let deadline = batch.deadline;
        let cancels = self.caller.ticket.notify();
        let mut cancelled = Box::pin(cancels.notified());
        cancelled.as_mut().enable();
        let mut progress = Progress::new(&gathered.items, watched);
        let mut passed = false;
        stream.send(batch).await?;
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = &mut cancelled => {
                    stream.interrupt().await;
                    cancelled.set(cancels.notified());
                    continue;
                }
            };
            match event {
                Ok(StreamEvent::Answer(bytes)) => {
                    self.caller.connection.queue(&progress.take(bytes)?);
                    if self.caller.connection.queued() > HELD_BYTES {
                        passed = true;
                        self.pass_on(deadline).await?;
                    }
                }
                Ok(StreamEvent::Ready(ready)) => {
                    self.caller.connection.queue(&progress.finish());
                    let failed = progress.has_failed();
                    self.apply(progress.into_effects());
                    return Ok((ready, failed));
                }
                Err(refused) => {
                    if !passed {
                        self.caller.connection.truncate(start);
                    }
                    return Err(Broken { failed: refused.into(), passed });
                }
            }
        }
    }

    /// Writes what is queued; a caller that does not take it in time is cut off.
    async fn pass_on(&mut self, deadline: Time) -> Result<(), WireError> {
        let left = deadline.since(self.node.clock.now());
        timeout(left, self.caller.connection.flush()).await.map_err(std::io::Error::from)?
    }

    fn keep(&mut self, stream: Stream, ready: Ready, read_only: bool) {
        self.transaction = match ready.is_idle() {
            true => Transaction::Idle,
            false => Transaction::Open(Box::new(Open { stream, status: ready.status, read_only })),
        };
    }
}

fn batch(gathered: &Gathered, writes: bool, deadline: Time) -> Batch {
    let mut messages = gathered.messages.clone();
    if !gathered.is_simple() {
        messages.extend_from_slice(&wire::encode(&Sync::new()));
    }
    let messages: Bytes = messages.freeze();
    Batch { prepares: gathered.prepares.clone(), messages, writes, deadline }
}

/// Opens the transaction on the server, without telling the caller.
async fn open_transaction(
    stream: &mut Stream,
    begin: &Begin,
    deadline: Time,
) -> Result<(), Broken> {
    let Begin { prepares, messages, .. } = begin.clone();
    stream.send(Batch { prepares, messages, writes: false, deadline }).await?;
    loop {
        if let StreamEvent::Ready(ready) = stream.next().await? {
            let open = !ready.is_idle();
            return if open { Ok(()) } else { Err(Refusal::ServerUnreachable.into()) };
        }
    }
}

fn target_of(choice: Choice, need: &Need) -> Target {
    let access = if choice.primary { Access::Barrier } else { Access::Read };
    let patience = match choice.primary {
        true => Duration::from_millis(PRIMARY_PATIENCE_MS),
        false => choice.max_wait,
    };
    Target {
        server: choice.server,
        access,
        needed: need.position,
        patience,
        until: need.until,
        timed: choice.expected_wait.is_zero(),
        blamed: need.verified && !choice.primary,
    }
}

fn primary_target(server: ServerId, until: Time) -> Target {
    Target {
        server,
        access: Access::Write,
        needed: None,
        patience: Duration::ZERO,
        until,
        timed: false,
        blamed: false,
    }
}

/// Returns the refusal after which another attempt is made, or the end.
fn decide(broken: Broken, job: &Job<'_>, attempt: Attempt) -> Result<Refusal, Failed> {
    let attempt = if broken.passed { Attempt::Answered } else { attempt };
    let failed = match (&job.begin, attempt) {
        // The transaction was never told to commit, so it did not run.
        (Some(_), _) => settle(broken.failed, job.gathered, Refusal::ServerUnreachable),
        (None, Attempt::Read) => settle(broken.failed, job.gathered, Refusal::TooStale),
        _ => broken.failed,
    };
    match failed {
        Failed::Refused(refused) if next_action(attempt, refused.refusal) != Action::Refuse => {
            Ok(refused.refusal)
        }
        failed => Err(failed),
    }
}

/// Replaces an unknown outcome by `known` where nothing can have committed.
fn settle(failed: Failed, gathered: &Gathered, known: Refusal) -> Failed {
    match failed {
        Failed::Refused(refused)
            if !gathered.commits()
                && (refused.refusal.outcome() != Outcome::NotRun
                    || known == Refusal::TransactionEnded) =>
        {
            known.into()
        }
        failed => failed,
    }
}

/// Tells whether a refusal says that the server should be avoided for a while.
///
/// A full queue does not: it may be full for one account only.
fn is_fault(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::ServerUnreachable
            | Refusal::HomeUnreachable
            | Refusal::NotPrimary
            | Refusal::ReadInterrupted
            | Refusal::WriteInterrupted
    )
}
