//! The promotion that a failover has requested, until it is seen or given up.

use std::time::Duration;

use super::{Action, Cause, Failover, MAX_ANSWER_AGE, REPEAT_INTERVAL};
use crate::{id::ServerId, position::Position, time::Time};

/// Time between two polls of a server whose promotion was requested.
const PROMOTION_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a promotion is requested again.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

impl Failover {
    /// Returns the server whose promotion was requested.
    pub fn promotion_target(&self) -> Option<&ServerId> {
        self.promotion_sent.and(self.target.as_ref())
    }

    /// Returns the end of the log of the server whose promotion was requested, at that time.
    pub fn target_received(&self) -> Position {
        self.target_received.unwrap_or_default()
    }

    /// Returns whether a promotion was ever requested, by this failover or an earlier one whose
    /// order may still be carried out.
    pub fn has_ordered(&self) -> bool {
        self.target_received.is_some() || self.open_order.is_some()
    }

    /// Records that the last request for a promotion was not sent, because the coordinator's row
    /// could not be written. It is made again after a pause.
    pub fn record_promotion_unsent(&mut self, now: Time) {
        self.retry_after = Some(now + REPEAT_INTERVAL);
        if self.is_repeated {
            self.choose_again(now);
            return;
        }
        self.target_received = None;
        self.promotion_sent = None;
        if self.cause == Cause::Failure {
            self.target = None;
        }
    }

    /// Records that the server whose promotion was requested does not run. The server to promote
    /// is then chosen again.
    pub fn record_promotion_refusal(&mut self) {
        if let Some(target) = self.target.take()
            && let Some(replica) = self.replicas.get_mut(&target)
        {
            replica.status = None;
        }
        self.promotion_sent = None;
    }

    /// Returns whether the server whose promotion was requested has started again without the
    /// log for which it was chosen.
    pub(super) fn has_lost_target(&self) -> bool {
        let status = self.promotion_target().and_then(|target| self.replicas.get(target)?.status);
        status.is_some_and(|status| !status.primary && Some(status.received) < self.target_received)
    }

    /// Gives up the requested promotion. The next request has a higher token, so that the
    /// directory refuses the earlier one from then on.
    pub(super) fn choose_again(&mut self, now: Time) {
        self.target = None;
        self.promotion_sent = None;
        self.fencing_since = self.fencing_since.map(|_| now);
    }

    /// Returns the actions that follow up the promotion that was requested at `sent`.
    pub(super) fn check_promotion(
        &mut self,
        target: ServerId,
        sent: Time,
        now: Time,
    ) -> Vec<Action> {
        let Some(replica) = self.replicas.get_mut(&target) else { return Vec::new() };
        if now.since(sent) >= PROMOTION_RETRY_INTERVAL {
            return self.repeat_promotion(target, now);
        }
        if replica.last_action.is_some_and(|last| now.since(last) < PROMOTION_CHECK_INTERVAL) {
            return Vec::new();
        }
        replica.last_action = Some(now);
        vec![Action::Poll(target)]
    }

    /// Requests the promotion again, unless the target has not answered lately: then it may have
    /// lost its log.
    fn repeat_promotion(&mut self, target: ServerId, now: Time) -> Vec<Action> {
        let answered = self.replicas.get(&target).and_then(|replica| replica.answered);
        if answered.is_none_or(|time| now.since(time) >= MAX_ANSWER_AGE) {
            self.record_promotion_refusal();
            self.choose_again(now);
            return Vec::new();
        }
        self.is_repeated = true;
        self.promotion_sent = Some(now);
        vec![Action::Promote(target)]
    }
}
