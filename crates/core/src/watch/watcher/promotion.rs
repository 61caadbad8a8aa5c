//! Decisions of a watcher about promotions: which one the group requires, when it starts
//! and what follows a failed one.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{
    id::{DataCentreId, ServerId},
    position::Term,
    time::Time,
    watch::{
        attempt::{Attempt, Command, Step},
        election::ElectionInput,
        members::{MemberList, newest_list},
        message::Action,
        suspicion::WatcherReports,
        watcher::{PrimaryHealth, Watcher},
    },
};

/// Time between two status requests to a server while a promotion waits for its
/// status.
const PROMOTION_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Delay per rank, so that each watcher starts before the next in rank.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Delay per rank for a switchover, which takes longer than the fences of a
/// failover.
const SWITCHOVER_RANK_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after a failed attempt. It doubles with each further one.
const ATTEMPT_BACKOFF: Duration = Duration::from_millis(250);
/// Greatest number of doublings of [`ATTEMPT_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Time for which a server has to be fenced above the term of a primary that works, before a
/// promotion lifts the fence. It is longer than an attempt that may still succeed.
const FENCE_LIMIT: Duration = Duration::from_secs(3);

/// Upper bound of the random part of a delay, in milliseconds.
const MAX_JITTER_MS: u64 = 100;

/// The promotion that the state of the group requires.
#[derive(Clone, Debug)]
enum Intent {
    /// Replaces a failed primary, or promotes the first primary of a new group.
    Failover,
    /// Moves the role of primary from the first server to the second.
    Switchover(ServerId, ServerId),
    /// Opens a term above the fence that an abandoned attempt has left on a server, which
    /// receives nothing until then.
    Restoration,
}

impl Watcher {
    /// Returns which promotion the state of the group requires, regardless of
    /// delays.
    fn intent(&self, now: Time) -> Option<Intent> {
        if self.is_unstarted(now) {
            return Some(Intent::Failover);
        }
        let list = newest_list(self.known.values())?;
        let health = self.primary_health(now);
        if health == PrimaryHealth::Healthy {
            let switchover = self.find_switchover(&list, now);
            return switchover.or_else(|| self.find_restoration(&list, now));
        }
        let reports = WatcherReports {
            own: &self.vm,
            places: &self.places,
            observations: &self.observations,
            // Watchers rarely send observations while the group is stable, so a
            // missing observation counts only from the start of the
            // instability.
            started: self.started.max(self.unstable_since.unwrap_or(now)),
        };
        let agreed =
            health == PrimaryHealth::CannotConfirm || reports.has_agreement(&self.view, now);
        let able = list.has_majority(|server| self.is_reachable(server, now));
        (agreed && able).then_some(Intent::Failover)
    }

    /// Returns a switchover if the primary is to leave service and there is a
    /// target for it: a reachable member in service that has caught up with the
    /// position that the primary reported before its last status.
    fn find_switchover(&self, list: &MemberList, now: Time) -> Option<Intent> {
        let primary = self.view.primary.as_ref()?;
        if self.plan.is_in_service(primary) {
            return None;
        }
        let min_position = self.polls.get(primary)?.previous?;
        let target = list
            .servers
            .iter()
            .filter(|s| *s != primary && self.plan.is_in_service(s) && self.is_reachable(s, now))
            .filter(|s| self.known.get(*s).is_some_and(|status| status.position() >= min_position))
            .min_by_key(|s| (self.plan.data_centre(s) != self.primary_data_centre(), *s))?;
        Some(Intent::Switchover(primary.clone(), target.clone()))
    }

    fn find_restoration(&self, list: &MemberList, now: Time) -> Option<Intent> {
        let since = self.fenced_since?;
        let able = list.has_majority(|server| self.is_reachable(server, now));
        (able && now.since(since) >= FENCE_LIMIT).then_some(Intent::Restoration)
    }

    /// Returns whether a server is fenced above the present term.
    pub(super) fn has_fence(&self) -> bool {
        self.known.values().any(|status| status.fence_term > self.view.term)
    }

    fn primary_data_centre(&self) -> Option<&DataCentreId> {
        self.plan.data_centre(self.view.primary.as_ref()?)
    }

    /// Starts the promotion that the group requires once its delay has passed.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if self.attempt.is_some() {
            return;
        }
        let Some(intent) = self.intent(now) else {
            self.intent_due = None;
            return;
        };
        let delay = match intent {
            Intent::Failover => RANK_DELAY,
            Intent::Switchover(..) | Intent::Restoration => SWITCHOVER_RANK_DELAY,
        };
        let due = match self.intent_due {
            Some(due) => due,
            None => self.not_before.max(now + delay * self.rank() + jitter(rng)),
        };
        self.intent_due = Some(due);
        if now < due {
            return;
        }
        let term = self.highest_term.next();
        self.highest_term = term;
        self.attempt = Some(match intent {
            Intent::Failover => Attempt::new(term, self.view.primary.clone(), now),
            Intent::Switchover(primary, target) => {
                Attempt::with_switchover(term, primary, target, now)
            }
            // The primary may win the election, as it has not failed.
            Intent::Restoration => Attempt::new(term, None, now),
        });
        self.advance_attempt(now, rng, actions);
    }

    /// Takes the next step of the running promotion.
    pub(super) fn advance_attempt(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut attempt) = self.attempt.take() else {
            return;
        };
        if attempt.is_quiescing() && self.primary_health(now) != PrimaryHealth::Healthy {
            // The primary failed before it was fenced, so a failover is faster.
            return;
        }
        let (granted, failed) = (attempt.granted().clone(), attempt.failed().cloned());
        let input = ElectionInput {
            granted: &granted,
            known: &self.known,
            plan: &self.plan,
            failed: failed.as_ref(),
            preferred: self.primary_data_centre(),
        };
        match attempt.step(&input, now) {
            Step::Continue(commands) => {
                for command in commands {
                    self.carry_out(command, attempt.term(), now, actions);
                }
                self.attempt = Some(attempt);
            }
            Step::Abandon => self.back_off(now, rng),
        }
    }

    fn carry_out(&mut self, command: Command, term: Term, now: Time, actions: &mut Vec<Action>) {
        let owner = self.owner.clone();
        match command {
            Command::Quiesce(server, timeout) => actions.push(Action::Quiesce { server, timeout }),
            Command::Fence(server) => actions.push(Action::Fence { server, term, owner }),
            Command::Promote(server, members) => {
                actions.push(Action::Promote { server, term, owner, members });
            }
            Command::Poll(server) => self.poll_one(server, PROMOTION_POLL_INTERVAL, now, actions),
        }
    }

    fn back_off(&mut self, now: Time, rng: &mut impl Rng) {
        let delay = ATTEMPT_BACKOFF * 2_u32.pow(self.tries.min(MAX_BACKOFF_DOUBLINGS));
        self.tries += 1;
        self.intent_due = None;
        self.not_before = now + delay + RANK_DELAY * self.rank() + jitter(rng);
    }
}

fn jitter(rng: &mut impl Rng) -> Duration {
    Duration::from_millis(rng.random_range(0..MAX_JITTER_MS))
}
