//! The counts that are varied, one at a time.

use std::{fmt, str::FromStr, time::Instant};

use chicoryhollow_config::{Account, Burst, Key, Rate, Verifier, verifier::DEFAULT_ITERATIONS};
use chicoryhollow_store::{Vm, VmState};

use super::{
    Sample, Setup, Slope,
    groups::{AddedGroups, valid},
};
use crate::{
    bench::{Idle, Target, read_loop},
    cluster::{Cluster, ClusterError, Deployment, identity},
    load::client::{Client, Identity},
    platform::ListedVm,
};

/// VM whose daemon is measured.
const VM: usize = 0;
/// Connections held idle.
const CONNECTIONS: [usize; 4] = [250, 1_000, 4_000, 8_000];
/// Clients that read in closed loops.
const READERS: [usize; 4] = [1, 4, 16, 64];
/// Accounts with a key each.
const ACCOUNTS: [usize; 4] = [100, 500, 2_000, 8_000];
/// Accounts of which one caller each is active.
const ACTIVE: [usize; 4] = [4, 16, 64, 160];
/// Database groups.
const GROUPS: [usize; 4] = [6, 20, 60, 120];
/// VMs in the platform's list, in a data centre of their own.
const VMS: [usize; 3] = [290, 900, 2_900];
/// Changes applied one after the other at each size of the configuration.
const CHANGES: usize = 10;
/// Bytes in a kilobyte.
const KB: f64 = 1_000.0;
/// Percent of a core, and microseconds of a second.
const PERCENT: f64 = 100.0;
const MICROS: f64 = 1e6;

