//! A slice on loan, as the borrower sees it.

use std::time::Duration;

use crate::{
    id::Incarnation,
    share::{
        record::KeeperId,
        slice::{Ppm, Slice},
    },
    time::Time,
};

/// Length of a lease on the borrower's clock, counted from before it asked.
pub const LEASE: Duration = Duration::from_millis(8_000);
/// Time after which an unanswered request is given up.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a keeper without tokens is taken to have none.
const DRY: Duration = Duration::from_millis(100);

/// A request for a slice.
///
/// It states all that the borrower holds of this keeper. From then on the
/// borrower holds at most this, until it accepts the answer of the same number.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceRequest {
    /// Run of the asking daemon.
    pub incarnation: Incarnation,
    /// Number of the request; grows with every request of the run.
    pub number: u64,
    /// Requests a second for which the borrower wants a share of this keeper.
    pub demand: f64,
    /// Slice held of this keeper.
    pub held: Slice,
    /// Tokens wanted at once, in thousandths.
    pub wanted_milli: u64,
    /// Tokens given back, in thousandths; the borrower no longer has them.
    pub returned_milli: u64,
    /// Whether the borrower is in the keeper's data centre.
    pub local: bool,
}

/// The answer to a [`SliceRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of the request.
    pub number: u64,
    /// Whole slice held of this keeper from now on.
    pub slice: Slice,
    /// Tokens handed over, in thousandths; the keeper no longer has them.
    pub tokens_milli: u64,
    /// Length of the lease.
    pub lease: Duration,
    /// Whether the keeper has room for tokens that the borrower can spare.
    pub wants_tokens: bool,
}

/// What one VM holds of one keeper.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    keeper: KeeperId,
    held: Slice,
    until: Time,
    number: u64,
    asked: Option<Time>,
    last_ask: Option<Time>,
    wants_tokens: bool,
    wanted_milli: u64,
    dry: Option<Time>,
    fell_short: Option<Time>,
    silent: bool,
}

impl Lease {
    pub(crate) fn new(keeper: KeeperId) -> Self {
        Lease {
            keeper,
            held: Slice::default(),
            until: Time::default(),
            number: 0,
            asked: None,
            last_ask: None,
            wants_tokens: false,
            wanted_milli: 0,
            dry: None,
            fell_short: None,
            silent: false,
        }
    }

    /// Turns to the successor of the keeper; what is held stays valid.
    pub(crate) fn turn_to(&mut self, keeper: KeeperId) {
        if self.keeper != keeper {
            self.keeper = keeper;
            self.asked = None;
            self.last_ask = None;
        }
    }

    pub(crate) fn keeper(&self) -> &KeeperId {
        &self.keeper
    }

    /// Returns the slice that may be used at `now`.
    pub(crate) fn held(&self, now: Time) -> Slice {
        if now < self.until { self.held } else { Slice::default() }
    }

    /// Gives up all of the room above `room`.
    pub(crate) fn shrink_room(&mut self, room: Ppm) {
        self.held.capacity = self.held.capacity.min(room);
    }

    pub(crate) fn is_waiting(&self, now: Time) -> bool {
        self.asked.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT)
    }

    /// Tells whether the keeper lately had no tokens to hand over.
    pub(crate) fn is_dry(&self, now: Time) -> bool {
        self.silent || self.dry.is_some_and(|at| now.since(at) < DRY)
    }

    /// Tells whether the keeper lately gave less than was wanted, or is silent.
    pub(crate) fn falls_short(&self, now: Time) -> bool {
        self.is_dry(now) || self.fell_short.is_some_and(|at| now.since(at) < DRY)
    }

    /// Tells whether the keeper was never asked, as after a takeover.
    pub(crate) fn is_new(&self) -> bool {
        self.last_ask.is_none()
    }

    pub(crate) fn wants_tokens(&self) -> bool {
        self.wants_tokens
    }

    /// Returns the time since the last request.
    pub(crate) fn quiet(&self, now: Time) -> Duration {
        self.last_ask.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Numbers a new request and remembers when it was made.
    pub(crate) fn ask(&mut self, wanted_milli: u64, now: Time) -> u64 {
        self.silent |= self.asked.is_some();
        self.number += 1;
        self.wanted_milli = wanted_milli;
        self.asked = Some(now);
        self.last_ask = Some(now);
        self.number
    }

    /// Takes the grant if it answers the latest request, and returns whether it
    /// did.
    pub(crate) fn accept(&mut self, grant: &Grant, now: Time) -> bool {
        let Some(asked) = self.asked.filter(|_| grant.number == self.number) else {
            return false;
        };
        let until = asked + grant.lease.min(LEASE);
        self.asked = None;
        self.silent = false;
        if now >= until {
            return false;
        }
        self.until = until;
        self.held = grant.slice;
        self.wants_tokens = grant.wants_tokens;
        if self.wanted_milli > 0 {
            self.dry = (grant.tokens_milli < 1_000.min(self.wanted_milli)).then_some(now);
            self.fell_short = (grant.tokens_milli < self.wanted_milli).then_some(now);
        }
        true
    }
}
