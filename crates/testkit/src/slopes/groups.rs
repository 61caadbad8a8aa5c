//! Database groups added to a running deployment, inside this process.

use std::net::SocketAddr;

use chicoryhollow_config::{Configuration, Group, Server, configuration::Service};
use indexmap::IndexMap;
use tokio::net::TcpListener;

use crate::{
    backend::{Backend, BackendOptions},
    cluster::{ClusterError, DATA_CENTRES, Deployment},
};

/// Slots and connections of an added server.
const SERVER_SIZE: u32 = 8;

/// Stand-in servers of added groups; they end when this is dropped.
#[derive(Default)]
pub(super) struct AddedGroups {
    servers: Vec<Backend>,
    groups: usize,
}

impl AddedGroups {
    /// Starts groups until there are `count` and adds them to a configuration.
    pub(super) async fn grow(
        &mut self,
        count: usize,
        configuration: &mut Configuration,
    ) -> Result<(), ClusterError> {
        while self.groups < count {
            self.groups += 1;
            let name = format!("added-{}", self.groups);
            let addresses = self.start(&name).await?;
            let servers = addresses.iter().enumerate().map(|(index, address)| {
                let server = Server {
                    address: *address,
                    data_centre: valid(&Deployment::data_centre(index)),
                    slots: SERVER_SIZE,
                    connections: SERVER_SIZE,
                    service: Service::In,
                };
                (valid(&format!("{name}-{index}")), server)
            });
            configuration.groups.insert(valid(&name), Group { servers: servers.collect() });
        }
        Ok(())
    }

    async fn start(&mut self, name: &str) -> Result<Vec<SocketAddr>, ClusterError> {
        let mut listeners = Vec::new();
        for _ in 0..DATA_CENTRES {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let member = |(index, address): (usize, &SocketAddr)| (format!("{name}-{index}"), *address);
        let members: IndexMap<_, _> = addresses.iter().enumerate().map(member).collect();
        for (index, listener) in listeners.into_iter().enumerate() {
            let mut options = BackendOptions::new(format!("{name}-{index}"), members.clone());
            options.initial_primary = index == 0;
            let started = Backend::new(options, listener);
            self.servers.push(started.map_err(|e| ClusterError::Request(e.to_string()))?);
        }
        Ok(addresses)
    }
}

/// Parses a name that this module has made.
pub(super) fn valid<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the testkit makes valid names")
}
