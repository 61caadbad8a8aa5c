//! Assigns the slots and connections of one backend server to statements.
//!
//! A *slot* allows one statement to run, and a transaction also needs a connection. If none
//! is free, the statement waits in a queue that is fair between accounts. A transaction
//! keeps its connection, but it holds a slot only while a statement runs.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use chicoryhollow_config::settings::BackendRole;
use chicoryhollow_core::{
    pool::{OpenError, Pool},
    prelude::*,
    queue::{FairQueue, Grant, Limits, MAX_RESUME_WAIT, Popped, StatementKind, Ticket},
};
use tokio::{sync::oneshot, time::timeout};

use super::backend::{Backend, BackendError};
use crate::clock::Clock;

/// Maximum number of statements of one account that wait for one server.
const MAX_ACCOUNT_WAITING: usize = 512;

/// Maximum number of statements of all accounts that wait for one server.
const MAX_TOTAL_WAITING: usize = 4_096;

/// Time without statements after which a VM that is no longer the home closes its idle
/// connections.
const FORMER_HOME_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// SQLSTATE with which a server refuses a connection because it has reached its limit.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Assigns the slots and connections of one server.
pub(crate) struct Scheduler {
    address: SocketAddr,
    role: BackendRole,
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    queue: FairQueue,
    pool: Pool,
    idle: Vec<Backend>,
    /// Waiting statements, each with the channel for its slot.
    waiting: HashMap<Ticket, oneshot::Sender<Assignment>>,
    /// Time at which a slot was last requested.
    last_request: Time,
}

/// Slot assigned to a waiting statement, with a connection if the statement begins a
/// transaction, or the reason why the statement gets none.
type Assignment = Result<(Grant, Option<Backend>), Refusal>;

impl Scheduler {
    /// Creates the scheduler of a server that runs at most `slots` statements at a time, on
    /// at most `connections` connections.
    pub(crate) fn new(
        address: SocketAddr,
        role: BackendRole,
        clock: Clock,
        slots: u32,
        connections: u32,
    ) -> Arc<Self> {
        let state = State {
            queue: FairQueue::new(limits(slots, connections)),
            pool: Pool::new(connections),
            idle: Vec::new(),
            waiting: HashMap::new(),
            last_request: Time::default(),
        };
        Arc::new(Scheduler { address, role, clock, state: Mutex::new(state) })
    }

