//! Prepared statements that a session keeps, and the limit of their size.

use chicoryhollow_core::budget::Holding;

use super::{
    batch::Effect,
    meter::Meter,
    session::Session,
    statements::{Statements, statements_bytes},
};
use crate::wire::{Frame, HEADER_BYTES};

/// Tag of the message that prepares a statement.
const PARSE: u8 = b'P';

impl Session {
    /// Returns whether the session may keep the statement that a message prepares, if it does.
    pub(super) fn has_room_for(&self, frame: &Frame) -> bool {
        let bytes = frame.bytes();
        // The unnamed statement, whose name ends at once, replaces the one before.
        if frame.tag() != PARSE || bytes.get(HEADER_BYTES) == Some(&0) {
            return true;
        }
        let limit = self.caller.connection.meter().map_or(usize::MAX, Meter::session_limit);
        let added = 2 * (bytes.len() + self.caller_batch.messages.len());
        self.kept_bytes + added <= limit.max(2 * self.node.settings.limits.message_bytes)
    }

    /// Applies the effects of answered messages.
    pub(super) fn apply(&mut self, effects: Vec<Effect>) {
        let changes = !effects.is_empty();
        for effect in effects {
            match effect {
                Effect::Define(name, statement) => {
                    self.statements.insert(name, statement);
                }
                Effect::Remove(name) => drop(self.statements.remove(&name)),
            }
        }
        if self.statements.is_empty() {
            self.statements = Statements::new();
        }
        if let Some(meter) = self.caller.connection.meter().filter(|_| changes) {
            self.kept_bytes = statements_bytes(self.statements.values());
            meter.hold(Holding::Session, self.kept_bytes);
        }
    }
}
