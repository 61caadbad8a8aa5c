//! When to read which data centre's list of VMs.
//!
//! The platform answers a few thousand reads a second for the whole fleet, so
//! the time between two reads of one VM grows with the number of VMs. The own
//! data centre's list places the roles nearby and is read more often than the
//! lists of others, which only say where to forward.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::{id::DataCentreId, time::Time};

/// Shortest time between two reads of one list.
const SHORTEST: Duration = Duration::from_secs(1);

/// Reads a second of own lists, over the whole fleet.
const OWN_READS: f64 = 300.0;

/// Reads a second of each other data centre's list, over the whole fleet.
const OTHER_READS: f64 = 20.0;

/// Share of an interval by which reads are spread at random.
const JITTER: f64 = 0.1;

/// Decides when to read which list.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, listing::ListSchedule};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut schedule = ListSchedule::new("a".parse()?);
/// schedule.follow(["b".parse()?]);
/// let due = schedule.due(Time::default(), 6, &mut rng);
/// assert_eq!(due.len(), 2, "both lists are read at once after the start");
/// assert!(schedule.due(Time::default(), 6, &mut rng).is_empty());
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ListSchedule {
    own: DataCentreId,
    due: IndexMap<DataCentreId, Time>,
}

impl ListSchedule {
    /// Makes a schedule that follows only the list of `own`.
    pub fn new(own: DataCentreId) -> Self {
        let due = IndexMap::from([(own.clone(), Time::default())]);
        ListSchedule { own, due }
    }

    /// Follows the lists of `others` beside the own one, and no more.
    pub fn follow(&mut self, others: impl IntoIterator<Item = DataCentreId>) {
        let wanted: Vec<_> = others.into_iter().collect();
        self.due.retain(|name, _| *name == self.own || wanted.contains(name));
        for name in wanted {
            self.due.entry(name).or_default();
        }
    }

    /// Returns the lists to read now, in a fleet of `vms`, and plans their next
    /// reads.
    pub fn due(&mut self, now: Time, vms: usize, rng: &mut impl Rng) -> Vec<DataCentreId> {
        let mut names = Vec::new();
        for (name, due) in &mut self.due {
            if *due <= now {
                let spread = 1.0 + JITTER * rng.random_range(-1.0..=1.0);
                *due = now + interval(vms, *name == self.own).mul_f64(spread);
                names.push(name.clone());
            }
        }
        names
    }

    /// Plans a read of the list of `name` at once, after it proved wrong.
    pub fn refresh(&mut self, name: &DataCentreId) {
        if let Some(due) = self.due.get_mut(name) {
            *due = Time::default();
        }
    }
}

/// Returns the time between two reads of one list in a fleet of `vms`.
fn interval(vms: usize, own: bool) -> Duration {
    let reads = if own { OWN_READS } else { OTHER_READS };
    let fleet = u32::try_from(vms).unwrap_or(u32::MAX);
    SHORTEST.max(Duration::from_secs_f64(f64::from(fleet) / reads))
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::SmallRng};

    use super::*;

    /// Reads a second that the platform answers for the whole fleet.
    const PLATFORM_READS: f64 = 2_000.0;

    fn reads_per_second(vms: usize, data_centres: usize) -> f64 {
        let mut rng = SmallRng::seed_from_u64(7);
        let name = |i: usize| format!("dc-{i}").parse().expect("a valid name");
        let mut schedule = ListSchedule::new(name(0));
        schedule.follow((1..data_centres).map(name));
        let seconds = 600;
        let reads: usize = (0..seconds * 10)
            .map(|i| schedule.due(Time::from_millis(i * 100), vms, &mut rng).len())
            .sum();
        let vms = f64::from(u32::try_from(vms).expect("a small number"));
        let reads = f64::from(u32::try_from(reads).expect("a small number"));
        reads * vms / f64::from(u32::try_from(seconds).expect("a small number"))
    }

    #[test]
    fn reads_of_the_fleet_stay_in_the_platforms_budget() {
        for (vms, data_centres) in [(9, 3), (300, 8), (2_900, 20)] {
            let reads = reads_per_second(vms, data_centres);
            assert!(reads < PLATFORM_READS / 2.0, "{vms} VMs: {reads} reads a second");
        }
    }

    #[test]
    fn a_list_that_proved_wrong_is_read_at_once() {
        let mut rng = SmallRng::seed_from_u64(7);
        let own: DataCentreId = "a".parse().expect("a valid name");
        let mut schedule = ListSchedule::new(own.clone());
        let now = Time::from_millis(5);
        assert_eq!(schedule.due(now, 3, &mut rng), std::slice::from_ref(&own));
        assert!(schedule.due(now, 3, &mut rng).is_empty());
        schedule.refresh(&own);
        assert_eq!(schedule.due(now, 3, &mut rng), [own]);
    }
}