    /// Waits for a slot and a connection for a new transaction.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no slot and connection are available by `deadline`, if the queue
    /// is full or if the server cannot be reached. Nothing has run then.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        account: &AccountId,
        weight: u32,
        deadline: Time,
    ) -> Result<PooledConnection, Refusal> {
        let (grant, backend) = self.wait(account, weight, StatementKind::Begin, deadline).await?;
        let (scheduler, account) = (Arc::clone(self), account.clone());
        Ok(PooledConnection { scheduler, account, backend, grant: Some(grant) })
    }

    async fn wait(
        self: &Arc<Self>,
        account: &AccountId,
        weight: u32,
        kind: StatementKind,
        deadline: Time,
    ) -> Result<(Grant, Option<Backend>), Refusal> {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.update(|state, now| {
            if kind == StatementKind::Begin && state.pool.is_unreachable() {
                let plan = state.pool.plan(1, now);
                if plan.open == 0 {
                    return Err(Refusal::ServerUnreachable);
                }
                self.spawn_opening(plan.open);
            }
            state.last_request = now;
            let ticket = state.queue.push(account, weight, kind, now, deadline)?;
            state.waiting.insert(ticket.clone(), sender);
            Ok(ticket)
        })?;
        let mut waiter = Waiter { scheduler: self, ticket, receiver };
        if let Ok(assignment) = waiter.receiver.try_recv() {
            return assignment;
        }
        if kind == StatementKind::Resume {
            let left = deadline.since(self.clock.now());
            if let Ok(assignment) = timeout(left.min(MAX_RESUME_WAIT), &mut waiter.receiver).await {
                return assignment.unwrap_or(Err(Refusal::DeadlinePassed));
            }
            // The statement is overdue now and may run in excess of the slots, which may stay
            // in use for much longer.
            self.update(|_, _| ());
        }
        let left = deadline.since(self.clock.now());
        match timeout(left, &mut waiter.receiver).await {
            Ok(Ok(assignment)) => assignment,
            _ => Err(Refusal::DeadlinePassed),
        }
    }

    /// Replaces the limits of the server.
    pub(crate) fn set_limits(self: &Arc<Self>, slots: u32, connections: u32) {
        self.update(|state, _| {
            state.queue.set_limits(limits(slots, connections));
            state.pool.set_limit(connections);
        });
    }

    /// Closes broken and unneeded connections, and opens connections that are needed.
    ///
    /// If another VM is the home (`has_other_home`), all idle connections are closed
    /// [`FORMER_HOME_IDLE_TIMEOUT`] after the last statement.
    pub(crate) fn maintain(self: &Arc<Self>, has_other_home: bool) {
        self.update(|state, now| {
            let draining =
                has_other_home && now.since(state.last_request) >= FORMER_HOME_IDLE_TIMEOUT;
            let before = state.idle.len();
            state.idle.retain(|backend| !backend.is_stale());
            (state.idle.len()..before).for_each(|_| state.pool.record_idle_closed());
            state.pool.set_draining(draining);
        });
    }

    /// Returns the numbers of waiting statements, running statements and open
    /// connections.
    pub(crate) fn counts(&self) -> (usize, u32, u32) {
        let state = self.lock();
        (state.queue.waiting(), state.queue.running(), state.pool.total())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    /// Changes the state, then assigns the slots and connections that became free.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut State, Time) -> T) -> T {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = change(&mut state, now);
        state.assign_free(now);
        let waiting = u32::try_from(state.queue.waiting_begins()).unwrap_or(u32::MAX);
        let plan = state.pool.plan(waiting, now);
        for _ in 0..plan.close {
            // The connection that was idle for the longest time is closed first.
            drop(state.idle.remove(0));
            state.pool.record_idle_closed();
        }
        drop(state);
        self.spawn_opening(plan.open);
        result
    }

    fn spawn_opening(self: &Arc<Self>, count: u32) {
        for _ in 0..count {
            tokio::spawn(Arc::clone(self).open());
        }
    }

    async fn open(self: Arc<Self>) {
        let opened = Backend::connect(self.address, &self.role.user, &self.role).await;
        self.update(|state, now| match opened {
            Ok(backend) => {
                state.pool.record_opened();
                state.idle.push(backend);
            }
            Err(error) => {
                state.pool.record_open_failure(open_error(&error), now, &mut rand::rng());
                if state.pool.is_unreachable() {
                    state.refuse_waiting_begins(Refusal::ServerUnreachable);
                }
            }
        });
    }
}

impl State {
    fn assign_free(&mut self, now: Time) {
        loop {
            self.drop_stale();
            match self.queue.pop(!self.idle.is_empty(), now) {
                Some(Popped::Run(ticket, grant)) => self.assign(&ticket, grant, now),
                // Dropping the sender closes the channel, which wakes the waiter.
                Some(Popped::Expired(ticket)) => drop(self.waiting.remove(&ticket)),
                None => return,
            }
        }
    }

    /// Drops broken connections from the end of the list, from which the next connection is
    /// taken.
    fn drop_stale(&mut self) {
        while self.queue.waiting_begins() > 0 && self.idle.last().is_some_and(Backend::is_stale) {
            self.idle.pop();
            self.pool.record_idle_closed();
        }
    }

    fn assign(&mut self, ticket: &Ticket, grant: Grant, now: Time) {
        let begins = ticket.kind() == StatementKind::Begin;
        let backend = if begins { self.idle.pop() } else { None };
        if backend.is_some() {
            self.pool.record_taken();
        }
        let refused = match self.waiting.remove(ticket) {
            Some(sender) => sender.send(Ok((grant, backend))).err(),
            None => Some(Ok((grant, backend))),
        };
        if let Some(Ok((grant, backend))) = refused {
            self.return_unused(&grant, backend, now);
        }
    }

