//! Requests for connections and slots, and what they are granted.

use std::time::Duration;

use crate::{id::AccountId, time::Time, waiting::Priority};

/// Bounds of what a home may use of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Connections that may be open.
    pub connections: u32,
    /// Statements that may run at once.
    pub slots: u32,
}

/// A request for a connection and a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Client account as which the statement runs.
    pub account: &'a AccountId,
    /// Priority of the request.
    pub priority: Priority,
    /// Time within which the statement should be answered.
    pub patience: Duration,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    pub(super) priority: Priority,
    pub(super) number: u64,
}

/// What becomes of a request on arrival.
#[derive(Debug)]
pub enum Arrival {
    /// It may use a connection and a slot.
    Admitted(Grant),
    /// It waits.
    Waiting(Ticket),
    /// It is refused, because it would have to wait about this long.
    Refused(Duration),
}

/// The use of a connection, and of a slot unless its transaction is idle.
#[derive(Debug)]
pub struct Grant {
    pub(super) account: AccountId,
    pub(super) priority: Priority,
    /// When it got its slot, or `None` if its transaction is idle.
    pub(super) since: Option<Time>,
    /// Time for which the server worked for it since then.
    pub(super) worked: Duration,
    /// Whether the server answered a statement since then.
    pub(super) answered: bool,
    /// Service time that the account was charged in advance.
    pub(super) charged: Duration,
    /// Whether a connection was taken for it.
    pub(super) connected: bool,
}

impl Grant {
    /// Records that the server answered a statement of the request after it worked for `span`.
    pub fn record_work(&mut self, span: Duration) {
        self.worked += span;
        self.answered = true;
    }
}
