//! VMs that receive the views of one watched group.

use std::{collections::HashMap, time::Duration};

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;

use super::convert::view_message;
use crate::peers::Reply;

/// Time for which a subscription holds without being renewed.
const LEASE: Duration = Duration::from_secs(90);

/// Least time between two views that differ only in details.
const DETAIL_INTERVAL: Duration = Duration::from_secs(1);

struct Subscriber {
    reply: Reply,
    renewed: Time,
}

/// VMs that receive the views of one watched group.
#[derive(Default)]
pub(super) struct Subscribers {
    subscribers: HashMap<VmId, Subscriber>,
    sent: Option<(GroupView, Time)>,
}

impl Subscribers {
    /// Makes a set without subscribers.
    pub(super) fn new() -> Self {
        Subscribers::default()
    }

    /// Adds or renews a subscription and answers it with `view`.
    pub(super) fn add(&mut self, vm: VmId, reply: Reply, view: &GroupView, now: Time) {
        reply.send(Body::View(view_message(view)));
        self.subscribers.insert(vm, Subscriber { reply, renewed: now });
    }

    /// Sends a changed view: a new primary at once, details now and then.
    pub(super) fn publish(&mut self, view: &GroupView, now: Time) {
        let details = self.sent.as_ref().is_some_and(|(sent, at)| {
            let same = sent.term == view.term && sent.primary == view.primary;
            same && now.since(*at) < DETAIL_INTERVAL
        });
        if details {
            return;
        }
        self.sent = Some((view.clone(), now));
        let message = view_message(view);
        for subscriber in self.subscribers.values() {
            // A subscriber that misses a view receives it with its renewal.
            subscriber.reply.send(Body::View(message.clone()));
        }
    }

    /// Forgets subscribers that are gone.
    pub(super) fn tick(&mut self, now: Time) {
        self.subscribers.retain(|_, subscriber| {
            !subscriber.reply.is_closed() && now.since(subscriber.renewed) < LEASE
        });
    }
}
