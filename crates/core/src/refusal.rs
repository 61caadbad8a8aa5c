//! Table of all refusals, which are the answers that the proxy gives instead of a
//! result.
//!
//! A test checks that `docs/REFUSALS.md` matches this table.

use std::fmt;

/// Effect of a refused request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// No part of the request took effect or will take effect later.
    NotRun,
    /// The whole request took effect, but its answer is lost.
    Committed,
    /// The request may or may not have taken effect.
    Unknown,
}

impl Outcome {
    /// Returns the text that every refusal message ends with.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not run",
            Outcome::Committed => "committed, answer lost",
            Outcome::Unknown => "outcome unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Whether the proxy itself may retry a refused request before it reports the
/// refusal to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The proxy never retries.
    Never,
    /// The proxy retries, subject to the deadline and the retry budget.
    Allowed,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The key is unknown, withdrawn or wrong.
    BadKey,
    /// The account isn't allowed to use the route.
    RouteDenied,
    /// No route with this name is configured.
    RouteUnknown,
    /// The account has exceeded its rate and burst.
    RateExceeded,
    /// The queue of the backend server is full.
    QueueFull,
    /// The request cannot finish before its deadline.
    DeadlineTooClose,
    /// The deadline passed before the request was sent to a backend server.
    DeadlinePassed,
    /// No primary is known, or it could not be reached in time.
    NoPrimary,
    /// The server that received the request is not the primary of the current term.
    NotPrimary,
    /// Too few servers have received the recent writes, so new writes are refused.
    MajorityLagging,
    /// No server is as fresh as the session or the route requires.
    TooStale,
    /// The home of the backend server could not be reached.
    HomeUnreachable,
    /// The backend server could not be reached, or its connection was lost before
    /// the request was sent.
    ServerUnreachable,
    /// The statement needs a feature that pooled connections do not support.
    Unsupported,
    /// A message from the caller violates the protocol.
    Malformed,
    /// The VM or the data centre is draining and accepts no new requests.
    Draining,
    /// The VM has no configuration, or its configuration is too old.
    NotReady,
    /// The session token is malformed.
    BadToken,
    /// This VM or this account has too many connections.
    TooManyConnections,
    /// The proxy ended the transaction, which was rolled back.
    TransactionEnded,
    /// A write was interrupted after it was sent, and its outcome could not be
    /// determined.
    WriteInterrupted,
    /// A write was interrupted but had committed.
    WriteCommitted,
    /// A write was interrupted and had been rolled back or lost.
    WriteLost,
    /// No majority confirmed the write before the deadline.
    Unconfirmed,
    /// A read was interrupted after its first row had been sent to the caller.
    ReadInterrupted,
}

/// Row of the table of refusals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Label of the refusal in metrics and logs.
    pub label: &'static str,
    /// SQLSTATE sent to the caller.
    pub sqlstate: &'static str,
    /// Effect of the refused request.
    pub outcome: Outcome,
    /// Whether the proxy may retry before it reports the refusal.
    pub retry: Retry,
    /// Message to the caller that says what happened.
    pub message: &'static str,
    /// Message to the caller that says what to do.
    pub hint: &'static str,
}

impl Refusal {
    /// All refusals, in the order of `docs/REFUSALS.md`.
    pub const ALL: [Refusal; 25] = [
        Refusal::BadKey,
        Refusal::RouteDenied,
        Refusal::RouteUnknown,
        Refusal::RateExceeded,
        Refusal::QueueFull,
        Refusal::DeadlineTooClose,
        Refusal::DeadlinePassed,
        Refusal::NoPrimary,
        Refusal::NotPrimary,
        Refusal::MajorityLagging,
        Refusal::TooStale,
        Refusal::HomeUnreachable,
        Refusal::ServerUnreachable,
        Refusal::Unsupported,
        Refusal::Malformed,
        Refusal::Draining,
        Refusal::NotReady,
        Refusal::BadToken,
        Refusal::TooManyConnections,
        Refusal::TransactionEnded,
        Refusal::WriteInterrupted,
        Refusal::WriteCommitted,
        Refusal::WriteLost,
        Refusal::Unconfirmed,
        Refusal::ReadInterrupted,
    ];

