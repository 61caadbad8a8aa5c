//! Whether a caller sends or takes bytes too slowly.

use std::time::Duration;

use super::LimitReason;
use crate::time::Time;

/// Time in which a caller must send or take [`PROGRESS_BYTES`] of a message.
pub const PROGRESS_SPAN: Duration = Duration::from_secs(10);

/// Bytes that a caller sends or takes in each [`PROGRESS_SPAN`] at least. Forty callers that
/// share 10 Mbit/s each pass more than twice as many.
const PROGRESS_BYTES: usize = 64 << 10;

/// Progress of a message that a caller sends, or of an answer that it takes.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, budget::{PROGRESS_SPAN, Progress}};
///
/// let mut progress = Progress::new(Time::default());
/// progress.record(100_000);
/// assert!(progress.check(Time::default() + PROGRESS_SPAN), "enough for the first span");
/// assert!(!progress.check(Time::default() + 2 * PROGRESS_SPAN), "nothing in the second one");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    started: Time,
    bytes: usize,
}

impl Progress {
    /// Creates the progress of a transfer that begins at `now`, or goes on after the daemon has
    /// made the caller wait.
    pub fn new(now: Time) -> Self {
        Progress { started: now, bytes: 0 }
    }

    /// Records that so many more bytes have passed.
    pub fn record(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Returns when to check the transfer next.
    pub fn due(&self) -> Time {
        self.started + PROGRESS_SPAN
    }

    /// Returns whether the transfer may go on at `now`.
    pub fn check(&mut self, now: Time) -> bool {
        if now < self.due() {
            return true;
        }
        let goes_on = self.bytes >= PROGRESS_BYTES;
        *self = Progress::new(now);
        goes_on
    }
}

/// Progress of the message that a caller sends, while a part of one has arrived.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{
///     Time,
///     budget::{LimitReason, PROGRESS_SPAN, Receiving},
/// };
///
/// let (mut receiving, start) = (Receiving::default(), Time::default());
/// assert_eq!(receiving.check(false, start), Ok(None), "silence has no limit");
/// let due = start + PROGRESS_SPAN;
/// assert_eq!(receiving.check(true, start), Ok(Some(due)), "a part of a message has arrived");
/// assert_eq!(receiving.check(true, due), Err(LimitReason::SlowSender));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Receiving(Option<Progress>);

impl Receiving {
    /// Returns when to check the message next, or `None` if none has begun to arrive.
    ///
    /// # Errors
    ///
    /// Fails if the caller sends the message too slowly.
    pub fn check(&mut self, has_begun: bool, now: Time) -> Result<Option<Time>, LimitReason> {
        if !has_begun {
            return Ok(None);
        }
        let progress = self.0.get_or_insert(Progress::new(now));
        match progress.check(now) {
            true => Ok(Some(progress.due())),
            false => Err(LimitReason::SlowSender),
        }
    }

    /// Records that so many more bytes have arrived.
    pub fn record(&mut self, bytes: usize) {
        if let Some(progress) = &mut self.0 {
            progress.record(bytes);
        }
    }

    /// Forgets the time so far, because the message has ended or the daemon has made the caller
    /// wait.
    pub fn restart(&mut self) {
        self.0 = None;
    }
}
