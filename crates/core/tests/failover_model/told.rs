//! Callers, and what they are told of their writes.

use chicoryhollow_core::{Term, isolation::needs_replica_answer};

use super::{
    group_view::span, name, network::Node, server::Command, ticks, vm::Write, world::World,
};

/// Ticks between two writes of a VM.
const WRITE_EVERY: u32 = 5;

/// Most writes of a VM that wait at the same time.
const MAX_WAITING: usize = 2;

/// Time after which a write without an answer counts as unknown.
const WRITE_TIMEOUT: u32 = ticks(3_000);

/// Time for which a success is held back.
const HOLD_TIMEOUT: u32 = ticks(2_000);

/// Time for which an unanswered write may wait before it counts as unconfirmed.
const CONFIRM_TIME: u32 = ticks(300);

/// Age of the directory copy, and of an entry, that counts as evidence.
const EVIDENCE_AGE: u32 = ticks(2_000);

/// The rule by which a caller is told that a write succeeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AckRule {
    /// After a silence of other data centres, a registered replica must answer before the write
    /// is sent.
    ReplicaAnswer,
    /// After the primary's answer, another data centre answers, or a registered replica has the
    /// commit.
    ContactOrReplica,
    /// After the primary's answer, a registered replica has the commit.
    Replica,
    /// After the primary's answer, a registered replica in another data centre has the commit.
    FarReplica,
}

impl World {
    /// Sends a write of the callers of a VM.
    pub(crate) fn send_write(&mut self, vm: usize) {
        let is_due = (self.tick + vm as u32).is_multiple_of(WRITE_EVERY);
        if !is_due || self.vms[vm].writes.len() >= MAX_WAITING || self.commits >= self.max_commits {
            return;
        }
        let primary = self.vms[vm].view.primary_entry();
        let Some(server) = primary.filter(|(_, entry)| !entry.leaving).map(|(i, _)| i) else {
            return;
        };
        if self.rule == AckRule::ReplicaAnswer && !self.may_send(vm, server) {
            return;
        }
        let (tick, node) = (self.tick, Node::Server(server));
        if !self.servers[server].runs() || !self.passes(Node::Vm(vm), node) {
            self.vms[vm].view.record_failure(server, tick);
            return;
        }
        if !self.servers[server].leads {
            if self.passes(node, Node::Vm(vm)) {
                self.vms[vm].view.record_denial(server);
            }
            return;
        }
        let commit = self.commits;
        self.commits += 1;
        let position = self.servers[server].append(commit);
        self.note(|| format!("VM {vm} sends write {commit} to {}", name(server)));
        self.vms[vm].writes.push(Write { commit, server, position, sent: tick, answered: None });
    }

    /// Receives answers of the primary, and tells callers of their writes.
    pub(crate) fn answer_writes(&mut self, vm: usize) {
        let tick = self.tick;
        for mut write in std::mem::take(&mut self.vms[vm].writes) {
            self.receive_answer(vm, &mut write);
            match write.answered {
                Some(_) if self.may_tell(vm, &write) => {
                    self.told |= 1 << write.commit;
                    self.note(|| format!("VM {vm} tells that write {} succeeded", write.commit));
                }
                Some(answered) if tick - answered >= HOLD_TIMEOUT => {}
                None if tick - write.sent >= WRITE_TIMEOUT => {}
                _ => self.vms[vm].writes.push(write),
            }
        }
    }

    fn receive_answer(&mut self, vm: usize, write: &mut Write) {
        let tick = self.tick;
        let server = &self.servers[write.server];
        let is_confirmed = self.confirmed & (1 << write.commit) != 0;
        let passes = server.runs() && self.passes(Node::Server(write.server), Node::Vm(vm));
        let leads = server.leads;
        let view = &mut self.vms[vm].view;
        if write.answered.is_some() {
            return;
        }
        if is_confirmed && passes && leads {
            write.answered = Some(tick);
            view.record_primary(write.server, write.position, tick);
            view.record_commit(write.position);
        } else if tick - write.sent >= CONFIRM_TIME && view.primary == Some(write.server) {
            view.unconfirmed_since.get_or_insert(write.sent);
        }
    }

    fn may_send(&self, vm: usize, server: usize) -> bool {
        let me = &self.vms[vm];
        let centre = |server: usize| self.servers[server].centre;
        let others: Vec<usize> = me.view.others(Some(server)).collect();
        let replica_near = others.iter().any(|other| centre(*other) == vm);
        let silence = Some(span(self.tick - me.heard));
        !needs_replica_answer(silence, centre(server) == vm, replica_near)
            || others.is_empty()
            || others.iter().any(|other| self.is_answering(vm, *other))
    }

    fn is_answering(&self, vm: usize, server: usize) -> bool {
        self.servers[server].runs() && self.answers(Node::Vm(vm), Node::Server(server))
    }

    fn may_tell(&self, vm: usize, write: &Write) -> bool {
        match self.rule {
            AckRule::ReplicaAnswer => true,
            AckRule::ContactOrReplica => {
                self.has_contact(vm, write) || self.has_replica(vm, write, |_| true)
            }
            AckRule::Replica => self.has_replica(vm, write, |_| true),
            AckRule::FarReplica => {
                let centre = self.servers[write.server].centre;
                self.has_replica(vm, write, |replica| self.servers[replica].centre != centre)
            }
        }
    }

    /// Returns whether a VM of another data centre than the primary's answers, and the directory
    /// was read lately. The primary's answer is the contact of a VM that is such a VM itself.
    fn has_contact(&self, vm: usize, write: &Write) -> bool {
        let is_far = |vm: usize| vm != self.servers[write.server].centre;
        let answers = is_far(vm) || (self.passes_vms(vm, 1 - vm) && self.passes_vms(1 - vm, vm));
        answers && self.tick - self.vms[vm].view.read < EVIDENCE_AGE
    }

    /// Returns whether a replica that has been registered for a while reports the commit.
    fn has_replica(&self, vm: usize, write: &Write, counts: impl Fn(usize) -> bool) -> bool {
        let view = &self.vms[vm].view;
        let is_old = |i: &usize| self.tick - view.known_since[*i] >= EVIDENCE_AGE;
        let mut old = view.others(Some(write.server)).filter(is_old).filter(|i| counts(*i));
        old.any(|i| {
            let status = self.servers[i].status();
            self.is_answering(vm, i)
                && status.fenced_term <= Term::new(write.position.term().get())
                && status.received >= write.position
        })
    }

    /// Returns whether the answer to a status request could be received.
    pub(crate) fn ask_status(&mut self, vm: usize, server: usize) -> Option<super::server::Server> {
        self.call(vm, server, Command::Status)?;
        Some(self.servers[server].clone())
    }
}
