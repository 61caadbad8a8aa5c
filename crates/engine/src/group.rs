//! State of one database group as this VM knows it.
//!
//! The state combines the servers' entries in the directory, the answers of the
//! servers, and what other VMs report. The newest term decides who is primary.

mod placing;
mod primary;
mod record;
mod replicas;
mod reports;

use std::time::Duration;

use chicoryhollow_core::{
    DataCentreId, GroupId, GroupView, Position, ServerId, Term, Time,
    durability::ToldCommits,
    failover::{Member, MissingServers, ServerTimes},
    freshness::ObservedPositions,
    gossip::GroupSummary,
    isolation::PrimaryReachability,
    load::{Loads, Meter},
    outlier::Outliers,
    placement::Affinity,
    route::{Candidate, Choice, Estimates},
    spill::Spill,
};
use indexmap::{IndexMap, IndexSet};
use rand::Rng;

pub(crate) use self::{
    placing::{Placed, Read},
    replicas::{KnownReplica, PeerQuestion, Requester},
};
use self::{replicas::Replicas, reports::PeerReports};
use crate::{catalog::ServerEntry, single_flight::SingleFlight};

/// Source of a change of the known primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// The server's entry in the directory.
    Entry,
    /// An answer of the server.
    Answer,
    /// A heartbeat of another VM.
    Peer,
}

impl Source {
    /// Returns the label in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Source::Entry => "entry",
            Source::Answer => "answer",
            Source::Peer => "peer",
        }
    }
}

/// Known state of one group.
pub(crate) struct Group {
    /// Newest known primary and term. The primary may be known by its entry only.
    pub(crate) view: GroupView,
    /// Server that led the newest known term by an answer, of it or to another VM.
    leader: Option<ServerId>,
    /// Registered servers.
    pub(crate) servers: IndexMap<ServerId, ServerEntry>,
    /// Positions of the primary's log, with the times of the requests.
    pub(crate) observed: ObservedPositions,
    /// Estimated latency and replication lag of each server.
    pub(crate) estimates: Estimates,
    /// Newest position with an acknowledged commit.
    pub(crate) acknowledged: Position,
    /// Whether a statement is asking the primary for its position.
    pub(crate) position_query: SingleFlight,
    /// When each server last denied being the primary.
    denials: IndexMap<ServerId, Time>,
    /// Since when all requests to the primary have failed.
    failing_since: Option<Time>,
    /// When the first unconfirmed write was sent; cleared by any confirmed write.
    unconfirmed_since: Option<Time>,
    /// When a server last answered as the primary.
    last_response: Time,
    /// Data centres that the operators have taken out of use.
    evacuated: IndexSet<DataCentreId>,
    /// Commits of which this VM has told callers.
    pub(crate) told: ToldCommits,
    /// When a server other than the primary last answered a status request of a statement.
    pub(crate) replica_answered: Option<Time>,
    /// Until when each started server is too slow for reads.
    cold_until: IndexMap<ServerId, Time>,
    /// Copies of commits.
    pub(crate) replicas: Replicas,
    /// What other VMs have told about failovers.
    pub(crate) peers: PeerReports,
    pub(crate) missing_servers: MissingServers,
    /// Reported load of the servers.
    pub(crate) loads: Loads,
    /// What this VM has measured as a home, by server.
    meters: IndexMap<ServerId, Meter>,
    /// Shares of the reads that stay on the servers which accounts prefer.
    affinity: Affinity,
    /// Shares of the reads that leave the data centre.
    pub(crate) spill: Spill,
    /// Replicas that get no reads for a while.
    outliers: Outliers,
}

