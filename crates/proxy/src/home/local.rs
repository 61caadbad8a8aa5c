//! The end of a stream at the home of a backend server.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::prelude::*;
use tokio::time::timeout;

use super::{Home, control::Control, pool::Lease};
use crate::{
    node::Node,
    stream::{Access, Batch, OpenRequest, Ready, Refused, StreamEvent},
    wire::Frame,
};

/// Bytes of an answer gathered before they are passed on.
const CHUNK_BYTES: usize = 16 << 10;

/// A stream whose home is this VM.
pub struct LocalStream {
    node: Arc<Node>,
    home: Arc<Home>,
    access: Access,
    lease: Option<Lease>,
    deadline: Time,
    idle: bool,
    writes: bool,
    swallow: usize,
    pending: BytesMut,
    ready: Option<u8>,
}

impl LocalStream {
    /// Takes a connection to the requested server.
    ///
    /// # Errors
    ///
    /// Returns the refusal when there is none in time or when the server does
    /// not satisfy the request; nothing has run then.
    pub async fn open(node: &Arc<Node>, request: OpenRequest) -> Result<Self, Refused> {
        let home = node.homes.get(node, &request.server).ok_or(Refusal::HomeUnreachable)?;
        if request.access != Access::Read && !home.is_primary(node) {
            return Err(Refusal::NotPrimary.into());
        }
        if request.access == Access::Barrier {
            barrier(node, &home, request.deadline).await?;
        }
        let mut lease = Lease::new(node, &home, request.deadline).await?;
        if let Some(needed) = request.needed {
            wait_applied(node, &home, &mut lease, needed, request.patience_ms).await?;
        }
        Ok(LocalStream {
            node: Arc::clone(node),
            home,
            access: request.access,
            lease: Some(lease),
            deadline: request.deadline,
            idle: true,
            writes: false,
            swallow: 0,
            pending: BytesMut::new(),
            ready: None,
        })
    }

    /// Sends one batch.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the server breaks off.
    pub async fn send(&mut self, batch: Batch) -> Result<(), Refused> {
        self.deadline = batch.deadline;
        self.writes |= batch.writes;
        let lease = self.lease.as_mut().ok_or(Refusal::ServerUnreachable)?;
        let backend = lease.backend()?;
        let mut bytes = BytesMut::new();
        for prepare in &batch.prepares {
            if backend.note_prepared(&prepare.name) {
                bytes.extend_from_slice(&prepare.parse);
                self.swallow += 1;
            }
        }
        bytes.extend_from_slice(&batch.messages);
        self.idle = false;
        let sent = backend.send(bytes.freeze()).await;
        sent.map_err(|_| self.broken())
    }

    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the answer breaks off or is not confirmed.
    pub async fn next(&mut self) -> Result<StreamEvent, Refused> {
        loop {
            if let Some(status) = self.ready {
                return self.finish(status).await;
            }
            let left = self.deadline.since(self.node.clock.now());
            let lease = self.lease.as_mut().ok_or(Refusal::ServerUnreachable)?;
            let received = timeout(left, lease.backend()?.receive()).await;
            let frame = match received {
                Ok(Ok(frame)) => frame,
                _ => return Err(self.broken()),
            };
            if let Some(chunk) = self.take(&frame) {
                return Ok(StreamEvent::Answer(chunk));
            }
        }
    }

    /// Adds a message to the answer; returns a part that is large enough to be
    /// passed on.
    fn take(&mut self, frame: &Frame) -> Option<Bytes> {
        match frame.tag() {
            b'Z' => self.ready = frame.bytes().last().copied(),
            b'1' if self.swallow > 0 => self.swallow -= 1,
            // Parameters of pooled connections mean nothing to the caller.
            b'S' => {}
            _ => self.pending.extend_from_slice(frame.bytes()),
        }
        let full = self.pending.len() >= CHUNK_BYTES && frame.tag() == b'D';
        full.then(|| self.pending.split().freeze())
    }

    /// Ends the answer: an idle connection first waits for confirmation.
    async fn finish(&mut self, status: u8) -> Result<StreamEvent, Refused> {
        let lease = self.lease.as_mut().ok_or(Refusal::ServerUnreachable)?;
        let position = lease.backend()?.position();
        if status == b'I' {
            self.confirm(position).await?;
        }
        if !self.pending.is_empty() {
            return Ok(StreamEvent::Answer(self.pending.split().freeze()));
        }
        self.ready = None;
        self.idle = status == b'I';
        Ok(StreamEvent::Ready(Ready { status, position }))
    }

    async fn confirm(&mut self, position: Option<Position>) -> Result<(), Refused> {
        let Some(position) = position.filter(|_| self.access != Access::Read || self.writes) else {
            return Ok(());
        };
        self.home.confirmed.wait(&self.node, position, self.deadline).await?;
        Ok(())
    }

    /// Drops the connection and says what that means for the batch.
    fn broken(&mut self) -> Refused {
        self.lease = None;
        let refusal =
            if self.writes { Refusal::WriteInterrupted } else { Refusal::ReadInterrupted };
        refusal.into()
    }

    /// Asks the server to cancel the statement that runs.
    pub async fn interrupt(&mut self) {
        let canceller = self.lease.as_mut().and_then(|lease| lease.backend().ok()?.canceller());
        if let Some(canceller) = canceller {
            // A cancel that fails leaves the statement running, as it may.
            drop(canceller.cancel().await);
        }
    }
}

impl Drop for LocalStream {
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take()
            && self.idle
        {
            lease.give_back();
        }
    }
}

/// Makes sure that the server was still the primary after this call began.
async fn barrier(node: &Arc<Node>, home: &Home, deadline: Time) -> Result<(), Refused> {
    let role = &node.settings.backend;
    let left = deadline.since(node.clock.now());
    let round = async {
        let mut control = Control::connect(home.address, role).await?;
        control.call(&format!("barrier({})", left.as_millis())).await
    };
    match timeout(left, round).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(Refusal::NotPrimary.into()),
    }
}

/// Waits until the server has applied `needed`.
async fn wait_applied(
    node: &Arc<Node>,
    home: &Arc<Home>,
    lease: &mut Lease,
    needed: Position,
    patience_ms: u32,
) -> Result<(), Refused> {
    let until = node.clock.now() + Duration::from_millis(patience_ms.into());
    loop {
        let applied = probe(lease).await?;
        let view = node.groups.view(&home.group);
        if applied.is_some_and(|applied| applied.lsn() >= view.required_lsn(needed)) {
            return Ok(());
        }
        if node.clock.now() >= until {
            return Err(Refused { refusal: Refusal::TooStale, applied });
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Asks the server for its position with an empty statement.
async fn probe(lease: &mut Lease) -> Result<Option<Position>, Refused> {
    let backend = lease.backend()?;
    let empty = pgwire::messages::simplequery::Query::new(String::new());
    let unreachable = |_| Refused::from(Refusal::ServerUnreachable);
    backend.send(crate::wire::encode(&empty)).await.map_err(unreachable)?;
    while backend.receive().await.map_err(unreachable)?.tag() != b'Z' {}
    Ok(backend.position())
}
