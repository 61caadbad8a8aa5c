//! Detection of requests admitted above an account's rate and burst.
//!
//! The check slides windows of several lengths over the load. Within a window,
//! an account may run at most `rate` x length + `burst` requests.

use std::time::Duration;

use crate::load::{Outcome, Request};

/// Lengths of the windows that are checked.
const WINDOW_LENGTHS: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_secs(1),
    Duration::from_secs(5),
    Duration::from_secs(30),
];
/// Distance between the starts of two consecutive windows.
const WINDOW_STEP: Duration = Duration::from_millis(50);

/// Returns the largest number of requests above `rate` x length + `burst` that
/// ran within one window.
///
/// The exact time at which a request was admitted is unknown: it lies between the
/// request's start and end. A request therefore counts only if both lie within
/// the window, so that no excess is reported by mistake. `requests` must be in
/// order of their start; `rate` is in requests a second.
pub(super) fn max_excess(requests: &[&Request], rate: f64, burst: f64) -> u64 {
    let has_run = |request: &&&Request| {
        matches!(request.outcome, Outcome::Done | Outcome::Stale | Outcome::Crossed)
    };
    let spans: Vec<_> = requests.iter().filter(has_run).map(|r| (r.started, r.ended)).collect();
    WINDOW_LENGTHS
        .into_iter()
        .map(|window| excess_in_windows(&spans, window, rate, burst))
        .max()
        .unwrap_or(0)
}

fn excess_in_windows(
    spans: &[(Duration, Duration)],
    window: Duration,
    rate: f64,
    burst: f64,
) -> u64 {
    let allowed = (rate * window.as_secs_f64() + burst).ceil() as u64;
    let last = spans.last().map_or(Duration::ZERO, |(started, _)| *started);
    let (mut begin, mut first, mut max_excess) = (Duration::ZERO, 0, 0);
    while begin <= last {
        // The spans are sorted by their start.
        while spans.get(first).is_some_and(|(started, _)| *started < begin) {
            first += 1;
        }
        let inside = spans[first..].iter().take_while(|(started, _)| *started <= begin + window);
        let count = inside.filter(|(_, ended)| *ended <= begin + window).count() as u64;
        max_excess = max_excess.max(count.saturating_sub(allowed));
        begin += WINDOW_STEP;
    }
    max_excess
}
