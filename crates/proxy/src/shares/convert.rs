//! Conversions of requests for slices and of grants to and from peer messages.

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    share::{Grant, Ppm, Slice, SliceRequest},
};
use chicoryhollow_peer::share::{ShareAsk, ShareGrant};

/// One data centre's part of an account's token bucket.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) account: AccountId,
    pub(super) data_centre: DataCentreId,
    /// Incarnation of the keeper's daemon.
    pub(super) keeper: Incarnation,
}

impl Part {
    fn new(account: &str, data_centre: &str, keeper: u64) -> Option<Self> {
        Some(Part {
            account: AccountId::new(account).ok()?,
            data_centre: DataCentreId::new(data_centre).ok()?,
            keeper: Incarnation::new(keeper),
        })
    }
}

/// Converts a request to its peer message.
pub(super) fn encode_request(part: &Part, request: &SliceRequest) -> ShareAsk {
    ShareAsk {
        account: part.account.to_string(),
        number: request.number,
        demand: request.demand,
        held_rate: request.held.rate.get(),
        held_room: request.held.capacity.get(),
        wanted_milli: request.wanted_milli,
        returned_milli: request.returned_milli,
        local: request.local,
        incarnation: request.incarnation.get(),
        keeper: part.keeper.get(),
        data_centre: part.data_centre.to_string(),
    }
}

/// Converts a peer message to a request. Returns `None` if it is malformed.
pub(super) fn decode_request(message: &ShareAsk) -> Option<(Part, SliceRequest)> {
    let part = Part::new(&message.account, &message.data_centre, message.keeper)?;
    let demand = Some(message.demand).filter(|demand| demand.is_finite() && *demand >= 0.0)?;
    let request = SliceRequest {
        incarnation: Incarnation::new(message.incarnation),
        number: message.number,
        demand,
        held: Slice::new(Ppm::new(message.held_rate), Ppm::new(message.held_room)),
        wanted_milli: message.wanted_milli,
        returned_milli: message.returned_milli,
        local: message.local,
    };
    Some((part, request))
}

/// Converts a grant to its peer message.
pub(super) fn encode_grant(part: &Part, grant: &Grant) -> ShareGrant {
    ShareGrant {
        account: part.account.to_string(),
        number: grant.number,
        rate: grant.slice.rate.get(),
        room: grant.slice.capacity.get(),
        tokens_milli: grant.tokens_milli,
        lease_ms: u32::try_from(grant.lease.as_millis()).unwrap_or(0),
        wants_tokens: grant.wants_tokens,
        keeper: part.keeper.get(),
        data_centre: part.data_centre.to_string(),
    }
}

/// Converts a peer message to a grant. Returns `None` if it is malformed.
pub(super) fn decode_grant(message: &ShareGrant) -> Option<(Part, Grant)> {
    let part = Part::new(&message.account, &message.data_centre, message.keeper)?;
    let grant = Grant {
        number: message.number,
        slice: Slice::new(Ppm::new(message.rate), Ppm::new(message.room)),
        tokens_milli: message.tokens_milli,
        lease: Duration::from_millis(message.lease_ms.into()),
        wants_tokens: message.wants_tokens,
    };
    Some((part, grant))
}
