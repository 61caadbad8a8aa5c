//! Weighted fair queueing of statements by account, for the slots and
//! connections of one backend server.
//!
//! Each account has a virtual time that advances by the slot time it used,
//! divided by its weight. A free slot goes to the waiting account whose virtual
//! time is least (start-time fair queueing). An account that was idle begins at
//! the present virtual time, so that it neither saves up service nor owes any.
//!
//! A statement that begins a transaction needs a connection besides its slot; a
//! statement that resumes one holds its connection already and needs a slot
//! only. Both kinds share the account's virtual time.
//!
//! The statements that run may all wait for a row that an open transaction has
//! locked. A statement that resumes a transaction therefore waits for a slot
//! for [`MAX_RESUME_WAIT`] only, and then runs beyond their number.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{id::AccountId, refusal::Refusal, time::Time};

/// Virtual time that one microsecond of a slot costs at weight 1.
const VIRTUAL_SCALE: u64 = 1_024;

/// Service time assumed before any was seen, in microseconds.
const FIRST_SERVICE_US: u64 = 1_000;

/// Shift of the moving average of service times: each new one counts 1/16.
const MEAN_SHIFT: u32 = 4;

/// Longest time that a statement of an open transaction waits for a slot while
/// others hold them all.
pub const MAX_RESUME_WAIT: Duration = Duration::from_millis(100);

/// Whether a statement needs a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// Begins a transaction and needs a connection.
    Begin,
    /// Goes on in an open transaction and holds a connection.
    Resume,
}

/// Limits of one queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Statements that run at once.
    pub slots: u32,
    /// Connections that one account may hold.
    pub account_connections: u32,
    /// Statements of one account that may wait.
    pub account_waiting: usize,
    /// Statements of all accounts that may wait.
    pub total_waiting: usize,
}

/// One waiting statement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    account: AccountId,
    resumes: bool,
    number: u64,
}

/// A statement that was given its slot; [`FairQueue::finish`] gives it back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    account: AccountId,
    charged: u64,
    since: Time,
}

/// What [`FairQueue::pop`] took from the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Popped {
    /// The statement may run.
    Run(Ticket, Grant),
    /// The statement's deadline passed while it waited.
    Expired(Ticket),
}

/// A waiting statement of an open transaction.
#[derive(Clone, Copy, Debug)]
struct Resume {
    deadline: Time,
    /// When it runs even if there is no slot.
    overdue: Time,
}

#[derive(Debug, Default)]
struct Account {
    weight: u64,
    virtual_time: u64,
    begins: BTreeMap<u64, Time>,
    resumes: BTreeMap<u64, Resume>,
    held: u32,
    running: u32,
}

impl Account {
    fn waiting(&self) -> usize {
        self.begins.len() + self.resumes.len()
    }

    fn is_active(&self) -> bool {
        self.running > 0 || self.waiting() > 0
    }

    /// Returns when the first statement of an open transaction is overdue.
    fn overdue(&self) -> Option<Time> {
        self.resumes.first_key_value().map(|(_, resume)| resume.overdue)
    }
}

/// Statements that wait for a backend server, and what those that run hold.
///
/// Every operation takes time logarithmic in the number of accounts and of
/// waiting statements.
#[derive(Debug)]
pub struct FairQueue {
    limits: Limits,
    accounts: HashMap<AccountId, Account>,
    /// Accounts with a statement that could run if a connection is free.
    eligible: BTreeSet<(u64, AccountId)>,
    /// Accounts with a statement that holds its connection.
    resumable: BTreeSet<(u64, AccountId)>,
    /// The same accounts, by when their first such statement is overdue.
    overdue: BTreeSet<(Time, AccountId)>,
    virtual_time: u64,
    running: u32,
    waiting: usize,
    begins: usize,
    active_weight: u64,
    service: u64,
    next: u64,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new(limits: Limits) -> Self {
        FairQueue {
            limits,
            accounts: HashMap::new(),
            eligible: BTreeSet::new(),
            resumable: BTreeSet::new(),
            overdue: BTreeSet::new(),
            virtual_time: 0,
            running: 0,
            waiting: 0,
            begins: 0,
            active_weight: 0,
            service: FIRST_SERVICE_US,
            next: 0,
        }
    }

