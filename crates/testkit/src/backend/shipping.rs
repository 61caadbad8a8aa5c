//! The primary's side of log shipping: sends its log to the other members of its
//! group and records their acknowledgements.
//!
//! Every batch is also a heartbeat. The answers show how much of the log each
//! member has and which round of heartbeats it answered.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use chicoryhollow_core::view::TermStart;
use futures_util::{SinkExt, StreamExt};
use pgwire::messages::{Message, startup::Startup};
use serde::{Deserialize, Serialize};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::backend::{
    REPLICATION_ROLE,
    core::{Ack, Core, Role},
    log::Record,
    node::Node,
};

/// Longest time between two batches on a link; an idle primary sends empty ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for connecting to a member, for its answer to [`Hello`] and for
/// sending a batch. A batch may stay unanswered for [`MAX_SHIP_DELAY`] longer than
/// this. If a limit is exceeded, the link is opened again.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a link is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Largest number of records in one message.
const MAX_BATCH_RECORDS: usize = 500;
/// Largest size of a message between servers, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// First message of the primary on a link.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) term: u64,
    pub(crate) history: Vec<TermStart>,
    /// LSN of the newest record in the primary's log.
    pub(crate) end: u64,
    pub(crate) members: Vec<String>,
    pub(crate) version: u64,
}

/// Answer of a member to a [`Hello`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// LSN up to which both logs agree, or none if the member refuses the term.
    pub(crate) common: Option<u64>,
}

/// Records of the primary's log. A batch, even an empty one, is also a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) number: u64,
    pub(crate) records: Vec<Record>,
}

/// Answer of a member to a [`Batch`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Received {
    pub(crate) number: u64,
    pub(crate) lsn: u64,
}

/// A framed connection between two servers.
pub(crate) type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Makes the codec of a [`Link`].
pub(crate) fn link_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Sends one message.
pub(crate) async fn send<T: Serialize>(link: &mut Link, message: &T) -> io::Result<()> {
    let bytes = serde_json::to_vec(message)?;
    link.send(Bytes::from(bytes)).await
}

/// Decodes one message.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a BytesMut) -> io::Result<T> {
    Ok(serde_json::from_slice(bytes)?)
}

/// Receives one message.
async fn receive<T: for<'a> Deserialize<'a>>(link: &mut Link) -> io::Result<T> {
    let bytes = link.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    decode(&bytes)
}

/// Epoch and version of the member list while the server is the primary; none
/// otherwise. The links are opened again when it changes.
type Leadership = Option<(u64, u64)>;

fn leadership(core: &Core) -> Leadership {
    (core.role == Role::Primary).then_some((core.epoch, core.members.version))
}

/// Maintains a link to each other member while the server is the primary.
pub(crate) async fn run(node: Arc<Node>) {
    let mut changes = node.changed.subscribe();
    loop {
        let current = node.with(|core| leadership(core));
        let mut links = JoinSet::new();
        if current.is_some() {
            for (server, address) in node.with(|core| targets(core)) {
                links.spawn(maintain_link(Arc::clone(&node), server, address));
            }
        }
        while node.with(|core| leadership(core)) == current {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

fn targets(core: &Core) -> Vec<(String, SocketAddr)> {
    let others = core.members.list.iter().filter(|server| **server != core.server);
    let with_address = |server: &String| Some((server.clone(), *core.addresses.get(server)?));
    others.filter_map(with_address).collect()
}

async fn maintain_link(node: Arc<Node>, server: String, address: SocketAddr) {
    loop {
        // After any failure a new connection is opened.
        let _ = ship(&node, &server, address).await;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn ship(node: &Node, server: &str, address: SocketAddr) -> io::Result<()> {
    let mut link = timeout(LINK_TIMEOUT, connect(address)).await??;
    let hello = node.with(|core| Hello {
        term: core.term,
        history: core.log.history().to_vec(),
        end: core.log.end(),
        members: core.members.list.clone(),
        version: core.members.version,
    });
    send(&mut link, &hello).await?;
    let welcome: Welcome = timeout(LINK_TIMEOUT, receive(&mut link)).await??;
    let Some(common) = welcome.common else { return Ok(()) };
    let shipper = Shipper {
        node,
        server,
        term: hello.term,
        version: hello.version,
        shipped: common,
        number: 0,
        unanswered: VecDeque::new(),
    };
    shipper.run(link).await
}

async fn connect(address: SocketAddr) -> io::Result<Link> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut startup = Startup::new();
    startup.parameters = BTreeMap::from([("user".to_owned(), REPLICATION_ROLE.to_owned())]);
    let mut bytes = BytesMut::new();
    startup.encode(&mut bytes).map_err(io::Error::other)?;
    stream.write_all(&bytes).await?;
    Ok(Framed::new(stream, link_codec()))
}

/// A batch that the member has not acknowledged yet.
struct Unanswered {
    number: u64,
    round: u64,
    sent: Instant,
}

/// Sends batches over the link to one member and records its answers.
struct Shipper<'a> {
    node: &'a Node,
    server: &'a str,
    term: u64,
    version: u64,
    shipped: u64,
    number: u64,
    unanswered: VecDeque<Unanswered>,
}

impl Shipper<'_> {
    async fn run(mut self, mut link: Link) -> io::Result<()> {
        let mut changes = self.node.changed.subscribe();
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut round = 0;
        loop {
            tokio::select! {
                answer = link.next() => {
                    let bytes = answer.ok_or(io::ErrorKind::UnexpectedEof)??;
                    self.record_received(&decode(&bytes)?);
                }
                _ = changes.changed() => {
                    let newest = self.node.round();
                    if newest > round || self.node.with(|core| core.log.end()) > self.shipped {
                        round = newest;
                        self.send_batch(&mut link).await?;
                    }
                }
                _ = ticks.tick() => {
                    round = self.node.round();
                    self.send_batch(&mut link).await?;
                }
            }
            if self
                .unanswered
                .front()
                .is_some_and(|first| first.sent.elapsed() > self.answer_timeout())
            {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    /// Returns how long a member may take to answer. A member with a shipping delay
    /// answers later.
    fn answer_timeout(&self) -> Duration {
        LINK_TIMEOUT + MAX_SHIP_DELAY
    }

    async fn send_batch(&mut self, link: &mut Link) -> io::Result<()> {
        let sent = Instant::now();
        let round = self.node.round();
        let records =
            self.node.with(|core| core.log.after(self.shipped, MAX_BATCH_RECORDS).to_vec());
        self.shipped += records.len() as u64;
        self.number += 1;
        let batch = Batch { number: self.number, records };
        self.unanswered.push_back(Unanswered { number: self.number, round, sent });
        timeout(LINK_TIMEOUT, send(link, &batch)).await?
    }

    fn record_received(&mut self, received: &Received) {
        while let Some(first) = self.unanswered.front() {
            if first.number > received.number {
                return;
            }
            let ack = Ack {
                lsn: received.lsn,
                round: first.round,
                version: self.version,
                sent: Some(first.sent),
            };
            self.node.update(|core| core.record_ack(self.server, self.term, ack));
            self.unanswered.pop_front();
        }
    }
}

/// Longest shipping delay with which a member's answers still arrive in time.
const MAX_SHIP_DELAY: Duration = Duration::from_secs(60);
