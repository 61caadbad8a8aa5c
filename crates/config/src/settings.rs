//! Settings of one daemon, which it reads at start-up.
//!
//! They may differ between VMs and are not part of the published configuration.

use std::net::SocketAddr;

use chicoryhollow_core::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Settings that one daemon reads at start-up from a JSON file with comments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's service, as `http://IP:PORT`.
    pub platform: String,
    /// Peer addresses of other VMs, which are asked for the list of VMs if the
    /// platform does not answer at start-up.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Role under which the proxy logs in to backend servers.
    #[serde(default)]
    pub backend: BackendRole,
    /// Addresses to dial instead of others, for data centres behind network address
    /// translation.
    #[serde(default)]
    pub translate: IndexMap<SocketAddr, SocketAddr>,
    /// Log format and level.
    #[serde(default)]
    pub log: Log,
    /// Limits on time and memory.
    #[serde(default)]
    pub limits: Limits,
}

impl Settings {
    /// Returns the address to dial for `address`, after translation.
    pub fn dial_address(&self, address: SocketAddr) -> SocketAddr {
        self.translate.get(&address).copied().unwrap_or(address)
    }
}

/// Addresses on which a daemon listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, by the PostgreSQL wire protocol.
    pub callers: SocketAddr,
    /// For other VMs, by the peer protocol.
    pub peers: SocketAddr,
    /// For operators, by HTTP.
    pub admin: SocketAddr,
}

/// Role under which the proxy logs in to backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendRole {
    /// User name.
    pub user: String,
    /// Password, if the servers ask for one.
    pub password: Option<String>,
    /// Database to open.
    pub database: String,
    /// Whether the id of each writing transaction is recorded before it can
    /// commit, so that the outcome of an interrupted write can be looked up. This
    /// costs each such transaction one round trip to the server.
    pub note_transactions: bool,
}

impl Default for BackendRole {
    fn default() -> Self {
        BackendRole {
            user: "chicoryhollow".to_owned(),
            password: None,
            database: "main".to_owned(),
            note_transactions: true,
        }
    }
}

/// Log settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of the lines.
    pub format: LogFormat,
    /// Least severe level to write: `error`, `warning`, `info` or `debug`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: LogFormat::Text, level: "info".to_owned() }
    }
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits on time and memory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of threads that serve requests.
    pub workers: usize,
    /// Maximum number of connections of callers.
    pub callers: usize,
    /// Time limit for one request in milliseconds.
    pub request_ms: u64,
    /// Longest drain in milliseconds after the first SIGTERM.
    pub drain_ms: u64,
    /// Largest message in bytes.
    pub message_bytes: usize,
    /// Memory of the VM in megabytes, a quarter of which is for callers.
    pub memory_mb: usize,
    /// Maximum number of bytes of an answer that are buffered for one caller.
    pub buffer_bytes: usize,
    /// Whether callers may send their key in clear text.
    pub cleartext_keys: bool,
    /// Longest time in milliseconds for which callers are served without a new
    /// confirmation that the configuration is the newest; 0 for no limit.
    pub stale_configuration_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            workers: 2,
            callers: 20_000,
            request_ms: 10_000,
            drain_ms: 30_000,
            message_bytes: 16 << 20,
            memory_mb: 512,
            buffer_bytes: 64 << 10,
            cleartext_keys: false,
            stale_configuration_ms: 0,
        }
    }
}
