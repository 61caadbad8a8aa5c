//! Work whose result several tasks share.

/// Lets only one task at a time do work whose result all tasks share.
#[derive(Debug, Default)]
pub(crate) struct SingleFlight {
    running: bool,
}

impl SingleFlight {
    /// Starts the work and returns true, unless another task is running it.
    pub(crate) fn try_start(&mut self) -> bool {
        !std::mem::replace(&mut self.running, true)
    }

    /// Ends the work, after which any task may start it again.
    pub(crate) fn end(&mut self) {
        self.running = false;
    }
}
