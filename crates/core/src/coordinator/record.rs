//! What the coordinator's row says about failovers, as it is stored.
//!
//! Times are stored as ages, because the clocks of two VMs differ. A reader counts an age from
//! the time at which it reads the row. The time between the write and the read is not counted, so
//! an entry may be older than it seems, but never younger, and the reader waits too long rather
//! than too briefly.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    failover::MissingServer,
    id::{GroupId, ServerId},
    position::Term,
    time::Time,
};

/// Greatest size of the orders of a record, in bytes. The rest of the row, which may have
/// 65,536 bytes, is left to the missing servers and the holder.
pub(super) const MAX_ORDER_BYTES: usize = 36_000;

/// Greatest size of the missing servers of a record, in bytes.
pub(super) const MAX_MISSING_BYTES: usize = 24_000;

/// Greatest size of an order without its names: field names and numbers.
const ORDER_BYTES: usize = 140;

/// Greatest size of a missing server without its names: field names, numbers and an address.
const SERVER_BYTES: usize = 160;

/// The part of the coordinator's row that later holders of the role need.
///
/// A row that was written without these fields has none of them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Promotion orders that may still be carried out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<RecordedOrder>,
    /// Servers that are missing in the directory.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<RecordedServer>,
    /// Servers that were registered when the row was written, or `None` if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roster: Option<Roster>,
    /// Age of the newest missing server that is not among [`FailoverRecord::missing`], if there
    /// are such servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unlisted_ms: Option<u64>,
}

impl FailoverRecord {
    /// Returns the record of a row that cannot be parsed: any server may be missing.
    pub fn unknown() -> Self {
        FailoverRecord { unlisted_ms: Some(0), ..FailoverRecord::default() }
    }
}

/// Digest of the names of all registered servers, in any order.
///
/// A server that disappears while no coordinator writes the row is in no list of missing servers.
/// The names of all servers of a large deployment do not fit into the row, but their digest
/// tells a new coordinator whether there may be such a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Roster(u64);

impl Roster {
    /// Adds a server.
    pub fn add(&mut self, server: &ServerId) {
        self.0 = self.0.wrapping_add(xxh3_64(server.as_str().as_bytes()));
    }
}

impl<'a> FromIterator<&'a ServerId> for Roster {
    fn from_iter<I: IntoIterator<Item = &'a ServerId>>(servers: I) -> Self {
        let mut roster = Roster::default();
        servers.into_iter().for_each(|server| roster.add(server));
        roster
    }
}

/// A promotion order in the coordinator's row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// Group of the server.
    pub group: GroupId,
    /// Server to promote.
    pub server: ServerId,
    /// Term of the primary that is replaced.
    pub replaced: Term,
    /// Whether its server leads already, by an earlier order.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub repeated: bool,
    /// Fencing token of the order. An order is written before it has one, because its token is
    /// made of the version that this write gives to the row.
    pub token: Option<u64>,
    /// Time since the order was written first.
    pub age_ms: u64,
}

/// A missing server in the coordinator's row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedServer {
    /// Group of the server.
    pub group: GroupId,
    /// Name of the server.
    pub server: ServerId,
    /// Address at which it listened.
    pub address: SocketAddr,
    /// Time since its entry disappeared.
    pub age_ms: u64,
    /// Whether it may have ended as planned.
    #[serde(default)]
    pub ended: bool,
}

impl RecordedServer {
    /// Returns the missing server of a row that was read at `now`.
    pub(super) fn read(&self, now: Time) -> MissingServer {
        MissingServer {
            server: self.server.clone(),
            address: self.address,
            since: before(now, self.age_ms),
            may_have_ended: self.ended,
        }
    }
}

/// Returns the greatest size of a stored order.
pub(super) fn order_bytes(group: &GroupId, server: &ServerId) -> usize {
    ORDER_BYTES + group.as_str().len() + server.as_str().len()
}

/// Returns the greatest size of a stored missing server.
pub(super) fn server_bytes(group: &GroupId, server: &ServerId) -> usize {
    SERVER_BYTES + group.as_str().len() + server.as_str().len()
}

/// Returns the time of which a row that was read at `now` says that it was so long ago.
pub(super) fn before(now: Time, age_ms: u64) -> Time {
    now - Duration::from_millis(age_ms)
}

/// Returns an age as it is stored.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
