//! Memory of a process, and clients that hold connections open.

use std::{fs, io};

use tokio::task::JoinSet;

use crate::{
    bench::Target,
    load::client::{Client, ClientError},
};

/// Log-ins under way at once.
const LOG_INS: usize = 64;
/// Kibibytes in `/proc` are this many bytes.
const KIB: u64 = 1_024;

/// Returns the resident memory of a process.
///
/// # Errors
///
/// Returns an error when the system does not tell.
pub fn resident_bytes(process: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib * KIB).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Connections that are open and idle.
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
            if started >= LOG_INS {
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

    /// Returns the number of connections that are still usable.
    pub async fn count_usable(&mut self) -> usize {
        let mut usable = 0;
        for client in &mut self.clients {
            usable += usize::from(client.simple_query("SELECT 1").await.is_ok());
        }
        usable
    }
}
