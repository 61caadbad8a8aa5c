//! The latest differences, kept for VMs that are a few versions behind.
//!
//! Such a VM gets a difference instead of the whole configuration.

use std::collections::VecDeque;

use crate::delta::Delta;

/// Maximum number of differences that a VM keeps.
pub const MAX_LOGGED_DELTAS: usize = 256;

/// Differences between consecutive versions that the VM has held, oldest first.
#[derive(Debug, Default)]
pub(crate) struct DeltaLog {
    entries: VecDeque<LoggedDelta>,
}

#[derive(Debug)]
struct LoggedDelta {
    from: u64,
    to: u64,
    delta: Delta,
}

impl DeltaLog {
    /// Adds the difference from version `from` to version `to`.
    ///
    /// If it does not start from the last version in the log, the older differences
    /// are dropped.
    pub(crate) fn push(&mut self, from: u64, to: u64, delta: Delta) {
        if self.entries.back().is_some_and(|last| last.to != from) {
            self.entries.clear();
        }
        if self.entries.len() == MAX_LOGGED_DELTAS {
            self.entries.pop_front();
        }
        self.entries.push_back(LoggedDelta { from, to, delta });
    }

    /// Merges all differences after `version`; `None` if the log does not contain
    /// all of them.
    pub(crate) fn since(&self, version: u64) -> Option<Delta> {
        let first = self.entries.iter().position(|entry| entry.from == version)?;
        let mut joined = self.entries[first].delta.clone();
        self.entries.iter().skip(first + 1).for_each(|entry| joined.join(&entry.delta));
        Some(joined)
    }
}
