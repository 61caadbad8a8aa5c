//! Which priority goes next, and what the more urgent ones leave to the others.

use std::{collections::BTreeMap, time::Duration};

use crate::{time::Time, waiting::Priority};

/// Share of the admissions that each waiting priority gets, however many more urgent requests
/// wait, so that no caller waits forever, and none only because another account's requests are
/// somewhat more urgent.
const MIN_SHARE: f64 = 1.0 / 16.0;

/// The same share of the admissions of the most urgent priority, which has to be in time as long
/// as it fits by itself.
const MIN_SHARE_OF_FIRST: f64 = 1.0 / 128.0;

/// Span over which admissions are counted. It is short, so that requests are not refused because
/// of a load that is over.
const SPAN: Duration = Duration::from_millis(250);

/// The shares of the priorities.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// Admissions that each passed-over priority is owed.
    owed: BTreeMap<Priority, f64>,
    /// Admissions by priority; older ones weigh less.
    admissions: BTreeMap<Priority, f64>,
    counted: Time,
}

impl Shares {
    /// Returns the one of the `waiting` priorities, in their order, that goes next.
    pub(super) fn choose(&self, waiting: impl Iterator<Item = Priority>) -> Option<Priority> {
        let waiting: Vec<Priority> = waiting.collect();
        let is_owed = |priority: &Priority| self.owed.get(priority).is_some_and(|n| *n >= 1.0);
        waiting.iter().copied().find(is_owed).or_else(|| waiting.first().copied())
    }

    /// Records that a request of `priority` goes, while less urgent ones of `lower` wait.
    pub(super) fn charge(&mut self, priority: Priority, lower: &[Priority]) {
        self.owed.retain(|other, _| *other <= priority || lower.contains(other));
        if let Some(owed) = self.owed.get_mut(&priority) {
            *owed = (*owed - 1.0).max(0.0);
        }
        let is_first = priority == Priority::default();
        let share = if is_first { MIN_SHARE_OF_FIRST } else { MIN_SHARE };
        let mut last = None;
        for other in lower {
            if last.replace(other) != Some(other) {
                *self.owed.entry(*other).or_default() += share;
            }
        }
    }

    /// Records that a request of `priority` was admitted.
    pub(super) fn record(&mut self, priority: Priority, now: Time) {
        let decay = self.decay(now);
        self.counted = now;
        self.admissions.values_mut().for_each(|count| *count *= decay);
        *self.admissions.entry(priority).or_default() += 1.0;
    }

    /// Returns the share of the admissions that more urgent requests leave to `priority`.
    pub(super) fn left(&self, priority: Priority, now: Time) -> f64 {
        let all: f64 = self.admissions.values().sum();
        let urgent: f64 = self.admissions.range(..priority).map(|(_, count)| count).sum();
        if all <= 0.0 {
            return 1.0;
        }
        (1.0 - urgent / all * self.decay(now)).max(MIN_SHARE_OF_FIRST)
    }

    fn decay(&self, now: Time) -> f64 {
        (-now.since(self.counted).as_secs_f64() / SPAN.as_secs_f64()).exp()
    }
}
