//! Inspection of a running cluster: metrics of the daemons, and direct
//! connections to the backend servers that bypass the proxy.

use std::time::Duration;

use crate::{
    backend::CONTROL_ROLE,
    cluster::{Cluster, ClusterError, http},
    load::client::{Client, Identity},
};

/// Metric of the daemon that counts reads by the role of the server.
const READS_METRIC: &str = "chicoryhollow_reads_total{";
/// Longest wait for a connection or an answer of a backend server.
const SERVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Columns of a server's status that are needed to find a group's primary or most
/// advanced server.
#[derive(Clone, Copy, Debug)]
struct ServerStatus {
    is_primary: bool,
    term: u64,
    received: u64,
}

impl Cluster {
    /// Reads the metrics of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer.
    pub async fn metrics(&self, vm: usize) -> Result<String, ClusterError> {
        http::get(&format!("{}/metrics", self.admin_url(vm))).await
    }

    /// Returns the share of all reads that replicas served, from 0 to 1, or `None` if
    /// there were no reads. Only the counters of the running daemons are included.
    pub async fn replica_share(&self) -> Option<f64> {
        let (mut replica, mut all) = (0.0, 0.0);
        for vm in 0..self.daemons.len() {
            let Ok(text) = self.metrics(vm).await else { continue };
            for line in text.lines().filter(|line| line.starts_with(READS_METRIC)) {
                let count = line.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
                all += count;
                replica += if line.contains("\"replica\"") { count } else { 0.0 };
            }
        }
        (all > 0.0).then(|| replica / all)
    }

    /// Connects to a backend server directly, without the proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not answer in time.
    pub async fn connect_server(&self, server: usize) -> Result<Client, ClusterError> {
        let identity = Identity { user: CONTROL_ROLE.to_owned(), ..Identity::default() };
        let connecting = Client::new(self.servers[server].address, &identity, None);
        let timed_out = |_| ClusterError::Request("the backend server does not answer".to_owned());
        Ok(tokio::time::timeout(SERVER_TIMEOUT, connecting).await.map_err(timed_out)??)
    }

    /// Returns the index of a group's primary. If several servers report that they are
    /// the primary, returns the one with the highest term.
    pub async fn primary(&self, group: usize) -> Option<usize> {
        let statuses = self.statuses(group).await;
        let primaries = statuses.into_iter().filter(|(_, status)| status.is_primary);
        primaries.max_by_key(|(_, status)| status.term).map(|(index, _)| index)
    }

    /// Returns the index of a group's server with the highest received position, or
    /// `None` if no server answers.
    pub async fn most_advanced_server(&self, group: usize) -> Option<usize> {
        let statuses = self.statuses(group).await;
        let newest = statuses.into_iter().max_by_key(|(_, s)| (s.term, s.received));
        newest.map(|(index, _)| index)
    }

    async fn statuses(&self, group: usize) -> Vec<(usize, ServerStatus)> {
        let mut statuses = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            if server.group == group && server.process.is_some() {
                statuses.extend(self.status(index).await.map(|status| (index, status)));
            }
        }
        statuses
    }

    async fn status(&self, server: usize) -> Option<ServerStatus> {
        let mut client = self.connect_server(server).await.ok()?;
        let asking = client.simple_query("SELECT * FROM chicoryhollow.status()");
        let rows = tokio::time::timeout(SERVER_TIMEOUT, asking).await.ok()?.ok()?;
        let row = rows.first()?;
        let text = |column: usize| row.get(column)?.as_deref();
        Some(ServerStatus {
            is_primary: text(1)? == "primary",
            term: text(2)?.parse().ok()?,
            received: text(5)?.parse().ok()?,
        })
    }

    /// Changes the shipping and apply delays of all backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a server does not answer.
    pub async fn set_lag(&self, ship: Duration, apply: Duration) -> Result<(), ClusterError> {
        for index in 0..self.servers.len() {
            let (ship, apply) = (ship.as_millis(), apply.as_millis());
            let call = format!("SELECT * FROM chicoryhollow.set_lag({ship}, {apply})");
            self.connect_server(index).await?.simple_query(&call).await?;
        }
        Ok(())
    }
}
