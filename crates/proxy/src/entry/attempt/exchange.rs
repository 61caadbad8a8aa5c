//! One attempt's exchange with the server: the batch is sent and its answer forwarded.

use std::sync::Arc;

use bytes::Bytes;
use chicoryhollow_core::prelude::*;
use pgwire::messages::extendedquery::Sync;
use tokio::time::timeout;

use super::{AttemptError, Job, Target};
use crate::{
    entry::{
        analysis::Class,
        answer::AnswerFilter,
        batch::CallerBatch,
        session::{PendingBegin, Session},
    },
    stream::{Batch, OpenRequest, Ready, Refused, Stream, StreamEvent},
    wire::{self, WireError},
};

/// Number of bytes of an answer that are buffered before the first one is
/// forwarded to the caller. As long as nothing was forwarded, an incomplete
/// answer can be replaced by the complete answer of another attempt.
const ANSWER_BUFFER_BYTES: usize = 16 << 10;

impl Session {
    /// Opens a stream to the target, begins the transaction if the batch is the first of
    /// one, and runs the batch.
    pub(super) async fn run_on(
        &mut self,
        job: &Job<'_>,
        target: &Target,
    ) -> Result<(Stream, Ready, bool), AttemptError> {
        let node = Arc::clone(&self.node);
        let request = OpenRequest {
            group: job.route.group.clone(),
            server: target.server.clone(),
            account: self.caller.credentials.account.clone(),
            access: target.access,
            deadline: target.start_by,
            min_position: target.min_position,
            max_age_ms: job.route.max_age_ms,
            max_wait_ms: u32::try_from(target.max_wait.as_millis()).unwrap_or(u32::MAX),
        };
        let mut stream = Stream::open(&node, request).await?;
        if let Some(begin) = &job.begin {
            open_transaction(&mut stream, begin, job.deadline).await?;
        }
        let read_only = job.begin.as_ref().is_some_and(|begin| begin.read_only);
        let writes = job.caller_batch.class() != Class::Read && !read_only;
        let batch = server_batch(job.caller_batch, writes, job.deadline);
        let answered = self.exchange(&mut stream, batch, job.caller_batch, job.track_errors).await;
        let (ready, failed) = answered?;
        Ok((stream, ready, failed))
    }

    /// Sends a batch and forwards the whole answer to the caller. Returns the
    /// end of the answer and whether the server answered with an error.
    pub(super) async fn exchange(
        &mut self,
        stream: &mut Stream,
        batch: Batch,
        caller_batch: &CallerBatch,
        track_errors: bool,
    ) -> Result<(Ready, bool), AttemptError> {
        let start = self.caller.connection.queued_bytes();
        let (deadline, writes) = (batch.deadline, batch.writes);
        let cancel_notify = self.caller.registration.notifier();
        let mut cancelled = Box::pin(cancel_notify.notified());
        cancelled.as_mut().enable();
        let mut filter = AnswerFilter::new(&caller_batch.items, track_errors);
        let mut has_forwarded = false;
        stream.send(batch).await?;
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = &mut cancelled => {
                    stream.interrupt().await;
                    cancelled.set(cancel_notify.notified());
                    continue;
                }
            };
            match event {
                Ok(StreamEvent::Answer(bytes)) => {
                    let Ok(output) = filter.filter(bytes) else {
                        let refused = Refused::from(incomplete_answer(writes));
                        if !has_forwarded {
                            self.caller.connection.truncate(start);
                        }
                        return Err(AttemptError { cause: refused.into(), has_forwarded });
                    };
                    self.caller.connection.queue(&output);
                    if self.caller.connection.queued_bytes() > ANSWER_BUFFER_BYTES {
                        has_forwarded = true;
                        self.flush_until(deadline).await?;
                    }
                }
                Ok(StreamEvent::Ready(ready)) => {
                    self.caller.connection.queue(&filter.finish());
                    let failed = filter.has_failed();
                    self.apply(filter.into_effects());
                    return Ok((ready, failed));
                }
                Err(refused) => {
                    if !has_forwarded {
                        self.caller.connection.truncate(start);
                    }
                    return Err(AttemptError { cause: refused.into(), has_forwarded });
                }
            }
        }
    }

    /// Writes the queued bytes. The connection fails if the caller has not
    /// received them by `deadline`.
    async fn flush_until(&mut self, deadline: Time) -> Result<(), WireError> {
        let left = deadline.since(self.node.clock.now());
        timeout(left, self.caller.connection.flush()).await.map_err(std::io::Error::from)?
    }
}

/// Returns the refusal of a batch whose answer the server did not complete.
fn incomplete_answer(writes: bool) -> Refusal {
    if writes { Refusal::WriteInterrupted } else { Refusal::ReadInterrupted }
}

/// Returns the batch as it is sent to the server.
pub(super) fn server_batch(caller_batch: &CallerBatch, writes: bool, deadline: Time) -> Batch {
    let mut messages = caller_batch.messages.clone();
    if !caller_batch.is_simple() {
        messages.extend_from_slice(&wire::encode(&Sync::new()));
    }
    let messages: Bytes = messages.freeze();
    Batch { prepares: caller_batch.prepares.clone(), messages, writes, deadline }
}

/// Opens the transaction on the server. Its answer is discarded, because the
/// caller has received one already.
async fn open_transaction(
    stream: &mut Stream,
    begin: &PendingBegin,
    deadline: Time,
) -> Result<(), AttemptError> {
    let PendingBegin { prepares, messages, .. } = begin.clone();
    stream.send(Batch { prepares, messages, writes: false, deadline }).await?;
    loop {
        if let StreamEvent::Ready(ready) = stream.next().await? {
            let open = !ready.is_idle();
            return if open { Ok(()) } else { Err(Refusal::ServerUnreachable.into()) };
        }
    }
}
