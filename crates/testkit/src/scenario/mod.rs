/*!
Scenarios: named runs of a load on a deployment with certain faults.

A scenario starts a deployment and a load, injects its faults, and returns the
[`Report`] of the checker.
*/

mod race;
mod script;

use std::{fmt, str::FromStr, time::Duration};

use crate::{
    checker::{Report, StoredWrites},
    cluster::{Cluster, ClusterError, Deployment},
    load::{Load, LoadOptions},
    scenario::script::Script,
};

/// Faults and changes made during a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// No fault.
    Steady,
    /// One account sends at five times its rate.
    NoisyAccount,
    /// A primary is killed.
    KillPrimary,
    /// A primary is disconnected from all other processes and later
    /// reconnected.
    CutPrimary,
    /// A data centre is disconnected from all others and later reconnected.
    DarkDataCentre,
    /// Operators take a data centre out of service and later back into service.
    DataCentreOutAndBack,
    /// The platform is unavailable, and a primary is killed during the outage.
    StoreOutage,
    /// The key of an account is withdrawn.
    WithdrawKey,
    /// Sessions move to another VM after every request.
    Roam,
    /// A VM is killed and later started again.
    VmCrash,
    /// Each VM in turn is drained and restarted.
    RollingRestart,
    /// Two operators apply different configurations at the same time.
    ApplyRace,
    /// Several of these faults together.
    AllAtOnce,
}

impl Scenario {
    /// All scenarios, each with its name and a summary.
    pub const ALL: [(Scenario, &'static str, &'static str); 13] = [
        (Scenario::Steady, "steady", "load and nothing else"),
        (Scenario::NoisyAccount, "noisy-account", "one account at five times its rate"),
        (Scenario::KillPrimary, "kill-primary", "a primary is killed"),
        (Scenario::CutPrimary, "cut-primary", "a primary is cut off and comes back"),
        (Scenario::DarkDataCentre, "dark-data-centre", "a data centre is cut off and comes back"),
        (
            Scenario::DataCentreOutAndBack,
            "data-centre-out-and-back",
            "operators take a data centre out and back",
        ),
        (Scenario::StoreOutage, "store-outage", "the platform fails and a primary is killed"),
        (Scenario::WithdrawKey, "withdraw-key", "an account's key is withdrawn"),
        (Scenario::Roam, "roam", "sessions move after every request"),
        (Scenario::VmCrash, "vm-crash", "a VM is killed and comes back"),
        (Scenario::RollingRestart, "rolling-restart", "each VM is drained and started again"),
        (Scenario::ApplyRace, "apply-race", "operators apply different files at once"),
        (Scenario::AllAtOnce, "all-at-once", "several of these together"),
    ];
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = Scenario::ALL.iter().find(|(scenario, ..)| scenario == self);
        f.write_str(found.map_or("", |(_, name, _)| name))
    }
}

impl FromStr for Scenario {
    type Err = ScenarioError;

    fn from_str(text: &str) -> Result<Self, ScenarioError> {
        let found = Scenario::ALL.iter().find(|(_, name, _)| *name == text);
        found.map(|(scenario, ..)| *scenario).ok_or(ScenarioError)
    }
}

/// Error returned for a text that is not the name of a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no such scenario")]
pub struct ScenarioError;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Deployment to start.
    pub deployment: Deployment,
    /// Seed of the load's random choices.
    pub seed: u64,
    /// Planned length of the load. The load continues for at least two seconds
    /// after the scenario's last step, even if it then exceeds this length.
    pub length: Duration,
}

/// Runs a scenario and returns its report.
///
/// If there are breaches, the deployment's files and logs are kept.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started or controlled.
pub async fn run(scenario: Scenario, options: &ScenarioOptions) -> Result<Report, ClusterError> {
    let deployment = &options.deployment;
    let cluster = Cluster::new(deployment.clone()).await?;
    let load = Load::new(&cluster, &load_options(scenario, options));
    let mut script = Script::new(cluster, load, options.length);
    script.run(scenario).await?;
    let (mut cluster, load, conditions) = script.finish().await;
    let share = cluster.replica_share().await;
    let requests = load.finish().await;
    let stored_writes = StoredWrites::read(&cluster).await?;
    let report = Report::new(deployment, &requests, &stored_writes, &conditions);
    if !report.is_clean() {
        cluster.keep_files();
        eprintln!("logs are in {}", cluster.log_directory().display());
    }
    Ok(report.with_replica_share(share))
}

/// Index of the account that sends above its rate.
const NOISY_ACCOUNT: usize = 3;
/// Request rate of that account as a multiple of its permitted rate.
const NOISY_INTENSITY: f64 = 5.0;

fn load_options(scenario: Scenario, options: &ScenarioOptions) -> LoadOptions {
    let mut load = LoadOptions::new(&options.deployment, options.seed);
    match scenario {
        Scenario::NoisyAccount | Scenario::AllAtOnce => {
            load.intensity[NOISY_ACCOUNT] = NOISY_INTENSITY;
        }
        Scenario::Roam => load.roam_after = 1,
        _ => {}
    }
    load
}
