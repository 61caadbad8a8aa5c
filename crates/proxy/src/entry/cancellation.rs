//! Cancel requests of callers.
//!
//! A request is accepted only with the secret of the connection that it is to
//! cancel. It may arrive at any VM, since a caller sends it on a connection of
//! its own. The upper bits of the process ID of a connection therefore hold a hash
//! of its VM's name, by which any VM knows where to forward the request.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use chicoryhollow_core::VmId;
use chicoryhollow_peer::{Body, member::Cancel};
use pgwire::messages::{cancel::CancelRequest, startup::SecretKey};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::Node;

/// Number of low bits of a process ID that identify the connection on its VM.
const CONNECTION_BITS: u32 = 19;

/// Number of bits above them, which hold the hash of the VM's name. The sign bit
/// stays clear.
const VM_BITS: u32 = 31 - CONNECTION_BITS;

/// The connections of this VM whose statements may be cancelled.
#[derive(Default)]
pub(crate) struct CancelRegistry {
    next: AtomicU32,
    /// Connections by process ID.
    connections: Mutex<HashMap<i32, Registered>>,
}

/// A registered connection.
struct Registered {
    secret: SecretKey,
    notify: Arc<Notify>,
}

impl CancelRegistry {
    /// Registers a connection of this VM.
    pub(crate) fn register(&self, node: &Arc<Node>) -> CancelRegistration {
        let vm = vm_bits(&node.settings.vm) << CONNECTION_BITS;
        let secret = SecretKey::I32(rand::random());
        let notify = Arc::new(Notify::new());
        let mut connections = self.lock();
        let process = loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed) % (1 << CONNECTION_BITS);
            let process = i32::try_from(vm | number).expect("the sign bit is clear");
            if !connections.contains_key(&process) {
                break process;
            }
        };
        connections
            .insert(process, Registered { secret: secret.clone(), notify: Arc::clone(&notify) });
        CancelRegistration { node: Arc::clone(node), process, secret, notify }
    }

    /// Cancels the statement that runs on a connection of this VM, if the secret
    /// is right. Returns whether it was.
    fn cancel(&self, process: i32, secret: &SecretKey) -> bool {
        let connections = self.lock();
        let found =
            connections.get(&process).filter(|registered| registered.secret.eq_value(secret));
        found.inspect(|registered| registered.notify.notify_waiters()).is_some()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<i32, Registered>> {
        self.connections.lock().expect("no thread panics with this lock")
    }
}

/// The registration of one connection. Dropping it removes the connection.
pub(crate) struct CancelRegistration {
    node: Arc<Node>,
    /// Process ID that the caller received.
    pub(crate) process: i32,
    /// Secret that the caller received.
    pub(crate) secret: SecretKey,
    notify: Arc<Notify>,
}

impl CancelRegistration {
    /// Returns the notifier that fires on a cancel request.
    pub(crate) fn notifier(&self) -> Arc<Notify> {
        Arc::clone(&self.notify)
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.node.entry.cancels.lock().remove(&self.process);
    }
}

/// Cancels the statement of a caller of this VM, if the secret is right.
pub(crate) fn cancel(node: &Arc<Node>, cancel: &Cancel) {
    node.entry.cancels.cancel(cancel.process, &SecretKey::Bytes(cancel.secret.clone()));
}

/// Cancels a statement of this VM at the request of its caller, or forwards the
/// request to the VMs whose hash it holds.
pub(super) fn handle_request(node: &Arc<Node>, request: &CancelRequest) {
    let (process, secret) = (request.pid, request.secret_key.to_bytes());
    if node.entry.cancels.cancel(process, &request.secret_key) {
        return;
    }
    let wanted = u32::try_from(process).unwrap_or_default() >> CONNECTION_BITS;
    for listed in node.members.vms().iter() {
        if listed.vm != node.settings.vm && vm_bits(&listed.vm) == wanted {
            let body = Body::Cancel(Cancel { process, secret: secret.clone() });
            node.peers.send(node, &listed.vm, body);
        }
    }
}

/// Returns the hash of the VM's name for a process ID.
fn vm_bits(vm: &VmId) -> u32 {
    let hash = xxh3_64(vm.as_str().as_bytes()) % (1 << VM_BITS);
    u32::try_from(hash).expect("the remainder is small")
}
