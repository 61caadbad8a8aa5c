//! A stream whose backend server has its home on this VM.
//!
//! A [`LocalStream`] runs batches on a pooled connection. On a primary, it holds back the
//! completions of an answer until a majority has confirmed the writes that the answer may
//! show. If the connection or the primary is lost during a write, the stream determines
//! whether the write took effect.

mod acquisition;
mod completion;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use chicoryhollow_core::{outcome::InterruptedWrite, prelude::*};
use tokio::{sync::watch, time::timeout};

use super::{
    Home,
    answer::NextStep,
    batch::BatchState,
    confirm::{confirm_primary, next_view},
    exchange,
    scheduler::PooledConnection,
};
use crate::{
    node::Node,
    stream::{Access, Batch, OpenRequest, Refused, StreamEvent},
    watch::report_primary_failure,
    wire::Frame,
};

/// Time after a deadline in which the server may still answer a cancelled statement, and in
/// which the outcome of a write may still be determined.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A stream whose home is this VM.
pub struct LocalStream {
    node: Arc<Node>,
    home: Arc<Home>,
    account: AccountId,
    weight: u32,
    access: Access,
    /// Position that the server must have applied.
    min_position: Option<Position>,
    views: watch::Receiver<Arc<GroupView>>,
    connection: Option<PooledConnection>,
    /// Transaction status byte after the last batch: `I`, `T` or `E`.
    status: u8,
    /// Whether the server has not answered in full yet.
    running: bool,
    /// Whether a cancel request was sent, which may still reach the server.
    cancelled: bool,
    batch: BatchState,
    /// Term and transaction id by which the outcome of the write can be determined.
    write: InterruptedWrite,
    /// Whether the transaction has run a batch that may write.
    writes: bool,
    phase: Phase,
    outbox: VecDeque<StreamEvent>,
}

/// What the answer waits for.
///
/// Stored in the stream, so that a call of [`LocalStream::next`] can be dropped and
/// repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Messages from the server.
    Receiving,
    /// Confirmation of a commit in the middle of the batch.
    Confirming,
    /// Confirmation of the whole batch, which ended with this status and position.
    Finishing(u8, Option<Position>),
    /// The outcome of a batch whose connection is lost.
    Resolving,
}

/// Result of waiting for a message from the server.
enum Received {
    /// A message arrived.
    Frame(Frame),
    /// The connection failed, or the server is no longer the primary.
    Lost,
    /// The deadline passed.
    Late,
}

impl LocalStream {
    /// Opens a stream. A connection is taken from the pool with the first batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the server doesn't satisfy the request; nothing has run then.
    pub async fn open(node: &Arc<Node>, request: OpenRequest) -> Result<Self, Refused> {
        let home = node.homes.get(node, &request.server).ok_or(Refusal::HomeUnreachable)?;
        if !home.is_accepting_work(node) {
            return Err(Refusal::ServerUnreachable.into());
        }
        if request.access != Access::Read && !home.is_primary(node) {
            return Err(Refusal::NotPrimary.into());
        }
        match (request.access, request.min_position) {
            (Access::Barrier, _) => confirm_primary(node, &home, request.deadline).await?,
            (Access::Read, Some(min_position)) => {
                let max_wait = Duration::from_millis(request.max_wait_ms.into());
                let applied = &home.applied;
                applied.wait_for(node, &home.group, &home.tracker, min_position, max_wait).await?;
            }
            _ => {}
        }
        let configuration = node.configuration();
        let account = configuration.configuration.accounts.get(&request.account);
        Ok(LocalStream {
            views: node.groups.follow(&home.group),
            node: Arc::clone(node),
            home,
            weight: account.map_or(1, |account| account.weight),
            account: request.account,
            access: request.access,
            min_position: request.min_position,
            connection: None,
            status: b'I',
            running: false,
            cancelled: false,
            batch: BatchState::new(request.deadline, false),
            write: InterruptedWrite { term: Term::default(), xid: None },
            writes: false,
            phase: Phase::Receiving,
            outbox: VecDeque::new(),
        })
    }

    /// Returns the term and transaction id of the current write.
    pub(crate) fn current_write(&self) -> InterruptedWrite {
        self.write
    }

    /// Waits for a slot and a connection and sends one batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the batch was not sent.
    pub async fn send(&mut self, batch: Batch) -> Result<(), Refused> {
        self.phase = Phase::Receiving;
        self.batch = BatchState::new(batch.deadline, self.access != Access::Read);
        self.batch.messages = batch.messages.clone();
        match self.connection {
            None => self.acquire_connection(batch.writes).await.inspect_err(|refused| {
                if refused.refusal == Refusal::ServerUnreachable {
                    self.report_failure();
                }
            })?,
            Some(_) => self.acquire_slot().await?,
        }
        if batch.writes && self.write.xid.is_none() && self.status != b'E' {
            self.record_xid().await?;
        }
        let connection = self.connection.as_mut().ok_or(Refusal::ServerUnreachable)?;
        let backend = connection.backend()?;
        let bytes = self.batch.preamble.encode(&batch, &mut backend.prepared);
        self.running = true;
        self.writes |= batch.writes;
        // A part may have been sent, so a failure counts as an interrupted batch.
        self.batch.connection_lost = backend.send(bytes).is_err();
        Ok(())
    }

