//! A stream whose backend server has its home on another VM.
//!
//! A [`RemoteStream`] is the entry's end of the stream. It sends batches over the link to
//! the home and receives the answers. If the link is lost during a write, it asks the home
//! for the outcome of the write, or the database group if the home is lost too.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::Bytes;
use chicoryhollow_core::{outcome::InterruptedWrite, prelude::*};
use chicoryhollow_peer::{Body, stream};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{WINDOW_BYTES, link::Link};
use crate::{
    home::{Resolved, encode_commit_complete, is_commit, is_single, resolve},
    node::Node,
    stream::{Batch, OpenRequest, Ready, Refused, StreamEvent, decode_position, encode_position},
};

/// Time after a deadline in which the home can still report the outcome of the batch.
const HOME_GRACE: Duration = Duration::from_millis(500);

/// Maximum wait for the answer to one inquiry.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two inquiries.
const INQUIRY_PAUSE: Duration = Duration::from_millis(50);

/// A stream whose home is another VM.
pub struct RemoteStream {
    node: Arc<Node>,
    home: VmId,
    group: GroupId,
    server: ServerId,
    link: Arc<Link>,
    number: u64,
    incoming: mpsc::UnboundedReceiver<Body>,
    deadline: Time,
    /// Number of batches sent so far.
    batches: u32,
    /// Bytes of the answer received since credit was last granted to the home.
    consumed: usize,
    batch: BatchState,
    /// Term and transaction id of the write, if the home has sent them.
    known_write: Option<InterruptedWrite>,
    outbox: VecDeque<StreamEvent>,
}

/// State of the batch that is running.
#[derive(Clone, Debug, Default)]
struct BatchState {
    messages: Bytes,
    sent: bool,
    writes: bool,
    /// Whether a part of the answer was passed on.
    answer_started: bool,
    /// Whether the link was lost during the batch.
    link_lost: bool,
}

impl RemoteStream {
    /// Opens a stream to `home`.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the VM cannot be reached.
    pub async fn open(
        node: &Arc<Node>,
        home: &VmId,
        request: OpenRequest,
    ) -> Result<Self, Refused> {
        let link = node.peers.link(node, home)?;
        let number = node.peers.next_stream();
        let incoming = link.register(number);
        let open = stream::Open {
            stream: number,
            server: request.server.to_string(),
            account: request.account.to_string(),
            access: request.access as i32,
            deadline_ms: remaining_ms(node, request.deadline),
            needed: request.min_position.map(encode_position),
            max_age_ms: request.max_age_ms,
            patience_ms: request.max_wait_ms,
        };
        let stream = RemoteStream {
            node: Arc::clone(node),
            home: home.clone(),
            group: request.group,
            server: request.server,
            link,
            number,
            incoming,
            deadline: request.deadline,
            batches: 0,
            consumed: 0,
            batch: BatchState::default(),
            known_write: None,
            outbox: VecDeque::new(),
        };
        if stream.link.send(Body::Open(open)).await {
            return Ok(stream);
        }
        Err(Refusal::HomeUnreachable.into())
    }

    /// Sends one batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the link is lost before the batch was sent.
    pub async fn send(&mut self, batch: Batch) -> Result<(), Refused> {
        let writes = self.batch.writes || batch.writes;
        let messages = batch.messages.clone();
        self.batch = BatchState { messages, writes, ..BatchState::default() };
        self.deadline = batch.deadline;
        self.batches += 1;
        let body = Body::Batch(stream::Batch {
            stream: self.number,
            prepares: batch.prepares,
            messages: batch.messages,
            writes: batch.writes,
            deadline_ms: remaining_ms(&self.node, batch.deadline),
            number: self.batches,
        });
        if !self.link.send(body).await {
            let first = self.batches == 1;
            let refusal = if first { Refusal::HomeUnreachable } else { Refusal::TransactionEnded };
            return Err(refusal.into());
        }
        self.batch.sent = true;
        Ok(())
    }

