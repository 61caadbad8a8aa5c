//! A backend server that follows docs/design/backend-control.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chicoryhollow_core::{
    prelude::*,
    view::TermStart,
    watch::{Action, Event, FenceOwner, MemberList, ServerRole, ServerStatus},
};

/// Greatest number of records that a replica takes from one shipment.
const MAX_SHIPPED_RECORDS: usize = 3;

/// Longest time for which writes are held after the server answered that none
/// is open.
const MAX_WRITE_HOLD: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub(crate) struct Shipment {
    term: Term,
    log: Arc<[u64]>,
    members: MemberList,
    history: Vec<TermStart>,
}

pub(crate) struct Ack {
    term: Term,
    held: usize,
    version: u64,
}

pub(crate) struct Server {
    pub(crate) name: ServerId,
    pub(crate) term: Term,
    pub(crate) log: Vec<u64>,
    pub(crate) members: MemberList,
    /// Time until which a transaction that has written is open.
    pub(crate) busy_until: Time,
    /// Whether a fence aborted that transaction.
    pub(crate) aborted: bool,
    held_until: Time,
    role: ServerRole,
    fence: (Term, FenceOwner),
    history: Vec<TermStart>,
    acks: HashMap<ServerId, (usize, u64, Time)>,
}

impl Server {
    pub(crate) fn new(name: ServerId) -> Self {
        Server {
            name,
            term: Term::default(),
            log: Vec::new(),
            members: MemberList::default(),
            busy_until: Time::default(),
            aborted: false,
            held_until: Time::default(),
            role: ServerRole::Replica,
            fence: (Term::default(), FenceOwner::default()),
            history: Vec::new(),
            acks: HashMap::new(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.role == ServerRole::Primary && self.fence.0 <= self.term
    }

    /// Returns whether it refuses the log of the term that it follows.
    pub(crate) fn is_fenced(&self) -> bool {
        self.fence.0 > self.term
    }

    pub(crate) fn takes_writes(&self, now: Time) -> bool {
        self.is_open() && now >= self.held_until
    }

    pub(crate) fn execute(&mut self, action: Action, now: Time) -> Option<Event> {
        let server = self.name.clone();
        match action {
            Action::Poll(_) => Some(Event::Status(server, self.status(now))),
            Action::Quiesce { .. } => {
                let quiet = now >= self.busy_until;
                if quiet {
                    self.held_until = now + MAX_WRITE_HOLD;
                }
                Some(Event::Quiesced(server, quiet))
            }
            Action::Fence { term, owner, .. } => {
                self.aborted |= self.is_open() && now < self.busy_until;
                let granted = self.fence(term, owner);
                Some(Event::Fenced(server, term, granted, self.status(now)))
            }
            Action::Promote { term, owner, members, .. } => {
                Some(Event::Promoted(server, term, self.promote(term, owner, members)))
            }
            Action::SetMembers { term, members, .. } => {
                self.set_members(term, members);
                None
            }
            Action::Publish(_) | Action::SendObservation(_) => None,
        }
    }

    fn fence(&mut self, term: Term, owner: FenceOwner) -> bool {
        let again = self.fence == (term, owner.clone()) && self.term < term;
        let granted = again || term > self.fence.0.max(self.term);
        if granted {
            self.fence = (term, owner);
        }
        granted
    }

    fn promote(&mut self, term: Term, owner: FenceOwner, members: MemberList) -> bool {
        if self.fence != (term, owner) {
            return false;
        }
        if self.term < term {
            let lsn = Lsn::new(self.log.len() as u64);
            self.history.push(TermStart { term, lsn, xid: 0 });
            self.role = ServerRole::Primary;
            self.term = term;
            self.members = members;
            self.acks.clear();
        }
        true
    }

    fn set_members(&mut self, term: Term, members: MemberList) {
        let version = self.members.version;
        let confirmed = self.members.has_majority(|s| {
            *s == self.name || self.acks.get(s).is_some_and(|(_, seen, _)| *seen == version)
        });
        if self.is_open() && self.term == term && members.version == version + 1 && confirmed {
            self.members = members;
        }
    }

    fn status(&self, now: Time) -> ServerStatus {
        let fenced = self.fence.0 > self.term;
        let lsn = Lsn::new(self.log.len() as u64);
        ServerStatus {
            role: if fenced { ServerRole::Fenced } else { self.role },
            term: self.term,
            fence_term: self.fence.0,
            fence_owner: self.fence.1.clone(),
            received: lsn,
            applied: lsn,
            majority_age: self.is_open().then(|| self.majority_age(now)),
            members: self.members.servers.clone(),
            members_version: self.members.version,
            history: self.history.clone(),
        }
    }

    fn majority_age(&self, now: Time) -> Duration {
        let age = |s: &ServerId| match self.acks.get(s) {
            _ if *s == self.name => Duration::ZERO,
            Some((_, _, at)) => now.since(*at),
            None => Duration::from_secs(60),
        };
        let mut ages: Vec<Duration> = self.members.servers.iter().map(age).collect();
        ages.sort();
        ages[self.members.majority() - 1]
    }

    pub(crate) fn followers(&self) -> Vec<ServerId> {
        let primary = self.role == ServerRole::Primary;
        let others = self.members.servers.iter().filter(|s| primary && **s != self.name);
        others.cloned().collect()
    }

    pub(crate) fn shipment(&self) -> Option<Shipment> {
        (self.role == ServerRole::Primary).then(|| Shipment {
            term: self.term,
            log: Arc::from(self.log.as_slice()),
            members: self.members.clone(),
            history: self.history.clone(),
        })
    }

    pub(crate) fn receive(&mut self, shipment: Shipment) -> Option<Ack> {
        if shipment.term < self.fence.0.max(self.term) {
            return None;
        }
        if shipment.term > self.term || shipment.log.len() >= self.log.len() {
            let common = self.log.iter().zip(&*shipment.log).take_while(|(a, b)| a == b).count();
            let end = shipment.log.len().min(common + MAX_SHIPPED_RECORDS);
            self.role = ServerRole::Replica;
            self.term = shipment.term;
            self.log = shipment.log[..end].to_vec();
            self.members = shipment.members;
            self.history = shipment.history;
        }
        Some(Ack { term: self.term, held: self.log.len(), version: self.members.version })
    }

    /// Records an acknowledgement and returns the number of writes that a
    /// majority holds.
    pub(crate) fn count(&mut self, from: ServerId, ack: Ack, now: Time) -> usize {
        if self.role != ServerRole::Primary || ack.term != self.term {
            return 0;
        }
        let entry = self.acks.entry(from).or_insert((0, 0, now));
        *entry = (entry.0.max(ack.held), entry.1.max(ack.version), now);
        let held = |s: &ServerId| {
            let own = if *s == self.name { self.log.len() } else { 0 };
            self.acks.get(s).map_or(own, |(held, _, _)| *held)
        };
        let mut all: Vec<usize> = self.members.servers.iter().map(held).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all[self.members.majority() - 1]
    }
}
