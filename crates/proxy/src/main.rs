//! Command line of the chicoryhollow daemon.

use std::process::ExitCode;

use chicoryhollow_config::Settings;
use chicoryhollow_proxy::{daemon, events};
use pico_args::Arguments;

const HELP: &str = "\
chicoryhollow: a database proxy with session consistency

Usage: chicoryhollow --settings FILE

Options:
  --settings FILE  settings of this daemon, JSON with comments
  --check          check the settings and end
  --help           print this text
  --version        print the version
";

/// Exit code for invalid settings or options.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("chicoryhollow {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check = arguments.contains("--check");
    match settings(arguments) {
        Ok(_) if check => ExitCode::SUCCESS,
        Ok(settings) => run(settings),
        Err(message) => {
            eprintln!("chicoryhollow: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn settings(mut arguments: Arguments) -> Result<Settings, String> {
    let path: String = arguments
        .value_from_str("--settings")
        .map_err(|error| format!("{error}; name the settings file with --settings FILE"))?;
    if let Some(extra) = arguments.finish().first() {
        return Err(format!("unexpected argument {extra:?}; see --help"));
    }
    Settings::load(&path).map_err(|error| error.to_string())
}

fn run(settings: Settings) -> ExitCode {
    let log = events::logger(&settings.log);
    match daemon::run(settings, log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicoryhollow: {error}");
            ExitCode::FAILURE
        }
    }
}
