//! Failover: replacement of the primary of a database group.
//!
//! The primary acknowledges a commit as soon as one replica has received it. After a
//! failure, any single replica may therefore be the only one with an acknowledged commit. A
//! failover *fences* every replica, which stops it from receiving, at the term that the
//! promotion will lead, and only then promotes the replica that has received most. A server that
//! has heard of the promotion refuses a fence that arrives late, because its term is no longer
//! below that of the fence.
//!
//! A replica that starts in the course of the failover is not fenced yet, and the old primary
//! could go on to acknowledge commits with it. So a failed primary that still answers is first
//! made a replica itself (see [`Demotion`]), replicas that join are fenced too, and if the old
//! primary has written more than any known replica received, the servers are listed once more
//! before one is promoted.
//!
//! A group with fenced replicas acknowledges no commits. So no replica is fenced before
//! all of them have answered recently. If a replica stops answering after that, the failover
//! is abandoned and does not wait for the replica. What lifts the fences afterwards is a
//! [`FenceCleanup`], not the failover.
//!
//! In a planned failover the old primary works until the promotion. The server to promote
//! is not fenced, so that it receives every commit that is still acknowledged. When all
//! servers are replaced one after the other, those that run for longest leave next. So the
//! one that started last is promoted, and the group is not left without a primary again.

mod announcement;
mod cleanup;
mod demotion;
mod fencing;
mod floor;
mod listing;
mod missing;
mod progress;
mod promotion;
mod replaced;
mod replica;
mod selection;

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    id::ServerId,
    position::{Position, Term},
    time::Time,
};

pub use self::{
    announcement::{Announcement, FailoverNumber},
    cleanup::{CleanupAction, FenceCleanup, FenceUse, RELEASE_TIMEOUT, UNCONFIRMED_CLEANUP},
    missing::{MissingServer, MissingServers, RegisteredServer, ServerTimes},
    progress::Progress,
    promotion::OrderAttempt,
    replaced::ReplacedPrimaries,
    replica::{Member, ReplicationStatus, Report},
};

pub(crate) use self::missing::RETURN_TIMEOUT;

use self::{
    demotion::Demotion, floor::Shortage, listing::Listing, promotion::AttemptNumber,
    replica::Replica,
};

/// Time after which another request to fence or poll a server is sent.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of the last answer of a server that counts as reachable.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(800);

/// Time after the announcement of a failover until every VM in contact knows of it, and passes on
/// no success that rests on contact alone.
const ANNOUNCEMENT_SPAN: Duration = Duration::from_millis(200);

/// Why the primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The primary failed or is cut off.
    Failure,
    /// The primary works but is going to leave.
    Planned,
}

/// A step that the coordinator carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fence a server at this term, so that it stops receiving.
    Fence(ServerId, Term),
    /// Ask a server for its replication status.
    Poll(ServerId),
    /// Make the old primary a replica if its term is lower than this one.
    Demote(ServerId, Term),
    /// Read from the directory which servers are registered now.
    ListServers,
    /// Request the promotion of a server. The attempt is to be claimed right before the order is
    /// sent ([`Failover::claim`]).
    Promote(OrderAttempt),
}