    /// Frees a slot and a connection that were assigned to a waiter and not used.
    fn return_unused(&mut self, grant: &Grant, backend: Option<Backend>, now: Time) {
        self.queue.finish(grant, now);
        if let Some(backend) = backend {
            self.queue.release_connection(grant.account());
            self.pool.record_returned();
            self.idle.push(backend);
        }
    }

    fn refuse_waiting_begins(&mut self, refusal: Refusal) {
        for ticket in self.queue.take_waiting_begins() {
            if let Some(sender) = self.waiting.remove(&ticket) {
                // Fails only if the waiter no longer exists.
                drop(sender.send(Err(refusal)));
            }
        }
    }
}

fn limits(slots: u32, connections: u32) -> Limits {
    Limits {
        slots: slots.max(1),
        // An account with many open transactions leaves a quarter of the connections to
        // other accounts.
        account_connections: (connections - connections / 4).max(1),
        account_waiting: MAX_ACCOUNT_WAITING,
        total_waiting: MAX_TOTAL_WAITING,
    }
}

fn open_error(error: &BackendError) -> OpenError {
    match error {
        BackendError::Refused(code) if code == TOO_MANY_CONNECTIONS => OpenError::Full,
        _ => OpenError::Unreachable,
    }
}

/// A statement in the queue. Dropping it removes it from the queue.
struct Waiter<'a> {
    scheduler: &'a Arc<Scheduler>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Assignment>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.receiver.is_terminated() {
            return;
        }
        self.scheduler.update(|state, now| {
            state.waiting.remove(&self.ticket);
            if !state.queue.cancel(&self.ticket)
                && let Ok(Ok((grant, backend))) = self.receiver.try_recv()
            {
                state.return_unused(&grant, backend, now);
            }
        });
    }
}

/// A pooled connection that one stream uses, with the slot of the running statement.
pub(crate) struct PooledConnection {
    scheduler: Arc<Scheduler>,
    account: AccountId,
    backend: Option<Backend>,
    grant: Option<Grant>,
}

impl PooledConnection {
    /// Returns the connection to the server.
    pub(crate) fn backend(&mut self) -> Result<&mut Backend, Refusal> {
        self.backend.as_mut().ok_or(Refusal::ServerUnreachable)
    }

    /// Waits for a slot for the next statement of the transaction.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no slot is free by `deadline` or the queue is full. The statement
    /// has not run then.
    pub(crate) async fn acquire_slot(
        &mut self,
        weight: u32,
        deadline: Time,
    ) -> Result<(), Refusal> {
        if self.grant.is_none() {
            let (grant, _) =
                self.scheduler.wait(&self.account, weight, StatementKind::Resume, deadline).await?;
            self.grant = Some(grant);
        }
        Ok(())
    }

    /// Releases the slot and keeps the connection.
    pub(crate) fn release_slot(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.scheduler.update(|state, now| state.queue.finish(&grant, now));
        }
    }

    /// Returns the connection, which must be idle, to the pool and releases the slot.
    ///
    /// The connection is closed instead if unread or unsent bytes are left on it, since
    /// these could reach the next stream.
    pub(crate) fn release(mut self) {
        let Some(backend) = self.backend.take_if(|backend| backend.is_clean()) else { return };
        let grant = self.grant.take();
        self.scheduler.update(|state, now| {
            if let Some(grant) = grant {
                state.queue.finish(&grant, now);
            }
            state.queue.release_connection(&self.account);
            state.pool.record_returned();
            state.idle.push(backend);
        });
    }
}

impl Drop for PooledConnection {
    /// Closes a connection that was not returned to the pool.
    fn drop(&mut self) {
        let Some(backend) = self.backend.take() else { return };
        drop(backend);
        let grant = self.grant.take();
        self.scheduler.update(|state, now| {
            if let Some(grant) = grant {
                state.queue.finish(&grant, now);
            }
            state.queue.release_connection(&self.account);
            state.pool.record_used_closed();
        });
    }
}
