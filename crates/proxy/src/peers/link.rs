//! One dialled connection to another VM.
//!
//! A [`Link`] starts with the exchange of [`Hello`] messages. While it is used, heartbeats
//! detect that the other VM no longer answers. A link that has ended is not used again;
//! another one is dialled instead.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use chicoryhollow_core::{
    Incarnation, Time,
    pace::{ByteRate, Pace},
};
use chicoryhollow_peer::{
    Body, CodecError, Envelope, EnvelopeCodec,
    member::{Hello, Ping},
};
use chicoryhollow_store::Vm;
use futures_util::{SinkExt, Stream, StreamExt};
use slog::o;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, timeout},
};
use tokio_util::codec::Framed;

use super::{
    MAX_QUEUED_MESSAGES, count_control,
    dispatch::{Peer, Reply, dispatch},
    write_queue,
};
use crate::{events::Event, node::Node};

/// Maximum time to connect and to exchange the first messages.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of heartbeats on a link with streams.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Pace of heartbeats on links that carry only control messages. The interval grows with
/// the number of links.
const IDLE_HEARTBEAT_PACE: Pace = Pace::new(HEARTBEAT_INTERVAL, Duration::from_secs(10))
    .with_cost(HEARTBEAT_BYTES, ByteRate::new(200));

/// Size of a heartbeat and its answer with their frames, in bytes.
const HEARTBEAT_BYTES: u32 = 40;

/// Maximum silence after a heartbeat before the link counts as dead.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkState {
    /// The connection is being established.
    Dialling,
    /// The connection has been established since this time.
    Established(Time),
    /// The connection was established and then closed.
    Lost,
    /// The connection was established, and then the other VM stopped answering.
    Silent,
    /// The connection was never established.
    Failed,
}

/// A dialled connection to another VM.
pub struct Link {
    outgoing: mpsc::Sender<Envelope>,
    streams: Mutex<Streams>,
    /// Incarnation of the daemon at the other end and the time of its first message.
    established: OnceLock<(Incarnation, Time)>,
    /// Whether the link ended because the other VM stopped answering.
    is_silent: AtomicBool,
    /// Whether control messages were sent. If so, heartbeats are sent also without streams,
    /// so that a link that no longer works is replaced.
    has_control: AtomicBool,
}

/// Channels for the messages of streams; `None` after the link has ended.
type Streams = Option<HashMap<u64, mpsc::UnboundedSender<Body>>>;

impl Link {
    /// Starts to dial `vm`. Messages wait until the connection is established.
    pub(crate) fn dial(node: &Arc<Node>, vm: Vm) -> Arc<Self> {
        let (outgoing, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let streams = Mutex::new(Some(HashMap::new()));
        let link = Arc::new(Link {
            outgoing,
            streams,
            established: OnceLock::new(),
            is_silent: AtomicBool::new(false),
            has_control: AtomicBool::new(false),
        });
        tokio::spawn(run(Arc::clone(node), Arc::clone(&link), vm, queue));
        link
    }

    /// Returns whether the connection is established or being established.
    pub(crate) fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }

    /// Returns the state of the link.
    pub(crate) fn state(&self) -> LinkState {
        let since = self.established.get().map(|(_, since)| *since);
        match (self.is_open(), since) {
            (true, None) => LinkState::Dialling,
            (true, Some(since)) => LinkState::Established(since),
            (false, Some(_)) if self.is_silent.load(Ordering::Acquire) => LinkState::Silent,
            (false, Some(_)) => LinkState::Lost,
            (false, None) => LinkState::Failed,
        }
    }

    /// Returns the incarnation of the daemon at the other end, after its first message.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.established.get().map(|(incarnation, _)| *incarnation)
    }

    /// Sends a message, waiting while the queue is full.
    ///
    /// Returns `false` if the link has ended.
    pub async fn send(&self, body: Body) -> bool {
        self.outgoing.send(Envelope::new(body)).await.is_ok()
    }

    /// Queues a control message and returns whether it was queued.
    ///
    /// It is not queued if the queue is full or the link has ended.
    pub fn try_send_control(&self, body: Body) -> bool {
        self.has_control.store(true, Ordering::Relaxed);
        self.try_send_stream(body)
    }

    /// Queues a message of a stream and returns whether it was queued.
    ///
    /// It is not queued if the queue is full or the link has ended. Unlike
    /// [`Link::try_send_control`], this doesn't cause heartbeats on a link without streams.
    pub(crate) fn try_send_stream(&self, body: Body) -> bool {
        self.outgoing.try_send(Envelope::new(body)).is_ok()
    }

    /// Registers a stream and returns the receiver of its messages, which is closed when the
    /// link ends.
    pub(crate) fn register(&self, stream: u64) -> mpsc::UnboundedReceiver<Body> {
        let (sender, receiver) = mpsc::unbounded_channel();
        if let Some(streams) = self.lock().as_mut() {
            streams.insert(stream, sender);
        }
        receiver
    }

    /// Unregisters a stream. Messages that still arrive for it are dropped.
    pub(crate) fn unregister(&self, stream: u64) {
        if let Some(streams) = self.lock().as_mut() {
            streams.remove(&stream);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().expect("no thread panics with this lock")
    }

    /// Returns the silence after which a heartbeat is sent.
    ///
    /// Every received message is a sign of life, so a busy link needs no heartbeats. A link
    /// that carries only control messages can wait longer, and the more links there are, the
    /// longer it waits.
    fn heartbeat_interval(&self, node: &Node) -> Duration {
        let streaming = self.lock().as_ref().is_some_and(|streams| !streams.is_empty());
        match (streaming, self.has_control.load(Ordering::Relaxed)) {
            (true, _) => HEARTBEAT_INTERVAL,
            (false, true) => IDLE_HEARTBEAT_PACE.interval(node.peers.count()),
            (false, false) => Duration::MAX,
        }
    }

    fn receive(&self, node: &Arc<Node>, peer: &Peer, body: Body) {
        let stream = match &body {
            Body::Answer(answer) => answer.stream,
            Body::Ready(ready) => ready.stream,
            Body::Close(close) => close.stream,
            Body::Noted(noted) => noted.stream,
            Body::Finding(finding) => finding.stream,
            Body::Pong(pong) => return peer.record_sign_of_life(node, pong.leaving, pong.version),
            _ => return dispatch(node, peer, body, &Reply::new(self.outgoing.clone())),
        };
        if let Some(sender) = self.lock().as_ref().and_then(|streams| streams.get(&stream)) {
            // Fails only if the stream no longer exists.
            drop(sender.send(body));
        }
    }
}

