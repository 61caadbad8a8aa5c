//! Positions that a majority of a database group holds, as its primary reports them.
//!
//! Many statements wait for confirmation at the same time. All waiters for confirmed
//! positions share a few queries, and all calls that wait when a barrier starts share that
//! barrier. A few control connections are therefore enough.

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

/// Maximum time for which the server delays the answer to one query, in milliseconds.
const ROUND_MS: u64 = 500;

/// Additional time for a query and its answer to reach the other side, in milliseconds.
const NETWORK_MARGIN_MS: u64 = 1_000;

/// Pause after a query without an answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(30);

/// Maximum number of concurrent queries for confirmed positions.
///
/// With a second query, a position that is requested while the first query runs doesn't
/// have to wait until that query ends.
const MAX_RUNNING_QUERIES: usize = 2;

/// What the primary has reported about the majority of its database group.
pub(crate) struct Tracker {
    address: SocketAddr,
    role: BackendRole,
    clock: Clock,
    state: Mutex<State>,
    /// The newest confirmed position.
    confirmed: watch::Sender<Position>,
    barrier: watch::Sender<FinishedBarrier>,
    /// Number of calls that wait for the confirmed position.
    waiters: AtomicUsize,
}

#[derive(Default)]
struct State {
    queries: ConfirmationQueries,
    barriers: Barriers,
    running_queries: usize,
    barrier_running: bool,
    /// Idle control connections.
    controls: Vec<Control>,
}

/// The newest finished barrier, with its position if a majority answered.
#[derive(Clone, Copy, Default)]
struct FinishedBarrier {
    number: u64,
    position: Option<Position>,
}

impl Tracker {
    /// Creates a tracker of the server at `address` without any known position.
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

    /// Returns whether the majority has not answered for some time.
    pub(crate) fn is_silent(&self) -> bool {
        self.lock().queries.is_majority_silent(self.clock.now())
    }

    /// Returns whether `position` is known to be confirmed.
    pub(crate) fn is_confirmed(&self, position: Position) -> bool {
        covers(*self.confirmed.borrow(), position)
    }

    /// Waits until `position` is confirmed in its own term.
    ///
    /// There is no time limit; the calling code sets one.
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

    /// Waits until the confirmed position changes.
    ///
    /// There is no time limit; the calling code sets one.
    pub(crate) async fn wait_change(self: &Arc<Self>) {
        let _waiter = Waiter::new(&self.waiters);
        drop(self.confirmed.subscribe().changed().await);
    }

    /// Waits until a majority has answered and returns a position that includes everything
    /// that the server had committed when this call began.
    ///
    /// Returns `None` if no majority answered.
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

    /// Fetches the status of the server.
    pub(crate) async fn fetch_status(&self) -> Result<ControlRow, BackendError> {
        self.call("status()".to_owned()).await
    }

    /// Fetches the state of a transaction, as `pg_xact_status` returns it.
    pub(crate) async fn fetch_xact_status(&self, xid: u64) -> Result<String, BackendError> {
        let sql = format!("SELECT pg_xact_status('{xid}')");
        let row = self.with_control(async |control| control.query(sql).await).await?;
        Ok(row.into_iter().next().map(|(_, value)| value).unwrap_or_default())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    /// Registers a waiter for `position` and starts a query if needed.
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
            // Published under the lock, so that an older answer can't replace a newer one.
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

    /// Clears the requested positions if nobody waits any more.
    ///
    /// A waiter increments the count before it registers its position under the lock, so no
    /// position that is waited for is cleared.
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

    /// Runs `operation` on an idle control connection, or on a new one if none is idle.
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

/// Counts one waiter until it is dropped.
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

/// Parses a position from the column `term` and the column with the LSN of a row.
pub(crate) fn parse_position(row: &ControlRow, column: &str) -> Position {
    let number = |name: &str| row.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    Position::new(Term::new(number("term")), Lsn::new(number(column)))
}
