//! The count of the operations that one VM sent to backend servers.

use crate::{
    id::{AccountId, VmId},
    time::Time,
    usage::{Book, BookAccount, Offset, Schedule, Sums, WindowId},
};

/// Maximum number of operations that wait until the VM knows the true time.
const MAX_WAITING: usize = 20_000;

/// Counts the operations of one VM by account and window.
#[derive(Clone, Debug)]
pub struct Counter {
    schedule: Schedule,
    /// Difference between true time and the VM's clock, once it is known.
    offset: Option<Offset>,
    book: Book,
    totals: Sums,
    /// Operations that ran before the true time was known.
    waiting: Vec<(AccountId, Time)>,
}

impl Counter {
    /// Creates a count of nothing of the VM `vm`, with a book of its own.
    pub fn new(schedule: Schedule, vm: &VmId) -> Self {
        let book = Book::of([vm]);
        Counter { schedule, offset: None, book, totals: Sums::default(), waiting: Vec::new() }
    }

    /// Records an operation that a server began to run at `at`.
    pub fn record(&mut self, account: &AccountId, at: Time) {
        match self.offset {
            Some(offset) => self.count(account, at, offset),
            None if self.waiting.len() < MAX_WAITING => self.waiting.push((account.clone(), at)),
            None => {}
        }
    }

    /// Sets the difference between true time and the VM's clock. Operations that were counted
    /// before stay in their windows.
    pub fn set_offset(&mut self, offset: Offset) {
        self.offset = Some(offset);
        for (account, at) in std::mem::take(&mut self.waiting) {
            self.count(&account, at, offset);
        }
    }

    /// Opens the book in which operations are counted from now on.
    pub fn open(&mut self, book: Book) {
        self.book = book;
    }

    /// Returns the counts.
    pub fn totals(&self) -> &Sums {
        &self.totals
    }

    /// Forgets the windows before `first`.
    pub fn expire(&mut self, first: WindowId) {
        self.totals.expire(first);
    }

    fn count(&mut self, account: &AccountId, at: Time, offset: Offset) {
        let window = self.schedule.window_at(offset.convert(at));
        let key = BookAccount { book: self.book, account: account.clone() };
        self.totals.add(window, &key, 1);
    }
}
