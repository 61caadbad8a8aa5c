//! Experiments, each of which varies one count.

use std::{fmt, str::FromStr, time::Instant};

use chicoryhollow_config::{Account, Burst, Key, Rate, Verifier, verifier::DEFAULT_ITERATIONS};
use chicoryhollow_store::{Vm, VmState};

use super::{
    Sample, Slope, Timing,
    groups::{AddedGroups, parse_name},
};
use crate::{
    bench::{IdleConnections, Target, read_loop},
    cluster::{Cluster, ClusterError, Deployment, identity},
    load::client::{Client, Identity},
    platform::ListedVm,
};

/// Index of the VM whose daemon is measured.
const MEASURED_VM: usize = 0;
/// Numbers of idle connections.
const CONNECTION_COUNTS: [usize; 4] = [250, 1_000, 4_000, 8_000];
/// Numbers of clients that read in closed loops.
const READER_COUNTS: [usize; 4] = [1, 4, 16, 64];
/// Numbers of added accounts, each with a key.
const ACCOUNT_COUNTS: [usize; 4] = [100, 500, 2_000, 8_000];
/// Numbers of accounts with one active caller each.
const ACTIVE_ACCOUNT_COUNTS: [usize; 4] = [4, 16, 64, 160];
/// Numbers of added database groups.
const GROUP_COUNTS: [usize; 4] = [6, 20, 60, 120];
/// Numbers of VMs added to the platform's list, in a data centre of their own.
const VM_COUNTS: [usize; 3] = [290, 900, 2_900];
/// Number of changes that are applied in sequence at each size of the
/// configuration.
const CHANGE_COUNT: usize = 10;
/// Bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1_000.0;
/// Percent in a whole, to convert a share of a core.
const PERCENT: f64 = 100.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Experiment, named after the count that it varies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Experiment {
    /// Idle connections of callers.
    Connections,
    /// Statements a second.
    Statements,
    /// Configured accounts with their keys.
    Accounts,
    /// Accounts with an active caller.
    Active,
    /// Database groups that are watched.
    Groups,
    /// VMs in the platform's list.
    Vms,
}

impl Experiment {
    /// All experiments.
    pub const ALL: [Experiment; 6] = [
        Experiment::Connections,
        Experiment::Statements,
        Experiment::Accounts,
        Experiment::Active,
        Experiment::Groups,
        Experiment::Vms,
    ];

    /// Starts a deployment and measures how its costs grow with the count.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the deployment fails.
    pub async fn run(self, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
        let mut cluster = Cluster::new(Deployment::unlimited()).await?;
        tokio::time::sleep(timing.settle).await;
        match self {
            Experiment::Connections => connections(&cluster, timing).await,
            Experiment::Statements => statements(&cluster, timing).await,
            Experiment::Accounts => accounts(&mut cluster, timing).await,
            Experiment::Active => active(&mut cluster, timing).await,
            Experiment::Groups => groups(&mut cluster, timing).await,
            Experiment::Vms => vms(&cluster, timing).await,
        }
    }
}

impl fmt::Display for Experiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Experiment::Connections => "connections",
            Experiment::Statements => "statements",
            Experiment::Accounts => "accounts",
            Experiment::Active => "active-accounts",
            Experiment::Groups => "groups",
            Experiment::Vms => "vms",
        })
    }
}

impl FromStr for Experiment {
    type Err = ExperimentError;

    fn from_str(text: &str) -> Result<Self, ExperimentError> {
        Experiment::ALL.into_iter().find(|e| e.to_string() == text).ok_or(ExperimentError)
    }
}

/// Error returned for a text that is not the name of an experiment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an experiment is connections, statements, accounts, active-accounts, groups or vms")]
pub struct ExperimentError;

/// Resource use of a daemon in a steady state: memory in bytes, processor time in
/// percent of a core, and control traffic in bytes a second, in total and by
/// channel.
struct UsageRates {
    memory: f64,
    processor: f64,
    control: f64,
    peers: f64,
    backend: f64,
    platform: f64,
}

