//! What is reported for each window.
//!
//! A row of the directory holds the last decided window and the decisions that may not be
//! reported yet. A decision is made by a conditional write of the row, so that of two holders
//! only one decides a window. Nothing is sent before that write is known to have succeeded.
//!
//! Each era of the directory has a row of its own, as a write that was sent before a restore
//! may be executed after it, when another version of the row may have the expected number. A
//! directory that came back from a copy may have forgotten decisions. The windows that may
//! have been decided before, and whose decisions this VM does not know, are never reported.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::AccountId,
    usage::{MAX_WINDOWS, Schedule, TrueTime, WindowId},
    version::{DirectoryVersion, Era},
};

/// Number of own decisions that are remembered for a restore of the directory.
const MAX_REMEMBERED: usize = 64;

/// What is reported for a window.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DecidedWindow {
    /// The window.
    pub window: WindowId,
    /// Operations of each account.
    #[serde(default)]
    pub counts: IndexMap<AccountId, u64>,
}

/// Content of the row.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Last window that was decided or is never reported.
    pub through: Option<WindowId>,
    /// Decisions that are not known to be reported, in the order of the windows.
    pub open: Vec<DecidedWindow>,
}

/// What a VM knows of a restore of the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Restore {
    /// When this VM learnt of the era in which the row is read.
    pub learnt: TrueTime,
    /// Whether this VM held the role until then, so that it knows all decisions.
    pub knows_all: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Read the row.
    Read,
    /// Write the decision on this window.
    Decide(WindowId),
    /// Send the report of this window.
    Report(WindowId),
}

/// The decisions as the holder of the role knows them.
#[derive(Clone, Debug)]
pub struct Ledger {
    schedule: Schedule,
    /// Version of the row, or `None` if it must be read.
    version: Option<DirectoryVersion>,
    row: LedgerRow,
    /// Last window that was decided or is never reported, in all rows that this VM knew.
    known: Option<WindowId>,
    /// Own decisions that the directory confirmed and that are not known to be reported.
    remembered: BTreeMap<WindowId, DecidedWindow>,
}

impl Ledger {
    /// Creates a ledger that has read nothing yet.
    pub fn new(schedule: Schedule) -> Self {
        Ledger {
            schedule,
            version: None,
            row: LedgerRow::default(),
            known: None,
            remembered: BTreeMap::new(),
        }
    }

    /// Returns the key of the row in an era of the directory.
    pub fn row_key(era: Era) -> String {
        format!("decided-{}", era.get())
    }

    /// Returns the era whose row has this key.
    pub fn parse_key(key: &str) -> Option<Era> {
        key.strip_prefix("decided-")?.parse().ok()
    }

    /// Forgets what was read, because the role was lost or a write may have failed.
    pub fn forget(&mut self) {
        self.version = None;
    }

    /// Returns the version that the row must have when it is written.
    pub fn version(&self) -> Option<DirectoryVersion> {
        self.version
    }

    /// Returns the last window that was decided or is never reported.
    pub fn through(&self) -> Option<WindowId> {
        self.row.through
    }

    /// Returns the decisions that are not known to be reported.
    pub fn open(&self) -> &[DecidedWindow] {
        &self.row.open
    }

    /// Returns what to do at `now`. `first` is the window to begin with if none was decided
    /// before.
    pub fn next_step(&self, first: WindowId, now: TrueTime) -> Step {
        if self.version.is_none() {
            return Step::Read;
        }
        let next = self.next_window(first, now);
        if self.schedule.decision_time(next) <= now {
            return Step::Decide(next);
        }
        self.next_report()
    }

    /// Returns the earliest report to send.
    pub fn next_report(&self) -> Step {
        self.row.open.first().map_or(Step::Wait, |decided| Step::Report(decided.window))
    }

    /// Records the row that was read in this era.
    ///
    /// A row that is behind what this VM knows came back from a copy of a directory that
    /// counts no eras.
    pub fn record_row(&mut self, row: LedgerRow, version: DirectoryVersion) {
        let is_forgotten = |window: &WindowId| row.through.is_none_or(|through| *window > through);
        let own = self.remembered.iter().filter(|(window, _)| is_forgotten(window));
        let forgotten: Vec<DecidedWindow> = own.map(|(_, decided)| decided.clone()).collect();
        self.known = self.known.max(row.through);
        self.row = LedgerRow { through: self.known, open: row.open };
        self.row.open.extend(forgotten);
        self.version = Some(version);
    }

    /// Records that the era `era` has no row yet. `earlier` is the last window in the row of
    /// the last era before it that has one.
    ///
    /// The decisions in that row may stem from a write that was executed after the restore,
    /// although others were made in the meantime. Only those that this VM made are kept.
    pub fn record_missing(&mut self, era: Era, earlier: Option<WindowId>, restore: Restore) {
        self.version = Some(DirectoryVersion::start_of(era));
        let mut through = earlier.max(self.known);
        if era != Era::default() && !restore.knows_all {
            through = through.max(self.schedule.last_decidable(restore.learnt));
        }
        self.known = through;
        self.row = LedgerRow { through, open: self.remembered.values().cloned().collect() };
    }

    /// Returns the row that decides on a window.
    pub fn decide(&self, decided: DecidedWindow) -> LedgerRow {
        let mut row = self.row.clone();
        row.through = Some(decided.window);
        row.open.push(decided);
        row
    }

    /// Records that a row of [`Ledger::decide`] was written with `version`.
    pub fn record_written(&mut self, row: LedgerRow, version: DirectoryVersion) {
        if let Some(decided) = row.open.last() {
            self.remembered.insert(decided.window, decided.clone());
            if self.remembered.len() > MAX_REMEMBERED {
                self.remembered.pop_first();
            }
        }
        self.record_row(row, version);
    }

    /// Records that the report of a window was accepted.
    pub fn record_reported(&mut self, window: WindowId) {
        self.row.open.retain(|decided| decided.window != window);
        self.remembered.remove(&window);
    }

    /// Returns the window to decide next. Windows whose counts are no longer kept are left out.
    fn next_window(&self, first: WindowId, now: TrueTime) -> WindowId {
        let next = self.row.through.map_or(first, WindowId::next);
        next.max(self.schedule.window_at(now).earlier_by(MAX_WINDOWS))
    }
}
