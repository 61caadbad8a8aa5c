//! Rate limiting of operations by client account.
//!
//! Each VM holds tokens of each account's rate and takes one for each operation.
//! The token bucket of an account refills on a few VMs, its keepers. A VM that
//! needs more tokens than it has asks a keeper for some, and an operation waits a
//! short time for them.

use std::{cell::RefCell, time::Duration};

use chicoryhollow_core::{
    AccountId, Time, VmId,
    allowance::{TokenBalance, keepers},
};
use indexmap::IndexMap;
use tokio::time::timeout;

use crate::{
    catalog::{Catalog, Route},
    clock,
    engine::Engine,
    seam::{Directory, ServerProtocol},
};

/// Interval at which a waiting operation checks for a token.
const TOKEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lower bound of the time that an operation may wait for a token, however short the
/// latency objective of its route ([`Route::objective`]).
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(30);

/// The latency objective of a route divided by this is the time that an operation may wait
/// for a token, unless [`MIN_TOKEN_WAIT`] is longer.
const TOKEN_WAIT_DIVISOR: u32 = 5;

/// The token balances of all accounts on this VM.
#[derive(Default)]
pub(crate) struct Admission {
    balances: IndexMap<AccountId, AccountTokens>,
}

struct AccountTokens {
    balance: TokenBalance,
    limited: bool,
    /// Keepers of the account, except this VM.
    keepers: Vec<VmId>,
    next_keeper: usize,
    /// Number of operations that wait for a token.
    waiting: usize,
}

impl AccountTokens {
    fn next_request(&mut self, now: Time, linked: impl Fn(&VmId) -> bool) -> Option<(VmId, f64)> {
        if !self.limited || self.keepers.is_empty() {
            return None;
        }
        let wanted = self.balance.next_request(self.waiting, now)?;
        let linked: Vec<&VmId> = self.keepers.iter().filter(|vm| linked(vm)).collect();
        self.next_keeper += 1;
        match linked.get(self.next_keeper % linked.len().max(1)) {
            Some(vm) => Some(((*vm).clone(), wanted)),
            None => {
                self.balance.cancel_request();
                None
            }
        }
    }
}

impl Admission {
    /// Applies the accounts of a configuration. The keepers of each account are chosen
    /// from the VMs in `data_centres`, which is empty while the VMs are not known.
    pub(crate) fn configure(
        &mut self,
        catalog: &Catalog,
        me: &VmId,
        data_centres: &[Vec<VmId>],
        now: Time,
    ) {
        self.balances.retain(|account, _| catalog.accounts.contains_key(account));
        for (name, account) in &catalog.accounts {
            let mut keepers = keepers(name, account.burst, data_centres);
            // 0 on other VMs, on which no part of the bucket refills.
            let keeper_count = if keepers.contains(me) { keepers.len() } else { 0 };
            keepers.retain(|vm| vm != me);
            let entry = self.balances.entry(name.clone()).or_insert_with(|| AccountTokens {
                balance: TokenBalance::new(now),
                limited: true,
                keepers: Vec::new(),
                next_keeper: 0,
                waiting: 0,
            });
            entry.limited = account.rate.is_some();
            entry.keepers = keepers;
            entry.balance.set_limits(
                account.rate.unwrap_or_default(),
                account.burst,
                keeper_count,
                now,
            );
        }
    }

    /// Records that a caller of `account` requests an operation.
    pub(crate) fn record_demand(&mut self, account: &AccountId, now: Time) {
        if let Some(entry) = self.balances.get_mut(account) {
            entry.balance.record_demand(now);
        }
    }

    /// Records that an operation of `account` waits for a token.
    pub(crate) fn begin_wait(&mut self, account: &AccountId) {
        if let Some(entry) = self.balances.get_mut(account) {
            entry.waiting += 1;
        }
    }

    /// Records that an operation of `account` no longer waits.
    pub(crate) fn end_wait(&mut self, account: &AccountId) {
        if let Some(entry) = self.balances.get_mut(account) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Takes a token for one operation and returns whether there was one.
    /// Operations of accounts without a limit, and of accounts that the configuration
    /// does not contain, are always admitted.
    pub(crate) fn admit(&mut self, account: &AccountId, now: Time) -> bool {
        match self.balances.get_mut(account) {
            Some(entry) => !entry.limited || entry.balance.take(now),
            None => true,
        }
    }

    /// Returns the number of tokens that this VM holds for `account`.
    pub(crate) fn tokens(&self, account: &AccountId) -> f64 {
        self.balances.get(account).map_or(0.0, |entry| entry.balance.tokens())
    }

    /// Returns the requests to send now for tokens that will soon be needed. Each has
    /// the keeper to ask, the account and the number of tokens.
    pub(crate) fn due_requests(
        &mut self,
        now: Time,
        linked: impl Fn(&VmId) -> bool,
    ) -> Vec<(VmId, AccountId, f64)> {
        let balances = self.balances.iter_mut();
        let next_request = |(account, entry): (&AccountId, &mut AccountTokens)| {
            let (vm, wanted) = entry.next_request(now, &linked)?;
            Some((vm, account.clone(), wanted))
        };
        balances.filter_map(next_request).collect()
    }

    /// Returns the keeper to ask now for tokens of `account`, and the number of
    /// tokens.
    pub(crate) fn request_for(
        &mut self,
        account: &AccountId,
        now: Time,
        linked: impl Fn(&VmId) -> bool,
    ) -> Option<(VmId, f64)> {
        self.balances.get_mut(account)?.next_request(now, linked)
    }

    /// Removes up to `wanted` tokens for another VM and returns their number.
    pub(crate) fn grant(&mut self, account: &AccountId, wanted: f64, now: Time) -> f64 {
        self.balances.get_mut(account).map_or(0.0, |entry| entry.balance.grant(wanted, now))
    }

    /// Adds tokens that another VM sent.
    pub(crate) fn receive(&mut self, account: &AccountId, tokens: f64, now: Time) {
        if let Some(entry) = self.balances.get_mut(account) {
            // Counts only the keepers that this VM can ask, which leaves out itself.
            entry.balance.receive(tokens, entry.keepers.len(), now);
        }
    }
}

/// Counts an operation that waits for a token until it is dropped, which also
/// happens when its caller disconnects.
struct Waiting<'a> {
    admission: &'a RefCell<Admission>,
    account: &'a AccountId,
}

impl<'a> Waiting<'a> {
    fn new(admission: &'a RefCell<Admission>, account: &'a AccountId) -> Self {
        admission.borrow_mut().begin_wait(account);
        Waiting { admission, account }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.admission.borrow_mut().end_wait(self.account);
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Returns whether one operation is admitted, after waiting a short time for
    /// tokens of other VMs.
    pub(crate) async fn admit(&self, route: &Route, account: &AccountId) -> bool {
        let start = clock::now();
        let limit = MIN_TOKEN_WAIT.max(route.objective / TOKEN_WAIT_DIVISOR);
        {
            let mut admission = self.admission.borrow_mut();
            admission.record_demand(account, start);
            if admission.admit(account, start) {
                return true;
            }
        }
        let _waiting = Waiting::new(&self.admission, account);
        loop {
            self.request_tokens_for(account);
            // On a keeper, tokens also refill as time passes, which notifies nobody.
            let _ = timeout(TOKEN_POLL_INTERVAL, self.tokens.notified()).await;
            let now = clock::now();
            if self.admission.borrow_mut().admit(account, now) {
                return true;
            }
            if now.since(start) >= limit {
                return false;
            }
        }
    }
}
