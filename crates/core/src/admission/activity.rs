//! What requests of one priority do.

/// What requests of one priority do now, and how many got no connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Activity {
    /// Requests that wait.
    pub waiting: u32,
    /// Statements that hold a slot.
    pub running: u32,
    /// Requests refused on arrival since the last report.
    pub refused: u64,
    /// Requests that gave up waiting since the last report, because they could no longer be
    /// answered in time.
    pub expired: u64,
}

impl Activity {
    /// Starts the next report.
    pub(super) fn restart(&mut self) {
        (self.refused, self.expired) = (0, 0);
    }
}
