//! The state machine of one watcher of one group.

mod duties;

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::{
    id::{DataCentreId, GroupId, Incarnation, ServerId, VmId},
    position::{Position, Term},
    time::Time,
    view::GroupView,
    watch::{
        attempt::{Attempt, Order, Step},
        election::Ballot,
        members::{MemberList, newest},
        message::{Action, Event, Promotion},
        pace::Intervals,
        place::WatcherPlace,
        plan::GroupPlan,
        status::{FenceOwner, ServerRole, ServerStatus},
        suspicion::{Heard, Observation, Panel, SUSPECT},
    },
};

/// Time between two status requests while a promotion waits for the answer.
const HASTY_POLL: Duration = Duration::from_millis(15);
/// Time for which a primary must go on missing questions to count as silent.
const CONFIRM: Duration = Duration::from_millis(500);
/// Head start of each watcher over the next in rank.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Head start in a planned move, which takes longer than a failover's fences.
const PLANNED_RANK_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after a failed attempt; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(250);
/// Most doublings of [`BACKOFF`].
const BACKOFF_DOUBLINGS: u32 = 4;
/// Longest random part of a delay, in milliseconds.
const JITTER_MS: u64 = 100;
/// Gap between two calls that shows that this VM was paused.
const PAUSE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Default)]
struct Link {
    reached: Option<Time>,
    asked: Option<Time>,
    /// When the first request since the last answer was sent that failed.
    missed: Option<Time>,
    polled: Option<Time>,
    previous: Option<Position>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Judgement {
    Healthy,
    Silent,
    Unfit,
}

/// What the other watchers were last told, and when.
#[derive(Clone, Debug)]
struct Told {
    judgement: Judgement,
    primary: (Term, Option<ServerId>),
    at: Time,
}

#[derive(Clone, Debug)]
enum Intent {
    Failover,
    Move(ServerId, ServerId),
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
    links: IndexMap<ServerId, Link>,
    heard: IndexMap<VmId, Heard>,
    attempt: Option<Attempt>,
    highest: Term,
    started: Time,
    primary_since: Time,
    /// Since when the primary said that it cannot confirm writes.
    unfit: Option<Time>,
    intervals: Intervals,
    last_call: Time,
    intent_due: Option<Time>,
    not_before: Time,
    tries: u32,
    members_due: Time,
    published: Option<(GroupView, Time)>,
    told: Option<Told>,
    /// When another watcher last told that it finds something amiss.
    alerted: Option<Time>,
    /// Since when something has been amiss.
    alarm: Option<Time>,
}

impl Watcher {
    /// Makes the watcher of `group` on `vm`, which knows nothing yet.
    pub fn new(group: GroupId, vm: VmId, incarnation: Incarnation, now: Time) -> Self {
        Watcher {
            owner: FenceOwner::new(&vm, incarnation),
            vm,
            plan: GroupPlan::default(),
            places: Vec::new(),
            view: GroupView::new(group),
            known: IndexMap::new(),
            links: IndexMap::new(),
            heard: IndexMap::new(),
            attempt: None,
            highest: Term::default(),
            started: now,
            primary_since: now,
            unfit: None,
            intervals: Intervals::default(),
            last_call: now,
            intent_due: None,
            not_before: now,
            tries: 0,
            members_due: now,
            published: None,
            told: None,
            alerted: None,
            alarm: None,
        }
    }

    /// Sets how often servers are asked while nothing is amiss.
    pub fn set_intervals(&mut self, intervals: Intervals) {
        self.intervals = intervals;
    }

    /// Takes over the configured servers and the VMs that watch the group, best
    /// first.
    pub fn configure(&mut self, plan: GroupPlan, places: Vec<WatcherPlace>) {
        self.heard.retain(|vm, _| places.iter().any(|place| place.vm == *vm));
        self.plan = plan;
        self.places = places;
        self.drop_unlisted();
    }

    /// Starts from a view that another VM held.
    pub fn with_view(mut self, view: &GroupView, now: Time) -> Self {
        self.adopt(view.term, view.primary.clone(), view, now);
        self
    }

