//! The configuration that operators declare in files.
//!
//! These types are the content of the files and of the published JSON objects.

use std::net::SocketAddr;

use chicoryhollow_core::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    rate::{Burst, Rate},
    verifier::Verifier,
};

/// Whether a data centre or a backend server accepts new work.
///
/// New work of a data centre is connections of callers to its VMs and statements on
/// its backend servers. New work of a backend server is statements. A primary that was
/// taken out of service still receives statements for a limited time, so that callers
/// see no error before another server has become primary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// Accepts new work.
    #[default]
    In,
    /// Finishes its current work and accepts no new work.
    Out,
}

/// The content of a complete set of operators' files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Data centres in which VMs and backend servers run.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub data_centres: IndexMap<DataCentreId, DataCentre>,
    /// Database groups.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub groups: IndexMap<GroupId, Group>,
    /// Client accounts.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub accounts: IndexMap<AccountId, Account>,
    /// Keys with which callers authenticate.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub keys: IndexMap<KeyName, Key>,
    /// Routes that callers may select as their database.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub routes: IndexMap<RouteName, Route>,
}

impl Configuration {
    /// Sorts all names, so that equal configurations have equal JSON.
    pub fn sort(&mut self) {
        self.data_centres.sort_unstable_keys();
        self.groups.sort_unstable_keys();
        self.groups.values_mut().for_each(|group| group.servers.sort_unstable_keys());
        self.accounts.sort_unstable_keys();
        self.keys.sort_unstable_keys();
        self.routes.sort_unstable_keys();
        self.routes.values_mut().for_each(|route| route.accounts.sort_unstable());
    }
}

/// A data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Whether it accepts new work.
    #[serde(default)]
    pub service: Service,
}

/// A database group: one primary and its replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Backend servers of the group.
    pub servers: IndexMap<ServerId, Server>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// IP address and port.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Maximum number of statements that the proxy runs on it at the same time.
    pub slots: u32,
    /// Connections for statements that all VMs together may open to it.
    pub connections: u32,
    /// Whether it accepts new work.
    #[serde(default)]
    pub service: Service,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Requests per second over all VMs together.
    pub rate: Rate,
    /// Largest burst of requests over all VMs together.
    pub burst: Burst,
    /// Weight relative to other accounts when statement slots are scarce.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// A key of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Data with which the key is checked; the key itself is not stored.
    pub verifier: Verifier,
}

/// A route that callers select as their database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Group that serves the route.
    pub group: GroupId,
    /// Accounts that may use it.
    #[serde(default)]
    pub accounts: Vec<AccountId>,
    /// Account charged for callers without a key; if set, the route is open to all.
    #[serde(default)]
    pub open_account: Option<AccountId>,
    /// Largest age in milliseconds that reads accept; reads are session-consistent
    /// if it is absent.
    #[serde(default)]
    pub max_age_ms: Option<u64>,
    /// Whether every write of the route can safely be repeated.
    #[serde(default)]
    pub idempotent: bool,
}

/// A configuration with the version as which it was published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Version of the row in the platform's table, counted from one.
    pub version: u64,
    /// The configuration published as that version.
    pub configuration: Configuration,
}
