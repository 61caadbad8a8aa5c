//! Checks whether a caller may be served under a configuration.
//!
//! The check runs when a caller logs in, before its statements are executed, and
//! after each change of the configuration.

use chicoryhollow_core::prelude::*;

use crate::{
    configuration::{Configuration, Service},
    verifier::Verifier,
};

/// Key, account and route with which a caller was admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Credentials {
    /// Key that the caller authenticated with and its verifier at that time; `None`
    /// for a caller without a key, which only a route open to all admits.
    pub key: Option<(KeyName, Verifier)>,
    /// Account that is charged for the caller.
    pub account: AccountId,
    /// Route that the caller selected.
    pub route: RouteName,
}

impl Configuration {
    /// Checks whether a caller may still be served.
    ///
    /// The session may replace the refusal by [`Refusal::Draining`], which leaves
    /// the caller time to finish an open transaction. After any other refusal, the
    /// caller may not finish it.
    ///
    /// # Errors
    ///
    /// Returns the refusal with which to close the caller's connection.
    pub fn check_admission(&self, credentials: &Credentials) -> Result<(), Refusal> {
        let Credentials { key, account, route } = credentials;
        if let Some((name, verifier)) = key {
            let held = self.keys.get(name).ok_or(Refusal::BadKey)?;
            if held.account != *account || held.verifier != *verifier {
                return Err(Refusal::BadKey);
            }
        }
        let route = self.routes.get(route).ok_or(Refusal::RouteUnknown)?;
        let allowed = match key {
            Some(_) => route.open_account.is_some() || route.accounts.contains(account),
            None => route.open_account.as_ref() == Some(account),
        };
        if allowed { Ok(()) } else { Err(Refusal::RouteDenied) }
    }

    /// Returns whether a data centre accepts new work; one that is not configured
    /// accepts none.
    pub fn is_in_service(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.get(data_centre).is_some_and(|found| found.service == Service::In)
    }
}
