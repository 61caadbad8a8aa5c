//! State machine of one watcher of one group.
//!
//! A watcher polls the servers, decides whether the primary is healthy and
//! starts a promotion if it is not. The periodic actions are in the module
//! `maintenance`, the decisions about promotions in `promotion`.

mod maintenance;
mod promotion;

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

use crate::{
    id::{GroupId, Incarnation, ServerId, VmId},
    position::{Position, Term},
    time::Time,
    view::GroupView,
    watch::{
        attempt::Attempt,
        members::newest_list,
        message::{Action, Event, Promotion},
        pace::Intervals,
        place::WatcherPlace,
        plan::GroupPlan,
        status::{FenceOwner, ServerRole, ServerStatus},
        suspicion::{Observation, ReceivedObservation, SUSPICION_TIMEOUT},
    },
};

/// Time for which requests to the primary have to fail before the primary
/// counts as silent.
const SILENCE_CONFIRMATION_TIME: Duration = Duration::from_millis(500);
/// Time without a call after which this VM counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// The times of status requests to one server and of its answers.
#[derive(Clone, Debug, Default)]
struct PollState {
    /// When the server last answered.
    reached: Option<Time>,
    /// When the request that is not answered yet was sent.
    pending: Option<Time>,
    /// When the first failed request since the last answer was sent.
    missed: Option<Time>,
    /// When the last status request was sent.
    polled: Option<Time>,
    /// Position that the server reported before its last status.
    previous: Option<Position>,
}

/// This watcher's own opinion of the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PrimaryHealth {
    Healthy,
    /// The primary does not answer.
    Silent,
    /// The primary answers but cannot confirm writes.
    CannotConfirm,
}

/// The content of the last observation sent to the other watchers, and when it
/// was sent.
#[derive(Clone, Debug)]
struct SentObservation {
    health: PrimaryHealth,
    primary: (Term, Option<ServerId>),
    at: Time,
}

/// Watches one group on one VM.
#[derive(Debug)]
pub struct Watcher {
    vm: VmId,
    owner: FenceOwner,
    plan: GroupPlan,
    places: Vec<WatcherPlace>,
    view: GroupView,
    known: IndexMap<ServerId, ServerStatus>,
    polls: IndexMap<ServerId, PollState>,
    observations: IndexMap<VmId, ReceivedObservation>,
    attempt: Option<Attempt>,
    /// Highest term seen in any status, view or attempt.
    highest_term: Term,
    /// When the watcher was created or last resumed after a pause.
    started: Time,
    /// Since when the present primary, or the lack of one, is known. Restarts
    /// after a pause.
    primary_since: Time,
    /// Since when the primary has reported that it cannot confirm writes.
    cannot_confirm: Option<Time>,
    /// Since when a server is fenced above the present term.
    fenced_since: Option<Time>,
    intervals: Intervals,
    last_call: Time,
    /// When the required promotion starts.
    intent_due: Option<Time>,
    /// Earliest start of the next attempt after a failed one.
    not_before: Time,
    /// Number of failed attempts since the last change of term or primary.
    tries: u32,
    /// Earliest time of the next change of the member list.
    members_due: Time,
    published: Option<(GroupView, Time)>,
    last_sent: Option<SentObservation>,
    /// When another watcher last reported a problem with the primary.
    alerted: Option<Time>,
    /// Since when the group has been unstable.
    unstable_since: Option<Time>,
}

impl Watcher {
    /// Creates the watcher of `group` on `vm`, without any knowledge of the
    /// group.
    pub fn new(group: GroupId, vm: VmId, incarnation: Incarnation, now: Time) -> Self {
        Watcher {
            owner: FenceOwner::new(&vm, incarnation),
            vm,
            plan: GroupPlan::default(),
            places: Vec::new(),
            view: GroupView::new(group),
            known: IndexMap::new(),
            polls: IndexMap::new(),
            observations: IndexMap::new(),
            attempt: None,
            highest_term: Term::default(),
            started: now,
            primary_since: now,
            cannot_confirm: None,
            fenced_since: None,
            intervals: Intervals::default(),
            last_call: now,
            intent_due: None,
            not_before: now,
            tries: 0,
            members_due: now,
            published: None,
            last_sent: None,
            alerted: None,
            unstable_since: None,
        }
    }

    /// Sets how often servers are polled while the group is stable.
    pub fn set_intervals(&mut self, intervals: Intervals) {
        self.intervals = intervals;
    }

