//! Weighted fair queueing of statements by client account, for the slots and
//! connections of one backend server.
//!
//! A *slot* lets one statement run. Each account has a virtual time that advances
//! by the slot time that the account used, divided by its weight. A free slot goes
//! to the waiting account with the lowest virtual time (start-time fair queueing).
//! An account that was idle starts at the current virtual time of the queue, so it
//! has neither credit nor debt from the idle time.
//!
//! A statement that begins a transaction needs a connection as well as a slot. A
//! statement that resumes an open transaction holds its connection already and
//! needs only a slot. Both kinds advance the same virtual time of the account.
//!
//! All running statements may be waiting for a row that an open transaction has
//! locked. A statement that resumes a transaction therefore waits for a slot no
//! longer than [`MAX_RESUME_WAIT`], and then runs in excess of the slots.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{id::AccountId, refusal::Refusal, time::Time};

/// Virtual time that one microsecond of slot time costs at weight 1.
const VIRTUAL_TIME_PER_US: u64 = 1_024;

/// Mean service time assumed before a statement has finished, in microseconds.
const INITIAL_SERVICE_US: u64 = 1_000;

/// Weight of a new service time in the moving average, as a right shift: 4 means
/// a weight of 1/16.
const MEAN_SHIFT: u32 = 4;

/// Maximum time for which a statement of an open transaction waits for a slot
/// while other statements hold all slots.
pub const MAX_RESUME_WAIT: Duration = Duration::from_millis(100);

/// Kind of a statement, which decides whether it needs a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// The statement begins a transaction and needs a connection.
    Begin,
    /// The statement resumes an open transaction and holds a connection already.
    Resume,
}

/// Limits of one [`FairQueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of statements that run at once; overdue statements of open
    /// transactions may exceed it.
    pub slots: u32,
    /// Maximum number of connections that one account may hold.
    pub account_connections: u32,
    /// Maximum number of waiting statements of one account. Statements of open
    /// transactions count but are never refused for it.
    pub account_waiting: usize,
    /// Maximum number of waiting statements of all accounts together, with the
    /// same exception.
    pub total_waiting: usize,
}

/// Identifies a waiting statement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    account: AccountId,
    resumes: bool,
    number: u64,
}

/// A slot given to a statement. [`FairQueue::finish`] frees the slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    account: AccountId,
    /// Virtual time that the account was charged in advance.
    charged: u64,
    since: Time,
}

/// A statement that [`FairQueue::pop`] removed from the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Popped {
    /// The statement may run.
    Run(Ticket, Grant),
    /// The deadline of the statement passed while it waited.
    Expired(Ticket),
}

/// A waiting statement of an open transaction.
#[derive(Clone, Copy, Debug)]
struct Resume {
    deadline: Time,
    /// Time from which it may run without a free slot.
    overdue: Time,
}

#[derive(Debug, Default)]
struct Account {
    weight: u64,
    virtual_time: u64,
    begins: BTreeMap<u64, Time>,
    resumes: BTreeMap<u64, Resume>,
    connections: u32,
    running: u32,
}

impl Account {
    fn waiting(&self) -> usize {
        self.begins.len() + self.resumes.len()
    }

    fn is_active(&self) -> bool {
        self.running > 0 || self.waiting() > 0
    }

    /// Returns the time at which the first waiting statement of an open
    /// transaction is overdue.
    fn overdue(&self) -> Option<Time> {
        self.resumes.first_key_value().map(|(_, resume)| resume.overdue)
    }
}

/// Queue of the statements that wait for one backend server. It also counts the
/// slots and connections in use.
///
/// Each operation on one statement takes time logarithmic in the number of
/// accounts and of waiting statements.
#[derive(Debug)]
pub struct FairQueue {
    limits: Limits,
    accounts: HashMap<AccountId, Account>,
    /// Accounts with a statement that can run if a connection is free, by virtual
    /// time.
    eligible: BTreeSet<(u64, AccountId)>,
    /// Accounts with a waiting statement of an open transaction, by virtual time.
    resumable: BTreeSet<(u64, AccountId)>,
    /// The accounts of `resumable`, by the time at which their first such
    /// statement is overdue.
    overdue: BTreeSet<(Time, AccountId)>,
    virtual_time: u64,
    running: u32,
    waiting: usize,
    begins: usize,
    active_weight: u64,
    service_us: u64,
    next: u64,
}

