//! What a VM tells its neighbours about database groups, and when.
//!
//! The load that decides this is the calm hour of a large fleet: hundreds of VMs with
//! dozens of groups, of which nothing is new but the positions of their logs. Repeating
//! everything in each heartbeat would cost VMs times groups. A VM instead sends what has
//! changed since it last told the same neighbour. A new primary or a failure is told at
//! once. Positions grow with every commit and are told at a pace that depends on the
//! number of groups, so that their cost for one neighbour is bounded. A VM of a large fleet
//! has many neighbours that tell nearly the same, so a position is told only if it is much
//! newer than the one that the neighbour was told or has told itself.

use std::time::Duration;

use crate::{
    failover::Announcement,
    pace::{ByteRate, Pace},
    position::{Position, Term},
    time::Time,
};

/// Assumed size of what is told about one group, in bytes.
const GROUP_BYTES: u32 = 40;

/// Number of neighbours up to which every newer position is told.
const FEW_NEIGHBOURS: u32 = 6;

/// Time, for each further neighbour, by which a position must be newer than the one that the
/// neighbour has.
const GAIN_PER_NEIGHBOUR: Duration = Duration::from_millis(60);

/// Time after which a newer acknowledged position is told even if there is no such gain.
const ACKNOWLEDGED_SPACING: Duration = Duration::from_millis(1_000);

/// Shortest time between two positions of a group, told within a data centre.
const NEAR_SPACING: Duration = Duration::from_millis(400);

/// Shortest time between two positions of a group, told to another data centre.
const FAR_SPACING: Duration = Duration::from_millis(1_500);

/// Longest time between two positions of a group.
const MAX_SPACING: Duration = Duration::from_secs(30);

/// Budget of positions to one neighbour within a data centre.
const NEAR_BUDGET: ByteRate = ByteRate::new(2_000);

/// Budget of positions to one neighbour in another data centre.
const FAR_BUDGET: ByteRate = ByteRate::new(500);

/// What a VM knows about one group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupSummary {
    /// Term of the known primary.
    pub term: Term,
    /// Since when requests to the primary have failed, if they do.
    pub failing: Option<Time>,
    /// Newest position with an acknowledged commit.
    pub acknowledged: Position,
    /// When the primary was asked for the newest known position of its log.
    pub asked: Option<Time>,
    /// Where the log of the newest promoted primary began, in its term.
    pub start: Position,
    /// Newest failover that may run.
    pub failover: Option<Announcement>,
}

impl GroupSummary {
    /// Returns whether the newest failover is newer than that of `other`.
    fn has_newer_failover(&self, other: &GroupSummary) -> bool {
        self.failover.is_some_and(|failover| failover.is_newer(other.failover.as_ref()))
    }

    /// Returns whether a failover may replace the primary that acknowledged the newest commit.
    pub fn is_replaced(&self, now: Time) -> bool {
        let term = self.acknowledged.term();
        self.failover.is_some_and(|failover| failover.may_replace(term, now))
    }
}

/// What is new to a neighbour about one group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Update {
    /// Nothing that is due.
    None,
    /// Newer positions.
    Positions,
    /// A failure of the primary, or its end; a failover, or commits that it must keep; or where
    /// the log of a new primary began.
    Failure,
    /// Another primary.
    Primary,
}

/// What one neighbour was last told about one group, or has told itself.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{Term, Time, gossip::{GroupSummary, Update, Spacing, LastSent}};
///
/// let spacing = Spacing::new(true, 20);
/// let mut last = LastSent::default();
/// let now = Time::from_millis(1_000);
/// let known = GroupSummary { term: Term::new(3), ..GroupSummary::default() };
/// assert_eq!(last.update(&known, spacing, now), Update::Primary);
/// last.record(known, now);
/// assert_eq!(last.update(&known, spacing, now), Update::None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LastSent {
    last: GroupSummary,
    at: Time,
}

impl LastSent {
    /// Returns what of `known` is new to the neighbour and due at `now`.
    pub fn update(&self, known: &GroupSummary, spacing: Spacing, now: Time) -> Update {
        if known.term > self.last.term {
            return Update::Primary;
        }
        let has_failed = known.failing.is_some() != self.last.failing.is_some();
        if has_failed || known.has_newer_failover(&self.last) || known.start > self.last.start {
            return Update::Failure;
        }
        // The coordinator must not promote a server without these commits.
        if known.acknowledged > self.last.acknowledged && known.is_replaced(now) {
            return Update::Failure;
        }
        match self.has_newer_position(known, spacing, now) {
            true => Update::Positions,
            false => Update::None,
        }
    }

    fn has_newer_position(&self, known: &GroupSummary, spacing: Spacing, now: Time) -> bool {
        let waited = now.since(self.at);
        let gain = known.asked.unwrap_or_default().since(self.last.asked.unwrap_or_default());
        let is_acknowledged = known.acknowledged > self.last.acknowledged;
        let is_newer = is_acknowledged || known.asked > self.last.asked;
        let is_much_newer = is_newer && gain >= spacing.min_gain;
        let is_overdue = is_acknowledged && waited >= ACKNOWLEDGED_SPACING;
        waited >= spacing.interval && (is_much_newer || is_overdue)
    }

    /// Returns whether the neighbour knows where the log of the newest promoted primary began.
    pub fn has_start(&self, known: &GroupSummary) -> bool {
        self.last.start >= known.start
    }

    /// Returns whether the neighbour knows of the newest failover.
    pub fn has_failover(&self, known: &GroupSummary) -> bool {
        !known.has_newer_failover(&self.last)
    }

    /// Records that the neighbour was told `known`.
    pub fn record(&mut self, known: GroupSummary, now: Time) {
        *self = LastSent { last: known, at: now };
    }

    /// Records what the neighbour has told, which it need not be told.
    ///
    /// Whether requests to the primary fail is each VM's own experience, and is told all the
    /// same.
    pub fn record_received(&mut self, told: &GroupSummary) {
        self.last.term = self.last.term.max(told.term);
        self.last.acknowledged = self.last.acknowledged.max(told.acknowledged);
        self.last.asked = self.last.asked.max(told.asked);
        self.last.start = self.last.start.max(told.start);
        if told.has_newer_failover(&self.last) {
            self.last.failover = told.failover;
        }
    }
}

/// How often the positions of one group are told to one neighbour.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spacing {
    /// Minimum time between two positions.
    interval: Duration,
    /// Minimum time by which a position is newer than the one that the neighbour has.
    min_gain: Duration,
}

impl Spacing {
    /// Returns the spacing for a neighbour in the same data centre, if `near`, or in
    /// another one, where the VM knows `groups` groups.
    pub fn new(near: bool, groups: usize) -> Self {
        let (shortest, budget) =
            if near { (NEAR_SPACING, NEAR_BUDGET) } else { (FAR_SPACING, FAR_BUDGET) };
        let pace = Pace::new(shortest, MAX_SPACING).with_cost(GROUP_BYTES, budget);
        Spacing { interval: pace.interval(groups), min_gain: Duration::ZERO }
    }

    /// Returns this spacing for a VM with so many neighbours.
    pub fn with_neighbours(self, neighbours: usize) -> Self {
        let further = u32::try_from(neighbours).unwrap_or(u32::MAX).saturating_sub(FEW_NEIGHBOURS);
        Spacing { min_gain: GAIN_PER_NEIGHBOUR.saturating_mul(further), ..self }
    }

    /// Returns the minimum time between two positions.
    pub fn interval(self) -> Duration {
        self.interval
    }
}
