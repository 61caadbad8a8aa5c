//! Leases of slices: the messages between borrower and keeper, and the state
//! that the borrower holds.
//!
//! A borrower is a VM that holds a slice of a keeper's part for a limited time.
//! Its lease starts before it sends the request, so that it ends on the
//! borrower's clock before the keeper gives the slice to another VM.

use std::time::Duration;

use crate::{
    id::Incarnation,
    share::{
        record::KeeperId,
        slice::{Ppm, Slice},
    },
    time::Time,
};

/// Duration of a lease on the borrower's clock, counted from before the request
/// is sent.
pub const LEASE_DURATION: Duration = Duration::from_millis(8_000);
/// Time after which a request counts as unanswered.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a keeper that granted too few tokens is assumed to have none
/// to spare.
const DEPLETED_PERIOD: Duration = Duration::from_millis(100);

/// A request for a slice.
///
/// It states the whole slice that the borrower holds of this keeper. After
/// sending it the borrower holds at most this slice until it accepts the answer
/// with the same number.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceRequest {
    /// Incarnation of the daemon that sends the request.
    pub incarnation: Incarnation,
    /// Number of the request, which increases with each request of the
    /// incarnation.
    pub number: u64,
    /// Requests per second for which the borrower wants a share of the keeper's
    /// part.
    pub demand: f64,
    /// Slice that the borrower holds of this keeper.
    pub held: Slice,
    /// Tokens wanted immediately, in thousandths.
    pub wanted_milli: u64,
    /// Tokens returned, in thousandths. The borrower has already removed them.
    pub returned_milli: u64,
    /// Whether the borrower is in the keeper's data centre.
    pub local: bool,
}

/// The answer to a [`SliceRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of the request that is answered.
    pub number: u64,
    /// Whole slice that the borrower holds of this keeper from now on.
    pub slice: Slice,
    /// Tokens handed over, in thousandths. The keeper has already removed them.
    pub tokens_milli: u64,
    /// Duration of the lease, counted from before the request was sent.
    pub lease: Duration,
    /// Whether the keeper accepts tokens that the borrower can spare.
    pub wants_tokens: bool,
}

/// The slice that one VM holds of one keeper, and the state of its requests.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    keeper: KeeperId,
    held: Slice,
    until: Time,
    number: u64,
    /// When the request that is not answered yet was sent.
    pending: Option<Time>,
    last_request: Option<Time>,
    wants_tokens: bool,
    wanted_milli: u64,
    /// When the keeper last granted no whole token although some were wanted.
    depleted: Option<Time>,
    /// When the keeper last granted fewer tokens than were wanted.
    short_grant: Option<Time>,
    /// Whether the keeper has not answered an earlier request.
    silent: bool,
}

impl Lease {
    pub(crate) fn new(keeper: KeeperId) -> Self {
        Lease {
            keeper,
            held: Slice::default(),
            until: Time::default(),
            number: 0,
            pending: None,
            last_request: None,
            wants_tokens: false,
            wanted_milli: 0,
            depleted: None,
            short_grant: None,
            silent: false,
        }
    }

    /// Sends further requests to the successor of the keeper. The slice held
    /// stays valid until its lease ends.
    pub(crate) fn switch_to(&mut self, keeper: KeeperId) {
        if self.keeper != keeper {
            self.keeper = keeper;
            self.pending = None;
            self.last_request = None;
        }
    }

    pub(crate) fn keeper(&self) -> &KeeperId {
        &self.keeper
    }

    /// Returns the slice that may be used at `now`, which is empty after the
    /// lease has ended.
    pub(crate) fn held(&self, now: Time) -> Slice {
        if now < self.until { self.held } else { Slice::default() }
    }

    /// Reduces the capacity of the slice to at most `capacity`.
    pub(crate) fn shrink_capacity(&mut self, capacity: Ppm) {
        self.held.capacity = self.held.capacity.min(capacity);
    }

    pub(crate) fn has_pending_request(&self, now: Time) -> bool {
        self.pending.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT)
    }

    /// Returns whether the keeper recently had no tokens to hand over or did
    /// not answer.
    pub(crate) fn is_depleted(&self, now: Time) -> bool {
        self.silent || self.depleted.is_some_and(|at| now.since(at) < DEPLETED_PERIOD)
    }

    /// Returns whether the keeper recently granted fewer tokens than were
    /// wanted or did not answer.
    pub(crate) fn has_shortage(&self, now: Time) -> bool {
        self.is_depleted(now) || self.short_grant.is_some_and(|at| now.since(at) < DEPLETED_PERIOD)
    }

    /// Returns whether no request was sent to this keeper yet, as after a
    /// takeover.
    pub(crate) fn is_new(&self) -> bool {
        self.last_request.is_none()
    }

    pub(crate) fn wants_tokens(&self) -> bool {
        self.wants_tokens
    }

    /// Returns the time since the last request was sent.
    pub(crate) fn since_request(&self, now: Time) -> Duration {
        self.last_request.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Records that a request is sent at `now`, and returns its number.
    pub(crate) fn start_request(&mut self, wanted_milli: u64, now: Time) -> u64 {
        self.silent |= self.pending.is_some();
        self.number += 1;
        self.wanted_milli = wanted_milli;
        self.pending = Some(now);
        self.last_request = Some(now);
        self.number
    }

    /// Applies the grant if it answers the latest request and its lease has not
    /// ended, and returns whether it was applied.
    pub(crate) fn accept(&mut self, grant: &Grant, now: Time) -> bool {
        let Some(pending) = self.pending.filter(|_| grant.number == self.number) else {
            return false;
        };
        let until = pending + grant.lease.min(LEASE_DURATION);
        self.pending = None;
        self.silent = false;
        if now >= until {
            return false;
        }
        self.until = until;
        self.held = grant.slice;
        self.wants_tokens = grant.wants_tokens;
        if self.wanted_milli > 0 {
            self.depleted = (grant.tokens_milli < 1_000.min(self.wanted_milli)).then_some(now);
            self.short_grant = (grant.tokens_milli < self.wanted_milli).then_some(now);
        }
        true
    }
}
