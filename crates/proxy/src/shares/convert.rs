//! Requests for slices and their answers as messages between VMs.

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    share::{Grant, Ppm, Slice, SliceRequest},
};
use chicoryhollow_peer::share::{ShareAsk, ShareGrant};

/// An account's part in one data centre.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) account: AccountId,
    pub(super) data_centre: DataCentreId,
    /// Run of the daemon that keeps it.
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

/// Makes the message of a request.
pub(super) fn ask_message(part: &Part, ask: &SliceRequest) -> ShareAsk {
    ShareAsk {
        account: part.account.to_string(),
        number: ask.number,
        demand: ask.demand,
        held_rate: ask.held.rate.get(),
        held_room: ask.held.capacity.get(),
        wanted_milli: ask.wanted_milli,
        returned_milli: ask.returned_milli,
        local: ask.local,
        incarnation: ask.incarnation.get(),
        keeper: part.keeper.get(),
        data_centre: part.data_centre.to_string(),
    }
}

/// Reads the message of a request; `None` when it is malformed.
pub(super) fn ask(message: &ShareAsk) -> Option<(Part, SliceRequest)> {
    let part = Part::new(&message.account, &message.data_centre, message.keeper)?;
    let demand = Some(message.demand).filter(|demand| demand.is_finite() && *demand >= 0.0)?;
    let ask = SliceRequest {
        incarnation: Incarnation::new(message.incarnation),
        number: message.number,
        demand,
        held: Slice::new(Ppm::new(message.held_rate), Ppm::new(message.held_room)),
        wanted_milli: message.wanted_milli,
        returned_milli: message.returned_milli,
        local: message.local,
    };
    Some((part, ask))
}

/// Makes the message of an answer.
pub(super) fn grant_message(part: &Part, grant: &Grant) -> ShareGrant {
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

/// Reads the message of an answer; `None` when it is malformed.
pub(super) fn grant(message: &ShareGrant) -> Option<(Part, Grant)> {
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
