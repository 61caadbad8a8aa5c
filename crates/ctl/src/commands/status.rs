//! The command `chicoryctl status`.

use std::{net::SocketAddr, time::Duration};

use actix_web::rt::time::{Instant, sleep};
use awc::Client;
use chicoryhollow_core::{DataCentreId, VmId};
use chicoryhollow_store::{Platform, Vm, VmState};
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    output::{Code, CommandOutput, Failure},
    request,
};

/// Longest wait for the status of one VM.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of VMs that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Pause between two rounds of queries to all VMs while waiting for a version.
const POLL_PAUSE: Duration = Duration::from_millis(250);

/// The part of a VM's status that is needed here.
#[derive(Clone, Debug, PartialEq, Deserialize)]
struct Status {
    version: u64,
}

/// A VM and the version in force on it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VmReport {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// State in the platform's list.
    pub state: VmState,
    /// Version in force on it, or `None` if it did not answer.
    pub version: Option<u64>,
}

/// Shows the version in force on each VM of the platform's list.
///
/// # Errors
///
/// Returns a failure if the platform does not answer in time.
pub async fn run(platform: &impl Platform, timeout: Duration) -> Result<CommandOutput, Failure> {
    let row = request::current_version(platform, timeout).await?;
    let vms = query_platform_vms(platform, timeout).await?;
    let Some(row) = row else {
        let text = format!("no version is published\n{}", format_table(&vms));
        return Ok(CommandOutput::new(text, json!({ "version": 0, "vms": vms })));
    };
    let value = &row.value;
    let (reached, live) = count_reached(&vms, row.version);
    let text = format!(
        "version {}, based on {}, attempt {}, in force on {reached} of {live} live VMs\n{}",
        row.version,
        value.base,
        value.apply,
        format_table(&vms)
    );
    let json = json!({
        "version": row.version,
        "hash": value.hash,
        "apply": value.apply,
        "base": value.base,
        "reached": reached,
        "live": live,
        "vms": vms,
    });
    Ok(CommandOutput::new(text, json))
}

/// Shows the version in force on each VM.
///
/// The list of VMs is read from the VM with the administration address `admin`.
///
/// # Errors
///
/// Returns a failure if that VM does not answer.
pub async fn run_via(admin: SocketAddr) -> Result<CommandOutput, Failure> {
    let failure = |error: String| Failure::new(Code::Unavailable, format!("{admin}: {error}"));
    let client = Client::builder().timeout(STATUS_TIMEOUT).finish();
    let request = client.get(format!("http://{admin}/vms"));
    let answer = request.send().await.map_err(|error| failure(error.to_string()))?;
    let vms: Vec<Vm> =
        answer.timeout(STATUS_TIMEOUT).json().await.map_err(|error| failure(error.to_string()))?;
    let vms = query_vms(vms).await;
    let newest = vms.iter().filter_map(|vm| vm.version).max().unwrap_or(0);
    let (reached, live) = count_reached(&vms, newest);
    let text = format!(
        "version {newest} is the newest on any VM, in force on {reached} of {live} live VMs\n{}",
        format_table(&vms)
    );
    let json = json!({ "version": newest, "reached": reached, "live": live, "vms": vms });
    Ok(CommandOutput::new(text, json))
}

/// Waits until `version` is in force on all live VMs, at most for `longest`, and
/// adds the version in force on each VM to `answer`.
///
/// # Errors
///
/// Returns a failure if the platform's list of VMs cannot be read.
pub async fn wait_for_version(
    platform: &impl Platform,
    version: u64,
    answer: CommandOutput,
    longest: Duration,
) -> Result<CommandOutput, Failure> {
    let started = Instant::now();
    loop {
        let vms = query_platform_vms(platform, longest).await?;
        let (reached, live) = count_reached(&vms, version);
        let elapsed = started.elapsed();
        if reached == live || elapsed >= longest {
            let code = if reached == live { Code::Done } else { Code::Pending };
            let mut answer = answer.with_code(code);
            let seconds = elapsed.as_secs_f64();
            let line = format!("\nin force on {reached} of {live} live VMs after {seconds:.1} s\n");
            answer.text.push_str(&line);
            answer.text.push_str(&format_table(&vms));
            answer.json["reached"] = json!(reached);
            answer.json["live"] = json!(live);
            answer.json["vms"] = json!(vms);
            return Ok(answer);
        }
        sleep(POLL_PAUSE).await;
    }
}

/// Returns the VMs on which an older version than `version` may be in force.
///
/// A leaving VM that does not answer is assumed to have stopped.
///
/// # Errors
///
/// Returns a failure if the platform's list of VMs cannot be read.
pub async fn vms_behind(
    platform: &impl Platform,
    version: u64,
    timeout: Duration,
) -> Result<Vec<VmReport>, Failure> {
    let mut vms = query_platform_vms(platform, timeout).await?;
    vms.retain(|vm| match vm.version {
        Some(held) => held < version,
        None => vm.state == VmState::Live,
    });
    Ok(vms)
}

/// Queries all VMs of the platform's list.
async fn query_platform_vms(
    platform: &impl Platform,
    timeout: Duration,
) -> Result<Vec<VmReport>, Failure> {
    let vms = request::retry(timeout, || platform.vms()).await?;
    Ok(query_vms(vms).await)
}

async fn query_vms(vms: Vec<Vm>) -> Vec<VmReport> {
    let client = Client::builder().timeout(STATUS_TIMEOUT).finish();
    let queries = stream::iter(vms.into_iter().map(|vm| query_vm(&client, vm)));
    let mut reports: Vec<_> = queries.buffer_unordered(MAX_CONCURRENT_QUERIES).collect().await;
    reports.sort_by(|a, b| (&a.data_centre, &a.vm).cmp(&(&b.data_centre, &b.vm)));
    reports
}

async fn query_vm(client: &Client, vm: Vm) -> VmReport {
    let url = format!("http://{}/status", vm.admin);
    let status = match client.get(url).send().await {
        Ok(answer) => answer.timeout(STATUS_TIMEOUT).json::<Status>().await.ok(),
        Err(_) => None,
    };
    let Vm { vm, data_centre, state, .. } = vm;
    VmReport { vm, data_centre, state, version: status.map(|status| status.version) }
}

/// Returns the number of live VMs that have at least `version`, and the number of
/// all live VMs.
fn count_reached(vms: &[VmReport], version: u64) -> (usize, usize) {
    let live = vms.iter().filter(|vm| vm.state == VmState::Live);
    let reached = live.clone().filter(|vm| vm.version.is_some_and(|held| held >= version));
    (reached.count(), live.count())
}

fn format_table(vms: &[VmReport]) -> String {
    let line = |vm: &VmReport| {
        let version = vm.version.map_or("no answer".to_owned(), |v| format!("version {v}"));
        let state = if vm.state == VmState::Live { "live" } else { "leaving" };
        format!("  {:<12} {:<20} {state:<8} {version}", vm.data_centre.as_str(), vm.vm.as_str())
    };
    vms.iter().map(line).collect::<Vec<_>>().join("\n")
}
