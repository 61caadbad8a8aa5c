//! A home of a server: who gets its connections, and which of them are idle.

use std::time::Duration;

use chicoryhollow_core::{
    AccountId, Time,
    admission::{self, Grant, Limits, Request, Scheduler, home_slots, least_useful},
    waiting::{self, WaitingList},
};

use super::{HOMES, Rules, SLOTS};

/// A waiting operation.
type Waker = (usize, AccountId);

enum Queue {
    List(WaitingList<Waker>),
    Scheduler(Box<Scheduler<Waker>>),
}

/// Identifies a waiting operation.
#[derive(Clone, Copy)]
pub(super) enum Ticket {
    List(waiting::Ticket),
    Scheduler(admission::Ticket),
}

/// What becomes of an operation on arrival.
pub(super) enum Entry {
    Admitted(Option<Grant>),
    Waiting(Ticket),
    Refused,
}

pub(super) struct Home {
    rules: Rules,
    queue: Queue,
    /// Accounts of the idle connections; the one that was idle longest comes first.
    pub(super) idle: Vec<AccountId>,
    pub(super) open: u32,
    limit: u32,
}

impl Home {
    pub(super) fn new(rules: Rules, limit: u32) -> Self {
        let limits = Limits { connections: limit, slots: home_slots(SLOTS as u32, HOMES) };
        let queue = match rules {
            Rules::Admission => Queue::Scheduler(Box::new(Scheduler::new(limits))),
            _ => Queue::List(WaitingList::new(limit)),
        };
        Home { rules, queue, idle: Vec::new(), open: 0, limit }
    }

    pub(super) fn arrive(&mut self, request: Request<'_>, now: Time, index: usize) -> Entry {
        let Request { account, priority, patience } = request;
        let waker = || (index, account.clone());
        match &mut self.queue {
            Queue::List(list) => match list.arrive(priority, patience, now, waker) {
                waiting::Arrival::Admitted => Entry::Admitted(None),
                waiting::Arrival::Refused(_) => Entry::Refused,
                waiting::Arrival::Waiting(ticket) => Entry::Waiting(Ticket::List(ticket)),
            },
            Queue::Scheduler(scheduler) => {
                match scheduler.arrive(request, now, |name| count(&self.idle, name), waker) {
                    admission::Arrival::Admitted(grant) => Entry::Admitted(Some(grant)),
                    admission::Arrival::Refused(_) => Entry::Refused,
                    admission::Arrival::Waiting(ticket) => {
                        Entry::Waiting(Ticket::Scheduler(ticket))
                    }
                }
            }
        }
    }

    /// Returns the next operation that gets a connection.
    pub(super) fn next(&mut self, now: Time) -> Option<(usize, Option<Grant>)> {
        let idle = &self.idle;
        let is_preferred = |waker: &Waker| self.rules != Rules::Arrival && idle.contains(&waker.1);
        match &mut self.queue {
            Queue::List(list) => Some((list.next_preferring(now, is_preferred)?.0, None)),
            Queue::Scheduler(scheduler) => {
                let (waker, grant) = scheduler.next(now, |name| count(idle, name))?;
                Some((waker.0, Some(grant)))
            }
        }
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) {
        match (&mut self.queue, ticket) {
            (Queue::List(list), Ticket::List(ticket)) => list.cancel(ticket),
            (Queue::Scheduler(scheduler), Ticket::Scheduler(ticket)) => scheduler.cancel(ticket),
            _ => unreachable!("the ticket is of this home"),
        }
    }

    /// Takes an idle connection of the account, or counts a new one. Returns whether it is new.
    pub(super) fn connect(&mut self, account: &AccountId, grant: &mut Option<Grant>) -> bool {
        if let (Queue::Scheduler(scheduler), Some(grant)) = (&mut self.queue, grant) {
            scheduler.settle(grant);
        }
        if let Some(found) = self.idle.iter().rposition(|idle| idle == account) {
            self.idle.remove(found);
            return false;
        }
        let closed = match self.rules {
            Rules::Admission => least_useful(self.idle.iter()),
            _ => (!self.idle.is_empty()).then_some(0),
        };
        if let Some(closed) = closed.filter(|_| self.open >= self.limit) {
            self.idle.remove(closed);
            self.open -= 1;
        }
        self.open += 1;
        true
    }

    pub(super) fn record_opening(&mut self, grant: &mut Option<Grant>, span: Duration) {
        if let (Queue::Scheduler(scheduler), Some(grant)) = (&mut self.queue, grant) {
            scheduler.record_opening(grant, span);
        }
    }

    pub(super) fn release(&mut self, grant: Option<Grant>, now: Time) {
        match (&mut self.queue, grant) {
            (Queue::Scheduler(scheduler), Some(grant)) => scheduler.release(grant, now),
            (Queue::List(list), _) => list.release(now),
            _ => unreachable!("an admitted operation has a grant"),
        }
    }
}

fn count(idle: &[AccountId], name: &AccountId) -> u32 {
    idle.iter().filter(|account| *account == name).count() as u32
}
