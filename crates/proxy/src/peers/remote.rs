//! The entry's end of a stream to another VM.

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::{Body, stream};
use tokio::{sync::mpsc, time::timeout};

use super::link::Link;
use crate::{
    node::Node,
    stream::{Batch, OpenRequest, Ready, Refused, StreamEvent},
};

/// Time that the home has beyond a deadline to tell of it, in milliseconds.
const GRACE_MS: u64 = 500;

/// A stream whose home is another VM.
pub struct RemoteStream {
    node: Arc<Node>,
    link: Arc<Link>,
    number: u64,
    incoming: mpsc::UnboundedReceiver<Body>,
    deadline: Time,
    sent: bool,
    writes: bool,
}

impl RemoteStream {
    /// Opens a stream to `home`.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the VM cannot be reached.
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
            deadline_ms: left_ms(node, request.deadline),
            needed: request
                .needed
                .map(|p| stream::Position { term: p.term().get(), lsn: p.lsn().get() }),
            max_age_ms: request.max_age_ms,
            patience_ms: request.patience_ms,
        };
        let mut stream = RemoteStream {
            node: Arc::clone(node),
            link,
            number,
            incoming,
            deadline: request.deadline,
            sent: false,
            writes: false,
        };
        stream.post(Body::Open(open)).await?;
        Ok(stream)
    }

    /// Sends one batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the link is lost.
    pub async fn send(&mut self, batch: Batch) -> Result<(), Refused> {
        self.deadline = batch.deadline;
        let body = Body::Batch(stream::Batch {
            stream: self.number,
            prepares: batch.prepares,
            messages: batch.messages,
            writes: batch.writes,
            deadline_ms: left_ms(&self.node, batch.deadline),
        });
        self.post(body).await?;
        self.sent = true;
        self.writes |= batch.writes;
        Ok(())
    }

    async fn post(&mut self, body: Body) -> Result<(), Refused> {
        if self.link.send(body).await {
            return Ok(());
        }
        Err(self.broken())
    }

    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home, or of this end when the link is lost.
    pub async fn next(&mut self) -> Result<StreamEvent, Refused> {
        let left = self.deadline.since(self.node.clock.now()) + Duration::from_millis(GRACE_MS);
        match timeout(left, self.incoming.recv()).await {
            Ok(Some(Body::Answer(answer))) => Ok(StreamEvent::Answer(answer.messages)),
            Ok(Some(Body::Ready(ready))) => Ok(StreamEvent::Ready(Ready {
                status: u8::try_from(ready.status).unwrap_or(b'E'),
                position: ready.position.map(received),
            })),
            Ok(Some(Body::Close(close))) => Err(Refused {
                refusal: close.refusal.parse().unwrap_or_else(|_| self.broken().refusal),
                applied: close.applied.map(received),
            }),
            _ => Err(self.broken()),
        }
    }

    /// Asks the home to cancel the statement that runs.
    pub async fn interrupt(&mut self) {
        let interrupt = stream::Interrupt { stream: self.number };
        self.link.send(Body::Interrupt(interrupt)).await;
    }

    fn broken(&self) -> Refused {
        let refusal = match (self.sent, self.writes) {
            (false, _) => Refusal::HomeUnreachable,
            (true, true) => Refusal::WriteInterrupted,
            (true, false) => Refusal::ReadInterrupted,
        };
        refusal.into()
    }
}

impl Drop for RemoteStream {
    fn drop(&mut self) {
        self.link.forget(self.number);
        let close = stream::Close { stream: self.number, refusal: String::new(), applied: None };
        self.link.try_send(Body::Close(close));
    }
}

fn received(position: stream::Position) -> Position {
    Position::new(Term::new(position.term), Lsn::new(position.lsn))
}

fn left_ms(node: &Node, deadline: Time) -> u32 {
    let left = deadline.since(node.clock.now());
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