    /// Returns what the watcher believes of the group.
    pub fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the promotion that is under way.
    pub fn promotion(&self) -> Option<Promotion> {
        let attempt = self.attempt.as_ref()?;
        Some(Promotion { term: attempt.term(), planned: attempt.is_planned() })
    }

    /// Tells whether this watcher finds the primary failed.
    pub fn is_suspecting(&self, now: Time) -> bool {
        self.view.primary.is_some() && self.judge(now) != Judgement::Healthy
    }

    /// Takes in `event` and returns what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut impl Rng) -> Vec<Action> {
        self.note_pause(now);
        self.absorb(now, event);
        self.alarm = self.is_hasty(now).then(|| self.alarm.unwrap_or(now));
        let mut actions = Vec::new();
        self.advance_attempt(now, rng, &mut actions);
        self.consider(now, rng, &mut actions);
        self.poll(now, &mut actions);
        self.change_members(now, &mut actions);
        self.publish(now, &mut actions);
        self.tell(now, &mut actions);
        actions
    }

    /// A paused watcher missed answers through no fault of the servers, so all
    /// silences start again.
    fn note_pause(&mut self, now: Time) {
        if now.since(self.last_call) >= PAUSE {
            self.primary_since = now;
            self.unfit = None;
            self.started = now;
            self.links.values_mut().for_each(|link| link.missed = None);
            self.heard.clear();
        }
        self.last_call = now;
    }

