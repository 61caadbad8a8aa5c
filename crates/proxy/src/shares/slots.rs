//! Rows of the platform's table that name the keeper of each part.
//!
//! A keeper is the VM that owns a data centre's part of an account and leases
//! slices of it. Accounts are grouped into slots, and one row holds the keepers of
//! all accounts of a slot. A few VMs of each data centre read the rows from the
//! platform, and the others ask them.

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

/// How this incarnation of the daemon became the keeper of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KeeperOrigin {
    /// The part had no keeper before.
    First,
    /// The part had another keeper until this time.
    TakenOver(Time),
}

/// The newest known row of one slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Slot {
    pub(super) record: SlotRecord,
    pub(super) origin: Option<KeeperOrigin>,
    version: u64,
}

impl Slot {
    /// Returns the version of the row.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the part of this VM's data centre has a keeper whose VM is in
    /// the list of VMs. Also returns true if the data centre has no part.
    pub(super) fn has_local_keeper(&self, node: &Node) -> bool {
        let part = self.record.parts.get(&node.settings.data_centre);
        let keeper = part.and_then(|part| part.keeper.as_ref());
        part.is_none() || keeper.is_some_and(|keeper| node.members.get(&keeper.vm).is_some())
    }

    /// Returns whether every part has a keeper whose VM is in the list of VMs.
    pub(super) fn has_all_keepers(&self, node: &Node) -> bool {
        let kept = |keeper: &KeeperId| node.members.get(&keeper.vm).is_some();
        self.record.parts.values().all(|part| part.keeper.as_ref().is_some_and(kept))
    }
}

/// Time between two attempts to get a row that is unknown, or in which the part of
/// this data centre has no keeper.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two reads of a row in which only parts of other data centres have
/// no keeper.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two requests to another VM for a row in which only parts of other
/// data centres have no keeper.
const PEER_INTERVAL: Duration = Duration::from_millis(500);

/// Pace of checks of rows in which every part has a keeper. The longest interval
/// limits how late a new keeper becomes known.
const CHECK_PACE: Pace = Pace::new(Duration::from_secs(5), Duration::from_secs(20))
    .with_cost(CHECK_BYTES, ByteRate::new(200));

/// Bytes on the network of a request for a row and its answer.
const CHECK_BYTES: u32 = 300;

/// Number of VMs per data centre that read a row from the platform. The others ask
/// them.
const READERS_PER_DATA_CENTRE: usize = 2;

/// Where to request the row of a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// From the platform's table.
    Platform,
    /// From another VM.
    Peer(VmId),
}

/// Decides when and where to request the rows of slots.
///
/// The platform answers a few thousand reads per second for all VMs together.
/// Therefore only the VMs that may have to claim a part read its row from the
/// platform.
#[derive(Debug, Default)]
pub(super) struct CheckSchedule {
    attempts: HashMap<u64, (Time, u32)>,
}

impl CheckSchedule {
    /// Returns where to request the row of `slot`, if a request is due now. `slots`
    /// is the number of slots in use.
    pub(super) fn next_source(
        &mut self,
        node: &Node,
        slot: u64,
        known: Option<&Slot>,
        slots: usize,
    ) -> Option<Source> {
        let ranked = ranked_vms(node, slot);
        let position = ranked.iter().position(|vm| *vm == node.settings.vm);
        let complete = known.is_some_and(|known| known.has_all_keepers(node));
        let interval = match known {
            Some(_) if complete => CHECK_PACE.interval(slots),
            Some(known) if known.has_local_keeper(node) && position == Some(0) => READ_INTERVAL,
            Some(known) if known.has_local_keeper(node) => PEER_INTERVAL,
            _ => SEARCH_INTERVAL,
        };
        let now = node.clock.now();
        let (last, tries) = self.attempts.get(&slot).copied().unwrap_or_default();
        if tries > 0 && now.since(last) < interval {
            return None;
        }
        self.attempts.insert(slot, (now, tries.wrapping_add(1).max(1)));
        // While a part of another data centre has no keeper, only the first VM by rank
        // reads the row. It does so often, and the others ask it.
        let kept = known.is_some_and(|known| known.has_local_keeper(node));
        let readers = if kept && !complete { 1 } else { READERS_PER_DATA_CENTRE };
        let reads = position.is_none_or(|position| position < readers);
        // While the row is unknown, the VM also asks the others in turn, because
        // the platform may be down or unreachable.
        let searching = known.is_none() && tries % 2 == 1;
        if reads && !searching {
            return Some(Source::Platform);
        }
        Some(choose_source(node, &ranked, searching, tries))
    }
}

fn choose_source(node: &Node, ranked: &[VmId], searching: bool, tries: u32) -> Source {
    let others = |vm: &&VmId| **vm != node.settings.vm;
    let nearby = ranked.iter().find(others).filter(|_| !searching);
    if let Some(vm) = nearby {
        return Source::Peer(vm.clone());
    }
    let listed = node.members.vms();
    let all: Vec<&VmId> = listed.iter().map(|vm| &vm.vm).filter(others).collect();
    match all.len() {
        0 => Source::Platform,
        count => Source::Peer(all[tries as usize / 2 % count].clone()),
    }
}