    /// Waits for the next part of the answer.
    ///
    /// The returned future is cancel safe: nothing is lost if it is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home, or the refusal of this end if the link is lost and
    /// the batch cannot be recovered.
    pub async fn next(&mut self) -> Result<StreamEvent, Refused> {
        loop {
            if let Some(event) = self.outbox.pop_front() {
                return Ok(event);
            }
            if self.batch.link_lost {
                self.recover().await?;
                continue;
            }
            let left = self.deadline.since(self.node.clock.now()) + HOME_GRACE;
            match timeout(left, self.incoming.recv()).await {
                Ok(Some(body)) => self.handle_message(body)?,
                Ok(None) => self.batch.link_lost = true,
                Err(_) => return Err(self.interrupted_refusal()),
            }
        }
    }

    /// Handles one message from the home.
    fn handle_message(&mut self, body: Body) -> Result<(), Refused> {
        match body {
            Body::Answer(answer) => {
                self.batch.answer_started = true;
                self.grant_credit(answer.messages.len());
                self.outbox.push_back(StreamEvent::Answer(answer.messages));
            }
            Body::Ready(ready) => self.finish_batch(Ready::from_message(&ready)),
            Body::Noted(noted) => {
                let (term, xid) = (Term::new(noted.term), Some(noted.xid));
                self.known_write = Some(InterruptedWrite { term, xid });
            }
            Body::Close(close) => {
                return Err(Refused {
                    refusal: close
                        .refusal
                        .parse()
                        .unwrap_or_else(|_| self.interrupted_refusal().refusal),
                    applied: close.applied.map(decode_position),
                });
            }
            _ => {}
        }
        Ok(())
    }

    fn finish_batch(&mut self, ready: Ready) {
        if ready.is_idle() {
            self.known_write = None;
            self.batch.writes = false;
        }
        self.batch.sent = false;
        self.outbox.push_back(StreamEvent::Ready(ready));
    }

    fn grant_credit(&mut self, bytes: usize) {
        self.consumed += bytes;
        if self.consumed < WINDOW_BYTES / 2 {
            return;
        }
        let bytes = u32::try_from(self.consumed).unwrap_or(u32::MAX);
        if self.link.try_send_stream(Body::Credit(stream::Credit { stream: self.number, bytes })) {
            self.consumed = 0;
        }
    }

    /// Determines the outcome of a batch whose link was lost.
    ///
    /// Asks the home on a new link, and the database group if the home is lost too.
    async fn recover(&mut self) -> Result<(), Refused> {
        if self.link.incarnation().is_none() {
            // The link was never established, so nothing was sent on it.
            return Err(self.not_run_refusal());
        }
        let has_sent_write = self.batch.sent && self.batch.writes;
        let until = self.deadline + HOME_GRACE;
        while has_sent_write && self.node.clock.now() < until {
            match self.query_home().await {
                Some((finding, same_home)) => {
                    if let Some(end) = self.evaluate_finding(finding, same_home) {
                        return end;
                    }
                    if !same_home {
                        return self.resolve(until).await;
                    }
                }
                None if self.known_write.is_some() => return self.resolve(until).await,
                // The home and the primary are both lost. Without a transaction id, no other
                // VM or server can determine the outcome.
                None if self.has_new_primary() => return Err(self.interrupted_refusal()),
                None => {}
            }
            sleep(INQUIRY_PAUSE).await;
        }
        Err(self.interrupted_refusal())
    }

    /// Returns whether another server has become primary.
    fn has_new_primary(&self) -> bool {
        let view = self.node.groups.view(&self.group);
        view.primary.as_ref().is_some_and(|primary| *primary != self.server)
    }

    /// Asks the home for the result of the batch.
    ///
    /// Also returns whether its daemon has the same incarnation as before.
    async fn query_home(&mut self) -> Option<(stream::Finding, bool)> {
        let link = self.node.peers.link(&self.node, &self.home).ok()?;
        let mut incoming = link.register(self.number);
        let inquiry = stream::Inquiry { stream: self.number, number: self.batches };
        let asking = async {
            if !link.send(Body::Inquiry(inquiry)).await {
                return None;
            }
            loop {
                match incoming.recv().await? {
                    Body::Finding(finding) if finding.number == self.batches => {
                        return Some(finding);
                    }
                    _ => {}
                }
            }
        };
        let finding = timeout(INQUIRY_TIMEOUT, asking).await.ok().flatten();
        link.unregister(self.number);
        Some((finding?, link.incarnation() == self.link.incarnation()))
    }