    /// Replaces the configured servers and the VMs that watch the group, which
    /// are sorted by rank.
    pub fn configure(&mut self, plan: GroupPlan, places: Vec<WatcherPlace>) {
        self.observations.retain(|vm, _| places.iter().any(|place| place.vm == *vm));
        self.plan = plan;
        self.places = places;
        self.drop_unlisted();
    }

    /// Returns the watcher with the term and primary of a view that another VM
    /// held, so that it does not have to search for the primary.
    pub fn with_view(mut self, view: &GroupView, now: Time) -> Self {
        self.adopt(view.term, view.primary.clone(), view, now);
        self
    }

    /// Returns the watcher's current view of the group.
    pub fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the promotion that this watcher is running, if there is one.
    pub fn promotion(&self) -> Option<Promotion> {
        let attempt = self.attempt.as_ref()?;
        Some(Promotion { term: attempt.term(), planned: attempt.is_planned() })
    }

    /// Returns whether this watcher itself finds that the primary has failed.
    pub fn is_suspecting(&self, now: Time) -> bool {
        self.view.primary.is_some() && self.primary_health(now) != PrimaryHealth::Healthy
    }

    /// Handles `event` and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut impl Rng) -> Vec<Action> {
        self.detect_pause(now);
        self.apply(now, event);
        self.fenced_since = self.has_fence().then(|| self.fenced_since.unwrap_or(now));
        self.unstable_since = self.is_unstable(now).then(|| self.unstable_since.unwrap_or(now));
        let mut actions = Vec::new();
        self.advance_attempt(now, rng, &mut actions);
        self.start_attempt(now, rng, &mut actions);
        self.poll(now, &mut actions);
        self.change_members(now, &mut actions);
        self.publish(now, &mut actions);
        self.send_observation(now, &mut actions);
        actions
    }

    /// Restarts all measurements of missing answers if this VM was paused,
    /// because a paused watcher misses answers of servers that have not failed.
    fn detect_pause(&mut self, now: Time) {
        if now.since(self.last_call) >= PAUSE_THRESHOLD {
            self.primary_since = now;
            self.cannot_confirm = None;
            self.fenced_since = None;
            self.started = now;
            self.polls.values_mut().for_each(|state| state.missed = None);
            self.observations.clear();
        }
        self.last_call = now;
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => {}
            Event::Status(server, status) => self.record_status(now, server, status),
            Event::RequestFailed(server) => self.record_failure(now, server),
            Event::Fenced(server, term, granted, status) => {
                self.record_status(now, server.clone(), status.clone());
                if let Some(attempt) = self.attempt.as_mut().filter(|a| a.term() == term) {
                    attempt.record_fence(server, granted, status);
                }
            }
            Event::Quiesced(server, quiet) => {
                if let Some(attempt) = self.attempt.as_mut() {
                    attempt.record_quiesce(&server, quiet, now);
                }
            }
            Event::Promoted(server, term, granted) => {
                if let Some(attempt) =
                    self.attempt.as_mut().filter(|a| a.term() == term && !granted)
                {
                    attempt.record_refusal(&server);
                }
            }
            Event::Observation(vm, observation) => self.record_observation(now, vm, observation),
            Event::Suspected => self.expedite_poll(),
        }
    }

    fn record_status(&mut self, now: Time, server: ServerId, status: ServerStatus) {
        self.highest_term = self.highest_term.max(status.highest_term());
        let previous = self.known.get(&server).map(ServerStatus::position);
        let state = self.poll_state(server.clone());
        state.reached = Some(now);
        state.pending = None;
        state.missed = None;
        state.previous = previous;
        if status.role == ServerRole::Primary {
            self.learn_primary(now, &server, &status);
        }
        if self.view.primary.as_ref() == Some(&server) {
            let able = self.can_confirm(&status);
            self.cannot_confirm = if able { None } else { self.cannot_confirm.or(Some(now)) };
        }
        self.known.insert(server, status);
        self.drop_unlisted();
    }

    fn can_confirm(&self, status: &ServerStatus) -> bool {
        let open = status.role == ServerRole::Primary && status.term == self.view.term;
        open && status.majority_age.is_some_and(|age| age < SUSPICION_TIMEOUT)
    }

    fn record_failure(&mut self, now: Time, server: ServerId) {
        let state = self.poll_state(server);
        let pending = state.pending.take().unwrap_or(now);
        state.missed.get_or_insert(pending);
    }

    fn learn_primary(&mut self, now: Time, server: &ServerId, status: &ServerStatus) {
        let vacant = status.term == self.view.term && self.view.primary.is_none();
        if status.term > self.view.term || vacant {
            let mut view = GroupView::new(self.view.group.clone());
            view.history = status.history.clone();
            self.adopt(status.term, Some(server.clone()), &view, now);
        }
        let is_primary = self.view.primary.as_ref() == Some(server);
        if status.term == self.view.term && is_primary && self.view.history.is_empty() {
            self.view.history.clone_from(&status.history);
        }
    }

    fn record_observation(&mut self, now: Time, vm: VmId, observation: Observation) {
        let seen = &observation.view;
        let vacant = seen.term == self.view.term && self.view.primary.is_none();
        if seen.term > self.view.term || (vacant && seen.primary.is_some()) {
            self.adopt(seen.term, seen.primary.clone(), seen, now);
        }
        if self.places.iter().any(|place| place.vm == vm) {
            if !observation.silence.is_zero() || !observation.has_majority {
                self.alerted = Some(now);
            }
            self.observations.insert(vm, ReceivedObservation { observation, at: now });
        }
    }

    fn adopt(&mut self, term: Term, primary: Option<ServerId>, from: &GroupView, now: Time) {
        self.highest_term = self.highest_term.max(term);
        self.view.term = term;
        self.view.primary = primary;
        self.view.history.clone_from(&from.history);
        self.primary_since = now;
        self.cannot_confirm = None;
        self.tries = 0;
        self.intent_due = None;
        if self.attempt.as_ref().is_some_and(|attempt| attempt.term() <= term) {
            self.attempt = None;
        }
    }

    fn poll_state(&mut self, server: ServerId) -> &mut PollState {
        self.polls.entry(server).or_default()
    }

    /// Removes servers that are neither configured nor members.
    fn drop_unlisted(&mut self) {
        let members = newest_list(self.known.values()).unwrap_or_default();
        let listed = |server: &ServerId| {
            self.plan.servers.contains_key(server) || members.servers.contains(server)
        };
        self.known.retain(|server, _| listed(server));
        self.polls.retain(|server, _| listed(server));
        for server in self.plan.servers.keys().chain(&members.servers) {
            self.polls.entry(server.clone()).or_default();
        }
    }

    fn primary_health(&self, now: Time) -> PrimaryHealth {
        if self.silence(now) >= SUSPICION_TIMEOUT {
            return PrimaryHealth::Silent;
        }
        let lost = self.primary_status().is_some_and(|status| {
            status.role == ServerRole::Primary
                && status.term == self.view.term
                && status.majority_age.is_none_or(|age| age >= SUSPICION_TIMEOUT)
        });
        let cannot_confirm =
            self.cannot_confirm.is_some_and(|since| now.since(since) >= SUSPICION_TIMEOUT);
        if self.view.primary.is_some() && (lost || cannot_confirm) {
            return PrimaryHealth::CannotConfirm;
        }
        PrimaryHealth::Healthy
    }

    /// Returns the time for which the primary has not answered requests.
    ///
    /// If the primary is polled rarely, its last answer may be old although no
    /// request has failed. The time therefore counts only if a request has
    /// failed and [`SILENCE_CONFIRMATION_TIME`] has passed since that request
    /// was sent. Until then the result is zero.
    fn silence(&self, now: Time) -> Duration {
        let Some(primary) = &self.view.primary else {
            return now.since(self.primary_since);
        };
        let state = self.polls.get(primary);
        let missed = state.and_then(|state| state.missed);
        if missed.is_none_or(|at| now.since(at) < SILENCE_CONFIRMATION_TIME) {
            return Duration::ZERO;
        }
        let reached = state.and_then(|state| state.reached).unwrap_or(self.primary_since);
        now.since(reached.max(self.primary_since))
    }

    fn primary_status(&self) -> Option<&ServerStatus> {
        self.known.get(self.view.primary.as_ref()?)
    }

    fn is_reachable(&self, server: &ServerId, now: Time) -> bool {
        let Some(state) = self.polls.get(server) else { return false };
        let rarely_polled = state.missed.is_none() && !self.is_unstable(now);
        let limit = if rarely_polled {
            SUSPICION_TIMEOUT + self.intervals.replica
        } else {
            SUSPICION_TIMEOUT
        };
        state.reached.is_some_and(|at| now.since(at) < limit)
    }

    /// Returns whether all servers of the group were reached and none of them
    /// knows of an earlier primary.
    fn is_unstarted(&self, now: Time) -> bool {
        let servers = &self.plan.servers;
        !servers.is_empty()
            && self.highest_term == Term::default()
            && servers.keys().all(|server| self.is_reachable(server, now))
    }

    fn rank(&self) -> u32 {
        let found = self.places.iter().position(|place| place.vm == self.vm);
        u32::try_from(found.unwrap_or(self.places.len())).unwrap_or(u32::MAX)
    }
}
