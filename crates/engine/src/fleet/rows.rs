//! Rows of the directory through which VMs find each other.
//!
//! Each VM renews a row with its address, rarely in a large fleet. The VMs that read the
//! directory pass the list on. A VM that has not renewed its row for a while is dialled by
//! the reader of its data centre, and its row is removed if it does not answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use chicoryhollow_core::{
    DataCentreId, Time, VmId,
    pace::{ByteRate, Pace},
    version::DirectoryVersion,
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    clock,
    engine::Engine,
    fleet::{Fleet, Member, REDIAL_INTERVAL},
    relay::Kind,
    seam::{Directory, Row, RowWrite, ServerProtocol},
};

/// Interval at which the rows of VMs are read.
const ROWS_POLL_INTERVAL: Duration = Duration::from_millis(2_500);

/// Shortest interval between renewals of this VM's own row.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(8_000);

/// Longest interval between renewals of this VM's own row.
const MAX_RENEWAL_INTERVAL: Duration = Duration::from_secs(600);

/// Assumed size of one renewal in bytes.
const RENEWAL_BYTES: u32 = 200;

/// Limit, in bytes per second, of the renewals of all VMs together, which protects
/// the directory.
const RENEWAL_BUDGET: ByteRate = ByteRate::new(400);

/// Time without a renewal after which a VM that is not linked is dialled, to find out
/// whether it still runs.
const UNCHECKED_SPAN: Duration = Duration::from_secs(12);

/// Time for which a VM is dialled in vain until it counts as gone.
const DIAL_SPAN: Duration = Duration::from_secs(9);

/// Renewals that a VM without a link may miss before it counts as gone, and its row
/// is removed, even if no VM of its data centre could dial it.
const MAX_MISSED_RENEWALS: f64 = 2.5;

/// Maximum number of missing rows that are written between two reads of the rows, which
/// leaves the directory time for other calls.
const MAX_ROWS_REWRITTEN: usize = 100;

/// Table of the VMs.
const VM_TABLE: &str = "vms";

/// Content of a VM's row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct VmRow {
    address: SocketAddr,
    data_centre: DataCentreId,
    /// Incarnation of the daemon, or 0 if another VM wrote the row.
    incarnation: u64,
    /// Number of the renewal, which makes each one a change.
    renewal: u64,
}

/// Renews this VM's row and, if this VM reads the directory, reads all rows.
pub(super) async fn maintain_rows<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>) {
    let mut renewed: Option<Time> = None;
    let mut renewal = 0;
    loop {
        let due = renewal_interval(engine.fleet.vms().len());
        let is_due = renewed.is_none_or(|time| clock::now().since(time) >= due);
        if is_due || engine.fleet.row_lost.get() {
            renewal += 1;
            let written = write_row(&engine, renewal).await;
            engine.fleet.row_lost.set(engine.fleet.row_lost.get() && written.is_none());
            renewed = written.or(renewed);
        }
        // A VM that knows no other one yet reads by itself, and more often.
        let few = engine.fleet.vms().len() < 2;
        if (few || engine.relay.borrow().is_reader())
            && let Ok(rows) = engine.directory.rows(VM_TABLE).await
        {
            apply_rows(&engine, rows.version, &rows.rows).await;
        }
        let few = engine.fleet.vms().len() < 2;
        let pause = if few { REDIAL_INTERVAL } else { ROWS_POLL_INTERVAL };
        // A wakeup only ends the pause early.
        let _ = timeout(pause, engine.fleet.row_wakeup.notified()).await;
    }
}

/// Returns the interval at which each of `vms` VMs renews its row.
fn renewal_interval(vms: usize) -> Duration {
    Pace::new(MIN_RENEWAL_INTERVAL, MAX_RENEWAL_INTERVAL)
        .with_cost(RENEWAL_BYTES, RENEWAL_BUDGET)
        .interval(vms)
}

async fn write_row<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    renewal: u64,
) -> Option<Time> {
    let row = VmRow {
        address: engine.settings.peers,
        data_centre: engine.settings.data_centre.clone(),
        incarnation: engine.settings.incarnation,
        renewal,
    };
    let write = RowWrite {
        table: VM_TABLE,
        key: engine.settings.vm.to_string(),
        expected: None,
        value: serde_json::to_vec(&row).ok(),
    };
    engine.directory.write(&write).await.ok().map(|_| clock::now())
}

