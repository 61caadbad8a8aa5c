//! Counts the bytes that are held for callers.
//!
//! Each caller's connection has a [`Meter`]. The protocol of the callers asks it before it reads
//! a large message, and reports the answers that wait to be taken. The session reports its
//! variables and prepared statements. [`chicoryhollow_core::budget`] decides who waits and who
//! is rejected.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use chicoryhollow_core::{
    AccountId,
    budget::{Budget, Grant, HolderId, Holding, LimitReason, Limits},
};
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// Bytes that are held for all callers of a daemon.
#[derive(Clone)]
pub struct Meters(Rc<Shared>);

struct Shared {
    budget: RefCell<Budget>,
    rejections: RefCell<HashMap<HolderId, Rc<Rejection>>>,
    /// Wakes callers that wait for room.
    room: Notify,
    metrics: Metrics,
}

/// Whether a caller is to be rejected.
#[derive(Default)]
struct Rejection {
    is_due: Cell<bool>,
    wakeup: Notify,
}

impl Meters {
    /// Creates the meters of a daemon with these limits.
    pub fn new(limits: Limits, metrics: Metrics) -> Self {
        Meters(Rc::new(Shared {
            budget: RefCell::new(Budget::new(limits)),
            rejections: RefCell::default(),
            room: Notify::new(),
            metrics,
        }))
    }

    /// Creates the meter of a new connection.
    pub fn add(&self) -> Meter {
        let id = self.0.budget.borrow_mut().join();
        let rejection = Rc::<Rejection>::default();
        self.0.rejections.borrow_mut().insert(id, Rc::clone(&rejection));
        Meter(Rc::new(Inner { shared: Rc::clone(&self.0), id, rejection }))
    }
}

/// Counts the bytes that are held for one connection. Clones count for the same connection,
/// which ends when the last one is dropped.
#[derive(Clone)]
pub struct Meter(Rc<Inner>);

struct Inner {
    shared: Rc<Shared>,
    id: HolderId,
    rejection: Rc<Rejection>,
}

impl Meter {
    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.0.shared.budget.borrow().limits()
    }

    /// Counts the connection for an account.
    pub(crate) fn set_account(&self, account: AccountId) {
        self.0.shared.budget.borrow_mut().set_account(self.0.id, account);
        self.0.shared.room.notify_waiters();
    }

    /// Waits until a message of up to `bytes` may be read. Returns whether it had to wait.
    pub async fn request_message(&self, bytes: usize) -> bool {
        let shared = &self.0.shared;
        let mut has_waited = false;
        loop {
            // Created before the question, so that no wake-up is lost.
            let room = shared.room.notified();
            let grant = shared.budget.borrow_mut().request_message(self.0.id, bytes);
            if grant == Grant::Read {
                self.0.record();
                return has_waited;
            }
            if !std::mem::replace(&mut has_waited, true) {
                shared.metrics.message_waits.inc();
            }
            room.await;
        }
    }

    /// Records that the message was answered or given up.
    pub fn finish_message(&self) {
        self.0.shared.budget.borrow_mut().finish_message(self.0.id);
        self.0.make_room();
    }

    /// Records what is held. The caller that holds most is rejected if it is too much.
    pub fn hold(&self, holding: Holding, bytes: usize) {
        let shared = &self.0.shared;
        let largest = shared.budget.borrow_mut().hold(self.0.id, holding, bytes);
        let rejections = shared.rejections.borrow();
        if let Some(rejection) = largest.and_then(|id| rejections.get(&id)) {
            rejection.is_due.set(true);
            rejection.wakeup.notify_one();
        }
        drop(rejections);
        self.0.make_room();
    }

    /// Returns whether the caller is to be rejected.
    pub fn is_rejected(&self) -> bool {
        self.0.rejection.is_due.get()
    }

    /// Completes when the caller is to be rejected.
    pub async fn rejected(&self) {
        while !self.is_rejected() {
            self.0.rejection.wakeup.notified().await;
        }
    }

    /// Counts that the caller reached a limit and goes on.
    pub(crate) fn record_limit(&self, reason: LimitReason) {
        self.0.shared.metrics.limits.with_label_values(&[reason.label()]).inc();
    }
}

impl Inner {
    fn record(&self) {
        let total = self.shared.budget.borrow().total();
        self.shared.metrics.held_bytes.set(i64::try_from(total).unwrap_or(i64::MAX));
    }

    fn make_room(&self) {
        self.record();
        self.shared.room.notify_waiters();
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.shared.rejections.borrow_mut().remove(&self.id);
        self.shared.budget.borrow_mut().leave(self.id);
        self.make_room();
    }
}
