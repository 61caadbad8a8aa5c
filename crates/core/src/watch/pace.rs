//! How often a watcher asks the servers of its group.

use std::time::Duration;

/// Times between two messages of a kind while nothing is amiss.
///
/// A watcher that sees a question fail, or hears of one, asks all servers and
/// tells the other watchers often, whatever these are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Intervals {
    /// Between two requests to the primary.
    pub primary: Duration,
    /// Between two requests to any other server.
    pub replica: Duration,
    /// Between two observations to the other watchers.
    pub observation: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        let interval = Duration::from_millis(200);
        Intervals { primary: interval, replica: interval, observation: Duration::from_secs(10) }
    }
}
