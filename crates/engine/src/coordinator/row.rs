//! The coordinator's row as it is stored in the directory.

use chicoryhollow_core::{
    VmId,
    coordinator::{CoordinatorRow, FailoverRecord, is_row_key, row_key},
    version::{DirectoryVersion, Era},
};
use serde::{Deserialize, Serialize};

use crate::{
    engine::Engine,
    seam::{Directory, Row, RowWrite, Rows, ServerProtocol},
};

/// Table of the coordinator's row.
pub(super) const COORDINATOR_TABLE: &str = "duties";

/// Content of the coordinator's row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Content {
    holder: Option<String>,
    incarnation: u64,
    /// Whether the holder has known the era of the directory for so long that all that was
    /// missing after its restore has been written again.
    #[serde(default)]
    settled: bool,
    /// What a later holder must know of failovers.
    #[serde(default)]
    failovers: FailoverRecord,
}

/// The coordinator's row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StoredRow {
    pub(super) row: CoordinatorRow,
    pub(super) record: FailoverRecord,
}

impl StoredRow {
    /// Returns the row of an era, if it exists.
    pub(super) fn find(rows: &Rows, era: Era) -> Option<Self> {
        let key = row_key(era);
        rows.rows.iter().find(|row| row.key == key).map(StoredRow::parse)
    }

    /// Returns the row that was written last, in any era.
    pub(super) fn find_newest(rows: &Rows) -> Option<Self> {
        let own = rows.rows.iter().filter(|row| is_row_key(&row.key));
        own.max_by_key(|row| row.version).map(StoredRow::parse)
    }

    /// Parses the row. A row that cannot be parsed has no holder, and any server may be missing.
    fn parse(row: &Row) -> Self {
        let (holder, incarnation, record) = match serde_json::from_slice::<Content>(&row.value) {
            Ok(content) => (content.holder, content.incarnation, content.failovers),
            Err(_) => (None, 0, FailoverRecord::unknown()),
        };
        let holder = holder.and_then(|holder| VmId::new(holder).ok());
        StoredRow { row: CoordinatorRow { holder, incarnation, version: row.version }, record }
    }
}

/// Returns the write of the row of the expected version's era.
pub(super) fn row_write<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    expected: DirectoryVersion,
    holder: Option<String>,
    failovers: FailoverRecord,
) -> RowWrite {
    let content = Content {
        holder,
        incarnation: engine.settings.incarnation,
        settled: engine.is_era_settled(),
        failovers,
    };
    RowWrite {
        table: COORDINATOR_TABLE,
        key: row_key(expected.era()),
        expected: Some(expected),
        value: serde_json::to_vec(&content).ok(),
    }
}

/// Reads whether the last coordinator found the directory complete, in its present era.
pub(crate) async fn reads_settled_era<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
) -> bool {
    let Ok(rows) = engine.directory.rows(COORDINATOR_TABLE).await else { return false };
    let key = row_key(rows.version.era());
    let row = rows.rows.iter().find(|row| row.key == key);
    let content = row.and_then(|row| serde_json::from_slice::<Content>(&row.value).ok());
    content.is_some_and(|content| content.settled)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(key: &str, number: u64, value: &str) -> Row {
        let version = DirectoryVersion::new(Era::new(2), number);
        Row { key: key.to_owned(), value: value.as_bytes().to_vec(), version }
    }

    fn rows(rows: Vec<Row>) -> Rows {
        Rows { version: DirectoryVersion::new(Era::new(2), 60), rows }
    }

    /// A daemon of an earlier version may have written the row.
    #[test]
    fn a_row_without_failovers_parses() {
        let value = r#"{"holder":"vm-1","incarnation":7,"settled":true}"#;
        let rows = rows(vec![row("succession-2", 41, value)]);
        let stored = StoredRow::find(&rows, Era::new(2)).expect("the row exists");
        assert_eq!(stored.row.holder, VmId::new("vm-1").ok());
        assert_eq!(stored.record, FailoverRecord::default());
    }

    /// What the row said is not known, so any server may be missing.
    #[test]
    fn a_row_that_cannot_be_parsed_is_free_and_delays_failovers() {
        let rows = rows(vec![row("succession-2", 41, "{")]);
        let stored = StoredRow::find(&rows, Era::new(2)).expect("the row exists");
        assert_eq!(stored.row.holder, None);
        assert_eq!(stored.record, FailoverRecord::unknown());
    }

    /// After a restore, orders were looked for in the row of another era than the last one.
    #[test]
    fn the_row_that_was_written_last_is_found_after_a_restore() {
        let value = |vm| format!(r#"{{"holder":"{vm}","incarnation":7}}"#);
        let rows = rows(vec![
            row("succession", 49, &value("vm-0")),
            row("succession-1", 52, &value("vm-1")),
            row("usage-3", 58, &value("vm-2")),
        ]);
        assert_eq!(StoredRow::find(&rows, Era::new(2)), None);
        let newest = StoredRow::find_newest(&rows).expect("there are rows");
        assert_eq!(newest.row.holder, VmId::new("vm-1").ok());
    }
}
