//! Start of a cluster: ports, links, processes and tables.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use chicoryhollow_config::settings::Listen;
use indexmap::IndexMap;

use crate::cluster::{
    Cluster, ClusterError, DATA_CENTRES, Daemon, Deployment, Endpoint, Links, POLL_INTERVAL,
    START_STOP_TIMEOUT, Server,
    binaries::Binaries,
    child::{Guard, Process},
    files, http,
};

/// Statements that create the tables of each database group.
const SCHEMA: &str = "\
CREATE TABLE writes (id INT8, session INT8, seq INT8, account TEXT); \
CREATE INDEX writes_by_id ON writes (id); \
CREATE INDEX writes_by_session ON writes (session, seq)";

/// Range of the ports on which the processes of a cluster listen.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// Largest number of ports that are tried.
const MAX_PORT_ATTEMPTS: usize = 10_000;
/// Number of ports on which one VM listens.
const VM_PORTS: usize = 3;

impl Cluster {
    /// Starts a deployment with all its delays and waits until it is ready. If it is
    /// not ready in time, its files and logs are kept.
    ///
    /// # Errors
    ///
    /// Returns an error if a binary is missing or a part does not start.
    pub async fn new(deployment: Deployment) -> Result<Self, ClusterError> {
        let binaries = Binaries::find()?;
        let directory = create_directory()?;
        let groups = deployment.groups.len();
        let ports = free_addresses(1 + groups * DATA_CENTRES + deployment.vms * VM_PORTS)?;
        let (servers, vms) = ports[1..].split_at(groups * DATA_CENTRES);
        let addresses = std::array::from_fn(|group| {
            std::array::from_fn(|index| servers[group * DATA_CENTRES + index])
        });
        let mut cluster = Cluster {
            configuration: files::configuration(&deployment, &addresses),
            links: Links::default(),
            daemons: Vec::new(),
            servers: make_servers(&deployment, &addresses),
            platform: ports[0],
            platform_process: None,
            guard: Guard::new(&directory)?,
            deployment,
            directory,
            binaries,
            keeps_files: false,
        };
        let started = cluster.start(vms).await;
        cluster.keeps_files = matches!(started, Err(ClusterError::Timeout(..)));
        started.map(|()| cluster)
    }

    async fn start(&mut self, vms: &[SocketAddr]) -> Result<(), ClusterError> {
        self.start_platform().await?;
        self.start_servers().await?;
        self.make_daemons(vms).await?;
        self.create_schema().await?;
        for vm in 0..self.daemons.len() {
            self.start_daemon(vm).await?;
        }
        self.apply(|_| {}).await?;
        for vm in 0..self.daemons.len() {
            self.wait_ready(vm).await?;
        }
        Ok(())
    }

