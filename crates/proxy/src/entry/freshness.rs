//! Freshness requirements of reads.
//!
//! A read may run only on a server that has applied everything that the session
//! has seen. The session token names that position. A route may also limit the
//! age of the data, which a barrier turns into a position. Positions of a token
//! that are new to this VM are verified first, since the token may be forged.

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::prelude::*;
use tokio::time::timeout;

use super::{attempt::Job, execution::BatchError, session::Session};

/// Maximum time that a read waits for a server that is fresh enough, in
/// milliseconds. It limits the load that a forged session token can cause.
pub(super) const FRESHNESS_WAIT_MS: u64 = 2_000;

/// Divisor of the age that a route accepts. When the resulting time has passed since
/// the last barrier, a new one is started in the background.
const RENEWAL_DIVISOR: u32 = 4;

/// Maximum wait for a barrier that verifies a session token, in milliseconds.
const VERIFY_TIMEOUT_MS: u64 = 250;

/// The state that a server must have reached to run a read.
pub(super) struct ReadRequirement {
    /// Position that the server must have applied.
    pub(super) position: Option<Position>,
    /// Time until which that position is fresh enough.
    pub(super) valid_until: Time,
    /// Whether the group is known to have reached the position.
    pub(super) is_verified: bool,
}

impl Session {
    /// Computes the requirement of a read, with a barrier where the session
    /// token and earlier barriers do not suffice.
    pub(super) async fn read_requirement(
        &mut self,
        job: &Job<'_>,
    ) -> Result<ReadRequirement, BatchError> {
        let Some(age) = job.route.max_age_ms.map(Duration::from_millis) else {
            if self.caller.token.is_none() {
                self.initialise_token(job).await?;
            }
            let position = self.token_position(job);
            let is_verified = self.verify(job, position).await?;
            return Ok(ReadRequirement { position, valid_until: job.deadline, is_verified });
        };
        let node = Arc::clone(&self.node);
        let group = &job.route.group;
        let account = &self.caller.credentials.account;
        let now = node.clock.now();
        let latest = node.entry.barriers.latest(group);
        let younger = |age: Duration| latest.filter(|barrier| now.since(barrier.started_at) < age);
        if younger(age / RENEWAL_DIVISOR).is_none() {
            node.entry.barriers.refresh(&node, group, account);
        }
        let renewal = age * (RENEWAL_DIVISOR - 1) / RENEWAL_DIVISOR;
        let barrier = match younger(renewal) {
            Some(barrier) => barrier,
            None => {
                // The old barrier remains usable until it exceeds the accepted
                // age. Half of the time left is spent on waiting for a new one.
                let left = younger(age).map(|barrier| age - now.since(barrier.started_at));
                let max_wait =
                    left.map_or(Duration::from_millis(FRESHNESS_WAIT_MS), |left| left / 2);
                let (since, until) = (now - renewal, now + max_wait);
                let taken =
                    node.entry.barriers.barrier_since(&node, (group, account), since, until).await;
                taken.ok().or_else(|| younger(age)).ok_or(Refusal::TooStale)?
            }
        };
        let seen = self.token_position(job);
        let is_verified = self.verify(job, seen).await?;
        let position = seen.max(Some(barrier.position));
        Ok(ReadRequirement {
            position,
            valid_until: job.deadline.min(barrier.started_at + age),
            is_verified,
        })
    }

    /// Verifies that the group has reached a position of the session token.
    ///
    /// A position that this VM has not seen before may be forged. A barrier
    /// checks it first, because a forged position would make the servers seem to
    /// lag behind. Returns `false` if the position cannot be verified because no
    /// primary answers.
    async fn verify(&self, job: &Job<'_>, position: Option<Position>) -> Result<bool, BatchError> {
        let Some(position) = position else { return Ok(true) };
        let node = Arc::clone(&self.node);
        let (group, account) = (&job.route.group, &self.caller.credentials.account);
        let mut views = node.groups.follow(group);
        let end = job.deadline.min(node.clock.now() + Duration::from_millis(FRESHNESS_WAIT_MS));
        let known = node.entry.with_estimates(group, |estimates| estimates.newest());
        if known.is_some_and(|known| views.borrow().covers(known, position)) {
            return Ok(true);
        }
        loop {
            let now = node.clock.now();
            let until = end.min(now + Duration::from_millis(VERIFY_TIMEOUT_MS));
            let taken =
                node.entry.barriers.barrier_since(&node, (group, account), now, until).await;
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

    /// Initialises the session token from a barrier that began after the caller
    /// connected. Its position covers all that the caller did before on other
    /// connections.
    pub(super) async fn initialise_token(&mut self, job: &Job<'_>) -> Result<(), BatchError> {
        let node = Arc::clone(&self.node);
        let (group, account) = (&job.route.group, &self.caller.credentials.account);
        let barriers = &node.entry.barriers;
        let taken = barriers
            .barrier_since(&node, (group, account), self.connected_at, job.deadline)
            .await?;
        self.caller.token.get_or_insert_default().observe(group, taken.position);
        Ok(())
    }

    /// Returns the position of the session token in the group of the route.
    fn token_position(&self, job: &Job<'_>) -> Option<Position> {
        self.caller.token.as_ref().and_then(|token| token.position(&job.route.group))
    }
}