impl Group {
    /// Creates the state of a group of which nothing is known yet. Its servers keep `times`, if
    /// those are known.
    pub(crate) fn new(name: GroupId, times: Option<ServerTimes>, now: Time) -> Self {
        Group {
            view: GroupView::new(name),
            leader: None,
            servers: IndexMap::new(),
            observed: ObservedPositions::new(),
            estimates: Estimates::new(),
            acknowledged: Position::default(),
            position_query: SingleFlight::default(),
            denials: IndexMap::new(),
            failing_since: None,
            unconfirmed_since: None,
            last_response: now,
            evacuated: IndexSet::new(),
            told: ToldCommits::default(),
            replica_answered: None,
            cold_until: IndexMap::new(),
            replicas: Replicas::default(),
            peers: PeerReports::default(),
            missing_servers: MissingServers::new().with_times(times),
            loads: Loads::new(),
            meters: IndexMap::new(),
            affinity: Affinity::new(),
            spill: Spill::new(),
            outliers: Outliers::new(),
        }
    }

    /// Replaces the registered servers; returns whether the primary changed.
    pub(crate) fn set_servers(
        &mut self,
        servers: IndexMap<ServerId, ServerEntry>,
        now: Time,
    ) -> bool {
        let warming = servers.values().filter(|entry| !entry.cold.is_zero());
        self.cold_until = warming.map(|entry| (entry.server.clone(), now + entry.cold)).collect();
        let before = self.servers.values().map(ServerEntry::registered);
        let after = servers.values().map(ServerEntry::registered);
        let silence = now.since(self.last_response);
        self.missing_servers.update(before, after, silence, now);
        self.replicas.update(&self.servers, &servers, now);
        self.servers = servers;
        self.loads.retain(|server| self.servers.contains_key(server));
        self.meters.retain(|server, _| self.servers.contains_key(server));
        let current = self.view.primary.as_ref().and_then(|primary| self.servers.get(primary));
        match current {
            Some(entry) if entry.primary => false,
            // Entries lag behind: while none claims to be primary, the entry of the
            // known primary proves nothing.
            Some(_) if !self.servers.values().any(|entry| entry.primary) => false,
            _ => self.follow_entries(now),
        }
    }

    /// Replaces the set of evacuated data centres.
    pub(crate) fn set_evacuated(&mut self, evacuated: IndexSet<DataCentreId>) {
        self.evacuated = evacuated;
    }

    /// Records a position of the primary that another VM observed.
    pub(crate) fn record_position(&mut self, position: Position, asked: Time, now: Time) {
        if position.term() >= self.view.term {
            self.observed.add(asked, position);
            self.estimates.record_position(position, now);
        }
    }

    /// Returns the newest term in which a primary is known to lead.
    pub(crate) fn newest_term(&self) -> Term {
        self.view.term.max(self.peers.term())
    }

    /// Records a position with a commit of which callers are told, or may be.
    pub(crate) fn record_acknowledged(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
    }

    /// Records that a request to `server` failed, if it is the known primary.
    pub(crate) fn record_primary_failure(&mut self, server: &ServerId, now: Time) {
        if self.view.primary.as_ref() == Some(server) {
            self.failing_since.get_or_insert(now);
        }
    }

    /// Records that the primary did not confirm a write that was sent at `sent`.
    ///
    /// A primary that lost its replicas still answers but confirms no writes.
    pub(crate) fn record_unconfirmed_write(&mut self, server: &ServerId, sent: Time) {
        if self.view.primary.as_ref() == Some(server) {
            self.unconfirmed_since.get_or_insert(sent);
        }
    }

    /// Records that the primary confirmed a commit.
    pub(crate) fn record_confirmation(&mut self) {
        self.unconfirmed_since = None;
    }

    /// Records that callers are told of a commit at `position`.
    pub(crate) fn record_commit(&mut self, position: Position) {
        self.record_acknowledged(position);
        self.told.record(position);
    }

    /// Returns since when requests to the primary have failed or writes have not been
    /// confirmed.
    pub(crate) fn failing_since(&self) -> Option<Time> {
        [self.failing_since, self.unconfirmed_since].into_iter().flatten().min()
    }

