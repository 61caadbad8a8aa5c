//! Whether a caller may be served under a configuration.

use chicoryhollow_core::prelude::*;

use crate::{
    configuration::{Configuration, Service},
    verifier::Verifier,
};

/// What a caller was let in with.
#[derive(Clone, Debug, PartialEq)]
pub struct Credentials {
    /// Key that the caller showed and its verifier at that time; none on a
    /// route open to all.
    pub key: Option<(KeyName, Verifier)>,
    /// Account that is served.
    pub account: AccountId,
    /// Route that the caller named.
    pub route: RouteName,
}

impl Configuration {
    /// Tells why a caller may not be served any longer, if so.
    ///
    /// [`Refusal::Draining`] leaves time to finish an open transaction; after
    /// any other refusal the caller has no right to finish.
    ///
    /// # Errors
    ///
    /// Returns the refusal to end the caller's connection with.
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

    /// Tells whether a data centre takes new work; one that is not configured
    /// takes none.
    pub fn is_in_service(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.get(data_centre).is_some_and(|found| found.service == Service::In)
    }
}
