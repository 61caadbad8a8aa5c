//! Messages between VMs: what they tell each other regularly, and questions about commits.

use chicoryhollow_core::{Position, failover::Announcement};

use super::{CENTRES, ticks, told::AckRule, vm::Write, world::World};

/// Time without a message after which another data centre is silent.
const CONTACT_SILENCE: u32 = ticks(800);

/// Time between two messages that tell what a VM knows of the group.
const TELL_EVERY: u32 = ticks(500);

/// Number of VMs that are asked at once after the first one did not answer.
const MAX_ASKED_VMS: usize = 4;

/// A message from one VM to another that is on its way.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    at: u32,
    from: usize,
    to: usize,
    body: Body,
}

/// Content of a message.
#[derive(Clone, Debug)]
enum Body {
    /// A question about a commit at this position, which was sent at a tick.
    Ask(Position, u32),
    /// The answer to a question that was sent at a tick.
    Answer(Knowledge, u32),
    /// What a VM tells regularly.
    Tell(Knowledge),
}

/// What a VM tells another one.
#[derive(Clone, Copy, Debug)]
struct Knowledge {
    failover: Option<Announcement>,
    primary: Option<usize>,
    term: u64,
    acknowledged: Position,
    start: Position,
}

impl World {
    /// Sends a message, which arrives at once or after the time that messages take.
    fn send(&mut self, from: usize, to: usize, body: Body) {
        let message = Message { at: self.tick + self.delays.message, from, to, body };
        match self.delays.message {
            0 => self.receive(message),
            _ => self.messages.push(message),
        }
    }

    /// Receives the messages that are due.
    pub(crate) fn deliver(&mut self) {
        let tick = self.tick;
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<Message>, Vec<Message>) =
            messages.into_iter().partition(|message| message.at <= tick);
        self.messages = later;
        due.into_iter().for_each(|message| self.receive(message));
    }

    fn receive(&mut self, message: Message) {
        let Message { from, to, body, .. } = message;
        if !self.passes_vms(from, to) {
            return;
        }
        self.vms[to].heard[from] = self.tick;
        match body {
            Body::Ask(position, asked) => {
                let view = &mut self.vms[to].view;
                view.acknowledged = view.acknowledged.max(position);
                let known = self.knowledge(to);
                self.send(to, from, Body::Answer(known, asked));
            }
            Body::Answer(known, asked) => {
                let view = &mut self.vms[to].view;
                view.record_failover(known.failover);
                view.heard_term = view.heard_term.max(known.term);
                view.contact = view.contact.max(Some(asked));
            }
            Body::Tell(known) => self.hear_knowledge(to, &known),
        }
    }

    fn knowledge(&self, vm: usize) -> Knowledge {
        let view = &self.vms[vm].view;
        Knowledge {
            failover: view.failover,
            primary: view.primary,
            term: view.term,
            acknowledged: view.acknowledged,
            start: view.start,
        }
    }

    /// Receives what the other VMs know, if messages pass.
    pub(crate) fn hear(&mut self, vm: usize) {
        let others: Vec<usize> = (0..self.vms.len()).filter(|other| *other != vm).collect();
        if self.far_silence(vm) >= CONTACT_SILENCE {
            self.vms[vm].silent = Some(self.tick);
        }
        for other in others {
            let known = self.knowledge(other);
            self.send(other, vm, Body::Tell(known));
        }
    }

    /// Returns the ticks since a message of another data centre arrived.
    pub(crate) fn far_silence(&self, vm: usize) -> u32 {
        let heard = self.far_vms(vm).map(|other| self.vms[vm].heard[other]).max();
        self.tick - heard.unwrap_or_default()
    }

    /// Returns the VMs of the other data centre.
    fn far_vms(&self, vm: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.vms.len()).filter(move |other| other % CENTRES != vm % CENTRES)
    }

    fn hear_knowledge(&mut self, vm: usize, known: &Knowledge) {
        let is_due = self.tick.is_multiple_of(TELL_EVERY);
        let view = &mut self.vms[vm].view;
        // News of a failover is told at once.
        view.record_failover(known.failover);
        if !is_due {
            return;
        }
        if let Some(primary) = known.primary.filter(|_| known.term > view.term) {
            view.adopt(primary, known.term);
        }
        view.acknowledged = view.acknowledged.max(known.acknowledged);
        view.start = view.start.max(known.start);
    }

    /// Asks VMs of the other data centre about a write, those that were heard last first. They
    /// note the position and tell of failovers and terms.
    pub(crate) fn ask_contact(&mut self, vm: usize, write: &Write) {
        if self.rule != AckRule::Durability {
            return;
        }
        let is_new = write.answered == Some(self.tick);
        let mut others: Vec<usize> = self.far_vms(vm).collect();
        others.sort_by_key(|other| std::cmp::Reverse(self.vms[vm].heard[*other]));
        others.truncate(if is_new { 1 } else { MAX_ASKED_VMS });
        for other in others {
            self.send(vm, other, Body::Ask(write.position, self.tick));
        }
    }
}