/// One replacement of a primary, as a state machine.
///
/// The caller carries out the [`Action`]s and records the answers.
#[derive(Clone, Debug)]
pub struct Failover {
    cause: Cause,
    term: Term,
    replicas: IndexMap<ServerId, Replica>,
    /// Name of the primary to replace, if it is known.
    replaced: Option<ServerId>,
    /// What is known of that primary, unless it has become a member.
    primary: Option<Demotion>,
    /// What the directory was asked about the registered servers.
    listing: Listing,
    /// Newest term of which an acknowledged commit, or where its log began, is known.
    known_term: Term,
    /// Newest term in which a server is known to lead, not only by its answers to the failover.
    led: Term,
    /// Newest position with an acknowledged commit.
    acknowledged: Position,
    /// Newest position with an acknowledged commit at the start.
    first_acknowledged: Position,
    started: Time,
    /// When all VMs were told of the failover.
    announced: Time,
    /// Whether it has to be announced once more, because its own order for another server may be
    /// carried out before the next one.
    unannounced: bool,
    /// Whether a server joined after a promotion was requested.
    joined_late: bool,
    /// Whether nobody may be promoted, until fencing begins.
    shortage: Shortage,
    /// When fencing began.
    fencing_since: Option<Time>,
    target: Option<ServerId>,
    /// When the newest attempt was made, or its order was sent.
    promotion_sent: Option<Time>,
    /// End of the target's log when its promotion was first requested.
    target_received: Option<Position>,
    /// Server that an earlier failover has ordered to promote, if that may still happen.
    open_order: Option<ServerId>,
    /// The newest attempt to order a promotion.
    attempt: AttemptNumber,
    /// What the server of a planned promotion had to have received when the attempt was made.
    attempt_floor: Position,
    /// The newest attempt whose order was sent.
    sent_attempt: Option<AttemptNumber>,
    /// Whether it has ended. It then does nothing any more.
    has_ended: bool,
    /// Until when no promotion is requested, because the last request could not be sent.
    retry_after: Option<Time>,
}

impl Failover {
    /// Starts to replace a primary by one of `members`. The promotion will lead the term after
    /// `highest`, the highest in which a server is known to have led.
    ///
    /// `acknowledged` is the newest position known to be acknowledged. No server that has
    /// received less is promoted.
    pub fn new(
        cause: Cause,
        members: impl IntoIterator<Item = Member>,
        highest: Term,
        acknowledged: Position,
        now: Time,
    ) -> Self {
        let replica = |member: Member| (member.server.clone(), Replica::new(member));
        Failover {
            cause,
            term: highest.next(),
            replicas: members.into_iter().map(replica).collect(),
            replaced: None,
            primary: None,
            listing: Listing::default(),
            known_term: acknowledged.term(),
            led: Term::default(),
            acknowledged,
            first_acknowledged: acknowledged,
            started: now,
            announced: now,
            unannounced: false,
            joined_late: false,
            shortage: Shortage::None,
            fencing_since: None,
            target: None,
            promotion_sent: None,
            target_received: None,
            open_order: None,
            attempt: AttemptNumber::default(),
            attempt_floor: Position::default(),
            sent_attempt: None,
            has_ended: false,
            retry_after: None,
        }
    }

    /// Sets the server that an earlier failover has ordered to promote, if that may still happen.
    pub fn with_open_order(self, server: Option<ServerId>) -> Self {
        Failover { open_order: server, ..self }
    }

    /// Sets the primary to replace and when it last answered as such.
    pub fn with_primary(mut self, primary: ServerId, answered: Time) -> Self {
        self.replaced = Some(primary.clone());
        self.primary = Some(Demotion::new(primary, answered));
        self
    }

    /// Returns the primary that is replaced, if it is known.
    pub fn replaced_primary(&self) -> Option<&ServerId> {
        self.replaced.as_ref()
    }

    /// Returns why the primary is replaced.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Returns the term at which servers are fenced.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the highest term that any server follows or leads, as far as they have answered.
    pub fn reported_term(&self) -> Term {
        let replicas = self.replicas.values().filter_map(|replica| replica.status);
        let primary = self.primary.as_ref().and_then(Demotion::status);
        replicas.chain(primary).map(|status| status.term).max().unwrap_or_default()
    }