    fn absorb(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => {}
            Event::Status(server, status) => self.reached(now, server, status),
            Event::RequestFailed(server) => self.failed(now, server),
            Event::Fenced(server, term, granted, status) => {
                self.reached(now, server.clone(), status.clone());
                if let Some(attempt) = self.attempt.as_mut().filter(|a| a.term() == term) {
                    attempt.fenced(server, granted, status);
                }
            }
            Event::Quiesced(server, quiet) => {
                if let Some(attempt) = self.attempt.as_mut() {
                    attempt.quiesced(&server, quiet, now);
                }
            }
            Event::Promoted(server, term, granted) => {
                if let Some(attempt) =
                    self.attempt.as_mut().filter(|a| a.term() == term && !granted)
                {
                    attempt.promotion_refused(&server);
                }
            }
            Event::Observation(vm, observation) => self.listen(now, vm, observation),
            Event::Suspected => self.hurry_poll(),
        }
    }

    fn reached(&mut self, now: Time, server: ServerId, status: ServerStatus) {
        self.highest = self.highest.max(status.highest_term());
        let previous = self.known.get(&server).map(ServerStatus::position);
        let link = self.link(server.clone());
        link.reached = Some(now);
        link.asked = None;
        link.missed = None;
        link.previous = previous;
        if status.role == ServerRole::Primary {
            self.meet_primary(now, &server, &status);
        }
        if self.view.primary.as_ref() == Some(&server) {
            let fit = self.is_fit(&status);
            self.unfit = if fit { None } else { self.unfit.or(Some(now)) };
        }
        self.known.insert(server, status);
        self.drop_unlisted();
    }

    fn is_fit(&self, status: &ServerStatus) -> bool {
        let open = status.role == ServerRole::Primary && status.term == self.view.term;
        open && status.majority_age.is_some_and(|age| age < SUSPECT)
    }

    fn failed(&mut self, now: Time, server: ServerId) {
        let link = self.link(server);
        let asked = link.asked.take().unwrap_or(now);
        link.missed.get_or_insert(asked);
    }

    fn meet_primary(&mut self, now: Time, server: &ServerId, status: &ServerStatus) {
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

    fn listen(&mut self, now: Time, vm: VmId, observation: Observation) {
        let seen = &observation.view;
        let vacant = seen.term == self.view.term && self.view.primary.is_none();
        if seen.term > self.view.term || (vacant && seen.primary.is_some()) {
            self.adopt(seen.term, seen.primary.clone(), seen, now);
        }
        if self.places.iter().any(|place| place.vm == vm) {
            if !observation.silence.is_zero() || !observation.has_majority {
                self.alerted = Some(now);
            }
            self.heard.insert(vm, Heard { observation, at: now });
        }
    }

    fn adopt(&mut self, term: Term, primary: Option<ServerId>, from: &GroupView, now: Time) {
        self.highest = self.highest.max(term);
        self.view.term = term;
        self.view.primary = primary;
        self.view.history.clone_from(&from.history);
        self.primary_since = now;
        self.unfit = None;
        self.tries = 0;
        self.intent_due = None;
        if self.attempt.as_ref().is_some_and(|attempt| attempt.term() <= term) {
            self.attempt = None;
        }
    }

    fn link(&mut self, server: ServerId) -> &mut Link {
        self.links.entry(server).or_default()
    }

    /// Forgets servers that are neither configured nor members.
    fn drop_unlisted(&mut self) {
        let members = newest(self.known.values()).unwrap_or_default();
        let listed = |server: &ServerId| {
            self.plan.servers.contains_key(server) || members.servers.contains(server)
        };
        self.known.retain(|server, _| listed(server));
        self.links.retain(|server, _| listed(server));
        for server in self.plan.servers.keys().chain(&members.servers) {
            self.links.entry(server.clone()).or_default();
        }
    }

    fn judge(&self, now: Time) -> Judgement {
        if self.silence(now) >= SUSPECT {
            return Judgement::Silent;
        }
        let lost = self.primary_status().is_some_and(|status| {
            status.role == ServerRole::Primary
                && status.term == self.view.term
                && status.majority_age.is_none_or(|age| age >= SUSPECT)
        });
        let unfit = self.unfit.is_some_and(|since| now.since(since) >= SUSPECT);
        if self.view.primary.is_some() && (lost || unfit) {
            return Judgement::Unfit;
        }
        Judgement::Healthy
    }

    /// Returns for how long the primary has not answered although it was asked.
    ///
    /// A primary that is asked rarely is silent for long without having missed
    /// a question, so the silence counts only once one has failed, and some
    /// time later than that.
    fn silence(&self, now: Time) -> Duration {
        let Some(primary) = &self.view.primary else {
            return now.since(self.primary_since);
        };
        let link = self.links.get(primary);
        let missed = link.and_then(|link| link.missed);
        if missed.is_none_or(|at| now.since(at) < CONFIRM) {
            return Duration::ZERO;
        }
        let reached = link.and_then(|link| link.reached).unwrap_or(self.primary_since);
        now.since(reached.max(self.primary_since))
    }

    fn primary_status(&self) -> Option<&ServerStatus> {
        self.known.get(self.view.primary.as_ref()?)
    }

    fn is_reachable(&self, server: &ServerId, now: Time) -> bool {
        let Some(link) = self.links.get(server) else { return false };
        let asked_rarely = link.missed.is_none() && !self.is_hasty(now);
        let limit = if asked_rarely { SUSPECT + self.intervals.replica } else { SUSPECT };
        link.reached.is_some_and(|at| now.since(at) < limit)
    }

    /// Tells whether all servers of the group were reached and none ever had a
    /// primary.
    fn is_unstarted(&self, now: Time) -> bool {
        let servers = &self.plan.servers;
        !servers.is_empty()
            && self.highest == Term::default()
            && servers.keys().all(|server| self.is_reachable(server, now))
    }

    fn rank(&self) -> u32 {
        let found = self.places.iter().position(|place| place.vm == self.vm);
        u32::try_from(found.unwrap_or(self.places.len())).unwrap_or(u32::MAX)
    }

    /// Returns what the state of the group calls for, regardless of delays.
    fn intent(&self, now: Time) -> Option<Intent> {
        if self.is_unstarted(now) {
            return Some(Intent::Failover);
        }
        let list = newest(self.known.values())?;
        let judgement = self.judge(now);
        if judgement == Judgement::Healthy {
            return self.planned_move(&list, now);
        }
        let panel = Panel {
            own: &self.vm,
            places: &self.places,
            heard: &self.heard,
            // While nothing is amiss the watchers tell each other little, so
            // silence counts only from the alarm on.
            started: self.started.max(self.alarm.unwrap_or(now)),
        };
        let agreed = judgement == Judgement::Unfit || panel.agrees(&self.view, now);
        let able = list.has_majority(|server| self.is_reachable(server, now));
        (agreed && able).then_some(Intent::Failover)
    }

    /// Chooses the target of a planned move: a member in service that keeps up
    /// with the primary.
    fn planned_move(&self, list: &MemberList, now: Time) -> Option<Intent> {
        let primary = self.view.primary.as_ref()?;
        if self.plan.serves(primary) {
            return None;
        }
        let floor = self.links.get(primary)?.previous?;
        let target = list
            .servers
            .iter()
            .filter(|s| *s != primary && self.plan.serves(s) && self.is_reachable(s, now))
            .filter(|s| self.known.get(*s).is_some_and(|status| status.position() >= floor))
            .min_by_key(|s| (self.plan.data_centre(s) != self.near(), *s))?;
        Some(Intent::Move(primary.clone(), target.clone()))
    }

    fn near(&self) -> Option<&DataCentreId> {
        self.plan.data_centre(self.view.primary.as_ref()?)
    }

    fn consider(&mut self, now: Time, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.attempt.is_some() {
            return;
        }
        let Some(intent) = self.intent(now) else {
            self.intent_due = None;
            return;
        };
        let delay = match intent {
            Intent::Failover => RANK_DELAY,
            Intent::Move(..) => PLANNED_RANK_DELAY,
        };
        let due = match self.intent_due {
            Some(due) => due,
            None => self.not_before.max(now + delay * self.rank() + jitter(rng)),
        };
        self.intent_due = Some(due);
        if now < due {
            return;
        }
        let term = self.highest.next();
        self.highest = term;
        self.attempt = Some(match intent {
            Intent::Failover => Attempt::new(term, self.view.primary.clone(), now),
            Intent::Move(primary, target) => Attempt::with_drain(term, primary, target, now),
        });
        self.advance_attempt(now, rng, actions);
    }

    fn advance_attempt(&mut self, now: Time, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let Some(mut attempt) = self.attempt.take() else {
            return;
        };
        if attempt.is_quiescing() && self.judge(now) != Judgement::Healthy {
            // The primary failed before it was fenced: a failover is quicker.
            return;
        }
        let (granted, failed) = (attempt.granted().clone(), attempt.failed().cloned());
        let ballot = Ballot {
            granted: &granted,
            known: &self.known,
            plan: &self.plan,
            failed: failed.as_ref(),
            near: self.near(),
        };
        match attempt.step(&ballot, now) {
            Step::Continue(orders) => {
                for order in orders {
                    self.carry_out(order, attempt.term(), now, actions);
                }
                self.attempt = Some(attempt);
            }
            Step::Abandon => self.back_off(now, rng),
        }
    }

    fn carry_out(&mut self, order: Order, term: Term, now: Time, actions: &mut Vec<Action>) {
        let owner = self.owner.clone();
        match order {
            Order::Quiesce(server, timeout) => actions.push(Action::Quiesce { server, timeout }),
            Order::Fence(server) => actions.push(Action::Fence { server, term, owner }),
            Order::Promote(server, members) => {
                actions.push(Action::Promote { server, term, owner, members });
            }
            Order::Poll(server) => self.poll_one(server, HASTY_POLL, now, actions),
        }
    }

    fn back_off(&mut self, now: Time, rng: &mut impl Rng) {
        let delay = BACKOFF * 2_u32.pow(self.tries.min(BACKOFF_DOUBLINGS));
        self.tries += 1;
        self.intent_due = None;
        self.not_before = now + delay + RANK_DELAY * self.rank() + jitter(rng);
    }
}

fn jitter(rng: &mut impl Rng) -> Duration {
    Duration::from_millis(rng.random_range(0..JITTER_MS))
}
