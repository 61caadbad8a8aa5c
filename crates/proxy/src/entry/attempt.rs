//! Attempts to run a batch on a backend server.
//!
//! A batch of an open transaction runs on the server of that transaction. Any
//! other batch runs on a server that is chosen here: a write on the primary, a
//! read on a server that is fresh enough. After a failure the batch is tried
//! again, on another server where possible, but only if no write can run twice.

mod exchange;
mod target;

use std::{sync::Arc, time::Duration};

use chicoryhollow_config::configuration::{Route, Service};
use chicoryhollow_core::{
    prelude::*,
    retry::{Action, Attempt, Backoff, next_action},
    route::{Candidate, Choice, Permit},
};
use tokio::time::timeout;

use self::{exchange::server_batch, target::Target};
use super::{
    analysis::Class,
    batch::CallerBatch,
    execution::BatchError,
    freshness::FRESHNESS_WAIT_MS,
    session::{OpenTransaction, PendingBegin, Session, Transaction},
};
use crate::{
    configuration::is_stale,
    stream::{Access, Ready, Stream},
};

/// A batch to run on a server of the caller's route.
pub(super) struct Job<'a> {
    /// The batch.
    pub(super) caller_batch: &'a CallerBatch,
    /// The transaction that the batch begins, if any.
    pub(super) begin: Option<PendingBegin>,
    /// Route of the caller.
    pub(super) route: Route,
    /// Time at which the batch must have ended.
    pub(super) deadline: Time,
    /// Whether to record that the server answers with an error.
    pub(super) track_errors: bool,
}

/// Why an attempt failed, and whether part of an answer was forwarded.
struct AttemptError {
    cause: BatchError,
    has_forwarded: bool,
}

impl<T: Into<BatchError>> From<T> for AttemptError {
    fn from(cause: T) -> Self {
        AttemptError { cause: cause.into(), has_forwarded: false }
    }
}

impl Session {
    /// Runs a batch on the server of the open transaction. Returns whether the
    /// server answered with an error.
    pub(super) async fn run_in_transaction(
        &mut self,
        caller_batch: &CallerBatch,
        track_errors: bool,
    ) -> Result<bool, BatchError> {
        let open = std::mem::replace(&mut self.transaction, Transaction::Aborted);
        let Transaction::Open(mut open) = open else {
            return Err(Refusal::TransactionEnded.into());
        };
        let writes = caller_batch.class() != Class::Read && !open.read_only;
        let batch = server_batch(caller_batch, writes, self.deadline());
        match self.exchange(&mut open.stream, batch, caller_batch, track_errors).await {
            Ok((ready, failed)) => {
                let group = self.route().map(|route| route.group);
                if let (Ok(group), Some(position)) = (group, ready.position) {
                    self.caller.token.get_or_insert_default().observe(&group, position);
                }
                self.set_transaction(open.stream, ready, open.read_only);
                Ok(failed)
            }
            Err(error) => {
                if caller_batch.commits() && !caller_batch.opens() {
                    self.transaction = Transaction::Idle;
                }
                Err(replace_unknown(error.cause, caller_batch, Refusal::TransactionEnded))
            }
        }
    }

    /// Chooses a server and runs a batch there that is outside of a transaction
    /// or the first of one. Returns whether the server answered with an error.
    pub(super) async fn run_routed(
        &mut self,
        caller_batch: &CallerBatch,
        begin: Option<PendingBegin>,
        track_errors: bool,
    ) -> Result<bool, BatchError> {
        let node = Arc::clone(&self.node);
        if is_stale(&node) {
            return Err(Refusal::NotReady.into());
        }
        let route = self.route()?;
        let deadline = self.deadline();
        node.shares.admit(&node, &self.caller.credentials.account, deadline).await?;
        node.entry.with_retry_budget(|budget| budget.record_request());
        let reads = match &begin {
            Some(begin) => begin.read_only,
            None => caller_batch.class() == Class::Read,
        };
        let job = Job { caller_batch, begin, route, deadline, track_errors };
        if reads {
            return self.read(&job).await;
        }
        if job.begin.is_some() && self.caller.token.is_none() {
            self.initialise_token(&job).await?;
        }
        self.write(&job).await
    }

