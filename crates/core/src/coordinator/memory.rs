//! What the coordinator must not forget when its daemon restarts.
//!
//! An order without an answer may be carried out seconds later. If nobody remembers it, its
//! group works on with the old primary, and the order then costs all commits since. A missing
//! server may return with the only copy of a commit. If nobody remembers it, another server is
//! promoted without that commit. Both are therefore kept in the coordinator's row, and every
//! write of the row carries all of them: a renewal that raced with the write for an order would
//! otherwise remove it.
//!
//! An order is written before it is sent, and not sent if the row cannot be written. A VM takes
//! the role by a write that succeeds only if the row is unchanged since it was read, so the new
//! holder knows everything that the last one has written. Servers that disappeared after that
//! write, and before the new holder's daemon started, show as another [`Roster`]; no server is
//! promoted then until they count as lost.

mod pending;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{
    FencingToken, OpenOrder, OrderAnswer,
    record::{
        FailoverRecord, MAX_MISSING_BYTES, MAX_ORDER_BYTES, RecordedServer, Roster, before, millis,
        order_bytes, server_bytes,
    },
};
use crate::{
    failover::{MissingServer, MissingServers, RETURN_TIMEOUT},
    id::{GroupId, ServerId},
    position::Term,
    time::Time,
    version::{DirectoryVersion, Era},
};

/// Time after which an order counts as closed. An order may be carried out 13 s after it was
/// sent, and its age is not counted while nobody holds the role.
const ORDER_SPAN: Duration = Duration::from_secs(30);

/// Time from the receipt of an order by the platform, which may be late, to its effect.
const EFFECT_SPAN: Duration = Duration::from_secs(1);

/// Age from which on a missing server is no longer kept in the row.
const MISSING_SPAN: Duration = Duration::from_secs(600);

/// Number of a change of the memory. A change is safe once a write of the row has carried it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(u64);

/// The row has no room for another order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("too many promotion orders are open")]
pub struct FullError;

/// Open orders and missing servers, of this VM as the coordinator or as it read them last.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{
///     GroupId, ServerId, Term, Time,
///     coordinator::{FailoverMemory, Roster},
/// };
///
/// let now = Time::from_millis(7_000);
/// let (group, server) = (GroupId::new("orders").unwrap(), ServerId::new("db-2").unwrap());
/// let mut memory = FailoverMemory::new(now);
/// let order = memory.prepare(group, server, Term::new(4), now).unwrap();
/// let (record, written) = memory.record(Some(Roster::default()), now);
/// assert_eq!(record.orders.len(), 1);
/// assert!(!memory.is_written(order), "the order must not be sent yet");
/// memory.record_written(written);
/// assert!(memory.is_written(order));
/// ```
#[derive(Clone, Debug)]
pub struct FailoverMemory {
    started: Time,
    orders: Vec<OpenOrder>,
    missing: IndexMap<GroupId, Vec<MissingServer>>,
    /// Groups whose missing servers were read from the row and not taken over yet.
    recalled: IndexSet<GroupId>,
    /// When the newest server disappeared that the row that was read does not list.
    unlisted: Option<Time>,
    /// Servers that were registered when the row that was read was written, until they are
    /// compared with those that are registered now.
    roster: Option<Option<Roster>>,
    /// When this VM first saw that the directory was restored from a copy.
    restored: Option<Time>,
    era: Era,
    newest: Revision,
    written: Revision,
}

impl FailoverMemory {
    /// Creates the memory of a daemon that starts at `now`.
    pub fn new(now: Time) -> Self {
        FailoverMemory {
            started: now,
            orders: Vec::new(),
            missing: IndexMap::new(),
            recalled: IndexSet::new(),
            unlisted: None,
            roster: None,
            restored: None,
            era: Era::default(),
            newest: Revision::default(),
            written: Revision::default(),
        }
    }

    /// Replaces the memory by what another holder, or an earlier daemon of this VM, has written
    /// to the row of this `version`.
    pub fn record_row(&mut self, record: &FailoverRecord, version: DirectoryVersion, now: Time) {
        self.orders.clear();
        self.missing.clear();
        self.recalled.clear();
        self.unlisted = None;
        self.record_era(version.era(), now);
        self.merge(record, version, now);
        self.roster = Some(record.roster);
        self.written = self.newest;
    }

    /// A daemon does not know how long before its start the directory was restored.
    fn record_era(&mut self, era: Era, now: Time) {
        if era != self.era {
            (self.era, self.restored) = (era, Some(now));
        }
    }

    /// Records that the directory has no coordinator's row in this era.
    ///
    /// In the first era no coordinator has existed. A later era begins when the directory is
    /// restored from a copy, which may lack the last writes. So this VM keeps what it knows, adds
    /// the `earlier` row, and assumes that a server may be missing that disappeared before this
    /// daemon started.
    pub fn record_absence(
        &mut self,
        era: Era,
        earlier: Option<(&FailoverRecord, DirectoryVersion)>,
        now: Time,
    ) {
        self.record_era(era, now);
        if era == Era::default() {
            return;
        }
        self.unlisted = self.unlisted.max(Some(self.started));
        if let Some((record, version)) = earlier {
            self.merge(record, version, now);
        }
    }