    /// Waits for the next part of the answer.
    ///
    /// The returned future is cancel safe: nothing is lost if it is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the answer ends early or is not confirmed.
    pub async fn next(&mut self) -> Result<StreamEvent, Refused> {
        loop {
            if let Some(event) = self.outbox.pop_front() {
                return Ok(event);
            }
            match self.phase {
                Phase::Receiving => match self.receive().await {
                    Received::Frame(frame) => self.handle_frame(&frame)?,
                    Received::Late if !self.batch.is_late => self.extend_deadline(),
                    Received::Late | Received::Lost => self.handle_loss(),
                },
                Phase::Confirming => {
                    self.confirm(None).await?;
                    self.phase = Phase::Receiving;
                    self.outbox.extend(self.batch.answer.take().map(StreamEvent::Answer));
                }
                Phase::Finishing(status, position) => {
                    self.finish_answer(status, position).await?;
                    self.phase = Phase::Receiving;
                }
                Phase::Resolving => {
                    self.resolve().await?;
                    self.phase = Phase::Receiving;
                }
            }
        }
    }

    async fn receive(&mut self) -> Received {
        if self.batch.connection_lost {
            return Received::Lost;
        }
        let left = self.batch.deadline.since(self.node.clock.now());
        let watched = self.access != Access::Read;
        let Some(Ok(backend)) = self.connection.as_mut().map(PooledConnection::backend) else {
            return Received::Lost;
        };
        loop {
            tokio::select! {
                biased;
                received = timeout(left, backend.receive()) => return match received {
                    Ok(Ok(frame)) => Received::Frame(frame),
                    Ok(Err(_)) => Received::Lost,
                    Err(_) => Received::Late,
                },
                () = next_view(&mut self.views), if watched => {
                    if self.views.borrow().term > self.write.term {
                        return Received::Lost;
                    }
                }
            }
        }
    }

    /// Cancels a statement whose deadline passed and extends its deadline once, so that the
    /// server can still report the result.
    fn extend_deadline(&mut self) {
        self.batch.is_late = true;
        self.batch.deadline = self.batch.deadline + DEADLINE_GRACE;
        self.interrupt();
    }

    /// Handles one message of the answer.
    fn handle_frame(&mut self, frame: &Frame) -> Result<(), Refused> {
        let Some(Ok(backend)) = self.connection.as_mut().map(PooledConnection::backend) else {
            return Ok(());
        };
        if self.batch.preamble.try_consume(frame, &mut backend.prepared) {
            return Ok(());
        }
        match frame.tag() {
            b'Z' => return self.end_exchange(frame.bytes().last().copied().unwrap_or(b'E')),
            // Parameters and notifications of a pooled connection don't concern the
            // caller.
            b'S' | b'A' => return Ok(()),
            // The entry refuses batches that copy data, so these messages are unexpected.
            b'G' | b'H' | b'W' => self.batch.connection_lost = true,
            b'E' if self.status == b'I' && self.batch.answer.is_untouched() => {
                self.batch.not_primary |= exchange::is_not_primary(frame);
            }
            _ => {}
        }
        match self.batch.answer.add(frame) {
            NextStep::More => {}
            NextStep::Pass(part) => self.outbox.push_back(StreamEvent::Answer(part)),
            NextStep::Confirm => self.phase = Phase::Confirming,
        }
        Ok(())
    }

    /// Releases the slot and, if no transaction is open, the connection.
    ///
    /// This happens before the answer waits for its confirmation.
    fn end_exchange(&mut self, status: u8) -> Result<(), Refused> {
        let untouched = self.batch.answer.is_untouched() && self.status == b'I';
        self.status = status;
        self.running = false;
        let connection = self.connection.as_mut().ok_or(Refusal::ServerUnreachable)?;
        let position = connection.backend()?.position();
        position.into_iter().for_each(|position| self.home.applied.record(position));
        self.phase = Phase::Finishing(status, position);
        if status != b'I' {
            connection.release_slot();
            return Ok(());
        }
        let clean = !self.cancelled && !self.batch.connection_lost && self.batch.preamble.is_done();
        if let Some(connection) = self.connection.take()
            && clean
        {
            connection.release();
        }
        self.cancelled = false;
        self.write.xid = None;
        if self.batch.not_primary {
            return Err(Refusal::NotPrimary.into());
        }
        if self.batch.is_late && untouched && self.batch.answer.has_failed() {
            return Err(Refusal::DeadlinePassed.into());
        }
        Ok(())
    }

    fn has_newer_term(&self) -> bool {
        let term = self.node.groups.view(&self.home.group).term;
        self.access != Access::Read && term > self.write.term
    }

    /// Reports to the watchers of the database group that a request to its primary failed.
    fn report_failure(&self) {
        if self.access != Access::Read {
            report_primary_failure(&self.node, &self.home.group);
        }
    }

    /// Asks the server to cancel the running statement.
    ///
    /// The request may reach the server late, so the connection is not used for another
    /// stream afterwards.
    pub fn interrupt(&mut self) {
        if !self.running {
            return;
        }
        self.cancelled = true;
        let canceller =
            self.connection.as_mut().and_then(|connection| connection.backend().ok()?.canceller());
        if let Some(canceller) = canceller {
            tokio::spawn(async move {
                // If this fails, the statement continues to run, which is allowed.
                drop(canceller.cancel().await);
            });
        }
    }
}

impl Drop for LocalStream {
    /// Returns an idle connection to the pool and rolls back an open transaction.
    ///
    /// Closes a connection whose answer is incomplete or on which a cancel request was
    /// sent.
    fn drop(&mut self) {
        self.interrupt();
        let Some(connection) = self.connection.take() else { return };
        if self.running || self.cancelled {
            return;
        }
        if self.status == b'I' {
            connection.release();
        } else if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(exchange::roll_back(connection));
        }
    }
}
