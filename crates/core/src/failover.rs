//! Failover: replacement of the primary of a database group.
//!
//! The primary acknowledges a commit as soon as one replica has received it. After a
//! failure, any single replica may therefore be the only one with an acknowledged commit. A
//! failover *fences* every replica, which stops it from receiving, at a term above all
//! others, and only then promotes the replica that has received most.
//!
//! A replica that starts in the course of the failover is not fenced yet, and the old primary
//! could go on to acknowledge commits with it. So a failed primary that still answers is first
//! made a replica itself (see [`Demotion`]), replicas that join are fenced too, and if the old
//! primary has written more than any known replica received, the servers are listed once more
//! before one is promoted.
//!
//! A group with fenced replicas acknowledges no commits. So no replica is fenced before
//! all of them have answered recently. If a replica stops answering after that, the failover
//! is abandoned and does not wait for the replica.
//!
//! In a planned failover the old primary works until the promotion. The server to promote
//! is not fenced, so that it receives every commit that is still acknowledged. When all
//! servers are replaced one after the other, those that run for longest leave next. So the
//! one that started last is promoted, and the group is not left without a primary again.

mod announcement;
mod demotion;
mod missing;
mod replica;
mod selection;

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
};

pub use self::{
    announcement::{Announcement, FailoverNumber},
    missing::{MissingServers, RegisteredServer, ServerTimes},
    replica::{Member, ReplicationStatus},
};

use self::{demotion::Demotion, replica::Replica};

/// Time after which another request to fence or poll a server is sent.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two polls of a server whose promotion was requested.
const PROMOTION_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a promotion is requested again.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Maximum age of the last answer of a server that counts as reachable.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(800);

/// Time after the start of a failover until every VM in contact knows of it, and passes on no
/// success that rests on contact alone.
const ANNOUNCEMENT_SPAN: Duration = Duration::from_millis(200);

/// Time for which the directory may take to list the servers before a promotion.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after the start of fencing within which the promotion must be requested.
const FENCED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a planned failover without a requested promotion is abandoned.
const PLANNED_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which any failover is abandoned, so that a new one can start from current
/// information.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(12);

/// Why the primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The primary failed or is cut off.
    Failure,
    /// The primary works but is going to leave.
    Planned,
}

/// A step that the coordinator carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fence a server at this term, so that it stops receiving.
    Fence(ServerId, Term),
    /// Ask a server for its replication status.
    Poll(ServerId),
    /// Make the old primary a replica if its term is lower than this one.
    Demote(ServerId, Term),
    /// Read from the directory which servers are registered now.
    ListServers,
    /// Request the promotion of a server.
    Promote(ServerId),
    /// Lift the fence of a server, so that it receives again.
    Release(ServerId),
}

/// Progress of a failover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The failover is not finished.
    Running,
    /// This server is the primary at this term.
    Done(ServerId, Term),
    /// The failover was abandoned for this reason.
    Abandoned(&'static str),
}

/// One replacement of a primary, as a state machine.
///
/// The caller carries out the [`Action`]s and records the answers.
#[derive(Clone, Debug)]
pub struct Failover {
    cause: Cause,
    term: Term,
    replicas: IndexMap<ServerId, Replica>,
    /// The primary to replace, if it is known.
    primary: Option<Demotion>,
    /// When the directory was first and last asked which servers are registered.
    first_list: Option<Time>,
    last_list: Option<Time>,
    /// When the last answer to that was asked for.
    listed: Option<Time>,
    /// Whether the directory has failed to answer.
    list_failed: bool,
    /// Newest position with an acknowledged commit.
    acknowledged: Position,
    /// Newest position with an acknowledged commit at the start.
    first_acknowledged: Position,
    started: Time,
    /// Whether a server joined after a promotion was requested.
    joined_late: bool,
    /// When fencing began.
    fencing_since: Option<Time>,
    target: Option<ServerId>,
    /// When the promotion of the target was last requested.
    promotion_sent: Option<Time>,
    /// End of the target's log when its promotion was first requested.
    target_received: Option<Position>,
}

