//! The sum of the counts of the VMs of one data centre.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    id::{Incarnation, VmId},
    time::Time,
    usage::{BookAccount, Change, Offset, OffsetSamples, Sums, WindowId},
};

/// Age up to which the time of day of a VM is used.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);

/// A daemon that sends its counts. After a restart it counts anew.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Sender {
    /// VM of the daemon.
    pub vm: VmId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Received {
    totals: Sums,
    offset: Offset,
    heard: Time,
}

/// Adds up the counts of several VMs. Each count of a sender is a total, so it may arrive
/// several times.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    senders: IndexMap<Sender, Received>,
    sums: Sums,
}

impl Collector {
    /// Records the time of day that a sender told at `now`.
    pub fn record_clock(&mut self, sender: &Sender, offset: Offset, now: Time) {
        let received = self.received(sender, now);
        (received.offset, received.heard) = (offset, now);
    }

    /// Records a count of a sender, and returns the sum over all senders.
    pub fn receive(
        &mut self,
        sender: &Sender,
        change: &Change<BookAccount>,
        now: Time,
    ) -> Change<BookAccount> {
        let totals = &mut self.received(sender, now).totals;
        let gained = totals.raise(change.window, &change.key, change.count);
        self.sums.add(change.window, &change.key, gained);
        Change { count: self.sums.count(change.window, &change.key), ..change.clone() }
    }

    /// Returns the sums over all senders.
    pub fn sums(&self) -> &Sums {
        &self.sums
    }

    /// Returns the offsets that the senders' times of day give.
    pub fn samples(&self, now: Time) -> OffsetSamples {
        let mut samples = OffsetSamples::default();
        let recent = |received: &&Received| now.since(received.heard) <= MAX_SAMPLE_AGE;
        self.senders.values().filter(recent).for_each(|received| samples.add(received.offset));
        samples
    }

    /// Forgets the windows before `first`, and the senders without any.
    pub fn expire(&mut self, first: WindowId, now: Time) {
        self.sums.expire(first);
        self.senders.values_mut().for_each(|received| received.totals.expire(first));
        self.senders.retain(|_, received| {
            received.totals.first_window().is_some() || now.since(received.heard) <= MAX_SAMPLE_AGE
        });
    }

    fn received(&mut self, sender: &Sender, now: Time) -> &mut Received {
        self.senders.entry(sender.clone()).or_insert_with(|| Received {
            totals: Sums::default(),
            offset: Offset::default(),
            heard: now,
        })
    }
}
