//! The command `chicoryctl check`.

use std::path::Path;

use chicoryhollow_config::{Configuration, FilesError};
use indexmap::IndexMap;
use serde_json::json;

use crate::output::{Code, CommandOutput, Failure};

/// Checks the files of `directory`.
///
/// # Errors
///
/// Returns a failure if a file cannot be read, or all problems of all files as one
/// failure.
pub fn run(directory: &Path) -> Result<CommandOutput, Failure> {
    let configuration = load(directory)?;
    let servers: usize = configuration.groups.values().map(|group| group.servers.len()).sum();
    let counts = [
        ("data centres", configuration.data_centres.len()),
        ("database groups", configuration.groups.len()),
        ("backend servers", servers),
        ("client accounts", configuration.accounts.len()),
        ("keys", configuration.keys.len()),
        ("routes", configuration.routes.len()),
    ];
    let phrases: Vec<_> = counts.iter().map(|(kind, count)| format!("{count} {kind}")).collect();
    let json = json!({ "valid": true, "counts": IndexMap::from(counts) });
    Ok(CommandOutput::new(format!("valid: {}", phrases.join(", ")), json))
}

/// Reads the files of `directory`.
///
/// # Errors
///
/// Returns a failure if a file cannot be read, or all problems of all files as one
/// failure.
pub fn load(directory: &Path) -> Result<Configuration, Failure> {
    Configuration::load(directory).map_err(|error| {
        let details = match &error {
            FilesError::Invalid(problems) => json!(problems.iter().collect::<Vec<_>>()),
            _ => json!([]),
        };
        Failure::new(Code::Refused, error).with_details(details)
    })
}
