//! Demotion: a primary that is replaced becomes a replica before another one is promoted.
//!
//! A primary acknowledges commits as long as any replica receives them, also one that the
//! coordinator does not know yet. Only after it has stepped down are its acknowledgements
//! known to have ended. A primary that does not answer cannot be asked; the request is
//! repeated until the failover ends, in case that it answers again before its successor leads.

use std::time::Duration;

use super::{Action, REPEAT_INTERVAL, ReplicationStatus, replica::Report};
use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
};

/// Maximum age of the last answer of a primary that has to step down first.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(600);

/// The primary that a failover replaces.
#[derive(Clone, Debug)]
pub(super) struct Demotion {
    server: ServerId,
    status: Option<ReplicationStatus>,
    /// When it last answered as the primary.
    answered: Time,
    /// When it was first asked to step down.
    since: Option<Time>,
    last_action: Option<Time>,
    /// When it was last asked for its status alone.
    last_poll: Option<Time>,
    /// When an answer first showed that it has stepped down.
    stepped_down: Option<Time>,
}

impl Demotion {
    pub(super) fn new(server: ServerId, answered: Time) -> Self {
        Demotion {
            server,
            status: None,
            answered,
            since: None,
            last_action: None,
            last_poll: None,
            stepped_down: None,
        }
    }

    pub(super) fn server(&self) -> &ServerId {
        &self.server
    }

    pub(super) fn status(&self) -> Option<ReplicationStatus> {
        self.status
    }

    pub(super) fn report(&self) -> Report<'_> {
        Report { server: &self.server, status: self.status, answered: Some(self.answered) }
    }

    /// Returns since when it has been asked to step down.
    pub(super) fn since(&self) -> Option<Time> {
        self.since
    }

    /// Records an answer. Once the server has stepped down, answers that it sent before as the
    /// primary have no effect.
    pub(super) fn record_status(&mut self, status: ReplicationStatus, now: Time) {
        match (status.primary, self.stepped_down) {
            (true, Some(_)) => return,
            (true, None) => self.answered = now,
            (false, _) => drop(self.stepped_down.get_or_insert(now)),
        }
        self.status = Some(status);
    }

    /// Returns whether it answers and has not stepped down.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.stepped_down.is_none() && now.since(self.answered) < MAX_ANSWER_AGE
    }

    /// Returns the end of its log and since when that has been known, if it has stepped down.
    pub(super) fn stepped_down(&self) -> Option<(Position, Time)> {
        Some((self.status?.received, self.stepped_down?))
    }

    /// Returns the request for its status, if that is due.
    pub(super) fn poll(&mut self, now: Time) -> Option<Action> {
        let is_recent = self.last_poll.is_some_and(|last| now.since(last) < REPEAT_INTERVAL);
        if is_recent {
            return None;
        }
        self.last_poll = Some(now);
        Some(Action::Poll(self.server.clone()))
    }

    /// Returns the requests to send: to step down, and for its status, because the answer to
    /// the former may be a refusal.
    pub(super) fn next_actions(&mut self, term: Term, now: Time) -> Vec<Action> {
        let is_recent = self.last_action.is_some_and(|last| now.since(last) < REPEAT_INTERVAL);
        if self.stepped_down.is_some() || is_recent {
            return Vec::new();
        }
        self.since.get_or_insert(now);
        self.last_action = Some(now);
        vec![Action::Demote(self.server.clone(), term), Action::Poll(self.server.clone())]
    }
}
