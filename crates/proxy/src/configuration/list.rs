//! The list of VMs, which is read from the platform or received from other VMs.

use std::{collections::HashMap, sync::Arc, time::Duration};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use bytes::Bytes;
use chicoryhollow_config::reader::Member;
use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::{
    Body,
    member::{MembersAnswer, MembersAsk},
};
use chicoryhollow_store::{Platform, Roster, Update, VmState};
use rand::seq::IndexedRandom;

use super::{follower::Follower, seed};
use crate::peers::Reply;

/// Time between two requests to the seeds in the settings.
pub(super) const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// The newest known list of VMs, and the requests that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct VmList {
    roster: Roster,
    requests: HashMap<VmId, Time>,
    /// Whether the changes in an answer could not be applied to the list, so that a
    /// whole list must be requested.
    is_damaged: bool,
}

impl VmList {
    /// Returns the request to one VM, and records when it was made.
    pub(super) fn request(&mut self, vm: &VmId, now: Time) -> Body {
        self.requests.entry(vm.clone()).or_insert(now);
        let hash = if self.is_damaged { 0 } else { self.roster.hash() };
        Body::MembersAsk(MembersAsk { hash })
    }

    /// Answers the request of another VM.
    pub(super) fn answer(&self, request: &MembersAsk, reply: &Reply, now: Time) {
        let Some(update) = self.roster.answer(request.hash, now) else { return };
        let age_ms = u64::try_from(update.age.as_millis()).unwrap_or(u64::MAX);
        // If the answer is lost, the VM asks again.
        reply.send(Body::MembersAnswer(MembersAnswer {
            hash: update.hash,
            base: update.base.unwrap_or(0),
            json: Bytes::from(update.json),
            age_ms: age_ms.saturating_add(1),
        }));
    }

    /// Applies an answer. Returns whether the list changed.
    fn apply_answer(&mut self, from: &VmId, answer: MembersAnswer) -> bool {
        let Some(asked) = self.requests.remove(from) else { return false };
        let accepted = self.roster.accept(&decode_update(answer), asked);
        self.is_damaged = accepted.is_err();
        accepted.unwrap_or(false)
    }
}

fn decode_update(answer: MembersAnswer) -> Update {
    Update {
        hash: answer.hash,
        base: (answer.base != 0).then_some(answer.base),
        json: answer.json.to_vec(),
        age: Duration::from_millis(answer.age_ms),
    }
}

impl Follower {
    /// Reads the list from the platform.
    pub(super) fn read_list(&self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let read = self.node.clock.now();
        let request = async move { platform.vms().await };
        let answered = request.into_actor(self).map(move |answer, follower, _| {
            follower.record_answer(&answer);
            if let Ok(vms) = answer
                && follower.list.roster.replace(vms, read)
            {
                follower.publish_list();
            }
        });
        context.spawn(answered);
    }

    /// Asks a seed in the settings for the list while no list is known and the
    /// platform does not answer.
    pub(super) fn request_from_seed(&self, context: &mut Context<Self>) {
        if !self.platform_silent || self.list.roster.hash() != 0 {
            return;
        }
        let Some(address) = self.node.settings.seeds.choose(&mut rand::rng()) else { return };
        let asked = self.node.clock.now();
        let request = seed::request_list(Arc::clone(&self.node), *address);
        let answered = request.into_actor(self).map(move |answer, follower, _| {
            let Some(answer) = answer else { return };
            if follower.list.roster.hash() == 0
                && follower.list.roster.accept(&decode_update(answer), asked) == Ok(true)
            {
                follower.publish_list();
            }
        });
        context.spawn(answered);
    }

    /// Applies the answer of another VM.
    pub(super) fn apply_list(&mut self, from: &VmId, answer: MembersAnswer) {
        if self.list.apply_answer(from, answer) {
            self.publish_list();
        }
    }

    /// Passes a changed list to the state of the configuration and to the rest of the
    /// daemon.
    fn publish_list(&mut self) {
        let vms = self.list.roster.vms();
        let live = vms.iter().filter(|vm| vm.state == VmState::Live);
        let members = live.map(|listed| Member {
            vm: listed.vm.clone(),
            data_centre: listed.data_centre.clone(),
        });
        self.state.set_members(members);
        self.node.members.replace(vms);
    }
}
