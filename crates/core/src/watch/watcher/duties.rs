//! What a watcher does all the time: polling, the member list, and telling
//! subscribers and other watchers.

use std::time::Duration;

use crate::{
    id::ServerId,
    position::Position,
    time::Time,
    view::ServerView,
    watch::{
        members::{MemberList, next_list},
        message::Action,
        status::ServerRole,
        suspicion::{Observation, SUSPECT},
        watcher::{Judgement, Told, Watcher},
    },
};

/// Time between two status requests to one server while something is amiss.
const HASTY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unanswered status request is given up.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two observations to the other watchers while something is
/// amiss.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which another watcher's alarm keeps this one asking often.
const ALERT: Duration = Duration::from_secs(2);
/// Least time between two views that differ only in details.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a new primary is asked often.
const SETTLE: Duration = Duration::from_millis(1_000);
/// Least time between two changes of the member list.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(1_000);

impl Watcher {
    pub(super) fn poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        let hasty = self.is_hasty(now);
        let servers: Vec<ServerId> = self.links.keys().cloned().collect();
        for server in servers {
            let every = match () {
                () if hasty => HASTY_INTERVAL,
                () if self.view.primary.as_ref() == Some(&server) => self.intervals.primary,
                () => self.intervals.replica,
            };
            self.poll_one(server, every, now, actions);
        }
    }

    /// Tells whether something is amiss or about to change, so that all servers
    /// are asked often.
    pub(super) fn is_hasty(&self, now: Time) -> bool {
        let Some(primary) = &self.view.primary else { return true };
        let missed = self.links.get(primary).is_none_or(|link| link.missed.is_some());
        let moving = self.attempt.is_some() || !self.plan.serves(primary);
        let alerted = self.alerted.is_some_and(|at| now.since(at) < ALERT);
        missed
            || moving
            || alerted
            || self.unfit.is_some()
            || now.since(self.primary_since) < SETTLE
    }

    /// Makes the next status request to the primary due at once.
    pub(super) fn hurry_poll(&mut self) {
        if let Some(primary) = self.view.primary.clone() {
            self.link(primary).polled = None;
        }
    }

    pub(super) fn poll_one(
        &mut self,
        server: ServerId,
        every: Duration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let link = self.link(server.clone());
        let waiting = link.asked.is_some_and(|at| now.since(at) < POLL_TIMEOUT);
        if let Some(asked) = link.asked.filter(|_| !waiting) {
            link.missed.get_or_insert(asked);
        }
        let recent = link.polled.is_some_and(|at| now.since(at) < every);
        if waiting || recent {
            return;
        }
        link.asked = Some(now);
        link.polled = Some(now);
        out.push(Action::Poll(server));
    }

    pub(super) fn change_members(&mut self, now: Time, actions: &mut Vec<Action>) {
        let idle = self.attempt.is_none() && self.judge(now) == Judgement::Healthy;
        if !idle || now < self.members_due || self.plan.servers.is_empty() {
            return;
        }
        let (Some(primary), Some(status)) = (self.view.primary.clone(), self.primary_status())
        else {
            return;
        };
        if status.role != ServerRole::Primary || status.term != self.view.term {
            return;
        }
        let current =
            MemberList { version: status.members_version, servers: status.members.clone() };
        let reachable = |server: &ServerId| self.is_reachable(server, now);
        if let Some(members) = next_list(&current, &self.plan, &primary, reachable) {
            let term = self.view.term;
            actions.push(Action::SetMembers { server: primary, term, members });
            self.members_due = now + MEMBERS_INTERVAL * (self.rank() + 1);
        }
    }

    pub(super) fn publish(&mut self, now: Time, actions: &mut Vec<Action>) {
        let moved = self.published.as_ref().is_none_or(|(view, _)| {
            (view.term, &view.primary) != (self.view.term, &self.view.primary)
        });
        let recent =
            self.published.as_ref().is_some_and(|(_, at)| now.since(*at) < PUBLISH_INTERVAL);
        if self.view.primary.is_none() || (recent && !moved) {
            return;
        }
        self.view.servers =
            self.links.keys().map(|s| (s.clone(), self.server_view(s, now))).collect();
        if self.published.as_ref().is_none_or(|(view, _)| *view != self.view) {
            self.published = Some((self.view.clone(), now));
            actions.push(Action::Publish(self.view.clone()));
        }
    }

    pub(super) fn server_view(&self, server: &ServerId, now: Time) -> ServerView {
        let applied = self.known.get(server).map(|s| Position::new(s.term, s.applied));
        let reachable = self.is_reachable(server, now);
        ServerView { reachable, applied: applied.unwrap_or_default() }
    }

    pub(super) fn tell(&mut self, now: Time, actions: &mut Vec<Action>) {
        let judgement = self.judge(now);
        let every = if self.is_hasty(now) { TELL_INTERVAL } else { self.intervals.observation };
        let primary = (self.view.term, self.view.primary.clone());
        let quiet = self.told.as_ref().is_some_and(|told| {
            let same = told.judgement == judgement && told.primary == primary;
            same && now.since(told.at) < every
        });
        if quiet {
            return;
        }
        self.told = Some(Told { judgement, primary, at: now });
        let lost = self.primary_status().and_then(|s| s.majority_age).is_some_and(|a| a >= SUSPECT);
        let observation = Observation {
            view: self.view.clone(),
            silence: self.silence(now),
            has_majority: !lost,
        };
        actions.push(Action::SendObservation(observation));
    }
}
