//! One server: its state under a lock, and the signals that its tasks wait for.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicI32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, Semaphore, watch},
    time::{Instant, timeout_at},
};

use crate::backend::{BackendOptions, core::Core, error::SqlError};

/// A server, shared by its tasks and sessions.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) options: BackendOptions,
    pub(crate) slots: Semaphore,
    /// Counter that increases with every change of the state. Waiting tasks
    /// subscribe to it.
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) connections: AtomicUsize,
    rounds: AtomicU64,
    processes: AtomicI32,
    /// Secret and cancel signal of each session, by process id.
    cancels: Mutex<HashMap<i32, (i32, Arc<Notify>)>>,
    core: Mutex<Core>,
}

impl Node {
    /// Makes a server.
    pub(crate) fn new(options: BackendOptions) -> Result<Arc<Self>, SqlError> {
        let core = Mutex::new(Core::new(&options)?);
        Ok(Arc::new(Node {
            slots: Semaphore::new(options.slots),
            changed: watch::Sender::new(0),
            connections: AtomicUsize::new(0),
            rounds: AtomicU64::new(1),
            processes: AtomicI32::new(1),
            cancels: Mutex::default(),
            options,
            core,
        }))
    }

    /// Runs a closure on the state under its lock.
    pub(crate) fn with<T>(&self, visit: impl FnOnce(&mut Core) -> T) -> T {
        visit(&mut self.core.lock().expect("no holder of the lock panics"))
    }

    /// Runs a closure on the state under its lock and wakes the waiting tasks.
    pub(crate) fn update<T>(&self, visit: impl FnOnce(&mut Core) -> T) -> T {
        let result = self.with(visit);
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Returns the number of the newest round of heartbeats.
    pub(crate) fn round(&self) -> u64 {
        self.rounds.load(Ordering::SeqCst)
    }

    /// Starts a round of heartbeats and returns its number.
    pub(crate) fn begin_round(&self) -> u64 {
        let round = self.rounds.fetch_add(1, Ordering::SeqCst) + 1;
        self.changed.send_modify(|count| *count += 1);
        round
    }

    /// Waits until `ready` returns a value, at most for `timeout`.
    pub(crate) async fn wait_for<T>(
        &self,
        timeout: Duration,
        mut ready: impl FnMut(&mut Core) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(value) = self.with(&mut ready) {
                return Some(value);
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                return self.with(&mut ready);
            }
        }
    }

    /// Registers a session that can be cancelled; returns its process id.
    pub(crate) fn register(&self, secret: i32, cancel: Arc<Notify>) -> i32 {
        let process = self.processes.fetch_add(1, Ordering::Relaxed);
        let mut cancels = self.cancels.lock().expect("no holder of the lock panics");
        cancels.insert(process, (secret, cancel));
        process
    }

    /// Removes a session that has ended.
    pub(crate) fn unregister(&self, process: i32) {
        self.cancels.lock().expect("no holder of the lock panics").remove(&process);
    }

    /// Cancels the statement of a session if the secret matches.
    pub(crate) fn cancel(&self, process: i32, secret: i32) {
        let cancels = self.cancels.lock().expect("no holder of the lock panics");
        match cancels.get(&process) {
            Some((known, cancel)) if *known == secret => cancel.notify_waiters(),
            _ => {}
        }
    }
}
