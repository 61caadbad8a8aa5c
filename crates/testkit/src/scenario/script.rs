//! What each scenario does, and when.

use std::time::Duration;

use chicoryhollow_config::configuration::Service;

use crate::{
    checker::{Circumstances, Injection},
    cluster::{Cluster, ClusterError, DATA_CENTRES, Deployment, Endpoint, identity},
    load::Load,
    platform::Fault,
    scenario::{NOISY_ACCOUNT, Scenario, race},
};

/// Data centre that leaves, and VM that is killed.
const HIT: usize = 0;
/// Account whose key is withdrawn.
const WITHDRAWN_ACCOUNT: usize = 7;
/// Share of the platform's answers that are lost while operators race.
const LOST_ANSWERS: f64 = 0.2;
/// Time between two faults of the scenario with several.
const STAGGER: Duration = Duration::from_secs(1);
/// Load after the last step, so that its consequences show.
const SETTLE: Duration = Duration::from_secs(2);

/// A scenario under way.
pub(super) struct Script {
    cluster: Cluster,
    load: Load,
    length: Duration,
    circumstances: Circumstances,
}

impl Script {
    pub(super) fn new(cluster: Cluster, load: Load, length: Duration) -> Self {
        Script { cluster, load, length, circumstances: Circumstances::default() }
    }

    /// Lets the load run to its end.
    pub(super) async fn finish(self) -> (Cluster, Load, Circumstances) {
        let left = self.length.saturating_sub(self.load.elapsed());
        tokio::time::sleep(left.max(SETTLE)).await;
        (self.cluster, self.load, self.circumstances)
    }

    pub(super) async fn play(&mut self, scenario: Scenario) -> Result<(), ClusterError> {
        self.wait_until(1, 4).await;
        match scenario {
            Scenario::Steady | Scenario::Roam => Ok(()),
            Scenario::NoisyAccount => {
                self.circumstances.noisy = vec![NOISY_ACCOUNT];
                Ok(())
            }
            Scenario::KillPrimary => {
                self.kill_primary(0).await;
                Ok(())
            }
            Scenario::CutPrimary => self.cut_primary().await,
            Scenario::DarkDataCentre => self.darken(HIT).await,
            Scenario::DataCentreOutAndBack => self.out_and_back().await,
            Scenario::StoreOutage => self.store_outage().await,
            Scenario::WithdrawKey => self.withdraw_key().await,
            Scenario::VmCrash => self.crash_vm().await,
            Scenario::RollingRestart => self.restart_all().await,
            Scenario::ApplyRace => self.race().await,
            Scenario::AllAtOnce => self.everything().await,
        }
    }

    /// Waits until a fraction of the load's length has passed.
    async fn wait_until(&self, part: u32, whole: u32) {
        let left = (self.length * part / whole).saturating_sub(self.load.elapsed());
        tokio::time::sleep(left).await;
    }

    fn inject(&mut self, groups: Vec<usize>) {
        self.circumstances.injection = Some(Injection { at: self.load.elapsed(), groups });
    }

    async fn kill_primary(&mut self, group: usize) {
        if let Some(primary) = self.cluster.primary(group).await {
            self.inject(vec![group]);
            self.cluster.kill_server(primary);
        }
    }

    async fn cut_primary(&mut self) -> Result<(), ClusterError> {
        let Some(primary) = self.cluster.primary(0).await else { return Ok(()) };
        let server = &self.cluster.servers()[primary];
        let hit = Endpoint::Server { group: server.group(), data_centre: server.data_centre() };
        self.inject(vec![0]);
        self.cluster.links().cut(|from, to| from == hit || to == hit);
        self.wait_until(3, 5).await;
        self.cluster.links().heal();
        Ok(())
    }

    async fn darken(&mut self, data_centre: usize) -> Result<(), ClusterError> {
        let groups = self.primaries_in(data_centre).await;
        self.note_broken(|vm| vm % DATA_CENTRES == data_centre);
        self.inject(groups);
        self.cluster.links().cut_data_centre(data_centre);
        self.wait_until(3, 5).await;
        self.cluster.links().heal();
        Ok(())
    }

