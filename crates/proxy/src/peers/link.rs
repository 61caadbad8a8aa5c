//! One dialled connection to another VM.

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

/// Longest time to connect and to be introduced.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two heartbeats on a link in use.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Pace of heartbeats on links that carry only control messages.
const IDLE_HEARTBEAT_PACE: Pace = Pace::new(HEARTBEAT_INTERVAL, Duration::from_secs(10))
    .with_cost(HEARTBEAT_BYTES, ByteRate::new(200));

/// Bytes of a heartbeat and its answer, with their frames.
const HEARTBEAT_BYTES: u32 = 40;

/// Silence after a heartbeat at which the link counts as dead.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkState {
    /// It is being made.
    Dialling,
    /// It stands since this time.
    Established(Time),
    /// It stood and was closed.
    Lost,
    /// It stood and fell silent.
    Silent,
    /// It never stood.
    Failed,
}

/// A dialled connection to another VM.
pub struct Link {
    outgoing: mpsc::Sender<Envelope>,
    streams: Mutex<Streams>,
    /// The daemon at the other end, once it introduced itself, and when.
    established: OnceLock<(Incarnation, Time)>,
    is_silent: AtomicBool,
    /// Whether control messages were sent, so that a silent link is replaced.
    has_control: AtomicBool,
}

/// Receivers of the messages of streams; none once the link has ended.
type Streams = Option<HashMap<u64, mpsc::UnboundedSender<Body>>>;

impl Link {
    /// Starts to dial `vm`; messages wait until the connection stands.
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

    /// Tells whether the connection stands or is being made.
    pub(crate) fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }

    /// Returns what became of the link.
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

    /// Returns the daemon at the other end, once it introduced itself.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.established.get().map(|(incarnation, _)| *incarnation)
    }

    /// Sends a message; returns whether the link still takes any.
    pub async fn send(&self, body: Body) -> bool {
        self.outgoing.send(Envelope::new(body)).await.is_ok()
    }

    /// Sends a control message unless the queue is full or closed.
    pub fn try_send_control(&self, body: Body) -> bool {
        self.has_control.store(true, Ordering::Relaxed);
        self.try_send_stream(body)
    }

    /// Sends a message of a stream or a heartbeat unless the queue is full or
    /// closed.
    pub(crate) fn try_send_stream(&self, body: Body) -> bool {
        self.outgoing.try_send(Envelope::new(body)).is_ok()
    }

    /// Registers a stream and returns the receiver of its messages, which ends
    /// with the link.
    pub(crate) fn register(&self, stream: u64) -> mpsc::UnboundedReceiver<Body> {
        let (sender, receiver) = mpsc::unbounded_channel();
        if let Some(streams) = self.lock().as_mut() {
            streams.insert(stream, sender);
        }
        receiver
    }

    /// Forgets a stream; messages that still arrive for it are dropped.
    pub(crate) fn unregister(&self, stream: u64) {
        if let Some(streams) = self.lock().as_mut() {
            streams.remove(&stream);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().expect("no thread panics with this lock")
    }

    /// Returns the silence after which a heartbeat asks for a sign of life.
    ///
    /// Passing messages are signs of life, so that a busy link needs no
    /// heartbeats. A link that carries only control messages can wait, and the
    /// longer the more links there are.
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
            // A receiver that is gone has lost interest in its stream.
            drop(sender.send(body));
        }
    }
}

async fn run(node: Arc<Node>, link: Arc<Link>, vm: Vm, mut queue: mpsc::Receiver<Envelope>) {
    if let Err(error) = exchange(&node, &link, &vm, &mut queue).await {
        let fields = o!("vm" => vm.vm.to_string(), "error" => error.to_string());
        Event::PeerLost.record(&node.log, fields);
    }
    // Streams notice the end of the link by the end of their channel.
    queue.close();
    *link.lock() = None;
}

async fn exchange(
    node: &Arc<Node>,
    link: &Link,
    vm: &Vm,
    queue: &mut mpsc::Receiver<Envelope>,
) -> Result<(), CodecError> {
    let address = node.settings.dial(vm.peers);
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

/// Reads messages and watches over the link with heartbeats while it is used.
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
                    // A full queue is written to the peer as fast as it reads.
                    drop(link.outgoing.try_send(Envelope::new(Body::Ping(ping))));
                }
            }
        }
    }
}

/// Checks the first message of a connection.
pub(crate) fn accept_hello(node: &Arc<Node>, first: Option<Envelope>) -> Result<Peer, CodecError> {
    let invalid = || CodecError::from(io::Error::from(io::ErrorKind::InvalidData));
    let Some(Body::Hello(hello)) = first.and_then(|envelope| envelope.body) else {
        return Err(invalid());
    };
    let peer = Peer::new(&hello).ok_or_else(invalid)?;
    peer.record_sign_of_life(node, hello.leaving, hello.version);
    Ok(peer)
}

/// Introduces this daemon to another VM.
pub(crate) fn hello(node: &Node) -> Hello {
    Hello {
        vm: node.settings.vm.to_string(),
        incarnation: node.incarnation.get(),
        data_centre: node.settings.data_centre.to_string(),
        leaving: node.is_draining(),
        version: node.configuration().version,
    }
}