    fn merge(&mut self, record: &FailoverRecord, version: DirectoryVersion, now: Time) {
        for order in &record.orders {
            let read = OpenOrder::read(order, version, now);
            let is_newer = |known: &OpenOrder| {
                known.group == read.group
                    && known.server == read.server
                    && known.token >= read.token
            };
            if !self.orders.iter().any(is_newer) {
                self.orders.push(read);
            }
        }
        for missing in &record.missing {
            let servers = self.missing.entry(missing.group.clone()).or_default();
            if servers.iter().all(|known| known.server != missing.server) {
                servers.push(missing.read(now));
            }
            self.recalled.insert(missing.group.clone());
        }
        let unlisted = record.unlisted_ms.map(|age_ms| before(now, age_ms));
        self.unlisted = self.unlisted.max(unlisted);
    }

    /// Adds an order that is to be sent once the returned revision is written.
    ///
    /// # Errors
    ///
    /// Fails if the row has no room for another order. Nothing may be sent then.
    pub fn prepare(
        &mut self,
        group: GroupId,
        server: ServerId,
        replaced: Term,
        now: Time,
    ) -> Result<Revision, FullError> {
        self.expire(now);
        let used: usize =
            self.orders.iter().map(|open| order_bytes(&open.group, &open.server)).sum();
        if used + order_bytes(&group, &server) > MAX_ORDER_BYTES {
            return Err(FullError);
        }
        // The server may lead by an earlier order already, and its own term is not replaced.
        let earlier = self.orders_of(&group).filter(|open| open.server == server);
        let replaced = earlier.map(|open| open.replaced).min().unwrap_or(replaced).min(replaced);
        let revision = self.next_revision();
        self.orders.push(OpenOrder {
            group,
            server,
            replaced,
            announced: replaced,
            repeated: false,
            token: None,
            written: now,
            known: now,
            revision: Some(revision),
            is_announced: true,
        });
        Ok(revision)
    }

    /// Records which terms the failover of the order with this revision was announced to replace, up
    /// to `announced`. To be called before the row is written.
    pub fn record_announced(&mut self, order: Revision, announced: Term) {
        if let Some(open) = self.orders.iter_mut().find(|open| open.is_new(order)) {
            open.announced = open.announced.max(announced);
        }
    }

    /// Records that the order of this revision is about to be sent. Returns false if it must not
    /// be, because another holder has written the row meanwhile.
    ///
    /// It counts from now on as one that may be carried out, however long the row took.
    pub fn record_sent(&mut self, order: Revision, token: FencingToken, now: Time) -> bool {
        let Some(open) = self.orders.iter_mut().find(|open| open.is_new(order)) else {
            return false;
        };
        (open.token, open.known) = (Some(token), now);
        true
    }

    /// Records that the order of this revision is not sent.
    pub fn record_unsent(&mut self, order: Revision) {
        self.orders.retain(|open| !open.is_new(order));
    }

    /// Records the answer to the order with this token. An order that is not answered stays open.
    pub fn record_answer(&mut self, group: &GroupId, token: FencingToken, answer: OrderAnswer) {
        match answer {
            OrderAnswer::Accepted => self.close_before(group, token),
            OrderAnswer::Refused => {
                self.orders.retain(|open| open.group != *group || open.token != Some(token));
            }
        }
    }

    /// Records that `server` leads its group at `term`.
    ///
    /// One of the orders to promote it has been carried out, so those before the first of them
    /// are refused. Orders to promote it again have no effect as long as it leads. The newest of
    /// them is kept, because it may promote the server once more after that has been replaced.
    pub fn record_leader(&mut self, group: &GroupId, server: &ServerId, term: Term) {
        let is_done = |open: &&OpenOrder| open.server == *server && open.replaced < term;
        let Some(first) = self.orders_of(group).filter(is_done).filter_map(|open| open.token).min()
        else {
            return;
        };
        self.close_before(group, first);
        let is_only =
            self.orders_of(group).all(|open| open.server == *server && open.token.is_some());
        if is_only {
            self.keep_repeated(group, first, term);
        }
    }

    fn close_before(&mut self, group: &GroupId, token: FencingToken) {
        let is_older = |open: &OpenOrder| open.token.is_some_and(|other| other < token);
        self.orders.retain(|open| open.group != *group || !is_older(open));
    }

    fn orders_of<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a OpenOrder> {
        self.orders.iter().filter(move |open| open.group == *group)
    }

