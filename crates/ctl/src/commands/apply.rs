//! The command `chicoryctl apply`.

use std::time::Duration;

use chicoryhollow_config::{
    Configuration, ContentHash, Difference,
    change::{changed_memberships, forbidden_changes},
    publish::ApplyId,
};
use chicoryhollow_store::Platform;
use rand::RngExt;
use serde_json::json;

use crate::{
    args::Apply,
    base::BaseFile,
    commands::{check::load, status},
    output::{Code, CommandOutput, Failure},
    publish::{Base, PublishError, publish},
    request,
};

/// Publishes the files of a directory as a whole.
///
/// # Errors
///
/// Returns a failure if the files are not valid, the change is not allowed,
/// another configuration was published first or the platform does not answer.
pub async fn run(
    platform: &impl Platform,
    apply: &Apply,
    timeout: Duration,
) -> Result<CommandOutput, Failure> {
    let next = load(&apply.directory)?;
    let base = read_base(platform, timeout).await?;
    let present = base.as_ref().map(|base| base.configuration.clone()).unwrap_or_default();
    let difference = Difference::new(&present, &next);
    let version = match &base {
        Some(base) if difference.is_empty() => base.row.version,
        _ => {
            check_base(platform, apply, base.as_ref(), timeout).await?;
            check_change(&present, &next)?;
            check_rollout(platform, base.as_ref(), &next, timeout).await?;
            publish_next(platform, base.as_ref(), &next, timeout).await?
        }
    };
    let mut answer = published_output(version, &difference);
    let base_file = BaseFile { version, hash: ContentHash::new(&next) };
    if let Err(error) = base_file.write(&apply.directory) {
        answer.text.push_str(&format!("\nwarning: cannot note the version: {error}"));
    }
    match apply.wait {
        Some(wait) => status::wait_for_version(platform, version, answer, wait).await,
        None => Ok(answer),
    }
}

/// Reads the newest version with its configuration; `None` if none is published.
///
/// # Errors
///
/// Returns a failure if the platform does not answer in time, or if the object of
/// the configuration is missing or damaged.
pub async fn read_base(
    platform: &impl Platform,
    timeout: Duration,
) -> Result<Option<Base>, Failure> {
    let Some(row) = request::current_version(platform, timeout).await? else {
        return Ok(None);
    };
    let configuration = request::read_configuration(platform, row.value.hash, timeout).await?;
    Ok(Some(Base { row, configuration }))
}

/// Checks that the files are based on the newest version.
async fn check_base(
    platform: &impl Platform,
    apply: &Apply,
    base: Option<&Base>,
    timeout: Duration,
) -> Result<(), Failure> {
    let version = base.map_or(0, |base| base.row.version);
    let hash = base.map(|base| base.row.value.hash);
    let (edited, edited_hash) = match (apply.base, BaseFile::read(&apply.directory)) {
        (Some(number), _) if number == version => return Ok(()),
        (Some(number), _) => {
            (number, base.and_then(|base| base.row.at(number)).map(|past| past.hash))
        }
        (None, Some(file)) if Some(file.hash) != hash => (file.version, Some(file.hash)),
        (None, _) => return Ok(()),
    };
    let before = match edited_hash {
        Some(hash) => request::read_configuration(platform, hash, timeout).await.ok(),
        None => None,
    };
    Err(conflict(edited, before.as_ref(), base))
}

/// Creates the failure for files that are based on version `edited` and not on
/// the newest one; its message says what has changed in between.
fn conflict(edited: u64, before: Option<&Configuration>, base: Option<&Base>) -> Failure {
    let version = base.map_or(0, |base| base.row.version);
    let empty = Configuration::default();
    let present = base.map_or(&empty, |base| &base.configuration);
    let difference = before.map(|before| Difference::new(before, present));
    let changes = match &difference {
        Some(difference) => format!("changed since version {edited}:\n{difference}"),
        None => format!("what changed since version {edited} is not known"),
    };
    let message = format!(
        "not published: version {version} is in force, and the files are based on version {edited}\n\
         {changes}\n\
         take these changes into the files, then apply them with --base {version}"
    );
    let details = json!({ "version": version, "base": edited, "difference": difference });
    Failure::new(Code::Conflict, message).with_details(details)
}

fn check_change(present: &Configuration, next: &Configuration) -> Result<(), Failure> {
    let problems = forbidden_changes(present, next);
    if problems.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    let details = json!(problems);
    Err(Failure::new(Code::Refused, lines.join("\n")).with_details(details))
}

/// If `next` changes the servers of a group, checks that the newest version is in
/// force on all VMs.
///
/// Only majorities of two consecutive memberships are certain to overlap, so the
/// last change must be in force on all VMs before the next one.
async fn check_rollout(
    platform: &impl Platform,
    base: Option<&Base>,
    next: &Configuration,
    timeout: Duration,
) -> Result<(), Failure> {
    let Some(base) = base else { return Ok(()) };
    let groups = changed_memberships(&base.configuration, next);
    if groups.is_empty() {
        return Ok(());
    }
    let version = base.row.version;
    let behind = status::vms_behind(platform, version, timeout).await?;
    if behind.is_empty() {
        return Ok(());
    }
    let names: Vec<_> = behind.iter().map(|vm| vm.vm.as_str()).collect();
    let lines: Vec<_> = groups
        .iter()
        .map(|group| {
            format!(
                "groups.{group}.servers: version {version} is not in force on {}; \
                 wait until `chicoryctl status` shows it everywhere, or stop these VMs",
                names.join(", ")
            )
        })
        .collect();
    let details = json!({ "version": version, "groups": groups, "behind": behind });
    Err(Failure::new(Code::Refused, lines.join("\n")).with_details(details))
}

async fn publish_next(
    platform: &impl Platform,
    base: Option<&Base>,
    next: &Configuration,
    timeout: Duration,
) -> Result<u64, Failure> {
    let apply = ApplyId::new(rand::rng().random());
    let error = match publish(platform, base, next, apply, timeout).await {
        Ok(version) => return Ok(version),
        Err(error) => error,
    };
    if matches!(error, PublishError::Conflict(_)) {
        let winner = self::read_base(platform, timeout).await?;
        let version = base.map_or(0, |base| base.row.version);
        let empty = Configuration::default();
        let before = base.map_or(&empty, |base| &base.configuration);
        return Err(conflict(version, Some(before), winner.as_ref()));
    }
    let details = json!({ "apply": apply, "unknown": error == PublishError::Unknown });
    Err(Failure::new(Code::Unavailable, format!("{error} (attempt {apply})")).with_details(details))
}

fn published_output(version: u64, difference: &Difference) -> CommandOutput {
    let text = if difference.is_empty() {
        format!("no difference: version {version} already has this content")
    } else {
        format!("{difference}\npublished as version {version}")
    };
    let json =
        json!({ "version": version, "changed": !difference.is_empty(), "difference": difference });
    CommandOutput::new(text, json)
}
