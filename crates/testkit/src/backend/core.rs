//! The state of one server that its lock protects: role, log and database.
//!
//! Its methods are the steps of replication: commit, receive, apply, fence,
//! promote and change members.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use chicoryhollow_core::{prelude::*, view::TermStart};
use indexmap::IndexMap;

use crate::backend::{
    BackendOptions,
    engine::{Engine, OpenWrite},
    error::SqlError,
    log::{Log, Record},
    quiesce::Quiesce,
};

/// Role of a server in the replication of its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    /// Accepts writes and ships them to the replicas.
    Primary,
    /// Follows the primary of its term.
    Replica,
    /// Was fenced, and follows no primary of a term below the fence's.
    Fenced,
}

impl Role {
    /// Returns the name of the role in the answers of control functions.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Role::Primary => "primary",
            Role::Replica => "replica",
            Role::Fenced => "fenced",
        }
    }
}

/// Latest acknowledgement of a member to the primary of this term.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ack {
    /// LSN up to which the member has the log.
    pub(crate) lsn: u64,
    /// Newest round of heartbeats that the member answered.
    pub(crate) round: u64,
    /// Version of the member list that the member has.
    pub(crate) version: u64,
    /// When the primary sent the answered heartbeat.
    pub(crate) sent: Option<Instant>,
}

/// Names of the servers of the group and the version of this list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    pub(crate) list: Vec<String>,
    pub(crate) version: u64,
}

/// Parses a comma-separated list of `server` or `server=address` and adds the
/// addresses to `addresses`.
fn parse_members(text: &str, addresses: &mut IndexMap<String, SocketAddr>) -> Vec<String> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| parse_member(part, addresses)).collect()
}

fn parse_member(part: &str, addresses: &mut IndexMap<String, SocketAddr>) -> String {
    let Some((server, address)) = part.split_once('=') else { return part.to_owned() };
    if let Ok(address) = address.parse() {
        addresses.insert(server.to_owned(), address);
    }
    server.to_owned()
}

/// State of one server.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) server: String,
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) fence_term: u64,
    pub(crate) fence_owner: String,
    pub(crate) log: Log,
    pub(crate) engine: Engine,
    /// LSN of the newest record that is applied.
    pub(crate) applied: u64,
    pub(crate) members: Members,
    pub(crate) addresses: IndexMap<String, SocketAddr>,
    pub(crate) ship_delay: Duration,
    pub(crate) apply_lag: Duration,
    /// Counts how often the server has become the primary or stopped being it.
    pub(crate) epoch: u64,
    pub(crate) quiesce: Quiesce,
    /// Owner of the fence after which this server was promoted.
    owner: String,
    /// LSNs of received records that are not applied yet, with their due times.
    pending: VecDeque<(u64, Instant)>,
    acks: IndexMap<String, Ack>,
    /// LSN that a majority has in this term.
    confirmed: u64,
}

impl Core {
    /// Makes the state of a new server.
    pub(crate) fn new(options: &BackendOptions) -> Result<Self, SqlError> {
        let list = options.members.keys().cloned().collect();
        let mut core = Core {
            server: options.server.clone(),
            role: Role::Replica,
            term: 0,
            fence_term: 0,
            fence_owner: String::new(),
            log: Log::default(),
            engine: Engine::new()?,
            applied: 0,
            members: Members { list, version: 1 },
            addresses: options.members.clone(),
            ship_delay: options.ship_delay,
            apply_lag: options.apply_lag,
            epoch: 0,
            quiesce: Quiesce::default(),
            owner: String::new(),
            pending: VecDeque::new(),
            acks: IndexMap::new(),
            confirmed: 0,
        };
        if options.initial_primary {
            core.become_primary(1);
        }
        Ok(core)
    }

    /// Returns the position that is reported with answers: term and applied LSN.
    pub(crate) fn position(&self) -> Position {
        Position::new(Term::new(self.term), Lsn::new(self.applied))
    }

    /// Returns the LSN that a majority has in this term, or 0 if this server is
    /// not the primary.
    pub(crate) fn confirmed(&self) -> u64 {
        if self.role == Role::Primary { self.confirmed } else { 0 }
    }