impl Failover {
    /// Starts to replace a primary by one of `members`, at a term above `highest`.
    ///
    /// `acknowledged` is the newest position known to be acknowledged. No server that has
    /// received less is promoted.
    pub fn new(
        cause: Cause,
        members: impl IntoIterator<Item = Member>,
        highest: Term,
        acknowledged: Position,
        now: Time,
    ) -> Self {
        let replica = |member: Member| (member.server.clone(), Replica::new(member));
        Failover {
            cause,
            term: highest.next(),
            replicas: members.into_iter().map(replica).collect(),
            primary: None,
            first_list: None,
            last_list: None,
            listed: None,
            list_failed: false,
            acknowledged,
            first_acknowledged: acknowledged,
            started: now,
            joined_late: false,
            fencing_since: None,
            target: None,
            promotion_sent: None,
            target_received: None,
        }
    }

    /// Sets the primary to replace and when it last answered as such.
    pub fn with_primary(mut self, primary: ServerId, answered: Time) -> Self {
        self.primary = Some(Demotion::new(primary, answered));
        self
    }

    /// Returns why the primary is replaced.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Returns the term at which servers are fenced.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the highest term that any server reported, including the terms of fences.
    ///
    /// If a VM stops during a failover, the servers that it fenced stay fenced at its term.
    /// The term of the next failover must be higher.
    pub fn highest_term(&self) -> Term {
        let replicas = self.replicas.values().filter_map(|replica| replica.status);
        let primary = self.primary.as_ref().and_then(Demotion::status);
        replicas
            .chain(primary)
            .map(|status| status.term.max(status.fenced_term))
            .max()
            .unwrap_or_default()
    }

    /// Returns the server whose promotion was requested.
    pub fn promotion_target(&self) -> Option<&ServerId> {
        self.promotion_sent.and(self.target.as_ref())
    }

    /// Returns the end of the log of the server whose promotion was requested, at that time.
    pub fn target_received(&self) -> Position {
        self.target_received.unwrap_or_default()
    }

    /// Returns whether a promotion was ever requested.
    pub fn has_ordered(&self) -> bool {
        self.target_received.is_some()
    }

    /// Records a position with an acknowledged commit. Positions older than the newest have
    /// no effect.
    pub fn record_acknowledged(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
    }

    /// Records the status that a server reported.
    pub fn record_status(&mut self, server: &ServerId, status: ReplicationStatus, now: Time) {
        if let Some(replica) = self.replicas.get_mut(server) {
            replica.status = Some(status);
            replica.answered = Some(now);
        } else if let Some(primary) = self.primary.as_mut().filter(|old| old.server() == server) {
            primary.record_status(status, now);
        }
    }

    /// Records the answer to [`Action::ListServers`] that was asked for at `asked`, after the
    /// new servers have joined.
    pub fn record_list(&mut self, asked: Time) {
        self.listed = self.listed.max(Some(asked));
    }

    /// Records that the directory did not answer [`Action::ListServers`]. A server that does
    /// not reach it either cannot be registered, so that a promotion does not wait for it.
    pub fn record_list_failure(&mut self) {
        self.list_failed = true;
    }

