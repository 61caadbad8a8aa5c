//! Cancel requests of callers, honoured for the owner of the connection only.
//!
//! The process number that a caller is given holds a hash of the VM's name in
//! its upper bits, so that any VM can tell which VM to pass a request to.

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

/// Low bits of a process number, which tell the connections of one VM apart.
const CONNECTION_BITS: u32 = 19;

/// Bits above them, which name the VM; the sign bit stays clear.
const VM_BITS: u32 = 31 - CONNECTION_BITS;

/// The connections of this VM that may be cancelled.
#[derive(Default)]
pub(crate) struct Cancels {
    next: AtomicU32,
    held: Mutex<HashMap<i32, Held>>,
}

struct Held {
    secret: SecretKey,
    notify: Arc<Notify>,
}

impl Cancels {
    /// Registers a connection of this VM.
    pub(crate) fn register(&self, node: &Arc<Node>) -> Ticket {
        let vm = vm_bits(&node.settings.vm) << CONNECTION_BITS;
        let secret = SecretKey::I32(rand::random());
        let notify = Arc::new(Notify::new());
        let mut held = self.lock();
        let process = loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed) % (1 << CONNECTION_BITS);
            let process = i32::try_from(vm | number).expect("the sign bit is clear");
            if !held.contains_key(&process) {
                break process;
            }
        };
        held.insert(process, Held { secret: secret.clone(), notify: Arc::clone(&notify) });
        Ticket { node: Arc::clone(node), process, secret, notify }
    }

    /// Cancels what runs on a connection of this VM, if the secret is right.
    fn cancel(&self, process: i32, secret: &SecretKey) -> bool {
        let held = self.lock();
        let found = held.get(&process).filter(|held| held.secret.eq_value(secret));
        found.inspect(|held| held.notify.notify_waiters()).is_some()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<i32, Held>> {
        self.held.lock().expect("no thread panics with this lock")
    }
}

/// The registration of one connection, until it is dropped.
pub(crate) struct Ticket {
    node: Arc<Node>,
    /// Number that the caller is given.
    pub(crate) process: i32,
    /// Secret that the caller is given.
    pub(crate) secret: SecretKey,
    notify: Arc<Notify>,
}

impl Ticket {
    /// Returns what tells of a cancel request.
    pub(crate) fn notify(&self) -> Arc<Notify> {
        Arc::clone(&self.notify)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.node.entry.cancels.lock().remove(&self.process);
    }
}

/// Cancels the statement of a caller of this VM, if the secret is right.
pub(crate) fn cancel(node: &Arc<Node>, cancel: &Cancel) {
    node.entry.cancels.cancel(cancel.process, &SecretKey::Bytes(cancel.secret.clone()));
}

/// Honours a caller's request here, or passes it to the VM that it names.
pub(super) fn request(node: &Arc<Node>, request: &CancelRequest) {
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

fn vm_bits(vm: &VmId) -> u32 {
    let hash = xxh3_64(vm.as_str().as_bytes()) % (1 << VM_BITS);
    u32::try_from(hash).expect("the remainder is small")
}
