//! Connections that other VMs dial.

use std::{collections::HashMap, sync::Arc};

use chicoryhollow_peer::{Body, CodecError, Envelope, EnvelopeCodec, member::Pong};
use futures_util::{SinkExt, StreamExt};
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_util::codec::Framed;

use super::{
    dispatch::{Peer, Reply, dispatch},
    link::{hello, introduced},
    serve::serve,
};
use crate::{events::Event, node::Node};

/// Messages that wait to be written to one connection.
const QUEUE_MESSAGES: usize = 1_024;

/// Accepts connections of other VMs for as long as the daemon runs.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        if let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(run(Arc::clone(&node), socket));
        }
    }
}

async fn run(node: Arc<Node>, socket: TcpStream) {
    if let Err(error) = exchange(&node, socket).await {
        Event::PeerLost.record(&node.log, o!("error" => error.to_string()));
    }
}

async fn exchange(node: &Arc<Node>, socket: TcpStream) -> Result<(), CodecError> {
    socket.set_nodelay(true)?;
    let (mut sink, mut source) = Framed::new(socket, EnvelopeCodec::new()).split();
    sink.send(Envelope::new(Body::Hello(hello(node)))).await?;
    let (outgoing, mut queue) = mpsc::channel::<Envelope>(QUEUE_MESSAGES);
    let writer = tokio::spawn(async move {
        while let Some(message) = queue.recv().await {
            sink.feed(message).await?;
            while let Ok(message) = queue.try_recv() {
                sink.feed(message).await?;
            }
            sink.flush().await?;
        }
        Ok::<(), CodecError>(())
    });
    let mut streams = HashMap::new();
    let peer = introduced(node, source.next().await.transpose()?)?;
    while let Some(message) = source.next().await {
        if let Some(body) = message?.body {
            handle(node, &peer, &outgoing, &mut streams, body).await;
        }
    }
    writer.abort();
    Ok(())
}

async fn handle(
    node: &Arc<Node>,
    peer: &Peer,
    outgoing: &mpsc::Sender<Envelope>,
    streams: &mut HashMap<u64, mpsc::UnboundedSender<Body>>,
    body: Body,
) {
    match body {
        Body::Ping(ping) => {
            peer.heard(node, ping.leaving, ping.version);
            let version = node.configuration().version;
            let pong = Pong { number: ping.number, leaving: node.is_draining(), version };
            // A full queue already shows the peer that this VM lives.
            drop(outgoing.try_send(Envelope::new(Body::Pong(pong))));
        }
        Body::Open(open) => {
            streams.retain(|_, sender| !sender.is_closed());
            let (sender, receiver) = mpsc::unbounded_channel();
            streams.insert(open.stream, sender);
            tokio::spawn(serve(Arc::clone(node), open, receiver, outgoing.clone()));
        }
        Body::Batch(batch) => forward(streams, batch.stream, Body::Batch(batch)),
        Body::Interrupt(interrupt) => {
            forward(streams, interrupt.stream, Body::Interrupt(interrupt));
        }
        Body::Credit(credit) => forward(streams, credit.stream, Body::Credit(credit)),
        Body::Close(close) => {
            streams.remove(&close.stream);
        }
        body => dispatch(node, peer, body, &Reply::new(outgoing.clone())),
    }
}

fn forward(streams: &HashMap<u64, mpsc::UnboundedSender<Body>>, stream: u64, body: Body) {
    if let Some(sender) = streams.get(&stream) {
        // A stream that is gone has already told the entry why.
        drop(sender.send(body));
    }
}
