//! A link to another VM.
//!
//! All messages between two VMs pass over one TCP connection: heartbeats,
//! documents, tokens, and the commands of forwarded connections. Heartbeats are sent
//! by [`super::upkeep`], which also ends links over which nothing arrives.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    GroupId, ServerId, Time, VmId,
    gossip::LastSent,
    liveness::Liveness,
    load::SentReport,
    naming::{ReceivedNames, SentNames},
    transfer::Assembly,
};
use chicoryhollow_peer::{Body, Envelope, EnvelopeCodec, fleet::Beat};
use futures_util::{SinkExt, StreamExt, stream::SplitSink};
use slog::o;
use tokio::{
    net::TcpStream,
    sync::{Notify, mpsc},
    time::timeout,
};
use tokio_util::codec::Framed;

use crate::{
    clock,
    connection::{HomeMessage, MessageSender},
    engine::Engine,
    fleet::documents::Outgoing,
    log::Event,
    relay::{DocumentStatus, Kind, Offer},
    seam::{Directory, LinkError, ServerProtocol},
};

/// Time limit for writing messages to a link.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum number of messages that wait to be sent over a link.
const LINK_QUEUE_MESSAGES: usize = 1_024;

/// Silence of a link from which on the other VM may replace it by a new one.
const REPLACEABLE_SILENCE: Duration = Duration::from_millis(750);

/// How a connection to another VM came about.
pub(super) enum Origin {
    /// This VM connected to the other one.
    Dialled,
    /// The other VM connected and sent this heartbeat.
    Accepted(Box<Beat>),
}

/// Place of another VM as seen from this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Place {
    /// Whether it runs in this VM's data centre.
    pub(super) near: bool,
    /// Whether this VM has chosen it as a neighbour.
    pub(super) chosen: bool,
}

/// A link to another VM.
pub(crate) struct Link {
    /// The other VM.
    pub(crate) vm: VmId,
    /// Last report on the load of each server that the other VM was sent.
    pub(crate) sent_reports: RefCell<HashMap<ServerId, SentReport>>,
    sender: mpsc::Sender<Envelope>,
    pub(super) liveness: Cell<Liveness>,
    /// Number of the newest heartbeat received, and when it was received.
    pub(super) last_heartbeat: Cell<(u64, Time)>,
    /// Numbers of the most recent heartbeats sent, and when each was sent.
    pub(super) sent_heartbeats: RefCell<Vec<(u64, Time)>>,
    /// Since when requests of the other VM to a group's primary have failed.
    pub(super) failing: RefCell<HashMap<GroupId, Time>>,
    /// What the other VM was last told about each group.
    pub(super) last_sent: RefCell<HashMap<GroupId, LastSent>>,
    /// Names of groups that the other VM was sent.
    pub(super) sent_names: RefCell<SentNames<GroupId>>,
    /// Names of groups that the other VM has sent.
    pub(super) received_names: RefCell<ReceivedNames<GroupId>>,
    /// Documents of which the other VM was last told that this one holds them.
    pub(super) sent_offer: RefCell<Offer>,
    /// Documents that the other VM holds.
    pub(super) offered: RefCell<Offer>,
    /// How up to date the documents of the other VM are, as it last reported.
    pub(super) documents: Cell<Option<DocumentStatus>>,
    /// Whether this VM has chosen the other one as a neighbour.
    pub(super) chosen: Cell<bool>,
    /// Whether the other VM has chosen this one.
    pub(super) chosen_by: Cell<bool>,
    /// Whether the other VM runs in this one's data centre. It is not known before the row
    /// of the other VM was read.
    pub(super) near: Cell<bool>,
    /// Whether this VM connected to the other one.
    dialled: bool,
    /// Incarnation of the other daemon, or 0 if it is not known yet.
    incarnation: Cell<u64>,
    /// Whether another link to the same VM has replaced this one.
    pub(super) replaced: Cell<bool>,
    /// Ends the link.
    lost: Notify,
    /// Users of the connections forwarded to the other VM, by number.
    forwarded: RefCell<HashMap<u64, mpsc::UnboundedSender<HomeMessage>>>,
    /// Tasks that serve forwarded connections of the other VM, by number.
    pub(super) served: RefCell<HashMap<u64, MessageSender>>,
    /// Number of the last connection that was forwarded to the other VM.
    last_number: Cell<u64>,
    /// Number of the last heartbeat sent.
    heartbeats: Cell<u64>,
    /// Documents that are sent in pieces, the present one first.
    pub(super) outgoing: RefCell<VecDeque<Outgoing>>,
    /// Whether a piece of a document is queued or being written.
    pub(super) piece_queued: Cell<bool>,
    /// Documents that arrive in pieces, by kind.
    pub(super) incoming: RefCell<HashMap<Kind, Assembly>>,
}

