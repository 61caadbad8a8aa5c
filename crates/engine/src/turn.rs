//! Turns: the right to use one of a limited number of connections.
//!
//! `chicoryhollow_core::waiting` decides who gets the next turn.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId,
    waiting::{Arrival, Priority, Ticket, WaitingList},
};
use tokio::{sync::oneshot, time::timeout};

use crate::clock;

/// The idle connections for which requests wait.
pub(crate) trait IdleConnections {
    /// Returns whether one of them runs statements of `account`.
    fn has(&self, account: &AccountId) -> bool;
}

/// A request that waits for its turn.
struct Waker<I: IdleConnections> {
    account: AccountId,
    sender: oneshot::Sender<Turn<I>>,
}

/// Requests that have or wait for a turn.
pub(crate) struct TurnQueue<I: IdleConnections> {
    list: RefCell<WaitingList<Waker<I>>>,
    idle: Rc<I>,
}

/// The right of one request. Dropping it lets the next request go on.
pub(crate) struct Turn<I: IdleConnections> {
    queue: Rc<TurnQueue<I>>,
}

impl<I: IdleConnections> Drop for Turn<I> {
    fn drop(&mut self) {
        self.queue.list.borrow_mut().release(clock::now());
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
        self.queue.list.borrow_mut().cancel(self.ticket);
    }
}

impl<I: IdleConnections> TurnQueue<I> {
    /// Creates a queue for `limit` turns at the same time, each of which uses one of the `idle`
    /// connections or a new one.
    pub(crate) fn new(limit: u32, idle: Rc<I>) -> Rc<Self> {
        Rc::new(TurnQueue { list: RefCell::new(WaitingList::new(limit)), idle })
    }

    /// Changes the number of turns.
    pub(crate) fn set_limit(self: &Rc<Self>, limit: u32) {
        self.list.borrow_mut().set_limit(limit);
        self.admit_next();
    }

    /// Waits for a turn. Returns `None` if there is none in time, at once if none is
    /// expected in time.
    pub(crate) async fn wait(
        self: &Rc<Self>,
        account: &AccountId,
        priority: Priority,
        patience: Duration,
    ) -> Option<Turn<I>> {
        let (sender, receiver) = oneshot::channel();
        let waker = || Waker { account: account.clone(), sender };
        let arrival = self.list.borrow_mut().arrive(priority, patience, clock::now(), waker);
        match arrival {
            Arrival::Admitted => Some(Turn { queue: Rc::clone(self) }),
            Arrival::Refused(_) => None,
            Arrival::Waiting(ticket) => {
                let _place = Place { queue: self, ticket };
                timeout(patience, receiver).await.ok()?.ok()
            }
        }
    }

    /// Gives free turns to the next waiting requests.
    fn admit_next(self: &Rc<Self>) {
        loop {
            let is_ready = |waker: &Waker<I>| self.idle.has(&waker.account);
            let next = self.list.borrow_mut().next_preferring(clock::now(), is_ready);
            let Some(waker) = next else { return };
            // If the request no longer waits, its turn is dropped, which admits another one.
            drop(waker.sender.send(Turn { queue: Rc::clone(self) }));
        }
    }
}
