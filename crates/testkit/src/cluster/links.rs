//! Links between the parts of a cluster. Each is a link of the fault proxy.

use std::{io, net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::fault::{Flow, Link, LinkState};

/// A part of the cluster at one end of a link.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Endpoint {
    /// All clients.
    Clients,
    /// The platform.
    Platform,
    /// All VMs of a data centre, as the dialling endpoint.
    Vms {
        /// Index of the data centre.
        data_centre: usize,
    },
    /// One VM, as the dialled endpoint.
    Vm {
        /// Index of the VM.
        index: usize,
        /// Index of its data centre.
        data_centre: usize,
    },
    /// A backend server.
    Server {
        /// Index of its group.
        group: usize,
        /// Index of its data centre.
        data_centre: usize,
    },
}

impl Endpoint {
    /// Returns the index of the data centre of this endpoint. Clients and the
    /// platform are in none.
    pub fn data_centre(self) -> Option<usize> {
        match self {
            Endpoint::Clients | Endpoint::Platform => None,
            Endpoint::Vms { data_centre }
            | Endpoint::Vm { data_centre, .. }
            | Endpoint::Server { data_centre, .. } => Some(data_centre),
        }
    }

    /// Returns whether this endpoint is one or several VMs.
    pub fn is_vm(self) -> bool {
        matches!(self, Endpoint::Vms { .. } | Endpoint::Vm { .. })
    }

    /// Returns whether this endpoint is a backend server.
    pub fn is_server(self) -> bool {
        matches!(self, Endpoint::Server { .. })
    }
}

/// All links of a cluster, by dialling and dialled endpoint.
#[derive(Debug, Default)]
pub struct Links {
    links: IndexMap<(Endpoint, Endpoint), Link>,
}

impl Links {
    /// Adds a link with a delay in each direction and returns the address to dial.
    pub(super) async fn add(
        &mut self,
        from: Endpoint,
        to: Endpoint,
        target: SocketAddr,
        delay: Duration,
    ) -> io::Result<SocketAddr> {
        let link = Link::new(target).await?;
        link.set(LinkState::with_delay(delay));
        let address = link.address();
        self.links.insert((from, to), link);
        Ok(address)
    }

    /// Returns the address that `from` dials to reach `to`, if there is a link.
    pub fn address(&self, from: Endpoint, to: Endpoint) -> Option<SocketAddr> {
        self.links.get(&(from, to)).map(Link::address)
    }

    /// Cuts both directions of the links that `choose` accepts.
    pub fn cut(&self, choose: impl Fn(Endpoint, Endpoint) -> bool) {
        self.set_flows(choose, Flow::Hold, Flow::Hold);
    }

    /// Sets the flows of the links that `choose` accepts.
    pub fn set_flows(
        &self,
        choose: impl Fn(Endpoint, Endpoint) -> bool,
        forward: Flow,
        backward: Flow,
    ) {
        for ((from, to), link) in &self.links {
            if choose(*from, *to) {
                link.set(LinkState { forward, backward, ..link.state() });
            }
        }
    }

    /// Cuts all links between a data centre and everything outside it, including
    /// clients and the platform.
    pub fn cut_data_centre(&self, data_centre: usize) {
        let inside = |end: Endpoint| end.data_centre() == Some(data_centre);
        self.cut(|from, to| inside(from) != inside(to));
    }

    /// Lets bytes pass again on all links in both directions.
    pub fn heal(&self) {
        self.set_flows(|_, _| true, Flow::Pass, Flow::Pass);
    }
}