    /// Returns for how long requests to the primary have failed or writes have
    /// not been confirmed.
    pub(crate) fn failing(&self, now: Time) -> Duration {
        self.failing_since().map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns what neighbours need to know about the group, by its name.
    pub(crate) fn summary(&self) -> (GroupId, GroupSummary) {
        // Without its leader, a term means nothing to others.
        let known = self.leader().is_some();
        let knowledge = GroupSummary {
            term: if known { self.view.term } else { Term::default() },
            failing: self.failing_since(),
            acknowledged: self.acknowledged,
            asked: self.observed.latest().map(|latest| latest.asked),
            start: self.told.start(),
            failover: self.peers.failover(),
        };
        (self.view.group.clone(), knowledge)
    }

    /// Returns for how long writes have not been confirmed.
    pub(crate) fn unconfirmed(&self, now: Time) -> Duration {
        self.unconfirmed_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns when a server last answered as the primary, or when this state was
    /// created if none has.
    pub(crate) fn last_response(&self) -> Time {
        self.last_response
    }

    /// Returns how well a VM in `data_centre` reaches the primary.
    pub(crate) fn primary_reachability(
        &self,
        data_centre: &DataCentreId,
        now: Time,
    ) -> PrimaryReachability {
        let entry = self.view.primary.as_ref().and_then(|primary| self.servers.get(primary));
        PrimaryReachability {
            known: entry.is_some(),
            near: entry.is_some_and(|entry| entry.data_centre == *data_centre),
            failing: !self.failing(now).is_zero(),
            silence: now.since(self.last_response),
        }
    }

    /// Returns the primary if it accepts new work.
    pub(crate) fn primary(&self) -> Option<&ServerEntry> {
        let entry = self.servers.get(self.view.primary.as_ref()?)?;
        self.accepts_work(entry).then_some(entry)
    }

    /// Returns whether a server accepts new work.
    pub(crate) fn accepts_work(&self, entry: &ServerEntry) -> bool {
        !entry.leaving && !self.evacuated.contains(&entry.data_centre)
    }

    /// Returns whether a server that may hold an acknowledged commit is still expected
    /// to return, or to be registered for the first time.
    pub(crate) fn awaits_server(&self, now: Time) -> bool {
        self.missing_servers.is_any_expected(self.view.primary.as_ref(), now)
            || self.missing_servers.are_returning(now)
    }

    /// Returns the registered servers other than `primary`.
    pub(crate) fn others(&self, primary: &ServerId) -> Vec<ServerEntry> {
        self.servers.values().filter(|entry| entry.server != *primary).cloned().collect()
    }

    /// Returns whether a server has run long enough to serve at full speed.
    fn is_warm(&self, entry: &ServerEntry, now: Time) -> bool {
        self.cold_until.get(&entry.server).is_none_or(|until| now >= *until)
    }

    /// Returns all servers except the primary, as candidates of a failover.
    pub(crate) fn members(&self, now: Time) -> Vec<Member> {
        let others =
            self.servers.values().filter(|entry| Some(&entry.server) != self.view.primary.as_ref());
        others
            .map(|entry| Member {
                server: entry.server.clone(),
                preferred: self.accepts_work(entry),
                cold: !self.is_warm(entry, now),
                born: entry.born,
            })
            .collect()
    }

    /// Returns the servers to try for a read of a VM in the data centre `here`, best
    /// first. Cold servers are included only if all servers that accept work are cold.
    pub(crate) fn choose(
        &self,
        here: &DataCentreId,
        is_unreachable: impl Fn(&DataCentreId) -> bool,
        min_position: Option<Position>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Choice> {
        let serving = || self.servers.values().filter(|entry| self.accepts_work(entry));
        let any_warm = serving().any(|entry| self.is_warm(entry, now));
        let candidates: Vec<Candidate> = serving()
            .filter(|entry| !any_warm || self.is_warm(entry, now))
            .map(|entry| Candidate {
                server: entry.server.clone(),
                near: entry.data_centre == *here,
                unreachable: is_unreachable(&entry.data_centre),
            })
            .collect();
        self.estimates.choose(&self.view, &candidates, min_position, now, rng)
    }
}
