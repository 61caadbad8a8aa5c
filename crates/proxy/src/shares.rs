//! Admission of requests within the rates of their accounts.

use std::sync::Arc;

use chicoryhollow_core::prelude::*;

use crate::node::Node;

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
