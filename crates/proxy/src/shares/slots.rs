//! Rows of the platform's table that say who keeps which part.

use std::{collections::HashMap, sync::Arc};

use chicoryhollow_core::{
    prelude::*,
    share::{
        KeeperId, SlotRecord,
        record::{Candidate, Claim, row_key, slot},
    },
};
use chicoryhollow_platform::{HttpPlatform, Platform, Row, Swap};

use crate::node::Node;

/// How this run of the daemon came to keep a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Tenure {
    /// Nobody kept it before.
    First,
    /// Another run kept it until then.
    Since(Time),
}

/// The known row of one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub(super) record: SlotRecord,
    pub(super) tenure: Option<Tenure>,
    version: u64,
}

impl Slot {
    /// Tells whether the data centre's part has a listed keeper.
    pub(super) fn is_kept(&self, node: &Node) -> bool {
        let part = self.record.parts.get(&node.settings.data_centre);
        let keeper = part.and_then(|part| part.keeper.as_ref());
        part.is_none() || keeper.is_some_and(|keeper| node.members.get(&keeper.vm).is_some())
    }

    /// Tells whether every part has had a keeper.
    pub(super) fn is_complete(&self) -> bool {
        self.record.parts.values().all(|part| part.keeper.is_some())
    }
}

/// Returns the slots of all configured accounts.
pub(super) fn in_use(node: &Node) -> Vec<u64> {
    let versioned = node.configuration();
    let mut slots: Vec<u64> = versioned.configuration.accounts.keys().map(slot).collect();
    slots.sort_unstable();
    slots.dedup();
    slots
}

/// Reads the row of a slot and claims this data centre's part if it is this
/// VM's turn; `None` when the platform does not answer.
pub(super) async fn review(
    node: &Arc<Node>,
    platform: &HttpPlatform,
    slot: u64,
    known: Option<Slot>,
) -> Option<Slot> {
    let key = row_key(slot);
    let row = platform.get(&key).await.ok()?;
    let present = match row {
        Some(row) => read(&row, known.as_ref())?,
        None => create(node, platform, &key).await?,
    };
    claim(node, platform, slot, present).await
}

fn read(row: &Row, known: Option<&Slot>) -> Option<Slot> {
    let record = serde_json::from_value(row.value.clone()).ok()?;
    let tenure = known.and_then(|known| known.tenure);
    Some(Slot { record, tenure, version: row.version })
}

async fn create(node: &Node, platform: &HttpPlatform, key: &str) -> Option<Slot> {
    let versioned = node.configuration();
    let record = SlotRecord::new(versioned.configuration.data_centres.keys().cloned());
    let value = serde_json::to_value(&record).ok()?;
    match platform.swap(key, 0, value).await.ok()? {
        Swap::Done(row) | Swap::Conflict(Some(row)) => read(&row, None),
        Swap::Conflict(None) => None,
    }
}

async fn claim(node: &Node, platform: &HttpPlatform, slot: u64, mut present: Slot) -> Option<Slot> {
    let own = KeeperId { vm: node.settings.vm.clone(), incarnation: node.incarnation };
    let data_centre = &node.settings.data_centre;
    let listed = node.members.listed();
    let near = listed.iter().filter(|vm| vm.data_centre == *data_centre);
    let listed: Vec<VmId> = near.map(|vm| vm.vm.clone()).collect();
    let candidate = Candidate { own: &own, data_centre, listed: &listed };
    let keeps = |record: &SlotRecord| {
        record.parts.get(data_centre).is_some_and(|part| part.keeper.as_ref() == Some(&own))
    };
    let (record, first) = match present.record.claim(slot, candidate) {
        Claim::None => {
            // A claim whose answer was lost shows only in the row.
            let kept = keeps(&present.record);
            let since = present.tenure.unwrap_or(Tenure::Since(node.clock.now()));
            present.tenure = kept.then_some(since);
            return Some(present);
        }
        Claim::First(record) => (record, true),
        Claim::TakeOver(record) => (record, false),
    };
    let value = serde_json::to_value(&record).ok()?;
    match platform.swap(&row_key(slot), present.version, value).await.ok()? {
        Swap::Done(row) => {
            let tenure = if first { Tenure::First } else { Tenure::Since(node.clock.now()) };
            Some(Slot { record, tenure: Some(tenure), version: row.version })
        }
        Swap::Conflict(row) => read(&row?, None),
    }
}

/// The known rows.
pub(super) type Slots = HashMap<u64, Slot>;
