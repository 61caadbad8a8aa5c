//! The coordinator's role, and the tokens of its orders.

use std::time::Duration;

use chicoryhollow_core::coordinator::{FencingToken, Outage};

use super::{
    group_view::group,
    network::Node,
    platform::{Answer, Order},
    ticks, time,
    vm::Vm,
    watch::PROBE_AFTER,
    world::World,
};

/// Time without silence after which another data centre is in contact again.
const CONTACT_SPAN: u32 = ticks(6_000);

/// Age of a neighbour's report that still counts.
const REPORT_AGE: u32 = ticks(1_000);

/// Time after which an order that was accepted before a later one has taken effect.
const CANCEL_TIME: u32 = ticks(2_000);

impl World {
    pub(crate) fn is_coordinator(&self, vm: usize) -> bool {
        self.vms[vm].lease.token(time(self.tick)).is_some()
            || (self.keeps_role(vm) && self.vms[vm].lease.last_token().is_some())
    }

    /// Returns whether a VM stays the coordinator for a while.
    pub(crate) fn keeps_role_for(&self, vm: usize, margin: Duration) -> bool {
        let lease = &self.vms[vm].lease;
        lease.token(time(self.tick) + margin).is_some()
            || (self.keeps_role(vm) && lease.last_token().is_some())
    }

    /// Returns whether a VM is the coordinator, runs no failover, and has no order open.
    pub(crate) fn is_at_rest(&self, vm: usize) -> bool {
        let watch = &self.vms[vm].watch;
        self.is_coordinator(vm) && watch.running.is_none() && self.is_settled(vm)
    }

    /// Returns whether a VM is the coordinator, and no order of it or others is open.
    pub(crate) fn has_no_order(&self, vm: usize) -> bool {
        self.is_coordinator(vm) && self.is_settled(vm)
    }

    /// Returns whether no older order can be carried out any more.
    fn is_settled(&self, vm: usize) -> bool {
        let Vm { watch, view, memory, .. } = &self.vms[vm];
        match self.changes.cancels {
            false => memory.open_order(&group()).is_none(),
            true => watch.cancelled.is_some_and(|(since, primary)| {
                primary == view.primary && self.tick - since >= CANCEL_TIME
            }),
        }
    }

    /// Orders the promotion of the present primary, which changes nothing but makes the platform
    /// refuse older orders.
    pub(crate) fn cancel_orders(&mut self, vm: usize) {
        let (tick, primary) = (self.tick, self.vms[vm].view.primary);
        let is_recent = tick - self.vms[vm].view.last_response < PROBE_AFTER;
        let is_done = self.vms[vm].watch.cancelled.is_some_and(|(_, told)| told == primary);
        let Some(server) = primary.filter(|_| is_recent && !is_done) else { return };
        let Some(token) = self.next_token(vm) else { return };
        let order = Order { server, token, rank: self.orders };
        if !self.answers(Node::Vm(vm), Node::Store) {
            return;
        }
        if self.platform.accept(order, &self.servers, tick) == Answer::Accepted {
            self.vms[vm].watch.cancelled = Some((tick, primary));
        }
    }

    pub(crate) fn next_token(&mut self, vm: usize) -> Option<FencingToken> {
        let now = time(self.tick);
        let keeps_role = self.keeps_role(vm);
        let lease = &mut self.vms[vm].lease;
        let held = lease.token(now).or(lease.last_token().filter(|_| keeps_role))?;
        let token = lease.next_order(held)?;
        self.orders += 1;
        Some(token)
    }

    /// Returns whether the holder of the lease may act in an outage of the directory.
    fn keeps_role(&self, vm: usize) -> bool {
        let silent = self.vms[vm].silent;
        let in_contact = silent.is_none_or(|at| self.tick - at >= CONTACT_SPAN);
        let heard: Vec<usize> = self.heard_vms(vm).collect();
        let missing_vms = self.vms.len() - 1 - heard.len();
        let answered = heard.into_iter().chain([vm]).any(|other| self.reaches_directory(other));
        Outage { answered, missing_vms, in_contact }.keeps_role()
    }

    /// Returns the other VMs that were heard lately.
    pub(crate) fn heard_vms(&self, vm: usize) -> impl Iterator<Item = usize> + '_ {
        let is_heard = move |other: &usize| self.tick - self.vms[vm].heard[*other] < REPORT_AGE;
        (0..self.vms.len()).filter(move |other| *other != vm).filter(is_heard)
    }
}
