//! One attempt to promote a server, from the first fence to the new primary.
//!
//! After a failure the attempt fences the servers, elects one of them and
//! promotes it. A switchover first waits until no write transaction is open on
//! the old primary, then fences it and lets the target catch up, so that writes
//! are interrupted for a short time only.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
    watch::{
        election::{Election, ElectionInput},
        members::MemberList,
        status::ServerStatus,
    },
};

/// Longest time for which a switchover waits until no transaction that has
/// written is open on the old primary.
pub const SWITCHOVER_QUIESCE_LIMIT: Duration = Duration::from_millis(3_500);
/// Longest time for which the old primary holds new writes after one request to
/// hold them.
const QUIESCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an unanswered request to hold writes is sent again.
const QUIESCE_RESEND_INTERVAL: Duration = Duration::from_millis(600);
/// Pause after the first unsuccessful request to hold writes. It doubles with
/// each further one.
const QUIESCE_BACKOFF: Duration = Duration::from_millis(100);
/// Greatest number of doublings of [`QUIESCE_BACKOFF`].
const MAX_QUIESCE_DOUBLINGS: u32 = 2;
/// Longest time for which a switchover waits for its target to catch up.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an election waits for further grants after a majority has
/// granted the fence.
pub const GRANT_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Time after which an unanswered command is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time from the first fence to a decided election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time from the start of the promotion until the target's status has to
/// show it.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A command of an attempt to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Let the primary hold new writes for at most this long.
    Quiesce(ServerId, Duration),
    /// Fence a server at the term of the attempt.
    Fence(ServerId),
    /// Request the status of a server soon.
    Poll(ServerId),
    /// Promote a server at the term of the attempt, with this member list.
    Promote(ServerId, MemberList),
}

/// The next step of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Send these commands, if any, and wait.
    Continue(Vec<Command>),
    /// End the attempt, which can no longer succeed.
    Abandon,
}

/// The servers of a switchover.
#[derive(Clone, Debug)]
struct Switchover {
    primary: ServerId,
    target: ServerId,
}

/// State of the search for a moment without an open write transaction.
#[derive(Clone, Debug)]
struct QuiesceState {
    switchover: Switchover,
    /// When the next request to hold writes is due.
    due: Time,
    tries: u32,
    /// Whether the primary has answered that no write transaction is open.
    quiet: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    /// The old primary of a switchover still has open write transactions.
    Quiescing(QuiesceState),
    /// The old primary of a switchover is being fenced and the target catches
    /// up.
    CatchingUp(Switchover),
    /// Servers are being fenced. The value is the time since which a majority
    /// has granted the fence.
    Fencing(Option<Time>),
    /// The promotion was sent to the chosen server. It is sent to no other
    /// server at this term.
    Promoting(ServerId, MemberList),
}

/// An attempt to promote a server at one term.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    term: Term,
    planned: bool,
    failed: Option<ServerId>,
    /// When the present stage began.
    since: Time,
    stage: Stage,
    granted: IndexMap<ServerId, ServerStatus>,
    refused: IndexSet<ServerId>,
    /// When the last fence or promotion was sent to each server.
    sent: IndexMap<ServerId, Time>,
}

impl Attempt {
    /// Starts a promotion that replaces the failed primary, if the group had
    /// one.
    pub(crate) fn new(term: Term, failed: Option<ServerId>, now: Time) -> Self {
        Attempt { failed, ..Attempt::with_stage(term, now, Stage::Fencing(None)) }
    }

