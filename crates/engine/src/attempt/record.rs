//! What the attempts at a statement show about servers, for the group, metrics and log.

use chicoryhollow_core::{Position, Refusal, ServerId, Time};
use slog::o;

use super::{Attempt, Failure, refusal_for};
use crate::{
    clock,
    group::Source,
    log::Event,
    pool::PoolError,
    seam::{Directory, LinkError, ServerProtocol},
};

impl<S: ServerProtocol, D: Directory> Attempt<'_, S, D> {
    /// Records a commit that `server` acknowledged, and waits until it is known to survive a
    /// failover.
    ///
    /// # Errors
    ///
    /// Fails if that is not shown in time, so that the outcome is unknown to the caller.
    pub(crate) async fn confirm_commit(
        &self,
        server: &ServerId,
        position: Option<Position>,
        asked: Time,
    ) -> Result<(), Failure> {
        let unconfirmed = Failure::Refused(Refusal::Unconfirmed);
        let Some(position) = position else { return Err(unconfirmed) };
        self.record_primary(server, position, asked);
        let limit = self.remaining();
        let is_durable = self.engine.is_commit_durable(&self.group, server, position, limit).await;
        let mut group = self.group.borrow_mut();
        if !is_durable {
            // Whoever confirmed it to the primary does not help callers.
            group.record_unconfirmed_write(server, asked);
            return Err(unconfirmed);
        }
        group.record_confirmation();
        group.record_commit(position);
        Ok(())
    }

    /// Records that `server` answered as the primary at `position`.
    pub(super) fn record_primary(&self, server: &ServerId, position: Position, asked: Time) {
        let changed = self.group.borrow_mut().record_primary(server, position, asked, clock::now());
        if changed {
            self.engine.record_primary_change(&self.group.borrow(), Source::Answer);
        }
    }

    /// Records that `server` is not the primary.
    pub(super) fn record_denial(&self, server: &ServerId) {
        self.group.borrow_mut().record_denial(server, clock::now());
        self.engine.record_primary_change(&self.group.borrow(), Source::Answer);
        self.engine.watch_wakeup.notify_one();
    }

    /// Records that no connection to `server` was obtained.
    pub(super) fn record_connect_failure(&self, server: &ServerId, error: &PoolError) {
        if let PoolError::Connect(_) = error {
            let mut group = self.group.borrow_mut();
            group.record_primary_failure(server, clock::now());
            group.estimates.record_failure(server, clock::now());
        }
        self.record_retry(refusal_for(error).row().label, &format!("{server}: {error}"));
    }

    /// Records a write that may have run, and returns the refusal that says so.
    pub(super) fn record_in_doubt(
        &self,
        server: &ServerId,
        error: &LinkError,
        sent: Time,
    ) -> Failure {
        let mut group = self.group.borrow_mut();
        match error {
            LinkError::TimedOut => group.record_unconfirmed_write(server, sent),
            _ => group.record_primary_failure(server, clock::now()),
        }
        self.engine.event_log.record(
            Event::InDoubt,
            o!(
                "request" => self.id.to_owned(),
                "group" => group.view.group.to_string(),
                "server" => server.to_string(),
                "term" => group.view.term.get(),
                "error" => error.to_string(),
                "after_ms" => clock::now().since(self.start).as_millis() as u64,
            ),
        );
        Failure::Refused(Refusal::WriteInterrupted)
    }

    /// Records that a write is not sent to `server`, which is cut off together with this
    /// VM, and returns the refusal.
    pub(super) fn refuse_cut_off(&self, server: &ServerId, refusal: Refusal) -> Failure {
        self.record_retry("primary_cut_off", server.as_str());
        Failure::Refused(refusal)
    }

    /// Counts and logs a retry.
    pub(super) fn record_retry(&self, reason: &'static str, detail: &str) {
        self.engine.metrics.retries.with_label_values(&[reason]).inc();
        self.engine.event_log.record(
            Event::Retried,
            o!(
                "request" => self.id.to_owned(),
                "reason" => reason,
                "detail" => detail.to_owned(),
                "after_ms" => clock::now().since(self.start).as_millis() as u64,
            ),
        );
    }
}
