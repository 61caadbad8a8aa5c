//! Commands to servers and orders to the platform: at once, on their way, or late.

use chicoryhollow_core::failover::ReplicationStatus;

use super::{
    event::{Call, Fate},
    group_view::id,
    name,
    network::Node,
    server::Command,
    ticks, time,
    vm::Vm,
    world::{Violation, World},
};

/// Ticks after which a command counts as not answered.
const CALL_TIMEOUT: u32 = ticks(500);

/// The same for a question of a commit that waits.
const REPLY_TIMEOUT: u32 = ticks(300);

/// Who sends a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// The failover that began at this tick. A VM begins one at a time.
    Failover(u32),
    /// The cleanup of fences.
    Cleanup,
    /// A commit that waits for evidence.
    Writer,
}

impl Sender {
    /// Returns the ticks after which a command counts as not answered.
    fn timeout(self) -> u32 {
        match self {
            Sender::Writer => REPLY_TIMEOUT,
            Sender::Failover(_) | Sender::Cleanup => CALL_TIMEOUT,
        }
    }
}

/// A command to a server, or its answer, that is on its way.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    at: u32,
    sent: u32,
    vm: usize,
    server: usize,
    command: Command,
    sender: Sender,
    /// Incarnation of the daemon that sent it.
    incarnation: u64,
    /// Since when that one was the coordinator.
    since: u32,
    leg: Leg,
}

/// What is on its way.
#[derive(Clone, Copy, Debug)]
enum Leg {
    Command,
    Answer(ReplicationStatus),
    /// The command was not answered in time.
    Timeout,
}

impl World {
    /// Carries out calls and orders that are due.
    pub(crate) fn finish_calls(&mut self) -> Result<(), Violation> {
        let tick = self.tick;
        let is_due = |at: u32| at <= tick;
        let commands = std::mem::take(&mut self.late_commands);
        for (at, server, command) in commands {
            match is_due(at) {
                true if self.servers[server].runs() => {
                    self.note(|| format!("a late {command:?} reaches {}", name(server)));
                    command.carry_out(&mut self.servers[server]);
                }
                true => {}
                false => self.late_commands.push((at, server, command)),
            }
        }
        for flight in std::mem::take(&mut self.flights) {
            match is_due(flight.at) {
                true => self.arrive(flight),
                false => self.flights.push(flight),
            }
        }
        for (at, order) in std::mem::take(&mut self.late_orders) {
            match is_due(at) {
                true => {
                    let server = order.server;
                    let answer = self.platform.accept(order, &self.servers, tick);
                    self.note(|| format!("a late order for {} is {answer:?}", name(server)));
                }
                false => self.late_orders.push((at, order)),
            }
        }
        for order in self.platform.due(tick) {
            if !self.servers[order.server].runs() {
                continue;
            }
            self.check_promotion(order.server)?;
            let resumes = tick + self.delays.follow;
            let is_replaced = self.platform.promote(&order, &mut self.servers, resumes);
            self.note(|| format!("{} becomes the primary", name(order.server)));
            if is_replaced {
                return Err(Violation::Replaced);
            }
        }
        Ok(())
    }

    /// Lets a command reach its server, or an answer its VM.
    fn arrive(&mut self, flight: Flight) {
        let Flight { vm, server, .. } = flight;
        let deadline = flight.sent + flight.sender.timeout();
        let timeout = Flight { at: deadline, leg: Leg::Timeout, ..flight.clone() };
        match flight.leg {
            Leg::Command => {
                let answer = self.carry_out(vm, server, flight.command).map(|status| {
                    let at = self.tick + self.delays.call + self.servers[server].slow;
                    Flight { at, leg: Leg::Answer(status), ..flight }
                });
                let answer = answer.filter(|answer| answer.at <= deadline);
                self.flights.push(answer.unwrap_or(timeout));
            }
            Leg::Answer(status) => match self.passes(Node::Server(server), Node::Vm(vm)) {
                true => self.record_answer(&flight, Some(status)),
                false => self.flights.push(timeout),
            },
            Leg::Timeout => self.record_answer(&flight, None),
        }
    }

