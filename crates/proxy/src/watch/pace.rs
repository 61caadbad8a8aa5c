//! Intervals at which this VM polls the servers of the groups that it watches.
//!
//! The intervals grow with the number of groups, so that the traffic stays within
//! a budget.

use std::time::Duration;

use chicoryhollow_core::{
    pace::{ByteRate, Pace},
    watch::Intervals,
};

/// Bytes on the network of a short status request and its answer.
const STATUS_BYTES: u32 = 350;

/// Pace of requests to primaries, which get by far the largest part of the budget.
const PRIMARY_PACE: Pace = Pace::new(Duration::from_millis(250), Duration::from_secs(3))
    .with_cost(STATUS_BYTES, ByteRate::new(900));

/// Pace of requests to other servers. Their state matters only after a primary has
/// failed, and all of them are polled again then.
const REPLICA_PACE: Pace = Pace::new(Duration::from_secs(1), Duration::from_secs(30))
    .with_cost(STATUS_BYTES, ByteRate::new(300));

/// Pace of observations sent to other watchers. They matter only after one watcher
/// has found a failure, and it sends its observation immediately then.
const OBSERVATION_PACE: Pace = Pace::new(Duration::from_secs(5), Duration::from_secs(120))
    .with_cost(OBSERVATION_BYTES, ByteRate::new(200));

/// Bytes on the network of the observations of one group per interval: two are sent
/// and two received.
const OBSERVATION_BYTES: u32 = 1_000;

/// Number of servers besides the primary in a typical group.
const REPLICAS_PER_GROUP: usize = 2;

/// Returns the intervals for a VM that watches `groups` groups.
pub(super) fn intervals(groups: usize) -> Intervals {
    Intervals {
        primary: PRIMARY_PACE.interval(groups),
        replica: REPLICA_PACE.interval(groups * REPLICAS_PER_GROUP),
        observation: OBSERVATION_PACE.interval(groups),
    }
}
