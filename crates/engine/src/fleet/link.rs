//! One link to another VM and what passes over it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{GroupId, Time, VmId};
use chicoryhollow_peer::{Body, Envelope, EnvelopeCodec};
use futures_util::{SinkExt, StreamExt};
use slog::o;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{interval, timeout},
};
use tokio_util::codec::Framed;

use crate::{
    clock,
    engine::Engine,
    loan::{FromHome, Orders},
    log::Event,
    relay::Word,
    seam::{Directory, LinkError, ServerProtocol},
};

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(250);

/// Time without a beat after which a link is dropped.
pub(super) const SILENCE: Duration = Duration::from_millis(1_200);

/// Rounds for one beat on links to VMs that are no neighbours of the same data
/// centre.
const SLOW_BEATS: u64 = 2;

/// Messages that wait for a link.
const QUEUE: usize = 1_024;

/// One link to another VM.
pub(crate) struct Link {
    sender: mpsc::Sender<Envelope>,
    pub(super) heard: Cell<Time>,
    /// Number of the newest beat received, and when.
    pub(super) received: Cell<(u64, Time)>,
    /// When the beats sent lately were sent.
    pub(super) sent: RefCell<Vec<(u64, Time)>>,
    /// For how long each group's primary fails the other VM.
    pub(super) failing: RefCell<HashMap<GroupId, Duration>>,
    /// What the other VM said about its documents.
    pub(super) word: Cell<Option<Word>>,
    /// Whether this VM has chosen the other one as a neighbour.
    pub(super) chosen: Cell<bool>,
    /// Whether the other VM has chosen this one.
    pub(super) chosen_by: Cell<bool>,
    /// Whether the other VM runs in this one's data centre.
    near: bool,
    /// Connections borrowed over this link, by number.
    leases: RefCell<HashMap<u64, mpsc::UnboundedSender<FromHome>>>,
    /// Connections lent over this link, by number.
    pub(super) loans: RefCell<HashMap<u64, Orders>>,
    numbers: Cell<u64>,
    beats: Cell<u64>,
}

impl Link {
    pub(super) fn new(sender: mpsc::Sender<Envelope>, chosen: bool, near: bool, now: Time) -> Self {
        Link {
            sender,
            heard: Cell::new(now),
            received: Cell::new((0, now)),
            sent: RefCell::default(),
            failing: RefCell::default(),
            word: Cell::new(None),
            chosen: Cell::new(chosen),
            chosen_by: Cell::new(false),
            near,
            leases: RefCell::default(),
            loans: RefCell::default(),
            numbers: Cell::new(0),
            beats: Cell::new(0),
        }
    }

    /// Tells whether the VMs tell each other what they believe.
    pub(super) fn is_neighbour(&self) -> bool {
        self.chosen.get() || self.chosen_by.get()
    }

    /// Tells whether a beat is due in this round.
    fn beats_in(&self, round: u64) -> bool {
        (self.near && self.is_neighbour()) || round.is_multiple_of(SLOW_BEATS)
    }

    /// Queues a message; returns whether the link takes it. A link whose queue
    /// is full is about to be dropped for its silence.
    pub(crate) fn send(&self, body: Body) -> bool {
        self.sender.try_send(Envelope::new(body)).is_ok()
    }

    /// Returns the number of the next beat.
    pub(super) fn next_beat(&self) -> u64 {
        self.beats.set(self.beats.get() + 1);
        self.beats.get()
    }

    /// Registers a connection that is to be borrowed and returns its number.
    pub(crate) fn add_lease(&self, sender: mpsc::UnboundedSender<FromHome>) -> u64 {
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        self.leases.borrow_mut().insert(number, sender);
        number
    }

    /// Forgets a connection that was borrowed.
    pub(crate) fn forget_lease(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
    }

    /// Forgets a connection that was lent.
    pub(crate) fn forget_loan(&self, lease: u64) {
        self.loans.borrow_mut().remove(&lease);
    }

    pub(super) fn tell_borrower(&self, lease: u64, message: FromHome) {
        if let Some(borrower) = self.leases.borrow().get(&lease) {
            // A borrower that is gone has ended the lease.
            let _ = borrower.send(message);
        }
    }

    pub(super) fn tell_lender(&self, lease: u64, order: Body) {
        if let Some(lender) = self.loans.borrow().get(&lease) {
            // A lender that is gone has said that the connection was lost.
            let _ = lender.send(order);
        }
    }

    /// Ends everything that was borrowed or lent over the link.
    fn close(&self) {
        self.leases.borrow_mut().clear();
        self.loans.borrow_mut().clear();
    }
}

/// Exchanges messages with `vm` until the link fails or falls silent.
pub(super) async fn link<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    vm: VmId,
    frames: Framed<TcpStream, EnvelopeCodec>,
) {
    // Small messages must not wait for the acknowledgement of earlier ones.
    if frames.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let (sender, receiver) = mpsc::channel(QUEUE);
    let link = Rc::new(engine.fleet.new_link(&vm, sender));
    engine.fleet.links.borrow_mut().insert(vm.clone(), Rc::clone(&link));
    engine.metrics.peers.inc();
    engine.event_log.record(Event::PeerLinked, o!("vm" => vm.to_string()));
    let error = exchange(engine, &vm, &link, frames, receiver).await;
    engine.metrics.peers.dec();
    link.close();
    let mut links = engine.fleet.links.borrow_mut();
    if links.get(&vm).is_some_and(|present| Rc::ptr_eq(present, &link)) {
        links.remove(&vm);
    }
    drop(links);
    engine.fleet.look_for_dark();
    let silent = clock::now().since(link.heard.get()).as_millis() as u64;
    engine.event_log.record(
        Event::PeerLost,
        o!("vm" => vm.to_string(), "error" => error.to_string(), "silent_ms" => silent),
    );
}

async fn exchange<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    vm: &VmId,
    link: &Rc<Link>,
    frames: Framed<TcpStream, EnvelopeCodec>,
    mut receiver: mpsc::Receiver<Envelope>,
) -> LinkError {
    let (mut sink, mut stream) = frames.split();
    let mut ticks = interval(BEAT);
    let mut round = 0_u64;
    loop {
        let outgoing = tokio::select! {
            message = stream.next() => match message {
                Some(Ok(envelope)) => {
                    link.heard.set(clock::now());
                    if let Some(body) = envelope.body {
                        engine.take_message(vm, link, body);
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
            _ = ticks.tick() => {
                if clock::now().since(link.heard.get()) > SILENCE {
                    return LinkError::TimedOut;
                }
                round += 1;
                if !link.beats_in(round) {
                    continue;
                }
                Envelope::new(Body::Beat(engine.beat(link)))
            }
        };
        match timeout(SILENCE, sink.send(outgoing)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return LinkError::Closed,
            Err(_) => return LinkError::TimedOut,
        }
    }
}
