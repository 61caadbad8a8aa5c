//! Asking a primary what a majority of its group holds.
//!
//! All waiters for confirmed positions share a few questions, and all waiters
//! for a barrier share rounds, on a few control connections.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use chicoryhollow_config::settings::BackendRole;
use chicoryhollow_core::{
    confirm::{Barriers, ConfirmationQueries, covers},
    prelude::*,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use super::control::{BackendError, Control, ControlRow};
use crate::clock::Clock;

/// Longest time for which the server holds one question, in milliseconds.
const ROUND_MS: u64 = 500;

/// Margin for a question to travel, in milliseconds.
const NETWORK_MARGIN_MS: u64 = 1_000;

/// Pause after a question that got no answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(30);

/// Questions for confirmed positions that may be under way at once. The second
/// one lets a position that comes up during the first be asked for at once.
const MAX_RUNNING_QUERIES: usize = 2;

/// What a primary told of its group's majority.
pub(crate) struct Tracker {
    address: SocketAddr,
    role: BackendRole,
    clock: Clock,
    state: Mutex<State>,
    confirmed: watch::Sender<Position>,
    barrier: watch::Sender<FinishedBarrier>,
    waiters: AtomicUsize,
}

#[derive(Default)]
struct State {
    queries: ConfirmationQueries,
    barriers: Barriers,
    running_queries: usize,
    barrier_running: bool,
    controls: Vec<Control>,
}

/// The newest finished barrier and its position, if a majority answered.
#[derive(Clone, Copy, Default)]
struct FinishedBarrier {
    number: u64,
    position: Option<Position>,
}

impl Tracker {
    /// Makes a tracker of the server at `address` that knows nothing yet.
    pub(crate) fn new(address: SocketAddr, role: BackendRole, clock: Clock) -> Self {
        Tracker {
            address,
            role,
            clock,
            state: Mutex::default(),
            confirmed: watch::Sender::default(),
            barrier: watch::Sender::default(),
            waiters: AtomicUsize::new(0),
        }
    }

    /// Returns the server's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether a majority has been silent for a while.
    pub(crate) fn is_silent(&self) -> bool {
        self.lock().queries.is_majority_silent(self.clock.now())
    }

    /// Tells whether `position` is known to be confirmed.
    pub(crate) fn is_confirmed(&self, position: Position) -> bool {
        covers(*self.confirmed.borrow(), position)
    }

    /// Waits until `position` is confirmed under its own term; the caller
    /// bounds the wait.
    pub(crate) async fn wait_confirmed(self: &Arc<Self>, position: Position) {
        if self.is_confirmed(position) {
            return;
        }
        let _waiter = Waiter::new(&self.waiters);
        let mut confirmed = self.confirmed.subscribe();
        self.request_confirmation(position);
        // The sender lives as long as this tracker.
        drop(confirmed.wait_for(|confirmed| covers(*confirmed, position)).await);
    }

    /// Waits until the confirmed position changes; the caller bounds the wait.
    pub(crate) async fn wait_change(self: &Arc<Self>) {
        let _waiter = Waiter::new(&self.waiters);
        drop(self.confirmed.subscribe().changed().await);
    }

    /// Returns a position at or after all that the server had committed when
    /// this call began, after a majority answered; `None` when it did not.
    pub(crate) async fn barrier(self: &Arc<Self>) -> Option<Position> {
        let mut finished = self.barrier.subscribe();
        let number = {
            let mut state = self.lock();
            let number = state.barriers.join();
            if !state.barrier_running {
                state.barrier_running = true;
                tokio::spawn(Arc::clone(self).run_barriers());
            }
            number
        };
        let finished = finished.wait_for(|finished| finished.number >= number).await.ok()?;
        finished.position
    }

    /// Asks for the server's status.
    pub(crate) async fn fetch_status(&self) -> Result<ControlRow, BackendError> {
        self.call("status()".to_owned()).await
    }

    /// Asks for the state of a transaction.
    pub(crate) async fn fetch_xact_status(&self, xid: u64) -> Result<String, BackendError> {
        let sql = format!("SELECT pg_xact_status('{xid}')");
        let row = self.with_control(async |control| control.query(sql).await).await?;
        Ok(row.into_iter().next().map(|(_, value)| value).unwrap_or_default())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    /// Makes sure that somebody asks for `position`.
    fn request_confirmation(self: &Arc<Self>, position: Position) {
        let mut state = self.lock();
        let needs_query = state.queries.add_waiter(position, self.clock.now());
        if needs_query && state.running_queries < MAX_RUNNING_QUERIES {
            state.running_queries += 1;
            tokio::spawn(Arc::clone(self).run_queries());
        }
    }

    fn next_query(&self) -> Option<Position> {
        let mut state = self.lock();
        let query = state.queries.next_query();
        if query.is_none() {
            state.running_queries -= 1;
        }
        query
    }

    async fn run_queries(self: Arc<Self>) {
        while let Some(position) = self.next_query() {
            let function = format!("await_confirmed({}, {ROUND_MS})", position.lsn());
            match self.call(function).await {
                Ok(row) => self.record_answer(position, parse_position(&row, "confirmed")),
                Err(_failed) => self.pause_after_failure().await,
            }
        }
    }

    fn record_answer(&self, queried: Position, confirmed: Position) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.queries.record_answer(queried, confirmed, now) {
            // Published under the lock: of two answers, the later one stays.
            self.confirmed.send_replace(confirmed);
        }
        self.clear_unwanted(&mut state);
    }

    async fn pause_after_failure(&self) {
        sleep(FAILURE_PAUSE).await;
        let mut state = self.lock();
        state.queries.record_failure();
        self.clear_unwanted(&mut state);
    }

    /// Forgets what nobody waits for. A waiter counts itself before it states
    /// under the lock what it wants, so that nothing wanted is forgotten.
    fn clear_unwanted(&self, state: &mut State) {
        if self.waiters.load(Ordering::Acquire) == 0 {
            state.queries.clear_waiters();
        }
    }

    fn next_barrier(&self) -> Option<u64> {
        let mut state = self.lock();
        let number = state.barriers.start();
        state.barrier_running = number.is_some();
        number
    }

    async fn run_barriers(self: Arc<Self>) {
        while let Some(number) = self.next_barrier() {
            let answer = self.call(format!("barrier({ROUND_MS})")).await;
            let position = answer.ok().map(|row| parse_position(&row, "lsn"));
            self.barrier.send_replace(FinishedBarrier { number, position });
        }
    }

    async fn call(&self, function: String) -> Result<ControlRow, BackendError> {
        self.with_control(async |control| control.call(&function).await).await
    }

    /// Uses an idle control connection, or a new one.
    async fn with_control<T, F>(&self, operation: F) -> Result<T, BackendError>
    where
        F: AsyncFnOnce(&mut Control) -> Result<T, BackendError>,
    {
        let idle = self.lock().controls.pop().filter(|control| !control.is_stale());
        let exchange = async {
            let mut control = match idle {
                Some(control) => control,
                None => Control::connect(self.address, &self.role).await?,
            };
            let answer = operation(&mut control).await?;
            Ok((control, answer))
        };
        let (control, answer) = with_timeout(exchange).await?;
        self.lock().controls.push(control);
        Ok(answer)
    }
}

async fn with_timeout<T>(
    exchange: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    let max_wait = Duration::from_millis(ROUND_MS + NETWORK_MARGIN_MS);
    timeout(max_wait, exchange).await.unwrap_or(Err(BackendError::Closed))
}

/// Counts one waiter for as long as it lives.
struct Waiter<'a> {
    waiters: &'a AtomicUsize,
}

impl<'a> Waiter<'a> {
    fn new(waiters: &'a AtomicUsize) -> Self {
        waiters.fetch_add(1, Ordering::AcqRel);
        Waiter { waiters }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.waiters.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Reads a position from the term and another column of a row.
pub(crate) fn parse_position(row: &ControlRow, column: &str) -> Position {
    let number = |name: &str| row.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    Position::new(Term::new(number("term")), Lsn::new(number(column)))
}
