//! Views of the database groups.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
};

use chicoryhollow_core::prelude::*;
use tokio::sync::{Notify, watch};

/// The newest view of each group that this VM follows.
#[derive(Debug, Default)]
pub struct Groups {
    cells: Mutex<HashMap<GroupId, Cell>>,
    wanted: Notify,
}

/// The view of one group.
#[derive(Debug)]
struct Cell {
    view: watch::Sender<Arc<GroupView>>,
    /// Whether the view was asked for since [`Groups::take_used`].
    used: bool,
}

impl Cell {
    fn new(group: &GroupId) -> Self {
        Cell { view: watch::Sender::new(Arc::new(GroupView::new(group.clone()))), used: false }
    }
}

impl Groups {
    /// Makes a set without views.
    pub fn new() -> Self {
        Groups::default()
    }

    /// Returns a receiver of the views of `group`.
    pub fn follow(&self, group: &GroupId) -> watch::Receiver<Arc<GroupView>> {
        self.with_used(group, watch::Sender::subscribe)
    }

    /// Returns the newest view of `group`.
    pub fn view(&self, group: &GroupId) -> Arc<GroupView> {
        self.with_used(group, |view| Arc::clone(&view.borrow()))
    }

    /// Returns the newest view of `group`, if any is known, without counting as
    /// use.
    pub(crate) fn peek(&self, group: &GroupId) -> Option<Arc<GroupView>> {
        self.lock().get(group).map(|cell| Arc::clone(&cell.view.borrow()))
    }

    /// Takes over `view` unless a view of a later term is known; returns
    /// whether anything changed.
    pub fn publish(&self, view: GroupView) -> bool {
        let mut cells = self.lock();
        let cell = cells.entry(view.group.clone()).or_insert_with(|| Cell::new(&view.group));
        cell.view.send_if_modified(|known| {
            let older = view.term < known.term;
            let forgets = view.term == known.term && view.primary.is_none();
            if older || forgets && known.primary.is_some() || **known == view {
                return false;
            }
            *known = Arc::new(view);
            true
        })
    }

    /// Waits until a group is used for the first time.
    pub(crate) async fn wait_for_first_use(&self) {
        self.wanted.notified().await;
    }

    /// Returns the groups used since the last call.
    pub(crate) fn take_used(&self) -> HashSet<GroupId> {
        let mut cells = self.lock();
        let used = cells.iter_mut().filter_map(|(group, cell)| {
            let used = cell.used || cell.view.receiver_count() > 0;
            cell.used = false;
            used.then(|| group.clone())
        });
        used.collect()
    }

    fn with_used<T>(
        &self,
        group: &GroupId,
        read: impl FnOnce(&watch::Sender<Arc<GroupView>>) -> T,
    ) -> T {
        let mut cells = self.lock();
        if let Some(cell) = cells.get_mut(group) {
            cell.used = true;
            return read(&cell.view);
        }
        let cell = cells.entry(group.clone()).or_insert_with(|| Cell::new(group));
        cell.used = true;
        self.wanted.notify_one();
        read(&cell.view)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, Cell>> {
        self.cells.lock().expect("no thread panics with this lock")
    }
}