    /// Adds the servers that have been registered since the start.
    ///
    /// If one joins after the promotion of a successor was requested, a leaving primary must
    /// not work any longer: the new server may receive a commit before the successor does.
    pub fn join(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            let is_primary =
                self.primary.as_ref().is_some_and(|old| *old.server() == member.server);
            if is_primary || self.replicas.contains_key(&member.server) {
                continue;
            }
            if self.promotion_sent.is_some() {
                self.joined_late = true;
            }
            self.replicas.insert(member.server.clone(), Replica::new(member));
        }
    }

    /// Removes the servers for which `is_there` returns false; they are gone for good.
    pub fn retain(&mut self, is_there: impl Fn(&ServerId) -> bool) {
        self.replicas.retain(|server, _| is_there(server));
        if self.promotion_sent.is_none()
            && self.target.as_ref().is_some_and(|target| !is_there(target))
        {
            self.target = None;
        }
    }

    /// Records that the promotion was refused because the server does not run. The server to
    /// promote is then chosen again.
    pub fn record_promotion_refusal(&mut self) {
        if let Some(target) = self.target.take()
            && let Some(replica) = self.replicas.get_mut(&target)
        {
            replica.status = None;
        }
        self.promotion_sent = None;
    }

    /// Returns the progress at `now`.
    pub fn progress(&self, now: Time) -> Progress {
        for (server, replica) in &self.replicas {
            match replica.status {
                Some(status) if status.primary && self.promotion_target() == Some(server) => {
                    return Progress::Done(server.clone(), status.term);
                }
                Some(status) if status.primary => {
                    return Progress::Abandoned("another server is already primary");
                }
                Some(status) if status.fenced_term > self.term => {
                    return Progress::Abandoned("another VM replaces the primary at a higher term");
                }
                _ => {}
            }
        }
        if self.replicas.is_empty() {
            return Progress::Abandoned("no other backend server is left");
        }
        let is_unordered = self.promotion_sent.is_none();
        let demoting_since = self.primary.as_ref().and_then(Demotion::since);
        if is_unordered
            && self.is_demotion_due(now)
            && demoting_since.is_some_and(|since| now.since(since) > FENCED_TIMEOUT)
        {
            return Progress::Abandoned("the old primary answers and does not step down");
        }
        let fencing_since = self.fencing_since.filter(|_| is_unordered);
        if fencing_since.is_some_and(|since| now.since(since) > FENCED_TIMEOUT) {
            return Progress::Abandoned("a backend server or the directory no longer answers");
        }
        let limit = match self.cause {
            Cause::Planned if self.promotion_sent.is_none() => PLANNED_TIMEOUT,
            _ => FAILOVER_TIMEOUT,
        };
        match now.since(self.started) > limit {
            true => Progress::Abandoned("the failover took too long"),
            false => Progress::Running,
        }
    }

    /// Returns the actions to carry out at `now`.
    pub fn next_actions(&mut self, now: Time) -> Vec<Action> {
        if self.has_lost_target() {
            self.choose_again(now);
        }
        if let (Some(target), Some(sent)) = (&self.target, self.promotion_sent) {
            let target = target.clone();
            let mut actions = self.check_promotion(target, sent, now);
            actions.extend(self.fence(now));
            if self.cause == Cause::Failure || self.joined_late {
                actions.extend(self.demote(now));
            }
            return actions;
        }
        if self.cause == Cause::Planned && self.target.is_none() {
            self.target = self.successor();
        }
        let mut actions = self.prepare(now);
        let needs_list = self.lacks_list() || self.awaits_list(now);
        let is_due = self.last_list.is_none_or(|at| now.since(at) >= REPEAT_INTERVAL);
        if self.fencing_since.is_some() && needs_list && is_due {
            self.first_list.get_or_insert(now);
            self.last_list = Some(now);
            actions.push(Action::ListServers);
        }
        if let Some(server) = self.promotable(now) {
            self.target_received = self.received(&server);
            self.target = Some(server.clone());
            self.promotion_sent = Some(now);
            actions.push(Action::Promote(server));
        }
        actions
    }

    /// Returns the actions that lift all fences after the failover was abandoned. If a promotion
    /// was requested, it may still be carried out, and the fences stay: nothing more can be
    /// acknowledged until the next failover, whose request replaces this one.
    pub fn release_actions(&self) -> Vec<Action> {
        match (self.fencing_since, self.target_received) {
            (Some(_), None) => self.replicas.keys().cloned().map(Action::Release).collect(),
            _ => Vec::new(),
        }
    }

    /// Returns whether the server whose promotion was requested has started again without the
    /// log for which it was chosen.
    fn has_lost_target(&self) -> bool {
        let status = self.promotion_target().and_then(|target| self.replicas.get(target)?.status);
        status.is_some_and(|status| !status.primary && Some(status.received) < self.target_received)
    }

    /// Gives up the requested promotion. The next request has a higher token, so that the
    /// directory refuses the earlier one from then on.
    fn choose_again(&mut self, now: Time) {
        self.target = None;
        self.promotion_sent = None;
        self.fencing_since = self.fencing_since.map(|_| now);
    }

    fn check_promotion(&mut self, target: ServerId, sent: Time, now: Time) -> Vec<Action> {
        let Some(replica) = self.replicas.get_mut(&target) else { return Vec::new() };
        if now.since(sent) >= PROMOTION_RETRY_INTERVAL {
            // A target that has not answered lately may have lost its log.
            if replica.answered.is_none_or(|time| now.since(time) >= MAX_ANSWER_AGE) {
                replica.status = None;
                self.choose_again(now);
                return Vec::new();
            }
            self.promotion_sent = Some(now);
            return vec![Action::Promote(target)];
        }
        if replica.last_action.is_some_and(|last| now.since(last) < PROMOTION_CHECK_INTERVAL) {
            return Vec::new();
        }
        replica.last_action = Some(now);
        vec![Action::Poll(target)]
    }

    /// Polls every server until all have answered recently, then makes the old primary a
    /// replica and fences the others. The target of a planned failover is not fenced but
    /// polled further.
    fn prepare(&mut self, now: Time) -> Vec<Action> {
        let is_reachable =
            |r: &Replica| r.answered.is_some_and(|time| now.since(time) < MAX_ANSWER_AGE);
        let is_failure = self.cause == Cause::Failure;
        let mut actions = Vec::new();
        if self.fencing_since.is_none() && self.replicas.values().all(is_reachable) {
            if is_failure {
                actions.extend(self.demote(now));
            }
            let may_fence = match self.cause {
                Cause::Failure => !self.is_demotion_due(now),
                Cause::Planned => self.target.is_some(),
            };
            if may_fence {
                self.fencing_since = Some(now);
                // The polls of the first phase must not delay the fencing.
                self.replicas.values_mut().for_each(|replica| replica.last_action = None);
            }
        } else if self.fencing_since.is_some() && is_failure {
            actions.extend(self.demote(now));
        }
        match self.fencing_since {
            Some(_) => actions.extend(self.fence(now)),
            None => actions.extend(self.poll(now)),
        }
        actions
    }

    /// Returns whether the old primary still has to step down: it answers as a primary.
    fn is_demotion_due(&self, now: Time) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.is_due(now))
    }

    /// Makes the old primary a replica.
    fn demote(&mut self, now: Time) -> Vec<Action> {
        let term = self.term;
        self.primary.as_mut().map(|primary| primary.next_actions(term, now)).unwrap_or_default()
    }

    /// Polls all servers.
    fn poll(&mut self, now: Time) -> Vec<Action> {
        let due = self.replicas.iter_mut().filter(|(_, replica)| replica.is_due(now));
        due.map(|(server, replica)| {
            replica.last_action = Some(now);
            Action::Poll(server.clone())
        })
        .collect()
    }

    /// Fences the servers that are not fenced, and polls the others: a server that starts again
    /// has lost its fence.
    fn fence(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_ordered = self.promotion_sent.is_some();
        for (server, replica) in &mut self.replicas {
            let is_target = self.target.as_ref() == Some(server);
            if (is_target && is_ordered) || !replica.is_due(now) {
                continue;
            }
            let stays_open = is_target && self.cause == Cause::Planned;
            actions.push(match stays_open || replica.is_fenced(self.term) {
                true => Action::Poll(server.clone()),
                false => Action::Fence(server.clone(), self.term),
            });
            replica.last_action = Some(now);
        }
        actions
    }
}
