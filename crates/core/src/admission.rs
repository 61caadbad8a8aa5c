//! Admission of statements to one backend server at one of its homes.
//!
//! A server runs few statements at once and serves the others in the order of their arrival,
//! whatever their priority. So a home sends it little more than it can run, and the rest waits
//! here, where it is ordered:
//!
//! * Statements of open transactions never wait: they hold connections, and perhaps locks, that
//!   others wait for.
//! * More urgent priorities go first, but each of the others gets a minimum share.
//! * Within a priority, accounts share the server's time evenly (start-time fair queueing). An
//!   account pays for the connections that are opened for it, so one that has an idle connection
//!   goes first until the others have waited for what a connection costs.
//! * A request that cannot be answered in time is refused on arrival, or as soon as this is known.

mod account;
mod activity;
mod request;
mod shares;
mod times;

use std::{collections::BTreeMap, time::Duration};

use indexmap::IndexMap;

use self::{account::Account, shares::Shares, times::Times};
pub use self::{
    activity::Activity,
    request::{Arrival, Grant, Limits, Request, Ticket},
};
use crate::{id::AccountId, time::Time, waiting::Priority};

/// Part of a server's slots that all of its homes together may use. Accounts are spread unevenly
/// over homes, so a home may use more than an even part.
const OVERLAP: u32 = 2;

/// Part of the connections, as a divisor, that only accounts without an idle transaction may
/// take.
const RESERVE_DIVISOR: u32 = 4;

/// Maximum time of the server that an account is charged ahead of the others. An account whose
/// statements hung for seconds would otherwise not be served until the others used as much.
const MAX_DEBT: Duration = Duration::from_millis(100);

/// Returns how many statements one of `homes` homes may run at once on a server with `slots`
/// slots. One more than its slots keeps the server busy between two statements.
pub fn home_slots(slots: u32, homes: usize) -> u32 {
    let homes = u32::try_from(homes).unwrap_or(u32::MAX).max(1);
    slots.saturating_mul(OVERLAP).div_ceil(homes).clamp(1, slots.max(1)) + 1
}

/// Returns which of the idle connections of these accounts is closed to make room for another
/// account, the one that was idle longest coming first. An account keeps one if another has
/// several, since each account that has none opens one.
pub fn least_useful<'a>(accounts: impl Iterator<Item = &'a AccountId>) -> Option<usize> {
    let accounts: Vec<&AccountId> = accounts.collect();
    let is_spare = |(index, account): (usize, &&AccountId)| accounts[index + 1..].contains(account);
    let spare = (0..accounts.len()).find(|index| is_spare((*index, &accounts[*index])));
    spare.or_else(|| (!accounts.is_empty()).then_some(0))
}

#[derive(Debug)]
struct Waiter<W> {
    account: AccountId,
    arrived: Time,
    /// Last time at which it can start and still be answered in time.
    latest: Time,
    waker: W,
}

/// The requests that use or wait for one server.
#[derive(Debug)]
pub struct Scheduler<W> {
    limits: Limits,
    in_use: u32,
    running: u32,
    waiters: BTreeMap<Ticket, Waiter<W>>,
    next_number: u64,
    accounts: IndexMap<AccountId, Account>,
    /// Virtual time at which an account starts that was not active.
    virtual_time: Duration,
    shares: Shares,
    times: Times,
    activity: BTreeMap<Priority, Activity>,
}

impl<W> Scheduler<W> {
    /// Creates a scheduler for a server of which nothing is in use.
    pub fn new(limits: Limits) -> Self {
        Scheduler {
            limits,
            in_use: 0,
            running: 0,
            waiters: BTreeMap::new(),
            next_number: 0,
            accounts: IndexMap::new(),
            virtual_time: Duration::ZERO,
            shares: Shares::default(),
            times: Times::default(),
            activity: BTreeMap::new(),
        }
    }

