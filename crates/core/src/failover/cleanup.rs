//! Cleanup of fences that have outlived their failover.
//!
//! A fence outlives its failover if the failover is abandoned, if its coordinator is killed, or if
//! the request arrives after the promotion at a replica that has not heard of it. A fenced replica
//! confirms no commits; if all replicas are fenced, the group acknowledges none. So the coordinator
//! asks the replicas for fences after each failover, when it takes the role, and while writes are
//! not confirmed. It tells replicas that report a fence to receive again.
//!
//! No fence is lifted while something may need it ([`FenceUse`]). A cleanup ends when every replica
//! has reported twice that it is not fenced, and no request to fence one may still arrive.

use std::time::Duration;

use indexmap::IndexMap;

use super::{ReplicationStatus, announcement::FAILOVER_SPAN};
use crate::{id::ServerId, position::Term, time::Time};

/// Time within which a request to lift a fence is answered or given up. No failover begins
/// meanwhile.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a confirmed write after which the replicas are asked for fences.
pub const UNCONFIRMED_CLEANUP: Duration = Duration::from_millis(200);

/// Time between two requests to a replica at the start.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two requests to a replica later.
const LATER_INTERVAL: Duration = Duration::from_secs(1);

/// Number of requests to a replica after which the later interval applies.
const FIRST_REQUESTS: u32 = 10;

/// Reports without a fence after which a replica needs no further request.
const CLEAN_REPORTS: u32 = 2;

/// What may still need the fences of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FenceUse {
    /// Whether a failover runs.
    pub running: bool,
    /// Whether an order to promote a server may still be carried out.
    pub ordered: bool,
    /// Whether another VM may become the coordinator within [`RELEASE_TIMEOUT`], and begin a
    /// failover that a late release would harm.
    pub role_expiring: bool,
}

impl FenceUse {
    /// Returns whether nothing needs the fences.
    pub fn is_unused(&self) -> bool {
        !self.running && !self.ordered && !self.role_expiring
    }
}

/// A request that the coordinator sends to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CleanupAction {
    /// Ask a replica for its replication status.
    Poll(ServerId),
    /// Lift the fence of a replica, so that it receives again.
    Release(ServerId),
}

/// A request to a replica whose answer is not known yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Request {
    Poll,
    Release,
}

/// What is known of the fence of one replica.
#[derive(Clone, Debug, Default)]
struct Inspection {
    /// The request whose answer is awaited.
    open: Option<Request>,
    /// The last request, and when it was sent.
    last: Option<(Request, Time)>,
    /// Number of requests.
    requests: u32,
    /// Number of reports without a fence since the last one with a fence or failed request.
    clean: u32,
    /// Term of its fence, if its last report had one.
    fence: Option<Term>,
}

impl Inspection {
    fn is_due(&self, now: Time) -> bool {
        let interval = if self.requests < FIRST_REQUESTS { FIRST_INTERVAL } else { LATER_INTERVAL };
        let is_due = match self.last {
            // What it has just reported is acted on at once.
            Some((Request::Poll, _)) if self.fence.is_some() => true,
            Some((_, sent)) => now.since(sent) >= interval,
            None => true,
        };
        self.open.is_none() && is_due
    }

    fn is_clean(&self) -> bool {
        self.clean >= CLEAN_REPORTS
    }

    /// Returns the next request.
    fn next_request(&mut self, now: Time) -> Request {
        let request = if self.fence.is_some() { Request::Release } else { Request::Poll };
        self.last = Some((request, now));
        self.open = Some(request);
        self.requests += 1;
        request
    }
}

