//! The log of committed transactions, and the LSN after which each term starts.

use chicoryhollow_core::view::TermStart;
use serde::{Deserialize, Serialize};

use crate::backend::datum::Datum;

/// A statement with its bound parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) sql: String,
    pub(crate) params: Vec<Datum>,
}

/// One committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) lsn: u64,
    pub(crate) xid: u64,
    pub(crate) changes: Vec<Change>,
}

/// All committed transactions that a server has. The first one has LSN 1.
#[derive(Debug, Default)]
pub(crate) struct Log {
    records: Vec<Record>,
    history: Vec<TermStart>,
}

impl Log {
    /// Returns the LSN of the newest record, or 0 if the log is empty.
    pub(crate) fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the start of each term, oldest first.
    pub(crate) fn history(&self) -> &[TermStart] {
        &self.history
    }

    /// Returns the record at `lsn`.
    pub(crate) fn get(&self, lsn: u64) -> Option<&Record> {
        let index = usize::try_from(lsn.checked_sub(1)?).ok()?;
        self.records.get(index)
    }

    /// Returns up to `limit` records after `lsn`.
    pub(crate) fn after(&self, lsn: u64, limit: usize) -> &[Record] {
        let start = (lsn as usize).min(self.records.len());
        let end = (start + limit).min(self.records.len());
        &self.records[start..end]
    }

    /// Appends a record if it directly follows the newest one; returns whether it
    /// does.
    pub(crate) fn append(&mut self, record: Record) -> bool {
        let next = record.lsn == self.end() + 1;
        if next {
            self.records.push(record);
        }
        next
    }

    /// Adds the start of a new term to the history.
    pub(crate) fn open_term(&mut self, start: TermStart) {
        self.history.push(start);
    }

    /// Returns the largest transaction id in the log, or 0 if it is empty.
    pub(crate) fn largest_xid(&self) -> u64 {
        self.records.iter().map(|record| record.xid).max().unwrap_or(0)
    }

    /// Removes the records that are not in another server's log, which is
    /// described by `history` and `end`. Takes over that history and returns the
    /// new end of this log.
    pub(crate) fn adopt(&mut self, history: Vec<TermStart>, end: u64) -> u64 {
        let mut common = self.end().min(end);
        while common > 0 && term_at(&self.history, common) != term_at(&history, common) {
            common -= 1;
        }
        self.records.truncate(common as usize);
        self.history = history;
        common
    }
}

/// Returns the term in which the record at `lsn` was written.
fn term_at(history: &[TermStart], lsn: u64) -> u64 {
    let started = |start: &&TermStart| start.lsn.get() < lsn;
    history.iter().rev().find(started).map_or(0, |start| start.term.get())
}

#[cfg(test)]
mod tests {
    use chicoryhollow_core::prelude::*;

    use super::*;

    fn start(term: u64, lsn: u64) -> TermStart {
        TermStart { term: Term::new(term), lsn: Lsn::new(lsn), xid: lsn + 1 }
    }

    fn log(history: Vec<TermStart>, end: u64) -> Log {
        let records = (1..=end).map(|lsn| Record { lsn, xid: lsn, changes: Vec::new() }).collect();
        Log { records, history }
    }

    #[test]
    fn adopting_a_log_keeps_the_common_prefix() {
        let cases = [
            // own history, own end, other history, other end, common end
            (vec![start(1, 0)], 10, vec![start(1, 0), start(2, 7)], 9, 7),
            (vec![start(1, 0)], 5, vec![start(1, 0), start(2, 7)], 9, 5),
            (vec![start(1, 0), start(2, 7)], 9, vec![start(1, 0), start(3, 8)], 20, 7),
            (vec![start(1, 0)], 10, vec![start(1, 0)], 12, 10),
            (vec![], 0, vec![start(1, 0)], 12, 0),
        ];
        for (own, own_end, other, other_end, common) in cases {
            assert_eq!(log(own, own_end).adopt(other, other_end), common);
        }
    }
}
