//! Reasons for which a request that was read whole ends without a whole answer.
//!
//! Every request is to be answered, with a refusal if need be. The exceptions are
//! counted by reason, so that an operator can tell a caller that left from a fault of
//! the daemon.

use std::fmt;

/// Why a request that was read whole got no whole answer.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::unanswered::Unanswered;
///
/// assert_eq!(Unanswered::AnswerFailed.to_string(), "answer_failed");
/// assert!(!Unanswered::AnswerFailed.is_fault());
/// assert!(Unanswered::Panicked.is_fault());
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Unanswered {
    /// The caller's connection failed while the request ran.
    ConnectionFailed,
    /// The caller's connection failed while the answer was sent.
    AnswerFailed,
    /// The task of the session panicked.
    Panicked,
    /// The process ended while the request ran.
    ProcessEnded,
}

impl Unanswered {
    /// All reasons, in the order of `docs/OPERATIONS.md`.
    pub const ALL: [Unanswered; 4] = [
        Unanswered::ConnectionFailed,
        Unanswered::AnswerFailed,
        Unanswered::Panicked,
        Unanswered::ProcessEnded,
    ];

    /// Returns the label of the reason in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Unanswered::ConnectionFailed => "connection_failed",
            Unanswered::AnswerFailed => "answer_failed",
            Unanswered::Panicked => "panicked",
            Unanswered::ProcessEnded => "process_ended",
        }
    }

    /// Returns whether the daemon caused it, and not the caller or the network.
    pub fn is_fault(self) -> bool {
        matches!(self, Unanswered::Panicked | Unanswered::ProcessEnded)
    }
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
