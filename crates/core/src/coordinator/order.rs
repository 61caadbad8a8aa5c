//! Promotion orders that may still be carried out.

use super::{
    FencingToken, Revision,
    record::{RecordedOrder, before, millis},
};
use crate::{
    id::{GroupId, ServerId},
    position::Term,
    time::Time,
    version::DirectoryVersion,
};

/// Outcome of a promotion order as the platform answered it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order is carried out, and older orders of its group are refused from now on.
    Accepted,
    /// The order is not carried out.
    Refused,
}

/// A promotion order that may still be carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenOrder {
    /// Group of the server.
    pub group: GroupId,
    /// Server to promote.
    pub server: ServerId,
    /// Term of the primary that is replaced.
    pub replaced: Term,
    /// Whether its server leads already, by an earlier order. It changes nothing as long as that
    /// server leads, and may promote it again afterwards.
    pub repeated: bool,
    /// Fencing token, or `None` if the order has not been sent.
    pub token: Option<FencingToken>,
    /// When the order was written first, at the earliest.
    pub written: Time,
    /// Since when this VM has known of the order.
    pub known: Time,
    /// Revision that added it, or `None` if it was read from the row.
    pub(super) revision: Option<Revision>,
    /// Whether all VMs were told that its group has a failover.
    pub(super) is_announced: bool,
}

impl OpenOrder {
    /// Returns the order of a row of this `version` that was read at `now`.
    pub(super) fn read(order: &RecordedOrder, version: DirectoryVersion, now: Time) -> Self {
        // An order without a token was sent with one of this version, if it was sent.
        let token = order.token.map(FencingToken::from_number);
        OpenOrder {
            group: order.group.clone(),
            server: order.server.clone(),
            replaced: order.replaced,
            repeated: order.repeated,
            token: Some(token.unwrap_or_else(|| FencingToken::new(version))),
            written: before(now, order.age_ms),
            known: now,
            revision: None,
            is_announced: false,
        }
    }

    /// Returns whether this is the order that was prepared with a revision.
    pub(super) fn is_new(&self, revision: Revision) -> bool {
        self.revision == Some(revision)
    }

    /// Returns the order as it is stored at `now`.
    pub(super) fn recorded(&self, now: Time) -> RecordedOrder {
        RecordedOrder {
            group: self.group.clone(),
            server: self.server.clone(),
            replaced: self.replaced,
            repeated: self.repeated,
            token: self.token.map(FencingToken::get),
            age_ms: millis(now.since(self.written)),
        }
    }
}
