//! Views of the database groups.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use chicoryhollow_core::prelude::*;
use tokio::sync::watch;

/// The newest view of each group that this VM follows.
#[derive(Debug, Default)]
pub struct Groups {
    cells: Mutex<HashMap<GroupId, watch::Sender<Arc<GroupView>>>>,
}

impl Groups {
    /// Makes a set without views.
    pub fn new() -> Self {
        Groups::default()
    }

    /// Returns a receiver of the views of `group`.
    pub fn follow(&self, group: &GroupId) -> watch::Receiver<Arc<GroupView>> {
        self.cell(group).subscribe()
    }

    /// Returns the newest view of `group`.
    pub fn view(&self, group: &GroupId) -> Arc<GroupView> {
        Arc::clone(&self.cell(group).borrow())
    }

    /// Takes over `view` unless a view of a later term is known; returns
    /// whether anything changed.
    pub fn publish(&self, view: GroupView) -> bool {
        self.cell(&view.group).send_if_modified(|known| {
            let older = view.term < known.term;
            let forgets = view.term == known.term && view.primary.is_none();
            if older || forgets && known.primary.is_some() || **known == view {
                return false;
            }
            *known = Arc::new(view.clone());
            true
        })
    }

    fn cell(&self, group: &GroupId) -> watch::Sender<Arc<GroupView>> {
        let mut cells = self.cells.lock().expect("no thread panics with this lock");
        let make = || watch::Sender::new(Arc::new(GroupView::new(group.clone())));
        cells.entry(group.clone()).or_insert_with(make).clone()
    }
}