async fn measure_rates(cluster: &Cluster, timing: Timing) -> Result<UsageRates, ClusterError> {
    tokio::time::sleep(timing.settle).await;
    let (before, began) = (Sample::new(cluster, MEASURED_VM).await?, Instant::now());
    tokio::time::sleep(timing.length).await;
    let (after, passed) = (Sample::new(cluster, MEASURED_VM).await?, began.elapsed().as_secs_f64());
    let channel = |name| (after.channel_bytes(name) - before.channel_bytes(name)) / passed;
    Ok(UsageRates {
        memory: after.memory,
        processor: (after.processor - before.processor) / passed * PERCENT,
        control: (after.control_bytes() - before.control_bytes()) / passed,
        peers: channel("peers"),
        backend: channel("backend"),
        platform: channel("platform"),
    })
}

fn target(cluster: &Cluster) -> Target {
    let identity = identity(cluster.deployment(), 0);
    Target { address: cluster.direct_address(MEASURED_VM), identity }
}

async fn connections(cluster: &Cluster, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
    let (mut memory, mut processor, mut held) = (Vec::new(), Vec::new(), Vec::new());
    for count in CONNECTION_COUNTS {
        let open = held.iter().map(|(count, _): &(usize, IdleConnections)| count).sum::<usize>();
        held.push((count - open, IdleConnections::new(&target(cluster), count - open).await?));
        let rates = measure_rates(cluster, timing).await?;
        memory.push((count as f64, rates.memory / BYTES_PER_KB));
        processor.push((count as f64, rates.processor));
    }
    Ok(vec![
        Slope::new("connections", "memory KB", memory),
        Slope::new("connections", "processor % of a core", processor),
    ])
}

async fn statements(cluster: &Cluster, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
    let (mut own_use, mut total_use) = (Vec::new(), Vec::new());
    for readers in READER_COUNTS {
        let mut before = Vec::new();
        for vm in 0..cluster.deployment().vms {
            before.push(Sample::new(cluster, vm).await?.processor);
        }
        let reads = read_loop(&target(cluster), readers, timing.length).await?;
        let mut used = 0.0;
        for (vm, before) in before.iter().enumerate() {
            used += Sample::new(cluster, vm).await?.processor - before;
        }
        let own = Sample::new(cluster, MEASURED_VM).await?.processor - before[MEASURED_VM];
        let seconds = timing.length.as_secs_f64();
        own_use.push((reads.per_second, own / seconds * PERCENT));
        total_use.push((reads.per_second, used / seconds * PERCENT));
    }
    Ok(vec![
        Slope::new("statements/s", "own processor % of a core", own_use),
        Slope::new("statements/s", "all processors % of a core", total_use),
    ])
}

fn account_name(index: usize) -> String {
    format!("added-{index}")
}

fn add_accounts(configuration: &mut chicoryhollow_config::Configuration, count: usize) {
    let rate = Rate::new(1_000.0).expect("the rate is positive");
    let burst = Burst::new(1_000.0).expect("the burst is at least one");
    // All added accounts share one verifier, because its key derivation is slow by
    // design.
    let verifier = Verifier::new("secret", [3; 16], DEFAULT_ITERATIONS);
    let routes: Vec<_> = configuration.routes.keys().cloned().collect();
    for index in 0..count {
        let name: chicoryhollow_core::AccountId = parse_name(&account_name(index));
        if configuration.accounts.contains_key(&name) {
            continue;
        }
        configuration.accounts.insert(name.clone(), Account { rate, burst, weight: 1 });
        let key = Key { account: name.clone(), verifier: verifier.clone() };
        configuration.keys.insert(parse_name(&format!("{name}-key")), key);
        configuration.routes[&routes[0]].accounts.push(name);
    }
}