async fn run(node: Arc<Node>, link: Arc<Link>, vm: Vm, mut queue: mpsc::Receiver<Envelope>) {
    if let Err(error) = exchange(&node, &link, &vm, &mut queue).await {
        let fields = o!("vm" => vm.vm.to_string(), "error" => error.to_string());
        Event::PeerLost.record(&node.log, fields);
    }
    // Closes the channels of the streams, by which they detect the end of the link.
    queue.close();
    *link.lock() = None;
}

async fn exchange(
    node: &Arc<Node>,
    link: &Link,
    vm: &Vm,
    queue: &mut mpsc::Receiver<Envelope>,
) -> Result<(), CodecError> {
    let address = node.settings.dial_address(vm.peers);
    let handshake = async {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let mut framed = Framed::new(socket, EnvelopeCodec::new());
        framed.send(Envelope::new(Body::Hello(hello(node)))).await?;
        let peer = accept_hello(node, framed.next().await.transpose()?)?;
        Ok::<_, CodecError>((framed, peer))
    };
    let (framed, peer) = timeout(CONNECT_TIMEOUT, handshake).await.map_err(io::Error::from)??;
    if peer.vm != vm.vm {
        return Err(io::Error::from(io::ErrorKind::AddrNotAvailable).into());
    }
    link.established.get_or_init(|| (peer.incarnation, node.clock.now()));
    let (sink, source) = framed.split();
    tokio::select! {
        ended = read(node, link, &peer, source) => ended,
        ended = write_queue(node, sink, queue) => ended,
    }
}

/// Reads messages, and checks with heartbeats that the other VM still answers.
async fn read(
    node: &Arc<Node>,
    link: &Link,
    peer: &Peer,
    mut source: impl Stream<Item = Result<Envelope, CodecError>> + Unpin,
) -> Result<(), CodecError> {
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unanswered: Option<Instant> = None;
    let mut last_received = Instant::now();
    let mut number = 0;
    loop {
        tokio::select! {
            message = source.next() => {
                unanswered = None;
                last_received = Instant::now();
                let message = message.ok_or(io::Error::from(io::ErrorKind::ConnectionReset))??;
                count_control(node, &message);
                if let Some(body) = message.body {
                    link.receive(node, peer, body);
                }
            }
            now = heartbeats.tick() => {
                if unanswered.is_some_and(|since| now.duration_since(since) >= LINK_TIMEOUT) {
                    link.is_silent.store(true, Ordering::Release);
                    return Err(io::Error::from(io::ErrorKind::TimedOut).into());
                }
                if now.duration_since(last_received) >= link.heartbeat_interval(node) {
                    unanswered.get_or_insert(now);
                    number += 1;
                    let version = node.configuration().version;
                    let ping = Ping { number, leaving: node.is_draining(), version };
                    // Fails if the queue is full. The queued messages are written as fast as
                    // the peer reads them, and the next tick sends another heartbeat.
                    drop(link.outgoing.try_send(Envelope::new(Body::Ping(ping))));
                }
            }
        }
    }
}

/// Checks the first message of a connection, which must be a [`Hello`].
pub(crate) fn accept_hello(node: &Arc<Node>, first: Option<Envelope>) -> Result<Peer, CodecError> {
    let invalid = || CodecError::from(io::Error::from(io::ErrorKind::InvalidData));
    let Some(Body::Hello(hello)) = first.and_then(|envelope| envelope.body) else {
        return Err(invalid());
    };
    let peer = Peer::new(&hello).ok_or_else(invalid)?;
    peer.record_sign_of_life(node, hello.leaving, hello.version);
    Ok(peer)
}

/// Creates the first message of this daemon to another VM.
pub(crate) fn hello(node: &Node) -> Hello {
    Hello {
        vm: node.settings.vm.to_string(),
        incarnation: node.incarnation.get(),
        data_centre: node.settings.data_centre.to_string(),
        leaving: node.is_draining(),
        version: node.configuration().version,
    }
}
