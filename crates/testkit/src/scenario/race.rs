//! Two operators who apply different files at the same time.

use std::{path::Path, time::Duration};

use chicoryhollow_config::{Burst, Configuration, configuration::Versioned};
use chicoryhollow_store::{HttpPlatform, Platform, PlatformError};

use crate::{
    checker::Breach,
    cluster::{Applied, Cluster, ClusterError},
};

/// Races that are run.
const ROUNDS: u32 = 5;
/// Longest wait for an answer of the platform.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts to read while answers are lost.
const READS: u32 = 50;

/// Runs the races and returns what broke.
pub(super) async fn run(cluster: &mut Cluster) -> Result<Vec<(Breach, u64)>, ClusterError> {
    let mut breaches = 0;
    for round in 0..ROUNDS {
        let base = accepted(cluster).await?;
        let files = [0, 1].map(|operator| change(&base.configuration, round, operator));
        let directories =
            [0, 1].map(|n| cluster.configuration_directory().join(format!("race-{n}")));
        let [first, second] = &directories;
        let (first, second) = tokio::join!(
            apply(cluster, first, &files[0], base.version),
            apply(cluster, second, &files[1], base.version)
        );
        let outcomes = [first?, second?];
        let now = accepted(cluster).await?;
        breaches += judge(&outcomes, &files, &base, &now);
    }
    Ok(vec![(Breach::ConfigurationLost, breaches)])
}

async fn apply(
    cluster: &Cluster,
    directory: &Path,
    files: &Configuration,
    base: u64,
) -> Result<Applied, ClusterError> {
    cluster.apply_files(directory, files, Some(base)).await
}

/// Counts what contradicts the outcomes that the operators were told.
fn judge(
    outcomes: &[Applied; 2],
    files: &[Configuration; 2],
    base: &Versioned,
    now: &Versioned,
) -> u64 {
    let in_force = |index: usize| now.configuration == files[index];
    let contradicted = |index: usize| match outcomes[index] {
        Applied::Done => now.version != base.version + 1 || !in_force(index),
        Applied::Lost => in_force(index),
        Applied::Unavailable => false,
    };
    (0..2).filter(|index| contradicted(*index)).count() as u64
}

fn change(base: &Configuration, round: u32, operator: u32) -> Configuration {
    let mut files = base.clone();
    let burst = f64::from(100 + 2 * round + operator);
    if let Some((_, account)) = files.accounts.first_mut() {
        account.burst = Burst::new(burst).expect("the burst is above one");
    }
    files
}

/// Reads the configuration that the platform holds.
async fn accepted(cluster: &Cluster) -> Result<Versioned, ClusterError> {
    let platform = HttpPlatform::new(cluster.platform_url(), ANSWER_TIMEOUT);
    for _ in 0..READS {
        if let Ok(Some(found)) = read(&platform).await {
            return Ok(found);
        }
    }
    Err(ClusterError::Request("the platform holds no configuration".to_owned()))
}

async fn read(platform: &HttpPlatform) -> Result<Option<Versioned>, PlatformError> {
    let Some(row) = platform.get(chicoryhollow_config::publish::ROW_KEY).await? else {
        return Ok(None);
    };
    let hash = row.value["hash"].as_str().unwrap_or_default();
    let Some(bytes) = platform.object(&format!("configuration-{hash}")).await? else {
        return Ok(None);
    };
    let configuration =
        serde_json::from_slice(&bytes).map_err(|e| PlatformError::Protocol(e.to_string()))?;
    Ok(Some(Versioned { version: row.version, configuration }))
}
