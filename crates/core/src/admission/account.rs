//! What one account uses of a server.

use std::time::Duration;

/// What one account uses of a server and waits for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    /// Slot time that the account used, counted from the start of the queue.
    pub(super) virtual_time: Duration,
    /// Number of waiting requests.
    pub(super) waiting: u32,
    /// Connections in use, idle transactions included.
    pub(super) in_use: u32,
    /// Connections in use whose transactions are idle.
    pub(super) idle: u32,
    /// Admitted requests that have not taken a connection yet.
    pub(super) unconnected: u32,
}
