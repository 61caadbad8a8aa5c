//! Which VM keeps which part, as recorded in the platform's table.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{AccountId, DataCentreId, Incarnation, VmId},
    rank::rank,
    share::slice::Ppm,
};

/// Slots over which accounts are spread; each has one row.
pub const SLOTS: u64 = 64;

/// Returns the slot of `account`.
pub fn slot(account: &AccountId) -> u64 {
    xxh3_64(account.as_str().as_bytes()) % SLOTS
}

/// Returns the key of the row of `slot`.
pub fn row_key(slot: u64) -> String {
    format!("share-{slot}")
}

/// One run of the daemon that keeps a part.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct KeeperId {
    /// The VM.
    pub vm: VmId,
    /// Run of its daemon.
    pub incarnation: Incarnation,
}

/// The part of one data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Share of every account in the slot.
    pub share: Ppm,
    /// Who lends it.
    pub keeper: Option<KeeperId>,
    /// Whether leases of an earlier keeper may still run.
    pub lent: bool,
}

/// The row of one slot.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Parts by data centre; their shares sum up to at most the whole.
    pub parts: IndexMap<DataCentreId, PartRecord>,
}

/// What a VM knows when it looks at a slot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// This run of the daemon.
    pub own: &'a KeeperId,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// VMs of the data centre that the platform lists, this one included.
    pub listed: &'a [VmId],
}

/// What to do about a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Nothing; another VM keeps the part or ranks before this one.
    None,
    /// Write this record if the row is unchanged; the part had no keeper yet.
    First(SlotRecord),
    /// Write this record if the row is unchanged; another run kept the part.
    TakeOver(SlotRecord),
}

impl SlotRecord {
    /// Makes the record of a new slot: equal parts, nobody keeps them yet.
    pub fn new(centres: impl IntoIterator<Item = DataCentreId>) -> Self {
        let mut parts: IndexMap<DataCentreId, PartRecord> = centres
            .into_iter()
            .map(|centre| (centre, PartRecord { share: Ppm::ZERO, keeper: None, lent: false }))
            .collect();
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX).max(1);
        for part in parts.values_mut() {
            part.share = Ppm::new(Ppm::WHOLE.get() / count);
        }
        SlotRecord { parts }
    }

    /// Returns the keepers by data centre.
    pub fn keepers(&self) -> impl Iterator<Item = (DataCentreId, KeeperId)> {
        self.parts.iter().filter_map(|(centre, part)| Some((centre.clone(), part.keeper.clone()?)))
    }

    /// Decides whether the candidate should keep its data centre's part.
    ///
    /// A keeper is replaced only once its VM has left the platform's list or
    /// runs a new daemon. Silence is no reason: a VM that is cut off goes on
    /// lending, and two keepers would lend the part twice.
    pub fn claim(&self, slot: u64, candidate: Candidate<'_>) -> Claim {
        let Some(part) = self.parts.get(candidate.data_centre) else {
            return Claim::None;
        };
        let first = rank(&row_key(slot), candidate.listed, 1).first() == Some(&&candidate.own.vm);
        match &part.keeper {
            Some(keeper) if keeper == candidate.own => Claim::None,
            Some(keeper) if keeper.vm == candidate.own.vm => Claim::TakeOver(self.with(candidate)),
            Some(keeper) if candidate.listed.contains(&keeper.vm) => Claim::None,
            Some(_) if first => Claim::TakeOver(self.with(candidate)),
            None if first && part.lent => Claim::TakeOver(self.with(candidate)),
            None if first => Claim::First(self.with(candidate)),
            _ => Claim::None,
        }
    }

    /// Returns the record without `keeper`, which has stopped lending, or
    /// `None` when it keeps nothing.
    pub fn release(&self, keeper: &KeeperId) -> Option<SlotRecord> {
        let mut record = self.clone();
        let own = |part: &&mut PartRecord| part.keeper.as_ref() == Some(keeper);
        let released = record.parts.values_mut().filter(own).map(|part| part.keeper = None).count();
        (released > 0).then_some(record)
    }

    fn with(&self, candidate: Candidate<'_>) -> SlotRecord {
        let mut record = self.clone();
        let part = &mut record.parts[candidate.data_centre];
        part.keeper = Some(candidate.own.clone());
        part.lent = true;
        record
    }
}
