//! Measures how a daemon's resource use grows with one count at a time.

use std::{process::ExitCode, time::Duration};

use chicoryhollow_testkit::{
    cluster::ClusterError,
    run,
    slopes::{Experiment, HEADING, Slope, Timing},
};
use pico_args::Arguments;

const USAGE: &str = "\
Usage: slopes [EXPERIMENT ...] [--seconds N] [--json]

Experiments: connections, statements, accounts, active-accounts, groups, vms;
all of them when none is named.";

/// Time between a change and the next measurement, in seconds.
const SETTLE_SECONDS: u64 = 4;

struct Options {
    timing: Timing,
    json: bool,
    experiments: Vec<Experiment>,
}

fn main() -> ExitCode {
    run(async || match parse(Arguments::from_env()) {
        Ok(options) => measure(&options).await,
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            Ok(ExitCode::from(2))
        }
    })
}

fn parse(mut args: Arguments) -> Result<Options, String> {
    let json = args.contains("--json");
    let seconds = args.opt_value_from_str("--seconds").map_err(|e| e.to_string())?;
    let timing = Timing {
        length: Duration::from_secs(seconds.unwrap_or(10)),
        settle: Duration::from_secs(SETTLE_SECONDS),
    };
    let named = args.finish().into_iter().map(|name| {
        name.to_string_lossy().parse::<Experiment>().map_err(|e| format!("{name:?}: {e}"))
    });
    let named: Vec<Experiment> = named.collect::<Result<_, _>>()?;
    let experiments = if named.is_empty() { Experiment::ALL.to_vec() } else { named };
    Ok(Options { timing, json, experiments })
}

async fn measure(options: &Options) -> Result<ExitCode, ClusterError> {
    let mut all: Vec<Slope> = Vec::new();
    if !options.json {
        println!("{HEADING}");
    }
    for experiment in &options.experiments {
        let slopes = experiment.run(options.timing).await?;
        if !options.json {
            slopes.iter().for_each(|slope| println!("{slope}"));
        }
        all.extend(slopes);
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    }
    Ok(ExitCode::SUCCESS)
}
