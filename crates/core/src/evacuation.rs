//! Data centres that operators have taken out of use.
//!
//! After the directory came back from a copy, an evacuation that was written last may be
//! missing there until it is written again. It stays in force meanwhile: to use the data
//! centre too late costs little, to use it too early breaks a promise.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{id::DataCentreId, time::Time};

/// Time after a restore of the directory within which what was written last is written
/// again.
pub const RESTORE_GRACE: Duration = Duration::from_secs(10);

/// The evacuated data centres, across restores of the directory.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Data centres in the newest list of the directory.
    listed: IndexSet<DataCentreId>,
    /// Data centres that were evacuated before the last restore and have not been listed
    /// since, with the time until which they stay evacuated.
    retained: IndexMap<DataCentreId, Time>,
}

impl Evacuations {
    /// Creates a set without evacuated data centres.
    pub fn new() -> Self {
        Evacuations::default()
    }

    /// Records that the directory came back from a copy. The next list may lack data centres
    /// of the last one.
    pub fn record_restore(&mut self, now: Time) {
        let until = now + RESTORE_GRACE;
        self.retained.extend(self.listed.iter().map(|data_centre| (data_centre.clone(), until)));
    }

    /// Replaces the list of the directory.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = DataCentreId>) {
        self.listed = listed.into_iter().collect();
        self.retained.retain(|data_centre, _| !self.listed.contains(data_centre));
    }

    /// Returns the data centres that are evacuated at `now`.
    pub fn in_force(&mut self, now: Time) -> IndexSet<DataCentreId> {
        self.retained.retain(|_, until| now < *until);
        self.listed.iter().chain(self.retained.keys()).cloned().collect()
    }
}