    /// Commits a write transaction, appends it to the log and returns its LSN.
    pub(crate) fn commit(&mut self, xid: u64, write: OpenWrite) -> Result<u64, SqlError> {
        let changes = match self.engine.commit(write) {
            Ok(changes) => changes,
            Err(error) => {
                self.engine.suspend();
                self.engine.xacts(|xacts| xacts.end(xid, false));
                return Err(error);
            }
        };
        self.engine.xacts(|xacts| xacts.end(xid, true));
        let lsn = self.log.end() + 1;
        self.log.append(Record { lsn, xid, changes });
        self.applied = lsn;
        self.update_confirmed();
        Ok(lsn)
    }

    /// Fences the server at a term for an owner and returns whether the owner has
    /// the fence.
    pub(crate) fn fence(&mut self, term: u64, owner: &str) -> bool {
        let repeated = term == self.fence_term && owner == self.fence_owner && term > self.term;
        let newest = term > self.term.max(self.fence_term);
        if !repeated && !newest {
            // Nothing changes. The owner of the newest fence still has it after the
            // server has reached its term.
            return term == self.fence_term && owner == self.fence_owner;
        }
        self.fence_term = term;
        owner.clone_into(&mut self.fence_owner);
        self.step_down(Role::Fenced);
        true
    }

    /// Makes a server that `owner` fenced at `term` the primary of that term.
    ///
    /// Returns whether `owner` has made it the primary of that term, now or by an
    /// earlier call.
    pub(crate) fn promote(&mut self, term: u64, owner: &str, members: &str, version: u64) -> bool {
        if self.role == Role::Primary && self.term == term && self.owner == owner {
            return true;
        }
        let fenced = self.fence_term == term && self.fence_owner == owner;
        if !fenced || self.term >= term {
            return false;
        }
        self.apply_until(self.log.end());
        self.members = Members { list: parse_members(members, &mut self.addresses), version };
        owner.clone_into(&mut self.owner);
        self.become_primary(term);
        true
    }

    /// Replaces the member list by one that differs in at most one server, and
    /// returns whether it was replaced.
    ///
    /// The server must be the primary of `term`, a majority must have the present
    /// list, and `version` must be the next after the version of that list.
    pub(crate) fn set_members(&mut self, term: u64, version: u64, members: &str) -> bool {
        let primary = self.role == Role::Primary && self.term == term;
        if !primary || version != self.members.version + 1 || !self.is_member_list_confirmed() {
            return false;
        }
        let list = parse_members(members, &mut self.addresses);
        let added = list.iter().filter(|server| !self.members.list.contains(server)).count();
        let removed = self.members.list.iter().filter(|server| !list.contains(server)).count();
        if added + removed > 1 {
            return false;
        }
        self.members = Members { list, version };
        self.update_confirmed();
        true
    }

    /// Changes the delays of this server. Records that it has already received are
    /// applied at the latest after the new lag.
    pub(crate) fn set_lag(&mut self, ship_delay: Duration, apply_lag: Duration) {
        self.ship_delay = ship_delay;
        self.apply_lag = apply_lag;
        let latest = Instant::now() + apply_lag;
        self.pending.iter_mut().for_each(|(_, due)| *due = latest.min(*due));
    }

    /// Starts to follow the primary of `term` and returns the LSN up to which both
    /// logs agree, or `None` if the term is too old or this server is its primary.
    pub(crate) fn follow(
        &mut self,
        term: u64,
        history: Vec<TermStart>,
        end: u64,
        members: Members,
    ) -> Option<u64> {
        let leads = self.role == Role::Primary && self.term == term;
        if term < self.term.max(self.fence_term) || leads {
            return None;
        }
        self.step_down(Role::Replica);
        self.term = term;
        self.members = members;
        let common = self.log.adopt(history, end);
        self.pending.retain(|(lsn, _)| *lsn <= common);
        if self.applied > common {
            self.rebuild(common);
        }
        Some(common)
    }

    /// Returns whether the server still follows the primary of `term`.
    pub(crate) fn is_following(&self, term: u64) -> bool {
        self.role == Role::Replica && self.term == term
    }

