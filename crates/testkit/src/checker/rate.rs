//! Finds requests that ran above an account's rate and burst.

use std::time::Duration;

use crate::load::{Outcome, Request};

/// Lengths of the windows that are looked at.
const WINDOWS: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_secs(1),
    Duration::from_secs(5),
    Duration::from_secs(30),
];
/// Distance between the beginnings of two windows.
const STEP: Duration = Duration::from_millis(50);

/// Returns how many requests more than `rate` x time + `burst` surely ran
/// within one window, at its worst.
///
/// When a request was admitted is known only to lie between its start and its
/// end, so a request counts only where both lie within the window.
pub(super) fn excess(requests: &[&Request], rate: f64, burst: f64) -> u64 {
    let ran = |request: &&&Request| {
        matches!(request.outcome, Outcome::Done | Outcome::Stale | Outcome::Crossed)
    };
    let spans: Vec<_> = requests.iter().filter(ran).map(|r| (r.started, r.ended)).collect();
    WINDOWS.into_iter().map(|window| excess_in(&spans, window, rate, burst)).max().unwrap_or(0)
}

fn excess_in(spans: &[(Duration, Duration)], window: Duration, rate: f64, burst: f64) -> u64 {
    let allowed = (rate * window.as_secs_f64() + burst).ceil() as u64;
    let last = spans.last().map_or(Duration::ZERO, |(started, _)| *started);
    let (mut begin, mut first, mut worst) = (Duration::ZERO, 0, 0);
    while begin <= last {
        // The spans are in order of their start.
        while spans.get(first).is_some_and(|(started, _)| *started < begin) {
            first += 1;
        }
        let inside = spans[first..].iter().take_while(|(started, _)| *started <= begin + window);
        let count = inside.filter(|(_, ended)| *ended <= begin + window).count() as u64;
        worst = worst.max(count.saturating_sub(allowed));
        begin += STEP;
    }
    worst
}
