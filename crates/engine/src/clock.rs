//! The clocks of the VM. The daemon takes all times from the monotonic one.

use chicoryhollow_core::{Time, usage::TrueTime};
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including the time for which it was
/// suspended. Otherwise a lease that expired during the suspension would still
/// seem valid afterwards.
pub(crate) fn now() -> Time {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
    let micros = u64::try_from(reading.tv_nsec / 1_000).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + micros)
}

/// Returns the time of day of the VM, which may be wrong by seconds and may jump. Only the
/// conversion to true time uses it, after comparing it with those of other VMs.
pub(crate) fn time_of_day() -> TrueTime {
    let reading = clock_gettime(ClockId::Realtime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
    let micros = u64::try_from(reading.tv_nsec / 1_000).unwrap_or_default();
    TrueTime::from_micros(seconds * 1_000_000 + micros)
}
