//! How a failover stops all servers from receiving before one is promoted.

use super::{Action, Cause, Failover, MAX_ANSWER_AGE, Replica, floor::Shortage};
use crate::time::Time;

impl Failover {
    /// Polls every server until all have answered recently, then makes the old primary a
    /// replica and fences the others, unless none of them may be promoted anyway. The target of a
    /// planned failover is not fenced but polled further.
    pub(super) fn prepare(&mut self, now: Time) -> Vec<Action> {
        let is_reachable =
            |r: &Replica| r.answered.is_some_and(|time| now.since(time) < MAX_ANSWER_AGE);
        let is_failure = self.cause == Cause::Failure;
        let all_answer = self.replicas.values().all(is_reachable) && !self.awaits_primary(now);
        let is_behind = self.fencing_since.is_none() && all_answer && self.lacks_candidate();
        if all_answer {
            self.shortage = self.shortage.next(is_behind, now);
        }
        let mut actions = Vec::new();
        if self.may_begin(all_answer, now) {
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
            None => actions.extend(self.poll(is_behind, now)),
        }
        actions
    }

    /// Returns whether fencing may begin: somebody may be promoted, and the primary does not
    /// answer, or its replicas have not just caught up with it.
    fn may_begin(&self, all_answer: bool, now: Time) -> bool {
        let is_useful = match self.shortage {
            Shortage::None => true,
            Shortage::Since(_) => false,
            Shortage::Cleared => !self.is_demotion_due(now),
        };
        self.fencing_since.is_none() && all_answer && is_useful
    }

    /// Returns whether the old primary still has to step down: it answers as a primary.
    pub(super) fn is_demotion_due(&self, now: Time) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.is_due(now))
    }

    /// Makes the old primary a replica.
    pub(super) fn demote(&mut self, now: Time) -> Vec<Action> {
        let term = self.term;
        self.primary.as_mut().map(|primary| primary.next_actions(term, now)).unwrap_or_default()
    }

    /// Polls all servers, the old primary only if it may have to be promoted again.
    fn poll(&mut self, is_behind: bool, now: Time) -> Vec<Action> {
        let needs_primary = is_behind || !self.knows_floor();
        let due = self.replicas.iter_mut().filter(|(_, replica)| replica.is_due(now));
        let mut actions: Vec<Action> = due
            .map(|(server, replica)| {
                replica.last_action = Some(now);
                Action::Poll(server.clone())
            })
            .collect();
        if needs_primary && self.cause == Cause::Failure {
            actions.extend(self.primary.as_mut().and_then(|primary| primary.poll(now)));
        }
        actions
    }

    /// Fences the servers that are not fenced, and polls the others: a server that starts again
    /// has lost its fence.
    pub(super) fn fence(&mut self, now: Time) -> Vec<Action> {
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
