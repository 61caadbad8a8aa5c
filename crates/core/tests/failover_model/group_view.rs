//! What one VM knows of the group.

use chicoryhollow_core::{
    GroupId, Position, ServerId, Term,
    coordinator::Roster,
    durability::{ReplicaAnswer, ReplicaAnswers},
    failover::{
        Announcement, Member, MissingServer, MissingServers, RegisteredServer, ReplicationStatus,
        ServerTimes,
    },
};
use std::time::Duration;

use super::{
    SERVERS, TICK_MS,
    directory::{DRAIN, Entries, Entry, HEARTBEAT},
    name, time,
};

/// Returns the identity of a server.
pub(crate) fn id(server: usize) -> ServerId {
    name(server).parse().expect("a valid name")
}

/// Returns the identity of the group.
pub(crate) fn group() -> GroupId {
    "g".parse().expect("a valid name")
}

/// Returns a span of ticks.
pub(crate) fn span(ticks: u32) -> Duration {
    Duration::from_millis(u64::from(ticks * TICK_MS))
}

/// State of the group as one VM knows it.
#[derive(Clone, Debug)]
pub(crate) struct GroupView {
    pub(crate) entries: Entries,
    /// Since when each entry has been known.
    pub(crate) known_since: [u32; SERVERS],
    /// When the directory was last read.
    pub(crate) read: u32,
    pub(crate) primary: Option<usize>,
    pub(crate) term: u64,
    pub(crate) acknowledged: Position,
    /// Where the log of the newest promoted primary began.
    pub(crate) start: Position,
    pub(crate) observed: Position,
    pub(crate) last_response: u32,
    pub(crate) failing_since: Option<u32>,
    pub(crate) unconfirmed_since: Option<u32>,
    pub(crate) missing: MissingServers,
    /// Newest failover that may run.
    pub(crate) failover: Option<Announcement>,
    /// Newest term in which another VM knows a primary to lead.
    pub(crate) heard_term: u64,
    /// When the newest question about a commit was sent that another VM has answered.
    pub(crate) contact: Option<u32>,
    /// What each server has answered about its status.
    pub(crate) replies: [ReplicaAnswers; SERVERS],
}

impl GroupView {
    pub(crate) fn new(tick: u32) -> Self {
        let times = ServerTimes { heartbeat: span(HEARTBEAT), drain: span(DRAIN) };
        GroupView {
            entries: Entries::default(),
            known_since: [tick; SERVERS],
            read: tick,
            primary: None,
            term: 0,
            acknowledged: Position::default(),
            start: Position::default(),
            observed: Position::default(),
            last_response: tick,
            failing_since: None,
            unconfirmed_since: None,
            missing: MissingServers::new().with_times(Some(times)),
            failover: None,
            heard_term: 0,
            contact: None,
            replies: [ReplicaAnswers::default(); SERVERS],
        }
    }

    /// Returns the newest term in which a primary is known to lead.
    pub(crate) fn newest_term(&self) -> Term {
        Term::new(self.term.max(self.heard_term))
    }

    /// Records a failover of which the VM hears, unless it knows a newer one.
    pub(crate) fn record_failover(&mut self, failover: Option<Announcement>) {
        let is_news = |heard: &Announcement| heard.is_newer(self.failover.as_ref());
        if let Some(heard) = failover.filter(is_news) {
            self.failover = Some(heard);
        }
    }

    /// Records the entries that were read from the directory.
    pub(crate) fn record_entries(&mut self, entries: &Entries, tick: u32) {
        let ids: Vec<ServerId> = (0..SERVERS).map(id).collect();
        let before = registered(&self.entries, &ids);
        let after = registered(entries, &ids);
        let silence = span(tick - self.last_response);
        self.missing.update(before, after, silence, time(tick));
        for (i, entry) in entries.iter().enumerate() {
            let born = |entry: &Option<Entry>| entry.as_ref().map(|entry| entry.born);
            if born(entry) != born(&self.entries[i]) {
                self.known_since[i] = tick;
                self.replies[i] = ReplicaAnswers::default();
            }
        }
        self.entries = entries.clone();
        self.read = tick;
    }