    async fn primaries_in(&self, data_centre: usize) -> Vec<usize> {
        let mut groups = Vec::new();
        for group in 0..self.cluster.deployment().groups.len() {
            let primary = self.cluster.primary(group).await;
            let hit = |index: usize| self.cluster.servers()[index].data_centre() == data_centre;
            if primary.is_some_and(hit) {
                groups.push(group);
            }
        }
        groups
    }

    fn note_broken(&mut self, hit: impl Fn(usize) -> bool) {
        let vms = 0..self.cluster.deployment().vms;
        self.circumstances.broken_vms.extend(vms.filter(|vm| hit(*vm)));
    }

    async fn out_and_back(&mut self) -> Result<(), ClusterError> {
        let groups = self.primaries_in(HIT).await;
        self.inject(groups);
        self.set_service(Service::Out).await?;
        self.wait_until(3, 5).await;
        self.set_service(Service::In).await
    }

    async fn set_service(&mut self, service: Service) -> Result<(), ClusterError> {
        let name = Deployment::data_centre(HIT);
        let change = |configuration: &mut chicoryhollow_config::Configuration| {
            if let Some(found) = configuration.data_centres.get_mut(name.as_str()) {
                found.service = service;
            }
        };
        self.cluster.apply(change).await
    }

    async fn store_outage(&mut self) -> Result<(), ClusterError> {
        self.cluster.set_fault(&Fault { outage: true, ..Fault::default() }).await?;
        self.wait_until(2, 5).await;
        self.kill_primary(0).await;
        self.wait_until(4, 5).await;
        self.cluster.set_fault(&Fault::default()).await
    }

    async fn withdraw_key(&mut self) -> Result<(), ClusterError> {
        let name = identity(self.cluster.deployment(), WITHDRAWN_ACCOUNT).user;
        self.cluster.apply(|files| drop(files.keys.shift_remove(name.as_str()))).await?;
        self.circumstances.withdrawn = Some((WITHDRAWN_ACCOUNT, self.load.elapsed()));
        // Its refusals from now on are rightful.
        self.circumstances.noisy.push(WITHDRAWN_ACCOUNT);
        Ok(())
    }

    async fn crash_vm(&mut self) -> Result<(), ClusterError> {
        self.note_broken(|vm| vm == HIT);
        self.inject(Vec::new());
        self.cluster.crash_daemon(HIT).await?;
        self.wait_until(3, 5).await;
        self.cluster.start_daemon(HIT).await?;
        self.cluster.wait_ready(HIT).await
    }

    async fn restart_all(&mut self) -> Result<(), ClusterError> {
        self.inject(Vec::new());
        for vm in 0..self.cluster.deployment().vms {
            self.cluster.drain_daemon(vm).await?;
            self.cluster.start_daemon(vm).await?;
            self.cluster.wait_ready(vm).await?;
        }
        Ok(())
    }

    async fn race(&mut self) -> Result<(), ClusterError> {
        let fault = Fault { lose_answers: LOST_ANSWERS, ..Fault::default() };
        self.cluster.set_fault(&fault).await?;
        let found = race::run(&mut self.cluster).await;
        self.cluster.set_fault(&Fault::default()).await?;
        self.circumstances.found.extend(found?);
        Ok(())
    }

    async fn everything(&mut self) -> Result<(), ClusterError> {
        self.circumstances.noisy = vec![NOISY_ACCOUNT];
        let outage = Fault { outage: true, ..Fault::default() };
        self.cluster.set_fault(&outage).await?;
        self.kill_primary(0).await;
        tokio::time::sleep(STAGGER).await;
        self.note_broken(|vm| vm == 1 || vm % DATA_CENTRES == 2);
        // The platform still lists the VM: nobody told it.
        self.cluster.signal_daemon(1, nix::sys::signal::Signal::SIGKILL);
        tokio::time::sleep(STAGGER).await;
        self.cluster.links().cut_data_centre(2);
        self.wait_until(3, 5).await;
        self.cluster.links().heal();
        self.cluster.set_fault(&Fault::default()).await?;
        self.cluster.start_daemon(1).await?;
        self.cluster.wait_ready(1).await
    }
}
