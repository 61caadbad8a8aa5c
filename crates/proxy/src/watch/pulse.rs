//! Short statuses, which backend servers report between complete ones.

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    watch::{ServerRole, ServerStatus},
};

use super::convert::parse_role;
use crate::home::control::ControlRow;

/// The part of a status that changes all the time, and the values that show whether
/// the rest has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Pulse {
    role: ServerRole,
    term: u64,
    fence_term: u64,
    version: u64,
    received: u64,
    applied: u64,
    age: Option<Duration>,
}

impl Pulse {
    /// Parses the result of the control function `pulse()`.
    pub(super) fn from_row(row: &ControlRow) -> Option<Self> {
        let mut fields = row.get("pulse")?.split(' ');
        let role = parse_role(fields.next()?)?;
        let mut number = || fields.next()?.parse().ok();
        Some(Pulse {
            role,
            term: number()?,
            fence_term: number()?,
            version: number()?,
            received: number()?,
            applied: number()?,
            // A server without a majority reports a negative age.
            age: number().map(Duration::from_millis),
        })
    }

    /// Returns `last` with the values of this answer, or `None` if values that the
    /// answer does not contain may have changed.
    pub(super) fn merge(self, last: &ServerStatus) -> Option<ServerStatus> {
        let same = self.role == last.role
            && self.term == last.term.get()
            && self.fence_term == last.fence_term.get()
            && self.version == last.members_version;
        same.then(|| ServerStatus {
            received: Lsn::new(self.received),
            applied: Lsn::new(self.applied),
            majority_age: self.age,
            ..last.clone()
        })
    }
}
