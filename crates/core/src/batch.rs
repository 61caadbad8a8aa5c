//! What a home remembers of batches, for entries that lost their connection.
//!
//! A batch is named by the entry's incarnation, the stream and its number on
//! the stream. Once an entry has asked for a batch that did not arrive, the
//! batch is refused should it arrive later.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use crate::{id::Incarnation, time::Time};

/// Time for which a finished batch is remembered.
const RETENTION: Duration = Duration::from_secs(15);

/// Most batches remembered.
const MAX_BATCHES: usize = 65_536;

/// Name of a batch that no other batch ever has.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BatchId {
    /// Run of the entry's daemon.
    pub entry: Incarnation,
    /// Number of the stream.
    pub stream: u64,
    /// Number of the batch on the stream.
    pub number: u32,
}

/// What is known of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchStatus<T> {
    /// The batch never arrived, and is refused from now on.
    Barred,
    /// The batch runs.
    Running,
    /// The batch is over.
    Finished(T),
}

/// Remembers batches that run and that finished lately.
#[derive(Clone, Debug)]
pub struct BatchRegistry<T> {
    batches: IndexMap<BatchId, BatchStatus<T>>,
    expiry: VecDeque<(Time, BatchId)>,
}

impl<T: Clone> BatchRegistry<T> {
    /// Makes a registry that knows no batch.
    pub fn new() -> Self {
        BatchRegistry { batches: IndexMap::new(), expiry: VecDeque::new() }
    }

    /// Records that a batch arrived; returns whether it may run.
    pub fn start(&mut self, id: BatchId, now: Time) -> bool {
        self.expire(now);
        if self.batches.contains_key(&id) {
            return false;
        }
        self.batches.insert(id, BatchStatus::Running);
        true
    }

    /// Records how a batch ended.
    pub fn finish(&mut self, id: BatchId, result: T, now: Time) {
        self.batches.insert(id, BatchStatus::Finished(result));
        self.expiry.push_back((now + RETENTION, id));
        self.expire(now);
    }

    /// Returns what is known of a batch and bars it if that is nothing.
    pub fn query_or_bar(&mut self, id: BatchId, now: Time) -> BatchStatus<T> {
        self.expire(now);
        if !self.batches.contains_key(&id) {
            self.expiry.push_back((now + RETENTION, id));
        }
        self.batches.entry(id).or_insert(BatchStatus::Barred).clone()
    }

    fn expire(&mut self, now: Time) {
        while let Some((until, id)) = self.expiry.front().copied() {
            if until > now && self.expiry.len() <= MAX_BATCHES {
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
    fn a_batch_that_was_asked_for_first_never_runs() {
        let now = Time::from_millis(0);
        let mut batches = BatchRegistry::<u8>::new();
        assert_eq!(batches.query_or_bar(id(1), now), BatchStatus::Barred);
        assert!(!batches.start(id(1), now));
        assert!(batches.start(id(2), now));
        assert!(!batches.start(id(2), now), "a batch runs once");
        assert_eq!(batches.query_or_bar(id(2), now), BatchStatus::Running);
        batches.finish(id(2), 5, now);
        assert_eq!(batches.query_or_bar(id(2), now), BatchStatus::Finished(5));
    }

    #[test]
    fn finished_batches_are_forgotten_in_time() {
        let mut batches = BatchRegistry::<u8>::new();
        for number in 0..100 {
            let now = Time::from_millis(u64::from(number) * 1_000);
            assert!(batches.start(id(number), now));
            batches.finish(id(number), 0, now);
        }
        assert!(batches.batches.len() <= 16 && batches.expiry.len() <= 16);
    }
}
