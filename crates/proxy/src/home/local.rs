//! The end of a stream at the home of a backend server.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use chicoryhollow_core::{outcome::InterruptedWrite, prelude::*};
use tokio::{sync::watch, time::timeout};

use super::{
    Home,
    answer::NextStep,
    batch::BatchState,
    confirm::{
        ConfirmError, confirm_primary, next_view, wait_confirmed, wait_for_majority,
        wait_for_newer_term,
    },
    exchange::{self, XidResult},
    outcome::{Resolved, resolve},
    request,
    scheduler::PooledConnection,
};
use crate::{
    node::Node,
    stream::{Access, Batch, OpenRequest, Ready, Refused, StreamEvent},
    watch::suspect,
    wire::Frame,
};

/// Time beyond a deadline in which a cancelled statement may still answer, and
/// in which the fate of a write is looked up.
const CANCEL_GRACE: Duration = Duration::from_millis(200);

/// A stream whose home is this VM.
pub struct LocalStream {
    node: Arc<Node>,
    home: Arc<Home>,
    account: AccountId,
    weight: u32,
    access: Access,
    min_position: Option<Position>,
    views: watch::Receiver<Arc<GroupView>>,
    connection: Option<PooledConnection>,
    /// Transaction status after the last batch.
    status: u8,
    /// Whether the server owes an answer.
    running: bool,
    /// Whether a cancel was sent, which may still reach the server.
    cancelled: bool,
    batch: BatchState,
    write: InterruptedWrite,
    writes: bool,
    phase: Phase,
    outbox: VecDeque<StreamEvent>,
}

/// What the answer waits for; kept here so that a call to [`LocalStream::next`]
/// may be dropped and repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Messages of the server.
    Receiving,
    /// Confirmation of a commit in the middle of the batch.
    Confirming,
    /// Confirmation of the whole batch, after which the stream has this status.
    Finishing(u8, Option<Position>),
    /// The fate of a batch whose connection is lost.
    Resolving,
}

/// What came from the server.
enum Received {
    Frame(Frame),
    /// The connection failed, or the server is no longer the primary.
    Lost,
    /// The deadline passed.
    Late,
}

impl LocalStream {
    /// Opens a stream; a connection is taken with the first batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the server does not satisfy the request;
    /// nothing has run then.
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

    /// Returns what is noted of the write that runs.
    pub(crate) fn current_write(&self) -> InterruptedWrite {
        self.write
    }

