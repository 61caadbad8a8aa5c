//! Turns: the right to use one of a limited number of connections.
//!
//! `chicoryhollow_core::admission` decides who gets the next turn if load decides what a server
//! gets, and `chicoryhollow_core::waiting` otherwise.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId,
    admission::{self, Activity, Grant, Limits, Request, Scheduler},
    load::Counts,
    waiting::{self, Priority, WaitingList},
};
use tokio::{sync::oneshot, time::timeout};

use crate::clock;

/// Interval at which a waiting request checks whether a new connection is worth its cost by now.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The idle connections for which requests wait.
pub(crate) trait IdleConnections {
    /// Returns how many of them run statements of `account`.
    fn count(&self, account: &AccountId) -> u32;
}

/// A request that waits for its turn.
struct Waker<I: IdleConnections> {
    account: AccountId,
    sender: oneshot::Sender<Turn<I>>,
}

/// Who gets the next turn.
enum Order<W> {
    /// The most urgent request that arrived first.
    Arrival(WaitingList<W>),
    /// The scheduler's choice.
    Load(Box<Scheduler<W>>),
}

/// Identifies a waiting request.
#[derive(Clone, Copy)]
enum Ticket {
    Arrival(waiting::Ticket),
    Load(admission::Ticket),
}

/// What becomes of a request on arrival.
enum Arrival {
    Admitted(Option<Grant>),
    Waiting(Ticket),
    Refused,
}

/// Requests that have or wait for a turn.
pub(crate) struct TurnQueue<I: IdleConnections> {
    order: RefCell<Order<Waker<I>>>,
    idle: Rc<I>,
}

/// The right of one request. Dropping it lets the next request go on.
pub(crate) struct Turn<I: IdleConnections> {
    queue: Rc<TurnQueue<I>>,
    /// What the scheduler granted, if it decides.
    grant: Option<Grant>,
}

impl<I: IdleConnections> Turn<I> {
    /// Records that an idle connection was taken, or that one is being opened.
    pub(crate) fn settle(&mut self) {
        self.update(|scheduler, grant| scheduler.settle(grant));
    }

    /// Records that a connection was opened within `span`.
    pub(crate) fn record_opening(&mut self, span: Duration) {
        self.update(|scheduler, grant| scheduler.record_opening(grant, span));
    }

    /// Records that the server worked for the request for a while.
    pub(crate) fn record_work(&mut self, span: Duration) {
        self.update(|_, grant| grant.record_work(span));
    }

    /// Gives up the slot, because the transaction is idle.
    pub(crate) fn pause(&mut self) {
        self.update(|scheduler, grant| scheduler.pause(grant, clock::now()));
        if self.grant.is_some() {
            self.queue.admit_next();
        }
    }

    /// Takes a slot for a statement of the transaction.
    pub(crate) fn resume(&mut self) {
        self.update(|scheduler, grant| scheduler.resume(grant, clock::now()));
    }

    fn update(&mut self, change: impl FnOnce(&mut Scheduler<Waker<I>>, &mut Grant)) {
        let mut order = self.queue.order.borrow_mut();
        if let (Order::Load(scheduler), Some(grant)) = (&mut *order, &mut self.grant) {
            change(scheduler, grant);
        }
    }
}

impl<I: IdleConnections> Drop for Turn<I> {
    fn drop(&mut self) {
        let now = clock::now();
        match (&mut *self.queue.order.borrow_mut(), self.grant.take()) {
            (Order::Arrival(list), _) => list.release(now),
            (Order::Load(scheduler), Some(grant)) => scheduler.release(grant, now),
            (Order::Load(_), None) => {}
        }
        self.queue.admit_next();
    }
}

/// Gives up the place of a request that no longer waits.
struct Place<'a, I: IdleConnections> {
    queue: &'a TurnQueue<I>,
    ticket: Ticket,
}

impl<I: IdleConnections> Drop for Place<'_, I> {
    fn drop(&mut self) {
        match (&mut *self.queue.order.borrow_mut(), self.ticket) {
            (Order::Arrival(list), Ticket::Arrival(ticket)) => list.cancel(ticket),
            (Order::Load(scheduler), Ticket::Load(ticket)) => scheduler.cancel(ticket),
            _ => {}
        }
    }
}

impl<I: IdleConnections> TurnQueue<I> {
    /// Creates a queue within `limits`, whose turns each use one of the `idle` connections or a
    /// new one. `load_aware` tells whether load decides who is next.
    pub(crate) fn new(limits: Limits, idle: Rc<I>, load_aware: bool) -> Rc<Self> {
        let order = match load_aware {
            true => Order::Load(Box::new(Scheduler::new(limits))),
            false => Order::Arrival(WaitingList::new(limits.connections)),
        };
        Rc::new(TurnQueue { order: RefCell::new(order), idle })
    }