    /// Returns what the servers have reported, the old primary last.
    pub fn reports(&self) -> impl Iterator<Item = Report<'_>> {
        let replicas = self.replicas.iter().map(|(server, replica)| Report {
            server,
            status: replica.status,
            answered: replica.answered,
        });
        replicas.chain(self.primary.as_ref().map(Demotion::report))
    }

    /// Returns whether it has to be announced once more, with the term that its own order for
    /// another server may bring about. Nothing is ordered before.
    pub fn needs_announcement(&self) -> bool {
        self.unannounced
    }

    /// Records that all VMs are told of the failover again, because it replaces the primary of a
    /// higher term than they were told.
    pub fn record_announcement(&mut self, now: Time) {
        self.announced = now;
        self.unannounced = false;
        self.withdraw();
    }

    /// Ends the failover. It asks for nothing any more, and no attempt of it can be claimed.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Returns whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns the highest term that it replaces.
    pub fn replaced_term(&self) -> Term {
        let below = Term::new(self.term.get().saturating_sub(1));
        below.max(self.reported_term())
    }

    /// Records a position with an acknowledged commit. Positions older than the newest have
    /// no effect.
    pub fn record_acknowledged(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
        self.known_term = self.known_term.max(position.term());
    }

    /// Records a term in which a server is known to lead, by whatever this VM has heard. A server
    /// that has just been promoted may be too busy to answer the failover.
    pub fn record_led(&mut self, term: Term) {
        self.led = self.led.max(term);
    }

    /// Returns whether a server leads by an order of another failover, in a term that this one does
    /// not replace.
    pub(super) fn is_superseded(&self) -> bool {
        !self.has_sent_order() && self.led > self.replaced_term()
    }

    /// Records the status that a server reported. Until servers are fenced, a higher term than
    /// was known raises that of the failover. Terms of fences do not, since no server has led them.
    pub fn record_status(&mut self, server: &ServerId, status: ReplicationStatus, now: Time) {
        if self.fencing_since.is_none() {
            self.term = self.term.max(status.term.next());
        }
        let term = self.term;
        if let Some(replica) = self.replicas.get_mut(server) {
            replica.record_status(status, term, now);
        } else if let Some(primary) = self.primary.as_mut().filter(|old| old.server() == server) {
            primary.record_status(status, now);
        }
    }

    /// Records the answer to [`Action::ListServers`] that was asked for at `asked`, after the
    /// new servers have joined.
    pub fn record_list(&mut self, asked: Time) {
        self.listing.record_answer(asked);
    }

    /// Records that the directory did not answer [`Action::ListServers`]. A server that does
    /// not reach it either cannot be registered, so that a promotion does not wait for it.
    pub fn record_list_failure(&mut self) {
        self.listing.record_failure();
    }

    /// Adds the servers that have been registered since the start.
    ///
    /// If one joins after the promotion of a successor was requested, a leaving primary must
    /// not work any longer: the new server may receive a commit before the successor does.
    pub fn join(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            let is_primary =
                self.primary.as_ref().is_some_and(|old| *old.server() == member.server);
            if is_primary || self.replicas.contains_key(&member.server) {
                continue;
            }
            if self.promotion_sent.is_some() {
                self.joined_late = true;
            }
            self.replicas.insert(member.server.clone(), Replica::new(member));
        }
    }

    /// Removes the servers for which `is_there` returns false; they are gone for good.
    pub fn retain(&mut self, is_there: impl Fn(&ServerId) -> bool) {
        self.replicas.retain(|server, _| is_there(server));
        if self.promotion_sent.is_none()
            && self.target.as_ref().is_some_and(|target| !is_there(target))
        {
            self.target = None;
        }
    }

    /// Returns the actions to carry out at `now`.
    pub fn next_actions(&mut self, now: Time) -> Vec<Action> {
        if self.has_ended {
            return Vec::new();
        }
        if self.has_lost_target() {
            self.choose_again();
        }
        if let (Some(target), Some(sent)) = (&self.target, self.promotion_sent) {
            let target = target.clone();
            let mut actions = self.check_promotion(target, sent, now);
            actions.extend(self.fence(now));
            if self.cause == Cause::Failure || self.joined_late {
                actions.extend(self.demote(now));
            }
            return actions;
        }
        if self.cause == Cause::Planned && self.target.is_none() {
            self.target = self.successor();
        }
        let mut actions = self.prepare(now);
        self.readmit_primary();
        self.listing.require(self.list_needed());
        let needs_list = self.lacks_list() || self.awaits_list(now);
        if self.fencing_since.is_some() && needs_list && self.listing.is_due(now) {
            self.listing.record_request(now);
            actions.push(Action::ListServers);
        }
        let server = self.promotable(now).filter(|_| self.retry_after.is_none_or(|at| now >= at));
        if let Some(server) = server {
            self.target_received = self.received(&server);
            self.target = Some(server.clone());
            actions.push(self.next_attempt(server, now));
        }
        actions
    }
}