impl Link {
    fn new(
        vm: VmId,
        sender: mpsc::Sender<Envelope>,
        place: Place,
        dialled: bool,
        now: Time,
    ) -> Self {
        Link {
            vm,
            sent_reports: RefCell::default(),
            sender,
            liveness: Cell::new(Liveness::new(now)),
            last_heartbeat: Cell::new((0, now)),
            sent_heartbeats: RefCell::default(),
            failing: RefCell::default(),
            last_sent: RefCell::default(),
            sent_names: RefCell::default(),
            received_names: RefCell::default(),
            sent_offer: RefCell::default(),
            offered: RefCell::default(),
            documents: Cell::new(None),
            chosen: Cell::new(place.chosen),
            chosen_by: Cell::new(false),
            near: Cell::new(place.near),
            dialled,
            incarnation: Cell::new(0),
            replaced: Cell::new(false),
            lost: Notify::new(),
            forwarded: RefCell::default(),
            served: RefCell::default(),
            last_number: Cell::new(0),
            heartbeats: Cell::new(0),
            outgoing: RefCell::default(),
            piece_queued: Cell::new(false),
            incoming: RefCell::default(),
        }
    }

    /// Returns whether the VMs exchange what they know of database groups.
    pub(super) fn is_neighbour(&self) -> bool {
        self.chosen.get() || self.chosen_by.get()
    }

    /// Returns whether connections are forwarded over the link in either direction.
    pub(super) fn is_busy(&self) -> bool {
        !self.forwarded.borrow().is_empty() || !self.served.borrow().is_empty()
    }

    /// Returns for how long nothing was received.
    pub(super) fn silence(&self) -> Duration {
        self.liveness.get().silence(clock::now())
    }

    /// Ends the link.
    pub(super) fn end(&self) {
        self.lost.notify_one();
    }

    /// Records the incarnation that the other daemon reported.
    pub(super) fn record_incarnation(&self, incarnation: u64) {
        if incarnation != 0 {
            self.incarnation.set(incarnation);
        }
    }

    /// Records that the link carries work. Returns whether to send a heartbeat at once.
    pub(super) fn record_use(&self) -> bool {
        self.update(|liveness| liveness.record_use(clock::now()))
    }

    /// Updates the liveness of the link.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Liveness) -> T) -> T {
        let mut liveness = self.liveness.get();
        let result = change(&mut liveness);
        self.liveness.set(liveness);
        result
    }

    /// Queues a message; returns false if the link does not accept it. A link
    /// whose queue is full is about to be ended because of its silence.
    pub(crate) fn send(&self, body: Body) -> bool {
        let now = clock::now();
        match &body {
            Body::Beat(beat) if beat.wants_reply => {
                self.update(|liveness| liveness.record_heartbeat(now));
            }
            _ => self.update(|liveness| liveness.record_sent(now)),
        }
        let queued = self.sender.try_send(Envelope::new(body)).is_ok();
        if !queued {
            self.forget_sent();
        }
        queued
    }

    /// Forgets what the other VM was told, because a message to it was dropped.
    fn forget_sent(&self) {
        self.last_sent.take();
        self.sent_names.take();
        self.sent_offer.take();
    }

    /// Returns the number of the next heartbeat.
    pub(super) fn next_heartbeat(&self) -> u64 {
        self.heartbeats.set(self.heartbeats.get() + 1);
        self.heartbeats.get()
    }

    /// Registers the user of a connection forwarded to the other VM and returns
    /// the number of the connection.
    pub(crate) fn register_forwarded(&self, sender: mpsc::UnboundedSender<HomeMessage>) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.forwarded.borrow_mut().insert(number, sender);
        number
    }

    /// Removes a connection that was forwarded to the other VM.
    pub(crate) fn remove_forwarded(&self, number: u64) {
        self.forwarded.borrow_mut().remove(&number);
    }

    /// Removes a connection that this VM served for the other one.
    pub(crate) fn remove_served(&self, number: u64) {
        self.served.borrow_mut().remove(&number);
    }

    pub(super) fn send_to_user(&self, number: u64, message: HomeMessage) {
        if let Some(user) = self.forwarded.borrow().get(&number) {
            // A user that no longer exists has ended the forwarded connection.
            let _ = user.send(message);
        }
    }

    pub(super) fn send_to_task(&self, number: u64, message: Body) {
        if let Some(task) = self.served.borrow().get(&number) {
            // A task that no longer exists has reported the connection as lost.
            let _ = task.send(message);
        }
    }

    /// Returns whether this link is kept rather than replaced by `other`, a new link
    /// between `me` and the same VM.
    ///
    /// When two VMs dial each other at once, both keep the link that was dialled by the
    /// VM with the lesser name.
    fn outlasts(&self, other: &Link, me: &VmId, vm: &VmId) -> bool {
        let known = [self.incarnation.get(), other.incarnation.get()];
        let restarted = known[0] != known[1] && !known.contains(&0);
        let dialler = |link: &Link| if link.dialled { me.clone() } else { vm.clone() };
        !restarted && self.silence() < REPLACEABLE_SILENCE && dialler(self) < dialler(other)
    }

    /// Ends all forwarded connections of the link.
    fn close(&self) {
        self.forwarded.borrow_mut().clear();
        self.served.borrow_mut().clear();
    }
}

