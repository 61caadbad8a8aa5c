//! What a server is known to have applied, from all connections to it.

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

/// Time between two questions to a server that others wait for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Shortest wait, so that the server is asked at least once.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// The newest position that a server reported to have applied.
pub(crate) struct AppliedPosition {
    newest: watch::Sender<Position>,
    waiters: AtomicUsize,
}

impl AppliedPosition {
    /// Makes a state in which nothing is known.
    pub(crate) fn new() -> Self {
        AppliedPosition { newest: watch::Sender::default(), waiters: AtomicUsize::new(0) }
    }

    /// Returns the newest known position.
    pub(crate) fn newest(&self) -> Position {
        *self.newest.borrow()
    }

    /// Records a position that the server reported.
    pub(crate) fn record(&self, position: Position) {
        self.newest.send_if_modified(|newest| {
            let newer = position > *newest;
            *newest = position.max(*newest);
            newer
        });
    }

    /// Records that the server has applied no more than `position`.
    pub(crate) fn reset(&self, position: Position) {
        self.newest.send_replace(position);
    }

    /// Waits until the server has applied `needed`, for `patience` at most.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::TooStale`] with what the server has applied.
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

    /// Asks the server again and again for as long as anybody waits.
    async fn poll(self: Arc<Self>, tracker: Arc<Tracker>) {
        while self.waiters.load(Ordering::Acquire) > 0 {
            if let Ok(row) = tracker.fetch_status().await {
                self.record(parse_position(&row, "applied"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Counts one waiter until it is dropped, as it is with a lost caller.
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

/// Tells whether a server that has applied `applied` shows all that `needed`
/// stands for and that survived.
///
/// A server of an older term may hold a tail that was cut off, so its log
/// position says nothing about a newer term, and with such a tail it shows
/// what never was.
pub(crate) fn satisfies(view: &GroupView, applied: Position, min_position: Position) -> bool {
    view.covers(applied, min_position)
}
