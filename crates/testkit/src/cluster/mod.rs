/*!
A whole deployment on this machine, as real processes.

A [`Cluster`] starts the stand-in platform, nine stand-in backend servers and
the daemons of a [`Deployment`]. Every connection between data centres and from
clients goes through [`Links`]. An executable that starts a cluster calls
[`run_role`] first, since the stand-ins run in the same executable.
*/

mod binaries;
mod child;
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
    time::{Duration, Instant},
};

use chicoryhollow_config::{Configuration, Settings};
use chicoryhollow_store::VmState;
use nix::sys::signal::Signal;

pub use crate::cluster::{
    child::{Process, run_role},
    deployment::{AccountSize, DATA_CENTRES, Deployment, DeploymentError},
    files::identity,
    links::{Endpoint, Links},
};
use crate::{
    cluster::{binaries::Binaries, child::Guard},
    load::client::ClientError,
    platform::{Fault, ListedVm},
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

/// A daemon on a VM of the cluster.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    path: PathBuf,
    process: Option<Process>,
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

    /// Returns the address at which clients reach a VM.
    pub fn caller_address(&self, vm: usize) -> SocketAddr {
        let to = Endpoint::Vm { index: vm, data_centre: vm % DATA_CENTRES };
        let link = self.links.address(Endpoint::Clients, to);
        link.unwrap_or_else(|| self.direct_address(vm))
    }

    /// Returns the address at which a VM itself listens for callers.
    pub fn direct_address(&self, vm: usize) -> SocketAddr {
        self.daemons[vm].settings.listen.callers
    }

    /// Returns the administration address of a VM as `http://IP:PORT`.
    pub fn admin_url(&self, vm: usize) -> String {
        format!("http://{}", self.daemons[vm].settings.listen.admin)
    }

    /// Returns the process id of a VM's daemon while it runs.
    pub fn daemon_id(&self, vm: usize) -> Option<u32> {
        self.daemons[vm].process.as_ref().map(Process::id)
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

    /// Starts the daemon of a VM and lists the VM as live. Does not wait until the
    /// daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started or the VM cannot be listed.
    pub async fn start_daemon(&mut self, vm: usize) -> Result<(), ClusterError> {
        let log = self.log_directory().join(format!("{}.log", Deployment::vm(vm)));
        let daemon = &mut self.daemons[vm];
        let args = ["--settings".to_owned(), daemon.path.display().to_string()];
        let process = Process::new(&mut self.guard, &self.binaries.daemon, &args, &log)?;
        daemon.process = Some(process);
        self.list_vm(vm, VmState::Live).await
    }

    /// Waits until a VM is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM is not ready in time.
    pub async fn wait_ready(&self, vm: usize) -> Result<(), ClusterError> {
        let url = format!("{}/readyz", self.admin_url(vm));
        let deadline = Instant::now() + START_STOP_TIMEOUT;
        while http::get(&url).await.is_err() {
            if Instant::now() > deadline {
                return Err(ClusterError::Timeout(Deployment::vm(vm), self.log_directory()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Sets the state of a VM in the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn list_vm(&self, vm: usize, state: VmState) -> Result<(), ClusterError> {
        let settings = &self.daemons[vm].settings;
        let listed = ListedVm {
            vm: chicoryhollow_store::Vm {
                vm: settings.vm.clone(),
                data_centre: settings.data_centre.clone(),
                peers: settings.listen.peers,
                admin: settings.listen.admin,
                state,
            },
            links: indexmap::IndexMap::new(),
        };
        http::put(&self.vm_url(vm), &listed).await
    }

    /// Adds a VM that the cluster does not run to the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn list_extra_vm(&self, listed: &ListedVm) -> Result<(), ClusterError> {
        let url = format!("{}/control/vms/{}", self.platform_url(), listed.vm.vm);
        http::put(&url, listed).await
    }

    fn vm_url(&self, vm: usize) -> String {
        format!("{}/control/vms/{}", self.platform_url(), Deployment::vm(vm))
    }

    /// Kills the daemon of a VM and removes the VM from the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn crash_daemon(&mut self, vm: usize) -> Result<(), ClusterError> {
        if let Some(process) = self.daemons[vm].process.take() {
            process.end(&mut self.guard);
        }
        http::delete(&self.vm_url(vm)).await
    }

    /// Drains a VM: lists it as leaving, sends its daemon SIGTERM, waits for its
    /// end and removes the VM from the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer or the daemon does not end
    /// in time.
    pub async fn drain_daemon(&mut self, vm: usize) -> Result<(), ClusterError> {
        self.list_vm(vm, VmState::Leaving).await?;
        let Some(mut process) = self.daemons[vm].process.take() else { return Ok(()) };
        process.signal(Signal::SIGTERM);
        let deadline = Instant::now() + START_STOP_TIMEOUT;
        while !process.has_ended() && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let ended = process.has_ended();
        process.end(&mut self.guard);
        http::delete(&self.vm_url(vm)).await?;
        match ended {
            true => Ok(()),
            false => Err(ClusterError::Timeout(Deployment::vm(vm), self.log_directory())),
        }
    }

    /// Sends a signal to the daemon of a VM.
    pub fn signal_daemon(&mut self, vm: usize, signal: Signal) {
        if let Some(process) = &mut self.daemons[vm].process {
            process.signal(signal);
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

/// Waits until the process is asked to end: by SIGTERM, by SIGINT, or by the end
/// of its standard input.
///
/// # Errors
///
/// Returns an error if signals cannot be received.
pub async fn wait_for_shutdown() -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let (mut term, mut interrupt) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let (ended, mut input) = tokio::sync::mpsc::channel::<()>(1);
    // A separate thread, since the runtime would wait for the blocked read when it
    // shuts down.
    std::thread::spawn(move || {
        child::wait_for_input_end();
        drop(ended);
    });
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        _ = input.recv() => {}
    }
    Ok(())
}
