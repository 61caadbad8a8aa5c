//! One promotion, from the first fence to the new primary.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
    watch::{
        election::{Ballot, Election},
        members::MemberList,
        status::ServerStatus,
    },
};

/// Longest time for which a planned move waits until no transaction that has
/// written is open on the old primary.
pub const SWITCHOVER_QUIESCE_LIMIT: Duration = Duration::from_millis(3_500);
/// Longest time for which the old primary holds new writes in one try.
const QUIESCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an unanswered request to hold writes is sent again.
const QUIESCE_RESEND: Duration = Duration::from_millis(600);
/// Pause after the first try to hold writes that failed; doubles with each one.
const QUIESCE_PAUSE: Duration = Duration::from_millis(100);
/// Most doublings of [`QUIESCE_PAUSE`].
const QUIESCE_DOUBLINGS: u32 = 2;
/// Longest time for which a planned move lets its target catch up.
pub const DRAIN: Duration = Duration::from_millis(400);
/// Time for which an election waits for further grants once a majority is in.
pub const GRACE: Duration = Duration::from_millis(50);
/// Time after which an unanswered order is sent again.
const RESEND: Duration = Duration::from_millis(250);
/// Longest time from the first fence to a decided election.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for a promotion to show in the target's status.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What an attempt asks of the servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// Let the primary hold new writes, at most this long.
    Quiesce(ServerId, Duration),
    /// Fence a server at the attempt's term.
    Fence(ServerId),
    /// Ask a server for its status, soon.
    Poll(ServerId),
    /// Promote a server at the attempt's term.
    Promote(ServerId, MemberList),
}

/// What comes next in an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Send these orders, if any, and wait.
    Continue(Vec<Order>),
    /// The attempt cannot succeed any more.
    Abandon,
}

/// Servers of a planned move.
#[derive(Clone, Debug)]
struct Drain {
    primary: ServerId,
    target: ServerId,
}

/// Tries to find a moment without an open write transaction.
#[derive(Clone, Debug)]
struct Quiescing {
    drain: Drain,
    due: Time,
    tries: u32,
    quiet: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    /// The old primary of a planned move is to end its open writes.
    Quiescing(Quiescing),
    /// The old primary of a planned move is fenced and its target catches up.
    Draining(Drain),
    /// Servers are being fenced; holds since when a majority is.
    Fencing(Option<Time>),
    /// The chosen server was told, and no other ever will be at this term.
    Promoting(ServerId, MemberList),
}

/// A promotion at one term.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    term: Term,
    planned: bool,
    failed: Option<ServerId>,
    since: Time,
    stage: Stage,
    granted: IndexMap<ServerId, ServerStatus>,
    refused: IndexSet<ServerId>,
    sent: IndexMap<ServerId, Time>,
}

impl Attempt {
    /// Starts a promotion after the failure of a primary, if there was one.
    pub(crate) fn new(term: Term, failed: Option<ServerId>, now: Time) -> Self {
        Attempt { failed, ..Attempt::with_stage(term, now, Stage::Fencing(None)) }
    }

    /// Starts a planned move from `primary` to `target`.
    pub(crate) fn with_drain(term: Term, primary: ServerId, target: ServerId, now: Time) -> Self {
        let drain = Drain { primary, target };
        let stage = Stage::Quiescing(Quiescing { drain, due: now, tries: 0, quiet: false });
        Attempt { planned: true, ..Attempt::with_stage(term, now, stage) }
    }

    fn with_stage(term: Term, now: Time, stage: Stage) -> Self {
        Attempt {
            term,
            planned: false,
            failed: None,
            since: now,
            stage,
            granted: IndexMap::new(),
            refused: IndexSet::new(),
            sent: IndexMap::new(),
        }
    }

    /// Returns the term of the promotion.
    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// Tells whether it is a planned move.
    pub(crate) fn is_planned(&self) -> bool {
        self.planned
    }

    /// Returns the primary whose failure is the cause.
    pub(crate) fn failed(&self) -> Option<&ServerId> {
        self.failed.as_ref()
    }

    /// Tells whether no server was fenced yet because writes are open.
    pub(crate) fn is_quiescing(&self) -> bool {
        matches!(self.stage, Stage::Quiescing(_))
    }

    /// Records the answer of the old primary to the request to hold writes.
    pub(crate) fn quiesced(&mut self, server: &ServerId, quiet: bool, now: Time) {
        let Stage::Quiescing(state) = &mut self.stage else { return };
        if state.drain.primary != *server {
            return;
        }
        state.quiet = quiet;
        state.due = now + QUIESCE_PAUSE * 2_u32.pow(state.tries.min(QUIESCE_DOUBLINGS));
        state.tries += 1;
    }

    /// Returns what was granted so far.
    pub(crate) fn granted(&self) -> &IndexMap<ServerId, ServerStatus> {
        &self.granted
    }

