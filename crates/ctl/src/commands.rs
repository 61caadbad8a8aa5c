//! The commands of `chicoryctl`.

pub mod apply;
pub mod check;
pub mod diff;
pub mod key;
pub mod status;

use chicoryhollow_store::Platform;

use crate::{
    args::{Arguments, Command},
    output::{CommandOutput, Failure},
};

/// Runs one command.
///
/// # Errors
///
/// Returns the failure to print, with its exit code.
pub async fn run(
    platform: &impl Platform,
    arguments: &Arguments,
) -> Result<CommandOutput, Failure> {
    match &arguments.command {
        Command::Check(directory) => check::run(directory),
        Command::Diff(directory) => diff::run(platform, directory, arguments.timeout).await,
        Command::Apply(apply) => apply::run(platform, apply, arguments.timeout).await,
        Command::Status(None) => status::run(platform, arguments.timeout).await,
        Command::Status(Some(admin)) => status::run_via(*admin).await,
        Command::NewKey(name, account) => Ok(key::run(name, account)),
    }
}
