//! What a coordinator's failover asks for, as the engine carries it out.

use chicoryhollow_core::{
    coordinator::OrderAnswer,
    failover::{Action, Failover, OrderAttempt},
};

use super::{
    event::Call,
    group_view::{group, id},
    index, name,
    network::Node,
    platform::{Answer, Order},
    server::Command,
    time,
    vm::Vm,
    world::World,
};

impl World {
    pub(crate) fn execute(&mut self, vm: usize, failover: &mut Failover, action: Action) {
        let (server, command) = match action {
            Action::Fence(server, term) => {
                let status = self.call(vm, index(server.as_str()), Command::Fence(term.get()));
                match status {
                    Some(status) => failover.record_status(&server, status, time(self.tick)),
                    None => self.record_unanswered_fence(vm),
                }
                return;
            }
            Action::Poll(server) => (server, Command::Status),
            Action::Demote(server, term) => (server, Command::Demote(term.get())),
            Action::Release(_) => unreachable!("a failover lifts no fences"),
            Action::ListServers => return self.list_servers(vm, failover),
            Action::Promote(attempt) => return self.order(vm, failover, &attempt),
        };
        if let Some(status) = self.call(vm, index(server.as_str()), command) {
            failover.record_status(&server, status, time(self.tick));
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

    fn order(&mut self, vm: usize, failover: &mut Failover, attempt: &OrderAttempt) {
        let (now, server) = (time(self.tick), index(attempt.server().as_str()));
        let Vm { memory, .. } = &mut self.vms[vm];
        let replaced = failover.replaced_term();
        let Ok(revision) = memory.prepare(group(), id(server), replaced, now) else { return };
        self.write_memory(vm);
        let is_written = self.vms[vm].memory.is_written(revision);
        let Some(token) = self.next_token(vm).filter(|_| is_written) else {
            self.note(|| format!("VM {vm} cannot write the order to promote {}", name(server)));
            self.vms[vm].memory.record_unsent(revision);
            failover.record_promotion_unsent(attempt, now);
            return;
        };
        if !self.vms[vm].memory.record_sent(revision, token) || !failover.claim(attempt, now) {
            self.vms[vm].memory.record_unsent(revision);
            failover.record_promotion_unsent(attempt, now);
            return;
        }
        self.vms[vm].watch.cancelled = None;
        let order = Order { server, token, rank: self.orders };
        self.note(|| format!("VM {vm} orders the promotion of {}", name(server)));
        if self.disturb(Call::Promote, |world, at| world.late_orders.push((at, order.clone()))) {
            return;
        }
        if !self.passes(Node::Vm(vm), Node::Store) {
            return;
        }
        let answer = self.platform.accept(order, &self.servers, self.tick);
        if !self.passes(Node::Store, Node::Vm(vm)) {
            return;
        }
        let memory = &mut self.vms[vm].memory;
        match answer {
            Answer::Accepted => memory.record_answer(&group(), token, OrderAnswer::Accepted),
            Answer::Refused => {
                memory.record_answer(&group(), token, OrderAnswer::Refused);
                failover.record_promotion_refusal(attempt);
                self.vms[vm].lease.record_refusal(now);
            }
        }
    }
}