    /// Starts a switchover from `primary` to `target`.
    pub(crate) fn with_switchover(
        term: Term,
        primary: ServerId,
        target: ServerId,
        now: Time,
    ) -> Self {
        let switchover = Switchover { primary, target };
        let stage = Stage::Quiescing(QuiesceState { switchover, due: now, tries: 0, quiet: false });
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

    /// Returns the term that the promotion opens.
    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// Returns whether the attempt is a switchover.
    pub(crate) fn is_planned(&self) -> bool {
        self.planned
    }

    /// Returns the failed primary that is to be replaced.
    pub(crate) fn failed(&self) -> Option<&ServerId> {
        self.failed.as_ref()
    }

    /// Returns whether the attempt is a switchover that still waits for open
    /// write transactions, so that no server is fenced yet.
    pub(crate) fn is_quiescing(&self) -> bool {
        matches!(self.stage, Stage::Quiescing(_))
    }

    /// Records the answer of the old primary to the request to hold writes.
    pub(crate) fn record_quiesce(&mut self, server: &ServerId, quiet: bool, now: Time) {
        let Stage::Quiescing(state) = &mut self.stage else { return };
        if state.switchover.primary != *server {
            return;
        }
        state.quiet = quiet;
        state.due = now + QUIESCE_BACKOFF * 2_u32.pow(state.tries.min(MAX_QUIESCE_DOUBLINGS));
        state.tries += 1;
    }

    /// Returns the servers that granted the fence, with their status at that
    /// time.
    pub(crate) fn granted(&self) -> &IndexMap<ServerId, ServerStatus> {
        &self.granted
    }

    /// Records the answer of a server to a fence of this attempt.
    pub(crate) fn record_fence(&mut self, server: ServerId, granted: bool, status: ServerStatus) {
        if granted {
            self.granted.insert(server, status);
        } else {
            self.refused.insert(server);
        }
    }

    /// Records that the target refused the promotion.
    pub(crate) fn record_refusal(&mut self, server: &ServerId) {
        self.refused.insert(server.clone());
    }

    /// Advances the attempt and returns the next step. `input` holds the grants
    /// of this attempt.
    pub(crate) fn step(&mut self, input: &ElectionInput<'_>, now: Time) -> Step {
        match self.stage.clone() {
            Stage::Quiescing(state) => self.step_quiesce(state, input, now),
            Stage::CatchingUp(switchover) => self.step_catch_up(&switchover, input, now),
            Stage::Fencing(majority) => self.step_fence(majority, input, now),
            Stage::Promoting(target, members) => self.step_promote(target, members, now),
        }
    }

    fn step_quiesce(&mut self, state: QuiesceState, input: &ElectionInput<'_>, now: Time) -> Step {
        let primary = state.switchover.primary.clone();
        if input.plan.is_in_service(&primary) {
            return Step::Abandon;
        }
        if state.quiet || now.since(self.since) >= SWITCHOVER_QUIESCE_LIMIT {
            self.enter(Stage::CatchingUp(state.switchover.clone()), now);
            return self.step_catch_up(&state.switchover, input, now);
        }
        if now < state.due {
            return Step::Continue(Vec::new());
        }
        self.stage = Stage::Quiescing(QuiesceState { due: now + QUIESCE_RESEND_INTERVAL, ..state });
        Step::Continue(vec![Command::Quiesce(primary, QUIESCE_TIMEOUT)])
    }

    fn step_catch_up(
        &mut self,
        switchover: &Switchover,
        input: &ElectionInput<'_>,
        now: Time,
    ) -> Step {
        if self.refused.contains(&switchover.primary) {
            return Step::Abandon;
        }
        let goal = self.granted.get(&switchover.primary).map(ServerStatus::position);
        let held = input.known.get(&switchover.target).map(ServerStatus::position);
        if now.since(self.since) >= CATCH_UP_TIMEOUT || has_caught_up(held, goal) {
            self.enter(Stage::Fencing(None), now);
            return self.step_fence(None, input, now);
        }
        let mut commands = Vec::new();
        if goal.is_none() && self.is_due(&switchover.primary, now) {
            commands.push(Command::Fence(switchover.primary.clone()));
        } else if goal.is_some() {
            commands.push(Command::Poll(switchover.target.clone()));
        }
        Step::Continue(commands)
    }

    fn step_fence(&mut self, majority: Option<Time>, input: &ElectionInput<'_>, now: Time) -> Step {
        if let Election::Decided { target, members } = input.decide() {
            let since = majority.unwrap_or(now);
            let answered = self.granted.len() + self.refused.len() >= input.known.len();
            if answered || now.since(since) >= GRANT_GRACE_PERIOD {
                self.enter(Stage::Promoting(target.clone(), members.clone()), now);
                self.sent.clear();
                return self.step_promote(target, members, now);
            }
            self.stage = Stage::Fencing(Some(since));
        }
        let lost = input.is_majority_lost(|server| self.refused.contains(server));
        if lost || now.since(self.since) >= ELECTION_TIMEOUT {
            return Step::Abandon;
        }
        Step::Continue(self.due_fences(input, now))
    }

    fn due_fences(&mut self, input: &ElectionInput<'_>, now: Time) -> Vec<Command> {
        let servers: IndexSet<&ServerId> =
            input.plan.servers.keys().chain(input.known.keys()).collect();
        let mut commands = Vec::new();
        for server in servers {
            let open = !self.granted.contains_key(server) && !self.refused.contains(server);
            if open && self.is_due(server, now) {
                commands.push(Command::Fence(server.clone()));
            }
        }
        commands
    }

    fn step_promote(&mut self, target: ServerId, members: MemberList, now: Time) -> Step {
        if self.refused.contains(&target) || now.since(self.since) >= PROMOTE_TIMEOUT {
            return Step::Abandon;
        }
        let mut commands = vec![Command::Poll(target.clone())];
        if self.is_due(&target, now) {
            commands.push(Command::Promote(target, members));
        }
        Step::Continue(commands)
    }

    fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.since = now;
    }

    fn is_due(&mut self, server: &ServerId, now: Time) -> bool {
        let due = self.sent.get(server).is_none_or(|at| now.since(*at) >= RESEND_INTERVAL);
        if due {
            self.sent.insert(server.clone(), now);
        }
        due
    }
}

fn has_caught_up(held: Option<Position>, goal: Option<Position>) -> bool {
    matches!((held, goal), (Some(held), Some(goal)) if held >= goal)
}
