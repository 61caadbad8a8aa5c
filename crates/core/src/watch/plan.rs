//! What the configuration asks of a database group.

use indexmap::IndexMap;

use crate::id::{DataCentreId, ServerId};

/// What the configuration says of one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerPlan {
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether the server itself is leaving the group.
    pub leaving: bool,
    /// Whether the server and its data centre take new work.
    pub serving: bool,
}

/// The configured servers of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupPlan {
    /// The servers by name.
    pub servers: IndexMap<ServerId, ServerPlan>,
}

impl GroupPlan {
    /// Makes a plan of `servers`.
    pub fn new(servers: impl IntoIterator<Item = (ServerId, ServerPlan)>) -> Self {
        GroupPlan { servers: servers.into_iter().collect() }
    }

    /// Tells whether `server` may be primary for long: it is configured, in
    /// service and in a data centre that is in service.
    pub fn serves(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|plan| plan.serving && !plan.leaving)
    }

    /// Returns the data centre of `server`.
    pub fn data_centre(&self, server: &ServerId) -> Option<&DataCentreId> {
        self.servers.get(server).map(|plan| &plan.data_centre)
    }
}
