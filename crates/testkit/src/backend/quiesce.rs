//! Quiescing a server: holding new writes before a planned failover.
//!
//! A planned failover first waits until no open transaction has written. New
//! writes are held meanwhile, for a limited time.

use std::time::{Duration, Instant};

/// Longest hold after the server has reported that it is quiet. A fence is
/// expected to arrive in this time.
const QUIESCED_HOLD_LIMIT: Duration = Duration::from_millis(500);

/// Least time between two holds, so that waiting writes can run.
const MIN_HOLD_PAUSE: Duration = Duration::from_millis(100);

/// Number of open transactions that have written, and until when new writes wait.
#[derive(Debug, Default)]
pub(crate) struct Quiesce {
    writers: usize,
    until: Option<Instant>,
    ended: Option<Instant>,
}

impl Quiesce {
    /// Starts to hold new writes, unless they are held already or a hold ended
    /// less than [`MIN_HOLD_PAUSE`] ago. Returns whether the hold started.
    pub(crate) fn begin(&mut self, timeout: Duration, now: Instant) -> bool {
        let recent = self.ended.is_some_and(|at| now < at + MIN_HOLD_PAUSE);
        if recent || self.held_until(now).is_some() {
            return false;
        }
        self.set_end(now + timeout + QUIESCED_HOLD_LIMIT);
        true
    }

    /// Ends the wait for open transactions. If the server is quiet, the hold lasts
    /// for [`QUIESCED_HOLD_LIMIT`], so that a fence can arrive; otherwise it ends
    /// now.
    pub(crate) fn finish(&mut self, quiet: bool, now: Instant) {
        self.set_end(if quiet { now + QUIESCED_HOLD_LIMIT } else { now });
    }

    /// Returns until when new writes are held, or `None` if they aren't.
    pub(crate) fn held_until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Returns whether no open transaction has written.
    pub(crate) fn is_quiet(&self) -> bool {
        self.writers == 0
    }

    /// Records that a transaction starts to write.
    pub(crate) fn add_writer(&mut self) {
        self.writers += 1;
    }

    /// Records that a transaction that has written ended.
    pub(crate) fn remove_writer(&mut self) {
        self.writers = self.writers.saturating_sub(1);
    }

    fn set_end(&mut self, end: Instant) {
        self.until = Some(end);
        self.ended = Some(end);
    }
}
