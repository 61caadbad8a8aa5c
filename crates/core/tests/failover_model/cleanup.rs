//! The coordinator's cleanup of fences, as the engine carries it out.

use std::time::Duration;

use chicoryhollow_core::{
    ServerId,
    failover::{CleanupAction, FenceCleanup, FenceUse, RELEASE_TIMEOUT, UNCONFIRMED_CLEANUP},
};

use super::{
    calls::Sender,
    group_view::{group, id, span},
    index,
    server::Command,
    time,
    world::World,
};

impl World {
    /// Begins the cleanup if a VM has just become the coordinator.
    pub(crate) fn take_cleanup(&mut self, vm: usize) {
        let now = time(self.tick);
        let me = &mut self.vms[vm];
        if me.watch.cleanup.is_some() {
            return;
        }
        let mut cleanup = FenceCleanup::new();
        cleanup.start(now);
        let earlier = me.view.failover;
        if earlier.is_some_and(|failover| failover.may_replace(failover.replaced, now)) {
            cleanup.record_unanswered_fence(now);
        }
        me.watch.cleanup = Some(cleanup);
        me.watch.since = self.tick;
    }

    pub(crate) fn record_unanswered_fence(&mut self, vm: usize) {
        let now = time(self.tick);
        self.vms[vm].watch.cleanup.get_or_insert_default().record_unanswered_fence(now);
    }

    /// Lifts fences while no failover runs and no order is open.
    pub(crate) fn clean_up(&mut self, vm: usize) {
        let now = time(self.tick);
        let keeps_role = self.keeps_role_for(vm, RELEASE_TIMEOUT);
        let me = &mut self.vms[vm];
        let Some(cleanup) = &mut me.watch.cleanup else { return };
        let unconfirmed = me.view.unconfirmed_since.map(|since| span(self.tick - since));
        if unconfirmed.unwrap_or(Duration::ZERO) >= UNCONFIRMED_CLEANUP {
            cleanup.start_unconfirmed(now);
        }
        let ordered = me.memory.open_order(&group()).is_some();
        let needed = FenceUse { running: false, ordered, role_expiring: !keeps_role };
        let replicas: Vec<ServerId> = me.view.others(me.view.primary).map(id).collect();
        for action in cleanup.next_actions(&replicas, needed, now) {
            self.clean_up_server(vm, action);
        }
    }

    fn clean_up_server(&mut self, vm: usize, action: CleanupAction) {
        let (server, command) = match action {
            CleanupAction::Poll(server) => (server, Command::Status),
            CleanupAction::Release(server) => (server, Command::Release),
        };
        let number = index(server.as_str());
        if self.delays.call > 0 {
            return self.send_command(vm, number, command, Sender::Cleanup);
        }
        let status = self.call(vm, number, command);
        let Some(cleanup) = &mut self.vms[vm].watch.cleanup else { return };
        match status {
            Some(status) => cleanup.record_status(&server, status),
            None => cleanup.record_failure(&server),
        }
    }
}
