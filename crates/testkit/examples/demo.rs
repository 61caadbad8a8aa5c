//! Starts a deployment, puts it under load, kills a primary, and checks the
//! proxy's guarantees.

use std::{process::ExitCode, time::Duration};

use chicoryhollow_testkit::{
    checker::{Injection, Report, RunConditions, StoredWrites},
    cluster::{Cluster, ClusterError, Deployment, identity, wait_for_shutdown},
    load::{Load, LoadOptions},
    run,
};
use pico_args::Arguments;

const USAGE: &str = "\
Usage: demo [--serve] [--deployment pressworks|zaanstreek]

  --serve       bring the deployment up, print its addresses, and stay until
                SIGTERM or until standard input closes
  --deployment  sizes to bring up [default: pressworks]";

/// Duration of the load before the primary is killed.
const LOAD_BEFORE_KILL: Duration = Duration::from_secs(4);
/// Duration of the load after the primary was killed.
const LOAD_AFTER_KILL: Duration = Duration::from_secs(8);
/// Index of the group whose primary is killed.
const KILLED_GROUP: usize = 0;

struct Options {
    serve: bool,
    deployment: Deployment,
}

fn main() -> ExitCode {
    run(async || match parse(Arguments::from_env()) {
        Ok(options) if options.serve => serve(options.deployment).await,
        Ok(options) => load(options.deployment).await,
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            Ok(ExitCode::from(2))
        }
    })
}

fn parse(mut args: Arguments) -> Result<Options, String> {
    let serve = args.contains("--serve");
    let deployment = args.opt_value_from_str("--deployment").map_err(|e| e.to_string())?;
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
        None => {
            Ok(Options { serve, deployment: deployment.unwrap_or_else(Deployment::pressworks) })
        }
    }
}

async fn load(deployment: Deployment) -> Result<ExitCode, ClusterError> {
    println!("bringing up {deployment}: 3 data centres, 9 backend servers, {} VMs", deployment.vms);
    let mut cluster = Cluster::new(deployment.clone()).await?;
    println!("load of {} accounts with roaming sessions", deployment.accounts.len());
    let load = Load::new(&cluster, &LoadOptions::new(&deployment, 1));
    tokio::time::sleep(LOAD_BEFORE_KILL).await;
    let mut conditions = RunConditions::default();
    if let Some(primary) = cluster.primary(KILLED_GROUP).await {
        println!("killing {}, a primary", cluster.servers()[primary].name());
        cluster.kill_server(primary);
        conditions.injection = Some(Injection { at: load.elapsed(), groups: vec![KILLED_GROUP] });
    }
    tokio::time::sleep(LOAD_AFTER_KILL).await;
    let share = cluster.replica_share().await;
    let requests = load.finish().await;
    let stored_writes = StoredWrites::read(&cluster).await?;
    let report = Report::new(&deployment, &requests, &stored_writes, &conditions);
    let report = report.with_replica_share(share);
    println!("\n{report}");
    if report.is_clean() {
        return Ok(ExitCode::SUCCESS);
    }
    cluster.keep_files();
    println!("a promise broke; logs are in {}", cluster.log_directory().display());
    Ok(ExitCode::FAILURE)
}

async fn serve(deployment: Deployment) -> Result<ExitCode, ClusterError> {
    let cluster = Cluster::new(deployment).await?;
    print_addresses(&cluster).await;
    wait_for_shutdown().await?;
    Ok(ExitCode::SUCCESS)
}

async fn print_addresses(cluster: &Cluster) {
    let deployment = cluster.deployment();
    for vm in 0..deployment.vms {
        let name = Deployment::vm(vm);
        let address = cluster.caller_address(vm);
        for (index, account) in deployment.accounts.iter().enumerate() {
            let login = identity(deployment, index);
            println!(
                "vm={name} account={} route={} url=postgres://{}:{}@{address}/{}",
                account.name, login.database, login.user, login.password, login.database
            );
        }
    }
    for vm in 0..deployment.vms {
        println!("admin vm={} url={}", Deployment::vm(vm), cluster.admin_url(vm));
    }
    println!("platform url={}", cluster.platform_url());
    println!("config dir={}", cluster.configuration_directory().display());
    for (index, server) in cluster.servers().iter().enumerate() {
        let primary = cluster.primary(server.group()).await == Some(index);
        println!(
            "backend group={} server={} pid={} role={}",
            deployment.groups[server.group()],
            server.name(),
            server.process_id().unwrap_or(0),
            if primary { "primary" } else { "replica" }
        );
    }
}