    /// Returns the table row of this refusal.
    pub fn row(self) -> Row {
        use Outcome::{Committed, NotRun, Unknown};
        use Retry::{Allowed, Never};
        let (label, sqlstate, outcome, retry, message, hint) = match self {
            Refusal::BadKey => (
                "bad_key",
                "28P01",
                NotRun,
                Never,
                "key refused",
                "check the key, or ask for a new one",
            ),
            Refusal::RouteDenied => (
                "route_denied",
                "42501",
                NotRun,
                Never,
                "account may not use this route",
                "ask the operator for the route",
            ),
            Refusal::RouteUnknown => (
                "route_unknown",
                "3D000",
                NotRun,
                Never,
                "no such route",
                "check the database name",
            ),
            Refusal::RateExceeded => (
                "rate_exceeded",
                "53400",
                NotRun,
                Never,
                "account is above its rate",
                "slow down and retry later",
            ),
            Refusal::QueueFull => (
                "queue_full",
                "53000",
                NotRun,
                Never,
                "too many requests wait for the backend server",
                "retry later",
            ),
            Refusal::DeadlineTooClose => (
                "deadline_too_close",
                "57014",
                NotRun,
                Never,
                "the request cannot finish in time",
                "retry later",
            ),
            Refusal::DeadlinePassed => (
                "deadline_passed",
                "57014",
                NotRun,
                Never,
                "the deadline passed while waiting",
                "retry later",
            ),
            Refusal::NoPrimary => {
                ("no_primary", "57P03", NotRun, Allowed, "no primary is available", "retry")
            }
            Refusal::NotPrimary => (
                "not_primary",
                "25006",
                NotRun,
                Allowed,
                "the server is no longer the primary",
                "retry",
            ),
            Refusal::MajorityLagging => (
                "majority_lagging",
                "53000",
                NotRun,
                Never,
                "too few replicas keep up with writes",
                "retry later",
            ),
            Refusal::TooStale => (
                "too_stale",
                "57P03",
                NotRun,
                Allowed,
                "no server is fresh enough for this read",
                "retry",
            ),
            Refusal::HomeUnreachable => (
                "home_unreachable",
                "08006",
                NotRun,
                Allowed,
                "the VM in charge of the server is unreachable",
                "retry",
            ),
            Refusal::ServerUnreachable => (
                "server_unreachable",
                "08006",
                NotRun,
                Allowed,
                "the backend server is unreachable",
                "retry",
            ),
            Refusal::Unsupported => (
                "unsupported",
                "0A000",
                NotRun,
                Never,
                "pooled connections do not support this statement",
                "see docs/REFUSALS.md",
            ),
            Refusal::Malformed => (
                "malformed",
                "08P01",
                NotRun,
                Never,
                "malformed message",
                "check the client library",
            ),
            Refusal::Draining => {
                ("draining", "57P01", NotRun, Never, "this VM takes no new work", "reconnect")
            }
            Refusal::NotReady => (
                "not_ready",
                "57P03",
                NotRun,
                Never,
                "no configuration that is fresh enough",
                "retry",
            ),
            Refusal::BadToken => (
                "bad_token",
                "22023",
                NotRun,
                Never,
                "malformed session token",
                "send the token as it was received",
            ),
            Refusal::TooManyConnections => (
                "too_many_connections",
                "53300",
                NotRun,
                Never,
                "too many connections",
                "close idle connections",
            ),
            Refusal::TransactionEnded => (
                "transaction_ended",
                "25P03",
                NotRun,
                Never,
                "the transaction was rolled back by the proxy",
                "run the transaction again",
            ),
            Refusal::WriteInterrupted => (
                "write_interrupted",
                "08007",
                Unknown,
                Never,
                "the write was interrupted",
                "check whether it took effect",
            ),
            Refusal::WriteCommitted => (
                "write_committed",
                "08007",
                Committed,
                Never,
                "the write took effect but its answer is lost",
                "do not run it again",
            ),
            Refusal::WriteLost => (
                "write_lost",
                "40001",
                NotRun,
                Allowed,
                "the write was interrupted and rolled back",
                "run it again",
            ),
            Refusal::Unconfirmed => (
                "unconfirmed",
                "08007",
                Unknown,
                Never,
                "no majority confirmed the request in time",
                "check whether it took effect",
            ),
            Refusal::ReadInterrupted => (
                "read_interrupted",
                "08006",
                NotRun,
                Allowed,
                "the answer broke off",
                "run the read again",
            ),
        };
        Row { label, sqlstate, outcome, retry, message, hint }
    }

    /// Returns the effect of the refused request.
    pub fn outcome(self) -> Outcome {
        self.row().outcome
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.row();
        write!(f, "{}: {}", row.message, row.outcome)
    }
}

impl std::error::Error for Refusal {}

impl std::str::FromStr for Refusal {
    type Err = UnknownLabel;

    fn from_str(label: &str) -> Result<Self, UnknownLabel> {
        Refusal::ALL.into_iter().find(|r| r.row().label == label).ok_or(UnknownLabel)
    }
}

/// Error for a text that is not the label of any [`Refusal`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no refusal has this label")]
pub struct UnknownLabel;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn labels_parse_to_their_refusal() {
        for refusal in Refusal::ALL {
            assert_eq!(refusal.row().label.parse(), Ok(refusal));
        }
    }

    #[test]
    fn messages_end_with_the_outcome() {
        assert!(Refusal::RateExceeded.to_string().ends_with("not run"));
        assert!(Refusal::Unconfirmed.to_string().ends_with("outcome unknown"));
    }
}
