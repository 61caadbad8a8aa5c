//! The newest differences, kept for VMs that are behind.

use std::collections::VecDeque;

use crate::delta::Delta;

/// Differences that a VM keeps.
pub const MAX_LOGGED_DELTAS: usize = 256;

/// Differences between neighbouring versions held, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    from: u64,
    to: u64,
    delta: Delta,
}

impl Log {
    /// Adds the step from version `from` to version `to`.
    pub(crate) fn push(&mut self, from: u64, to: u64, delta: Delta) {
        if self.entries.back().is_some_and(|last| last.to != from) {
            self.entries.clear();
        }
        if self.entries.len() == MAX_LOGGED_DELTAS {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { from, to, delta });
    }

    /// Joins all steps after `version`; `None` when the log does not reach back
    /// so far.
    pub(crate) fn since(&self, version: u64) -> Option<Delta> {
        let first = self.entries.iter().position(|entry| entry.from == version)?;
        let mut joined = self.entries[first].delta.clone();
        self.entries.iter().skip(first + 1).for_each(|entry| joined.join(&entry.delta));
        Some(joined)
    }
}
