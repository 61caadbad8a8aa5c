//! Whether a failover is finished, or given up.

use std::time::Duration;

use super::{Cause, Demotion, Failover, floor::Shortage};
use crate::{id::ServerId, position::Term, time::Time};

/// Time after the start of fencing within which the promotion must be requested.
const FENCED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a failover is abandoned if all replicas answer and none may be promoted.
const BEHIND_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a failover is abandoned in which no server may be promoted.
const BEHIND: &str = "no server that answers has received what is acknowledged";

/// Why a failover is abandoned while an order of another one has been carried out.
const SUPERSEDED: &str = "another server is already primary";

/// Time after which a planned failover without a requested promotion is abandoned.
const PLANNED_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which any failover is abandoned, so that a new one can start from current
/// information.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(12);

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

impl Failover {
    /// Returns the progress at `now`.
    pub fn progress(&self, now: Time) -> Progress {
        for (server, replica) in &self.replicas {
            let is_target = self.promotion_target() == Some(server);
            match replica.status {
                // It led before, and answers late as what it was.
                Some(status) if status.primary && is_target && status.term < self.term => {}
                Some(status) if status.primary && is_target => {
                    return Progress::Done(server.clone(), status.term);
                }
                Some(status) if status.primary => return Progress::Abandoned(SUPERSEDED),
                _ => {}
            }
        }
        if self.is_superseded() {
            return Progress::Abandoned(SUPERSEDED);
        }
        if self.replicas.is_empty() {
            return Progress::Abandoned("no other backend server is left");
        }
        match self.shortage {
            Shortage::Since(since) if now.since(since) >= BEHIND_TIMEOUT => {
                return Progress::Abandoned(BEHIND);
            }
            Shortage::Cleared if self.fencing_since.is_none() && self.is_demotion_due(now) => {
                return Progress::Abandoned("the primary works, and a replica has caught up");
            }
            _ => {}
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
            return Progress::Abandoned(match self.all_fenced() && self.lacks_candidate() {
                true => BEHIND,
                false => "a backend server or the directory no longer answers",
            });
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
}
