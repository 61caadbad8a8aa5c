//! VMs that receive the views of one watched group.

use std::{collections::HashMap, time::Duration};

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;

use super::convert::encode_view;
use crate::peers::Reply;

/// Time after which a subscription ends if it is not renewed.
const SUBSCRIPTION_DURATION: Duration = Duration::from_secs(90);

/// Minimum time between two views with the same primary and term.
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
    /// Creates an empty set of subscribers.
    pub(super) fn new() -> Self {
        Subscribers::default()
    }

    /// Adds or renews a subscription and answers it with `view`.
    pub(super) fn add(&mut self, vm: VmId, reply: Reply, view: &GroupView, now: Time) {
        reply.send(Body::View(encode_view(view)));
        self.subscribers.insert(vm, Subscriber { reply, renewed: now });
    }

    /// Sends a changed view. A new primary or term is sent immediately, other
    /// changes at most once per [`DETAIL_INTERVAL`].
    pub(super) fn publish(&mut self, view: &GroupView, now: Time) {
        let only_details = self.sent.as_ref().is_some_and(|(sent, at)| {
            let same = sent.term == view.term && sent.primary == view.primary;
            same && now.since(*at) < DETAIL_INTERVAL
        });
        if only_details {
            return;
        }
        self.sent = Some((view.clone(), now));
        let message = encode_view(view);
        for subscriber in self.subscribers.values() {
            // A subscriber that misses a view receives it after its next renewal.
            subscriber.reply.send(Body::View(message.clone()));
        }
    }

    /// Removes subscribers that have disconnected or have not renewed their
    /// subscription.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.subscribers.retain(|_, subscriber| {
            !subscriber.reply.is_closed() && now.since(subscriber.renewed) < SUBSCRIPTION_DURATION
        });
    }
}
