//! Steps of each scenario and their times.
//!
//! Most times are fractions of the load's length, so that runs of any length take
//! the same course.

use std::time::Duration;

use chicoryhollow_config::configuration::Service;

use crate::{
    checker::{Injection, RunConditions},
    cluster::{Cluster, ClusterError, DATA_CENTRES, Deployment, Endpoint, identity},
    load::Load,
    platform::Fault,
    scenario::{NOISY_ACCOUNT, Scenario, race},
};

/// Index of the data centre that is disconnected or taken out of service, and
/// of the VM that is killed.
const TARGET: usize = 0;
/// Index of the account whose key is withdrawn.
const WITHDRAWN_ACCOUNT: usize = 7;
/// Share of the platform's responses that are lost during the races of
/// operators.
const LOST_ANSWERS: f64 = 0.2;
/// Time between two faults of the scenario that has several.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);
/// Least duration of the load after the last step, so that the effects of this step
/// on the requests are measured.
const MIN_LOAD_AFTER: Duration = Duration::from_secs(2);

/// A scenario that is running.
pub(super) struct Script {
    cluster: Cluster,
    load: Load,
    length: Duration,
    conditions: RunConditions,
}

impl Script {
    pub(super) fn new(cluster: Cluster, load: Load, length: Duration) -> Self {
        Script { cluster, load, length, conditions: RunConditions::default() }
    }

    /// Waits for the end of the load.
    pub(super) async fn finish(self) -> (Cluster, Load, RunConditions) {
        let left = self.length.saturating_sub(self.load.elapsed());
        tokio::time::sleep(left.max(MIN_LOAD_AFTER)).await;
        (self.cluster, self.load, self.conditions)
    }

    /// Runs the steps of the scenario, starting after a quarter of the load.
    pub(super) async fn run(&mut self, scenario: Scenario) -> Result<(), ClusterError> {
        self.wait_until(1, 4).await;
        match scenario {
            Scenario::Steady | Scenario::Roam => Ok(()),
            Scenario::NoisyAccount => {
                self.conditions.noisy_accounts = vec![NOISY_ACCOUNT];
                Ok(())
            }
            Scenario::KillPrimary => {
                self.kill_primary(0).await;
                Ok(())
            }
            Scenario::CutPrimary => self.cut_primary().await,
            Scenario::DarkDataCentre => self.cut_data_centre(TARGET).await,
            Scenario::DataCentreOutAndBack => self.take_out_and_back().await,
            Scenario::StoreOutage => self.interrupt_platform().await,
            Scenario::WithdrawKey => self.withdraw_key().await,
            Scenario::VmCrash => self.crash_vm().await,
            Scenario::RollingRestart => self.restart_all().await,
            Scenario::ApplyRace => self.race_operators().await,
            Scenario::AllAtOnce => self.combine_faults().await,
        }
    }

    /// Waits until a fraction of the load's length has passed.
    async fn wait_until(&self, part: u32, whole: u32) {
        let left = (self.length * part / whole).saturating_sub(self.load.elapsed());
        tokio::time::sleep(left).await;
    }

    /// Records that a fault is made now and affects the primaries of `groups`.
    fn record_injection(&mut self, groups: Vec<usize>) {
        self.conditions.injection = Some(Injection { at: self.load.elapsed(), groups });
    }

    async fn kill_primary(&mut self, group: usize) {
        if let Some(primary) = self.cluster.primary(group).await {
            self.record_injection(vec![group]);
            self.cluster.kill_server(primary);
        }
    }

    async fn cut_primary(&mut self) -> Result<(), ClusterError> {
        let Some(primary) = self.cluster.primary(0).await else { return Ok(()) };
        let server = &self.cluster.servers()[primary];
        let end = Endpoint::Server { group: server.group(), data_centre: server.data_centre() };
        self.record_injection(vec![0]);
        self.cluster.links().cut(|from, to| from == end || to == end);
        self.wait_until(3, 5).await;
        self.cluster.links().heal();
        Ok(())
    }

    async fn cut_data_centre(&mut self, data_centre: usize) -> Result<(), ClusterError> {
        let groups = self.primaries_in(data_centre).await;
        self.record_broken_vms(|vm| vm % DATA_CENTRES == data_centre);
        self.record_injection(groups);
        self.cluster.links().cut_data_centre(data_centre);
        self.wait_until(3, 5).await;
        self.cluster.links().heal();
        Ok(())
    }

