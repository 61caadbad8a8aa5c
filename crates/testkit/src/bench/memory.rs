//! Resident memory of a process, and idle connections to measure it with.

use std::{fs, io};

use tokio::task::JoinSet;

use crate::{
    bench::Target,
    load::client::{Client, ClientError},
};

/// Largest number of concurrent logins.
const MAX_CONCURRENT_LOGINS: usize = 64;
/// Bytes in a kibibyte, the unit of `/proc`.
const BYTES_PER_KIB: u64 = 1_024;

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// Returns an error if `/proc` has no status of the process or the status has no
/// resident size.
pub fn resident_bytes(process: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib * BYTES_PER_KIB).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Open connections that are idle.
#[derive(Debug)]
pub struct IdleConnections {
    clients: Vec<Client>,
}

impl IdleConnections {
    /// Opens `count` connections.
    ///
    /// # Errors
    ///
    /// Returns the first error of a client.
    pub async fn new(target: &Target, count: usize) -> Result<Self, ClientError> {
        let mut clients = Vec::with_capacity(count);
        let mut opening = JoinSet::new();
        for started in 0..count {
            if started >= MAX_CONCURRENT_LOGINS {
                clients.extend(opening.join_next().await.and_then(Result::ok).transpose()?);
            }
            let target = target.clone();
            opening.spawn(async move { Client::new(target.address, &target.identity, None).await });
        }
        while let Some(joined) = opening.join_next().await {
            clients.push(joined.map_err(|e| ClientError::Broken(e.to_string()))??);
        }
        Ok(IdleConnections { clients })
    }

    /// Runs a statement on each connection and returns the number of connections
    /// on which it succeeds.
    pub async fn count_usable(&mut self) -> usize {
        let mut usable = 0;
        for client in &mut self.clients {
            usable += usize::from(client.simple_query("SELECT 1").await.is_ok());
        }
        usable
    }
}
