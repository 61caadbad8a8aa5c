//! Admission of operations within the rate of their account.

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

/// Time between two looks for tokens while an operation waits for one.
const TOKEN_LOOK: Duration = Duration::from_millis(5);

/// Shortest time that an operation may wait for a token.
const TOKEN_WAIT: Duration = Duration::from_millis(30);

/// Part of its objective that an operation may wait for a token.
const TOKEN_PATIENCE: u32 = 5;

/// The purses of all accounts on this VM.
#[derive(Default)]
pub(crate) struct Admission {
    purses: IndexMap<AccountId, Entry>,
}

struct Entry {
    purse: TokenBalance,
    limited: bool,
    /// VMs on which the account's bucket fills up, but this one.
    keepers: Vec<VmId>,
    next: usize,
    /// Operations of callers that wait for a token.
    waiting: usize,
}

impl Entry {
    fn ask(&mut self, now: Time, linked: impl Fn(&VmId) -> bool) -> Option<(VmId, f64)> {
        if !self.limited || self.keepers.is_empty() {
            return None;
        }
        let wanted = self.purse.next_request(self.waiting, now)?;
        let linked: Vec<&VmId> = self.keepers.iter().filter(|vm| linked(vm)).collect();
        self.next += 1;
        match linked.get(self.next % linked.len().max(1)) {
            Some(vm) => Some(((*vm).clone(), wanted)),
            None => {
                self.purse.cancel_request();
                None
            }
        }
    }
}

impl Admission {
    /// Takes over the accounts of a configuration and the VMs of each data centre,
    /// among which their rates are split; none while they are not known.
    pub(crate) fn configure(
        &mut self,
        catalog: &Catalog,
        me: &VmId,
        data_centres: &[Vec<VmId>],
        now: Time,
    ) {
        self.purses.retain(|account, _| catalog.accounts.contains_key(account));
        for (name, account) in &catalog.accounts {
            let mut keepers = keepers(name, account.burst, data_centres);
            let part = if keepers.contains(me) { keepers.len() } else { 0 };
            keepers.retain(|vm| vm != me);
            let entry = self.purses.entry(name.clone()).or_insert_with(|| Entry {
                purse: TokenBalance::new(now),
                limited: true,
                keepers: Vec::new(),
                next: 0,
                waiting: 0,
            });
            entry.limited = account.rate.is_some();
            entry.keepers = keepers;
            entry.purse.set_limits(account.rate.unwrap_or_default(), account.burst, part, now);
        }
    }

    /// Notes that a caller of `account` asks for an operation.
    pub(crate) fn note_demand(&mut self, account: &AccountId, now: Time) {
        if let Some(entry) = self.purses.get_mut(account) {
            entry.purse.record_demand(now);
        }
    }

    /// Notes that an operation of `account` waits for a token.
    pub(crate) fn begin_wait(&mut self, account: &AccountId) {
        if let Some(entry) = self.purses.get_mut(account) {
            entry.waiting += 1;
        }
    }

    /// Notes that an operation of `account` no longer waits.
    pub(crate) fn end_wait(&mut self, account: &AccountId) {
        if let Some(entry) = self.purses.get_mut(account) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Admits one operation; accounts without a limit are always admitted.
    pub(crate) fn admit(&mut self, account: &AccountId, now: Time) -> bool {
        match self.purses.get_mut(account) {
            Some(entry) => !entry.limited || entry.purse.take(now),
            None => true,
        }
    }

    /// Returns the tokens left to `account`.
    pub(crate) fn tokens(&self, account: &AccountId) -> f64 {
        self.purses.get(account).map_or(0.0, |entry| entry.purse.tokens())
    }

    /// Returns whom to ask now for how many tokens of which account, ahead of need.
    pub(crate) fn asks(
        &mut self,
        now: Time,
        linked: impl Fn(&VmId) -> bool,
    ) -> Vec<(VmId, AccountId, f64)> {
        let purses = self.purses.iter_mut();
        let ask = |(account, entry): (&AccountId, &mut Entry)| {
            let (vm, wanted) = entry.ask(now, &linked)?;
            Some((vm, account.clone(), wanted))
        };
        purses.filter_map(ask).collect()
    }

    /// Returns whom to ask now for how many tokens of `account`.
    pub(crate) fn ask_for(
        &mut self,
        account: &AccountId,
        now: Time,
        linked: impl Fn(&VmId) -> bool,
    ) -> Option<(VmId, f64)> {
        self.purses.get_mut(account)?.ask(now, linked)
    }

    /// Takes out up to `wanted` tokens for another VM.
    pub(crate) fn lend(&mut self, account: &AccountId, wanted: f64, now: Time) -> f64 {
        self.purses.get_mut(account).map_or(0.0, |entry| entry.purse.grant(wanted, now))
    }

    /// Takes in tokens from another VM.
    pub(crate) fn receive(&mut self, account: &AccountId, tokens: f64, now: Time) {
        if let Some(entry) = self.purses.get_mut(account) {
            entry.purse.receive(tokens, entry.keepers.len(), now);
        }
    }
}

/// Counts an operation that waits for a token, also when its caller leaves.
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
    /// Admits one operation, waiting a moment for tokens of other VMs.
    pub(crate) async fn admit(&self, route: &Route, account: &AccountId) -> bool {
        let start = clock::now();
        let limit = TOKEN_WAIT.max(route.objective / TOKEN_PATIENCE);
        {
            let mut admission = self.admission.borrow_mut();
            admission.note_demand(account, start);
            if admission.admit(account, start) {
                return true;
            }
        }
        let _waiting = Waiting::new(&self.admission, account);
        loop {
            self.ask_for_token(account);
            // Tokens also come in without a message, as time goes by.
            let _ = timeout(TOKEN_LOOK, self.tokens.notified()).await;
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
