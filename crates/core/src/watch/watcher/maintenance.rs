//! Periodic actions of a watcher: polling servers, changing the member list,
//! publishing views to subscribers and sending observations to other watchers.

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
        suspicion::{Observation, SUSPICION_TIMEOUT},
        watcher::{PrimaryHealth, SentObservation, Watcher},
    },
};

/// Time between two status requests to one server while the group is unstable.
const UNSTABLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unanswered status request counts as failed.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two observations to the other watchers while the group is
/// unstable.
const UNSTABLE_OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which this watcher polls often after another watcher reported a
/// problem.
const ALERT_PERIOD: Duration = Duration::from_secs(2);
/// Least time between two published views with the same term and primary.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a new primary is polled often.
const NEW_PRIMARY_PERIOD: Duration = Duration::from_millis(1_000);
/// Least time between two changes of the member list.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(1_000);

impl Watcher {
    pub(super) fn poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        let unstable = self.is_unstable(now);
        let servers: Vec<ServerId> = self.polls.keys().cloned().collect();
        for server in servers {
            let every = match () {
                () if unstable => UNSTABLE_POLL_INTERVAL,
                () if self.view.primary.as_ref() == Some(&server) => self.intervals.primary,
                () => self.intervals.replica,
            };
            self.poll_one(server, every, now, actions);
        }
    }

    /// Returns whether the group is unstable: the primary is unknown, new or
    /// about to change, or there is a sign that it has failed. All servers are
    /// then polled often.
    pub(super) fn is_unstable(&self, now: Time) -> bool {
        let Some(primary) = &self.view.primary else { return true };
        let missed = self.polls.get(primary).is_none_or(|state| state.missed.is_some());
        let moving = self.attempt.is_some() || !self.plan.is_in_service(primary);
        let alerted = self.alerted.is_some_and(|at| now.since(at) < ALERT_PERIOD);
        missed
            || moving
            || alerted
            || self.cannot_confirm.is_some()
            || now.since(self.primary_since) < NEW_PRIMARY_PERIOD
    }

    /// Makes the next status request to the primary due at once.
    pub(super) fn expedite_poll(&mut self) {
        if let Some(primary) = self.view.primary.clone() {
            self.poll_state(primary).polled = None;
        }
    }

    pub(super) fn poll_one(
        &mut self,
        server: ServerId,
        every: Duration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let state = self.poll_state(server.clone());
        let waiting = state.pending.is_some_and(|at| now.since(at) < POLL_TIMEOUT);
        if let Some(pending) = state.pending.filter(|_| !waiting) {
            state.missed.get_or_insert(pending);
        }
        let recent = state.polled.is_some_and(|at| now.since(at) < every);
        if waiting || recent {
            return;
        }
        state.pending = Some(now);
        state.polled = Some(now);
        out.push(Action::Poll(server));
    }

    pub(super) fn change_members(&mut self, now: Time, actions: &mut Vec<Action>) {
        let idle = self.attempt.is_none() && self.primary_health(now) == PrimaryHealth::Healthy;
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
            self.polls.keys().map(|s| (s.clone(), self.server_view(s, now))).collect();
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

    pub(super) fn send_observation(&mut self, now: Time, actions: &mut Vec<Action>) {
        let health = self.primary_health(now);
        let every = if self.is_unstable(now) {
            UNSTABLE_OBSERVATION_INTERVAL
        } else {
            self.intervals.observation
        };
        let primary = (self.view.term, self.view.primary.clone());
        let quiet = self.last_sent.as_ref().is_some_and(|sent| {
            let same = sent.health == health && sent.primary == primary;
            same && now.since(sent.at) < every
        });
        if quiet {
            return;
        }
        self.last_sent = Some(SentObservation { health, primary, at: now });
        let lost = self
            .primary_status()
            .and_then(|s| s.majority_age)
            .is_some_and(|a| a >= SUSPICION_TIMEOUT);
        let observation = Observation {
            view: self.view.clone(),
            silence: self.silence(now),
            has_majority: !lost,
        };
        actions.push(Action::SendObservation(observation));
    }
}
