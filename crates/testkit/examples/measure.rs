//! Runs one scenario on a deployment of real processes and prints its report.

use std::{process::ExitCode, time::Duration};

use chicoryhollow_testkit::{
    cluster::Deployment,
    run,
    scenario::{self, Scenario, ScenarioOptions},
};
use pico_args::Arguments;

const USAGE: &str = "\
Usage: measure SCENARIO [--deployment pressworks|zaanstreek] [--seed N]
               [--seconds N] [--json]

Exit code 1 when a promise broke. Scenarios:";

/// Default length of a load in seconds.
const DEFAULT_SECONDS: u64 = 20;

struct Options {
    scenario: Scenario,
    run: ScenarioOptions,
    json: bool,
}

fn main() -> ExitCode {
    run(async || match parse(Arguments::from_env()) {
        Ok(options) => {
            let report = scenario::run(options.scenario, &options.run).await?;
            if options.json {
                println!("{}", serde_json::to_string(&report).map_err(std::io::Error::from)?);
            } else {
                println!("{} on {}\n{report}", options.scenario, options.run.deployment);
            }
            Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            for (_, name, summary) in Scenario::ALL {
                eprintln!("  {name:26}{summary}");
            }
            Ok(ExitCode::from(2))
        }
    })
}

fn parse(mut args: Arguments) -> Result<Options, String> {
    let text = |e: pico_args::Error| e.to_string();
    let json = args.contains("--json");
    let deployment = args.opt_value_from_str("--deployment").map_err(text)?;
    let seed = args.opt_value_from_str("--seed").map_err(text)?;
    let seconds = args.opt_value_from_str("--seconds").map_err(text)?;
    let scenario = args.free_from_str().map_err(text)?;
    let run = ScenarioOptions {
        deployment: deployment.unwrap_or_else(Deployment::pressworks),
        seed: seed.unwrap_or(1),
        length: Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS)),
    };
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
        None => Ok(Options { scenario, run, json }),
    }
}
