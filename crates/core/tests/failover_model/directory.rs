//! The directory of servers and the coordinator's row.

use chicoryhollow_core::{
    VmId,
    coordinator::{CoordinatorRow, FailoverRecord, LEASE_DURATION},
    version::{DirectoryVersion, Era},
};

use super::{SERVERS, TICK_MS, server::Server, ticks};

/// Time between two heartbeats of a server.
pub(crate) const HEARTBEAT: u32 = ticks(1_000);

/// Time of silence after which an entry is removed.
const LAPSE: u32 = 3 * HEARTBEAT;

/// Time for which a server drains before it ends.
pub(crate) const DRAIN: u32 = ticks(7_000);

/// The entry of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) heartbeat: u32,
    pub(crate) leaving: bool,
    pub(crate) born: u32,
}

pub(crate) type Entries = [Option<Entry>; SERVERS];

/// The directory.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    pub(crate) is_up: bool,
    pub(crate) entries: Entries,
    pub(crate) row: Option<CoordinatorRow>,
    /// What the row says about failovers. It lasts when daemons restart.
    pub(crate) record: FailoverRecord,
    /// Ticks that a call about the coordinator's row takes.
    pub(crate) delay: u32,
    version: u64,
}

impl Directory {
    pub(crate) fn new() -> Self {
        let record = FailoverRecord::default();
        Directory {
            is_up: true,
            entries: Entries::default(),
            row: None,
            record,
            delay: 0,
            version: 1,
        }
    }

    /// Writes the entry of a server that reaches the directory, and removes lapsed ones.
    pub(crate) fn refresh(
        &mut self,
        servers: &[Server],
        reaches: impl Fn(usize) -> bool,
        tick: u32,
    ) {
        if !self.is_up {
            return;
        }
        for (i, server) in servers.iter().enumerate() {
            let entry = &mut self.entries[i];
            let is_due = entry.as_ref().is_none_or(|entry| {
                tick - entry.heartbeat >= HEARTBEAT
                    || entry.leaving != server.leaving.is_some()
                    || entry.born != server.born
            });
            // A server writes its first entry in the tick after its start.
            if server.runs() && tick > server.born && is_due && reaches(i) {
                let leaving = server.leaving.is_some();
                *entry = Some(Entry { heartbeat: tick, leaving, born: server.born });
            }
            let has_lapsed = entry.as_ref().is_some_and(|entry| tick - entry.heartbeat > LAPSE);
            if has_lapsed || server.life == super::server::Life::Ended {
                *entry = None;
            }
        }
    }

    /// Writes the coordinator's row if it has the expected version.
    pub(crate) fn write_row(
        &mut self,
        expected: DirectoryVersion,
        vm: VmId,
        incarnation: u64,
        record: FailoverRecord,
    ) -> Option<DirectoryVersion> {
        let present = self.row.as_ref().map_or(0, |row| row.version.number());
        if present != expected.number() {
            return None;
        }
        self.version += 1;
        let version = DirectoryVersion::new(Era::default(), self.version);
        self.row = Some(CoordinatorRow { holder: Some(vm), incarnation, version });
        self.record = record;
        Some(version)
    }
}

/// Time after which a new coordinator can be expected.
pub(crate) const TAKEOVER: u32 = LEASE_DURATION.as_millis() as u32 / TICK_MS;