    /// Records the answer to a command, or that there is none, if the sender still is there.
    fn record_answer(&mut self, flight: &Flight, status: Option<ReplicationStatus>) {
        let (now, server) = (time(self.tick), id(flight.server));
        let me = &mut self.vms[flight.vm];
        if me.incarnation != flight.incarnation {
            return;
        }
        let cleanup = me.watch.cleanup.as_mut().filter(|_| me.watch.since == flight.since);
        match (flight.sender, status) {
            (Sender::Cleanup, Some(status)) => {
                cleanup.into_iter().for_each(|cleanup| cleanup.record_status(&server, status));
            }
            (Sender::Cleanup, None) => {
                cleanup.into_iter().for_each(|cleanup| cleanup.record_failure(&server));
            }
            (Sender::Writer, status) => me.view.record_reply(flight.server, flight.sent, status),
            (Sender::Failover(begun), Some(status)) => {
                if let Some(failover) = me.watch.failover(begun) {
                    failover.record_status(&server, status, now);
                }
            }
            (Sender::Failover(_), None) => {
                if matches!(flight.command, Command::Fence(_)) {
                    cleanup.into_iter().for_each(|cleanup| cleanup.record_unanswered_fence(now));
                }
            }
        }
    }

    /// Asks a server for its status on behalf of commits that wait, unless it is being asked.
    pub(crate) fn ask_once(&mut self, vm: usize, server: usize) {
        let is_same = |flight: &Flight| {
            flight.vm == vm && flight.server == server && flight.sender == Sender::Writer
        };
        if !self.flights.iter().any(is_same) {
            self.send_command(vm, server, Command::Status, Sender::Writer);
        }
    }

    /// Sends a command that takes a while to arrive.
    pub(crate) fn send_command(
        &mut self,
        vm: usize,
        server: usize,
        command: Command,
        sender: Sender,
    ) {
        let Vm { incarnation, watch, .. } = &self.vms[vm];
        let (incarnation, since, sent) = (*incarnation, watch.since, self.tick);
        let (at, leg) = match self.is_disturbed(server, command) {
            true => (sent + sender.timeout(), Leg::Timeout),
            false => (sent + self.delays.call, Leg::Command),
        };
        let flight = Flight { at, sent, vm, server, command, sender, incarnation, since, leg };
        self.flights.push(flight);
    }

    /// Sends a command of a VM to a server and returns the status that it answers, at once.
    pub(crate) fn call(
        &mut self,
        vm: usize,
        server: usize,
        command: Command,
    ) -> Option<ReplicationStatus> {
        if self.is_disturbed(server, command) {
            return None;
        }
        let status = self.carry_out(vm, server, command)?;
        self.passes(Node::Server(server), Node::Vm(vm)).then_some(status)
    }

    /// Carries out a command that reaches its server.
    fn carry_out(
        &mut self,
        vm: usize,
        server: usize,
        command: Command,
    ) -> Option<ReplicationStatus> {
        if !self.servers[server].runs() || !self.passes(Node::Vm(vm), Node::Server(server)) {
            return None;
        }
        command.carry_out(&mut self.servers[server]);
        if command.kind().is_some() {
            self.note(|| format!("{command:?} of VM {vm} reaches {}", name(server)));
        }
        Some(self.servers[server].status())
    }

    /// Returns whether a command does not arrive as it should.
    fn is_disturbed(&mut self, server: usize, command: Command) -> bool {
        let delay = |world: &mut World, at| world.late_commands.push((at, server, command));
        command.kind().is_some_and(|kind| self.disturb(kind, delay))
    }

    /// Returns whether a call of this kind does not arrive now; one that is late is passed to
    /// `delay` with its tick.
    pub(crate) fn disturb(&mut self, call: Call, delay: impl FnOnce(&mut World, u32)) -> bool {
        let Some((_, fate)) = self.disturbed.take_if(|(kind, _)| *kind == call) else {
            return false;
        };
        self.note(|| format!("this {call:?} call is {fate:?}"));
        if let Fate::Late(ticks) = fate {
            let at = self.tick + ticks;
            delay(self, at);
        }
        true
    }
}
