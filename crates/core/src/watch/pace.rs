//! Intervals at which a watcher polls the servers of its group.

use std::time::Duration;

/// Times between two messages of a kind while the group is stable.
///
/// While the group is unstable, for example after a request of this watcher
/// failed or another watcher reported a problem, the watcher polls all servers
/// and sends observations often, regardless of these intervals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Intervals {
    /// Time between two status requests to the primary.
    pub primary: Duration,
    /// Time between two status requests to any other server.
    pub replica: Duration,
    /// Time between two observations sent to the other watchers.
    pub observation: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        let interval = Duration::from_millis(200);
        Intervals { primary: interval, replica: interval, observation: Duration::from_secs(10) }
    }
}
