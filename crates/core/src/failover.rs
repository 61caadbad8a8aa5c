//! Replacement of the primary of a group that acknowledges a commit as soon as
//! one replica has received it.
//!
//! After a failure any one replica may be the only holder of an acknowledged
//! commit. A succession therefore stops *every* other server from receiving, at
//! a term above all others, and only then promotes the one that received most:
//! once all are stopped the old primary can acknowledge nothing more.
//!
//! A group whose replicas are stopped acknowledges nothing, so none is stopped
//! before all have answered lately, and a succession that loses one again is given
//! up rather than waited for.
//!
//! In a planned move the old primary goes on until the promotion. The target is
//! not stopped, so that whatever is still acknowledged is received by it.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
};

/// Time between two orders of the same kind to one server.
const REPEAT: Duration = Duration::from_millis(250);

/// Time between two looks at a server whose promotion was ordered.
const CONFIRM: Duration = Duration::from_millis(150);

/// Time after which the order to promote is given again.
const REORDER: Duration = Duration::from_millis(1_500);

/// Age of an answer up to which a server counts as reachable.
const REACHABLE: Duration = Duration::from_millis(800);

/// Time after the first stop in which the promotion must be ordered.
const STOPPED_LIMIT: Duration = Duration::from_millis(1_500);

/// Time after which a planned move is given up.
const PLANNED_LIMIT: Duration = Duration::from_secs(4);

/// Time after which a failover starts over with what is then known.
const LIMIT: Duration = Duration::from_secs(12);

/// A server of the group that is not the old primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it may be primary for long: it is neither leaving nor in a data
    /// centre that was taken out.
    pub preferred: bool,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicationStatus {
    /// Whether it takes writes.
    pub primary: bool,
    /// Its term.
    pub term: Term,
    /// Newest position that it has received.
    pub received: Position,
    /// Term at which it was stopped from receiving; zero when it was not.
    pub fenced_term: Term,
}

/// Time for which a server that vanished is expected back with its log.
const EXPECTED_BACK: Duration = Duration::from_secs(10);

/// A server as it is registered.
#[derive(Clone, Copy, Debug)]
pub struct RegisteredServer<'a> {
    /// Name of the server.
    pub server: &'a ServerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Servers that vanished.
///
/// A crashed server loses its entry and comes back with its log, which may be the
/// only one with an acknowledged commit. Nobody is promoted before it is back, or
/// has been away for so long that it counts as lost.
#[derive(Clone, Debug, Default)]
pub struct MissingServers {
    since: IndexMap<ServerId, Time>,
}

impl MissingServers {
    /// Makes an empty set.
    pub fn new() -> Self {
        MissingServers::default()
    }

    /// Takes note of a change of the registered servers from `before` to `after`.
    ///
    /// A leaving server is missed like any other: that it was to leave does not say
    /// why it vanished. Only one whose address another server has taken over, and its
    /// log with it, is not.
    pub fn update<'a>(
        &mut self,
        before: impl IntoIterator<Item = RegisteredServer<'a>>,
        after: impl IntoIterator<Item = RegisteredServer<'a>>,
        now: Time,
    ) {
        let after: Vec<RegisteredServer<'_>> = after.into_iter().collect();
        let is_there = |gone: &RegisteredServer<'_>| {
            after.iter().any(|other| other.server == gone.server || other.address == gone.address)
        };
        for gone in before.into_iter().filter(|server| !is_there(server)) {
            self.since.entry(gone.server.clone()).or_insert(now);
        }
        for present in after {
            self.since.shift_remove(present.server);
        }
    }

    /// Tells whether a server other than `primary` is expected back.
    pub fn is_any_expected(&self, primary: Option<&ServerId>, now: Time) -> bool {
        let awaited = |(server, since): (&ServerId, &Time)| {
            Some(server) != primary && now.since(*since) < EXPECTED_BACK
        };
        self.since.iter().any(awaited)
    }
}

/// Why the primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The primary failed or is cut off.
    Failure,
    /// The primary works but is to leave.
    Planned,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Stop a server from receiving, at this term.
    Fence(ServerId, Term),
    /// Ask a server for its standing.
    Poll(ServerId),
    /// Action the promotion of a server.
    Promote(ServerId),
    /// Let a server receive again.
    Release(ServerId),
}

