//! The count of the statements that one VM sent to backend servers.

use crate::{
    id::AccountId,
    time::Time,
    usage::{Offset, Schedule, Totals, WindowId},
};

/// Maximum number of statements that wait until the VM knows the true time.
const MAX_WAITING: usize = 20_000;

/// Counts the statements of one VM by account and window.
#[derive(Clone, Debug)]
pub struct Counter {
    schedule: Schedule,
    /// Difference between true time and the VM's clock, once it is known.
    offset: Option<Offset>,
    totals: Totals<AccountId>,
    /// Statements that ran before the true time was known.
    waiting: Vec<(AccountId, Time)>,
}

impl Counter {
    /// Creates a count of nothing.
    pub fn new(schedule: Schedule) -> Self {
        Counter { schedule, offset: None, totals: Totals::default(), waiting: Vec::new() }
    }

    /// Records a statement that a server began to run at `at`.
    pub fn record(&mut self, account: &AccountId, at: Time) {
        match self.offset {
            Some(offset) => self.count(account, at, offset),
            None if self.waiting.len() < MAX_WAITING => self.waiting.push((account.clone(), at)),
            None => {}
        }
    }

    /// Sets the difference between true time and the VM's clock. Statements that were counted
    /// before stay in their windows.
    pub fn set_offset(&mut self, offset: Offset) {
        self.offset = Some(offset);
        for (account, at) in std::mem::take(&mut self.waiting) {
            self.count(&account, at, offset);
        }
    }

    /// Returns the counts.
    pub fn totals(&self) -> &Totals<AccountId> {
        &self.totals
    }

    /// Forgets the windows before `first`.
    pub fn expire(&mut self, first: WindowId) {
        self.totals.expire(first);
    }

    fn count(&mut self, account: &AccountId, at: Time, offset: Offset) {
        let window = self.schedule.window_at(offset.convert(at));
        self.totals.add(window, account, 1);
    }
}