impl FairQueue {
    /// Creates an empty queue.
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
            service_us: INITIAL_SERVICE_US,
            next: 0,
        }
    }

    /// Replaces the limits. Statements that already wait or run aren't affected.
    pub fn set_limits(&mut self, limits: Limits) {
        if self.limits == limits {
            return;
        }
        self.limits = limits;
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in accounts {
            self.update(&account, |_| ());
        }
    }

    /// Returns the number of waiting statements.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of waiting statements that begin a transaction and so
    /// need a connection.
    pub fn waiting_begins(&self) -> usize {
        self.begins
    }

    /// Returns the number of running statements.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Adds a statement of `account`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::QueueFull`] if too many statements wait, and
    /// [`Refusal::DeadlineTooClose`] if the statement would not get a slot before
    /// its deadline, assuming that every active account uses its full share.
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
        // A statement of an open transaction is accepted into a full queue: the
        // transaction holds a connection that the waiting statements need, and
        // each open transaction has at most one statement in the queue.
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
        self.update(account, |found| {
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

    /// Removes and returns the next statement to run.
    ///
    /// There is one if a slot is free and, for a statement that begins a
    /// transaction, a connection as well. If no slot is free, an overdue
    /// statement of an open transaction is returned.
    pub fn pop(&mut self, connection_free: bool, now: Time) -> Option<Popped> {
        let account = self.next_account(connection_free, now)?;
        let service = self.service_us;
        let (ticket, deadline, start, charged) = self.update(&account, |found| {
            let resumed = found.resumes.pop_first().map(|(n, resume)| (n, resume.deadline));
            let resumes = resumed.is_some();
            let (number, deadline) = resumed.or_else(|| found.begins.pop_first())?;
            let start = found.virtual_time;
            let ticket = Ticket { account: account.clone(), resumes, number };
            if deadline <= now {
                return Some((ticket, deadline, start, 0));
            }
            let charged = service * VIRTUAL_TIME_PER_US / found.weight;
            found.virtual_time += charged;
            found.running += 1;
            found.connections += u32::from(!resumes);
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

    /// Returns the account that runs the next statement.
    fn next_account(&self, connection_free: bool, now: Time) -> Option<AccountId> {
        if self.running >= self.limits.slots {
            let (overdue, account) = self.overdue.first()?;
            return (*overdue <= now).then(|| account.clone());
        }
        let set = if connection_free { &self.eligible } else { &self.resumable };
        set.first().map(|(_, account)| account.clone())
    }

    /// Removes a waiting statement.
    ///
    /// Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: &Ticket) -> bool {
        if !self.accounts.contains_key(&ticket.account) {
            return false;
        }
        let removed = self.update(&ticket.account, |found| match ticket.resumes {
            true => found.resumes.remove(&ticket.number).is_some(),
            false => found.begins.remove(&ticket.number).is_some(),
        });
        self.waiting -= usize::from(removed);
        self.begins -= usize::from(removed && !ticket.resumes);
        removed
    }

    /// Removes and returns all waiting statements that need a connection.
    pub fn take_waiting_begins(&mut self) -> Vec<Ticket> {
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        let mut taken = Vec::new();
        for account in accounts {
            let numbers = self.update(&account, |found| std::mem::take(&mut found.begins));
            let ticket = |number| Ticket { account: account.clone(), resumes: false, number };
            taken.extend(numbers.into_keys().map(ticket));
        }
        self.waiting -= taken.len();
        self.begins = 0;
        taken
    }

    /// Frees the slot of `grant` and charges the account for the time for which the
    /// slot was held.
    pub fn finish(&mut self, grant: &Grant, now: Time) {
        let used = u64::try_from(now.since(grant.since).as_micros()).unwrap_or(u64::MAX).max(1);
        self.service_us =
            (self.service_us - (self.service_us >> MEAN_SHIFT) + (used >> MEAN_SHIFT)).max(1);
        self.running -= 1;
        self.update(&grant.account, |found| {
            let cost = used.saturating_mul(VIRTUAL_TIME_PER_US) / found.weight;
            let total = found.virtual_time.saturating_add(cost);
            found.virtual_time = total.saturating_sub(grant.charged);
            found.running -= 1;
        });
    }

    /// Records that `account` returned a connection.
    pub fn release_connection(&mut self, account: &AccountId) {
        self.update(account, |found| found.connections -= 1);
    }

    /// Returns the time until a new statement would get a slot if every active
    /// account used its full share.
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
        Duration::from_micros(turns.saturating_mul(self.service_us) / slots)
    }

    /// Updates an account, and the ordered sets and the active weight with it.
    fn update<T>(&mut self, name: &AccountId, change: impl FnOnce(&mut Account) -> T) -> T {
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
            !account.begins.is_empty() && account.connections < self.limits.account_connections;
        if let Some(overdue) = account.overdue() {
            self.resumable.insert(key.clone());
            self.overdue.insert((overdue, name.clone()));
        }
        if may_begin || !account.resumes.is_empty() {
            self.eligible.insert(key);
        }
        self.active_weight += if account.is_active() { account.weight } else { 0 };
        // An idle account is removed once it holds no connection and its virtual
        // time is not ahead of the queue's.
        let idle = !account.is_active() && account.connections == 0;
        if !idle || account.virtual_time > self.virtual_time {
            self.accounts.insert(name.clone(), account);
        }
        result
    }
}

impl Ticket {
    /// Returns the kind of the statement.
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