    /// Replaces the limits; what already waits or runs stays.
    pub fn set_limits(&mut self, limits: Limits) {
        if self.limits == limits {
            return;
        }
        self.limits = limits;
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in accounts {
            self.change(&account, |_| ());
        }
    }

    /// Returns how many statements wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns how many statements wait that need a connection.
    pub fn waiting_begins(&self) -> usize {
        self.begins
    }

    /// Returns how many statements hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Adds a statement of `account`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::QueueFull`] when too many statements wait, and
    /// [`Refusal::DeadlineTooClose`] when the statement would not get its slot
    /// in time if all accounts used their shares.
    pub fn push(
        &mut self,
        account: &AccountId,
        weight: u32,
        kind: StatementKind,
        now: Time,
        deadline: Time,
    ) -> Result<Ticket, Refusal> {
        let known = self.accounts.get(account);
        let waiting = known.map_or(0, Account::waiting);
        // An open transaction goes on whatever waits: it holds a connection
        // that the others need, and each holds at most one place here.
        if kind == StatementKind::Begin
            && (waiting >= self.limits.account_waiting || self.waiting >= self.limits.total_waiting)
        {
            return Err(Refusal::QueueFull);
        }
        if now + self.expected_wait(known, weight) >= deadline {
            return Err(Refusal::DeadlineTooClose);
        }
        let number = self.next;
        self.next += 1;
        let virtual_time = self.virtual_time;
        self.change(account, |found| {
            if found.waiting() == 0 {
                found.virtual_time = found.virtual_time.max(virtual_time);
            }
            found.weight = u64::from(weight.max(1));
            match kind {
                StatementKind::Begin => drop(found.begins.insert(number, deadline)),
                StatementKind::Resume => {
                    let overdue = now + MAX_RESUME_WAIT;
                    found.resumes.insert(number, Resume { deadline, overdue });
                }
            }
        });
        self.waiting += 1;
        self.begins += usize::from(kind == StatementKind::Begin);
        Ok(Ticket { account: account.clone(), resumes: kind == StatementKind::Resume, number })
    }

    /// Takes the statement that runs next, if a slot is free and, for one that
    /// begins a transaction, also a connection. Without a free slot it takes a
    /// statement of an open transaction that is overdue.
    pub fn pop(&mut self, connection_free: bool, now: Time) -> Option<Popped> {
        let account = self.next_account(connection_free, now)?;
        let service = self.service;
        let (ticket, deadline, start, charged) = self.change(&account, |found| {
            let resumed = found.resumes.pop_first().map(|(n, resume)| (n, resume.deadline));
            let resumes = resumed.is_some();
            let (number, deadline) = resumed.or_else(|| found.begins.pop_first())?;
            let start = found.virtual_time;
            let ticket = Ticket { account: account.clone(), resumes, number };
            if deadline <= now {
                return Some((ticket, deadline, start, 0));
            }
            let charged = service * VIRTUAL_SCALE / found.weight;
            found.virtual_time += charged;
            found.running += 1;
            found.held += u32::from(!resumes);
            Some((ticket, deadline, start, charged))
        })?;
        self.waiting -= 1;
        self.begins -= usize::from(!ticket.resumes);
        if deadline <= now {
            return Some(Popped::Expired(ticket));
        }
        self.virtual_time = self.virtual_time.max(start);
        self.running += 1;
        Some(Popped::Run(ticket, Grant { account, charged, since: now }))
    }

    /// Returns the account whose statement runs next.
    fn next_account(&self, connection_free: bool, now: Time) -> Option<AccountId> {
        if self.running >= self.limits.slots {
            let (overdue, account) = self.overdue.first()?;
            return (*overdue <= now).then(|| account.clone());
        }
        let set = if connection_free { &self.eligible } else { &self.resumable };
        set.first().map(|(_, account)| account.clone())
    }