/// One count that is varied.
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

    /// Measures the slopes of this count on a deployment of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when a part of the deployment fails.
    pub async fn run(self, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
        let mut cluster = Cluster::new(Deployment::unlimited()).await?;
        tokio::time::sleep(setup.settle).await;
        match self {
            Experiment::Connections => connections(&cluster, setup).await,
            Experiment::Statements => statements(&cluster, setup).await,
            Experiment::Accounts => accounts(&mut cluster, setup).await,
            Experiment::Active => active(&mut cluster, setup).await,
            Experiment::Groups => groups(&mut cluster, setup).await,
            Experiment::Vms => vms(&cluster, setup).await,
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

/// No experiment has that name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an experiment is connections, statements, accounts, active-accounts, groups or vms")]
pub struct ExperimentError;

/// What a daemon uses while nothing is changed.
struct Rates {
    memory: f64,
    processor: f64,
    control: f64,
    peers: f64,
    backend: f64,
    platform: f64,
}

async fn rates(cluster: &Cluster, setup: Setup) -> Result<Rates, ClusterError> {
    tokio::time::sleep(setup.settle).await;
    let (before, began) = (Sample::new(cluster, VM).await?, Instant::now());
    tokio::time::sleep(setup.length).await;
    let (after, passed) = (Sample::new(cluster, VM).await?, began.elapsed().as_secs_f64());
    let channel = |name| (after.channel_bytes(name) - before.channel_bytes(name)) / passed;
    Ok(Rates {
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
    Target { address: cluster.direct_address(VM), identity }
}

async fn connections(cluster: &Cluster, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
    let (mut memory, mut processor, mut held) = (Vec::new(), Vec::new(), Vec::new());
    for count in CONNECTIONS {
        let open = held.iter().map(|(count, _): &(usize, Idle)| count).sum::<usize>();
        held.push((count - open, Idle::new(&target(cluster), count - open).await?));
        let rates = rates(cluster, setup).await?;
        memory.push((count as f64, rates.memory / KB));
        processor.push((count as f64, rates.processor));
    }
    Ok(vec![
        Slope::new("connections", "memory KB", memory),
        Slope::new("connections", "processor % of a core", processor),
    ])
}

async fn statements(cluster: &Cluster, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
    let (mut entry, mut home) = (Vec::new(), Vec::new());
    for readers in READERS {
        let mut before = Vec::new();
        for vm in 0..cluster.deployment().vms {
            before.push(Sample::new(cluster, vm).await?.processor);
        }
        let reads = read_loop(&target(cluster), readers, setup.length).await?;
        let mut used = 0.0;
        for (vm, before) in before.iter().enumerate() {
            used += Sample::new(cluster, vm).await?.processor - before;
        }
        let own = Sample::new(cluster, VM).await?.processor - before[VM];
        let seconds = setup.length.as_secs_f64();
        entry.push((reads.per_second, own / seconds * PERCENT));
        home.push((reads.per_second, used / seconds * PERCENT));
    }
    Ok(vec![
        Slope::new("statements/s", "own processor % of a core", entry),
        Slope::new("statements/s", "all processors % of a core", home),
    ])
}

fn account_name(index: usize) -> String {
    format!("added-{index}")
}

fn add_accounts(configuration: &mut chicoryhollow_config::Configuration, count: usize) {
    let rate = Rate::new(1_000.0).expect("the rate is positive");
    let burst = Burst::new(1_000.0).expect("the burst is at least one");
    // Deriving a key is slow on purpose, so that all added accounts share one.
    let verifier = Verifier::new("secret", [3; 16], DEFAULT_ITERATIONS);
    let routes: Vec<_> = configuration.routes.keys().cloned().collect();
    for index in 0..count {
        let name: chicoryhollow_core::AccountId = valid(&account_name(index));
        if configuration.accounts.contains_key(&name) {
            continue;
        }
        configuration.accounts.insert(name.clone(), Account { rate, burst, weight: 1 });
        let key = Key { account: name.clone(), verifier: verifier.clone() };
        configuration.keys.insert(valid(&format!("{name}-key")), key);
        configuration.routes[&routes[0]].accounts.push(name);
    }
}

async fn accounts(cluster: &mut Cluster, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
    let (mut memory, mut processor, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for count in ACCOUNTS {
        cluster.apply(|configuration| add_accounts(configuration, count)).await?;
        let idle = rates(cluster, setup).await?;
        let (before, began) = (Sample::new(cluster, VM).await?, Instant::now());
        for _ in 0..CHANGES {
            cluster.apply(|configuration| configuration.accounts[0].weight += 1).await?;
        }
        tokio::time::sleep(setup.settle).await;
        let passed = began.elapsed().as_secs_f64();
        let after = Sample::new(cluster, VM).await?;
        let quiet = idle.processor / PERCENT * passed;
        let used = (after.processor - before.processor - quiet).max(0.0);
        let moved = after.control_bytes() - before.control_bytes() - idle.control * passed;
        memory.push((count as f64, after.memory / KB));
        processor.push((count as f64, used / CHANGES as f64 * MICROS));
        bytes.push((count as f64, moved / CHANGES as f64));
    }
    Ok(vec![
        Slope::new("accounts", "memory KB", memory),
        Slope::new("accounts", "processor us a change", processor),
        Slope::new("accounts", "control bytes a change", bytes),
    ])
}

async fn active(cluster: &mut Cluster, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
    let most = ACTIVE[ACTIVE.len() - 1];
    cluster.apply(|configuration| add_accounts(configuration, most)).await?;
    tokio::time::sleep(setup.settle).await;
    let database = identity(cluster.deployment(), 0).database;
    let mut clients: Vec<Client> = Vec::new();
    let (mut bytes, mut processor) = (Vec::new(), Vec::new());
    for count in ACTIVE {
        while clients.len() < count {
            let user = format!("{}-key", account_name(clients.len()));
            let shown =
                Identity { user, password: "secret".to_owned(), database: database.clone() };
            clients.push(Client::new(cluster.direct_address(VM), &shown, None).await?);
        }
        let (before, began) = (Sample::new(cluster, VM).await?, Instant::now());
        while began.elapsed() < setup.length {
            for client in &mut clients {
                client.simple("SELECT 1").await?;
            }
            tokio::time::sleep(setup.length / 20).await;
        }
        let (after, passed) = (Sample::new(cluster, VM).await?, began.elapsed().as_secs_f64());
        let moved = after.channel_bytes("peers") - before.channel_bytes("peers");
        bytes.push((count as f64, moved / passed));
        processor.push((count as f64, (after.processor - before.processor) / passed * PERCENT));
    }
    Ok(vec![
        Slope::new("active accounts", "peer control bytes/s", bytes),
        Slope::new("active accounts", "processor % of a core", processor),
    ])
}

async fn groups(cluster: &mut Cluster, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
    let mut added = AddedGroups::default();
    let [mut memory, mut processor, mut backend, mut peers] = [const { Vec::new() }; 4];
    for count in GROUPS {
        let mut next = cluster.configuration().clone();
        added.grow(count, &mut next).await?;
        cluster.apply(|configuration| *configuration = next).await?;
        let rates = rates(cluster, setup).await?;
        memory.push((count as f64, rates.memory / KB));
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

async fn vms(cluster: &Cluster, setup: Setup) -> Result<Vec<Slope>, ClusterError> {
    let [mut memory, mut processor, mut platform, mut peers] = [const { Vec::new() }; 4];
    let mut listed = 0;
    for count in VMS {
        while listed < count {
            listed += 1;
            cluster.list_extra_vm(&distant_vm(listed)).await?;
        }
        let rates = rates(cluster, setup).await?;
        memory.push((count as f64, rates.memory / KB));
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

/// Makes a VM of a data centre without backend servers, so that it gets no role
/// that the measured daemon needs.
fn distant_vm(index: usize) -> ListedVm {
    let address = ([127, 0, 0, 1], 1).into();
    let vm = Vm {
        vm: valid(&format!("distant-{index}")),
        data_centre: valid("distant"),
        peers: address,
        admin: address,
        state: VmState::Live,
    };
    ListedVm { vm, links: indexmap::IndexMap::new() }
}
