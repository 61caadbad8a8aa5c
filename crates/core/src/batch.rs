//! Statuses of the batches that a home received from other VMs.
//!
//! The *entry* is the VM that the caller is connected to; it sends batches to the
//! home of a backend server. An entry that loses its connection to the home asks
//! afterwards what became of its batches. A batch that has not arrived by then is
//! *barred*: it is refused if it arrives later. Unless the home has restarted,
//! the entry reports a barred batch as not run, which would be wrong if the batch ran
//! later.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use crate::{id::Incarnation, time::Time};

/// Time for which the status of a finished or barred batch is kept.
const STATUS_RETENTION: Duration = Duration::from_secs(15);

/// Maximum number of finished and barred batches that are kept.
const MAX_KEPT_BATCHES: usize = 65_536;

/// Globally unique identifier of a batch.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BatchId {
    /// Incarnation of the daemon that sent the batch.
    pub entry: Incarnation,
    /// Number of the stream, unique within the incarnation.
    pub stream: u64,
    /// Number of the batch within the stream.
    pub number: u32,
}

/// Status of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchStatus<T> {
    /// The batch has not arrived and will be refused if it arrives later.
    Barred,
    /// The batch is running.
    Running,
    /// The batch has ended with this result.
    Finished(T),
}

/// Statuses of batches that are running, finished recently or are barred.
#[derive(Clone, Debug)]
pub struct BatchRegistry<T> {
    batches: IndexMap<BatchId, BatchStatus<T>>,
    expiry: VecDeque<(Time, BatchId)>,
}

impl<T: Clone> BatchRegistry<T> {
    /// Creates an empty registry.
    pub fn new() -> Self {
        BatchRegistry { batches: IndexMap::new(), expiry: VecDeque::new() }
    }

    /// Records that a batch arrived.
    ///
    /// Returns whether it may run.
    pub fn start(&mut self, id: BatchId, now: Time) -> bool {
        self.expire(now);
        if self.batches.contains_key(&id) {
            return false;
        }
        self.batches.insert(id, BatchStatus::Running);
        true
    }

    /// Records the result of a batch that ended.
    pub fn finish(&mut self, id: BatchId, result: T, now: Time) {
        self.batches.insert(id, BatchStatus::Finished(result));
        self.expiry.push_back((now + STATUS_RETENTION, id));
        self.expire(now);
    }

    /// Returns the status of a batch, and bars the batch if it has not arrived.
    pub fn query_or_bar(&mut self, id: BatchId, now: Time) -> BatchStatus<T> {
        self.expire(now);
        if !self.batches.contains_key(&id) {
            self.expiry.push_back((now + STATUS_RETENTION, id));
        }
        self.batches.entry(id).or_insert(BatchStatus::Barred).clone()
    }

    fn expire(&mut self, now: Time) {
        while let Some((until, id)) = self.expiry.front().copied() {
            if until > now && self.expiry.len() <= MAX_KEPT_BATCHES {
                return;
            }
            self.expiry.pop_front();
            self.batches.swap_remove(&id);
        }
    }
}

impl<T: Clone> Default for BatchRegistry<T> {
    fn default() -> Self {
        BatchRegistry::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(number: u32) -> BatchId {
        BatchId { entry: Incarnation::new(7), stream: 1, number }
    }

    #[test]
    fn a_batch_queried_before_it_arrived_never_runs() {
        let now = Time::from_millis(0);
        let mut registry = BatchRegistry::<u8>::new();
        assert_eq!(registry.query_or_bar(id(1), now), BatchStatus::Barred);
        assert!(!registry.start(id(1), now));
        assert!(registry.start(id(2), now));
        assert!(!registry.start(id(2), now), "a batch runs once");
        assert_eq!(registry.query_or_bar(id(2), now), BatchStatus::Running);
        registry.finish(id(2), 5, now);
        assert_eq!(registry.query_or_bar(id(2), now), BatchStatus::Finished(5));
    }

    #[test]
    fn finished_batches_are_removed_after_the_retention_time() {
        let mut registry = BatchRegistry::<u8>::new();
        for number in 0..100 {
            let now = Time::from_millis(u64::from(number) * 1_000);
            assert!(registry.start(id(number), now));
            registry.finish(id(number), 0, now);
        }
        assert!(registry.batches.len() <= 16 && registry.expiry.len() <= 16);
    }
}