/// Returns the VMs of this data centre, ordered by their rank for a slot.
fn ranked_vms(node: &Node, slot: u64) -> Vec<VmId> {
    let listed = node.members.vms();
    let local = listed.iter().filter(|vm| vm.data_centre == node.settings.data_centre);
    let names: Vec<&str> = local.map(|vm| vm.vm.as_str()).collect();
    let ranked = rank(&row_key(slot), names, usize::MAX);
    ranked.into_iter().filter_map(|name| VmId::new(name).ok()).collect()
}

/// Returns the answer to another VM that knows `version` of the row of `slot`, or
/// `None` if it knows the newest version.
pub(super) fn answer(slot: u64, known: &Slot, version: u64) -> Option<SlotAnswer> {
    if known.version <= version {
        return None;
    }
    let json = serde_json::to_vec(&known.record).ok()?.into();
    Some(SlotAnswer { slot, version: known.version, json })
}

/// Returns the slot of another VM's answer, or `None` if it is no newer than the
/// known one or malformed.
pub(super) fn apply_answer(node: &Node, known: Option<&Slot>, answer: &SlotAnswer) -> Option<Slot> {
    if known.is_some_and(|known| known.version >= answer.version) {
        return None;
    }
    let record: SlotRecord = serde_json::from_slice(&answer.json).ok()?;
    let own = KeeperId { vm: node.settings.vm.clone(), incarnation: node.incarnation };
    let part = record.parts.get(&node.settings.data_centre);
    let kept = part.is_some_and(|part| part.keeper.as_ref() == Some(&own));
    let origin = known.and_then(|known| known.origin).filter(|_| kept);
    Some(Slot { record, origin, version: answer.version })
}

/// Returns the slots of all configured accounts.
pub(super) fn in_use(node: &Node) -> Vec<u64> {
    let versioned = node.configuration();
    let mut slots: Vec<u64> = versioned.configuration.accounts.keys().map(slot).collect();
    slots.sort_unstable();
    slots.dedup();
    slots
}

/// Reads the row of a slot, and claims this data centre's part if this VM should
/// become its keeper. Returns `None` if the platform does not answer.
pub(super) async fn read_and_claim(
    node: &Arc<Node>,
    platform: &HttpPlatform,
    slot: u64,
    known: Option<Slot>,
) -> Option<Slot> {
    let key = row_key(slot);
    let row = platform.get(&key).await.ok()?;
    let present = match row {
        Some(row) => decode_row(&row, known.as_ref())?,
        None => create_row(node, platform, &key).await?,
    };
    claim_part(node, platform, slot, present).await
}

fn decode_row(row: &Row, known: Option<&Slot>) -> Option<Slot> {
    let record = serde_json::from_value(row.value.clone()).ok()?;
    let origin = known.and_then(|known| known.origin);
    Some(Slot { record, origin, version: row.version })
}

async fn create_row(node: &Node, platform: &HttpPlatform, key: &str) -> Option<Slot> {
    let versioned = node.configuration();
    let record = SlotRecord::new(versioned.configuration.data_centres.keys().cloned());
    let value = serde_json::to_value(&record).ok()?;
    match platform.swap(key, 0, value).await.ok()? {
        Swap::Done(row) | Swap::Conflict(Some(row)) => decode_row(&row, None),
        Swap::Conflict(None) => None,
    }
}

async fn claim_part(
    node: &Node,
    platform: &HttpPlatform,
    slot: u64,
    mut present: Slot,
) -> Option<Slot> {
    let own = KeeperId { vm: node.settings.vm.clone(), incarnation: node.incarnation };
    let data_centre = &node.settings.data_centre;
    let listed = node.members.vms();
    let local = listed.iter().filter(|vm| vm.data_centre == *data_centre);
    let listed: Vec<VmId> = local.map(|vm| vm.vm.clone()).collect();
    let candidate = Candidate { own: &own, data_centre, listed: &listed };
    let keeps = |record: &SlotRecord| {
        record.parts.get(data_centre).is_some_and(|part| part.keeper.as_ref() == Some(&own))
    };
    let (record, first) = match present.record.claim(slot, candidate) {
        Claim::None => {
            // If the answer to a successful claim was lost, only the row shows that
            // this VM is the keeper.
            let kept = keeps(&present.record);
            let origin = present.origin.unwrap_or(KeeperOrigin::TakenOver(node.clock.now()));
            present.origin = kept.then_some(origin);
            return Some(present);
        }
        Claim::First(record) => (record, true),
        Claim::TakeOver(record) => (record, false),
    };
    let value = serde_json::to_value(&record).ok()?;
    match platform.swap(&row_key(slot), present.version, value).await.ok()? {
        Swap::Done(row) => {
            let origin =
                if first { KeeperOrigin::First } else { KeeperOrigin::TakenOver(node.clock.now()) };
            Some(Slot { record, origin: Some(origin), version: row.version })
        }
        Swap::Conflict(row) => decode_row(&row?, None),
    }
}

/// The known rows, by number of the slot.
pub(super) type Slots = HashMap<u64, Slot>;
