/*!
Judges a load by what its clients saw and what the databases hold at its end.

# Guided tour

* [`Databases`] reads the rows of each group's primary.
* [`Circumstances`] tells what was done to the deployment during the load.
* [`Report`] has the measures and the count of each [`Breach`] of a promise.
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

/// Longest wait for a primary at the end.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two looks for a primary.
const PRIMARY_POLL: Duration = Duration::from_millis(100);
/// Time after which a withdrawn key must not work any more.
pub const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// How often each write is found in the databases.
#[derive(Clone, Debug, Default)]
pub struct Databases {
    found: HashMap<i64, u64>,
}

impl Databases {
    /// Reads the rows of all groups from their primaries.
    ///
    /// # Errors
    ///
    /// Returns an error when a group has no primary that answers.
    pub async fn read(cluster: &Cluster) -> Result<Self, ClusterError> {
        let mut found = HashMap::new();
        for group in 0..cluster.deployment().groups.len() {
            let primary = wait_for_primary(cluster, group).await?;
            let mut client = cluster.connect_server(primary).await?;
            let rows = client.simple("SELECT id, count(*) FROM writes GROUP BY id").await?;
            let counted = rows.iter().filter_map(|row| {
                let text = |column: usize| row.get(column)?.as_deref();
                Some((text(0)?.parse().ok()?, text(1)?.parse().ok()?))
            });
            found.extend::<Vec<(i64, u64)>>(counted.collect());
        }
        Ok(Databases { found })
    }

    /// Makes the content from the number of times that each write is found.
    pub fn new(found: impl IntoIterator<Item = (i64, u64)>) -> Self {
        Databases { found: found.into_iter().collect() }
    }

    fn count(&self, id: i64) -> u64 {
        self.found.get(&id).copied().unwrap_or(0)
    }
}

/// Waits for a primary that answers; a group that has lost its own for good is
/// read from the server that is furthest ahead.
async fn wait_for_primary(cluster: &Cluster, group: usize) -> Result<usize, ClusterError> {
    let deadline = Instant::now() + PRIMARY_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(primary) = cluster.primary(group).await {
            return Ok(primary);
        }
        tokio::time::sleep(PRIMARY_POLL).await;
    }
    let name = cluster.deployment().groups[group];
    eprintln!("{name} has no primary");
    let text = || format!("a server of {name}");
    let furthest = cluster.most_advanced_server(group).await;
    furthest.ok_or_else(|| ClusterError::Timeout(text(), cluster.log_directory()))
}

/// A fault and what it hit.
#[derive(Clone, Debug)]
pub struct Injection {
    /// When it was made, since the load began.
    pub at: Duration,
    /// Groups whose primary it hit.
    pub groups: Vec<usize>,
}

/// What was done to the deployment during the load.
#[derive(Clone, Debug, Default)]
pub struct Circumstances {
    /// The fault whose failover is measured.
    pub injection: Option<Injection>,
    /// VMs whose connections were broken on purpose.
    pub broken_vms: Vec<usize>,
    /// Accounts that sent above their rate.
    pub noisy: Vec<usize>,
    /// Account whose key was withdrawn, and when the withdrawal was accepted.
    pub withdrawn: Option<(usize, Duration)>,
    /// Breaches that the scenario itself has found.
    pub found: Vec<(Breach, u64)>,
}

/// Counts each breach of a promise.
fn breaches(
    requests: &[Request],
    databases: &Databases,
    circumstances: &Circumstances,
    mut add: impl FnMut(Breach, u64),
) {
    for request in requests {
        if let Kind::Write { id } = request.kind {
            write_breaches(&request.outcome, databases.count(id), &mut add);
        }
        match request.outcome {
            Outcome::Stale => add(Breach::Stale, 1),
            Outcome::Crossed => add(Breach::Crossed, 1),
            Outcome::Cut if !circumstances.broken_vms.contains(&request.vm) => add(Breach::Cut, 1),
            _ => {}
        }
        if let Some((account, at)) = circumstances.withdrawn {
            let late = request.started > at + WITHDRAWAL_LIMIT;
            if late && request.account == account && request.succeeded() {
                add(Breach::WithdrawnKey, 1);
            }
        }
    }
    for (breach, count) in &circumstances.found {
        add(*breach, *count);
    }
}

fn write_breaches(outcome: &Outcome, found: u64, add: &mut impl FnMut(Breach, u64)) {
    match outcome {
        Outcome::Done | Outcome::Committed if found == 0 => add(Breach::Lost, 1),
        Outcome::NotRun(_) | Outcome::Unreachable if found > 0 => add(Breach::FalseNotRun, 1),
        _ => {}
    }
    if found > 1 {
        add(Breach::Doubled, 1);
    }
}