/// Cleanup of the fences of one group.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{
///     ServerId, Term, Time,
///     failover::{CleanupAction, FenceCleanup, FenceUse, ReplicationStatus},
/// };
///
/// let server: ServerId = "i-7f3a91c2".parse().unwrap();
/// let now = Time::from_millis(500);
/// let (mut cleanup, none) = (FenceCleanup::new(), FenceUse::default());
/// assert_eq!(cleanup.next_actions([&server], none, now), []);
/// cleanup.start(now);
/// assert_eq!(cleanup.next_actions([&server], none, now), [CleanupAction::Poll(server.clone())]);
/// let fenced = ReplicationStatus { fenced_term: Term::new(4), ..ReplicationStatus::default() };
/// cleanup.record_status(&server, fenced);
/// assert_eq!(cleanup.next_actions([&server], none, now), [CleanupAction::Release(server)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FenceCleanup {
    /// When it began, if it is not finished.
    started: Option<Time>,
    /// When the last one ended.
    ended: Option<Time>,
    /// When the last request to fence a replica was given up. It may still arrive.
    unanswered: Option<Time>,
    replicas: IndexMap<ServerId, Inspection>,
}

impl FenceCleanup {
    /// Creates a cleanup with nothing to do.
    pub fn new() -> Self {
        FenceCleanup::default()
    }

    /// Begins to ask all replicas, also those that have reported no fence before.
    pub fn start(&mut self, now: Time) {
        self.started = Some(now);
        for replica in self.replicas.values_mut() {
            *replica = Inspection { open: replica.open, ..Inspection::default() };
        }
    }

    /// Begins to ask all replicas because writes are not confirmed, unless a cleanup runs or has
    /// just ended.
    pub fn start_unconfirmed(&mut self, now: Time) {
        let is_recent = self.ended.is_some_and(|ended| now.since(ended) < LATER_INTERVAL);
        if self.started.is_none() && !is_recent {
            self.start(now);
        }
    }

    /// Records that a request to fence a replica was not answered.
    pub fn record_unanswered_fence(&mut self, now: Time) {
        self.unanswered = Some(now);
        if self.started.is_none() {
            self.start(now);
        }
    }

    /// Records the status that a replica reported.
    pub fn record_status(&mut self, server: &ServerId, status: ReplicationStatus) {
        let Some(replica) = self.replicas.get_mut(server) else { return };
        replica.fence = (status.fenced_term > Term::default()).then_some(status.fenced_term);
        replica.open = None;
        replica.clean = if replica.fence.is_some() { 0 } else { replica.clean + 1 };
    }

    /// Records that a request to a replica was not answered. Whether it is fenced is not known.
    pub fn record_failure(&mut self, server: &ServerId) {
        if let Some(replica) = self.replicas.get_mut(server) {
            replica.open = None;
            replica.fence = None;
            replica.clean = 0;
        }
    }

    /// Returns the term of the fence that a replica has reported last.
    pub fn fence(&self, server: &ServerId) -> Option<Term> {
        self.replicas.get(server)?.fence
    }

    /// Returns whether a request to lift a fence may still reach a replica. No failover may begin
    /// meanwhile, because its own fence would be lifted.
    pub fn is_releasing(&self) -> bool {
        self.replicas.values().any(|replica| replica.open == Some(Request::Release))
    }

    /// Returns the requests to send to `replicas`, the servers of the group other than its
    /// primary: none while something may need the fences.
    pub fn next_actions<'a>(
        &mut self,
        replicas: impl IntoIterator<Item = &'a ServerId>,
        needed: FenceUse,
        now: Time,
    ) -> Vec<CleanupAction> {
        if self.started.is_none() || !needed.is_unused() {
            return Vec::new();
        }
        let may_arrive = self.unanswered.is_some_and(|at| now.since(at) < FAILOVER_SPAN);
        let mut actions = Vec::new();
        let mut all_clean = true;
        for server in replicas {
            let replica = self.replicas.entry(server.clone()).or_default();
            all_clean &= replica.is_clean();
            if (!replica.is_clean() || may_arrive) && replica.is_due(now) {
                actions.push(match replica.next_request(now) {
                    Request::Poll => CleanupAction::Poll(server.clone()),
                    Request::Release => CleanupAction::Release(server.clone()),
                });
            }
        }
        if all_clean && !may_arrive {
            self.finish(now);
        }
        actions
    }

    fn finish(&mut self, now: Time) {
        let releasing = |replica: &Inspection| replica.open == Some(Request::Release);
        self.replicas.retain(|_, replica| releasing(replica));
        (self.started, self.ended, self.unanswered) = (None, Some(now), None);
    }
}