    fn deadline(&self) -> Time {
        let limit = Duration::from_millis(self.node.settings.limits.request_ms);
        self.node.clock.now() + self.caller.timeout.map_or(limit, |timeout| timeout.min(limit))
    }

    async fn read(&mut self, job: &Job<'_>) -> Result<bool, BatchError> {
        let node = Arc::clone(&self.node);
        let mut views = node.groups.follow(&job.route.group);
        let mut backoff = Backoff::new();
        let freshness_limit = node.clock.now() + Duration::from_millis(FRESHNESS_WAIT_MS);
        let mut last = Refusal::NoPrimary;
        let mut tried = false;
        loop {
            let requirement = self.read_requirement(job).await?;
            let view = Arc::clone(&views.borrow_and_update());
            for choice in self.choices(job, &view, requirement.position) {
                let now = node.clock.now();
                let group = &job.route.group;
                let permit = node.entry.with_estimates(group, |e| e.permit(&choice.server, now));
                if permit != Permit::Send {
                    continue;
                }
                if tried && requirement.is_verified && !self.take_retry(last) {
                    return Err(last.into());
                }
                tried = true;
                match self.attempt(job, Target::for_read(choice, &requirement)).await {
                    Ok(failed) => return Ok(failed),
                    Err(error) => last = check_retry(error, job, Attempt::Read)?,
                }
                self.route()?;
            }
            let end = if last == Refusal::TooStale {
                freshness_limit.min(job.deadline)
            } else {
                job.deadline
            };
            let left = end.since(node.clock.now());
            if left.is_zero() {
                return Err(last.into());
            }
            let pause = backoff.pause(&mut rand::rng()).min(left);
            // The next attempt is due after the pause or with a new view.
            drop(timeout(pause, views.changed()).await);
        }
    }