    /// Returns the newest order of a group that may still be carried out, and change something.
    pub fn open_order(&self, group: &GroupId) -> Option<&OpenOrder> {
        let orders = self.orders.iter().filter(|open| open.group == *group && !open.repeated);
        orders.filter(|open| open.token.is_some()).max_by_key(|open| open.token)
    }

    /// Takes over the missing servers of a group that were read from the row.
    pub fn take_missing(&mut self, group: &GroupId) -> Vec<MissingServer> {
        match self.recalled.swap_remove(group) {
            true => self.missing.get(group).cloned().unwrap_or_default(),
            false => Vec::new(),
        }
    }

    /// Records which servers of a group are missing, as this VM as the coordinator knows it. A
    /// server that was not missing before has to be written at once.
    pub fn update_missing(&mut self, group: &GroupId, missing: &MissingServers) {
        if self.recalled.contains(group)
            || (missing.is_empty() && !self.missing.contains_key(group))
        {
            return;
        }
        let servers: Vec<MissingServer> = missing.iter().collect();
        let before = self.missing.get(group).map(Vec::as_slice).unwrap_or_default();
        let is_known =
            |server: &MissingServer| before.iter().any(|known| known.server == server.server);
        if !servers.iter().all(is_known) {
            self.next_revision();
        }
        match servers.is_empty() {
            true => drop(self.missing.swap_remove(group)),
            false => drop(self.missing.insert(group.clone(), servers)),
        }
    }

    /// Returns whether a server of any group may be missing that this VM does not know of.
    pub fn awaits_unlisted(&self, now: Time) -> bool {
        self.unlisted_since().is_some_and(|since| now.since(since) < RETURN_TIMEOUT)
    }

    /// Returns when the newest server disappeared that may be unknown. This VM knows of those
    /// that have disappeared since it started.
    fn unlisted_since(&self) -> Option<Time> {
        let uncompared = self.roster.map(|_| self.started);
        self.unlisted.max(uncompared).map(|since| since.min(self.started))
    }

    /// Returns the number of orders and missing servers.
    pub fn counts(&self) -> (usize, usize) {
        (self.orders.len(), self.missing.values().map(Vec::len).sum())
    }

    /// Returns what the next write of the row must carry while the servers of `roster` are
    /// registered, and the newest revision in it. The roster is `None` until this VM has read which
    /// servers are registered.
    ///
    /// If the servers are not those of the row that was read, some may have disappeared before
    /// this daemon started.
    pub fn record(&mut self, roster: Option<Roster>, now: Time) -> (FailoverRecord, Revision) {
        self.expire(now);
        if roster.is_some() && self.roster.take().is_some_and(|before| before != roster) {
            self.unlisted = self.unlisted.max(Some(self.started));
        }
        let orders = self.orders.iter().map(|open| open.recorded(now)).collect();
        let (missing, unlisted) = self.recorded_servers(now);
        let unlisted_ms = unlisted.map(|since| millis(now.since(since)));
        let roster = roster.or(self.roster.flatten());
        (FailoverRecord { orders, missing, roster, unlisted_ms }, self.newest)
    }

    /// Returns the missing servers that fit into the row, the newest first, and when the newest
    /// other one disappeared.
    fn recorded_servers(&self, now: Time) -> (Vec<RecordedServer>, Option<Time>) {
        let servers = self
            .missing
            .iter()
            .flat_map(|(group, servers)| servers.iter().map(move |server| (group, server)));
        let mut servers: Vec<(&GroupId, &MissingServer)> =
            servers.filter(|(_, server)| now.since(server.since) < MISSING_SPAN).collect();
        servers.sort_by_key(|(_, server)| std::cmp::Reverse(server.since));
        let mut unlisted = self.unlisted_since();
        let mut used = 0;
        let mut recorded = Vec::new();
        for (group, missing) in servers {
            used += server_bytes(group, &missing.server);
            if used > MAX_MISSING_BYTES {
                unlisted = unlisted.max(Some(missing.since));
                break;
            }
            recorded.push(RecordedServer {
                group: group.clone(),
                server: missing.server.clone(),
                address: missing.address,
                age_ms: millis(now.since(missing.since)),
                ended: missing.may_have_ended,
            });
        }
        (recorded, unlisted.filter(|since| now.since(*since) < RETURN_TIMEOUT))
    }

    /// Records that a write of the row has carried everything up to this revision.
    pub fn record_written(&mut self, revision: Revision) {
        self.written = self.written.max(revision);
    }

    /// Returns whether the row contains what was added with this revision.
    pub fn is_written(&self, revision: Revision) -> bool {
        revision <= self.written
    }

    /// Returns whether the row has to be written before its next renewal.
    pub fn needs_write(&self) -> bool {
        self.newest > self.written
    }

    fn expire(&mut self, now: Time) {
        self.orders.retain(|open| now.since(open.written) < ORDER_SPAN);
    }

    fn next_revision(&mut self) -> Revision {
        self.newest = Revision(self.newest.0 + 1);
        self.newest
    }
}
