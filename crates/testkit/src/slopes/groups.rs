//! Database groups that are added to a running deployment.
//!
//! Their backend servers run inside this process.

use std::net::SocketAddr;

use chicoryhollow_config::{Configuration, Group, Server, configuration::Service};
use indexmap::IndexMap;
use tokio::net::TcpListener;

use crate::{
    backend::{Backend, BackendOptions},
    cluster::{ClusterError, DATA_CENTRES, Deployment},
};

/// Number of slots and of connections of an added server.
const SERVER_CAPACITY: u32 = 8;

/// Stand-in backend servers of the added groups; dropping this stops them.
#[derive(Default)]
pub(super) struct AddedGroups {
    servers: Vec<Backend>,
    groups: usize,
}

impl AddedGroups {
    /// Starts groups until there are `count` added ones, and adds the new ones
    /// to a configuration.
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
                    data_centre: parse_name(&Deployment::data_centre(index)),
                    slots: SERVER_CAPACITY,
                    connections: SERVER_CAPACITY,
                    service: Service::In,
                };
                (parse_name(&format!("{name}-{index}")), server)
            });
            configuration.groups.insert(parse_name(&name), Group { servers: servers.collect() });
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

/// Parses a name that the experiments generated.
pub(super) fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("generated names are valid")
}
