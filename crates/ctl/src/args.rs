//! Parses the command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use chicoryhollow_core::{AccountId, KeyName};
use pico_args::Arguments as Raw;

/// Text of `--help`.
pub const HELP: &str = "\
chicoryctl: check and apply the configuration of chicoryhollow

Usage:
  chicoryctl check DIR             check the files of a directory
  chicoryctl diff DIR              compare a directory with what is in force
  chicoryctl apply DIR             publish a directory as a whole
  chicoryctl status                show where which version is in force
  chicoryctl key new NAME ACCOUNT  make a key; it is printed once

Options:
  --platform URL     address of the platform, as http://IP:PORT
                     [needed by diff, apply and status]
  --base N           apply only if version N is in force
  --wait SECONDS     after apply, wait until every live VM has the version
  --timeout SECONDS  longest time to try while the platform does not answer
                     [default: 30]
  --via IP:PORT      status: take the list of VMs from the administration
                     address of one of them, as when the platform is down
  --json             print JSON
  --help             print this text
  --version          print the version

Exit codes:
  0  done
  1  refused: the files are wrong, or the change is not allowed
  2  wrong command line
  3  the platform is not available, or gave no answer in time
  4  another configuration was published first
  5  published, but not seen in force everywhere in time";

/// Time for which requests are retried while the platform does not answer, unless
/// `--timeout` is given.
const DEFAULT_RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// What a command line requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    /// Print a text.
    Print(String),
    /// Run a command.
    Run(Arguments),
}

/// A command and its options.
#[derive(Clone, Debug, PartialEq)]
pub struct Arguments {
    /// The command.
    pub command: Command,
    /// Address of the platform; empty if the command does not need it.
    pub platform: String,
    /// Longest time for which requests are retried while the platform does not
    /// answer.
    pub timeout: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Check the files of a directory.
    Check(PathBuf),
    /// Compare a directory with the version in force.
    Diff(PathBuf),
    /// Publish a directory.
    Apply(Apply),
    /// Show the version in force on each VM. The list of VMs is that of the
    /// platform, or of the VM with this administration address.
    Status(Option<SocketAddr>),
    /// Create a key.
    NewKey(KeyName, AccountId),
}

/// What to publish and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Apply {
    /// Directory of the files.
    pub directory: PathBuf,
    /// Version on which the files are based, and which must still be in force. If it
    /// is `None`, the base file in the directory is compared instead, if there is one.
    pub base: Option<u64>,
    /// How long to wait until the version is in force on all live VMs.
    pub wait: Option<Duration>,
}

impl Arguments {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is unknown, or if an argument is missing,
    /// malformed or unexpected.
    pub fn parse(arguments: Vec<OsString>) -> Result<Invocation, UsageError> {
        let mut raw = Raw::from_vec(arguments);
        if raw.contains("--help") {
            return Ok(Invocation::Print(HELP.to_owned()));
        }
        if raw.contains("--version") {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Invocation::Print(format!("chicoryctl {version}")));
        }
        let json = raw.contains("--json");
        let platform: Option<String> = raw.opt_value_from_str("--platform")?;
        let timeout = parse_seconds(&mut raw, "--timeout")?.unwrap_or(DEFAULT_RETRY_TIMEOUT);
        let command = parse_command(&mut raw)?;
        let rest = raw.finish();
        if let Some(extra) = rest.first() {
            return Err(UsageError::Extra(extra.to_string_lossy().into_owned()));
        }
        if needs_platform(&command) && platform.is_none() {
            return Err(UsageError::NoPlatform);
        }
        let platform = platform.unwrap_or_default().trim_end_matches('/').to_owned();
        Ok(Invocation::Run(Arguments { command, platform, timeout, json }))
    }
}

fn needs_platform(command: &Command) -> bool {
    match command {
        Command::Check(_) | Command::NewKey(..) | Command::Status(Some(_)) => false,
        Command::Diff(_) | Command::Apply(_) | Command::Status(None) => true,
    }
}

fn parse_command(raw: &mut Raw) -> Result<Command, UsageError> {
    let name = raw.subcommand()?.ok_or(UsageError::NoCommand)?;
    match name.as_str() {
        "check" => Ok(Command::Check(parse_directory(raw)?)),
        "diff" => Ok(Command::Diff(parse_directory(raw)?)),
        "apply" => {
            let base = raw.opt_value_from_str("--base")?;
            let wait = parse_seconds(raw, "--wait")?;
            Ok(Command::Apply(Apply { directory: parse_directory(raw)?, base, wait }))
        }
        "status" => Ok(Command::Status(raw.opt_value_from_str("--via")?)),
        "key" => match raw.subcommand()?.as_deref() {
            Some("new") => Ok(Command::NewKey(raw.free_from_str()?, raw.free_from_str()?)),
            _ => Err(UsageError::Unknown("key".to_owned())),
        },
        other => Err(UsageError::Unknown(other.to_owned())),
    }
}

fn parse_directory(raw: &mut Raw) -> Result<PathBuf, UsageError> {
    let text: OsString = raw.free_from_os_str(|text| Ok::<_, UsageError>(text.to_owned()))?;
    if text.to_string_lossy().starts_with('-') {
        return Err(UsageError::Extra(text.to_string_lossy().into_owned()));
    }
    Ok(PathBuf::from(text))
}

fn parse_seconds(raw: &mut Raw, option: &'static str) -> Result<Option<Duration>, UsageError> {
    let Some(number) = raw.opt_value_from_str::<_, f64>(option)? else {
        return Ok(None);
    };
    Duration::try_from_secs_f64(number).map(Some).map_err(|_| UsageError::Seconds(option))
}

/// An error in the command line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum UsageError {
    /// The command is missing.
    #[error("no command is given; see chicoryctl --help")]
    NoCommand,
    /// The command is unknown.
    #[error("unknown command {0:?}; see chicoryctl --help")]
    Unknown(String),
    /// An argument is unexpected or unknown.
    #[error("unexpected argument {0:?}; see chicoryctl --help")]
    Extra(String),
    /// The command needs the platform's address.
    #[error("this command needs --platform URL")]
    NoPlatform,
    /// The value of an option is not a time in seconds.
    #[error("{0} requires a number of seconds")]
    Seconds(&'static str),
    /// An argument is missing or malformed.
    #[error("{0}; see chicoryctl --help")]
    Argument(String),
}

impl From<pico_args::Error> for UsageError {
    fn from(error: pico_args::Error) -> Self {
        UsageError::Argument(error.to_string())
    }
}
