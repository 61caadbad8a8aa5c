//! What this VM believes of one database group.

use std::time::Duration;

use chicoryhollow_core::{
    DataCentreId, GroupId, GroupView, Position, ServerId, Term, Time,
    failover::{Member, MissingServers},
    freshness::ObservedPositions,
    isolation::PrimaryReachability,
    route::{Candidate, Choice, Estimates},
};
use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use crate::catalog::ServerEntry;

/// Time for which a server that denied to lead is not asked again on the word
/// of its entry alone.
const DENIAL: Duration = Duration::from_millis(1_000);

/// Why this VM changed its mind about the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// A server's own entry in the directory.
    Entry,
    /// An answer of the server.
    Answer,
    /// Another VM.
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

/// Lets one of several tasks do what all of them need.
#[derive(Debug, Default)]
pub(crate) struct Flight {
    running: bool,
}

impl Flight {
    /// Starts, unless another task has; returns whether it did.
    pub(crate) fn start(&mut self) -> bool {
        !std::mem::replace(&mut self.running, true)
    }

    /// Lets another task start.
    pub(crate) fn end(&mut self) {
        self.running = false;
    }
}

/// Beliefs about one group.
pub(crate) struct Group {
    /// Newest known primary and term.
    pub(crate) view: GroupView,
    /// Servers that have registered themselves.
    pub(crate) servers: IndexMap<ServerId, ServerEntry>,
    /// Positions that the primary showed.
    pub(crate) marks: ObservedPositions,
    /// How quick and how far behind servers are.
    pub(crate) estimates: Estimates,
    /// Newest position with an acknowledged commit.
    pub(crate) acknowledged: Position,
    /// Whether a statement asks the primary for a mark.
    pub(crate) seeks: Flight,
    denied: IndexMap<ServerId, Time>,
    /// Since when requests to the primary have failed without a success.
    failing: Option<Time>,
    /// When the first write was sent that the primary has not confirmed, while
    /// it has confirmed none since.
    unconfirmed: Option<Time>,
    heard: Time,
    out: IndexSet<DataCentreId>,
    /// Until when servers are slow after their start.
    cold: IndexMap<ServerId, Time>,
    absentees: MissingServers,
}

impl Group {
    /// Makes beliefs that hold nothing yet.
    pub(crate) fn new(name: GroupId, now: Time) -> Self {
        Group {
            view: GroupView::new(name),
            servers: IndexMap::new(),
            marks: ObservedPositions::new(),
            estimates: Estimates::new(),
            acknowledged: Position::default(),
            seeks: Flight::default(),
            denied: IndexMap::new(),
            failing: None,
            unconfirmed: None,
            heard: now,
            out: IndexSet::new(),
            cold: IndexMap::new(),
            absentees: MissingServers::new(),
        }
    }

    /// Takes over the registered servers; returns whether the primary changed.
    pub(crate) fn set_servers(
        &mut self,
        servers: IndexMap<ServerId, ServerEntry>,
        now: Time,
    ) -> bool {
        let warming = servers.values().filter(|entry| !entry.cold.is_zero());
        self.cold = warming.map(|entry| (entry.server.clone(), now + entry.cold)).collect();
        let before = self.servers.values().map(ServerEntry::registered);
        self.absentees.update(before, servers.values().map(ServerEntry::registered), now);
        self.servers = servers;
        let kept = self.view.primary.as_ref().and_then(|primary| self.servers.get(primary));
        match kept {
            Some(entry) if entry.primary => false,
            // An entry lags behind; one that never said otherwise proves nothing.
            Some(_) if !self.servers.values().any(|entry| entry.primary) => false,
            _ => self.follow_entries(now),
        }
    }

    /// Takes over which data centres are taken out.
    pub(crate) fn set_out(&mut self, out: IndexSet<DataCentreId>) {
        self.out = out;
    }

    /// Looks for a primary among the entries; returns whether it changed.
    pub(crate) fn follow_entries(&mut self, now: Time) -> bool {
        let denied = |server: &ServerId| {
            self.denied.get(server).is_some_and(|time| now.since(*time) < DENIAL)
        };
        let claims = |entry: &&ServerEntry| entry.primary && !denied(&entry.server);
        let found = self.servers.values().find(claims).map(|entry| entry.server.clone());
        if found.is_none() || found == self.view.primary {
            return false;
        }
        self.view.primary = found;
        self.failing = None;
        self.unconfirmed = None;
        true
    }

    /// Records that `server` showed to lead at `position`, asked at `asked`;
    /// returns whether this is news.
    pub(crate) fn leads(
        &mut self,
        server: &ServerId,
        position: Position,
        asked: Time,
        now: Time,
    ) -> bool {
        if position.term() < self.view.term {
            return false;
        }
        let news = self.adopt(server, position.term());
        self.marks.add(asked, position);
        self.estimates.record_position(position, now);
        self.heard = now;
        self.failing = None;
        news
    }