/// How far a succession is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It goes on.
    Running,
    /// This server leads at this term.
    Done(ServerId, Term),
    /// It was given up, for this reason.
    Abandoned(&'static str),
}

#[derive(Clone, Debug, Default)]
struct Seat {
    fit: bool,
    standing: Option<ReplicationStatus>,
    heard: Option<Time>,
    ordered: Option<Time>,
}

/// One replacement of a primary.
#[derive(Clone, Debug)]
pub struct Failover {
    cause: Cause,
    term: Term,
    seats: IndexMap<ServerId, Seat>,
    /// Newest position of which a commit was acknowledged.
    acknowledged: Position,
    begun: Time,
    /// When the first server was stopped.
    stopped: Option<Time>,
    target: Option<ServerId>,
    ordered: Option<Time>,
}

impl Failover {
    /// Begins to replace a primary by one of `members`, at a term above
    /// `highest`. `acknowledged` is the newest position known to be
    /// acknowledged; nobody who received less is promoted.
    pub fn new(
        cause: Cause,
        members: impl IntoIterator<Item = Member>,
        highest: Term,
        acknowledged: Position,
        now: Time,
    ) -> Self {
        let seat =
            |member: Member| (member.server, Seat { fit: member.preferred, ..Seat::default() });
        Failover {
            cause,
            term: highest.next(),
            seats: members.into_iter().map(seat).collect(),
            acknowledged,
            begun: now,
            stopped: None,
            target: None,
            ordered: None,
        }
    }

    /// Returns why the primary is replaced.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Returns the term at which servers are stopped.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the highest term that any server showed, stopped ones included.
    ///
    /// Servers that a VM had stopped before it ended stay stopped at its term, which
    /// the next succession must exceed.
    pub fn highest_term(&self) -> Term {
        let shown = self.seats.values().filter_map(|seat| seat.standing);
        shown.map(|standing| standing.term.max(standing.fenced_term)).max().unwrap_or_default()
    }

    /// Returns the server whose promotion was ordered.
    pub fn promotion_target(&self) -> Option<&ServerId> {
        self.ordered.and(self.target.as_ref())
    }

    /// Takes note of a newer acknowledged position.
    pub fn record_acknowledged(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
    }

    /// Takes note of what a server said.
    pub fn record_status(&mut self, server: &ServerId, standing: ReplicationStatus, now: Time) {
        if let Some(seat) = self.seats.get_mut(server) {
            seat.standing = Some(standing);
            seat.heard = Some(now);
        }
    }

    /// Forgets the servers that are gone for good.
    pub fn retain(&mut self, is_there: impl Fn(&ServerId) -> bool) {
        self.seats.retain(|server, _| is_there(server));
        if self.ordered.is_none() && self.target.as_ref().is_some_and(|target| !is_there(target)) {
            self.target = None;
        }
    }

    /// Takes note that the order to promote was refused since the server does
    /// not run: the choice is made again.
    pub fn record_promotion_refusal(&mut self) {
        if let Some(target) = self.target.take()
            && let Some(seat) = self.seats.get_mut(&target)
        {
            seat.standing = None;
        }
        self.ordered = None;
    }

    /// Returns how far the succession is.
    pub fn progress(&self, now: Time) -> Progress {
        for (server, seat) in &self.seats {
            match seat.standing {
                Some(standing) if standing.primary && self.promotion_target() == Some(server) => {
                    return Progress::Done(server.clone(), standing.term);
                }
                Some(standing) if standing.primary => {
                    return Progress::Abandoned("another server leads already");
                }
                Some(standing) if standing.fenced_term > self.term => {
                    return Progress::Abandoned("another VM replaces the primary at a higher term");
                }
                _ => {}
            }
        }
        if self.seats.is_empty() {
            return Progress::Abandoned("no other server is left");
        }
        let stopped = self.stopped.filter(|_| self.ordered.is_none());
        if stopped.is_some_and(|since| now.since(since) > STOPPED_LIMIT) {
            return Progress::Abandoned("a server can no longer be asked");
        }
        let limit = match self.cause {
            Cause::Planned if self.ordered.is_none() => PLANNED_LIMIT,
            _ => LIMIT,
        };
        match now.since(self.begun) > limit {
            true => Progress::Abandoned("it took too long"),
            false => Progress::Running,
        }
    }

