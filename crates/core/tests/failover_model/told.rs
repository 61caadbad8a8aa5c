//! Callers, and what they are told of their writes.

use chicoryhollow_core::{
    durability::{Commit, Evidence, Knowledge, RegisteredReplica},
    isolation::needs_replica_answer,
};

use super::{
    CENTRES,
    group_view::span,
    name,
    network::Node,
    server::{Command, Server},
    ticks, time,
    vm::Write,
    world::World,
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

/// Time without silence after which another data centre is in contact again.
const CONTACT_SPAN: u32 = ticks(6_000);

/// Age of the directory copy, and of an entry, that counts as evidence.
const EVIDENCE_AGE: u32 = ticks(2_000);

/// What another VM must say after the primary's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Contact {
    /// No answer of a VM counts.
    Ignored,
    /// A VM of another data centre than the primary's answers.
    Answer,
    /// The same, and the coordinator answers that it replaces no primary.
    Coordinator,
    /// The same, and the coordinator answers that it has noted the position and has no order
    /// open. It promotes no server that has received less.
    Noted,
}

/// Which replica must report that it has received the commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Holder {
    /// No report of a replica counts.
    Ignored,
    /// A replica that is registered, as far as the VM knows.
    Registered,
    /// A replica that is registered, as the VM read lately.
    Listed,
}

/// What is known to be true after the primary's answer, of which one is enough.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Proof {
    pub(crate) contact: Contact,
    pub(crate) holder: Holder,
    /// Whether the terms of the write, the VM and the replica must be equal.
    pub(crate) same_term: bool,
    /// Whether the replica must not have started again since it was registered.
    pub(crate) same_life: bool,
}

