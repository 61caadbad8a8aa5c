/*!
Benchmark of point reads, directly and through the proxy.

Clients read in closed loops: each sends its next read as soon as the previous
one is answered. All figures of a comparison are measured in one run on one
machine, so that they are comparable.
*/

mod memory;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;

pub use crate::bench::memory::{IdleConnections, resident_bytes};
use crate::load::client::{Client, ClientError, Identity};

/// Point read that every client repeats.
const POINT_READ: &str = "SELECT account FROM writes WHERE id = $1";
/// Number of rows that are read in turn; their ids start at 0.
pub const ROW_COUNT: i64 = 1_000;
/// Highest latency that the histogram records, in microseconds; higher ones
/// count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Server or VM that is read from.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address to connect to.
    pub address: SocketAddr,
    /// User, password and database of the login.
    pub identity: Identity,
}

/// Throughput and latency of a read loop.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Reads a second of all clients together.
    pub per_second: f64,
    /// Median latency in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
}

/// Runs `clients` concurrent closed loops of point reads for `length`.
///
/// # Errors
///
/// Returns the first error of a client.
pub async fn read_loop(
    target: &Target,
    clients: usize,
    length: Duration,
) -> Result<Measurement, ClientError> {
    let mut connected = Vec::with_capacity(clients);
    for _ in 0..clients {
        connected.push(Client::new(target.address, &target.identity, None).await?);
    }
    // All clients connect first and then read at the same time, so that none has
    // the target for itself.
    let until = Instant::now() + length;
    let mut loops = JoinSet::new();
    for (number, client) in connected.into_iter().enumerate() {
        loops.spawn(read(client, number as i64, until));
    }
    let mut all = new_histogram();
    while let Some(joined) = loops.join_next().await {
        let histogram = joined.map_err(|e| ClientError::Broken(e.to_string()))??;
        // Adding cannot fail, since both histograms have the same bounds.
        let _ = all.add(histogram);
    }
    Ok(Measurement {
        per_second: all.len() as f64 / length.as_secs_f64(),
        median_ms: all.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: all.value_at_quantile(0.99) as f64 / 1_000.0,
    })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid")
}

async fn read(
    mut client: Client,
    mut id: i64,
    until: Instant,
) -> Result<Histogram<u64>, ClientError> {
    let mut histogram = new_histogram();
    while Instant::now() < until {
        id = (id + 1) % ROW_COUNT;
        let began = Instant::now();
        client.run(POINT_READ, &[id.to_string()]).await?;
        histogram.saturating_record(began.elapsed().as_micros() as u64);
    }
    client.close().await;
    Ok(histogram)
}