/// Updates the list of VMs from their rows, and removes the rows of VMs that no
/// longer renew them.
async fn apply_rows<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    version: DirectoryVersion,
    rows: &[Row],
) {
    let now = clock::now();
    let limit = renewal_interval(rows.len()).mul_f64(MAX_MISSED_RENEWALS);
    let mut members = Vec::new();
    let mut gone = Vec::new();
    for row in rows {
        let Ok(vm) = VmId::new(&row.key) else { continue };
        let Ok(content) = serde_json::from_slice::<VmRow>(&row.value) else { continue };
        let VmRow { address, data_centre, .. } = content;
        let member = Member { vm, address, data_centre };
        match engine.fleet.is_gone(&member, row.version, limit, now) {
            true => gone.push((member.vm, row.version)),
            false => members.push(member),
        }
    }
    engine.record_era(version.era());
    engine.fleet.record_listed(&members);
    if engine.is_recently_restored() {
        let unlisted = engine.fleet.unlisted_members(&members);
        write_missing_rows(engine, version, &unlisted).await;
        members.extend(unlisted);
    }
    members.sort_by(|a, b| a.vm.cmp(&b.vm));
    // The first list is applied even if it names no other VM.
    let known = engine.fleet.has_member_list() && {
        let known = engine.fleet.members.borrow();
        let others = members.iter().filter(|member| member.vm != engine.settings.vm);
        others.clone().count() == known.len()
            && others.clone().all(|member| known.get(&member.vm) == Some(member))
    };
    if !known {
        engine.relay.borrow_mut().accept(Kind::Vms, version.pack(), &members);
        apply_members(engine, members);
        engine.announce();
    }
    for (vm, version) in gone {
        let write =
            RowWrite { table: VM_TABLE, key: vm.to_string(), expected: Some(version), value: None };
        // The write fails if another VM removed the row or its owner renewed it. The
        // next read shows the result.
        let _ = engine.directory.write(&write).await;
    }
}

/// Writes the rows of VMs that the directory at `version` lacks, because it came back from a
/// copy. In a large fleet a VM renews its row too rarely to do so itself.
async fn write_missing_rows<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    version: DirectoryVersion,
    missing: &[Member],
) {
    for member in missing.iter().take(MAX_ROWS_REWRITTEN) {
        let row = VmRow {
            address: member.address,
            data_centre: member.data_centre.clone(),
            incarnation: 0,
            renewal: 0,
        };
        let write = RowWrite {
            table: VM_TABLE,
            key: member.vm.to_string(),
            expected: Some(DirectoryVersion::start_of(version.era())),
            value: serde_json::to_vec(&row).ok(),
        };
        // The write fails if the row was written meanwhile. The next read shows the result.
        let _ = engine.directory.write(&write).await;
    }
}

/// What a VM knows of how another one renews its row.
#[derive(Clone, Copy, Debug)]
pub(super) struct Renewal {
    version: DirectoryVersion,
    /// When this VM first read that version, or was last linked to the other VM.
    alive_at: Time,
    /// Since when the other VM is dialled in vain.
    dialled: Option<Time>,
}

impl Fleet {
    /// Records whether a new list of VMs contains this one. If it does no longer, the row is
    /// written at once: the directory may have come back from a copy without it.
    fn record_listed(&self, members: &[Member]) {
        let me = self.me.borrow();
        let listed = me.as_ref().is_some_and(|me| members.iter().any(|other| other.vm == me.vm));
        if self.listed.replace(listed) && !listed {
            self.row_lost.set(true);
            self.row_wakeup.notify_one();
        }
    }

    /// Returns the known VMs that are missing in `listed`.
    fn unlisted_members(&self, listed: &[Member]) -> Vec<Member> {
        let is_listed = |known: &&Member| listed.iter().any(|member| member.vm == known.vm);
        let members = self.members.borrow();
        members.values().filter(|known| !is_listed(known)).cloned().collect()
    }

    /// Returns whether a VM whose row has this `version` is gone: it cannot be dialled, or
    /// has not renewed its row within `limit`. Only VMs of the same data centre are dialled.
    fn is_gone(
        &self,
        member: &Member,
        version: DirectoryVersion,
        limit: Duration,
        now: Time,
    ) -> bool {
        let linked = self.link(&member.vm).is_some();
        let near = self
            .me
            .borrow()
            .as_ref()
            .is_some_and(|me| me.data_centre == member.data_centre && me.vm != member.vm);
        let mut renewals = self.renewals.borrow_mut();
        let fresh = Renewal { version, alive_at: now, dialled: None };
        let renewal = renewals.entry(member.vm.clone()).or_insert(fresh);
        if linked || renewal.version != version {
            *renewal = fresh;
        }
        if near && now.since(renewal.alive_at) >= UNCHECKED_SPAN {
            renewal.dialled.get_or_insert(now);
            self.request_dial(&member.vm);
        }
        renewal.dialled.is_some_and(|since| now.since(since) >= DIAL_SPAN)
            || now.since(renewal.alive_at) > limit
    }
}

pub(super) fn apply_members<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    members: Vec<Member>,
) {
    engine.fleet.record_listed(&members);
    engine.fleet.set_members(members);
    engine.refresh_limits();
    engine.choose_reader();
}
