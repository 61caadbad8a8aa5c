//! Calls about the coordinator's row, which may take a while, and the orders that wait for them.
//!
//! As in the engine, a VM makes one such call at a time, and an order is sent by a task of its
//! own, which outlives the failover that began it.

use chicoryhollow_core::{
    coordinator::{FailoverRecord, OrderAnswer, Revision, Step},
    failover::{Failover, OrderAttempt},
    version::DirectoryVersion,
};

use super::{
    event::Call,
    group_view::group,
    index, name,
    network::Node,
    platform::{Answer, Order},
    time,
    vm::{Vm, vm_id},
    world::World,
};

/// A write of the row that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct RowWrite {
    due: u32,
    asked: u32,
    expected: DirectoryVersion,
    record: FailoverRecord,
    revision: Revision,
}

/// An order that is to be sent once the row contains it.
#[derive(Clone, Debug)]
pub(crate) struct Ordering {
    attempt: OrderAttempt,
    /// When the failover began that wants it.
    failover: u32,
    revision: Revision,
    /// Whether a write for it was begun.
    is_tried: bool,
}

impl World {
    /// Reads the directory, if it can be reached, and takes the next step of the lease.
    pub(crate) fn read_directory(&mut self, vm: usize) {
        let (tick, reaches) = (self.tick, self.reaches_directory(vm));
        if reaches {
            let World { vms, directory, .. } = self;
            vms[vm].view.record_entries(&directory.entries, tick);
        }
        if !self.finish_write(vm) {
            return;
        }
        let World { vms, directory, .. } = self;
        let Vm { lease, memory, view, .. } = &mut vms[vm];
        let now = time(tick);
        match lease.next_step(now) {
            Step::Wait(_) => {}
            _ if !reaches => lease.record_failure(now),
            Step::Read => {
                let row = directory.row.as_ref();
                if let Some(row) = row.filter(|row| !lease.is_own(row)) {
                    memory.record_row(&directory.record, row.version, now);
                    view.record_failover(memory.announcement(&group()));
                }
                lease.record_row(row, Default::default(), None, now);
            }
            Step::Write(expected) => self.write_row(vm, expected),
        }
    }

    /// Writes the coordinator's row with all that the coordinator must not forget.
    fn write_row(&mut self, vm: usize, expected: DirectoryVersion) {
        let (tick, reaches) = (self.tick, self.reaches_directory(vm));
        let due = tick + self.directory.delay;
        let Vm { lease, memory, view, row_write, .. } = &mut self.vms[vm];
        memory.update_missing(&group(), &view.missing);
        let (record, revision) = memory.record(view.roster(), time(tick));
        if !reaches {
            lease.record_failure(time(tick));
            return;
        }
        *row_write = Some(RowWrite { due, asked: tick, expected, record, revision });
        self.finish_write(vm);
    }

    /// Ends a write of the row that is due. Returns whether another call may begin.
    fn finish_write(&mut self, vm: usize) -> bool {
        let tick = self.tick;
        let Some(write) = self.vms[vm].row_write.take() else { return true };
        if tick < write.due {
            self.vms[vm].row_write = Some(write);
            return false;
        }
        let (now, reaches) = (time(tick), self.reaches_directory(vm));
        let World { vms, directory, .. } = self;
        let Vm { lease, memory, incarnation, .. } = &mut vms[vm];
        if !reaches {
            lease.record_failure(now);
            return true;
        }
        match directory.write_row(write.expected, vm_id(vm), *incarnation, write.record) {
            Some(version) => {
                lease.record_write(version, time(write.asked), now);
                memory.record_written(write.revision);
            }
            None => lease.record_conflict(now),
        }
        true
    }

    /// Writes the row before its next renewal, if it lacks something.
    pub(crate) fn write_memory(&mut self, vm: usize) {
        let now = time(self.tick);
        if self.vms[vm].row_write.is_some() || !self.vms[vm].memory.needs_write() {
            return;
        }
        if let Some(expected) = self.vms[vm].lease.begin_write(now) {
            self.write_row(vm, expected);
        }
    }

    /// Begins to order a promotion for the failover of a VM.
    pub(crate) fn order(
        &mut self,
        vm: usize,
        begun: u32,
        failover: &mut Failover,
        attempt: OrderAttempt,
    ) {
        let (now, replaced) = (time(self.tick), failover.replaced_term());
        let known = self.vms[vm].view.failover;
        let announced = known.map_or(replaced, |known| known.replaced);
        let (memory, server) = (&mut self.vms[vm].memory, attempt.server().clone());
        let Ok(revision) = memory.prepare(group(), server, replaced, now) else { return };
        memory.record_announced(revision, announced);
        let ordering = Ordering { attempt, failover: begun, revision, is_tried: false };
        if let Some(ordering) = self.advance_order(vm, ordering, Some(failover)) {
            self.vms[vm].orderings.push(ordering);
        }
    }

    /// Sends the orders that have waited for the row, or gives them up.
    pub(crate) fn finish_orders(&mut self, vm: usize) {
        for ordering in std::mem::take(&mut self.vms[vm].orderings) {
            if let Some(waiting) = self.advance_order(vm, ordering, None) {
                self.vms[vm].orderings.push(waiting);
            }
        }
    }

    /// Takes the next step for an order, of a failover that is passed or the one that runs.
    /// Returns the order while it waits for the row.
    fn advance_order(
        &mut self,
        vm: usize,
        mut ordering: Ordering,
        failover: Option<&mut Failover>,
    ) -> Option<Ordering> {
        let is_written = |world: &World| world.vms[vm].memory.is_written(ordering.revision);
        if !is_written(self) && !ordering.is_tried && self.vms[vm].row_write.is_none() {
            ordering.is_tried = true;
            self.write_memory(vm);
        }
        if !is_written(self) && self.vms[vm].row_write.is_some() {
            return Some(ordering);
        }
        let mut running = self.vms[vm].watch.take_failover(ordering.failover);
        let failover = failover.or(running.as_mut().map(|running| &mut running.failover));
        self.send_order(vm, &ordering, failover);
        self.vms[vm].watch.put_back(running);
        None
    }

    /// Sends an order if the row contains it and its failover, if it has not ended, still wants it.
    fn send_order(&mut self, vm: usize, ordering: &Ordering, mut failover: Option<&mut Failover>) {
        let Ordering { attempt, revision, .. } = ordering;
        let (now, server) = (time(self.tick), index(attempt.server().as_str()));
        let is_written = self.vms[vm].memory.is_written(*revision);
        let token = if is_written { self.next_token(vm) } else { None };
        let led = self.vms[vm].view.newest_term();
        let memory = &mut self.vms[vm].memory;
        let sent = token.filter(|token| memory.record_sent(*revision, *token, now));
        let mut claim = || {
            failover.as_mut().is_some_and(|failover| {
                failover.record_led(led);
                failover.claim(attempt, now)
            })
        };
        let Some(token) = sent.filter(|_| claim()) else {
            memory.record_unsent(*revision);
            self.note(|| format!("VM {vm} does not send the order to promote {}", name(server)));
            if let Some(failover) = failover {
                failover.record_promotion_unsent(attempt, now);
            }
            return;
        };
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
                if let Some(failover) = failover {
                    failover.record_promotion_refusal(attempt);
                }
                self.vms[vm].lease.record_refusal(now);
            }
        }
    }
}