    async fn write(&mut self, job: &Job<'_>) -> Result<bool, BatchError> {
        let node = Arc::clone(&self.node);
        let group = &job.route.group;
        let mut views = node.groups.follow(group);
        let mut backoff = Backoff::new();
        let mut last = Refusal::NoPrimary;
        let mut tried = false;
        let repeatable = job.route.idempotent && job.begin.is_none() && !job.caller_batch.opens();
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
                        if tried && !self.take_retry(last) {
                            return Err(last.into());
                        }
                        tried = true;
                        match self.attempt(job, Target::for_primary(server, job.deadline)).await {
                            Ok(failed) => return Ok(failed),
                            Err(error) => last = check_retry(error, job, kind)?,
                        }
                    }
                }
            }
            let left = job.deadline.since(node.clock.now());
            if left.is_zero() {
                return Err(last.into());
            }
            // The next attempt is due after the pause or with a new view.
            drop(timeout(pause.min(left), views.changed()).await);
            self.route()?;
        }
    }

    /// Returns the primary of `view`, unless the session has seen a later term.
    fn known_primary(&self, view: &GroupView) -> Option<ServerId> {
        let seen = self.caller.token.as_ref().and_then(|token| token.position(&view.group));
        let current = seen.is_none_or(|seen| seen.term() <= view.term);
        view.primary.clone().filter(|_| current)
    }

    /// Takes a retry from the retry budget and counts it in the metrics. Returns
    /// `false` if the budget is used up.
    fn take_retry(&self, reason: Refusal) -> bool {
        let allowed = self.node.entry.with_retry_budget(|budget| budget.try_take());
        if allowed {
            self.node.metrics.retries.with_label_values(&[reason.row().label]).inc();
        }
        allowed
    }

    /// Returns the servers to try for a read, best first.
    fn choices(
        &self,
        job: &Job<'_>,
        view: &GroupView,
        min_position: Option<Position>,
    ) -> Vec<Choice> {
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
                // A primary taken out of service remains the primary until
                // another server is promoted.
                let primary = view.primary.as_ref() == Some(*name);
                primary || (server.service == Service::In && is_in(&server.data_centre))
            })
            .map(|(name, server)| Candidate {
                server: name.clone(),
                near: server.data_centre == self.node.settings.data_centre,
                // Servers are judged by their answers only, not by the
                // reachability of their data centre.
                unreachable: false,
            })
            .collect();
        let now = self.node.clock.now();
        self.node.entry.with_estimates(&job.route.group, |estimates| {
            estimates.apply_view(view);
            estimates.choose(view, &candidates, min_position, now, &mut rand::rng())
        })
    }

    async fn attempt(&mut self, job: &Job<'_>, target: Target) -> Result<bool, AttemptError> {
        let node = Arc::clone(&self.node);
        let group = &job.route.group;
        let sent = node.clock.now();
        let answered = self.run_on(job, &target).await;
        let now = node.clock.now();
        let replica = target.access == Access::Read;
        node.entry.with_estimates(group, |estimates| match &answered {
            Ok((_, ready, _)) => {
                let took = target.is_timed.then(|| now.since(sent));
                estimates.record_answer(&target.server, took);
                if let Some(position) = ready.position {
                    estimates.record_position(position, now);
                    if replica {
                        estimates.record_applied(&target.server, position, sent, now);
                    }
                }
            }
            Err(AttemptError { cause: BatchError::Refused(refused), .. }) => {
                if let Some(applied) = refused.applied.filter(|_| replica) {
                    estimates.record_applied(&target.server, applied, now, now);
                }
                if refused.refusal == Refusal::TooStale && target.penalise_stale {
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
        if job.caller_batch.class() == Class::Read && job.begin.is_none() {
            node.metrics.reads.with_label_values(&[kind]).inc();
        }
        if let Some(position) = ready.position {
            self.caller.token.get_or_insert_default().observe(group, position);
        }
        let read_only = job.begin.as_ref().is_some_and(|begin| begin.read_only);
        self.set_transaction(stream, ready, read_only);
        Ok(failed)
    }

    fn set_transaction(&mut self, stream: Stream, ready: Ready, read_only: bool) {
        self.transaction = match ready.is_idle() {
            true => Transaction::Idle,
            false => Transaction::Open(Box::new(OpenTransaction {
                stream,
                status: ready.status,
                read_only,
            })),
        };
    }
}

/// Returns the refusal after which another attempt may be made, or the error
/// that ends the batch.
fn check_retry(
    error: AttemptError,
    job: &Job<'_>,
    attempt: Attempt,
) -> Result<Refusal, BatchError> {
    let attempt = if error.has_forwarded { Attempt::Answered } else { attempt };
    let cause = match (&job.begin, attempt) {
        // No commit of the transaction was sent, so it did not run.
        (Some(_), _) => replace_unknown(error.cause, job.caller_batch, Refusal::ServerUnreachable),
        (None, Attempt::Read) => replace_unknown(error.cause, job.caller_batch, Refusal::TooStale),
        _ => error.cause,
    };
    match cause {
        BatchError::Refused(refused) if next_action(attempt, refused.refusal) != Action::Refuse => {
            Ok(refused.refusal)
        }
        cause => Err(cause),
    }
}

/// Replaces a refusal with an unknown outcome by `known` if the batch cannot
/// have committed.
fn replace_unknown(error: BatchError, caller_batch: &CallerBatch, known: Refusal) -> BatchError {
    match error {
        BatchError::Refused(refused)
            if !caller_batch.commits()
                && (refused.refusal.outcome() != Outcome::NotRun
                    || known == Refusal::TransactionEnded) =>
        {
            known.into()
        }
        error => error,
    }
}

/// Returns whether a refusal means that the server should be avoided for a while.
///
/// A full queue is no such refusal, because it may be full for one account only.
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