    async fn start_platform(&mut self) -> Result<(), ClusterError> {
        let log = self.log_directory().join("platform.log");
        self.platform_process = Some(Process::platform(&mut self.guard, self.platform, &log)?);
        let url = format!("{}/vms", self.platform_url());
        let deadline = Instant::now() + START_STOP_TIMEOUT;
        while http::get(&url).await.is_err() {
            self.check_deadline(deadline, "the platform")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn check_deadline(&self, deadline: Instant, part: &str) -> Result<(), ClusterError> {
        match Instant::now() > deadline {
            true => Err(ClusterError::Timeout(part.to_owned(), self.log_directory())),
            false => Ok(()),
        }
    }

    fn link_delay(&self, from: usize, to: usize) -> Duration {
        match from == to {
            true => Duration::ZERO,
            false => self.deployment.data_centre_trip / 2,
        }
    }

    async fn start_servers(&mut self) -> Result<(), ClusterError> {
        for index in 0..self.servers.len() {
            let args = self.server_arguments(index).await?;
            let log = self.log_directory().join(format!("{}.log", self.servers[index].name));
            let process = Process::backend(&mut self.guard, &args, &log)?;
            self.servers[index].process = Some(process);
        }
        for index in 0..self.servers.len() {
            let deadline = Instant::now() + START_STOP_TIMEOUT;
            while self.connect_server(index).await.is_err() {
                self.check_deadline(deadline, &self.servers[index].name)?;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn server_arguments(&mut self, index: usize) -> Result<Vec<String>, ClusterError> {
        let (group, own) = (self.servers[index].group, self.servers[index].data_centre);
        let sizes = &self.deployment;
        let mut args = vec![
            "--server".to_owned(),
            self.servers[index].name.clone(),
            "--address".to_owned(),
            self.servers[index].address.to_string(),
        ];
        let numbers = [
            ("--slots", sizes.slots as u128),
            ("--connections", sizes.connections as u128),
            ("--connect-delay-ms", sizes.connect_delay.as_millis()),
            ("--statement-us", sizes.statement_time.as_micros()),
            ("--apply-lag-ms", sizes.apply_lag.as_millis()),
        ];
        for (name, number) in numbers {
            args.extend([name.to_owned(), number.to_string()]);
        }
        if own == group % DATA_CENTRES {
            args.push("--initial-primary".to_owned());
        }
        let members = self.servers.iter().filter(|server| server.group == group);
        let members: Vec<_> = members.map(|s| (s.name.clone(), s.data_centre, s.address)).collect();
        for (name, data_centre, mut address) in members {
            if data_centre != own && self.deployment.linked {
                let from = Endpoint::Server { group, data_centre: own };
                let to = Endpoint::Server { group, data_centre };
                let delay = self.link_delay(own, data_centre);
                address = self.links.add(from, to, address, delay).await?;
            }
            args.push(format!("{name}={address}"));
        }
        Ok(args)
    }

    async fn make_daemons(&mut self, ports: &[SocketAddr]) -> Result<(), ClusterError> {
        let listens: Vec<Listen> = ports.chunks_exact(VM_PORTS).map(listen).collect();
        if self.deployment.linked {
            self.link_daemons(&listens).await?;
        }
        for index in 0..listens.len() {
            let daemon = self.make_daemon(index, &listens)?;
            self.daemons.push(daemon);
        }
        Ok(())
    }

    async fn link_daemons(&mut self, listens: &[Listen]) -> Result<(), ClusterError> {
        for data_centre in 0..DATA_CENTRES {
            let from = Endpoint::Vms { data_centre };
            self.links.add(from, Endpoint::Platform, self.platform, Duration::ZERO).await?;
            for (index, listen) in listens.iter().enumerate() {
                let to = Endpoint::Vm { index, data_centre: index % DATA_CENTRES };
                let delay = self.link_delay(data_centre, index % DATA_CENTRES);
                self.links.add(from, to, listen.peers, delay).await?;
            }
            for index in 0..self.servers.len() {
                let server = &self.servers[index];
                let to = Endpoint::Server { group: server.group, data_centre: server.data_centre };
                let delay = self.link_delay(data_centre, server.data_centre);
                self.links.add(from, to, server.address, delay).await?;
            }
        }
        for (index, listen) in listens.iter().enumerate() {
            let to = Endpoint::Vm { index, data_centre: index % DATA_CENTRES };
            let delay = self.deployment.client_trip / 2;
            self.links.add(Endpoint::Clients, to, listen.callers, delay).await?;
        }
        Ok(())
    }

    fn make_daemon(&self, index: usize, listens: &[Listen]) -> Result<Daemon, ClusterError> {
        let from = Endpoint::Vms { data_centre: index % DATA_CENTRES };
        let mut translate = IndexMap::new();
        for (peer, listen) in listens.iter().enumerate() {
            let to = Endpoint::Vm { index: peer, data_centre: peer % DATA_CENTRES };
            translate.extend(self.links.address(from, to).map(|link| (listen.peers, link)));
        }
        for server in &self.servers {
            let to = Endpoint::Server { group: server.group, data_centre: server.data_centre };
            translate.extend(self.links.address(from, to).map(|link| (server.address, link)));
        }
        let link = self.links.address(from, Endpoint::Platform).unwrap_or(self.platform);
        let platform = format!("http://{link}");
        let settings = files::settings(index, listens[index].clone(), platform, translate);
        let path = self.directory.join(format!("{}.jsonc", Deployment::vm(index)));
        files::write_settings(&path, &settings)?;
        Ok(Daemon { settings, path, process: None })
    }

    async fn create_schema(&self) -> Result<(), ClusterError> {
        for group in 0..self.deployment.groups.len() {
            let found = self.primary(group).await;
            let name = || format!("the primary of {}", self.deployment.groups[group]);
            let timed_out = || ClusterError::Timeout(name(), self.log_directory());
            let primary = found.ok_or_else(timed_out)?;
            self.connect_server(primary).await?.simple_query(SCHEMA).await?;
        }
        Ok(())
    }
}

fn make_servers(
    deployment: &Deployment,
    addresses: &[[SocketAddr; DATA_CENTRES]; 3],
) -> Vec<Server> {
    let mut servers = Vec::new();
    for (group, addresses) in addresses.iter().enumerate() {
        for (data_centre, address) in addresses.iter().enumerate() {
            servers.push(Server {
                name: deployment.server(group, data_centre),
                group,
                data_centre,
                address: *address,
                process: None,
            });
        }
    }
    servers
}

fn listen(ports: &[SocketAddr]) -> Listen {
    Listen { callers: ports[0], peers: ports[1], admin: ports[2] }
}

/// Makes an empty directory for files and logs.
fn create_directory() -> Result<PathBuf, ClusterError> {
    let name = format!("chicoryhollow-{}-{:08x}", std::process::id(), rand::random::<u32>());
    let directory: PathBuf = std::env::temp_dir().join(name);
    let logs: &Path = &directory.join("logs");
    fs::create_dir_all(logs)?;
    Ok(directory)
}

/// Finds addresses on which no process listens.
///
/// Their ports are below the range that the system uses for outgoing connections.
/// Otherwise such a connection could take a port before the process that is to
/// listen on it has started.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, ClusterError> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..MAX_PORT_ATTEMPTS {
        if listeners.len() == count {
            break;
        }
        let port = rand::random_range(PORT_RANGE);
        listeners.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    if listeners.len() < count {
        return Err(ClusterError::Request("found too few free ports".to_owned()));
    }
    Ok(listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?)
}
