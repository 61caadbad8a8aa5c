/*!
Scenarios: a load on a deployment, and what goes wrong meanwhile.
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

/// What happens during a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// One account sends at five times its rate.
    NoisyAccount,
    /// A primary is killed.
    KillPrimary,
    /// A primary is cut off from everything, and comes back.
    CutPrimary,
    /// A data centre is cut off from everything, and comes back.
    DarkDataCentre,
    /// Operators take a data centre out and back.
    DataCentreOutAndBack,
    /// The platform fails, and a primary is killed meanwhile.
    StoreOutage,
    /// An account's key is withdrawn.
    WithdrawKey,
    /// Sessions move to another VM after every request.
    Roam,
    /// A VM is killed and comes back.
    VmCrash,
    /// Each VM in turn is drained and started again.
    RollingRestart,
    /// Operators apply different files at the same time.
    ApplyRace,
    /// Several of these together.
    AllAtOnce,
}

impl Scenario {
    /// All scenarios with their names and what they do.
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

/// No scenario has that name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no such scenario")]
pub struct ScenarioError;

/// How to run a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Sizes to bring up.
    pub deployment: Deployment,
    /// Seed of the load.
    pub seed: u64,
    /// Length of the load.
    pub length: Duration,
}

/// Runs a scenario and judges it.
///
/// # Errors
///
/// Returns an error when the deployment cannot be brought up or steered.
pub async fn run(scenario: Scenario, options: &ScenarioOptions) -> Result<Report, ClusterError> {
    let deployment = &options.deployment;
    let cluster = Cluster::new(deployment.clone()).await?;
    let load = Load::new(&cluster, &load_options(scenario, options));
    let mut script = Script::new(cluster, load, options.length);
    script.play(scenario).await?;
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
/// How many times its rate that account sends.
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
