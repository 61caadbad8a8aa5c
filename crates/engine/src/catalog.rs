//! The configuration in force and the servers that have registered themselves.

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_core::{AccountId, DataCentreId, GroupId, ServerId, failover::RegisteredServer};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How new the data must be that a route's reads return.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Freshness {
    /// Reads show every acknowledged commit.
    Newest,
    /// Reads show every commit acknowledged longer ago than this.
    Within(Duration),
    /// As [`Freshness::Within`], and the session's own commits at once.
    OwnWrites(Duration),
}

/// Where statements for one database go.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Group that serves the database.
    pub group: GroupId,
    /// How new reads must be.
    pub freshness: Freshness,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Time within which a whole operation should be served.
    pub objective: Duration,
    /// Whether callers need no key.
    pub public: bool,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Operations a second over all VMs, or none for no limit.
    pub rate: Option<f64>,
    /// Operations at once over all VMs.
    pub burst: f64,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Connections that one of its servers takes, of all VMs together.
    pub connections: u32,
}

/// One accepted configuration.
///
/// Versions only grow, and a daemon never goes back to an older one.
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
    /// Account of each key.
    pub keys: IndexMap<String, AccountId>,
    /// Time for which a transaction may rest.
    pub idle_limit: Option<Duration>,
}

impl Catalog {
    /// Returns the account in whose name a caller with `key` runs statements on
    /// `route`, or `None` when it may not.
    pub fn account(&self, route: &Route, key: &str) -> Option<AccountId> {
        let anonymous = || route.public.then(|| AccountId::new(ANONYMOUS_ACCOUNT).ok()).flatten();
        self.keys.get(key).cloned().or_else(anonymous)
    }
}

/// Account named to backend servers for callers without a key.
pub const ANONYMOUS_ACCOUNT: &str = "-";

/// What a backend server has registered.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its name, which no other life of a server has but after a restart in place.
    pub server: ServerId,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Its address.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether it says that it is the primary.
    pub primary: bool,
    /// How much longer it is cold, as it said last.
    pub cold: Duration,
    /// When it started, in milliseconds of its own wall clock, which tells one
    /// life from the next.
    pub born: u64,
}

impl ServerEntry {
    /// Returns what a succession needs to know of the entry.
    pub(crate) fn registered(&self) -> RegisteredServer<'_> {
        RegisteredServer { server: &self.server, address: self.address }
    }
}