/// Exchanges messages with `vm` until the link fails or is ended.
pub(super) async fn run_link<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    vm: VmId,
    mut frames: Framed<TcpStream, EnvelopeCodec>,
    origin: Origin,
) {
    // Without this option, small messages would wait for the acknowledgement of
    // earlier ones.
    if frames.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let (sender, receiver) = mpsc::channel(LINK_QUEUE_MESSAGES);
    let dialled = matches!(origin, Origin::Dialled);
    let place = engine.fleet.place(&vm);
    let link = Rc::new(Link::new(vm.clone(), sender, place, dialled, clock::now()));
    // The other side learns from the first message which VM has connected. The link
    // is registered only afterwards, so that no statement is sent before it.
    let hello = Envelope::new(Body::Beat(engine.heartbeat(&link)));
    engine.count_sent(&link, &hello);
    if !matches!(timeout(WRITE_TIMEOUT, frames.send(hello)).await, Ok(Ok(()))) {
        return;
    }
    if let Origin::Accepted(heartbeat) = &origin {
        link.record_incarnation(heartbeat.incarnation);
    }
    if !register(engine, &vm, &link) {
        return;
    }
    if let Origin::Accepted(heartbeat) = origin {
        engine.handle_message(&vm, &link, Body::Beat(*heartbeat));
    }
    engine.metrics.peers.inc();
    engine.event_log.record(Event::PeerLinked, o!("vm" => vm.to_string()));
    let error = exchange(engine, &vm, &link, frames, receiver).await;
    engine.metrics.peers.dec();
    link.close();
    engine.fleet.remove_link(&vm, &link);
    engine.end_transfers(&vm, &link);
    engine.record_lost_link(&link);
    engine.fleet.refresh_unreachable();
    let silent = link.silence().as_millis() as u64;
    engine.event_log.record(
        Event::PeerLost,
        o!("vm" => vm.to_string(), "error" => error.to_string(), "silent_ms" => silent),
    );
}

/// Registers a link; returns false if another link to the same VM is kept instead.
fn register<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    vm: &VmId,
    link: &Rc<Link>,
) -> bool {
    let mut links = engine.fleet.links.borrow_mut();
    if let Some(present) = links.get(vm) {
        if present.outlasts(link, &engine.settings.vm, vm) {
            return false;
        }
        present.replaced.set(true);
        engine.fleet.replaced.borrow_mut().push(Rc::clone(present));
    }
    links.insert(vm.clone(), Rc::clone(link));
    engine.fleet.missing.borrow_mut().remove(vm);
    true
}

async fn exchange<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    vm: &VmId,
    link: &Rc<Link>,
    frames: Framed<TcpStream, EnvelopeCodec>,
    mut receiver: mpsc::Receiver<Envelope>,
) -> LinkError {
    let (mut sink, mut stream) = frames.split();
    loop {
        let first = tokio::select! {
            message = stream.next() => match message {
                Some(Ok(envelope)) => {
                    engine.fleet.record_received(link, clock::now());
                    if let Some(body) = envelope.body {
                        engine.handle_message(vm, link, body);
                    }
                    continue;
                }
                Some(Err(_)) => return LinkError::Malformed("peer message"),
                None => return LinkError::Closed,
            },
            message = receiver.recv() => match message {
                Some(message) => message,
                None => return LinkError::Closed,
            },
            () = link.lost.notified() => return LinkError::TimedOut,
        };
        match timeout(WRITE_TIMEOUT, write(engine, link, &mut sink, first, &mut receiver)).await {
            Ok(Ok(true)) => engine.record_piece_written(vm, link),
            Ok(Ok(false)) => {}
            Ok(Err(_)) => return LinkError::Closed,
            Err(_) => return LinkError::TimedOut,
        }
    }
}

/// Writes `first` and all messages that wait behind it. Returns whether there was a piece of
/// a document among them.
async fn write<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    link: &Link,
    sink: &mut SplitSink<Framed<TcpStream, EnvelopeCodec>, Envelope>,
    first: Envelope,
    receiver: &mut mpsc::Receiver<Envelope>,
) -> Result<bool, chicoryhollow_peer::CodecError> {
    engine.count_sent(link, &first);
    sink.feed(first).await?;
    while let Ok(next) = receiver.try_recv() {
        engine.count_sent(link, &next);
        sink.feed(next).await?;
    }
    // A piece that is queued during the flush is written by the next call.
    let has_piece = link.piece_queued.get();
    sink.flush().await?;
    Ok(has_piece)
}
