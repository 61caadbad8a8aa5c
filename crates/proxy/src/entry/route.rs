//! Choice of the backend server for one batch.

use std::sync::Arc;

use chicoryhollow_config::configuration::{Route, Service};
use chicoryhollow_core::prelude::*;

use crate::{node::Node, stream::Access};

/// How long a replica may take to catch up with a read, in milliseconds.
const PATIENCE_MS: u32 = 20;

/// Where to run a batch.
pub(crate) struct Target {
    /// Server to run on.
    pub(crate) server: ServerId,
    /// What the stream may be used for.
    pub(crate) access: Access,
    /// Position that the server must have applied.
    pub(crate) needed: Option<Position>,
    /// How long the home may wait for it, in milliseconds.
    pub(crate) patience: u32,
}

/// Returns the servers to try for a read, best first.
pub(crate) fn read_targets(
    node: &Arc<Node>,
    route: &Route,
    token: Option<&SessionToken>,
) -> Vec<Target> {
    let view = node.groups.view(&route.group);
    let Some(token) = token else { return primary(&view, Access::Barrier) };
    let versioned = node.configuration();
    let Some(group) = versioned.configuration.groups.get(&route.group) else { return Vec::new() };
    let here = &node.settings.data_centre;
    let mut replicas: Vec<_> = group
        .servers
        .iter()
        .filter(|(server, found)| {
            Some(*server) != view.primary.as_ref() && found.service == Service::In
        })
        .collect();
    replicas.sort_by_key(|(_, found)| found.data_centre != *here);
    let needed = token.position(&route.group);
    let target = |server: &ServerId| Target {
        server: server.clone(),
        access: Access::Read,
        needed,
        patience: PATIENCE_MS,
    };
    let mut targets: Vec<_> =
        replicas.into_iter().take(1).map(|(server, _)| target(server)).collect();
    targets.extend(primary(&view, Access::Barrier));
    targets
}

/// Returns the primary, if one is known.
pub(crate) fn primary(view: &GroupView, access: Access) -> Vec<Target> {
    let target =
        |server: &ServerId| Target { server: server.clone(), access, needed: None, patience: 0 };
    view.primary.iter().map(target).collect()
}