    /// Changes the limits.
    pub(crate) fn set_limits(self: &Rc<Self>, limits: Limits) {
        match &mut *self.order.borrow_mut() {
            Order::Arrival(list) => list.set_limit(limits.connections),
            Order::Load(scheduler) => scheduler.set_limits(limits),
        }
        self.admit_next();
    }

    /// Returns what requests of each priority do now and had refused since the last call; empty
    /// unless load decides.
    pub(crate) fn take_activity(&self) -> BTreeMap<Priority, Activity> {
        match &mut *self.order.borrow_mut() {
            Order::Arrival(_) => BTreeMap::new(),
            Order::Load(scheduler) => scheduler.take_activity(),
        }
    }

    /// Returns whether load decides who is next.
    pub(crate) fn is_load_aware(&self) -> bool {
        matches!(&*self.order.borrow(), Order::Load(_))
    }

    /// Returns the statements that run, or the turns in use unless load decides, and the requests
    /// that wait for one.
    pub(crate) fn counts(&self) -> Counts {
        let (in_use, waiting) = match &*self.order.borrow() {
            Order::Arrival(list) => (list.in_use(), list.waiting()),
            Order::Load(scheduler) => (scheduler.running(), scheduler.waiting()),
        };
        Counts { in_use, waiting: u32::try_from(waiting).unwrap_or(u32::MAX) }
    }

    /// Waits for a turn. Returns `None` if there is none in time, at once if none is
    /// expected in time.
    pub(crate) async fn wait(self: &Rc<Self>, request: Request<'_>) -> Option<Turn<I>> {
        let (sender, receiver) = oneshot::channel();
        match self.arrive(request, sender) {
            Arrival::Admitted(grant) => Some(Turn { queue: Rc::clone(self), grant }),
            Arrival::Refused => None,
            Arrival::Waiting(ticket) => {
                let _place = Place { queue: self, ticket };
                timeout(request.patience, self.receive(receiver)).await.ok()?
            }
        }
    }

    fn arrive(&self, request: Request<'_>, sender: oneshot::Sender<Turn<I>>) -> Arrival {
        let Request { account, priority, patience } = request;
        let waker = || Waker { account: account.clone(), sender };
        let now = clock::now();
        match &mut *self.order.borrow_mut() {
            Order::Arrival(list) => match list.arrive(priority, patience, now, waker) {
                waiting::Arrival::Admitted => Arrival::Admitted(None),
                waiting::Arrival::Waiting(ticket) => Arrival::Waiting(Ticket::Arrival(ticket)),
                waiting::Arrival::Refused(_) => Arrival::Refused,
            },
            Order::Load(scheduler) => {
                let idle = |account: &AccountId| self.idle.count(account);
                match scheduler.arrive(request, now, idle, waker) {
                    admission::Arrival::Admitted(grant) => Arrival::Admitted(Some(grant)),
                    admission::Arrival::Waiting(ticket) => Arrival::Waiting(Ticket::Load(ticket)),
                    admission::Arrival::Refused(_) => Arrival::Refused,
                }
            }
        }
    }

    async fn receive(self: &Rc<Self>, mut receiver: oneshot::Receiver<Turn<I>>) -> Option<Turn<I>> {
        if !self.is_load_aware() {
            return receiver.await.ok();
        }
        loop {
            self.admit_next();
            if let Ok(turn) = timeout(CHECK_INTERVAL, &mut receiver).await {
                return turn.ok();
            }
        }
    }

    /// Gives free turns to the next waiting requests.
    fn admit_next(self: &Rc<Self>) {
        while let Some((waker, grant)) = self.next() {
            // If the request no longer waits, its turn is dropped, which admits another one.
            drop(waker.sender.send(Turn { queue: Rc::clone(self), grant }));
        }
    }

    fn next(&self) -> Option<(Waker<I>, Option<Grant>)> {
        let now = clock::now();
        let idle = |account: &AccountId| self.idle.count(account);
        match &mut *self.order.borrow_mut() {
            Order::Arrival(list) => {
                let waker = list.next_preferring(now, |waker| idle(&waker.account) > 0)?;
                Some((waker, None))
            }
            Order::Load(scheduler) => {
                let (waker, grant) = scheduler.next(now, idle)?;
                Some((waker, Some(grant)))
            }
        }
    }
}
