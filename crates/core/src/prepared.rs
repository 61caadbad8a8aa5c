//! Prepared statements of one connection to a backend server.

use std::collections::{BTreeMap, HashMap};

/// Names of the statements that are prepared on one connection, limited by
/// eviction of the least recently used ones.
#[derive(Clone, Debug)]
pub struct PreparedStatements {
    limit: usize,
    uses: HashMap<String, u64>,
    order: BTreeMap<u64, String>,
    next: u64,
}

impl PreparedStatements {
    /// Creates an empty set that is limited to `limit` statements.
    pub fn new(limit: usize) -> Self {
        PreparedStatements { limit, uses: HashMap::new(), order: BTreeMap::new(), next: 0 }
    }

    /// Records a use of the statement `name`.
    ///
    /// Returns whether the statement must be prepared first.
    pub fn record_use(&mut self, name: &str) -> bool {
        let number = self.next;
        self.next += 1;
        let Some(last) = self.uses.get_mut(name) else {
            self.uses.insert(name.to_owned(), number);
            self.order.insert(number, name.to_owned());
            return true;
        };
        let used = std::mem::replace(last, number);
        if let Some(name) = self.order.remove(&used) {
            self.order.insert(number, name);
        }
        false
    }

    /// Removes the statement `name`, which could not be prepared.
    pub fn forget(&mut self, name: &str) {
        if let Some(used) = self.uses.remove(name) {
            self.order.remove(&used);
        }
    }

    /// Removes the least recently used statements beyond the limit and returns
    /// their names. The caller must close them on the connection.
    pub fn evict(&mut self) -> Vec<String> {
        let surplus = self.uses.len().saturating_sub(self.limit);
        let evicted: Vec<String> =
            (0..surplus).filter_map(|_| Some(self.order.pop_first()?.1)).collect();
        for name in &evicted {
            self.uses.remove(name);
        }
        evicted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_least_recently_used_statement_is_evicted() {
        let mut prepared = PreparedStatements::new(2);
        assert!(prepared.record_use("a") && prepared.record_use("b"));
        assert!(!prepared.record_use("a"));
        assert!(prepared.record_use("c"));
        assert_eq!(prepared.evict(), ["b"]);
        assert!(!prepared.record_use("a"));
        prepared.forget("a");
        assert!(prepared.record_use("a"));
    }
}
