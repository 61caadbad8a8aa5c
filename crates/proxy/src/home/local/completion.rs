//! The end of an answer: its confirmation, or the outcome of a batch whose connection is lost.

use chicoryhollow_core::prelude::*;
use tokio::time::timeout;

use super::{DEADLINE_GRACE, LocalStream, Phase};
use crate::{
    home::{
        applied,
        confirm::{ConfirmError, wait_confirmed},
        outcome::{Resolved, resolve},
        request,
    },
    stream::{Access, Ready, Refused, StreamEvent},
};

impl LocalStream {
    /// Passes on the rest of the answer, after its confirmation if no transaction is open.
    pub(super) async fn finish_answer(
        &mut self,
        status: u8,
        position: Option<Position>,
    ) -> Result<(), Refused> {
        if status == b'I' {
            self.check_answer(position).await?;
            self.writes = false;
        }
        self.outbox.extend(self.batch.answer.take().map(StreamEvent::Answer));
        self.outbox.push_back(StreamEvent::Ready(Ready { status, position }));
        Ok(())
    }

    /// Checks that the answer may be passed on: an answer of a primary must be confirmed, and
    /// a replica must have applied the least position that the read may return.
    async fn check_answer(&mut self, position: Option<Position>) -> Result<(), Refused> {
        if self.access != Access::Read {
            return self.confirm(position).await;
        }
        let (Some(min_position), Some(position)) = (self.min_position, position) else {
            return Ok(());
        };
        let view = self.node.groups.view(&self.home.group);
        if applied::satisfies(&view, position, min_position) {
            return Ok(());
        }
        // The server's position moved back, so the recorded position is outdated.
        self.home.applied.reset(position);
        Err(Refused { refusal: Refusal::TooStale, applied: Some(position) })
    }

    /// Waits until a majority holds `position`, or everything that is committed now if
    /// `position` is `None`.
    pub(super) async fn confirm(&mut self, position: Option<Position>) -> Result<(), Refused> {
        let deadline = self.batch.deadline;
        let tracker = &self.home.tracker;
        let left = deadline.since(self.node.clock.now());
        let position = match position {
            Some(position) => Some(position),
            None => timeout(left, tracker.barrier()).await.ok().flatten(),
        };
        let confirmed = match position {
            Some(position) => {
                wait_confirmed(&self.node, &self.home.group, tracker, position, deadline).await
            }
            None => Err(ConfirmError::Timeout),
        };
        let wrote = self.writes && !self.batch.answer.has_failed();
        let refusal = match confirmed {
            Ok(()) => return Ok(()),
            Err(_) if !wrote => Refusal::ReadInterrupted,
            Err(ConfirmError::Lost) if request::is_single(&self.batch.messages) => {
                Refusal::WriteLost
            }
            // A part of a batch with several transactions may have survived.
            Err(ConfirmError::Lost) => Refusal::WriteInterrupted,
            Err(ConfirmError::Timeout) => Refusal::Unconfirmed,
        };
        Err(refusal.into())
    }

    /// Drops a lost connection. The outcome of its batch is determined next.
    pub(super) fn handle_loss(&mut self) {
        self.report_failure();
        self.interrupt();
        self.connection = None;
        self.running = false;
        self.phase = Phase::Resolving;
    }

    /// Determines the outcome of a batch whose connection is lost.
    pub(super) async fn resolve(&mut self) -> Result<(), Refused> {
        let idle = self.status == b'I';
        if !self.writes {
            let refusal = if idle { Refusal::ReadInterrupted } else { Refusal::TransactionEnded };
            return Err(refusal.into());
        }
        let (node, home) = (&self.node, &self.home);
        let deadline = self.batch.deadline + DEADLINE_GRACE;
        let resolved = resolve(node, &home.group, &home.server, self.write, deadline).await;
        let messages = &self.batch.messages;
        let refusal = match (resolved, request::is_single(messages)) {
            (Resolved::Committed(position), true) => {
                if request::is_commit(messages) && self.batch.answer.is_untouched() {
                    self.answer_commit(position);
                    return Ok(());
                }
                Refusal::WriteCommitted
            }
            (Resolved::Lost, true) => Refusal::WriteLost,
            (Resolved::Unknown, _) | (_, false) => Refusal::WriteInterrupted,
        };
        Err(refusal.into())
    }

    /// Creates the answer to a `COMMIT` that is known to have taken effect.
    fn answer_commit(&mut self, position: Position) {
        self.status = b'I';
        self.writes = false;
        self.write.xid = None;
        self.cancelled = false;
        self.outbox.push_back(StreamEvent::Answer(request::encode_commit_complete()));
        let ready = Ready { status: b'I', position: Some(position) };
        self.outbox.push_back(StreamEvent::Ready(ready));
    }
}
