//! Two operators that apply different configurations at the same time.
//!
//! Both start from the same version, so at most one of them may succeed.

use std::{path::Path, time::Duration};

use chicoryhollow_config::{Burst, Configuration, configuration::Versioned};
use chicoryhollow_store::{HttpPlatform, Platform, PlatformError};

use crate::{
    checker::Breach,
    cluster::{Applied, Cluster, ClusterError},
};

/// Number of races.
const RACE_COUNT: u32 = 5;
/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of attempts to read the configuration, because responses of
/// the platform get lost.
const MAX_READ_ATTEMPTS: u32 = 50;

/// Runs the races and returns the breaches.
pub(super) async fn run(cluster: &mut Cluster) -> Result<Vec<(Breach, u64)>, ClusterError> {
    let mut breaches = 0;
    for round in 0..RACE_COUNT {
        let base = current_configuration(cluster).await?;
        let files =
            [0, 1].map(|operator| changed_configuration(&base.configuration, round, operator));
        let directories =
            [0, 1].map(|n| cluster.configuration_directory().join(format!("race-{n}")));
        let [first, second] = &directories;
        let (first, second) = tokio::join!(
            apply(cluster, first, &files[0], base.version),
            apply(cluster, second, &files[1], base.version)
        );
        let outcomes = [first?, second?];
        let now = current_configuration(cluster).await?;
        breaches += count_contradictions(&outcomes, &files, &base, &now);
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

/// Counts the operators that received an outcome which contradicts `now`, the
/// configuration on the platform after the race.
fn count_contradictions(
    outcomes: &[Applied; 2],
    files: &[Configuration; 2],
    base: &Versioned,
    now: &Versioned,
) -> u64 {
    let is_active = |index: usize| now.configuration == files[index];
    let is_contradicted = |index: usize| match outcomes[index] {
        Applied::Done => now.version != base.version + 1 || !is_active(index),
        Applied::Lost => is_active(index),
        Applied::Unavailable => false,
    };
    (0..2).filter(|index| is_contradicted(*index)).count() as u64
}

fn changed_configuration(base: &Configuration, round: u32, operator: u32) -> Configuration {
    let mut files = base.clone();
    let burst = f64::from(100 + 2 * round + operator);
    if let Some((_, account)) = files.accounts.first_mut() {
        account.burst = Burst::new(burst).expect("the burst is above one");
    }
    files
}

/// Returns the configuration that the platform holds; retries while responses
/// are lost.
async fn current_configuration(cluster: &Cluster) -> Result<Versioned, ClusterError> {
    let platform = HttpPlatform::new(cluster.platform_url(), PLATFORM_TIMEOUT);
    for _ in 0..MAX_READ_ATTEMPTS {
        if let Ok(Some(found)) = try_read(&platform).await {
            return Ok(found);
        }
    }
    Err(ClusterError::Request("the platform holds no configuration".to_owned()))
}

async fn try_read(platform: &HttpPlatform) -> Result<Option<Versioned>, PlatformError> {
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