    /// Records the answer of a server to a question for its status that was sent at `asked`, or
    /// that none came in time.
    pub(crate) fn record_reply(
        &mut self,
        server: usize,
        asked: u32,
        status: Option<ReplicationStatus>,
    ) {
        match status {
            Some(status) => self.replies[server].record(time(asked), ReplicaAnswer::Status(status)),
            None => self.replies[server].record_silence(),
        }
    }

    /// Returns the registered servers, if any are known.
    pub(crate) fn roster(&self) -> Option<Roster> {
        let ids: Vec<ServerId> = self.others(None).map(id).collect();
        (!ids.is_empty()).then(|| ids.iter().collect())
    }

    /// Adds servers that an earlier coordinator knew to be missing.
    pub(crate) fn recall(&mut self, missing: Vec<MissingServer>) {
        let ids: Vec<ServerId> = (0..SERVERS).map(id).collect();
        self.missing.recall(missing, registered(&self.entries, &ids));
    }

    /// Returns the entry of the known primary.
    pub(crate) fn primary_entry(&self) -> Option<(usize, &Entry)> {
        let primary = self.primary?;
        Some((primary, self.entries[primary].as_ref()?))
    }

    /// Returns the registered servers other than `server`.
    pub(crate) fn others(&self, server: Option<usize>) -> impl Iterator<Item = usize> + '_ {
        (0..SERVERS).filter(move |i| Some(*i) != server && self.entries[*i].is_some())
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        let others = self.others(self.primary).filter_map(|i| Some((i, self.entries[i].as_ref()?)));
        others
            .map(|(i, entry)| Member {
                server: id(i),
                preferred: !entry.leaving,
                cold: false,
                born: u64::from(entry.born),
            })
            .collect()
    }

    /// Records an answer of the primary.
    pub(crate) fn record_primary(&mut self, server: usize, position: Position, tick: u32) {
        if position.term().get() < self.term {
            return;
        }
        self.adopt(server, position.term().get());
        self.observed = self.observed.max(position);
        self.last_response = tick;
        self.failing_since = None;
    }

    pub(crate) fn adopt(&mut self, server: usize, term: u64) {
        if term < self.term || (term == self.term && self.primary == Some(server)) {
            return;
        }
        self.term = term;
        self.primary = Some(server);
        self.failing_since = None;
        self.unconfirmed_since = None;
    }

    pub(crate) fn record_denial(&mut self, server: usize) {
        if self.primary == Some(server) {
            self.primary = None;
        }
    }

    pub(crate) fn record_failure(&mut self, server: usize, tick: u32) {
        if self.primary == Some(server) {
            self.failing_since.get_or_insert(tick);
        }
    }

    /// Records that the primary confirmed a commit.
    pub(crate) fn record_commit(&mut self, position: Position) {
        self.acknowledged = self.acknowledged.max(position);
        self.unconfirmed_since = None;
    }

    /// Returns for how many ticks requests have failed or writes have not been confirmed.
    pub(crate) fn failing(&self, tick: u32) -> u32 {
        let since = [self.failing_since, self.unconfirmed_since].into_iter().flatten().min();
        since.map_or(0, |since| tick - since)
    }

    pub(crate) fn awaits_server(&self, tick: u32) -> bool {
        let primary = self.primary.map(id);
        self.missing.is_any_expected(primary.as_ref(), time(tick))
            || self.missing.are_returning(time(tick))
    }
}

fn registered<'a>(entries: &Entries, ids: &'a [ServerId]) -> Vec<RegisteredServer<'a>> {
    let present = entries.iter().enumerate().filter_map(|(i, entry)| Some((i, entry.as_ref()?)));
    present
        .map(|(i, entry)| RegisteredServer {
            server: &ids[i],
            address: ([127, 0, 0, 1], 5_000 + i as u16).into(),
            leaving: entry.leaving,
        })
        .collect()
}
