//! The rows in which decisions on usage reports are stored.
//!
//! The counts of a window with many accounts are spread over rows of their own, which are
//! written before the row that refers to them and never change.

use chicoryhollow_core::{
    AccountId,
    usage::{DecidedWindow, Ledger, LedgerRow, WindowId},
    version::{DirectoryVersion, Era},
};
use indexmap::IndexMap;
use rand::Rng as _;
use serde::{Deserialize, Serialize};

use crate::{
    engine::Engine,
    seam::{Directory, DirectoryError, Row, RowWrite, ServerProtocol, WriteOutcome},
};

/// Table of the rows.
const USAGE_TABLE: &str = "usage";

/// Maximum size of a row in bytes. The platform stores 65,536 bytes of base64.
const MAX_ROW_BYTES: usize = 48_000;

/// Size of a window's counts in bytes above which they get rows of their own.
const MAX_INLINE_BYTES: usize = 20_000;

/// The same size when there are many windows that are not reported.
const MAX_BACKLOG_BYTES: usize = 100;

/// Accounts in one row of counts. The longest names need 90 bytes each.
const PART_ACCOUNTS: usize = 500;

/// Why the decisions could not be read or written.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum RowError {
    /// The directory did not answer as expected.
    #[error("{0}")]
    Directory(#[from] DirectoryError),
    /// The row was changed by another VM, or the directory came back from a copy.
    #[error("the row has changed")]
    Conflict,
    /// The content of the row is not valid.
    #[error("the row is not valid")]
    Invalid,
    /// There are too many decisions that are not reported.
    #[error("the row is full")]
    Full,
}

/// The rows that hold the counts of one window.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Parts {
    /// Number that distinguishes the rows of different attempts.
    writer: u64,
    count: usize,
}

