//! Variables and prepared statements, which a session keeps until it ends.

use chicoryhollow_core::budget::{Holding, LimitReason};

use super::{Flow, Session, local, unknown_name};
use crate::{
    seam::{Directory, ServerProtocol},
    statement::PreparedStatement,
};

/// Maximum number of variables, and of prepared statements, of one session.
const MAX_NAMES: usize = 1_024;

impl<S: ServerProtocol, D: Directory> Session<S, D> {
    pub(super) fn set_variable(&mut self, name: &str, value: &str) -> Flow {
        let before = self.values.get(name).map(|value| name.len() + value.len());
        let has_room = self.values.len() < MAX_NAMES || before.is_some();
        let has_room = has_room && self.keep(before, name.len() + value.len());
        if has_room {
            self.values.insert(name.to_owned(), value.to_owned());
        }
        local(has_room)
    }

    pub(super) fn add_prepared(&mut self, name: &str, prepared: &PreparedStatement) -> Flow {
        let before = self.names.get(name).map(|kept| name.len() + kept.text.len());
        let has_room = self.names.len() < MAX_NAMES || before.is_some();
        let has_room = has_room && self.keep(before, name.len() + prepared.text.len());
        if has_room {
            self.names.insert(name.to_owned(), prepared.clone());
        }
        local(has_room)
    }

    pub(super) fn remove_prepared(&mut self, name: &str) -> Flow {
        let Some(removed) = self.names.shift_remove(name) else { return unknown_name(name) };
        self.keep(Some(name.len() + removed.text.len()), 0);
        local(true)
    }

    /// Records that the state of the session grows by `bytes`, in place of the `before` ones of
    /// the same name. Returns whether there is room for them.
    fn keep(&mut self, before: Option<usize>, bytes: usize) -> bool {
        let kept = self.kept_bytes - before.unwrap_or_default() + bytes;
        if kept > self.meter.limits().session {
            self.meter.record_limit(LimitReason::Session);
            return false;
        }
        self.kept_bytes = kept;
        self.meter.hold(Holding::Session, kept);
        true
    }
}
