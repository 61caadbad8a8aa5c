//! Liveness of the connection between two VMs.
//!
//! In a large fleet a VM has connections to hundreds of others, of which it uses a few at
//! any moment. Heartbeats on all of them would cost far more than the work that they
//! carry. A VM therefore sends heartbeats often on the connections that are in use, and
//! rarely on the others. Each heartbeat requests a reply, so that it does not matter
//! whether both sides consider the connection as in use.
//!
//! Connections that are kept for later use need no heartbeats of their own: their use checks
//! them. A few to each data centre are checked steadily, and show when all of it is silent.
//! A request whose answer comes at once, such as one for tokens, needs heartbeats only
//! until then; work that goes on needs them for as long as the next message may be due.

use std::time::Duration;

use crate::time::Time;

/// Interval of heartbeats on a connection in use.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of heartbeats on any other connection.
const IDLE_INTERVAL: Duration = Duration::from_secs(20);

/// Time since the last work for which a connection counts as in use.
const ACTIVE_SPAN: Duration = Duration::from_secs(2);

/// Time without any message after a heartbeat was sent, until the connection counts as
/// lost. It leaves time for two retransmissions of a lost packet.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time since the last message to the other VM for which a heartbeat needs no reply. It is
/// a little shorter than [`ACTIVE_INTERVAL`], so that two VMs that both send heartbeats
/// need not reply to each other.
const REPLY_SPACING: Duration = Duration::from_millis(450);

/// Time since the last received message after which a connection is checked when it is
/// used.
const UNCHECKED_SPAN: Duration = Duration::from_millis(600);

/// Number of connections to each data centre that carry heartbeats steadily.
const WATCHED_CONNECTIONS: usize = 2;

/// What to do about a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Check {
    /// Nothing is due.
    Nothing,
    /// Send a heartbeat.
    Heartbeat,
    /// The other VM does not reply.
    Lost,
}

/// What a VM uses a connection for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Heartbeats carry what the VMs know of database groups.
    Gossip,
    /// Heartbeats show whether the data centre of the other VM is there.
    Standby,
    /// The connection is checked when it is used.
    OnDemand,
}

/// Why a VM keeps a connection to another VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The other VM is a neighbour.
    Neighbour,
    /// The other VM will be needed again.
    Prepared,
    /// The other VM was needed once.
    Used,
}

/// Returns what to use each of a VM's connections to one data centre for.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::liveness::{Purpose, Reason, purposes};
///
/// let connections = [Reason::Prepared, Reason::Neighbour, Reason::Prepared, Reason::Used];
/// let expected = [Purpose::Standby, Purpose::Gossip, Purpose::OnDemand, Purpose::OnDemand];
/// assert_eq!(purposes(&connections), expected);
/// ```
pub fn purposes(connections: &[Reason]) -> Vec<Purpose> {
    let neighbours = connections.iter().filter(|reason| **reason == Reason::Neighbour).count();
    let mut unwatched = WATCHED_CONNECTIONS.saturating_sub(neighbours);
    let purpose = |reason: &Reason| match reason {
        Reason::Neighbour => Purpose::Gossip,
        Reason::Prepared if unwatched > 0 => {
            unwatched -= 1;
            Purpose::Standby
        }
        Reason::Prepared | Reason::Used => Purpose::OnDemand,
    };
    connections.iter().map(purpose).collect()
}

/// One VM's view of whether a connection to another VM still works.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Time, liveness::{Check, Liveness, Purpose}};
///
/// let mut liveness = Liveness::new(Time::default());
/// let now = Time::from_millis(21_000);
/// assert_eq!(liveness.check(Purpose::OnDemand, now), Check::Heartbeat);
/// liveness.record_heartbeat(now);
/// assert_eq!(liveness.check(Purpose::OnDemand, Time::from_millis(21_900)), Check::Nothing);
/// assert_eq!(liveness.check(Purpose::OnDemand, Time::from_millis(22_100)), Check::Lost);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    received: Time,
    sent: Time,
    heartbeat: Time,
    /// When the connection last carried a request or work.
    used: Time,
    /// When the connection last carried work.
    worked: Option<Time>,
    /// When a request was sent that nothing was received since.
    requested: Option<Time>,
    /// When the oldest heartbeat was sent since the last received message.
    unanswered: Option<Time>,
}

impl Liveness {
    /// Creates the state of a connection that was established at `now`.
    pub fn new(now: Time) -> Self {
        Liveness {
            received: now,
            sent: now,
            heartbeat: now,
            used: now,
            worked: None,
            requested: None,
            unanswered: None,
        }
    }

    /// Records a message of the other VM.
    pub fn record_received(&mut self, now: Time) {
        self.received = now;
        self.requested = None;
        self.unanswered = None;
    }

    /// Records a message to the other VM that requests no heartbeat in reply.
    pub fn record_sent(&mut self, now: Time) {
        self.sent = now;
    }

    /// Records a heartbeat to the other VM that requests a reply.
    pub fn record_heartbeat(&mut self, now: Time) {
        self.sent = now;
        self.heartbeat = now;
        self.unanswered.get_or_insert(now);
    }

    /// Records that the connection carries work, in either direction. Returns whether to
    /// send a heartbeat at once, because nothing has shown for a while that the other VM
    /// is there.
    pub fn record_use(&mut self, now: Time) -> bool {
        self.used = now;
        self.worked = Some(now);
        self.needs_check(now)
    }

    /// Records that the connection carries a request of this VM that is answered at once.
    /// Returns whether to send a heartbeat too, as [`Liveness::record_use`] does.
    pub fn record_request(&mut self, now: Time) -> bool {
        self.used = now;
        self.requested.get_or_insert(now);
        self.needs_check(now)
    }

    /// Records that a request of the other VM was answered.
    pub fn record_answer(&mut self, now: Time) {
        self.used = now;
    }

    /// Returns whether nothing has shown for a while that the other VM is there, and no
    /// heartbeat is under way that would.
    pub fn needs_check(&self, now: Time) -> bool {
        self.unanswered.is_none() && now.since(self.received) >= UNCHECKED_SPAN
    }

    /// Returns whether to reply to a heartbeat that was just received.
    pub fn owes_reply(&self, now: Time) -> bool {
        now.since(self.sent) >= REPLY_SPACING
    }

    /// Returns whether the connection has carried work recently or a request has no answer.
    pub fn is_active(&self, now: Time) -> bool {
        let works = self.worked.is_some_and(|worked| now.since(worked) < ACTIVE_SPAN);
        works || self.requested.is_some()
    }

    /// Returns for how long nothing was received.
    pub fn silence(&self, now: Time) -> Duration {
        now.since(self.received)
    }

    /// Returns when the connection last carried a request or work.
    pub fn used(&self) -> Time {
        self.used
    }

    /// Returns what to do at `now` about a connection with this `purpose`.
    pub fn check(&self, purpose: Purpose, now: Time) -> Check {
        if self.unanswered.is_some_and(|sent| now.since(sent) > REPLY_TIMEOUT) {
            return Check::Lost;
        }
        let active = purpose != Purpose::OnDemand || self.is_active(now);
        let interval = if active { ACTIVE_INTERVAL } else { IDLE_INTERVAL };
        let is_quiet = |last: Time| now.since(last) >= interval;
        // Other messages show the same as a heartbeat, if they pass in both directions.
        let needed = purpose == Purpose::Gossip || is_quiet(self.sent) || is_quiet(self.received);
        match needed && is_quiet(self.heartbeat) {
            true => Check::Heartbeat,
            false => Check::Nothing,
        }
    }
}
