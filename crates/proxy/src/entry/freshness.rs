//! What a read needs of a server, by the session's past and the route's age.

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::prelude::*;
use tokio::time::timeout;

use super::{attempt::Job, execute::Failed, session::Session};

/// Longest time that a read waits for a server that is fresh enough, in
/// milliseconds. It bounds what a forged session token costs.
pub(super) const FRESH_MS: u64 = 2_000;

/// A barrier is renewed at this fraction of the age that a route accepts.
const RENEWAL_FRACTION: u32 = 4;

/// Longest time to check a session token, in milliseconds.
const VERIFY_MS: u64 = 250;

/// What a read needs of a server.
pub(super) struct Need {
    /// Position that it must have applied.
    pub(super) position: Option<Position>,
    /// Time until which that position is fresh enough.
    pub(super) until: Time,
    /// Whether the group is known to have reached the position.
    pub(super) verified: bool,
}

impl Session {
    /// Finds out what a read needs, by a barrier where nothing else tells.
    pub(super) async fn need(&mut self, job: &Job<'_>) -> Result<Need, Failed> {
        let Some(age) = job.route.max_age_ms.map(Duration::from_millis) else {
            if self.caller.token.is_none() {
                self.learn_past(job).await?;
            }
            let position = self.seen(job);
            let verified = self.verify(job, position).await?;
            return Ok(Need { position, until: job.deadline, verified });
        };
        let node = Arc::clone(&self.node);
        let group = &job.route.group;
        let account = &self.caller.credentials.account;
        let now = node.clock.now();
        let latest = node.entry.barriers.latest(group);
        let younger = |age: Duration| latest.filter(|barrier| now.since(barrier.began) < age);
        if younger(age / RENEWAL_FRACTION).is_none() {
            node.entry.barriers.refresh(&node, group, account);
        }
        let renewal = age * (RENEWAL_FRACTION - 1) / RENEWAL_FRACTION;
        let barrier = match younger(renewal) {
            Some(barrier) => barrier,
            None => {
                // An old barrier serves until a new one comes, or fails to.
                let left = younger(age).map(|barrier| age - now.since(barrier.began));
                let patience = left.map_or(Duration::from_millis(FRESH_MS), |left| left / 2);
                let (since, until) = (now - renewal, now + patience);
                let taken = node.entry.barriers.since(&node, (group, account), since, until).await;
                taken.ok().or_else(|| younger(age)).ok_or(Refusal::TooStale)?
            }
        };
        let seen = self.seen(job);
        let verified = self.verify(job, seen).await?;
        let position = seen.max(Some(barrier.position));
        Ok(Need { position, until: job.deadline.min(barrier.began + age), verified })
    }

    /// Makes sure that the group has reached a position that the session names.
    ///
    /// A position that was not seen here before may be forged. It is checked by
    /// a barrier, before it can make the servers look as if they lagged. Without
    /// a primary that answers, `false` says that it could not be checked.
    async fn verify(&self, job: &Job<'_>, position: Option<Position>) -> Result<bool, Failed> {
        let Some(position) = position else { return Ok(true) };
        let node = Arc::clone(&self.node);
        let (group, account) = (&job.route.group, &self.caller.credentials.account);
        let mut views = node.groups.follow(group);
        let end = job.deadline.min(node.clock.now() + Duration::from_millis(FRESH_MS));
        let known = node.entry.with_estimates(group, |estimates| estimates.newest());
        if known.is_some_and(|known| views.borrow().covers(known, position)) {
            return Ok(true);
        }
        loop {
            let now = node.clock.now();
            let until = end.min(now + Duration::from_millis(VERIFY_MS));
            let taken = node.entry.barriers.since(&node, (group, account), now, until).await;
            let Ok(barrier) = taken else { return Ok(false) };
            let view = Arc::clone(&views.borrow_and_update());
            if view.covers(barrier.position, position) {
                return Ok(true);
            }
            let left = end.since(node.clock.now());
            let waits = position.term() > view.term && !left.is_zero();
            if !waits || timeout(left, views.changed()).await.is_err() {
                return Err(Refusal::TooStale.into());
            }
        }
    }

    /// Takes a barrier after the session arrived, so that its past is known.
    pub(super) async fn learn_past(&mut self, job: &Job<'_>) -> Result<(), Failed> {
        let node = Arc::clone(&self.node);
        let (group, account) = (&job.route.group, &self.caller.credentials.account);
        let barriers = &node.entry.barriers;
        let taken = barriers.since(&node, (group, account), self.arrived, job.deadline).await?;
        self.caller.token.get_or_insert_default().observe(group, taken.position);
        Ok(())
    }

    fn seen(&self, job: &Job<'_>) -> Option<Position> {
        self.caller.token.as_ref().and_then(|token| token.position(&job.route.group))
    }
}
