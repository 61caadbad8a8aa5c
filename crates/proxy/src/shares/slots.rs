//! Rows of the platform's table that say who keeps which part.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chicoryhollow_core::{
    pace::{ByteRate, Pace},
    prelude::*,
    rank::rank,
    share::{
        KeeperId, SlotRecord,
        record::{Candidate, Claim, row_key, slot},
    },
};
use chicoryhollow_peer::share::SlotAnswer;
use chicoryhollow_store::{HttpPlatform, Platform, Row, Swap};

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
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Slot {
    pub(super) record: SlotRecord,
    pub(super) tenure: Option<Tenure>,
    version: u64,
}

impl Slot {
    /// Returns the version of the row.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Tells whether the data centre's part has a listed keeper.
    pub(super) fn is_kept(&self, node: &Node) -> bool {
        let part = self.record.parts.get(&node.settings.data_centre);
        let keeper = part.and_then(|part| part.keeper.as_ref());
        part.is_none() || keeper.is_some_and(|keeper| node.members.get(&keeper.vm).is_some())
    }

    /// Tells whether every part has a listed keeper.
    pub(super) fn is_settled(&self, node: &Node) -> bool {
        let kept = |keeper: &KeeperId| node.members.get(&keeper.vm).is_some();
        self.record.parts.values().all(|part| part.keeper.as_ref().is_some_and(kept))
    }
}

/// Time between two tries while a row is unknown or its part has no keeper.
const SEARCH: Duration = Duration::from_millis(400);

/// Time between two reads of a row some of whose parts have no keeper.
const SETTLE: Duration = Duration::from_secs(2);

/// Time between two questions to another VM about such a row.
const FOLLOW: Duration = Duration::from_millis(500);

/// Pace of looks at rows that are as they should be; the longest interval
/// bounds how late a new keeper is noticed.
const REVIEW: Pace = Pace::new(Duration::from_secs(5), Duration::from_secs(20))
    .with_cost(REVIEW_BYTES, ByteRate::new(200));

/// Bytes of a look at a row and its answer.
const REVIEW_BYTES: u32 = 300;

/// VMs of a data centre that read a row from the platform; the others ask them.
const READERS: usize = 2;

/// Where to look for the row of a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// In the platform's table.
    Platform,
    /// At another VM.
    Peer(VmId),
}

/// Decides when and where to look for the rows of slots.
///
/// The platform answers a few thousand reads a second for the whole fleet, so
/// only the VMs that may have to claim a part read its row.
#[derive(Debug, Default)]
pub(super) struct Reviews {
    looked: HashMap<u64, (Time, u32)>,
}

impl Reviews {
    /// Returns where to look for the row of `slot` now, if a look is due;
    /// `slots` are in use.
    pub(super) fn next(
        &mut self,
        node: &Node,
        slot: u64,
        known: Option<&Slot>,
        slots: usize,
    ) -> Option<Source> {
        let ranked = ranked_vms(node, slot);
        let place = ranked.iter().position(|vm| *vm == node.settings.vm);
        let settled = known.is_some_and(|known| known.is_settled(node));
        let every = match known {
            Some(_) if settled => REVIEW.interval(slots),
            Some(known) if known.is_kept(node) && place == Some(0) => SETTLE,
            Some(known) if known.is_kept(node) => FOLLOW,
            _ => SEARCH,
        };
        let now = node.clock.now();
        let (looked, tries) = self.looked.get(&slot).copied().unwrap_or_default();
        if tries > 0 && now.since(looked) < every {
            return None;
        }
        self.looked.insert(slot, (now, tries.wrapping_add(1).max(1)));
        // While a part has no keeper, the first VM looks often and the others
        // learn from it.
        let kept = known.is_some_and(|known| known.is_kept(node));
        let readers = if kept && !settled { 1 } else { READERS };
        let reads = place.is_none_or(|place| place < readers);
        // A VM that finds no row asks the others in turn, since the platform
        // may be down or out of its reach.
        let searching = known.is_none() && tries % 2 == 1;
        if reads && !searching {
            return Some(Source::Platform);
        }
        Some(source(node, &ranked, searching, tries))
    }
}

fn source(node: &Node, ranked: &[VmId], searching: bool, tries: u32) -> Source {
    let others = |vm: &&VmId| **vm != node.settings.vm;
    let near = ranked.iter().find(others).filter(|_| !searching);
    if let Some(vm) = near {
        return Source::Peer(vm.clone());
    }
    let listed = node.members.vms();
    let everywhere: Vec<&VmId> = listed.iter().map(|vm| &vm.vm).filter(others).collect();
    match everywhere.len() {
        0 => Source::Platform,
        count => Source::Peer(everywhere[tries as usize / 2 % count].clone()),
    }
}

/// Returns the VMs of this data centre by their rank for a slot.
fn ranked_vms(node: &Node, slot: u64) -> Vec<VmId> {
    let listed = node.members.vms();
    let near = listed.iter().filter(|vm| vm.data_centre == node.settings.data_centre);
    let names: Vec<&str> = near.map(|vm| vm.vm.as_str()).collect();
    let ranked = rank(&row_key(slot), names, usize::MAX);
    ranked.into_iter().filter_map(|name| VmId::new(name).ok()).collect()
}

/// Makes the answer to another VM that knows `version` of the row of `slot`.
pub(super) fn answer(slot: u64, known: &Slot, version: u64) -> Option<SlotAnswer> {
    if known.version <= version {
        return None;
    }
    let json = serde_json::to_vec(&known.record).ok()?.into();
    Some(SlotAnswer { slot, version: known.version, json })
}

/// Takes over another VM's answer if it is newer than what is known.
pub(super) fn answered(node: &Node, known: Option<&Slot>, answer: &SlotAnswer) -> Option<Slot> {
    if known.is_some_and(|known| known.version >= answer.version) {
        return None;
    }
    let record: SlotRecord = serde_json::from_slice(&answer.json).ok()?;
    let own = KeeperId { vm: node.settings.vm.clone(), incarnation: node.incarnation };
    let part = record.parts.get(&node.settings.data_centre);
    let kept = part.is_some_and(|part| part.keeper.as_ref() == Some(&own));
    let tenure = known.and_then(|known| known.tenure).filter(|_| kept);
    Some(Slot { record, tenure, version: answer.version })
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
    let listed = node.members.vms();
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
