//! Backend servers that this VM is in charge of.
//!
//! One VM at a time holds the pooled connections to a server. Two VMs that both
//! believe to be in charge are safe: each keeps to its own connections, and the
//! server's connection limit bounds their sum.

mod backend;
mod confirm;
pub mod control;
mod local;
mod pool;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use chicoryhollow_config::configuration::{Server, Versioned};
use chicoryhollow_core::prelude::*;

pub use self::local::LocalStream;
use self::{confirm::Confirmed, pool::Pool};
use crate::node::Node;

/// The servers that this VM has been in charge of.
#[derive(Default)]
pub struct Homes {
    homes: Mutex<HashMap<ServerId, Arc<Home>>>,
}

impl Homes {
    /// Makes an empty set.
    pub fn new() -> Self {
        Homes::default()
    }

    /// Returns the home of `server`, made on first use, or `None` when the
    /// configuration does not name the server.
    pub(crate) fn get(&self, node: &Arc<Node>, server: &ServerId) -> Option<Arc<Home>> {
        let mut homes = self.homes.lock().expect("no thread panics with this lock");
        if let Some(home) = homes.get(server) {
            return Some(Arc::clone(home));
        }
        let (group, found) = find_server(&node.configuration(), server)?;
        let home = Arc::new(Home::new(node, group, server.clone(), &found));
        homes.insert(server.clone(), Arc::clone(&home));
        Some(home)
    }
}

/// Returns the group and description of a configured server.
pub fn find_server(versioned: &Versioned, server: &ServerId) -> Option<(GroupId, Server)> {
    let groups = &versioned.configuration.groups;
    groups
        .iter()
        .find_map(|(group, found)| Some((group.clone(), found.servers.get(server)?.clone())))
}

/// One backend server that this VM is in charge of.
pub(crate) struct Home {
    group: GroupId,
    server: ServerId,
    address: SocketAddr,
    pool: Pool,
    confirmed: Arc<Confirmed>,
}

impl Home {
    fn new(node: &Arc<Node>, group: GroupId, server: ServerId, found: &Server) -> Self {
        let address = node.settings.dial(found.address);
        Home {
            group,
            server,
            address,
            pool: Pool::new(found.connections),
            confirmed: Arc::new(Confirmed::new(address)),
        }
    }

    /// Tells whether the server is the primary of the newest known term.
    fn is_primary(&self, node: &Node) -> bool {
        node.groups.view(&self.group).primary.as_ref() == Some(&self.server)
    }
}