    /// Waits for a slot and a connection and sends one batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the batch was not sent.
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
        // Some of it may have been sent, so the failure is an interrupted batch.
        self.batch.connection_lost = backend.send(bytes).is_err();
        Ok(())
    }

    /// Takes a connection for a new transaction.
    async fn acquire_connection(&mut self, writes: bool) -> Result<(), Refused> {
        let (node, home) = (&self.node, &self.home);
        let deadline = self.batch.deadline;
        if self.access != Access::Read && !home.is_primary(node) {
            return Err(Refusal::NotPrimary.into());
        }
        if writes {
            let (group, server) = (&home.group, &home.server);
            wait_for_majority(node, group, server, &home.tracker, deadline).await?;
        }
        let term = node.groups.view(&home.group).term;
        self.write = InterruptedWrite { term, xid: None };
        let taking = async {
            let mut connection =
                home.scheduler.acquire(&self.account, self.weight, deadline).await?;
            if self.access == Access::Read {
                return Ok((connection, term));
            }
            let left = deadline.since(node.clock.now());
            // A connection that is dropped in the middle of this is closed.
            let found = exchange::fetch_term(connection.backend()?, term, left).await;
            let found = found.map_err(|_| Refusal::ServerUnreachable)?;
            if found < term { Err(Refusal::NotPrimary) } else { Ok((connection, found)) }
        };
        let (connection, term) = tokio::select! {
            taken = taking => taken?,
            () = wait_for_newer_term(node, home, term), if self.access != Access::Read => {
                return Err(Refusal::NotPrimary.into());
            }
        };
        self.write.term = term;
        self.connection = Some(connection);
        Ok(())
    }

    /// Takes a slot for the next batch of an open transaction.
    async fn acquire_slot(&mut self) -> Result<(), Refused> {
        if self.has_newer_term() {
            self.connection = None;
            return Err(Refusal::TransactionEnded.into());
        }
        let Some(connection) = &mut self.connection else {
            return Err(Refusal::TransactionEnded.into());
        };
        Ok(connection.acquire_slot(self.weight, self.batch.deadline).await?)
    }

    /// Notes the transaction id before anything can commit.
    async fn record_xid(&mut self) -> Result<(), Refused> {
        if !self.node.settings.backend.note_transactions {
            return Ok(());
        }
        let idle = self.status == b'I';
        let left = self.batch.deadline.since(self.node.clock.now());
        let connection = self.connection.as_mut().ok_or(Refusal::ServerUnreachable)?;
        self.running = true;
        let result = tokio::select! {
            result = exchange::fetch_xid(connection.backend()?, left) => result,
            () = wait_for_newer_term(&self.node, &self.home, self.write.term) => XidResult::Lost,
        };
        self.running = false;
        let refusal = match result {
            XidResult::Xid(xid) => {
                self.write.xid = Some(xid);
                return Ok(());
            }
            XidResult::Unavailable if idle => return Ok(()),
            XidResult::NotPrimary if idle => Refusal::NotPrimary,
            XidResult::Lost if idle => Refusal::ServerUnreachable,
            // An open transaction that was not committed is rolled back.
            _ => Refusal::TransactionEnded,
        };
        self.connection = None;
        Err(refusal.into())
    }

    /// Waits for the next part of the answer. Nothing is lost when the returned
    /// future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the answer breaks off or is not confirmed.
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

    /// Cancels a statement whose deadline passed and gives it a last chance to
    /// tell what became of it.
    fn extend_deadline(&mut self) {
        self.batch.is_late = true;
        self.batch.deadline = self.batch.deadline + CANCEL_GRACE;
        self.interrupt();
    }

    /// Takes one message of the answer.
    fn handle_frame(&mut self, frame: &Frame) -> Result<(), Refused> {
        let Some(Ok(backend)) = self.connection.as_mut().map(PooledConnection::backend) else {
            return Ok(());
        };
        if self.batch.preamble.try_consume(frame, &mut backend.prepared) {
            return Ok(());
        }
        match frame.tag() {
            b'Z' => return self.end_exchange(frame.bytes().last().copied().unwrap_or(b'E')),
            // Parameters and notifications of pooled connections mean nothing
            // to the caller.
            b'S' | b'A' => return Ok(()),
            // No batch that the entry lets through copies data.
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

    /// Gives back the slot and, when idle, the connection, before the answer
    /// waits for its confirmation.
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

    /// Ends the answer: an answer of a primary waits until it is confirmed.
    async fn finish_answer(
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

    /// Makes sure that the answer may be passed on.
    async fn check_answer(&mut self, position: Option<Position>) -> Result<(), Refused> {
        if self.access != Access::Read {
            return self.confirm(position).await;
        }
        let (Some(min_position), Some(position)) = (self.min_position, position) else {
            return Ok(());
        };
        let view = self.node.groups.view(&self.home.group);
        if super::applied::satisfies(&view, position, min_position) {
            return Ok(());
        }
        // The server has gone back, so what was known of it is out of date.
        self.home.applied.reset(position);
        Err(Refused { refusal: Refusal::TooStale, applied: Some(position) })
    }

    /// Waits until a majority holds `position`, or all that is committed now.
    async fn confirm(&mut self, position: Option<Position>) -> Result<(), Refused> {
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
            // Part of a batch of several transactions may have survived.
            Err(ConfirmError::Lost) => Refusal::WriteInterrupted,
            Err(ConfirmError::Timeout) => Refusal::Unconfirmed,
        };
        Err(refusal.into())
    }

    fn has_newer_term(&self) -> bool {
        let term = self.node.groups.view(&self.home.group).term;
        self.access != Access::Read && term > self.write.term
    }

    /// Tells the watchers of the group that requests to its primary fail.
    fn report_failure(&self) {
        if self.access != Access::Read {
            suspect(&self.node, &self.home.group);
        }
    }

    /// Drops a connection that broke off.
    fn handle_loss(&mut self) {
        self.report_failure();
        self.interrupt();
        self.connection = None;
        self.running = false;
        self.phase = Phase::Resolving;
    }

    /// Finds out what became of a batch whose connection broke off.
    async fn resolve(&mut self) -> Result<(), Refused> {
        let idle = self.status == b'I';
        if !self.writes {
            let refusal = if idle { Refusal::ReadInterrupted } else { Refusal::TransactionEnded };
            return Err(refusal.into());
        }
        let (node, home) = (&self.node, &self.home);
        let deadline = self.batch.deadline + CANCEL_GRACE;
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

    /// Makes the answer to a `COMMIT` that was found to have taken effect.
    fn answer_commit(&mut self, position: Position) {
        self.status = b'I';
        self.writes = false;
        self.write.xid = None;
        self.cancelled = false;
        self.outbox.push_back(StreamEvent::Answer(request::encode_commit_complete()));
        let ready = Ready { status: b'I', position: Some(position) };
        self.outbox.push_back(StreamEvent::Ready(ready));
    }

    /// Asks the server to cancel the statement that runs.
    ///
    /// The request may reach the server late, so the connection serves no other
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
                // A cancel that fails leaves the statement running, as it may.
                drop(canceller.cancel().await);
            });
        }
    }
}

impl Drop for LocalStream {
    /// Gives a clean connection back, rolls an open transaction back, and
    /// closes a connection that still owes an answer.
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
