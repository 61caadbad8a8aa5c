//! Configuration of a database group, as far as watchers use it.

use indexmap::IndexMap;

use crate::id::{DataCentreId, ServerId};

/// The configured state of one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerPlan {
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether the server itself is to leave the group.
    pub leaving: bool,
    /// Whether the server and its data centre are in service.
    pub serving: bool,
}

/// The configured servers of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupPlan {
    /// The servers by name.
    pub servers: IndexMap<ServerId, ServerPlan>,
}

impl GroupPlan {
    /// Creates a plan with `servers`.
    pub fn new(servers: impl IntoIterator<Item = (ServerId, ServerPlan)>) -> Self {
        GroupPlan { servers: servers.into_iter().collect() }
    }

    /// Returns whether `server` may stay primary: it is configured, in service
    /// and in a data centre that is in service.
    pub fn is_in_service(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|plan| plan.serving && !plan.leaving)
    }

    /// Returns the data centre of `server`, or `None` if it is not configured.
    pub fn data_centre(&self, server: &ServerId) -> Option<&DataCentreId> {
        self.servers.get(server).map(|plan| &plan.data_centre)
    }
}
