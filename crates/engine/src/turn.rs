//! Turns: the right to use one of a limited number of connections.
//!
//! `chicoryhollow_core::waiting` decides who gets the next turn.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    load::Counts,
    waiting::{Arrival, Priority, Ticket, WaitingList},
};
use tokio::{sync::oneshot, time::timeout};

use crate::clock;

/// Requests that have or wait for a turn.
pub(crate) struct TurnQueue {
    list: RefCell<WaitingList<oneshot::Sender<Turn>>>,
}

/// The right of one request. Dropping it lets the next request go on.
pub(crate) struct Turn {
    queue: Rc<TurnQueue>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.queue.list.borrow_mut().release(clock::now());
        self.queue.admit_next();
    }
}

/// Gives up the place of a request that no longer waits.
struct Place<'a> {
    queue: &'a TurnQueue,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.queue.list.borrow_mut().cancel(self.ticket);
    }
}

impl TurnQueue {
    /// Creates a queue for `limit` turns at the same time.
    pub(crate) fn new(limit: u32) -> Rc<Self> {
        Rc::new(TurnQueue { list: RefCell::new(WaitingList::new(limit)) })
    }

    /// Changes the number of turns.
    pub(crate) fn set_limit(self: &Rc<Self>, limit: u32) {
        self.list.borrow_mut().set_limit(limit);
        self.admit_next();
    }

    /// Returns the turns in use and the requests that wait for one.
    pub(crate) fn counts(&self) -> Counts {
        let list = self.list.borrow();
        Counts { in_use: list.in_use(), waiting: u32::try_from(list.waiting()).unwrap_or(u32::MAX) }
    }

    /// Waits for a turn. Returns `None` if there is none in time, at once if none is
    /// expected in time.
    pub(crate) async fn wait(
        self: &Rc<Self>,
        priority: Priority,
        patience: Duration,
    ) -> Option<Turn> {
        let (sender, receiver) = oneshot::channel();
        let arrival = self.list.borrow_mut().arrive(priority, patience, clock::now(), || sender);
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
            let next = self.list.borrow_mut().next(clock::now());
            let Some(waker) = next else { return };
            // If the request no longer waits, its turn is dropped, which admits another one.
            drop(waker.send(Turn { queue: Rc::clone(self) }));
        }
    }
}