async fn accounts(cluster: &mut Cluster, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
    let (mut memory, mut processor, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for count in ACCOUNT_COUNTS {
        cluster.apply(|configuration| add_accounts(configuration, count)).await?;
        let idle = measure_rates(cluster, timing).await?;
        let (before, began) = (Sample::new(cluster, MEASURED_VM).await?, Instant::now());
        for _ in 0..CHANGE_COUNT {
            cluster.apply(|configuration| configuration.accounts[0].weight += 1).await?;
        }
        tokio::time::sleep(timing.settle).await;
        let passed = began.elapsed().as_secs_f64();
        let after = Sample::new(cluster, MEASURED_VM).await?;
        let idle_seconds = idle.processor / PERCENT * passed;
        let used = (after.processor - before.processor - idle_seconds).max(0.0);
        let transferred = after.control_bytes() - before.control_bytes() - idle.control * passed;
        memory.push((count as f64, after.memory / BYTES_PER_KB));
        processor.push((count as f64, used / CHANGE_COUNT as f64 * MICROS_PER_SECOND));
        bytes.push((count as f64, transferred / CHANGE_COUNT as f64));
    }
    Ok(vec![
        Slope::new("accounts", "memory KB", memory),
        Slope::new("accounts", "processor us a change", processor),
        Slope::new("accounts", "control bytes a change", bytes),
    ])
}

async fn active(cluster: &mut Cluster, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
    let max_accounts = ACTIVE_ACCOUNT_COUNTS[ACTIVE_ACCOUNT_COUNTS.len() - 1];
    cluster.apply(|configuration| add_accounts(configuration, max_accounts)).await?;
    tokio::time::sleep(timing.settle).await;
    let database = identity(cluster.deployment(), 0).database;
    let mut clients: Vec<Client> = Vec::new();
    let (mut bytes, mut processor) = (Vec::new(), Vec::new());
    for count in ACTIVE_ACCOUNT_COUNTS {
        while clients.len() < count {
            let user = format!("{}-key", account_name(clients.len()));
            let credentials =
                Identity { user, password: "secret".to_owned(), database: database.clone() };
            clients
                .push(Client::new(cluster.direct_address(MEASURED_VM), &credentials, None).await?);
        }
        let (before, began) = (Sample::new(cluster, MEASURED_VM).await?, Instant::now());
        while began.elapsed() < timing.length {
            for client in &mut clients {
                client.simple_query("SELECT 1").await?;
            }
            tokio::time::sleep(timing.length / 20).await;
        }
        let (after, passed) =
            (Sample::new(cluster, MEASURED_VM).await?, began.elapsed().as_secs_f64());
        let transferred = after.channel_bytes("peers") - before.channel_bytes("peers");
        bytes.push((count as f64, transferred / passed));
        processor.push((count as f64, (after.processor - before.processor) / passed * PERCENT));
    }
    Ok(vec![
        Slope::new("active accounts", "peer control bytes/s", bytes),
        Slope::new("active accounts", "processor % of a core", processor),
    ])
}

async fn groups(cluster: &mut Cluster, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
    let mut added = AddedGroups::default();
    let [mut memory, mut processor, mut backend, mut peers] = [const { Vec::new() }; 4];
    for count in GROUP_COUNTS {
        let mut next = cluster.configuration().clone();
        added.grow(count, &mut next).await?;
        cluster.apply(|configuration| *configuration = next).await?;
        let rates = measure_rates(cluster, timing).await?;
        memory.push((count as f64, rates.memory / BYTES_PER_KB));
        processor.push((count as f64, rates.processor));
        backend.push((count as f64, rates.backend));
        peers.push((count as f64, rates.peers));
    }
    Ok(vec![
        Slope::new("watched groups", "memory KB", memory),
        Slope::new("watched groups", "processor % of a core", processor),
        Slope::new("watched groups", "backend control bytes/s", backend),
        Slope::new("watched groups", "peer control bytes/s", peers),
    ])
}

async fn vms(cluster: &Cluster, timing: Timing) -> Result<Vec<Slope>, ClusterError> {
    let [mut memory, mut processor, mut platform, mut peers] = [const { Vec::new() }; 4];
    let mut listed = 0;
    for count in VM_COUNTS {
        while listed < count {
            listed += 1;
            cluster.list_extra_vm(&distant_vm(listed)).await?;
        }
        let rates = measure_rates(cluster, timing).await?;
        memory.push((count as f64, rates.memory / BYTES_PER_KB));
        processor.push((count as f64, rates.processor));
        platform.push((count as f64, rates.platform));
        peers.push((count as f64, rates.peers));
    }
    Ok(vec![
        Slope::new("VMs", "memory KB", memory),
        Slope::new("VMs", "processor % of a core", processor),
        Slope::new("VMs", "platform control bytes/s", platform),
        Slope::new("VMs", "peer control bytes/s", peers),
    ])
}

/// Creates a VM in a data centre without backend servers, so that it gets no role
/// on which the measured daemon depends.
fn distant_vm(index: usize) -> ListedVm {
    let address = ([127, 0, 0, 1], 1).into();
    let vm = Vm {
        vm: parse_name(&format!("distant-{index}")),
        data_centre: parse_name("distant"),
        peers: address,
        admin: address,
        state: VmState::Live,
    };
    ListedVm { vm, links: indexmap::IndexMap::new() }
}
