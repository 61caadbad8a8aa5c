//! One dialled connection to another VM.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use chicoryhollow_peer::{Body, CodecError, Envelope, EnvelopeCodec, member::Hello};
use chicoryhollow_platform::Vm;
use futures_util::{SinkExt, StreamExt};
use slog::o;
use tokio::{net::TcpStream, sync::mpsc, time::timeout};
use tokio_util::codec::Framed;

use super::dispatch::{Peer, Reply, dispatch};
use crate::{events::Event, node::Node};

/// Messages that wait to be written to one link.
const QUEUE_MESSAGES: usize = 1_024;

/// Longest time to connect, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// A dialled connection to another VM.
pub struct Link {
    outgoing: mpsc::Sender<Envelope>,
    streams: Mutex<HashMap<u64, mpsc::UnboundedSender<Body>>>,
}

impl Link {
    /// Starts to dial `vm`; messages wait until the connection stands.
    pub(crate) fn dial(node: &Arc<Node>, vm: Vm) -> Arc<Self> {
        let (outgoing, queue) = mpsc::channel(QUEUE_MESSAGES);
        let link = Arc::new(Link { outgoing, streams: Mutex::default() });
        tokio::spawn(run(Arc::clone(node), Arc::clone(&link), vm, queue));
        link
    }

    /// Tells whether the connection stands or is being made.
    pub(crate) fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }

    /// Sends a message; returns whether the link still takes any.
    pub async fn send(&self, body: Body) -> bool {
        self.outgoing.send(Envelope::new(body)).await.is_ok()
    }

    /// Sends a message unless the queue is full or closed.
    pub fn try_send(&self, body: Body) -> bool {
        self.outgoing.try_send(Envelope::new(body)).is_ok()
    }

    /// Registers a stream and returns the receiver of its messages.
    pub(crate) fn register(&self, stream: u64) -> mpsc::UnboundedReceiver<Body> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().insert(stream, sender);
        receiver
    }

    /// Forgets a stream; messages that still arrive for it are dropped.
    pub(crate) fn forget(&self, stream: u64) {
        self.lock().remove(&stream);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, mpsc::UnboundedSender<Body>>> {
        self.streams.lock().expect("no thread panics with this lock")
    }

    fn receive(&self, node: &Arc<Node>, peer: &Peer, body: Body) {
        let stream = match &body {
            Body::Answer(answer) => answer.stream,
            Body::Ready(ready) => ready.stream,
            Body::Close(close) => close.stream,
            Body::Pong(pong) => return peer.heard(node, pong.leaving, pong.version),
            _ => return dispatch(node, peer, body, &Reply::new(self.outgoing.clone())),
        };
        if let Some(sender) = self.lock().get(&stream) {
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
    link.lock().clear();
}

async fn exchange(
    node: &Arc<Node>,
    link: &Link,
    vm: &Vm,
    queue: &mut mpsc::Receiver<Envelope>,
) -> Result<(), CodecError> {
    let address = node.settings.dial(vm.peers);
    let connecting = timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(address));
    let socket = connecting.await.map_err(std::io::Error::from)??;
    socket.set_nodelay(true)?;
    let (mut sink, mut source) = Framed::new(socket, EnvelopeCodec::new()).split();
    sink.send(Envelope::new(Body::Hello(hello(node)))).await?;
    let peer = introduced(node, source.next().await.transpose()?)?;
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                sink.feed(message).await?;
                while let Ok(message) = queue.try_recv() {
                    sink.feed(message).await?;
                }
                sink.flush().await?;
            }
            message = source.next() => match message {
                Some(message) => {
                    if let Some(body) = message?.body {
                        link.receive(node, &peer, body);
                    }
                }
                None => return Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset).into()),
            },
        }
    }
}

/// Checks the first message of a connection.
pub(crate) fn introduced(node: &Arc<Node>, first: Option<Envelope>) -> Result<Peer, CodecError> {
    let Some(Body::Hello(hello)) = first.and_then(|envelope| envelope.body) else {
        return Err(std::io::Error::from(std::io::ErrorKind::InvalidData).into());
    };
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let peer = Peer::new(&hello).ok_or_else(invalid)?;
    peer.heard(node, hello.leaving, hello.version);
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