    /// Replaces the limits. What is in use above them stays in use.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of connections in use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the number of statements that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Records the arrival of a request. `waker` creates its waker if it waits; `idle` returns
    /// the number of idle connections of an account.
    pub fn arrive(
        &mut self,
        request: Request<'_>,
        now: Time,
        idle: impl Fn(&AccountId) -> u32,
        waker: impl FnOnce() -> W,
    ) -> Arrival {
        self.expire(now);
        let Request { account, priority, patience } = request;
        if self.has_slot() && self.waiters.is_empty() && self.may_take(account, now, now, &idle) {
            return Arrival::Admitted(self.grant(account.clone(), priority, now, &idle));
        }
        // A late estimate of the service time must not refuse everything.
        let service = (self.times.service(priority) * 2).min(patience / 2);
        let expected = self.expected_wait(account, priority, now);
        if expected + service > patience {
            self.activity(priority).refused += 1;
            return Arrival::Refused(expected);
        }
        self.activate(account);
        let ticket = Ticket { priority, number: self.next_number };
        self.next_number += 1;
        let latest = now + (patience - service);
        let waiter = Waiter { account: account.clone(), arrived: now, latest, waker: waker() };
        self.waiters.insert(ticket, waiter);
        self.account(account).waiting += 1;
        self.activity(priority).waiting += 1;
        Arrival::Waiting(ticket)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            self.account(&waiter.account).waiting -= 1;
            self.activity(ticket.priority).waiting -= 1;
            self.forget(&waiter.account);
        }
    }

    /// Gives a free connection and slot to the next request. Requests that can no longer be
    /// answered in time are removed.
    pub fn next(&mut self, now: Time, idle: impl Fn(&AccountId) -> u32) -> Option<(W, Grant)> {
        self.expire(now);
        if !self.has_slot() {
            return None;
        }
        let ticket = self.choose(now, &idle)?;
        let waiter = self.waiters.remove(&ticket)?;
        self.account(&waiter.account).waiting -= 1;
        self.activity(ticket.priority).waiting -= 1;
        let lower = self.waiters.keys().map(|other| other.priority);
        let lower: Vec<Priority> = lower.filter(|other| *other > ticket.priority).collect();
        self.shares.charge(ticket.priority, &lower);
        Some((waiter.waker, self.grant(waiter.account, ticket.priority, now, &idle)))
    }

    /// Records that an idle connection was taken for `grant`, or that one is being opened.
    pub fn settle(&mut self, grant: &mut Grant) {
        if !std::mem::replace(&mut grant.connected, true) {
            self.account(&grant.account).unconnected -= 1;
        }
    }

    /// Records that a connection was opened for `grant` within `span`.
    pub fn record_opening(&mut self, grant: &mut Grant, span: Duration) {
        self.times.record_opening(span);
        grant.worked += span;
    }

    /// Frees the slot of `grant`, whose transaction is idle.
    pub fn pause(&mut self, grant: &mut Grant, now: Time) {
        if self.free_slot(grant, now) {
            self.account(&grant.account).idle += 1;
        }
    }

    /// Takes a slot for a statement of the transaction of `grant`, even above the limit.
    pub fn resume(&mut self, grant: &mut Grant, now: Time) {
        if grant.since.is_none() {
            grant.since = Some(now);
            self.running += 1;
            self.activity(grant.priority).running += 1;
            self.account(&grant.account).idle -= 1;
        }
    }

    /// Frees the connection and the slot of `grant`.
    pub fn release(&mut self, mut grant: Grant, now: Time) {
        self.settle(&mut grant);
        if !self.free_slot(&mut grant, now) {
            self.account(&grant.account).idle -= 1;
        }
        self.in_use -= 1;
        self.account(&grant.account).in_use -= 1;
        self.forget(&grant.account);
    }

    /// Frees the slot and charges the account for the time; returns whether there was one.
    fn free_slot(&mut self, grant: &mut Grant, now: Time) -> bool {
        let Some(since) = grant.since.take() else { return false };
        let (held, worked) = (now.since(since), std::mem::take(&mut grant.worked));
        self.running -= 1;
        self.activity(grant.priority).running -= 1;
        // A statement without an answer would pass for one that waits for messages.
        let answered = std::mem::take(&mut grant.answered);
        let used = if answered { worked.min(held) } else { held };
        if answered {
            self.times.record(grant.priority, held, used);
        }
        let charged = std::mem::take(&mut grant.charged);
        let most = self.virtual_time + MAX_DEBT;
        let account = self.account(&grant.account);
        account.virtual_time = (account.virtual_time + used).saturating_sub(charged).min(most);
        true
    }

    fn grant(
        &mut self,
        name: AccountId,
        priority: Priority,
        now: Time,
        idle: impl Fn(&AccountId) -> u32,
    ) -> Grant {
        self.activate(&name);
        let opens = !self.is_ready(&name, &idle);
        let work = self.times.worked();
        let charged = if opens { work + self.times.connect() } else { work };
        self.in_use += 1;
        self.running += 1;
        self.activity(priority).running += 1;
        self.shares.record(priority, now);
        let account = self.account(&name);
        let start = account.virtual_time;
        account.virtual_time += charged;
        account.in_use += 1;
        account.unconnected += 1;
        self.virtual_time = self.virtual_time.max(start);
        Grant {
            account: name,
            priority,
            since: Some(now),
            worked: Duration::ZERO,
            answered: false,
            charged,
            connected: false,
        }
    }

    /// Returns the request that goes next, if one may.
    fn choose(&self, now: Time, idle: impl Fn(&AccountId) -> u32) -> Option<Ticket> {
        let mut best: BTreeMap<Priority, (Duration, Ticket)> = BTreeMap::new();
        let mut seen: IndexMap<(Priority, &AccountId), ()> = IndexMap::new();
        for (ticket, waiter) in &self.waiters {
            let is_first = seen.insert((ticket.priority, &waiter.account), ()).is_none();
            if !is_first || !self.may_take(&waiter.account, waiter.arrived, now, &idle) {
                continue;
            }
            let known = self.accounts.get(&waiter.account);
            let virtual_time = known.map_or(self.virtual_time, |account| account.virtual_time);
            let cost = match self.is_ready(&waiter.account, &idle) {
                true => Duration::ZERO,
                false => self.times.opening_cost(),
            };
            let key = (virtual_time + cost, *ticket);
            let entry = best.entry(ticket.priority).or_insert(key);
            *entry = key.min(*entry);
        }
        let priority = self.shares.choose(best.keys().copied())?;
        best.get(&priority).map(|(_, ticket)| *ticket)
    }

    /// Returns whether a request of the account that arrived at `arrived` may take a connection.
    fn may_take(
        &self,
        name: &AccountId,
        arrived: Time,
        now: Time,
        idle: impl Fn(&AccountId) -> u32,
    ) -> bool {
        let free = self.limits.connections.saturating_sub(self.in_use);
        let Some(account) = self.accounts.get(name) else { return free > 0 };
        let reserve = match account.idle {
            0 => 0,
            _ => self.limits.connections / RESERVE_DIVISOR,
        };
        let is_cheap =
            || self.is_ready(name, &idle) || now.since(arrived) >= self.times.opening_cost();
        free > reserve && (is_cheap() || self.is_worth_opening(account))
    }

    /// Returns whether opening a connection is faster than waiting for one of those that
    /// statements of the account use.
    fn is_worth_opening(&self, account: &Account) -> bool {
        let busy = account.in_use - account.idle;
        let held = self.times.held();
        busy == 0 || held / busy > self.times.opening_cost()
    }

    /// Returns whether the account has an idle connection that no admitted request will take.
    fn is_ready(&self, name: &AccountId, idle: impl Fn(&AccountId) -> u32) -> bool {
        idle(name) > self.accounts.get(name).map_or(0, |account| account.unconnected)
    }

    fn has_slot(&self) -> bool {
        self.in_use < self.limits.connections && self.running < self.slot_limit()
    }

    /// Returns how many statements may hold a slot, so that the server works on as many as the
    /// limit allows.
    fn slot_limit(&self) -> u32 {
        (f64::from(self.limits.slots) * self.times.travel_factor()).round() as u32
    }

    /// Returns how long a request that arrives now is expected to wait.
    fn expected_wait(&self, name: &AccountId, priority: Priority, now: Time) -> Duration {
        let ahead = self.waiters.keys().filter(|other| other.priority <= priority).count();
        let own = self.accounts.get(name).map_or(0, |account| account.waiting);
        let active = self.accounts.values().filter(|account| account.waiting > 0);
        let active = active.count() + usize::from(own == 0);
        // Each account waits for its own requests and for as many of the others.
        let turns = ((own as usize + 1) * active).min(ahead + 1);
        let held = self.times.held();
        let interval = held.as_secs_f64() / f64::from(self.running.max(1));
        let left = self.shares.left(priority, now);
        Duration::try_from_secs_f64(interval * turns as f64 / left).unwrap_or(Duration::MAX)
    }

    /// Removes requests that can no longer be answered in time.
    fn expire(&mut self, now: Time) {
        let late = self.waiters.iter().filter(|(_, waiter)| now > waiter.latest);
        let late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.activity(ticket.priority).expired += 1;
            self.cancel(ticket);
        }
    }

    /// Lets an account that was not active start without credit or debt.
    fn activate(&mut self, name: &AccountId) {
        let virtual_time = self.virtual_time;
        let account = self.account(name);
        if account.waiting == 0 {
            account.virtual_time = account.virtual_time.max(virtual_time);
        }
    }

    /// Returns what requests of each priority do now and had refused since the last call.
    pub fn take_activity(&mut self) -> BTreeMap<Priority, Activity> {
        let taken = self.activity.clone();
        self.activity.values_mut().for_each(Activity::restart);
        taken
    }

    fn activity(&mut self, priority: Priority) -> &mut Activity {
        self.activity.entry(priority).or_default()
    }

    fn account(&mut self, name: &AccountId) -> &mut Account {
        self.accounts.entry(name.clone()).or_default()
    }

    /// Drops the state of an account that neither uses nor owes anything.
    fn forget(&mut self, name: &AccountId) {
        let is_unused = |account: &Account| {
            account.waiting == 0 && account.in_use == 0 && account.virtual_time <= self.virtual_time
        };
        if self.accounts.get(name).is_some_and(is_unused) {
            self.accounts.swap_remove(name);
        }
    }
}
