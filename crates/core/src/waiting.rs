//! Requests that wait for one of the connections to a backend server.
//!
//! This decides about load above what the connections carry: a burst of many callers, a
//! group whose reads all fall to one server because the others lag behind, or a server
//! that turns slow. Requests that poll for a connection lose their place with each poll,
//! and most of them end late. Here they wait in the order of their priority and arrival.
//! A request whose wait is expected to be longer than it may take is refused on arrival,
//! so that its caller can go elsewhere at once.
//!
//! A connection runs statements of one account. If requests of several accounts wait, their
//! order of arrival would open a new connection for nearly every one, which takes as much of the
//! server's time as a statement, and the overload would feed itself. So among requests of one
//! priority, one whose account has an idle connection goes first, up to a limit.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use crate::{average::Average, time::Time};

/// Number of releases over which the expected wait is averaged.
const AVERAGED_RELEASES: u32 = 16;

/// Factor by which each admission reduces the weight of those before it.
const ADMISSION_DECAY: f64 = 1.0 - 1.0 / AVERAGED_RELEASES as f64;

/// Number of requests that may go before the first one of their priority in a row, because their
/// accounts have idle connections.
const MAX_OVERTAKING: u32 = 8;

/// Priority of a request; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Priority(u8);

impl Priority {
    /// Creates a priority.
    pub const fn new(priority: u8) -> Self {
        Priority(priority)
    }

    /// Returns the next less urgent priority.
    pub const fn lowered(self) -> Self {
        Priority(self.0.saturating_add(1))
    }

    /// Returns the priority as a number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Priority)
    }
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    priority: Priority,
    number: u64,
}

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It has a connection.
    Admitted,
    /// It waits.
    Waiting(Ticket),
    /// It is refused, because it would have to wait about this long.
    Refused(Duration),
}

#[derive(Debug)]
struct Waiter<W> {
    deadline: Time,
    waker: W,
}

/// The requests that use or wait for the connections to one server. A waiting request has
/// a waker of type `W`.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Time, waiting::{Arrival, Priority, WaitingList}};
///
/// let mut list = WaitingList::new(1);
/// let (now, patience) = (Time::default(), Duration::from_millis(100));
/// assert_eq!(list.arrive(Priority::default(), patience, now, || "first"), Arrival::Admitted);
/// list.arrive(Priority::new(2), patience, now, || "second");
/// list.arrive(Priority::new(1), patience, now, || "urgent");
/// list.release(now);
/// assert_eq!(list.next(now), Some("urgent"));
/// assert_eq!(list.next(now), None, "the connection is in use again");
/// ```
#[derive(Debug)]
pub struct WaitingList<W> {
    limit: u32,
    in_use: u32,
    waiters: BTreeMap<Ticket, Waiter<W>>,
    next_number: u64,
    /// Time between two releases while requests wait.
    interval: Average,
    /// When the last interval began.
    interval_start: Time,
    /// Recent admissions of waiting requests by priority; older ones weigh less.
    admissions: BTreeMap<Priority, f64>,
    /// Number of requests that have gone before the first one of their priority since the last
    /// that was first.
    overtaking: BTreeMap<Priority, u32>,
}

impl<W> WaitingList<W> {
    /// Creates the list for `limit` connections.
    pub fn new(limit: u32) -> Self {
        WaitingList {
            limit,
            in_use: 0,
            waiters: BTreeMap::new(),
            next_number: 0,
            interval: Average::new().with_inverse_weight(AVERAGED_RELEASES),
            interval_start: Time::default(),
            admissions: BTreeMap::new(),
            overtaking: BTreeMap::new(),
        }
    }

    /// Changes the number of connections. Connections in use above it stay in use.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of connections in use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Records the arrival of a request that may wait for `patience`. `waker` creates its
    /// waker if it waits.
    pub fn arrive(
        &mut self,
        priority: Priority,
        patience: Duration,
        now: Time,
        waker: impl FnOnce() -> W,
    ) -> Arrival {
        if self.in_use < self.limit && self.waiters.is_empty() {
            self.in_use += 1;
            return Arrival::Admitted;
        }
        let expected = self.expected_wait(priority);
        if expected > patience {
            return Arrival::Refused(expected);
        }
        if self.waiters.is_empty() {
            self.interval_start = now;
        }
        let ticket = Ticket { priority, number: self.next_number };
        self.next_number += 1;
        self.waiters.insert(ticket, Waiter { deadline: now + patience, waker: waker() });
        Arrival::Waiting(ticket)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiters.remove(&ticket);
    }

    /// Records that a connection is no longer in use.
    pub fn release(&mut self, now: Time) {
        self.in_use = self.in_use.saturating_sub(1);
        if !self.waiters.is_empty() {
            self.interval.add(now.since(self.interval_start));
            self.interval_start = now;
        }
    }

    /// Gives a free connection to the next request and returns its waker. Requests whose
    /// time is up are removed.
    pub fn next(&mut self, now: Time) -> Option<W> {
        self.next_preferring(now, |_| false)
    }

    /// Does the same as [`WaitingList::next`]. Among the requests of the most urgent priority,
    /// one whose waker satisfies `is_ready` goes first, since it needs no new connection.
    pub fn next_preferring(&mut self, now: Time, is_ready: impl Fn(&W) -> bool) -> Option<W> {
        self.waiters.retain(|_, waiter| now <= waiter.deadline);
        if self.in_use >= self.limit {
            return None;
        }
        let ticket = self.choose(is_ready)?;
        let waiter = self.waiters.remove(&ticket)?;
        self.in_use += 1;
        self.record_admission(ticket.priority);
        Some(waiter.waker)
    }

    fn choose(&mut self, is_ready: impl Fn(&W) -> bool) -> Option<Ticket> {
        let first = *self.waiters.keys().next()?;
        let same_priority = self.waiters.iter().take_while(|(t, _)| t.priority == first.priority);
        let ready = same_priority.into_iter().find(|(_, waiter)| is_ready(&waiter.waker));
        let overtaking = self.overtaking.entry(first.priority).or_default();
        let chosen = match ready {
            Some((ticket, _)) if *overtaking < MAX_OVERTAKING => *ticket,
            _ => first,
        };
        *overtaking = if chosen == first { 0 } else { *overtaking + 1 };
        Some(chosen)
    }

    fn record_admission(&mut self, priority: Priority) {
        self.admissions.values_mut().for_each(|weight| *weight *= ADMISSION_DECAY);
        *self.admissions.entry(priority).or_default() += 1.0;
    }

    /// Returns the share of recent admissions that more urgent requests had.
    fn urgent_share(&self, priority: Priority) -> f64 {
        let all: f64 = self.admissions.values().sum();
        let urgent: f64 = self.admissions.range(..priority).map(|(_, weight)| weight).sum();
        if all > 0.0 { urgent / all } else { 0.0 }
    }

    /// Returns how long a request that arrives now is expected to wait. Nothing is expected
    /// before others wait too.
    fn expected_wait(&self, priority: Priority) -> Duration {
        let ahead = self.waiters.keys().filter(|ticket| ticket.priority <= priority).count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let interval = self.interval.get().unwrap_or_default();
        // More urgent requests will arrive and be admitted before this one.
        let left = (1.0 - self.urgent_share(priority)).max(f64::EPSILON);
        let expected = interval.as_secs_f64() * (ahead + 1) as f64 / left;
        Duration::try_from_secs_f64(expected).unwrap_or(Duration::MAX)
    }
}
