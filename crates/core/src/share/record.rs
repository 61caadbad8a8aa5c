//! Record of which VM keeps which part, as stored in the platform's table.
//!
//! A keeper is the VM that owns a data centre's part of an account and leases
//! slices of it. Accounts are grouped into slots, and one row holds the keepers
//! of all accounts of a slot.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{AccountId, DataCentreId, Incarnation, VmId},
    rank::rank,
    share::slice::Ppm,
};

/// Number of slots over which accounts are spread. Each slot has one row.
pub const SLOT_COUNT: u64 = 64;

/// Returns the slot of `account`, which depends only on its name.
pub fn slot(account: &AccountId) -> u64 {
    xxh3_64(account.as_str().as_bytes()) % SLOT_COUNT
}

/// Returns the key under which the row of `slot` is stored.
pub fn row_key(slot: u64) -> String {
    format!("share-{slot}")
}

/// The keeper of a part: one incarnation of the daemon on one VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct KeeperId {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its daemon.
    pub incarnation: Incarnation,
}

/// The part of one data centre and its keeper.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Share of the rate and burst of every account in the slot.
    pub share: Ppm,
    /// Keeper that leases out the part, if there is one.
    pub keeper: Option<KeeperId>,
    /// Whether leases of an earlier keeper may still be valid.
    pub lent: bool,
}

/// The row of one slot: the keeper of each data centre's part.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Parts by data centre. The sum of their shares is at most the whole.
    pub parts: IndexMap<DataCentreId, PartRecord>,
}

/// A VM that may claim a part, with the data its claim depends on.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM and the incarnation of its daemon.
    pub own: &'a KeeperId,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// VMs of the data centre in the platform's list, including this one.
    pub listed: &'a [VmId],
}

/// Whether a VM claims its data centre's part of a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// No claim: another VM keeps the part or ranks before this one.
    None,
    /// Write this record if the row is unchanged. The part had no keeper
    /// before.
    First(SlotRecord),
    /// Write this record if the row is unchanged. The part had another keeper
    /// before, so that leases of it may still be valid.
    TakeOver(SlotRecord),
}

impl SlotRecord {
    /// Creates the record of a new slot: equal parts without keepers.
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

    /// Returns the keepers by data centre, without the parts that have none.
    pub fn keepers(&self) -> impl Iterator<Item = (DataCentreId, KeeperId)> {
        self.parts.iter().filter_map(|(centre, part)| Some((centre.clone(), part.keeper.clone()?)))
    }

    /// Decides whether the candidate should become keeper of its data centre's
    /// part.
    ///
    /// A keeper is replaced only after its VM has left the platform's list or
    /// has started a new daemon. An unreachable keeper is not replaced, because
    /// it may continue to lease its part. Two keepers would then lease the same
    /// part twice.
    pub fn claim(&self, slot: u64, candidate: Candidate<'_>) -> Claim {
        let Some(part) = self.parts.get(candidate.data_centre) else {
            return Claim::None;
        };
        let first = rank(&row_key(slot), candidate.listed, 1).first() == Some(&&candidate.own.vm);
        match &part.keeper {
            Some(keeper) if keeper == candidate.own => Claim::None,
            Some(keeper) if keeper.vm == candidate.own.vm => {
                Claim::TakeOver(self.with_keeper(candidate))
            }
            Some(keeper) if candidate.listed.contains(&keeper.vm) => Claim::None,
            Some(_) if first => Claim::TakeOver(self.with_keeper(candidate)),
            None if first && part.lent => Claim::TakeOver(self.with_keeper(candidate)),
            None if first => Claim::First(self.with_keeper(candidate)),
            _ => Claim::None,
        }
    }

    /// Returns the record without `keeper`, which no longer leases its parts,
    /// or `None` if it keeps no part.
    pub fn release(&self, keeper: &KeeperId) -> Option<SlotRecord> {
        let mut record = self.clone();
        let own = |part: &&mut PartRecord| part.keeper.as_ref() == Some(keeper);
        let released = record.parts.values_mut().filter(own).map(|part| part.keeper = None).count();
        (released > 0).then_some(record)
    }

    fn with_keeper(&self, candidate: Candidate<'_>) -> SlotRecord {
        let mut record = self.clone();
        let part = &mut record.parts[candidate.data_centre];
        part.keeper = Some(candidate.own.clone());
        part.lent = true;
        record
    }
}
