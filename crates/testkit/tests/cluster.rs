//! A deployment of real processes serves a load, and the checker finds no breach of
//! the proxy's guarantees.
//!
//! The stand-ins run in this executable, so it has its own `main`.

use std::{process::ExitCode, time::Duration};

use chicoryhollow_testkit::{
    cluster::{ClusterError, Deployment},
    run,
    scenario::{self, Scenario, ScenarioOptions},
};

/// Scenarios with effects that only real processes show, and the duration of each
/// in seconds.
const SCENARIOS: [(Scenario, u64); 2] = [(Scenario::Steady, 5), (Scenario::KillPrimary, 16)];

fn main() -> ExitCode {
    run(async || {
        let mut code = ExitCode::SUCCESS;
        for (scenario, seconds) in SCENARIOS {
            if !is_clean_run(scenario, seconds).await? {
                code = ExitCode::FAILURE;
            }
        }
        Ok(code)
    })
}

async fn is_clean_run(scenario: Scenario, seconds: u64) -> Result<bool, ClusterError> {
    let options = ScenarioOptions {
        deployment: Deployment::pressworks(),
        seed: 1,
        length: Duration::from_secs(seconds),
    };
    let report = scenario::run(scenario, &options).await?;
    let verdict = if report.is_clean() { "ok" } else { "FAILED" };
    println!("test {scenario} ... {verdict}");
    if !report.is_clean() {
        println!("{report}");
    }
    Ok(report.is_clean())
}
