//! The server of one attempt to run a batch.

use std::time::Duration;

use chicoryhollow_core::{prelude::*, route::Choice};

use crate::{entry::freshness::ReadRequirement, stream::Access};

/// How long the primary may take to reach the position that a read needs, in
/// milliseconds.
const PRIMARY_WAIT_MS: u64 = 20;

/// The server of one attempt and the conditions of the attempt.
pub(super) struct Target {
    pub(super) server: ServerId,
    pub(super) access: Access,
    /// Position that the server must have applied.
    pub(super) min_position: Option<Position>,
    /// How long the server may take to apply that position.
    pub(super) max_wait: Duration,
    /// Time by which the batch must have begun.
    pub(super) start_by: Time,
    /// Whether the time to the answer measures the speed of the server.
    pub(super) is_timed: bool,
    /// Whether a refusal as too stale counts against the server.
    pub(super) penalise_stale: bool,
}

impl Target {
    /// Returns the target of a read on the chosen server.
    pub(super) fn for_read(choice: Choice, requirement: &ReadRequirement) -> Target {
        let access = if choice.primary { Access::Barrier } else { Access::Read };
        let max_wait = match choice.primary {
            true => Duration::from_millis(PRIMARY_WAIT_MS),
            false => choice.max_wait,
        };
        Target {
            server: choice.server,
            access,
            min_position: requirement.position,
            max_wait,
            start_by: requirement.valid_until,
            is_timed: choice.expected_wait.is_zero(),
            penalise_stale: requirement.is_verified && !choice.primary,
        }
    }

    /// Returns the target of a write, which must have begun by `start_by`.
    pub(super) fn for_primary(server: ServerId, start_by: Time) -> Target {
        Target {
            server,
            access: Access::Write,
            min_position: None,
            max_wait: Duration::ZERO,
            start_by,
            is_timed: false,
            penalise_stale: false,
        }
    }
}
