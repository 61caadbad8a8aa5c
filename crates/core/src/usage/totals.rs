//! Counts by window that only grow.

use std::{collections::BTreeMap, hash::Hash};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{AccountId, VmId},
    usage::WindowId,
};

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    count: u64,
    /// Number of the last change.
    change: u64,
}

/// A total that changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change<K> {
    /// Window of the count.
    pub window: WindowId,
    /// What was counted.
    pub key: K,
    /// Operations that ran, as far as is known.
    pub count: u64,
}

/// Some of the changes of [`Totals`], the earliest first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes<K> {
    /// The changed totals.
    pub totals: Vec<Change<K>>,
    /// Number of the last change up to which all are included.
    pub last: u64,
    /// Whether there are later changes.
    pub has_more: bool,
}

/// Counts by window, with the order in which they changed.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::usage::{Totals, WindowId};
///
/// let mut totals = Totals::default();
/// totals.add(WindowId::new(7), &"plant", 3);
/// assert_eq!(totals.raise(WindowId::new(7), &"plant", 2), 0, "a repeat changes nothing");
/// assert_eq!(totals.raise(WindowId::new(7), &"plant", 5), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Totals<K> {
    windows: BTreeMap<WindowId, IndexMap<K, Total>>,
    last_change: u64,
}

impl<K> Default for Totals<K> {
    fn default() -> Self {
        Totals { windows: BTreeMap::new(), last_change: 0 }
    }
}

impl<K: Clone + Eq + Hash> Totals<K> {
    /// Adds `count` to a total.
    pub fn add(&mut self, window: WindowId, key: &K, count: u64) {
        let total = self.count(window, key).saturating_add(count);
        self.raise(window, key, total);
    }

    /// Raises a total to `count`, and returns by how much.
    pub fn raise(&mut self, window: WindowId, key: &K, count: u64) -> u64 {
        let known = self.count(window, key);
        if count > known {
            self.last_change += 1;
            let total = Total { count, change: self.last_change };
            self.windows.entry(window).or_default().insert(key.clone(), total);
        }
        count.saturating_sub(known)
    }

    /// Returns a total.
    pub fn count(&self, window: WindowId, key: &K) -> u64 {
        let total = self.windows.get(&window).and_then(|totals| totals.get(key));
        total.map_or(0, |total| total.count)
    }

    /// Returns the totals of a window.
    pub fn window(&self, window: WindowId) -> impl Iterator<Item = (&K, u64)> {
        let totals = self.windows.get(&window).into_iter().flatten();
        totals.map(|(key, total)| (key, total.count))
    }

    /// Returns the earliest window with a total.
    pub fn first_window(&self) -> Option<WindowId> {
        self.windows.keys().next().copied()
    }

    /// Returns whether there is a change after the one with the number `after`.
    pub fn has_changed(&self, after: u64) -> bool {
        self.last_change > after
    }

    /// Returns at most `limit` totals that changed after the change with the number `after`.
    pub fn changes(&self, after: u64, limit: usize) -> Changes<K> {
        let all = self.windows.iter().flat_map(|(window, totals)| {
            totals.iter().map(move |(key, total)| (*window, key, *total))
        });
        let mut changed: Vec<_> = all.filter(|(_, _, total)| total.change > after).collect();
        changed.sort_by_key(|(_, _, total)| total.change);
        let has_more = changed.len() > limit;
        changed.truncate(limit);
        let shown = changed.last().map_or(after, |(_, _, total)| total.change);
        let last = if has_more { shown } else { self.last_change };
        let change = |(window, key, total): (WindowId, &K, Total)| Change {
            window,
            key: key.clone(),
            count: total.count,
        };
        Changes { totals: changed.into_iter().map(change).collect(), last, has_more }
    }

    /// Forgets the windows before `first`.
    pub fn expire(&mut self, first: WindowId) {
        if self.first_window().is_some_and(|window| window < first) {
            self.windows = self.windows.split_off(&first);
        }
    }
}

/// Number of the book in which operations were counted.
///
/// A VM opens another book when its collectors change. The new collectors do not know what
/// VMs that have ended had counted, so their sums in the old book are too low, and the
/// greater ones of the old collectors remain. Sums in the new book do not hide behind those.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Book(u64);

impl Book {
    /// Returns the book for these collectors.
    pub fn of<'a>(collectors: impl IntoIterator<Item = &'a VmId>) -> Self {
        // No name contains the separator.
        let names: Vec<&str> = collectors.into_iter().map(|vm| vm.as_str()).collect();
        Book(xxh3_64(names.join("+").as_bytes()))
    }

    /// Creates a book from its number.
    pub const fn new(number: u64) -> Self {
        Book(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// An account in one book.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BookAccount {
    /// Book in which the operations were counted.
    pub book: Book,
    /// Account whose operations were counted.
    pub account: AccountId,
}

/// Sums over VMs in each book. Each is a lower bound, so of two the greater is kept.
pub type Sums = Totals<BookAccount>;

impl Sums {
    /// Returns the counts of a window over all books, in the order of the accounts.
    pub fn accounts(&self, window: WindowId) -> IndexMap<AccountId, u64> {
        let mut counts: BTreeMap<&AccountId, u64> = BTreeMap::new();
        for (key, count) in self.window(window) {
            *counts.entry(&key.account).or_default() += count;
        }
        counts.into_iter().map(|(account, count)| (account.clone(), count)).collect()
    }
}