    /// Removes a waiting statement; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: &Ticket) -> bool {
        if !self.accounts.contains_key(&ticket.account) {
            return false;
        }
        let removed = self.change(&ticket.account, |found| match ticket.resumes {
            true => found.resumes.remove(&ticket.number).is_some(),
            false => found.begins.remove(&ticket.number).is_some(),
        });
        self.waiting -= usize::from(removed);
        self.begins -= usize::from(removed && !ticket.resumes);
        removed
    }

    /// Removes all statements that wait for a connection.
    pub fn take_waiting_begins(&mut self) -> Vec<Ticket> {
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        let mut taken = Vec::new();
        for account in accounts {
            let numbers = self.change(&account, |found| std::mem::take(&mut found.begins));
            let ticket = |number| Ticket { account: account.clone(), resumes: false, number };
            taken.extend(numbers.into_keys().map(ticket));
        }
        self.waiting -= taken.len();
        self.begins = 0;
        taken
    }

    /// Gives a slot back and charges the account for the time it was held.
    pub fn finish(&mut self, grant: &Grant, now: Time) {
        let used = u64::try_from(now.since(grant.since).as_micros()).unwrap_or(u64::MAX).max(1);
        self.service = (self.service - (self.service >> MEAN_SHIFT) + (used >> MEAN_SHIFT)).max(1);
        self.running -= 1;
        self.change(&grant.account, |found| {
            let cost = used.saturating_mul(VIRTUAL_SCALE) / found.weight;
            let settled = found.virtual_time.saturating_add(cost);
            found.virtual_time = settled.saturating_sub(grant.charged);
            found.running -= 1;
        });
    }

    /// Records that `account` gave a connection back.
    pub fn release_connection(&mut self, account: &AccountId) {
        self.change(account, |found| found.held -= 1);
    }

    /// Returns the time until a new statement would get its slot, if every
    /// active account used its share.
    fn expected_wait(&self, account: Option<&Account>, weight: u32) -> Duration {
        let ahead = account.map_or(0, Account::waiting) as u64;
        let weight = u64::from(weight.max(1));
        if self.running < self.limits.slots && ahead == 0 {
            return Duration::ZERO;
        }
        let others = match account {
            Some(found) if found.is_active() => self.active_weight,
            _ => self.active_weight + weight,
        };
        let turns = ahead.saturating_mul(others) / weight;
        let slots = u64::from(self.limits.slots.max(1));
        Duration::from_micros(turns.saturating_mul(self.service) / slots)
    }

    /// Changes an account and keeps the ordered sets in step with it.
    fn change<T>(&mut self, name: &AccountId, change: impl FnOnce(&mut Account) -> T) -> T {
        let mut account = self.accounts.remove(name).unwrap_or_default();
        let key = (account.virtual_time, name.clone());
        self.eligible.remove(&key);
        self.resumable.remove(&key);
        if let Some(overdue) = account.overdue() {
            self.overdue.remove(&(overdue, name.clone()));
        }
        self.active_weight -= if account.is_active() { account.weight } else { 0 };
        let result = change(&mut account);
        let key = (account.virtual_time, name.clone());
        let may_begin =
            !account.begins.is_empty() && account.held < self.limits.account_connections;
        if let Some(overdue) = account.overdue() {
            self.resumable.insert(key.clone());
            self.overdue.insert((overdue, name.clone()));
        }
        if may_begin || !account.resumes.is_empty() {
            self.eligible.insert(key);
        }
        self.active_weight += if account.is_active() { account.weight } else { 0 };
        // An account that holds nothing and owes nothing need not be remembered.
        let idle = !account.is_active() && account.held == 0;
        if !idle || account.virtual_time > self.virtual_time {
            self.accounts.insert(name.clone(), account);
        }
        result
    }
}

impl Ticket {
    /// Tells whether the statement holds its connection already.
    pub fn kind(&self) -> StatementKind {
        if self.resumes { StatementKind::Resume } else { StatementKind::Begin }
    }

    /// Returns the account of the statement.
    pub fn account(&self) -> &AccountId {
        &self.account
    }
}

impl Grant {
    /// Returns the account that holds the slot.
    pub fn account(&self) -> &AccountId {
        &self.account
    }
}
