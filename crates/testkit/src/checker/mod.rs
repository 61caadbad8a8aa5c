/*!
Checks the proxy's guarantees after a load.

The checker compares the outcomes that the clients saw with the rows that the
databases hold at the end. For example, an acknowledged write must be stored
exactly once.

# Guided tour

* [`StoredWrites`] counts the rows of each write on the groups' primaries.
* [`RunConditions`] lists the faults and changes made during the load.
* [`Report`] holds the measurements and the number of breaches of each
  guarantee ([`Breach`]).
*/

mod rate;
mod report;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, ClusterError},
    load::{Kind, Outcome, Request},
};

pub use crate::checker::report::{Breach, Report};

/// Longest wait for a group's primary after the load.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks for a primary.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a withdrawn key may still be accepted, counted from the
/// acceptance of its withdrawal.
pub const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// How many rows of each write are in the databases, by the number of the write.
#[derive(Clone, Debug, Default)]
pub struct StoredWrites {
    counts: HashMap<i64, u64>,
}

impl StoredWrites {
    /// Reads the rows of all groups from their primaries.
    ///
    /// A group without a primary is read from its server with the highest
    /// position.
    ///
    /// # Errors
    ///
    /// Returns an error if no server of a group answers or a query fails.
    pub async fn read(cluster: &Cluster) -> Result<Self, ClusterError> {
        let mut counts = HashMap::new();
        for group in 0..cluster.deployment().groups.len() {
            let primary = wait_for_primary(cluster, group).await?;
            let mut client = cluster.connect_server(primary).await?;
            let rows = client.simple_query("SELECT id, count(*) FROM writes GROUP BY id").await?;
            let parsed = rows.iter().filter_map(|row| {
                let text = |column: usize| row.get(column)?.as_deref();
                Some((text(0)?.parse().ok()?, text(1)?.parse().ok()?))
            });
            counts.extend::<Vec<(i64, u64)>>(parsed.collect());
        }
        Ok(StoredWrites { counts })
    }

    /// Creates the counts from pairs of a write's number and its row count.
    pub fn new(counts: impl IntoIterator<Item = (i64, u64)>) -> Self {
        StoredWrites { counts: counts.into_iter().collect() }
    }

    fn count(&self, id: i64) -> u64 {
        self.counts.get(&id).copied().unwrap_or(0)
    }
}

/// Waits for the group's primary to answer and returns its index.
///
/// A group may have lost its primary for good. After [`PRIMARY_TIMEOUT`] the
/// function therefore returns the server with the highest position.
async fn wait_for_primary(cluster: &Cluster, group: usize) -> Result<usize, ClusterError> {
    let deadline = Instant::now() + PRIMARY_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(primary) = cluster.primary(group).await {
            return Ok(primary);
        }
        tokio::time::sleep(PRIMARY_POLL_INTERVAL).await;
    }
    let name = cluster.deployment().groups[group];
    eprintln!("{name} has no primary");
    let description = || format!("a server of {name}");
    let most_advanced = cluster.most_advanced_server(group).await;
    most_advanced.ok_or_else(|| ClusterError::Timeout(description(), cluster.log_directory()))
}

/// A fault made during the load, and the groups that it affects.
#[derive(Clone, Debug)]
pub struct Injection {
    /// Time from the start of the load to the fault.
    pub at: Duration,
    /// Indices of the groups whose primary it affects.
    pub groups: Vec<usize>,
}

/// Faults and changes made to the deployment during the load.
#[derive(Clone, Debug, Default)]
pub struct RunConditions {
    /// Fault from which the failover gap is measured.
    pub injection: Option<Injection>,
    /// Indices of the VMs whose connections were broken deliberately.
    pub broken_vms: Vec<usize>,
    /// Indices of the accounts whose requests may be refused: those that sent
    /// above their rate or whose key was withdrawn.
    pub noisy_accounts: Vec<usize>,
    /// Index of the account whose key was withdrawn, and the time from the
    /// start of the load to the acceptance of the withdrawal.
    pub withdrawn_key: Option<(usize, Duration)>,
    /// Breaches that the scenario itself has detected, with their counts.
    pub breaches: Vec<(Breach, u64)>,
}

/// Calls `add` with the kind and number of the breaches that it finds. Rate excesses
/// are counted by [`Report::new`].
fn count_breaches(
    requests: &[Request],
    stored_writes: &StoredWrites,
    conditions: &RunConditions,
    mut add: impl FnMut(Breach, u64),
) {
    for request in requests {
        if let Kind::Write { id } = request.kind {
            count_write_breaches(&request.outcome, stored_writes.count(id), &mut add);
        }
        match request.outcome {
            Outcome::Stale => add(Breach::Stale, 1),
            Outcome::Crossed => add(Breach::Crossed, 1),
            Outcome::Cut if !conditions.broken_vms.contains(&request.vm) => add(Breach::Cut, 1),
            _ => {}
        }
        if let Some((account, at)) = conditions.withdrawn_key {
            let is_late = request.started > at + WITHDRAWAL_LIMIT;
            if is_late && request.account == account && request.succeeded() {
                add(Breach::WithdrawnKey, 1);
            }
        }
    }
    for (breach, count) in &conditions.breaches {
        add(*breach, *count);
    }
}

fn count_write_breaches(outcome: &Outcome, found: u64, add: &mut impl FnMut(Breach, u64)) {
    match outcome {
        Outcome::Done | Outcome::Committed if found == 0 => add(Breach::Lost, 1),
        Outcome::NotRun(_) | Outcome::Unreachable if found > 0 => add(Breach::FalseNotRun, 1),
        _ => {}
    }
    if found > 1 {
        add(Breach::Doubled, 1);
    }
}
