//! Holding back new writes before a planned move.

use std::time::{Duration, Instant};

/// Longest hold after the answer that the server is quiet.
const QUIET_HOLD: Duration = Duration::from_millis(500);

/// Least time between two holds, in which waiting writes run.
const PAUSE: Duration = Duration::from_millis(100);

/// Open transactions that have written, and how long further ones wait.
#[derive(Debug, Default)]
pub(crate) struct Hold {
    writers: usize,
    until: Option<Instant>,
    ended: Option<Instant>,
}

impl Hold {
    /// Begins to hold new writes unless they are held or were until just now.
    pub(crate) fn begin(&mut self, timeout: Duration, now: Instant) -> bool {
        let recent = self.ended.is_some_and(|at| now < at + PAUSE);
        if recent || self.held_until(now).is_some() {
            return false;
        }
        self.set_end(now + timeout + QUIET_HOLD);
        true
    }

    /// Goes on holding for a fence to arrive when the server is quiet, and lets
    /// the writes go on otherwise.
    pub(crate) fn answer(&mut self, quiet: bool, now: Instant) {
        self.set_end(if quiet { now + QUIET_HOLD } else { now });
    }

    /// Returns until when new writes wait, if they do.
    pub(crate) fn held_until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Tells whether no transaction that has written is open.
    pub(crate) fn is_quiet(&self) -> bool {
        self.writers == 0
    }

    /// Counts a transaction that begins to write.
    pub(crate) fn open(&mut self) {
        self.writers += 1;
    }

    /// Counts a transaction that has ended.
    pub(crate) fn close(&mut self) {
        self.writers = self.writers.saturating_sub(1);
    }

    fn set_end(&mut self, end: Instant) {
        self.until = Some(end);
        self.ended = Some(end);
    }
}
