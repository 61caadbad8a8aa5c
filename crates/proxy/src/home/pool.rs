//! Pooled connections to one backend server.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use chicoryhollow_core::prelude::*;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use super::{Home, backend::Backend};
use crate::node::Node;

/// Idle connections and the right to open more.
pub(crate) struct Pool {
    idle: Mutex<Vec<Backend>>,
    permits: Arc<Semaphore>,
}

impl Pool {
    /// Makes a pool of at most `connections` connections.
    pub(crate) fn new(connections: u32) -> Self {
        let permits = Arc::new(Semaphore::new(connections as usize));
        Pool { idle: Mutex::default(), permits }
    }

    fn take(&self) -> Option<Backend> {
        self.idle.lock().expect("no thread panics with this lock").pop()
    }

    fn put(&self, backend: Backend) {
        self.idle.lock().expect("no thread panics with this lock").push(backend);
    }
}

/// A connection that serves one stream.
pub(crate) struct Lease {
    home: Arc<Home>,
    backend: Option<Backend>,
    _permit: OwnedSemaphorePermit,
}

impl Lease {
    /// Waits for a connection to the server of `home`.
    pub(crate) async fn new(
        node: &Arc<Node>,
        home: &Arc<Home>,
        deadline: Time,
    ) -> Result<Self, Refusal> {
        let left = deadline.since(node.clock.now());
        let permit = timeout(left, Arc::clone(&home.pool.permits).acquire_owned()).await;
        let permit = permit.map_err(|_| Refusal::DeadlinePassed)?;
        let permit = permit.map_err(|_| Refusal::ServerUnreachable)?;
        let backend = match home.pool.take() {
            Some(backend) => backend,
            None => connect(node, home, deadline).await?,
        };
        Ok(Lease { home: Arc::clone(home), backend: Some(backend), _permit: permit })
    }

    /// Returns the connection.
    pub(crate) fn backend(&mut self) -> Result<&mut Backend, Refusal> {
        self.backend.as_mut().ok_or(Refusal::ServerUnreachable)
    }

    /// Gives the connection back; it must be idle and clean.
    pub(crate) fn give_back(mut self) {
        if let Some(backend) = self.backend.take() {
            self.home.pool.put(backend);
        }
    }
}

async fn connect(node: &Arc<Node>, home: &Home, deadline: Time) -> Result<Backend, Refusal> {
    let left = deadline.since(node.clock.now()).min(Duration::from_secs(2));
    let role = &node.settings.backend;
    let connecting = Backend::connect(home.address, &role.user, role);
    match timeout(left, connecting).await {
        Ok(Ok(backend)) => Ok(backend),
        _ => Err(Refusal::ServerUnreachable),
    }
}
