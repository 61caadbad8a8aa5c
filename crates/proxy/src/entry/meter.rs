//! Counts the bytes that are held for callers.
//!
//! [`chicoryhollow_core::budget`] decides which messages wait and which caller is rejected.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use chicoryhollow_core::{
    AccountId,
    budget::{Budget, Grant, HolderId, Holding, Limits},
};
use tokio::{sync::Notify, time::timeout};

/// Bytes that are held for all callers of a daemon.
pub(crate) struct Meters {
    state: Mutex<State>,
    /// Wakes callers that wait for room.
    room: Notify,
}

struct State {
    budget: Budget,
    rejections: HashMap<HolderId, Arc<Rejection>>,
}

/// Whether a caller is to be rejected.
#[derive(Default)]
struct Rejection {
    is_due: AtomicBool,
    wakeup: Notify,
}

impl Meters {
    /// Creates the meters of a daemon with these limits.
    pub(crate) fn new(limits: Limits) -> Arc<Self> {
        let state = State { budget: Budget::new(limits), rejections: HashMap::new() };
        Arc::new(Meters { state: Mutex::new(state), room: Notify::new() })
    }

    /// Creates the meter of a connection of an account.
    pub(crate) fn add(self: &Arc<Self>, account: AccountId) -> Meter {
        let rejection = Arc::<Rejection>::default();
        let mut state = self.lock();
        let id = state.budget.join();
        state.budget.set_account(id, account);
        state.rejections.insert(id, Arc::clone(&rejection));
        Meter { meters: Arc::clone(self), id, rejection }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }
}

/// Counts the bytes that are held for one connection, until dropped.
pub(crate) struct Meter {
    meters: Arc<Meters>,
    id: HolderId,
    rejection: Arc<Rejection>,
}

impl Meter {
    /// Returns the limit of the statements of one session, in bytes.
    pub(crate) fn session_limit(&self) -> usize {
        self.meters.lock().budget.limits().session
    }

    /// Waits up to `limit` until a batch of `bytes` may be read. Returns whether it may.
    pub(crate) async fn request_message(&self, bytes: usize, limit: Duration) -> bool {
        let granted = async {
            loop {
                // Created before the question, so that no wake-up is lost.
                let room = self.meters.room.notified();
                if self.meters.lock().budget.request_message(self.id, bytes) == Grant::Read {
                    return;
                }
                room.await;
            }
        };
        timeout(limit, granted).await.is_ok()
    }

    /// Records that the batch was answered.
    pub(crate) fn finish_message(&self) {
        self.meters.lock().budget.finish_message(self.id);
        self.meters.room.notify_waiters();
    }

    /// Records what is held. The caller that holds most is rejected if it is too much.
    pub(crate) fn hold(&self, holding: Holding, bytes: usize) {
        let mut state = self.meters.lock();
        let largest = state.budget.hold(self.id, holding, bytes);
        if let Some(rejection) = largest.and_then(|id| state.rejections.get(&id)) {
            rejection.is_due.store(true, Ordering::Release);
            rejection.wakeup.notify_one();
        }
        drop(state);
        self.meters.room.notify_waiters();
    }

    /// Completes when the caller is to be rejected.
    pub(crate) async fn rejected(&self) {
        while !self.rejection.is_due.load(Ordering::Acquire) {
            self.rejection.wakeup.notified().await;
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        let mut state = self.meters.lock();
        state.rejections.remove(&self.id);
        state.budget.leave(self.id);
        drop(state);
        self.meters.room.notify_waiters();
    }
}