    /// Appends records of the primary to the log and applies those that are due.
    pub(crate) fn receive(&mut self, records: Vec<Record>) {
        let due = Instant::now() + self.apply_lag;
        for record in records {
            let lsn = record.lsn;
            if self.log.append(record) {
                self.pending.push_back((lsn, due));
            }
        }
        self.apply_due(Instant::now());
    }

    /// Applies the records that are due and returns when the next one will be due.
    pub(crate) fn apply_due(&mut self, now: Instant) -> Option<Instant> {
        while let Some((lsn, due)) = self.pending.front().copied() {
            if due > now {
                return Some(due);
            }
            self.pending.pop_front();
            self.apply_until(lsn);
        }
        None
    }

    /// Records the acknowledgement of a member, unless this server is no longer the
    /// primary of `term`.
    pub(crate) fn record_ack(&mut self, server: &str, term: u64, ack: Ack) {
        if self.role != Role::Primary || self.term != term {
            return;
        }
        let known = self.acks.entry(server.to_owned()).or_default();
        known.lsn = known.lsn.max(ack.lsn);
        known.round = known.round.max(ack.round);
        known.version = known.version.max(ack.version);
        known.sent = known.sent.max(ack.sent);
        self.update_confirmed();
    }

    /// Returns whether this server is the primary and a majority answered heartbeat
    /// `round` or a later one.
    pub(crate) fn is_round_confirmed(&self, round: u64) -> bool {
        self.role == Role::Primary && self.majority_value(u64::MAX, |ack| ack.round) >= round
    }

    /// Returns the time since the newest heartbeat that a majority has answered was
    /// sent. Returns `None` if there is none or this server is not the primary.
    pub(crate) fn majority_age(&self) -> Option<Duration> {
        if self.role != Role::Primary {
            return None;
        }
        let now = Instant::now();
        let sent = self.majority_value(Some(now), |ack| ack.sent)?;
        Some(now.saturating_duration_since(sent))
    }

    fn is_member_list_confirmed(&self) -> bool {
        self.majority_value(u64::MAX, |ack| ack.version) >= self.members.version
    }

    fn update_confirmed(&mut self) {
        let held = self.majority_value(self.log.end(), |ack| ack.lsn);
        self.confirmed = self.confirmed.max(held);
    }

    /// Returns the highest value that a majority of the members has reached.
    /// `own` is the value of this server and `of` reads the others' values.
    fn majority_value<T: Copy + Default + Ord>(&self, own: T, of: impl Fn(&Ack) -> T) -> T {
        let reached = |server: &String| match *server == self.server {
            true => own,
            false => self.acks.get(server).map(&of).unwrap_or_default(),
        };
        let mut values: Vec<T> = self.members.list.iter().map(reached).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.members.list.len() / 2).copied().unwrap_or_default()
    }

    fn become_primary(&mut self, term: u64) {
        let xid = self.engine.xacts(|xacts| xacts.next()).max(self.log.largest_xid() + 1);
        self.log.open_term(TermStart { term: Term::new(term), lsn: Lsn::new(self.log.end()), xid });
        self.role = Role::Primary;
        self.term = term;
        self.acks.clear();
        self.confirmed = 0;
        self.epoch += 1;
    }

    fn step_down(&mut self, role: Role) {
        if self.role == Role::Primary {
            self.engine.suspend();
            self.epoch += 1;
            self.quiesce = Quiesce::default();
        }
        self.role = role;
    }

    fn apply_until(&mut self, lsn: u64) {
        while self.applied < lsn {
            let Some(record) = self.log.get(self.applied + 1) else { return };
            // A record that cannot be applied is reported, and counts as applied.
            if let Err(error) = self.engine.apply(record) {
                eprintln!("{}: cannot apply LSN {}: {error}", self.server, record.lsn);
            }
            self.applied += 1;
        }
    }

    fn rebuild(&mut self, lsn: u64) {
        match Engine::new() {
            Ok(engine) => self.engine = engine,
            Err(error) => return eprintln!("{}: cannot open a new database: {error}", self.server),
        }
        self.applied = 0;
        self.apply_until(lsn);
    }
}