/// The rule by which a caller is told that a write succeeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AckRule {
    /// After a silence of other data centres, a registered replica must answer before the write
    /// is sent.
    ReplicaAnswer,
    /// After the primary's answer, a failover elsewhere must be known to keep the write.
    Proof(Proof),
    /// The same, by the decisions of the product.
    Durability,
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
        let is_checked = matches!(self.rule, AckRule::ReplicaAnswer | AckRule::Durability);
        if is_checked && !self.may_send(vm, server) {
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
            if write.answered.is_some() {
                self.ask_contact(vm, &write);
                self.ask_replicas(vm, &write);
            }
            match write.answered {
                Some(_) if self.may_tell(vm, &write) => {
                    self.tell_position(vm, &write);
                    self.vms[vm].view.record_commit(write.position);
                    self.told |= 1 << write.commit;
                    self.note(|| format!("VM {vm} tells that write {} succeeded", write.commit));
                }
                Some(answered) if tick - answered >= HOLD_TIMEOUT => {
                    self.record_unproven(vm, &write);
                }
                None if tick - write.sent >= WRITE_TIMEOUT => {}
                _ => self.vms[vm].writes.push(write),
            }
        }
    }

    fn receive_answer(&mut self, vm: usize, write: &mut Write) {
        let (tick, rule) = (self.tick, self.rule);
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
            // The product counts a commit as acknowledged once a caller is told of it.
            if rule != AckRule::Durability {
                view.record_commit(write.position);
            }
        } else if tick - write.sent >= CONFIRM_TIME && view.primary == Some(write.server) {
            view.unconfirmed_since.get_or_insert(write.sent);
        }
    }

    /// Records a write that the primary acknowledged and of which no caller is told.
    fn record_unproven(&mut self, vm: usize, write: &Write) {
        let view = &mut self.vms[vm].view;
        if view.primary == Some(write.server) {
            view.unconfirmed_since.get_or_insert(write.sent);
        }
    }

    /// Lets the VMs that answer note a position, if that is part of the proof.
    fn tell_position(&mut self, vm: usize, write: &Write) {
        let AckRule::Proof(Proof { contact: Contact::Noted, .. }) = self.rule else { return };
        let answers = |other: &usize| self.passes_vms(vm, *other) && self.passes_vms(*other, vm);
        for other in (0..self.vms.len()).filter(answers).collect::<Vec<usize>>() {
            let noted = &mut self.vms[other].view.acknowledged;
            *noted = write.position.max(*noted);
        }
    }

    /// Returns whether the decisions of the product pass a success on.
    fn is_durable(&self, vm: usize, write: &Write) -> bool {
        let (tick, me) = (self.tick, &self.vms[vm]);
        let commit =
            Commit { position: write.position, answered: time(write.answered.unwrap_or(tick)) };
        let is_steady = me.silent.is_none_or(|at| tick - at >= CONTACT_SPAN);
        let contact = me.view.contact.map(time);
        let knowledge = Knowledge {
            now: time(tick),
            term: me.view.newest_term(),
            failover: me.view.failover,
            contact,
            single: false,
            steady: is_steady,
            directory_age: span(tick - me.view.read),
            directory_asked: Some(time(me.view.read)),
        };
        let evidence = commit.evidence(&knowledge, &self.known_replicas(vm, write));
        evidence.is_some_and(Evidence::is_sufficient)
    }

    /// Returns the registered replicas and what they have answered.
    fn known_replicas(&self, vm: usize, write: &Write) -> Vec<RegisteredReplica> {
        let (tick, view) = (self.tick, &self.vms[vm].view);
        let near = self.servers[write.server].centre;
        let others = view.others(Some(write.server));
        others
            .map(|i| RegisteredReplica {
                registered: span(tick - view.known_since[i]),
                leaving: view.entries[i].as_ref().is_some_and(|entry| entry.leaving),
                near: self.servers[i].centre == near,
                answers: view.replies[i],
            })
            .collect()
    }

    /// Asks the replicas that stay for their status, one question at a time.
    fn ask_replicas(&mut self, vm: usize, write: &Write) {
        if self.rule != AckRule::Durability {
            return;
        }
        let view = &self.vms[vm].view;
        let stays = |i: &usize| view.entries[*i].as_ref().is_some_and(|entry| !entry.leaving);
        let others: Vec<usize> = view.others(Some(write.server)).filter(stays).collect();
        for server in others {
            if self.delays.call > 0 {
                self.ask_once(vm, server);
                continue;
            }
            let status = self.call(vm, server, Command::Status);
            self.vms[vm].view.record_reply(server, self.tick, status);
        }
    }

    fn may_send(&self, vm: usize, server: usize) -> bool {
        let me = &self.vms[vm];
        let centre = |server: usize| self.servers[server].centre;
        let others: Vec<usize> = me.view.others(Some(server)).collect();
        let silence = Some(span(self.far_silence(vm)));
        let here = vm % CENTRES;
        let far = || others.iter().filter(|other| centre(**other) != here);
        !needs_replica_answer(silence, centre(server) == here)
            || far().next().is_none()
            || far().any(|other| self.is_answering(vm, *other))
    }

    fn is_answering(&self, vm: usize, server: usize) -> bool {
        self.servers[server].runs() && self.answers(Node::Vm(vm), Node::Server(server))
    }

    fn may_tell(&self, vm: usize, write: &Write) -> bool {
        let proof = match self.rule {
            AckRule::ReplicaAnswer => return true,
            AckRule::Durability => return self.is_durable(vm, write),
            AckRule::Proof(proof) => proof,
        };
        if proof.same_term && self.vms[vm].view.term != write.position.term().get() {
            return false;
        }
        self.has_contact(vm, write, proof.contact) || self.has_holder(vm, write, proof)
    }

    /// Returns whether the VMs that answer say what is needed.
    fn has_contact(&self, vm: usize, write: &Write, contact: Contact) -> bool {
        let answers = |other: &usize| {
            *other == vm || (self.passes_vms(vm, *other) && self.passes_vms(*other, vm))
        };
        // The primary's answer is the contact of a VM in another data centre.
        let is_far = |other: usize| other % CENTRES != self.servers[write.server].centre;
        if !(0..self.vms.len()).filter(answers).any(is_far) {
            return false;
        }
        let is_listed = self.tick - self.vms[vm].view.read < EVIDENCE_AGE;
        match contact {
            Contact::Ignored => false,
            Contact::Answer => is_listed,
            Contact::Coordinator => {
                is_listed && (0..self.vms.len()).filter(answers).any(|other| self.is_at_rest(other))
            }
            Contact::Noted => (0..self.vms.len()).filter(answers).any(|other| {
                let term = self.vms[other].view.term;
                self.has_no_order(other) && term == write.position.term().get()
            }),
        }
    }

    /// Returns whether a replica that has been registered for a while reports the commit.
    fn has_holder(&self, vm: usize, write: &Write, proof: Proof) -> bool {
        let view = &self.vms[vm].view;
        let counts = match proof.holder {
            Holder::Ignored => false,
            Holder::Registered => true,
            Holder::Listed => self.tick - view.read < EVIDENCE_AGE,
        };
        let is_old = |i: &usize| self.tick - view.known_since[*i] >= EVIDENCE_AGE;
        let mut replicas = view.others(Some(write.server)).filter(is_old);
        counts && replicas.any(|i| self.is_answering(vm, i) && self.reports(vm, i, write, proof))
    }

    /// Returns whether the status of a replica shows that it has received a commit.
    fn reports(&self, vm: usize, replica: usize, write: &Write, proof: Proof) -> bool {
        let status = self.servers[replica].status();
        let entry = self.vms[vm].view.entries[replica].as_ref();
        let is_same_life = entry.is_some_and(|entry| entry.born == self.servers[replica].born);
        status.fenced_term <= write.position.term()
            && status.received >= write.position
            && (is_same_life || !proof.same_life)
            && (status.received.term() == write.position.term() || !proof.same_term)
    }

    /// Returns whether the answer to a status request could be received.
    pub(crate) fn ask_status(&mut self, vm: usize, server: usize) -> Option<Server> {
        self.call(vm, server, Command::Status)?;
        Some(self.servers[server].clone())
    }
}
