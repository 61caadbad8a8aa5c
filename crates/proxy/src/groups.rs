//! Views of the database groups.
//!
//! A view names the current primary of a group and its term. The modules that use
//! a group read or follow its view here; [`watch`](crate::watch) updates the views
//! of the groups in use.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
};

use chicoryhollow_core::prelude::*;
use tokio::sync::{Notify, watch};

/// The newest view of each group that this VM follows.
#[derive(Debug, Default)]
pub struct Groups {
    groups: Mutex<HashMap<GroupId, FollowedGroup>>,
    first_use: Notify,
}

/// The view of one group and whether it is in use.
#[derive(Debug)]
struct FollowedGroup {
    view: watch::Sender<Arc<GroupView>>,
    /// Whether the view was read since the last [`Groups::take_used`].
    is_used: bool,
}

impl FollowedGroup {
    fn new(group: &GroupId) -> Self {
        FollowedGroup {
            view: watch::Sender::new(Arc::new(GroupView::new(group.clone()))),
            is_used: false,
        }
    }
}

impl Groups {
    /// Creates a set without views.
    pub fn new() -> Self {
        Groups::default()
    }

    /// Returns a receiver of the current and later views of `group`.
    pub fn follow(&self, group: &GroupId) -> watch::Receiver<Arc<GroupView>> {
        self.with_used(group, watch::Sender::subscribe)
    }

    /// Returns the newest view of `group`.
    pub fn view(&self, group: &GroupId) -> Arc<GroupView> {
        self.with_used(group, |view| Arc::clone(&view.borrow()))
    }

    /// Returns the newest view of `group`, if one is known. This does not count as
    /// a use of the group.
    pub(crate) fn peek(&self, group: &GroupId) -> Option<Arc<GroupView>> {
        self.lock().get(group).map(|followed| Arc::clone(&followed.view.borrow()))
    }

    /// Replaces the known view of the group by `view`. Ignores a view of an earlier
    /// term, and a view of the same term without a primary if the known one names a
    /// primary. Returns whether the view changed.
    pub fn publish(&self, view: GroupView) -> bool {
        let mut groups = self.lock();
        let followed =
            groups.entry(view.group.clone()).or_insert_with(|| FollowedGroup::new(&view.group));
        followed.view.send_if_modified(|known| {
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
        self.first_use.notified().await;
    }

    /// Returns the groups that were used since the last call or are followed.
    pub(crate) fn take_used(&self) -> HashSet<GroupId> {
        let mut groups = self.lock();
        let used = groups.iter_mut().filter_map(|(group, followed)| {
            let used = followed.is_used || followed.view.receiver_count() > 0;
            followed.is_used = false;
            used.then(|| group.clone())
        });
        used.collect()
    }

    fn with_used<T>(
        &self,
        group: &GroupId,
        read: impl FnOnce(&watch::Sender<Arc<GroupView>>) -> T,
    ) -> T {
        let mut groups = self.lock();
        if let Some(followed) = groups.get_mut(group) {
            followed.is_used = true;
            return read(&followed.view);
        }
        let followed = groups.entry(group.clone()).or_insert_with(|| FollowedGroup::new(group));
        followed.is_used = true;
        self.first_use.notify_one();
        read(&followed.view)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, FollowedGroup>> {
        self.groups.lock().expect("no thread panics with this lock")
    }
}