impl Parts {
    fn keys(self, window: WindowId) -> impl Iterator<Item = String> {
        (0..self.count)
            .map(move |part| format!("part-{}-{:016x}-{part}", window.get(), self.writer))
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WindowContent {
    window: WindowId,
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    counts: IndexMap<AccountId, u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parts: Option<Parts>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Content {
    through: Option<WindowId>,
    open: Vec<WindowContent>,
}

/// The row of the present era, and what is needed if it does not exist.
pub(super) struct Read {
    pub(super) era: Era,
    /// Row of the era and its version.
    pub(super) present: Option<(LedgerRow, DirectoryVersion)>,
    /// Last window in the row of the last era before that has one.
    pub(super) earlier: Option<WindowId>,
}

/// Reads and writes the rows.
#[derive(Default)]
pub(super) struct LedgerRows {
    /// Rows of windows that the row of decisions refers to.
    parts: IndexMap<WindowId, Parts>,
}

impl LedgerRows {
    /// Reads the decisions.
    ///
    /// # Errors
    ///
    /// Fails if the directory does not answer or the row is not valid.
    pub(super) async fn read<S: ServerProtocol, D: Directory>(
        &mut self,
        engine: &Engine<S, D>,
    ) -> Result<Read, RowError> {
        let rows = engine.directory.rows(USAGE_TABLE).await?;
        let era = rows.version.era();
        engine.record_era(era);
        let with_era = |row: &'_ Row| Ledger::parse_key(&row.key);
        let eras = rows.rows.iter().filter_map(with_era).filter(|other| *other <= era);
        self.parts.clear();
        let Some(newest) = eras.max() else {
            return Ok(Read { era, present: None, earlier: None });
        };
        let key = Ledger::row_key(newest);
        let row = rows.rows.iter().find(|row| row.key == key).ok_or(RowError::Invalid)?;
        if newest < era {
            // The decisions of an earlier era are not repeated, so their counts are not read.
            let content = parse_content(row)?;
            return Ok(Read { era, present: None, earlier: content.through });
        }
        let content = self.parse(row, &rows.rows)?;
        Ok(Read { era, present: Some((content, row.version)), earlier: None })
    }

    /// Writes the decisions if the row has the version `expected`, and returns its new
    /// version.
    ///
    /// # Errors
    ///
    /// Fails if it is not certain that the row was written.
    pub(super) async fn write<S: ServerProtocol, D: Directory>(
        &mut self,
        engine: &Engine<S, D>,
        row: &LedgerRow,
        expected: DirectoryVersion,
    ) -> Result<DirectoryVersion, RowError> {
        let known: Vec<WindowId> = self.parts.keys().copied().collect();
        let written = self.try_write(engine, row, expected).await;
        if written.is_err() {
            // A window that is not decided yet may have other counts at the next attempt.
            self.parts.retain(|window, _| known.contains(window));
        }
        written
    }

    async fn try_write<S: ServerProtocol, D: Directory>(
        &mut self,
        engine: &Engine<S, D>,
        row: &LedgerRow,
        expected: DirectoryVersion,
    ) -> Result<DirectoryVersion, RowError> {
        self.spread(engine, row, MAX_INLINE_BYTES).await?;
        let mut value = self.format(row)?;
        if value.len() > MAX_ROW_BYTES {
            self.spread(engine, row, MAX_BACKLOG_BYTES).await?;
            value = self.format(row)?;
        }
        if value.len() > MAX_ROW_BYTES {
            return Err(RowError::Full);
        }
        let write = RowWrite {
            table: USAGE_TABLE,
            key: Ledger::row_key(expected.era()),
            expected: Some(expected),
            value: Some(value),
        };
        let WriteOutcome::Done(version) = engine.directory.write(&write).await? else {
            return Err(RowError::Conflict);
        };
        self.remove_unused(engine, row).await;
        Ok(version)
    }

    /// Writes the counts of each window that exceed `limit` bytes to rows of their own.
    async fn spread<S: ServerProtocol, D: Directory>(
        &mut self,
        engine: &Engine<S, D>,
        row: &LedgerRow,
        limit: usize,
    ) -> Result<(), RowError> {
        for decided in &row.open {
            if !self.parts.contains_key(&decided.window) && counts_bytes(decided)? > limit {
                let parts = write_parts(engine, decided).await?;
                self.parts.insert(decided.window, parts);
            }
        }
        Ok(())
    }

    fn format(&self, row: &LedgerRow) -> Result<Vec<u8>, RowError> {
        let open = row.open.iter().map(|decided| {
            let parts = self.parts.get(&decided.window).copied();
            let counts = if parts.is_some() { IndexMap::new() } else { decided.counts.clone() };
            WindowContent { window: decided.window, counts, parts }
        });
        let content = Content { through: row.through, open: open.collect() };
        serde_json::to_vec(&content).map_err(|_| RowError::Invalid)
    }

    fn parse(&mut self, row: &Row, rows: &[Row]) -> Result<LedgerRow, RowError> {
        let content = parse_content(row)?;
        let mut open = Vec::new();
        for WindowContent { window, mut counts, parts } in content.open {
            for key in parts.into_iter().flat_map(|parts| parts.keys(window)) {
                let part = rows.iter().find(|row| row.key == key).ok_or(RowError::Invalid)?;
                let part = serde_json::from_slice::<IndexMap<AccountId, u64>>(&part.value);
                counts.extend(part.map_err(|_| RowError::Invalid)?);
            }
            self.parts.extend(parts.map(|parts| (window, parts)));
            open.push(DecidedWindow { window, counts });
        }
        Ok(LedgerRow { through: content.through, open })
    }

    /// Removes the rows of counts to which the row of decisions does not refer any more.
    async fn remove_unused<S: ServerProtocol, D: Directory>(
        &mut self,
        engine: &Engine<S, D>,
        row: &LedgerRow,
    ) {
        let is_open = |window: &WindowId| row.open.iter().any(|open| open.window == *window);
        let unused: Vec<(WindowId, Parts)> = self
            .parts
            .iter()
            .filter(|(window, _)| !is_open(window))
            .map(|(w, p)| (*w, *p))
            .collect();
        self.parts.retain(|window, _| is_open(window));
        for key in unused.into_iter().flat_map(|(window, parts)| parts.keys(window)) {
            let removal = RowWrite { table: USAGE_TABLE, key, expected: None, value: None };
            // A row that stays is never read again.
            let _ = engine.directory.write(&removal).await;
        }
    }
}

fn counts_bytes(decided: &DecidedWindow) -> Result<usize, RowError> {
    let json = serde_json::to_vec(&decided.counts).map_err(|_| RowError::Invalid)?;
    Ok(json.len())
}

/// Parses the row of decisions, without the counts in rows of their own.
fn parse_content(row: &Row) -> Result<Content, RowError> {
    serde_json::from_slice(&row.value).map_err(|_| RowError::Invalid)
}

/// Writes the counts of a window to rows that no other VM writes.
async fn write_parts<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    decided: &DecidedWindow,
) -> Result<Parts, RowError> {
    let count = decided.counts.len().div_ceil(PART_ACCOUNTS);
    let parts = Parts { writer: engine.rng.borrow_mut().next_u64(), count };
    let counts: Vec<(&AccountId, &u64)> = decided.counts.iter().collect();
    for (key, counts) in parts.keys(decided.window).zip(counts.chunks(PART_ACCOUNTS)) {
        let counts: IndexMap<&AccountId, &u64> = counts.iter().copied().collect();
        let value = serde_json::to_vec(&counts).map_err(|_| RowError::Invalid)?;
        let write = RowWrite { table: USAGE_TABLE, key, expected: None, value: Some(value) };
        engine.directory.write(&write).await?;
    }
    Ok(parts)
}
