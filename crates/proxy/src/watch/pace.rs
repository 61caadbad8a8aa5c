//! How often this VM asks the servers of the groups that it watches.

use std::time::Duration;

use chicoryhollow_core::{
    pace::{ByteRate, Pace},
    watch::Intervals,
};

/// Bytes of a short status request and its answer on the network.
const STATUS_BYTES: u32 = 350;

/// Requests to primaries: by far most of the budget.
const PRIMARIES: Pace = Pace::new(Duration::from_millis(250), Duration::from_secs(3))
    .with_cost(STATUS_BYTES, ByteRate::new(900));

/// Requests to other servers, whose state matters only once a primary fails;
/// they are all asked again then.
const REPLICAS: Pace = Pace::new(Duration::from_secs(1), Duration::from_secs(30))
    .with_cost(STATUS_BYTES, ByteRate::new(300));

/// Observations to other watchers, which matter only once one of them finds
/// something amiss; it tells the others at once then.
const OBSERVATIONS: Pace = Pace::new(Duration::from_secs(5), Duration::from_secs(120))
    .with_cost(OBSERVATION_BYTES, ByteRate::new(200));

/// Bytes of the observations that one group costs in a round: two sent and two
/// received.
const OBSERVATION_BYTES: u32 = 1_000;

/// Other servers of a usual group.
const REPLICAS_PER_GROUP: usize = 2;

/// Returns the intervals for a VM that watches `groups` groups.
pub(super) fn intervals(groups: usize) -> Intervals {
    Intervals {
        primary: PRIMARIES.interval(groups),
        replica: REPLICAS.interval(groups * REPLICAS_PER_GROUP),
        observation: OBSERVATIONS.interval(groups),
    }
}
