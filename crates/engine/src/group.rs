//! State of one database group as this VM knows it.
//!
//! The state combines the servers' entries in the directory, the answers of the
//! servers, and what other VMs report. The newest term decides who is primary.

use std::time::Duration;

use chicoryhollow_core::{
    DataCentreId, GroupId, GroupView, Position, ServerId, Term, Time,
    durability::{RegisteredReplica, missing_commits},
    failover::{Announcement, Member, MissingServers, ServerTimes},
    freshness::ObservedPositions,
    gossip::GroupSummary,
    isolation::PrimaryReachability,
    route::{Candidate, Choice, Estimates},
};
use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use crate::catalog::ServerEntry;

/// Time after a server denied being the primary for which its directory entry alone
/// does not make it the primary.
const DENIAL_PERIOD: Duration = Duration::from_millis(1_000);

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

/// Lets only one task at a time do work whose result all tasks share.
#[derive(Debug, Default)]
pub(crate) struct SingleFlight {
    running: bool,
}

impl SingleFlight {
    /// Starts the work and returns true, unless another task is running it.
    pub(crate) fn try_start(&mut self) -> bool {
        !std::mem::replace(&mut self.running, true)
    }

    /// Ends the work, after which any task may start it again.
    pub(crate) fn end(&mut self) {
        self.running = false;
    }
}

/// Known state of one group.
pub(crate) struct Group {
    /// Newest known primary and term.
    pub(crate) view: GroupView,
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
    /// Newest commits of which this VM has told callers, in the newest term and before it.
    told: Position,
    told_earlier: Position,
    /// Where the log of the newest promoted primary began, in its term.
    start: Position,
    /// Newest term whose log was reported to lack acknowledged commits.
    reported_term: Term,
    /// When a server other than the primary last answered a status request of a statement.
    pub(crate) replica_answered: Option<Time>,
    /// Until when each started server is too slow for reads.
    cold_until: IndexMap<ServerId, Time>,
    /// What the replicas reported to the last poll for the copies of commits.
    pub(crate) replicas: IndexMap<ServerId, RegisteredReplica>,
    /// Whether the replicas are being polled for that.
    pub(crate) replica_poll: SingleFlight,
    /// Since when each server has been known to be registered.
    registered_since: IndexMap<ServerId, Time>,
    /// Newest failover that may run.
    failover: Option<Announcement>,
    /// Newest term in which another VM knows a primary to lead.
    heard_term: Term,
    /// When the newest question about this group was sent that a VM of each data centre has
    /// answered.
    contacts: IndexMap<DataCentreId, Time>,
    pub(crate) missing_servers: MissingServers,
}

