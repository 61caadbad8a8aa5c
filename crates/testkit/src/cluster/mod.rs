/*!
A whole deployment on this machine, as real processes.

A [`Cluster`] starts the stand-in platform, nine stand-in backend servers and
the daemons of a [`Deployment`]. Every connection between data centres and from
clients goes through [`Links`]. An executable that starts a cluster calls
[`run_role`] first, since the stand-ins run in the same executable.
*/

mod binaries;
mod child;
mod daemons;
mod deployment;
mod files;
mod http;
mod inspect;
mod links;
mod start;

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use chicoryhollow_config::Configuration;
use nix::sys::signal::Signal;

pub use crate::cluster::{
    child::{Process, run_role, wait_for_shutdown},
    daemons::Daemon,
    deployment::{AccountSize, DATA_CENTRES, Deployment, DeploymentError},
    files::identity,
    links::{Endpoint, Links},
};
use crate::{
    cluster::{binaries::Binaries, child::Guard},
    load::client::ClientError,
    platform::Fault,
};

/// Longest wait for one part of the cluster to be ready or to end.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error of starting or controlling a cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A binary of the product is missing.
    #[error("{} is missing; build it with: {command}", path.display())]
    Binary {
        /// Path at which it is expected.
        path: PathBuf,
        /// Command that builds it.
        command: String,
    },
    /// A file, port or process could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A request to a control interface failed.
    #[error("{0}")]
    Request(String),
    /// A connection to a backend server or a VM, or a statement on it, failed.
    #[error("connection or statement failed: {0}")]
    Server(#[from] ClientError),
    /// A part of the cluster was not ready in time; the directory has its log.
    #[error("{0} was not ready in time; its log is in {dir}", dir = .1.display())]
    Timeout(String, PathBuf),
    /// `chicoryctl` refused the configuration.
    #[error("chicoryctl refused the configuration: {0}")]
    Refused(String),
}

/// Result of `chicoryctl apply`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The configuration is published.
    Done,
    /// Another configuration was published first.
    Lost,
    /// The platform did not answer in time.
    Unavailable,
}

/// A stand-in backend server of the cluster.
#[derive(Debug)]
pub struct Server {
    name: String,
    group: usize,
    data_centre: usize,
    address: SocketAddr,
    process: Option<Process>,
}

impl Server {
    /// Returns the name of the server.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the index of its group.
    pub fn group(&self) -> usize {
        self.group
    }

    /// Returns the index of its data centre.
    pub fn data_centre(&self) -> usize {
        self.data_centre
    }

    /// Returns the process id of the server while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }
}

/// A running deployment. Dropping it ends all its processes.
#[derive(Debug)]
pub struct Cluster {
    deployment: Deployment,
    directory: PathBuf,
    binaries: Binaries,
    platform: SocketAddr,
    links: Links,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    configuration: Configuration,
    keeps_files: bool,
    // Fields are dropped in order, so the processes end before the guard.
    platform_process: Option<Process>,
    guard: Guard,
}

impl Cluster {
    /// Returns the deployment that runs.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the links between the parts of the cluster.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the backend servers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns the address at which a backend server itself listens.
    pub fn server_address(&self, server: usize) -> SocketAddr {
        self.servers[server].address
    }

    /// Returns the address of the platform as `http://IP:PORT`.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform)
    }

    /// Returns the directory of the operators' files.
    pub fn configuration_directory(&self) -> PathBuf {
        self.directory.join("configuration")
    }

    /// Returns the directory of the logs.
    pub fn log_directory(&self) -> PathBuf {
        self.directory.join("logs")
    }

    /// Keeps the logs and the configuration after the end, to examine a failure.
    pub fn keep_files(&mut self) {
        self.keeps_files = true;
    }

    /// Returns the current content of the operators' files.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Changes the operators' files and applies them.
    ///
    /// # Errors
    ///
    /// Returns an error if `chicoryctl` fails or the configuration is not published.
    pub async fn apply(
        &mut self,
        change: impl FnOnce(&mut Configuration),
    ) -> Result<(), ClusterError> {
        change(&mut self.configuration);
        let directory = self.configuration_directory();
        match self.apply_files(&directory, &self.configuration, None).await? {
            Applied::Done => Ok(()),
            other => Err(ClusterError::Refused(format!("{other:?}"))),
        }
    }

    /// Applies a configuration from a separate directory, as one of several
    /// operators. `base` is the version on which the configuration is based; if it
    /// is absent, `chicoryctl` is called without a base version.
    ///
    /// # Errors
    ///
    /// Returns an error if `chicoryctl` cannot run or finds an error in the files.
    pub async fn apply_files(
        &self,
        directory: &Path,
        configuration: &Configuration,
        base: Option<u64>,
    ) -> Result<Applied, ClusterError> {
        files::write_configuration(directory, configuration)?;
        let mut command = Command::new(&self.binaries.control);
        command.arg("apply").arg(directory).arg("--platform").arg(self.platform_url());
        if let Some(base) = base {
            command.arg("--base").arg(base.to_string());
        }
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.map_err(io::Error::other)??;
        match output.status.code() {
            Some(0) => Ok(Applied::Done),
            Some(3) => Ok(Applied::Unavailable),
            Some(4) => Ok(Applied::Lost),
            _ => {
                let text = [output.stdout, output.stderr].concat();
                Err(ClusterError::Refused(String::from_utf8_lossy(&text).trim().to_owned()))
            }
        }
    }

    /// Kills a backend server.
    pub fn kill_server(&mut self, server: usize) {
        if let Some(process) = self.servers[server].process.take() {
            process.end(&mut self.guard);
        }
    }

    /// Sends a signal to a backend server.
    pub fn signal_server(&mut self, server: usize, signal: Signal) {
        if let Some(process) = &mut self.servers[server].process {
            process.signal(signal);
        }
    }

    /// Sets a fault that the platform simulates.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn set_fault(&self, fault: &Fault) -> Result<(), ClusterError> {
        http::put(&format!("{}/control/fault", self.platform_url()), fault).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.process.take().into_iter().for_each(|p| p.end(&mut self.guard));
        }
        for server in &mut self.servers {
            server.process.take().into_iter().for_each(|p| p.end(&mut self.guard));
        }
        self.platform_process.take().into_iter().for_each(|p| p.end(&mut self.guard));
        if !self.keeps_files {
            // Files that cannot be removed are left in the temporary directory, which
            // the system cleans.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
