//! Admission of requests within the rates of their accounts.

use std::sync::Arc;

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;

use crate::{node::Node, peers::Reply};

/// Admits requests by account.
#[derive(Debug, Default)]
pub struct Shares {}

impl Shares {
    /// Makes an admission that holds no shares.
    pub fn new() -> Self {
        Shares::default()
    }

    /// Waits for a token of `account` until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::RateExceeded`] when none comes in time.
    pub async fn admit(
        &self,
        _node: &Arc<Node>,
        _account: &AccountId,
        _deadline: Time,
    ) -> Result<(), Refusal> {
        Ok(())
    }
}

/// Receives a control message of another VM.
pub(crate) fn receive(_node: &Arc<Node>, _from: &VmId, _body: Body, _reply: &Reply) {}
