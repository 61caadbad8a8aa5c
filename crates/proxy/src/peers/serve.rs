//! Streams that this VM serves as home for entries on other VMs.
//!
//! A [`ServedStream`] runs the batches that arrive from the entry on a [`LocalStream`] and
//! sends the answers back.

use std::{
    collections::VecDeque,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use chicoryhollow_core::{batch::BatchId, prelude::*};
use chicoryhollow_peer::{Body, Envelope, stream};
use tokio::{sync::mpsc, time::timeout};

use super::{
    WINDOW_BYTES,
    batches::{BatchResult, StoredAnswer},
};
use crate::{
    home::LocalStream,
    node::Node,
    stream::{Batch, OpenRequest, Ready, Refused, StreamEvent, decode_position, encode_position},
};

/// A stream that is served for an entry on another VM.
pub(crate) struct ServedStream {
    node: Arc<Node>,
    entry: Incarnation,
    number: u64,
    incoming: mpsc::Receiver<Body>,
    outgoing: mpsc::Sender<Envelope>,
    /// Number of bytes that the entry can receive at present.
    credit: usize,
    /// Messages that arrived before the stream was ready to handle them.
    early_messages: VecDeque<Body>,
    /// Whether the connection to the entry is lost.
    entry_lost: bool,
}

/// Reason why a stream has ended.
enum End {
    /// The entry closed the stream.
    Closed,
    /// The connection to the entry is lost.
    EntryLost,
    /// The batch was refused.
    Refused(Refused),
}

impl From<Refused> for End {
    fn from(refused: Refused) -> Self {
        End::Refused(refused)
    }
}

impl From<Refusal> for End {
    fn from(refusal: Refusal) -> Self {
        End::Refused(refusal.into())
    }
}

impl ServedStream {
    /// Creates the home's end of stream `number` of the entry with incarnation `entry`.
    pub(crate) fn new(
        node: &Arc<Node>,
        entry: Incarnation,
        number: u64,
        incoming: mpsc::Receiver<Body>,
        outgoing: mpsc::Sender<Envelope>,
    ) -> Self {
        node.peers.served_streams.fetch_add(1, Ordering::AcqRel);
        ServedStream {
            node: Arc::clone(node),
            entry,
            number,
            incoming,
            outgoing,
            credit: WINDOW_BYTES,
            early_messages: VecDeque::new(),
            entry_lost: false,
        }
    }

    /// Serves the stream until one side ends it.
    pub(crate) async fn run(mut self, open: stream::Open) {
        let refused = match self.serve(open).await {
            Ok(()) | Err(End::Closed | End::EntryLost) => None,
            Err(End::Refused(refused)) => Some(refused),
        };
        // Fails only if the connection to the entry is lost, and then no answer is needed.
        drop(self.outgoing.send(Envelope::new(close_message(self.number, refused))).await);
    }

    async fn serve(&mut self, open: stream::Open) -> Result<(), End> {
        let request = decode_request(&self.node, open)?;
        let node = Arc::clone(&self.node);
        let mut local = tokio::select! {
            biased;
            local = LocalStream::open(&node, request) => local?,
            end = self.wait_entry_end() => return Err(end),
        };
        loop {
            let batch = match self.receive().await? {
                Body::Batch(batch) => batch,
                _ => continue,
            };
            let id = BatchId { entry: self.entry, stream: self.number, number: batch.number };
            let writes = batch.writes;
            if writes && !self.node.peers.batches.start(id, self.node.clock.now()) {
                return Err(Refusal::HomeUnreachable.into());
            }
            let ended = self.run_batch(&mut local, decode_batch(&self.node, batch)).await;
            if writes {
                self.record_result(id, &ended);
            }
            ended?;
        }
    }

    fn record_result(&self, id: BatchId, ended: &Result<(Option<Bytes>, Ready), End>) {
        let ended = match ended {
            Ok((answer, ready)) => BatchResult::Ready(answer.clone(), *ready),
            Err(End::Refused(refused)) => BatchResult::Refused(*refused),
            // The entry closed the stream and doesn't ask for the result.
            Err(End::Closed) => BatchResult::Refused(Refusal::WriteInterrupted.into()),
            // The connection to the entry was lost before the batch was sent to the server.
            Err(End::EntryLost) => BatchResult::Refused(Refusal::HomeUnreachable.into()),
        };
        self.node.peers.batches.finish(id, ended, self.node.clock.now());
    }

    /// Runs one batch and sends its answer to the entry.
    ///
    /// If the connection to the entry is lost after a write was sent to the server, the write
    /// continues, so that the entry can ask for its outcome.
    async fn run_batch(
        &mut self,
        local: &mut LocalStream,
        batch: Batch,
    ) -> Result<(Option<Bytes>, Ready), End> {
        let (writes, deadline) = (batch.writes, batch.deadline);
        tokio::select! {
            biased;
            sent = local.send(batch) => sent?,
            end = self.wait_entry_end() => return Err(end),
        }
        if self.early_messages.drain(..).any(|body| matches!(body, Body::Interrupt(_))) {
            local.interrupt();
        }
        if writes && let Some(xid) = local.current_write().xid {
            let term = local.current_write().term.get();
            self.send(Body::Noted(stream::Noted { stream: self.number, term, xid })).await;
        }
        let mut stored = StoredAnswer::default();
        loop {
            let event = tokio::select! {
                event = local.next() => event?,
                body = self.incoming.recv(), if !self.entry_lost => {
                    match self.update_state(body) {
                        Err(End::EntryLost) if writes => {}
                        Err(end) => return Err(end),
                        Ok(Body::Interrupt(_)) => local.interrupt(),
                        Ok(_) => {}
                    }
                    continue;
                }
            };
            match event {
                StreamEvent::Answer(part) => {
                    stored.add(&part);
                    self.wait_for_credit(local, writes, deadline).await?;
                    self.credit = self.credit.saturating_sub(part.len());
                    let stream = self.number;
                    self.send(Body::Answer(stream::Answer { stream, messages: part })).await;
                }
                StreamEvent::Ready(ready) => {
                    self.send(Body::Ready(ready.to_message(self.number))).await;
                    return Ok((stored.take(), ready));
                }
            }
        }
    }

    /// Waits until the entry can receive more of the answer.
    async fn wait_for_credit(
        &mut self,
        local: &mut LocalStream,
        writes: bool,
        deadline: Time,
    ) -> Result<(), End> {
        while self.credit == 0 && !self.entry_lost {
            let left = deadline.since(self.node.clock.now());
            let body = timeout(left, self.incoming.recv()).await;
            match body.map(|body| self.update_state(body)) {
                Err(_) if writes => return Err(Refusal::Unconfirmed.into()),
                Err(_) => return Err(Refusal::ReadInterrupted.into()),
                Ok(Err(End::EntryLost)) if writes => {}
                Ok(Err(end)) => return Err(end),
                Ok(Ok(Body::Interrupt(_))) => local.interrupt(),
                Ok(Ok(_)) => {}
            }
        }
        Ok(())
    }

    /// Waits until the entry closes the stream or the connection to it is lost.
    ///
    /// Stores all other messages that arrive meanwhile.
    async fn wait_entry_end(&mut self) -> End {
        loop {
            let body = self.incoming.recv().await;
            match self.update_state(body) {
                Ok(body) => self.early_messages.push_back(body),
                Err(end) => return end,
            }
        }
    }

    async fn receive(&mut self) -> Result<Body, End> {
        if let Some(body) = self.early_messages.pop_front() {
            return Ok(body);
        }
        let body = self.incoming.recv().await;
        self.update_state(body)
    }

    /// Updates the state of the stream with a message and returns the message.
    ///
    /// Fails if the message ends the stream, or if `body` is `None` because the connection
    /// to the entry is lost.
    fn update_state(&mut self, body: Option<Body>) -> Result<Body, End> {
        match body {
            None => {
                self.entry_lost = true;
                Err(End::EntryLost)
            }
            Some(Body::Close(_)) => Err(End::Closed),
            Some(Body::Credit(credit)) => {
                self.credit = (self.credit + credit.bytes as usize).min(WINDOW_BYTES);
                Ok(Body::Credit(credit))
            }
            Some(body) => Ok(body),
        }
    }

    async fn send(&mut self, body: Body) {
        // An entry that lost its connection asks for the outcome on another one.
        if !self.entry_lost {
            drop(self.outgoing.send(Envelope::new(body)).await);
        }
    }
}

impl Drop for ServedStream {
    fn drop(&mut self) {
        self.node.peers.served_streams.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Creates the message that ends a stream.
pub(crate) fn close_message(stream: u64, refused: Option<Refused>) -> Body {
    Body::Close(stream::Close {
        stream,
        refusal: refused.map(|r| r.refusal.row().label.to_owned()).unwrap_or_default(),
        applied: refused.and_then(|r| r.applied).map(encode_position),
    })
}

fn decode_request(node: &Arc<Node>, open: stream::Open) -> Result<OpenRequest, Refusal> {
    let access = open.access();
    let server = ServerId::new(&open.server).map_err(|_| Refusal::HomeUnreachable)?;
    let account = AccountId::new(&open.account).map_err(|_| Refusal::Malformed)?;
    let group = node.homes.group(node, &server).ok_or(Refusal::HomeUnreachable)?;
    Ok(OpenRequest {
        group,
        server,
        account,
        access,
        deadline: node.clock.now() + Duration::from_millis(open.deadline_ms.into()),
        min_position: open.needed.map(decode_position),
        max_age_ms: open.max_age_ms,
        max_wait_ms: open.patience_ms,
    })
}

fn decode_batch(node: &Node, batch: stream::Batch) -> Batch {
    Batch {
        prepares: batch.prepares,
        messages: batch.messages,
        writes: batch.writes,
        deadline: node.clock.now() + Duration::from_millis(batch.deadline_ms.into()),
    }
}