    /// Records the answer to a fence of this attempt.
    pub(crate) fn fenced(&mut self, server: ServerId, granted: bool, status: ServerStatus) {
        if granted {
            self.granted.insert(server, status);
        } else {
            self.refused.insert(server);
        }
    }

    /// Records that the target refused the promotion.
    pub(crate) fn promotion_refused(&mut self, server: &ServerId) {
        self.refused.insert(server.clone());
    }

    /// Returns what comes next. `ballot` holds this attempt's grants.
    pub(crate) fn step(&mut self, ballot: &Ballot<'_>, now: Time) -> Step {
        match self.stage.clone() {
            Stage::Quiescing(state) => self.step_quiesce(state, ballot, now),
            Stage::Draining(drain) => self.step_drain(&drain, ballot, now),
            Stage::Fencing(majority) => self.step_fence(majority, ballot, now),
            Stage::Promoting(target, members) => self.step_promote(target, members, now),
        }
    }

    fn step_quiesce(&mut self, state: Quiescing, ballot: &Ballot<'_>, now: Time) -> Step {
        let primary = state.drain.primary.clone();
        if ballot.plan.serves(&primary) {
            return Step::Abandon;
        }
        if state.quiet || now.since(self.since) >= SWITCHOVER_QUIESCE_LIMIT {
            self.enter(Stage::Draining(state.drain.clone()), now);
            return self.step_drain(&state.drain, ballot, now);
        }
        if now < state.due {
            return Step::Continue(Vec::new());
        }
        self.stage = Stage::Quiescing(Quiescing { due: now + QUIESCE_RESEND, ..state });
        Step::Continue(vec![Order::Quiesce(primary, QUIESCE_TIMEOUT)])
    }

    fn step_drain(&mut self, drain: &Drain, ballot: &Ballot<'_>, now: Time) -> Step {
        if self.refused.contains(&drain.primary) {
            return Step::Abandon;
        }
        let goal = self.granted.get(&drain.primary).map(ServerStatus::position);
        let held = ballot.known.get(&drain.target).map(ServerStatus::position);
        if now.since(self.since) >= DRAIN || caught_up(held, goal) {
            self.enter(Stage::Fencing(None), now);
            return self.step_fence(None, ballot, now);
        }
        let mut orders = Vec::new();
        if goal.is_none() && self.is_due(&drain.primary, now) {
            orders.push(Order::Fence(drain.primary.clone()));
        } else if goal.is_some() {
            orders.push(Order::Poll(drain.target.clone()));
        }
        Step::Continue(orders)
    }

    fn step_fence(&mut self, majority: Option<Time>, ballot: &Ballot<'_>, now: Time) -> Step {
        if let Election::Decided { target, members } = ballot.decide() {
            let since = majority.unwrap_or(now);
            let answered = self.granted.len() + self.refused.len() >= ballot.known.len();
            if answered || now.since(since) >= GRACE {
                self.enter(Stage::Promoting(target.clone(), members.clone()), now);
                self.sent.clear();
                return self.step_promote(target, members, now);
            }
            self.stage = Stage::Fencing(Some(since));
        }
        let hopeless = ballot.is_hopeless(|server| self.refused.contains(server));
        if hopeless || now.since(self.since) >= FENCE_TIMEOUT {
            return Step::Abandon;
        }
        Step::Continue(self.due_fences(ballot, now))
    }

    fn due_fences(&mut self, ballot: &Ballot<'_>, now: Time) -> Vec<Order> {
        let servers: IndexSet<&ServerId> =
            ballot.plan.servers.keys().chain(ballot.known.keys()).collect();
        let mut orders = Vec::new();
        for server in servers {
            let open = !self.granted.contains_key(server) && !self.refused.contains(server);
            if open && self.is_due(server, now) {
                orders.push(Order::Fence(server.clone()));
            }
        }
        orders
    }

    fn step_promote(&mut self, target: ServerId, members: MemberList, now: Time) -> Step {
        if self.refused.contains(&target) || now.since(self.since) >= PROMOTE_TIMEOUT {
            return Step::Abandon;
        }
        let mut orders = vec![Order::Poll(target.clone())];
        if self.is_due(&target, now) {
            orders.push(Order::Promote(target, members));
        }
        Step::Continue(orders)
    }

    fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.since = now;
    }

    fn is_due(&mut self, server: &ServerId, now: Time) -> bool {
        let due = self.sent.get(server).is_none_or(|at| now.since(*at) >= RESEND);
        if due {
            self.sent.insert(server.clone(), now);
        }
        due
    }
}

fn caught_up(held: Option<Position>, goal: Option<Position>) -> bool {
    matches!((held, goal), (Some(held), Some(goal)) if held >= goal)
}
