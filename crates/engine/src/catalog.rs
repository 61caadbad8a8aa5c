//! The active configuration and the registered backend servers.
//!
//! Both are documents of the directory. A few VMs read them there and pass them on
//! to the others as JSON, so all types here are serialised.

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_core::{AccountId, DataCentreId, GroupId, ServerId, failover::RegisteredServer};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How recent the data must be that reads on a route return.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Freshness {
    /// Reads show every acknowledged commit.
    Newest,
    /// Reads show every commit that was acknowledged at least this long ago.
    Within(Duration),
    /// As [`Freshness::Within`], and all commits of the same session.
    OwnWrites(Duration),
}

/// How statements for one database are routed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Group that serves the database.
    pub group: GroupId,
    /// How recent the data of reads must be.
    pub freshness: Freshness,
    /// Time limit for one statement.
    pub timeout: Duration,
    /// Time within which a whole operation should complete, retries included.
    pub objective: Duration,
    /// Priority of the route's requests; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Whether callers may connect without a key.
    pub public: bool,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Limit in operations per second over all VMs, or `None` for no limit.
    pub rate: Option<f64>,
    /// Operations that all VMs together may admit at once.
    pub burst: f64,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Connections that each server of the group accepts from all VMs together.
    pub connections: u32,
}

/// One version of the configuration.
///
/// Versions only increase, and a daemon never returns to an older one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Routes by the name of their database.
    pub routes: IndexMap<String, Route>,
    /// Database groups.
    pub groups: IndexMap<GroupId, Group>,
    /// Client accounts.
    pub accounts: IndexMap<AccountId, Account>,
    /// Client account of each key.
    pub keys: IndexMap<String, AccountId>,
    /// Time for which a transaction may be idle, or `None` for no limit.
    pub idle_limit: Option<Duration>,
}

impl Catalog {
    /// Returns the account as which a caller with `key` runs statements on
    /// `route`, or `None` if the caller has no access.
    pub fn account(&self, route: &Route, key: &str) -> Option<AccountId> {
        let anonymous = || route.public.then(|| AccountId::new(ANONYMOUS_ACCOUNT).ok()).flatten();
        self.keys.get(key).cloned().or_else(anonymous)
    }
}

/// Client account of callers without a key, as backend servers know it.
pub const ANONYMOUS_ACCOUNT: &str = "-";

/// The entry that a backend server registers in the directory.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name of the server. Only a server that is restarted in place uses the
    /// name again.
    pub server: ServerId,
    /// Database group of the server.
    pub group: GroupId,
    /// Address for connections.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether it is about to be stopped.
    pub leaving: bool,
    /// Whether it reports itself as the primary.
    pub primary: bool,
    /// How much longer it is slow after its start, as it last reported.
    pub cold: Duration,
    /// Statements that it runs at once, if the document that passed the entry on tells.
    #[serde(default)]
    pub slots: Option<u32>,
    /// When it started, in milliseconds of its own wall clock. The value
    /// distinguishes a restarted server from its earlier run.
    pub born: u64,
}

impl ServerEntry {
    /// Returns the part of the entry that a failover needs.
    pub(crate) fn registered(&self) -> RegisteredServer<'_> {
        RegisteredServer { server: &self.server, address: self.address, leaving: self.leaving }
    }
}