    /// Returns what is to be done at `now`.
    pub fn next_actions(&mut self, now: Time) -> Vec<Action> {
        if let (Some(target), Some(ordered)) = (&self.target, self.ordered) {
            let target = target.clone();
            return self.confirm(target, ordered, now);
        }
        if self.cause == Cause::Planned && self.target.is_none() {
            self.target = self.best(true);
        }
        let mut orders = self.preparations(now);
        if let Some(server) = self.winner() {
            self.target = Some(server.clone());
            self.ordered = Some(now);
            orders.push(Action::Promote(server));
        }
        orders
    }

    /// Returns the servers that must receive again when this is abandoned.
    pub fn release_actions(&self) -> Vec<Action> {
        match self.stopped {
            Some(_) => self.seats.keys().cloned().map(Action::Release).collect(),
            None => Vec::new(),
        }
    }

    fn confirm(&mut self, target: ServerId, ordered: Time, now: Time) -> Vec<Action> {
        let Some(seat) = self.seats.get_mut(&target) else { return Vec::new() };
        if now.since(ordered) >= REORDER {
            self.ordered = Some(now);
            return vec![Action::Promote(target)];
        }
        if seat.ordered.is_some_and(|asked| now.since(asked) < CONFIRM) {
            return Vec::new();
        }
        seat.ordered = Some(now);
        vec![Action::Poll(target)]
    }

    /// Asks every server until all answer, then stops them, but for the target of
    /// a planned move, which is asked on.
    fn preparations(&mut self, now: Time) -> Vec<Action> {
        let lately = |seat: &Seat| seat.heard.is_some_and(|heard| now.since(heard) < REACHABLE);
        let stops = self.stopped.is_some() || self.seats.values().all(lately);
        if stops
            && self.stopped.is_none()
            && (self.cause == Cause::Failure || self.target.is_some())
        {
            self.stopped = Some(now);
            // The questions of the first phase must not delay the stops.
            self.seats.values_mut().for_each(|seat| seat.ordered = None);
        }
        let mut orders = Vec::new();
        for (server, seat) in &mut self.seats {
            if seat.ordered.is_some_and(|ordered| now.since(ordered) < REPEAT) {
                continue;
            }
            let asked = self.stopped.is_none() || self.target.as_ref() == Some(server);
            let held = seat.standing.is_some_and(|standing| standing.fenced_term == self.term);
            match (asked, held) {
                (true, _) => orders.push(Action::Poll(server.clone())),
                (false, false) => orders.push(Action::Fence(server.clone(), self.term)),
                (false, true) => continue,
            }
            seat.ordered = Some(now);
        }
        orders
    }

    /// Returns the server to promote once nothing more can be acknowledged that
    /// it lacks.
    fn winner(&self) -> Option<ServerId> {
        let is_held = |seat: &Seat| seat.standing.is_some_and(|s| s.fenced_term == self.term);
        let target = match self.cause {
            Cause::Failure => {
                if !self.seats.values().all(is_held) {
                    return None;
                }
                self.best(false)?
            }
            Cause::Planned => {
                let target = self.target.clone()?;
                let others = self.seats.iter().filter(|(server, _)| **server != target);
                if !others.map(|(_, seat)| seat).all(is_held) {
                    return None;
                }
                target
            }
        };
        let received = self.received(&target)?;
        let most = self.seats.keys().filter_map(|server| self.received(server)).max()?;
        (received >= most && received >= self.acknowledged).then_some(target)
    }

    fn received(&self, server: &ServerId) -> Option<Position> {
        Some(self.seats.get(server)?.standing?.received)
    }

    /// Returns the server that received most, a fit one before others; once all
    /// have answered, or `fit_only`.
    fn best(&self, fit_only: bool) -> Option<ServerId> {
        if self.seats.values().any(|seat| seat.standing.is_none()) {
            return None;
        }
        let key = |seat: &Seat| (seat.standing.map(|s| s.received), seat.fit);
        self.seats
            .iter()
            .filter(|(_, seat)| seat.fit || !fit_only)
            .max_by_key(|(_, seat)| key(seat))
            .map(|(server, _)| server.clone())
    }
}
