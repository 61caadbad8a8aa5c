//! The newest position that a backend server is known to have applied.
//!
//! The position is learned from all connections to the server. A read that needs a newer
//! position waits for it here, and all such reads share one task that polls the server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use chicoryhollow_core::prelude::*;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use super::tracker::{Tracker, parse_position};
use crate::{node::Node, stream::Refused};

/// Interval at which the server is polled while reads wait for a position.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Minimum wait, long enough to poll the server at least once.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// The newest position that a server has reported as applied.
pub(crate) struct AppliedPosition {
    newest: watch::Sender<Position>,
    waiters: AtomicUsize,
}

impl AppliedPosition {
    /// Creates a state without a known position.
    pub(crate) fn new() -> Self {
        AppliedPosition { newest: watch::Sender::default(), waiters: AtomicUsize::new(0) }
    }

    /// Returns the newest known position.
    pub(crate) fn newest(&self) -> Position {
        *self.newest.borrow()
    }

    /// Records a position that the server reported as applied.
    pub(crate) fn record(&self, position: Position) {
        self.newest.send_if_modified(|newest| {
            let newer = position > *newest;
            *newest = position.max(*newest);
            newer
        });
    }

    /// Replaces the known position by `position`, which may be older.
    pub(crate) fn reset(&self, position: Position) {
        self.newest.send_replace(position);
    }

    /// Waits until the server has applied `min_position`, at most for `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::TooStale`] with the position that the server has applied.
    pub(crate) async fn wait_for(
        self: &Arc<Self>,
        node: &Arc<Node>,
        group: &GroupId,
        tracker: &Arc<Tracker>,
        min_position: Position,
        max_wait: Duration,
    ) -> Result<(), Refused> {
        let reached =
            |newest: &Position| satisfies(&node.groups.view(group), *newest, min_position);
        if reached(&self.newest.borrow()) {
            return Ok(());
        }
        let mut newest = self.newest.subscribe();
        let waiter = Waiter::new(&self.waiters);
        if waiter.is_first {
            tokio::spawn(Arc::clone(self).poll(Arc::clone(tracker)));
        }
        let result = timeout(max_wait.max(MIN_WAIT), newest.wait_for(reached)).await;
        let result = result.is_ok_and(|reached| reached.is_ok());
        drop(waiter);
        let behind = Refused { refusal: Refusal::TooStale, applied: Some(self.newest()) };
        if result { Ok(()) } else { Err(behind) }
    }

    /// Polls the server for as long as a read waits.
    async fn poll(self: Arc<Self>, tracker: Arc<Tracker>) {
        while self.waiters.load(Ordering::Acquire) > 0 {
            if let Ok(row) = tracker.fetch_status().await {
                self.record(parse_position(&row, "applied"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Counts one waiting read until it is dropped, also when its caller disconnects.
struct Waiter<'a> {
    waiters: &'a AtomicUsize,
    is_first: bool,
}

impl<'a> Waiter<'a> {
    fn new(waiters: &'a AtomicUsize) -> Self {
        let is_first = waiters.fetch_add(1, Ordering::AcqRel) == 0;
        Waiter { waiters, is_first }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.waiters.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns whether a server that has applied `applied` shows every write up to
/// `min_position` that was not lost.
///
/// A server of an older term may have applied the end of a log that the newer term
/// discarded. Its position can't be compared with positions of the newer term, and its
/// data may contain writes that were lost.
pub(crate) fn satisfies(view: &GroupView, applied: Position, min_position: Position) -> bool {
    view.covers(applied, min_position)
}
