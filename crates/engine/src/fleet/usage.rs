//! Choice of the VMs that collect the counts of usage reports.

use std::{collections::BTreeMap, rc::Rc};

use chicoryhollow_core::{DataCentreId, VmId, rank::rank};

use crate::fleet::{Fleet, Link};

/// Role for which collectors are ranked.
const COLLECTOR_ROLE: &str = "usage";

/// Number of collectors of a data centre. When half of the VMs lose power at once, each of
/// four is gone in one data centre out of sixteen.
pub(crate) const COLLECTORS: usize = 4;

/// Number of VMs of a data centre among which its collectors are: some may be unreachable.
const MAX_CANDIDATES: usize = 8;

/// A VM that can be reached.
pub(crate) enum Reached {
    /// This VM.
    Here,
    /// A linked VM.
    Linked(VmId, Rc<Link>),
}

impl Fleet {
    /// Returns the first choices for collectors in each data centre, best first. VMs that
    /// have fallen silent come last.
    pub(crate) fn collectors(&self) -> BTreeMap<DataCentreId, Vec<VmId>> {
        let mut centres: BTreeMap<DataCentreId, Vec<VmId>> = BTreeMap::new();
        let (members, me) = (self.members.borrow(), self.me.borrow());
        for member in members.values().chain(me.as_ref()) {
            centres.entry(member.data_centre.clone()).or_default().push(member.vm.clone());
        }
        let missing = self.missing.borrow();
        for vms in centres.values_mut() {
            let (gone, present): (Vec<VmId>, Vec<VmId>) =
                vms.drain(..).partition(|vm| missing.contains(vm));
            let mut best = rank(COLLECTOR_ROLE, present.iter(), MAX_CANDIDATES);
            best.extend(rank(COLLECTOR_ROLE, gone.iter(), MAX_CANDIDATES));
            best.truncate(MAX_CANDIDATES);
            *vms = best.into_iter().cloned().collect();
        }
        centres
    }

    /// Returns the first `count` of `candidates` that can be reached, and requests that those
    /// before them are dialled.
    pub(crate) fn reach(&self, candidates: &[VmId], count: usize) -> Vec<Reached> {
        let mut reached = Vec::new();
        for vm in candidates {
            if reached.len() == count {
                break;
            }
            if self.me.borrow().as_ref().is_some_and(|me| me.vm == *vm) {
                reached.push(Reached::Here);
            } else if let Some(link) = self.link(vm) {
                reached.push(Reached::Linked(vm.clone(), link));
            } else {
                self.request_dial(vm);
            }
        }
        reached
    }
}