    /// Decides how the batch ended from the answer of the home.
    ///
    /// Returns `None` if the outcome is still unknown.
    fn evaluate_finding(
        &mut self,
        finding: stream::Finding,
        same_home: bool,
    ) -> Option<Result<(), Refused>> {
        match finding.state() {
            stream::BatchState::Running => None,
            stream::BatchState::Refused => {
                let refusal = finding.refusal.parse();
                Some(Err(refusal.unwrap_or(Refusal::WriteInterrupted).into()))
            }
            stream::BatchState::Finished => Some(self.accept_finished(&finding)),
            // A home that has restarted doesn't know its earlier batches and may have run this
            // one.
            stream::BatchState::Unknown if same_home => Some(Err(self.not_run_refusal())),
            stream::BatchState::Unknown => match self.known_write {
                Some(_) => None,
                None => Some(Err(Refusal::WriteInterrupted.into())),
            },
        }
    }

    fn accept_finished(&mut self, finding: &stream::Finding) -> Result<(), Refused> {
        let ready = finding.ready.as_ref().map(Ready::from_message);
        match (ready, &finding.answer) {
            // The loss of the link rolls back a transaction that was still open.
            (Some(ready), _) if !ready.is_idle() => Err(Refusal::TransactionEnded.into()),
            (Some(ready), Some(answer)) if !self.batch.answer_started => {
                self.batch.link_lost = false;
                self.outbox.push_back(StreamEvent::Answer(answer.clone()));
                self.finish_batch(ready);
                Ok(())
            }
            (Some(_), _) => Err(Refusal::WriteCommitted.into()),
            (None, _) => Err(Refusal::WriteInterrupted.into()),
        }
    }

    /// Asks the database group for the outcome of a write whose home is lost.
    async fn resolve(&mut self, until: Time) -> Result<(), Refused> {
        let Some(write) = self.known_write else { return Err(self.interrupted_refusal()) };
        let resolved = resolve(&self.node, &self.group, &self.server, write, until).await;
        let messages = &self.batch.messages;
        match resolved {
            // Of several transactions, only the first one has a known id.
            _ if !is_single(messages) => Err(Refusal::WriteInterrupted.into()),
            Resolved::Committed(position) if is_commit(messages) && !self.batch.answer_started => {
                self.batch.link_lost = false;
                self.outbox.push_back(StreamEvent::Answer(encode_commit_complete()));
                self.finish_batch(Ready { status: b'I', position: Some(position) });
                Ok(())
            }
            Resolved::Committed(_) => Err(Refusal::WriteCommitted.into()),
            Resolved::Lost => Err(Refusal::WriteLost.into()),
            Resolved::Unknown => Err(Refusal::WriteInterrupted.into()),
        }
    }

    /// Asks the home to cancel the running statement.
    pub async fn interrupt(&mut self) {
        let interrupt = stream::Interrupt { stream: self.number };
        self.link.send(Body::Interrupt(interrupt)).await;
    }

    /// Returns the refusal of a batch that did not reach the home.
    fn not_run_refusal(&self) -> Refused {
        let first = self.batches <= 1;
        if first { Refusal::HomeUnreachable.into() } else { Refusal::TransactionEnded.into() }
    }

    fn interrupted_refusal(&self) -> Refused {
        let refusal = match (self.batch.sent, self.batch.writes) {
            (false, _) => Refusal::HomeUnreachable,
            (true, true) => Refusal::WriteInterrupted,
            (true, false) => Refusal::ReadInterrupted,
        };
        refusal.into()
    }
}

impl Drop for RemoteStream {
    fn drop(&mut self) {
        self.link.unregister(self.number);
        let close = stream::Close { stream: self.number, refusal: String::new(), applied: None };
        self.link.try_send_stream(Body::Close(close));
    }
}

fn remaining_ms(node: &Node, deadline: Time) -> u32 {
    let left = deadline.since(node.clock.now());
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
