//! What a coordinator's failover asks for, as the engine carries it out.

use chicoryhollow_core::failover::{Action, Failover};

use super::{calls::Sender, index, server::Command, time, world::World};

impl World {
    pub(crate) fn execute(
        &mut self,
        vm: usize,
        begun: u32,
        failover: &mut Failover,
        action: Action,
    ) {
        let (server, command) = match action {
            Action::Fence(server, term) => (server, Command::Fence(term.get())),
            Action::Poll(server) => (server, Command::Status),
            Action::Demote(server, term) => (server, Command::Demote(term.get())),
            Action::ListServers => return self.list_servers(vm, failover),
            Action::Promote(attempt) => return self.order(vm, begun, failover, attempt),
        };
        let number = index(server.as_str());
        if self.delays.call > 0 {
            return self.send_command(vm, number, command, Sender::Failover(begun));
        }
        match (self.call(vm, number, command), command) {
            (Some(status), _) => failover.record_status(&server, status, time(self.tick)),
            (None, Command::Fence(_)) => self.record_unanswered_fence(vm),
            (None, _) => {}
        }
    }

    fn list_servers(&mut self, vm: usize, failover: &mut Failover) {
        if !self.reaches_directory(vm) {
            failover.record_list_failure();
            return;
        }
        let (tick, entries) = (self.tick, self.directory.entries.clone());
        let view = &mut self.vms[vm].view;
        view.record_entries(&entries, tick);
        failover.join(view.members());
        failover.record_list(time(tick));
    }
}