impl Group {
    /// Creates the state of a group of which nothing is known yet. Its servers keep `times`, if
    /// those are known.
    pub(crate) fn new(name: GroupId, times: Option<ServerTimes>, now: Time) -> Self {
        Group {
            view: GroupView::new(name),
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
            told: Position::default(),
            told_earlier: Position::default(),
            start: Position::default(),
            reported_term: Term::default(),
            replica_answered: None,
            cold_until: IndexMap::new(),
            replicas: IndexMap::new(),
            replica_poll: SingleFlight::default(),
            registered_since: IndexMap::new(),
            failover: None,
            heard_term: Term::default(),
            contacts: IndexMap::new(),
            missing_servers: MissingServers::new().with_times(times),
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
        self.record_registrations(&servers, now);
        self.servers = servers;
        let current = self.view.primary.as_ref().and_then(|primary| self.servers.get(primary));
        match current {
            Some(entry) if entry.primary => false,
            // Entries lag behind: while none claims to be primary, the entry of the
            // known primary proves nothing.
            Some(_) if !self.servers.values().any(|entry| entry.primary) => false,
            _ => self.follow_entries(now),
        }
    }

    /// Records since when servers are registered. One that has started again holds nothing of
    /// before, and counts as new.
    fn record_registrations(&mut self, servers: &IndexMap<ServerId, ServerEntry>, now: Time) {
        let since = |entry: &ServerEntry| {
            let is_same = self.servers.get(&entry.server).is_some_and(|old| old.born == entry.born);
            let known = self.registered_since.get(&entry.server).filter(|_| is_same);
            known.copied().unwrap_or(now)
        };
        let since = servers.values().map(|entry| (entry.server.clone(), since(entry))).collect();
        self.registered_since = since;
        // What a server reported before it left or started again counts no more.
        let known =
            |server: &ServerId| self.registered_since.get(server).is_some_and(|at| *at < now);
        self.replicas.retain(|server, _| known(server));
    }

    /// Replaces the set of evacuated data centres.
    pub(crate) fn set_evacuated(&mut self, evacuated: IndexSet<DataCentreId>) {
        self.evacuated = evacuated;
    }

    /// Makes a server whose entry claims the role the primary, unless the server
    /// denied it recently; returns whether the primary changed.
    pub(crate) fn follow_entries(&mut self, now: Time) -> bool {
        let denied = |server: &ServerId| {
            self.denials.get(server).is_some_and(|time| now.since(*time) < DENIAL_PERIOD)
        };
        let claims = |entry: &&ServerEntry| entry.primary && !denied(&entry.server);
        let found = self.servers.values().find(claims).map(|entry| entry.server.clone());
        if found.is_none() || found == self.view.primary {
            return false;
        }
        self.view.primary = found;
        self.failing_since = None;
        self.unconfirmed_since = None;
        true
    }

    /// Records that `server` answered as the primary with `position`, to a request
    /// sent at `asked`; returns whether the primary or its term changed.
    pub(crate) fn record_primary(
        &mut self,
        server: &ServerId,
        position: Position,
        asked: Time,
        now: Time,
    ) -> bool {
        if position.term() < self.view.term {
            return false;
        }
        let changed = self.adopt(server, position.term());
        self.observed.add(asked, position);
        self.estimates.record_position(position, now);
        self.last_response = now;
        self.failing_since = None;
        changed
    }

    /// Records a position of the primary that another VM observed.
    pub(crate) fn record_position(&mut self, position: Position, asked: Time, now: Time) {
        if position.term() >= self.view.term {
            self.observed.add(asked, position);
            self.estimates.record_position(position, now);
        }
    }

    /// Records a failover that may run; returns whether it is news.
    pub(crate) fn record_failover(&mut self, failover: Announcement) -> bool {
        let is_news = failover.is_newer(self.failover.as_ref());
        if is_news {
            self.failover = Some(failover);
        }
        is_news
    }

    /// Returns the newest failover that may run.
    pub(crate) fn failover(&self) -> Option<Announcement> {
        self.failover
    }

    /// Records a term in which another VM knows a primary to lead.
    pub(crate) fn record_term(&mut self, term: Term) {
        self.heard_term = self.heard_term.max(term);
    }

    /// Returns the newest term in which a primary is known to lead.
    pub(crate) fn newest_term(&self) -> Term {
        self.view.term.max(self.heard_term)
    }

    /// Records that a VM of `data_centre` has answered a question that was sent at `asked`.
    pub(crate) fn record_contact(&mut self, data_centre: DataCentreId, asked: Time) {
        let newest = self.contacts.entry(data_centre).or_insert(asked);
        *newest = asked.max(*newest);
    }

    /// Returns when the newest question was sent that a VM of one of the data centres that
    /// `counts` accepts has answered.
    pub(crate) fn contact(&self, counts: impl Fn(&DataCentreId) -> bool) -> Option<Time> {
        self.contacts.iter().filter(|(other, _)| counts(other)).map(|(_, asked)| *asked).max()
    }

    /// Records where the log of a promoted primary began, in its term.
    pub(crate) fn record_start(&mut self, start: Position) {
        self.start = self.start.max(start);
    }

    /// Returns where the log of the newest promoted primary began, in its term.
    pub(crate) fn start(&self) -> Position {
        self.start
    }

    /// Returns how many acknowledged commits the newest promoted primary lacked, once for each
    /// term in which it lacked some.
    pub(crate) fn take_missing_commits(&mut self) -> Option<u64> {
        let missing = self.last_before_start().map(|last| missing_commits(last, self.start))?;
        if missing == 0 || self.start.term() <= self.reported_term {
            return None;
        }
        self.reported_term = self.start.term();
        Some(missing)
    }

    /// Returns the newest commit of which this VM has told callers, of the terms before the
    /// newest promotion.
    pub(crate) fn last_before_start(&self) -> Option<Position> {
        let known = [self.told, self.told_earlier];
        known.into_iter().find(|position| position.term() < self.start.term())
    }

    /// Records a position with a commit of which callers are told, or may be.
    pub(crate) fn record_acknowledged(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
    }

    /// Records that `server` is the primary at `term`; returns whether the primary
    /// or its term changed.
    pub(crate) fn adopt(&mut self, server: &ServerId, term: Term) -> bool {
        let same = self.view.primary.as_ref() == Some(server);
        if term < self.view.term || (term == self.view.term && same) {
            return false;
        }
        self.view.term = term;
        self.view.primary = Some(server.clone());
        self.denials.shift_remove(server);
        self.failing_since = None;
        self.unconfirmed_since = None;
        self.estimates.apply_view(&self.view);
        true
    }

    /// Records that `server` denied being the primary.
    pub(crate) fn record_denial(&mut self, server: &ServerId, now: Time) {
        self.denials.insert(server.clone(), now);
        if self.view.primary.as_ref() == Some(server) {
            self.view.primary = None;
            self.follow_entries(now);
        }
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
        if position.term() > self.told.term() {
            self.told_earlier = self.told;
        }
        self.told = self.told.max(position);
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
        // Without a known primary, a term means nothing to others.
        let known = self.view.primary.is_some();
        let knowledge = GroupSummary {
            term: if known { self.view.term } else { Term::default() },
            failing: self.failing_since(),
            acknowledged: self.acknowledged,
            asked: self.observed.latest().map(|latest| latest.asked),
            start: self.start,
            failover: self.failover,
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

    /// Records what a replica reported, or that it did not answer.
    pub(crate) fn record_replica(&mut self, server: ServerId, report: Option<RegisteredReplica>) {
        match report {
            Some(report) => drop(self.replicas.insert(server, report)),
            None => drop(self.replicas.shift_remove(&server)),
        }
    }

    /// Returns the registered servers other than `primary`, and since when they are registered.
    pub(crate) fn registered_replicas(&self, primary: &ServerId) -> Vec<(ServerEntry, Time)> {
        let since = |entry: &ServerEntry| self.registered_since.get(&entry.server).copied();
        let others = self.others(primary).into_iter();
        others.filter_map(|entry| since(&entry).map(|since| (entry, since))).collect()
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
