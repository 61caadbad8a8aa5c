//! Connections to other VMs.
//!
//! A VM dials another one when it first needs it. The dialled connection is a [`Link`], which
//! streams to homes and control messages share. A window limits the bytes of an answer that
//! are in flight on each stream, so that one slow caller doesn't delay the other streams.

mod accept;
mod batches;
mod dispatch;
mod link;
mod remote;
mod serve;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::{Body, Envelope};
use futures_util::{Sink, SinkExt};
use rand::RngExt;
use tokio::{sync::mpsc, time::sleep};

pub(crate) use self::link::hello;
pub use self::{
    accept::listen,
    dispatch::{Reply, SignOfLife},
    link::Link,
    remote::RemoteStream,
};
use self::{batches::Batches, link::LinkState};
use crate::node::Node;

/// Maximum number of bytes of an answer that are in flight on one stream.
const WINDOW_BYTES: usize = 64 << 10;

/// Maximum number of messages that wait to be written to one connection.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Base of the pause before a VM that could not be reached is dialled again, before
/// jitter. Doubled with each failure in a row.
const BASE_REDIAL_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause before a VM that could not be reached is dialled again, before jitter.
const MAX_REDIAL_PAUSE: Duration = Duration::from_secs(1);

/// Time for which the link to a VM that was down must have worked before the VM counts as
/// reachable again.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

/// Interval at which [`Peers::finish`] checks whether all streams have ended.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Links to the VMs with which this one exchanges messages, dialled on first use.
#[derive(Default)]
pub struct Peers {
    links: Mutex<HashMap<VmId, DialledLink>>,
    /// Number of the next stream.
    next_number: AtomicU64,
    batches: Batches,
    /// Number of streams that this VM serves for other VMs.
    served_streams: AtomicUsize,
    /// Whether new streams from other VMs are refused.
    is_closed: AtomicBool,
}

/// The newest link to one VM, with what earlier links have shown about the VM.
struct DialledLink {
    link: Arc<Link>,
    /// Number of links in a row that were never established.
    failures: u32,
    /// Whether the VM was down according to the previous link.
    was_down: bool,
    /// Earliest time to dial the VM again after the link has ended.
    retry_at: Option<Time>,
}

impl Peers {
    /// Returns the number of VMs that this one has dialled.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Creates a set without links.
    pub fn new() -> Self {
        Peers::default()
    }

    /// Returns the link to `vm`, and dials the VM if no link works.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::HomeUnreachable`] if the VM is not listed, or if it may not be
    /// dialled again yet.
    pub fn link(&self, node: &Arc<Node>, vm: &VmId) -> Result<Arc<Link>, Refusal> {
        let mut links = self.lock();
        let (mut failures, mut was_down) = (0, false);
        if let Some(dialled) = links.get_mut(vm) {
            if dialled.link.is_open() {
                return Ok(Arc::clone(&dialled.link));
            }
            dialled.check_redial(node.clock.now())?;
            failures = dialled.failures;
            was_down = dialled.link.state() != LinkState::Lost;
        }
        let listed = node.members.get(vm).ok_or(Refusal::HomeUnreachable)?;
        let link = Link::dial(node, listed);
        let dialled = DialledLink { link: Arc::clone(&link), failures, was_down, retry_at: None };
        links.insert(vm.clone(), dialled);
        Ok(link)
    }

    /// Returns the first of `candidates` that is not known to be down, or the first one if all
    /// are.
    ///
    /// This VM itself counts as reachable. A VM that is down is dialled again meanwhile.
    /// Another VM may choose another candidate. Then two VMs act as home of the same backend
    /// server, which is safe because the server's own limit bounds their connections.
    pub(crate) fn first_reachable(&self, node: &Arc<Node>, candidates: &[VmId]) -> Option<VmId> {
        let reachable =
            candidates.iter().find(|vm| **vm == node.settings.vm || self.is_reachable(node, vm));
        reachable.or(candidates.first()).cloned()
    }

    /// Returns whether a VM counts as reachable.
    ///
    /// The link to a VM that was down must have worked for [`RECOVERY_PERIOD`] first, so that
    /// a flapping VM doesn't become home again each time it returns.
    fn is_reachable(&self, node: &Arc<Node>, vm: &VmId) -> bool {
        let now = node.clock.now();
        let down = self.lock().get(vm).is_some_and(|dialled| dialled.is_down(now));
        if down {
            // Dials the VM if that is due; a later request uses the result.
            drop(self.link(node, vm));
        }
        !down
    }

    /// Sends a control message, which belongs to no stream, to `vm`, and dials the VM if
    /// needed.
    ///
    /// Returns whether the message was queued. The VM's answer is dispatched to the module
    /// that handles this kind of message.
    pub fn send(&self, node: &Arc<Node>, vm: &VmId, body: Body) -> bool {
        self.link(node, vm).is_ok_and(|link| link.try_send_control(body))
    }

    /// Refuses new streams from other VMs and waits until the current ones have ended.
    ///
    /// Must be called only after other VMs know that this one is leaving, because an entry
    /// that doesn't know tries this VM again.
    pub async fn finish(&self) {
        self.is_closed.store(true, Ordering::Release);
        while self.served_streams.load(Ordering::Acquire) > 0 {
            sleep(FINISH_CHECK_INTERVAL).await;
        }
    }

    /// Returns the number of a new stream.
    fn next_stream(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VmId, DialledLink>> {
        self.links.lock().expect("no thread panics with this lock")
    }
}

impl DialledLink {
    fn is_down(&self, now: Time) -> bool {
        match self.link.state() {
            // While dialling, the VM counts as reachable unless it was down before.
            LinkState::Dialling => self.was_down,
            LinkState::Established(since) => self.was_down && now.since(since) < RECOVERY_PERIOD,
            LinkState::Lost => false,
            LinkState::Silent | LinkState::Failed => true,
        }
    }

    /// Checks whether a link that has ended may be replaced now.
    fn check_redial(&mut self, now: Time) -> Result<(), Refusal> {
        let retry_at = match self.retry_at {
            Some(retry_at) => retry_at,
            None => {
                let was_established = self.link.state() != LinkState::Failed;
                self.failures = if was_established { 0 } else { self.failures + 1 };
                let pause = BASE_REDIAL_PAUSE * 2u32.pow(self.failures.min(8));
                let pause =
                    if was_established { Duration::ZERO } else { pause.min(MAX_REDIAL_PAUSE) };
                now + pause.mul_f64(rand::rng().random_range(0.75..1.25))
            }
        };
        self.retry_at = Some(retry_at);
        if now < retry_at { Err(Refusal::HomeUnreachable) } else { Ok(()) }
    }
}

/// Writes queued messages, and flushes once for all messages that are in the queue.
async fn write_queue<S>(
    node: &Node,
    mut sink: S,
    queue: &mut mpsc::Receiver<Envelope>,
) -> Result<(), S::Error>
where
    S: Sink<Envelope> + Unpin,
{
    while let Some(message) = queue.recv().await {
        count_control(node, &message);
        sink.feed(message).await?;
        while let Ok(message) = queue.try_recv() {
            count_control(node, &message);
            sink.feed(message).await?;
        }
        sink.flush().await?;
    }
    Ok(())
}

/// Adds the bytes of a sent or received control message to the metrics.
fn count_control(node: &Node, message: &Envelope) {
    let bytes = u64::try_from(message.control_bytes()).unwrap_or(u64::MAX);
    if bytes > 0 {
        node.metrics.control_bytes.with_label_values(&["peers"]).inc_by(bytes);
    }
}
