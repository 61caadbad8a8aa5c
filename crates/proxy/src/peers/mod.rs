//! Connections to other VMs.
//!
//! A VM dials another one when it first needs it; the dialled connection is a
//! [`Link`]. Streams to homes and control messages share the link. Each stream
//! has a window, so that a slow caller holds up nobody else.

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

/// Bytes of an answer that may be under way on one stream.
const WINDOW_BYTES: usize = 64 << 10;

/// Messages that wait to be written to one connection.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// First pause before a VM that could not be reached is dialled again.
const BASE_REDIAL_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a VM that could not be reached is dialled again.
const MAX_REDIAL_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a VM that was down must stand before it is tried first again.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

/// Time between two looks at whether all streams have ended.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Links to the VMs that this one talks to, dialled on first use.
#[derive(Default)]
pub struct Peers {
    links: Mutex<HashMap<VmId, DialledLink>>,
    stream_numbers: AtomicU64,
    batches: Batches,
    /// Streams of other VMs that are served here.
    served_streams: AtomicUsize,
    /// Whether new streams of other VMs are refused.
    is_closed: AtomicBool,
}

/// The newest link to one VM.
struct DialledLink {
    link: Arc<Link>,
    /// Links in a row that never stood.
    failures: u32,
    /// Whether the link before this one showed that the VM was down.
    was_down: bool,
    /// Until when the VM is not dialled again, once the link has ended.
    retry_at: Option<Time>,
}

impl Peers {
    /// Returns the number of VMs that this one has dialled.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Makes a set without links.
    pub fn new() -> Self {
        Peers::default()
    }

    /// Returns the link to `vm`, dialling it when there is none that works.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::HomeUnreachable`] when the VM is not listed or could
    /// not be reached a moment ago.
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

    /// Returns the first of `candidates` that is not known to be down, this VM
    /// included; a VM that is down is dialled again meanwhile.
    ///
    /// Another VM may decide otherwise. Then two VMs serve one backend server,
    /// which is safe, since its own limit bounds their connections.
    pub(crate) fn first_reachable(&self, node: &Arc<Node>, candidates: &[VmId]) -> Option<VmId> {
        let reachable =
            candidates.iter().find(|vm| **vm == node.settings.vm || self.is_reachable(node, vm));
        reachable.or(candidates.first()).cloned()
    }

    /// Tells whether a VM may be tried. One that was down must have stood for a
    /// while first, so that a flapping VM does not attract its role each time.
    fn is_reachable(&self, node: &Arc<Node>, vm: &VmId) -> bool {
        let now = node.clock.now();
        let down = self.lock().get(vm).is_some_and(|dialled| dialled.is_down(now));
        if down {
            // Whether this can be dialled yet shows with a later request.
            drop(self.link(node, vm));
        }
        !down
    }

    /// Sends a message that belongs to no stream to `vm`, dialling it when
    /// needed; returns whether the message was queued.
    ///
    /// What the VM answers arrives at the receiver of the module concerned.
    pub fn send(&self, node: &Arc<Node>, vm: &VmId, body: Body) -> bool {
        self.link(node, vm).is_ok_and(|link| link.try_send_control(body))
    }

    /// Stops serving new streams of other VMs and waits for the end of those
    /// under way.
    ///
    /// To be called only once other VMs know that this one leaves, since an
    /// entry that does not know tries it again.
    pub async fn finish(&self) {
        self.is_closed.store(true, Ordering::Release);
        while self.served_streams.load(Ordering::Acquire) > 0 {
            sleep(FINISH_CHECK_INTERVAL).await;
        }
    }

    /// Returns a number for a new stream.
    fn next_stream(&self) -> u64 {
        self.stream_numbers.fetch_add(1, Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VmId, DialledLink>> {
        self.links.lock().expect("no thread panics with this lock")
    }
}

impl DialledLink {
    fn is_down(&self, now: Time) -> bool {
        match self.link.state() {
            // Dialled after a loss or for the first time, it may well stand.
            LinkState::Dialling => self.was_down,
            LinkState::Established(since) => self.was_down && now.since(since) < RECOVERY_PERIOD,
            LinkState::Lost => false,
            LinkState::Silent | LinkState::Failed => true,
        }
    }

    /// Decides whether the ended link may be replaced now.
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

/// Writes queued messages, as many at once as there are.
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

/// Counts the bytes of a control message, in either direction.
fn count_control(node: &Node, message: &Envelope) {
    let bytes = u64::try_from(message.control_bytes()).unwrap_or(u64::MAX);
    if bytes > 0 {
        node.metrics.control_bytes.with_label_values(&["peers"]).inc_by(bytes);
    }
}