    async fn primaries_in(&self, data_centre: usize) -> Vec<usize> {
        let mut groups = Vec::new();
        for group in 0..self.cluster.deployment().groups.len() {
            let primary = self.cluster.primary(group).await;
            let is_inside =
                |index: usize| self.cluster.servers()[index].data_centre() == data_centre;
            if primary.is_some_and(is_inside) {
                groups.push(group);
            }
        }
        groups
    }

    fn record_broken_vms(&mut self, is_broken: impl Fn(usize) -> bool) {
        let vms = 0..self.cluster.deployment().vms;
        self.conditions.broken_vms.extend(vms.filter(|vm| is_broken(*vm)));
    }

    async fn take_out_and_back(&mut self) -> Result<(), ClusterError> {
        let groups = self.primaries_in(TARGET).await;
        self.record_injection(groups);
        self.set_service(Service::Out).await?;
        self.wait_until(3, 5).await;
        self.set_service(Service::In).await
    }

    async fn set_service(&mut self, service: Service) -> Result<(), ClusterError> {
        let name = Deployment::data_centre(TARGET);
        let change = |configuration: &mut chicoryhollow_config::Configuration| {
            if let Some(found) = configuration.data_centres.get_mut(name.as_str()) {
                found.service = service;
            }
        };
        self.cluster.apply(change).await
    }

    async fn interrupt_platform(&mut self) -> Result<(), ClusterError> {
        self.cluster.set_fault(&Fault { outage: true, ..Fault::default() }).await?;
        self.wait_until(2, 5).await;
        self.kill_primary(0).await;
        self.wait_until(4, 5).await;
        self.cluster.set_fault(&Fault::default()).await
    }

    async fn withdraw_key(&mut self) -> Result<(), ClusterError> {
        let name = identity(self.cluster.deployment(), WITHDRAWN_ACCOUNT).user;
        self.cluster.apply(|files| drop(files.keys.shift_remove(name.as_str()))).await?;
        self.conditions.withdrawn_key = Some((WITHDRAWN_ACCOUNT, self.load.elapsed()));
        // From now on, refusals of this account are correct.
        self.conditions.noisy_accounts.push(WITHDRAWN_ACCOUNT);
        Ok(())
    }

    async fn crash_vm(&mut self) -> Result<(), ClusterError> {
        self.record_broken_vms(|vm| vm == TARGET);
        self.record_injection(Vec::new());
        self.cluster.crash_daemon(TARGET).await?;
        self.wait_until(3, 5).await;
        self.cluster.start_daemon(TARGET).await?;
        self.cluster.wait_ready(TARGET).await
    }

    async fn restart_all(&mut self) -> Result<(), ClusterError> {
        self.record_injection(Vec::new());
        for vm in 0..self.cluster.deployment().vms {
            self.cluster.drain_daemon(vm).await?;
            self.cluster.start_daemon(vm).await?;
            self.cluster.wait_ready(vm).await?;
        }
        Ok(())
    }

    async fn race_operators(&mut self) -> Result<(), ClusterError> {
        let fault = Fault { lose_answers: LOST_ANSWERS, ..Fault::default() };
        self.cluster.set_fault(&fault).await?;
        let breaches = race::run(&mut self.cluster).await;
        self.cluster.set_fault(&Fault::default()).await?;
        self.conditions.breaches.extend(breaches?);
        Ok(())
    }

    async fn combine_faults(&mut self) -> Result<(), ClusterError> {
        self.conditions.noisy_accounts = vec![NOISY_ACCOUNT];
        let outage = Fault { outage: true, ..Fault::default() };
        self.cluster.set_fault(&outage).await?;
        self.kill_primary(0).await;
        tokio::time::sleep(FAULT_INTERVAL).await;
        self.record_broken_vms(|vm| vm == 1 || vm % DATA_CENTRES == 2);
        // The platform still lists the VM, because the crash is not reported to it.
        self.cluster.signal_daemon(1, nix::sys::signal::Signal::SIGKILL);
        tokio::time::sleep(FAULT_INTERVAL).await;
        self.cluster.links().cut_data_centre(2);
        self.wait_until(3, 5).await;
        self.cluster.links().heal();
        self.cluster.set_fault(&Fault::default()).await?;
        self.cluster.start_daemon(1).await?;
        self.cluster.wait_ready(1).await
    }
}
