//! Compares point reads through the proxy with direct reads from a backend server.

use std::{process::ExitCode, time::Duration};

use chicoryhollow_testkit::{
    bench::{IdleConnections, Measurement, ROW_COUNT, Target, read_loop, resident_bytes},
    cluster::{Cluster, ClusterError, DATA_CENTRES, Deployment, identity},
    load::client::{Client, Identity},
    run,
};
use pico_args::Arguments;

const USAGE: &str = "Usage: bench [--seconds N] [--idle N] [--active N]";

/// Number of clients in the throughput comparison.
const CLIENTS: usize = 64;
/// Index of the group that is read; its primary starts in the first data centre.
const GROUP: usize = 0;
/// Number of connections over which the memory of an idle one is measured.
const MEMORY_CONNECTIONS: usize = 2_000;

struct Options {
    length: Duration,
    idle: usize,
    active: usize,
}

fn main() -> ExitCode {
    run(async || match parse(Arguments::from_env()) {
        Ok(options) => compare(&options).await,
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            Ok(ExitCode::from(2))
        }
    })
}

fn parse(mut args: Arguments) -> Result<Options, String> {
    let mut number = |name: &'static str, default: u64| {
        args.opt_value_from_str(name).map(|n| n.unwrap_or(default)).map_err(|e| e.to_string())
    };
    let length = Duration::from_secs(number("--seconds", 5)?);
    let idle = number("--idle", 10_000)? as usize;
    let active = number("--active", 1_000)? as usize;
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
        None => Ok(Options { length, idle, active }),
    }
}

async fn compare(options: &Options) -> Result<ExitCode, ClusterError> {
    let cluster = Cluster::new(Deployment::unlimited()).await?;
    insert_rows(&cluster).await?;
    compare_throughput(&cluster, options).await?;
    compare_latency(&cluster, options).await?;
    measure_memory(&cluster).await?;
    measure_with_idle(&cluster, options).await?;
    Ok(ExitCode::SUCCESS)
}

/// Inserts the rows that the benchmark reads.
async fn insert_rows(cluster: &Cluster) -> Result<(), ClusterError> {
    let Some(primary) = cluster.primary(GROUP).await else { return Ok(()) };
    let mut client = cluster.connect_server(primary).await?;
    for id in 0..ROW_COUNT {
        client.simple_query(&format!("INSERT INTO writes VALUES ({id}, 0, {id}, 'bench')")).await?;
    }
    Ok(())
}

fn direct_target(cluster: &Cluster, server: usize) -> Target {
    let identity = Identity { user: "chicoryhollow".to_owned(), ..Identity::default() };
    Target { address: cluster.server_address(server), identity }
}

fn proxied_target(cluster: &Cluster, vm: usize) -> Target {
    let identity = identity(cluster.deployment(), 0);
    Target { address: cluster.direct_address(vm), identity }
}

fn print(name: &str, measured: Measurement) {
    let Measurement { per_second, median_ms, p99_ms } = measured;
    println!("{name:34}{per_second:9.0}/s  median {median_ms:.3} ms  p99 {p99_ms:.3} ms");
}

async fn compare_throughput(cluster: &Cluster, options: &Options) -> Result<(), ClusterError> {
    println!("throughput of {CLIENTS} connections");
    let direct_reads = read_loop(&direct_target(cluster, 1), CLIENTS, options.length).await?;
    print("direct, one server", direct_reads);
    for vm in 0..DATA_CENTRES {
        let measured = read_loop(&proxied_target(cluster, vm), CLIENTS, options.length).await?;
        print(&format!("through {}", Deployment::vm(vm)), measured);
        println!("  ratio to direct {:.2}", measured.per_second / direct_reads.per_second);
    }
    Ok(())
}

async fn compare_latency(cluster: &Cluster, options: &Options) -> Result<(), ClusterError> {
    println!("latency of one connection");
    let direct_reads = read_loop(&direct_target(cluster, 1), 1, options.length).await?;
    print("direct, one server", direct_reads);
    for vm in 0..DATA_CENTRES {
        let measured = read_loop(&proxied_target(cluster, vm), 1, options.length).await?;
        print(&format!("through {}", Deployment::vm(vm)), measured);
        println!("  added median {:.3} ms", measured.median_ms - direct_reads.median_ms);
    }
    Ok(())
}

async fn measure_memory(cluster: &Cluster) -> Result<(), ClusterError> {
    let Some(process) = cluster.daemon_id(0) else { return Ok(()) };
    let before = resident_bytes(process)?;
    let idle = IdleConnections::new(&proxied_target(cluster, 0), MEMORY_CONNECTIONS).await?;
    let after = resident_bytes(process)?;
    drop(idle);
    let each = after.saturating_sub(before) as f64 / MEMORY_CONNECTIONS as f64 / 1_024.0;
    println!("memory of an idle connection: {each:.1} KiB, over {MEMORY_CONNECTIONS}");
    Ok(())
}

async fn measure_with_idle(cluster: &Cluster, options: &Options) -> Result<(), ClusterError> {
    let target = proxied_target(cluster, 0);
    let mut idle = IdleConnections::new(&target, options.idle).await?;
    let measured = read_loop(&target, options.active, options.length).await?;
    print(&format!("{} active beside {} idle", options.active, options.idle), measured);
    // The login of another client shows that the daemon still accepts connections.
    Client::new(target.address, &target.identity, None).await?.close().await;
    println!("idle connections still usable: {} of {}", idle.count_usable().await, options.idle);
    Ok(())
}