    /// Records a mark that another VM saw.
    pub(crate) fn hear_mark(&mut self, position: Position, asked: Time, now: Time) {
        if position.term() >= self.view.term {
            self.marks.add(asked, position);
            self.estimates.record_position(position, now);
        }
    }

    /// Records that `server` leads at `term`; returns whether this is news.
    pub(crate) fn adopt(&mut self, server: &ServerId, term: Term) -> bool {
        let same = self.view.primary.as_ref() == Some(server);
        if term < self.view.term || (term == self.view.term && same) {
            return false;
        }
        self.view.term = term;
        self.view.primary = Some(server.clone());
        self.denied.shift_remove(server);
        self.failing = None;
        self.unconfirmed = None;
        self.estimates.apply_view(&self.view);
        true
    }

    /// Records that `server` denied to lead.
    pub(crate) fn denies(&mut self, server: &ServerId, now: Time) {
        self.denied.insert(server.clone(), now);
        if self.view.primary.as_ref() == Some(server) {
            self.view.primary = None;
            self.follow_entries(now);
        }
    }

    /// Records that a request to the primary failed.
    pub(crate) fn missed_primary(&mut self, server: &ServerId, now: Time) {
        if self.view.primary.as_ref() == Some(server) {
            self.failing.get_or_insert(now);
        }
    }

    /// Records that the primary did not confirm a write that was sent at `sent`.
    ///
    /// A primary without its replicas still answers, but confirms nothing.
    pub(crate) fn missed_commit(&mut self, server: &ServerId, sent: Time) {
        if self.view.primary.as_ref() == Some(server) {
            self.unconfirmed.get_or_insert(sent);
        }
    }

    /// Records that the primary confirmed a commit.
    pub(crate) fn confirmed(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
        self.unconfirmed = None;
    }

    /// Returns for how long requests to the primary have failed, or writes were
    /// not confirmed.
    pub(crate) fn failing(&self, now: Time) -> Duration {
        let since = [self.failing, self.unconfirmed].into_iter().flatten().min();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns for how long writes were not confirmed.
    pub(crate) fn unconfirmed(&self, now: Time) -> Duration {
        self.unconfirmed.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns when the primary last showed that it leads.
    pub(crate) fn heard(&self) -> Time {
        self.heard
    }

    /// Returns what a VM in `data_centre` sees of the primary.
    pub(crate) fn sight(&self, data_centre: &DataCentreId, now: Time) -> PrimaryReachability {
        let entry = self.view.primary.as_ref().and_then(|primary| self.servers.get(primary));
        PrimaryReachability {
            known: entry.is_some(),
            near: entry.is_some_and(|entry| entry.data_centre == *data_centre),
            failing: !self.failing(now).is_zero(),
            silence: now.since(self.heard),
        }
    }

    /// Returns the primary that may be used.
    pub(crate) fn primary(&self) -> Option<&ServerEntry> {
        let entry = self.servers.get(self.view.primary.as_ref()?)?;
        self.serves(entry).then_some(entry)
    }

    /// Tells whether a server takes new work.
    pub(crate) fn serves(&self, entry: &ServerEntry) -> bool {
        !entry.leaving && !self.out.contains(&entry.data_centre)
    }

    /// Tells whether a server that may hold an acknowledged commit is expected back.
    pub(crate) fn awaits_server(&self, now: Time) -> bool {
        self.absentees.is_any_expected(self.view.primary.as_ref(), now)
    }

    /// Tells whether a server has been up long enough to run at full speed.
    fn is_warm(&self, entry: &ServerEntry, now: Time) -> bool {
        self.cold.get(&entry.server).is_none_or(|until| now >= *until)
    }

    /// Returns the servers but the primary, for a succession.
    pub(crate) fn members(&self) -> Vec<Member> {
        let others =
            self.servers.values().filter(|entry| Some(&entry.server) != self.view.primary.as_ref());
        others
            .map(|entry| Member { server: entry.server.clone(), preferred: self.serves(entry) })
            .collect()
    }

    /// Returns the servers to try for a read, best first; cold ones only when
    /// there is no other.
    pub(crate) fn choose(
        &self,
        home: &DataCentreId,
        is_dark: impl Fn(&DataCentreId) -> bool,
        needed: Option<Position>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Choice> {
        let serving = || self.servers.values().filter(|entry| self.serves(entry));
        let any_warm = serving().any(|entry| self.is_warm(entry, now));
        let candidates: Vec<Candidate> = serving()
            .filter(|entry| !any_warm || self.is_warm(entry, now))
            .map(|entry| Candidate {
                server: entry.server.clone(),
                near: entry.data_centre == *home,
                unreachable: is_dark(&entry.data_centre),
            })
            .collect();
        self.estimates.choose(&self.view, &candidates, needed, now, rng)
    }
}
