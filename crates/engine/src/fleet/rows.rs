//! The rows of the directory by which VMs find each other.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use chicoryhollow_core::{
    DataCentreId, Time, VmId,
    pace::{ByteRate, Pace},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    clock,
    engine::Engine,
    fleet::{Member, REDIAL},
    relay::Kind,
    seam::{Directory, Row, RowWrite, ServerProtocol},
};

/// Time between two looks at the rows of VMs.
const ROWS_LOOK: Duration = Duration::from_millis(2_500);

/// Shortest time between two renewals of this VM's own row.
const SHORTEST_RENEWAL: Duration = Duration::from_millis(8_000);

/// Longest time between two renewals of this VM's own row.
const LONGEST_RENEWAL: Duration = Duration::from_secs(600);

/// Bytes of one renewal.
const RENEWAL_BYTES: u32 = 200;

/// What the renewals of all VMs together may cost the directory.
const RENEWAL_BUDGET: ByteRate = ByteRate::new(1_200);

/// Renewals without which a VM that is not linked counts as gone.
const MISSED_RENEWALS: f64 = 2.5;

/// Table of the VMs.
const TABLE: &str = "vms";

/// Content of a VM's row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct VmRow {
    address: SocketAddr,
    data_centre: DataCentreId,
    incarnation: u64,
    renewal: u64,
}

/// Keeps this VM's row and, where this VM reads the directory, reads the others'.
pub(super) async fn keep_rows<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>) {
    let mut renewed: Option<Time> = None;
    let mut renewal = 0;
    loop {
        let due = renewal_interval(engine.fleet.vms().len());
        if renewed.is_none_or(|time| clock::now().since(time) >= due) {
            renewal += 1;
            renewed = write_row(&engine, renewal).await.or(renewed);
        }
        if engine.relay.borrow().is_reader()
            && let Ok(rows) = engine.directory.rows(TABLE).await
        {
            take_rows(&engine, rows.version, &rows.rows).await;
        }
        // A VM that knows nobody yet looks more often.
        let few = engine.fleet.vms().len() < 2;
        sleep(if few { REDIAL } else { ROWS_LOOK }).await;
    }
}

/// Returns the time between two renewals of one VM's row among `vms`.
fn renewal_interval(vms: usize) -> Duration {
    Pace::new(SHORTEST_RENEWAL, LONGEST_RENEWAL)
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
        table: TABLE,
        key: engine.settings.vm.to_string(),
        expected: None,
        value: serde_json::to_vec(&row).ok(),
    };
    engine.directory.write(&write).await.ok().map(|_| clock::now())
}

/// Takes over the VMs whose rows are renewed, and removes the rows of others.
async fn take_rows<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    version: u64,
    rows: &[Row],
) {
    let now = clock::now();
    let limit = renewal_interval(rows.len()).mul_f64(MISSED_RENEWALS);
    let mut members = Vec::new();
    let mut gone = Vec::new();
    for row in rows {
        let Ok(vm) = VmId::new(&row.key) else { continue };
        let Ok(content) = serde_json::from_slice::<VmRow>(&row.value) else { continue };
        let mut renewals = engine.fleet.renewals.borrow_mut();
        let entry = renewals.entry(vm.clone()).or_insert((row.version, now));
        if entry.0 != row.version {
            *entry = (row.version, now);
        }
        if now.since(entry.1) > limit && engine.fleet.link(&vm).is_none() {
            gone.push((vm, row.version));
        } else {
            let VmRow { address, data_centre, .. } = content;
            members.push(Member { vm, address, data_centre });
        }
    }
    members.sort_by(|a, b| a.vm.cmp(&b.vm));
    // The first list counts even when it names nobody else.
    let known = engine.fleet.is_known() && {
        let known = engine.fleet.members.borrow();
        let others = members.iter().filter(|member| member.vm != engine.settings.vm);
        others.clone().count() == known.len()
            && others.clone().all(|member| known.get(&member.vm) == Some(member))
    };
    if !known {
        engine.relay.borrow_mut().keep(Kind::Vms, version, &members);
        take_members(engine, members);
        engine.announce();
    }
    for (vm, version) in gone {
        let write =
            RowWrite { table: TABLE, key: vm.to_string(), expected: Some(version), value: None };
        // Another VM may have removed it, or its owner renewed it: the next look tells.
        let _ = engine.directory.write(&write).await;
    }
}

pub(super) fn take_members<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    members: Vec<Member>,
) {
    engine.fleet.set_members(members);
    engine.refresh_limits();
}
