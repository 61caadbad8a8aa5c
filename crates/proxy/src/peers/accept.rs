//! Connections that other VMs dial.
//!
//! Each connection carries the streams that the other VM's entry opens to servers of which
//! this VM is the home, as well as control messages.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use chicoryhollow_core::Refusal;
use chicoryhollow_peer::{
    Body, CodecError, Envelope, EnvelopeCodec,
    codec::MAX_ENVELOPE_BYTES,
    member::{Ping, Pong},
    stream,
};
use futures_util::{SinkExt, Stream, StreamExt};
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{
    MAX_QUEUED_MESSAGES, count_control,
    dispatch::{Peer, Reply, dispatch},
    link::{accept_hello, hello},
    serve::{ServedStream, close_message},
    write_queue,
};
use crate::{events::Event, node::Node};

/// Maximum time until the first message of the other VM arrives.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections whose first message has not arrived.
const MAX_UNKNOWN_PEERS: usize = 64;

/// Maximum size of the first message of another VM, in bytes.
const MAX_HELLO_BYTES: usize = 4 << 10;

/// Silence of an entry with open streams after which its streams are ended, so that their
/// slots and connections become free.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of streams of one connection.
const MAX_STREAMS: usize = 16_384;

/// Maximum number of messages that wait for one stream.
const MAX_STREAM_MESSAGES: usize = 64;

/// Pause after an error in accepting a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections from other VMs for as long as the daemon runs.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    let unknown_peers = Arc::new(Semaphore::new(MAX_UNKNOWN_PEERS));
    loop {
        // The others wait without a descriptor of the process.
        let Ok(permit) = Arc::clone(&unknown_peers).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((socket, _)) => drop(tokio::spawn(run(Arc::clone(&node), socket, permit))),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn run(node: Arc<Node>, socket: TcpStream, permit: OwnedSemaphorePermit) {
    if let Err(error) = exchange(&node, socket, permit).await {
        Event::PeerLost.record(&node.log, o!("error" => error.to_string()));
    }
}

async fn exchange(
    node: &Arc<Node>,
    socket: TcpStream,
    permit: OwnedSemaphorePermit,
) -> Result<(), CodecError> {
    socket.set_nodelay(true)?;
    let mut codec = EnvelopeCodec::new();
    codec.set_limit(MAX_HELLO_BYTES);
    let mut framed = Framed::new(socket, codec);
    framed.send(Envelope::new(Body::Hello(hello(node)))).await?;
    let first = timeout(HELLO_TIMEOUT, framed.next()).await.map_err(io::Error::from)?;
    let peer = accept_hello(node, first.transpose()?)?;
    drop(permit);
    framed.codec_mut().set_limit(MAX_ENVELOPE_BYTES);
    let (sink, source) = framed.split();
    let (outgoing, mut queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let connection = Connection { node: Arc::clone(node), peer, outgoing, streams: HashMap::new() };
    tokio::select! {
        ended = connection.read(source) => ended,
        ended = write_queue(node, sink, &mut queue) => ended,
    }
}

/// One accepted connection.
struct Connection {
    node: Arc<Node>,
    peer: Peer,
    outgoing: mpsc::Sender<Envelope>,
    streams: HashMap<u64, mpsc::Sender<Body>>,
}

impl Connection {
    async fn read(
        mut self,
        mut source: impl Stream<Item = Result<Envelope, CodecError>> + Unpin,
    ) -> Result<(), CodecError> {
        let mut ticks = interval(ENTRY_TIMEOUT / 4);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                biased;
                message = source.next() => {
                    last_received = Instant::now();
                    match message.transpose()? {
                        Some(message) => {
                            count_control(&self.node, &message);
                            message.body.into_iter().for_each(|b| self.handle(b));
                        }
                        None => return Ok(()),
                    }
                }
                now = ticks.tick() => {
                    self.streams.retain(|_, sender| !sender.is_closed());
                    let silent = now.saturating_duration_since(last_received) >= ENTRY_TIMEOUT;
                    if silent && !self.streams.is_empty() {
                        return Err(io::Error::from(io::ErrorKind::TimedOut).into());
                    }
                }
            }
        }
    }

    fn handle(&mut self, body: Body) {
        match body {
            Body::Ping(ping) => self.answer_ping(&ping),
            Body::Pong(pong) => {
                self.peer.record_sign_of_life(&self.node, pong.leaving, pong.version)
            }
            Body::Open(open) => self.open(open),
            Body::Batch(batch) => self.forward(batch.stream, Body::Batch(batch)),
            Body::Interrupt(interrupt) => {
                self.forward(interrupt.stream, Body::Interrupt(interrupt));
            }
            Body::Credit(credit) => self.forward(credit.stream, Body::Credit(credit)),
            Body::Close(close) => {
                self.forward(close.stream, Body::Close(close.clone()));
                self.streams.remove(&close.stream);
            }
            Body::Inquiry(inquiry) => {
                let now = self.node.clock.now();
                let batches = &self.node.peers.batches;
                let finding = batches.query_or_bar(self.peer.incarnation, inquiry, now);
                self.reply(Body::Finding(finding));
            }
            body => dispatch(&self.node, &self.peer, body, &Reply::new(self.outgoing.clone())),
        }
    }

    fn answer_ping(&self, ping: &Ping) {
        self.peer.record_sign_of_life(&self.node, ping.leaving, ping.version);
        let version = self.node.configuration().version;
        let leaving = self.node.is_draining();
        self.reply(Body::Pong(Pong { number: ping.number, leaving, version }));
    }

    fn open(&mut self, open: stream::Open) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams.retain(|_, sender| !sender.is_closed());
        }
        if self.streams.len() >= MAX_STREAMS {
            self.reply(close_message(open.stream, Some(Refusal::QueueFull.into())));
            return;
        }
        if self.node.peers.is_closed.load(Ordering::Acquire) {
            self.reply(close_message(open.stream, Some(Refusal::HomeUnreachable.into())));
            return;
        }
        let (sender, receiver) = mpsc::channel(MAX_STREAM_MESSAGES);
        self.streams.insert(open.stream, sender);
        let entry = self.peer.incarnation;
        let served =
            ServedStream::new(&self.node, entry, open.stream, receiver, self.outgoing.clone());
        tokio::spawn(served.run(open));
    }

    /// Passes a message to its stream.
    ///
    /// If too many messages wait for the stream, the entry has violated the protocol and
    /// the stream is ended.
    fn forward(&mut self, stream: u64, body: Body) {
        let Some(sender) = self.streams.get(&stream) else { return };
        if sender.try_send(body).is_err() {
            self.streams.remove(&stream);
        }
    }

    fn reply(&self, body: Body) {
        // If the queue is full, the messages in it show the peer that this VM is alive, and
        // the peer sends its request again.
        drop(self.outgoing.try_send(Envelope::new(body)));
    }
}
