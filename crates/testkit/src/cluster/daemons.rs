//! The daemons of a cluster and their VMs in the platform's list.

use std::{net::SocketAddr, path::PathBuf, time::Instant};

use chicoryhollow_config::Settings;
use chicoryhollow_store::VmState;
use nix::sys::signal::Signal;

use super::{
    Cluster, ClusterError, DATA_CENTRES, Deployment, Endpoint, POLL_INTERVAL, Process,
    START_STOP_TIMEOUT, http,
};
use crate::platform::ListedVm;

/// A daemon on a VM of the cluster.
#[derive(Debug)]
pub struct Daemon {
    pub(super) settings: Settings,
    pub(super) path: PathBuf,
    pub(super) process: Option<Process>,
}

impl Cluster {
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
}
