//! The command `chicoryctl diff`.

use std::{path::Path, time::Duration};

use chicoryhollow_config::{Difference, change::forbidden_changes};
use chicoryhollow_store::Platform;
use serde_json::json;

use crate::{
    commands::{apply::read_base, check::load},
    output::{CommandOutput, Failure},
};

/// Compares the files of `directory` with the version in force.
///
/// # Errors
///
/// Returns a failure if the files are not valid or the platform does not answer.
pub async fn run(
    platform: &impl Platform,
    directory: &Path,
    timeout: Duration,
) -> Result<CommandOutput, Failure> {
    let next = load(directory)?;
    let base = read_base(platform, timeout).await?;
    let version = base.as_ref().map_or(0, |base| base.row.version);
    let present = base.map(|base| base.configuration).unwrap_or_default();
    let difference = Difference::new(&present, &next);
    let refused = forbidden_changes(&present, &next);
    let mut text = format!("against version {version}:\n{difference}");
    for problem in &refused {
        text.push_str(&format!("\nrefused: {problem}"));
    }
    let json = json!({ "version": version, "difference": difference, "refused": refused });
    Ok(CommandOutput::new(text, json))
}
