//! Whether the configuration that a VM reads at its start is the newest one.
//!
//! The directory may have come back from a copy, in which the newest configurations are
//! missing until they are written again. A VM that starts meanwhile would accept keys that
//! were withdrawn and routes that were removed. Other VMs may know better. Unless the
//! directory is known to have been complete for a while, the VM first hears which version
//! they hold:
//!
//! * One VM restarts beside others that run: the first answer tells.
//! * All VMs restart at once: those that answer hold no configuration either. Once a few
//!   have said so, nobody is waited for any longer.
//! * A partition or a failure of the others leaves the VM alone: it waits for a limited time.

use std::time::Duration;

use crate::time::Time;

/// Maximum time to wait for other VMs.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time to wait if the VMs that answer are starting too, in which those that have
/// run for longer get to answer.
const STARTING_WAIT: Duration = Duration::from_millis(250);

/// Number of starting VMs that suggest that all of them are.
const MIN_STARTING: usize = 2;

/// A configuration that was read from the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadVersion {
    /// Version of the configuration.
    pub version: u64,
    /// When the first configuration was read.
    pub since: Time,
}

/// What to do with a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Use it.
    Use,
    /// Wait for other VMs.
    Wait,
}

/// Decides at `now` whether to use the configuration that was `read`.
///
/// `others` is the number of other VMs, or `None` if it is not known yet. `held` has the
/// version that each VM holds which has said so, 0 for none.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, startup::{ReadVersion, Verdict, judge}};
///
/// let now = Time::from_millis(40);
/// let read = ReadVersion { version: 3, since: Time::from_millis(10) };
/// assert_eq!(judge(read, Some(0), [], now), Verdict::Use, "there are no others");
/// assert_eq!(judge(read, Some(5), [], now), Verdict::Wait);
/// assert_eq!(judge(read, Some(5), [3], now), Verdict::Use);
/// assert_eq!(judge(read, Some(5), [4], now), Verdict::Wait, "a newer one is on its way");
/// ```
pub fn judge(
    read: ReadVersion,
    others: Option<usize>,
    held: impl IntoIterator<Item = u64>,
    now: Time,
) -> Verdict {
    let waited = now.since(read.since);
    if others == Some(0) || waited >= ANSWER_TIMEOUT {
        return Verdict::Use;
    }
    let (starting, running): (Vec<u64>, Vec<u64>) =
        held.into_iter().partition(|version| *version == 0);
    match running.into_iter().max() {
        Some(newest) if newest <= read.version => Verdict::Use,
        Some(_) => Verdict::Wait,
        None if waited < STARTING_WAIT => Verdict::Wait,
        None => {
            let needed = others.map_or(MIN_STARTING, |others| others.min(MIN_STARTING));
            if starting.len() >= needed { Verdict::Use } else { Verdict::Wait }
        }
    }
}
