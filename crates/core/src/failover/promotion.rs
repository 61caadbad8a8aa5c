//! The promotion that a failover has requested, until it is seen or given up.

use std::time::Duration;

use super::{Action, Cause, Failover, MAX_ANSWER_AGE, REPEAT_INTERVAL};
use crate::{id::ServerId, position::Position, time::Time};

/// Time between two polls of a server whose promotion was requested.
const PROMOTION_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a promotion is requested again.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Number of an attempt to order a promotion, within one failover.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct AttemptNumber(u32);

/// An attempt to order a promotion.
///
/// The order is written to the coordinator's row first, which takes time. The attempt is then
/// claimed, and the order is sent only if the failover still wants it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderAttempt {
    server: ServerId,
    number: AttemptNumber,
}

impl OrderAttempt {
    /// Returns the server to promote.
    pub fn server(&self) -> &ServerId {
        &self.server
    }
}

impl Failover {
    /// Returns whether the order of an attempt may be sent now, and counts it as sent. It may not
    /// if the failover has ended or made another attempt, another server is known to lead, or the
    /// server would not be chosen now.
    pub fn claim(&mut self, attempt: &OrderAttempt, now: Time) -> bool {
        let is_wanted = self.is_current(attempt)
            && !self.is_attempt_sent()
            && !self.is_superseded()
            && self.has_answered_lately(&attempt.server, now)
            && !self.has_lost_target()
            && self.promotable(now).as_ref() == Some(&attempt.server);
        if is_wanted {
            self.sent_attempt = Some(self.attempt);
            self.promotion_sent = Some(now);
        }
        is_wanted
    }

    /// Returns whether an order of this failover was sent.
    pub fn has_sent_order(&self) -> bool {
        self.sent_attempt.is_some()
    }

    /// Returns whether this is the newest attempt, and it was not given up.
    fn is_current(&self, attempt: &OrderAttempt) -> bool {
        !self.has_ended
            && attempt.number == self.attempt
            && self.promotion_target() == Some(&attempt.server)
    }

    /// Returns whether the order of the newest attempt was sent.
    fn is_attempt_sent(&self) -> bool {
        self.sent_attempt == Some(self.attempt)
    }

    /// Makes another attempt to order the promotion of the target.
    pub(super) fn next_attempt(&mut self, server: ServerId, now: Time) -> Action {
        self.attempt_floor = self.required();
        self.attempt = AttemptNumber(self.attempt.0 + 1);
        self.promotion_sent = Some(now);
        Action::Promote(OrderAttempt { server, number: self.attempt })
    }

    /// Gives the newest attempt up if its order was not sent.
    pub(super) fn withdraw(&mut self) {
        if self.promotion_sent.is_none() || self.is_attempt_sent() {
            return;
        }
        self.promotion_sent = None;
        if self.cause == Cause::Failure {
            self.target = None;
        }
        if self.sent_attempt.is_none() {
            self.target_received = None;
        }
    }

    /// Returns the server whose promotion was requested.
    pub fn promotion_target(&self) -> Option<&ServerId> {
        self.promotion_sent.and(self.target.as_ref())
    }

    /// Returns the end of the log of the server whose promotion was requested, at that time.
    pub fn target_received(&self) -> Position {
        self.target_received.unwrap_or_default()
    }

    /// Returns whether an order was sent, by this failover or an earlier one, that may still be
    /// carried out.
    pub fn has_open_order(&self) -> bool {
        self.has_sent_order() || self.open_order.is_some()
    }

    /// Records that the order of an attempt was not sent, because the coordinator's row could not
    /// be written or the attempt was not wanted any more. Another one is made after a pause.
    pub fn record_promotion_unsent(&mut self, attempt: &OrderAttempt, now: Time) {
        if !self.is_current(attempt) {
            return;
        }
        self.retry_after = Some(now + REPEAT_INTERVAL);
        match self.has_sent_order() {
            true => self.choose_again(),
            false => self.withdraw(),
        }
    }

    /// Records that the server of an attempt does not run. The server to promote is then chosen
    /// again.
    pub fn record_promotion_refusal(&mut self, attempt: &OrderAttempt) {
        if self.is_current(attempt) {
            self.forget_target();
        }
    }

    fn forget_target(&mut self) {
        self.unannounced |= self.has_sent_order();
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
    /// directory refuses the earlier one from then on. Until then that one may be carried out.
    pub(super) fn choose_again(&mut self) {
        self.unannounced |= self.has_sent_order();
        self.target = None;
        self.promotion_sent = None;
        self.fencing_since = None;
    }

    /// Returns the actions that follow up the promotion that was requested at `sent`.
    pub(super) fn check_promotion(
        &mut self,
        target: ServerId,
        sent: Time,
        now: Time,
    ) -> Vec<Action> {
        let Some(replica) = self.replicas.get_mut(&target) else {
            self.choose_again();
            return Vec::new();
        };
        let is_polled =
            replica.last_action.is_some_and(|last| now.since(last) < PROMOTION_CHECK_INTERVAL);
        if !is_polled {
            replica.last_action = Some(now);
        }
        let mut actions = match is_polled {
            true => Vec::new(),
            false => vec![Action::Poll(target.clone())],
        };
        if now.since(sent) >= PROMOTION_RETRY_INTERVAL {
            actions.extend(self.repeat_promotion(target, now));
        }
        actions
    }

    /// Requests the promotion again, unless the target has not answered lately: then it may have
    /// lost its log. An attempt that still waits for the coordinator's row is not repeated.
    fn repeat_promotion(&mut self, target: ServerId, now: Time) -> Option<Action> {
        if !self.has_answered_lately(&target, now) {
            self.forget_target();
            self.choose_again();
            return None;
        }
        self.is_attempt_sent().then(|| self.next_attempt(target, now))
    }

    fn has_answered_lately(&self, server: &ServerId, now: Time) -> bool {
        let answered = self.replicas.get(server).and_then(|replica| replica.answered);
        answered.is_some_and(|time| now.since(time) < MAX_ANSWER_AGE)
    }
}
