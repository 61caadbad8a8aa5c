//! Copies of commits: what registered replicas have answered about what they have received.

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    DataCentreId, Position, ServerId, Time,
    durability::{QuestionTarget, RegisteredReplica, ReplicaAnswer, ReplicaAnswers},
};
use indexmap::IndexMap;

use super::Group;
use crate::{catalog::ServerEntry, fleet::Link, single_flight::SingleFlight};

/// Shortest delay that is recorded for a replica whose answer did not show the commit.
const UNHELPFUL_DELAY: Duration = Duration::from_millis(100);

/// Pause between two repeated questions of this VM to one replica.
const REPEAT_PAUSE: Duration = Duration::from_millis(80);

/// Who has requested the status of a replica.
pub(crate) enum Requester {
    /// A commit of this VM.
    Own,
    /// Another VM.
    Vm(PeerQuestion),
}

/// A question of another VM for the status of a replica.
pub(crate) struct PeerQuestion {
    pub(crate) link: Rc<Link>,
    pub(crate) number: u64,
    /// Position of the commit that it is about.
    pub(crate) commit: Position,
}

/// The question to one replica that is in flight, if any, and who waits for the next.
#[derive(Default)]
struct Poll {
    flight: SingleFlight,
    waiting: Vec<Requester>,
}

/// A registered replica of a group.
pub(crate) struct KnownReplica {
    pub(crate) entry: ServerEntry,
    pub(crate) target: QuestionTarget,
}

/// Since when the servers of a group are registered, and what they last answered.
#[derive(Default)]
pub(crate) struct Replicas {
    /// Since when each server has been known to be registered.
    registered: IndexMap<ServerId, Time>,
    answers: IndexMap<ServerId, ReplicaAnswers>,
    /// Time that the last answer of each server took.
    delays: IndexMap<ServerId, Duration>,
    /// When each server was last asked again.
    repeated: IndexMap<ServerId, Time>,
    polls: IndexMap<ServerId, Poll>,
    /// Whether all servers are being asked by this VM itself.
    pub(crate) round: SingleFlight,
}

impl Replicas {
    /// Records a change of the registered servers. One that has started again holds nothing of
    /// before, and counts as new.
    pub(super) fn update(
        &mut self,
        before: &IndexMap<ServerId, ServerEntry>,
        after: &IndexMap<ServerId, ServerEntry>,
        now: Time,
    ) {
        let is_same = |entry: &ServerEntry| {
            before.get(&entry.server).is_some_and(|old| old.born == entry.born)
        };
        let old = std::mem::take(&mut self.registered);
        for entry in after.values() {
            let since = old.get(&entry.server).filter(|_| is_same(entry));
            self.registered.insert(entry.server.clone(), since.copied().unwrap_or(now));
        }
        self.answers.retain(|server, _| after.get(server).is_some_and(is_same));
        self.delays.retain(|server, _| after.contains_key(server));
        self.repeated.retain(|server, _| after.contains_key(server));
    }

    /// Records the answer of a server to a question that was sent at `asked`, or that none came
    /// in time.
    pub(crate) fn record(&mut self, server: &ServerId, asked: Time, answer: Option<ReplicaAnswer>) {
        let answers = self.answers.entry(server.clone()).or_default();
        match answer {
            Some(answer) => answers.record(asked, answer),
            None => answers.record_silence(),
        }
    }

    /// Records that another VM has known a server to be registered since a time.
    pub(crate) fn record_registration(&mut self, server: &ServerId, since: Time) {
        if let Some(known) = self.registered.get_mut(server) {
            *known = since.min(*known);
        }
    }

    /// Records how long the first question about a commit to a server took, or that the answer
    /// did not help.
    pub(crate) fn record_delay(&mut self, server: &ServerId, taken: Duration, has_helped: bool) {
        let delay = if has_helped { taken } else { taken.max(UNHELPFUL_DELAY) };
        self.delays.insert(server.clone(), delay);
    }

    /// Returns whether to ask a server again, for all commits of this VM that wait.
    pub(crate) fn should_repeat(&mut self, server: &ServerId, now: Time) -> bool {
        let is_due = |at: &Time| now.since(*at) >= REPEAT_PAUSE;
        let repeats = self.repeated.get(server).is_none_or(is_due);
        if repeats {
            self.repeated.insert(server.clone(), now);
        }
        repeats
    }

    /// Adds a request for the status of a server; returns whether to start to ask.
    pub(crate) fn add_request(&mut self, server: &ServerId, requester: Requester) -> bool {
        let poll = self.polls.entry(server.clone()).or_default();
        poll.waiting.push(requester);
        poll.flight.try_start()
    }

    /// Returns who waits for the next question to a server. If nobody does, it is not sent.
    pub(crate) fn take_requests(&mut self, server: &ServerId) -> Vec<Requester> {
        let Some(poll) = self.polls.get_mut(server) else { return Vec::new() };
        if poll.waiting.is_empty() {
            self.polls.swap_remove(server);
            return Vec::new();
        }
        std::mem::take(&mut poll.waiting)
    }

    /// Returns since when a server is registered, if it is.
    fn registered_since(&self, server: &ServerId) -> Option<Time> {
        self.registered.get(server).copied()
    }
}

impl Group {
    /// Returns the registered replicas of the primary `server`.
    pub(crate) fn known_replicas(
        &self,
        server: &ServerId,
        here: &DataCentreId,
        now: Time,
    ) -> Vec<KnownReplica> {
        let primary = self.servers.get(server).map(|entry| &entry.data_centre);
        let others = self.servers.values().filter(|entry| entry.server != *server);
        let known = |entry: &ServerEntry| {
            let since = self.replicas.registered_since(&entry.server)?;
            let replica = RegisteredReplica {
                registered: now.since(since),
                leaving: entry.leaving,
                near: primary.is_none_or(|centre| *centre == entry.data_centre),
                answers: self.replicas.answers.get(&entry.server).copied().unwrap_or_default(),
            };
            let delay = self.replicas.delays.get(&entry.server).copied().unwrap_or_default();
            let target = QuestionTarget { replica, here: entry.data_centre == *here, delay };
            Some(KnownReplica { entry: entry.clone(), target })
        };
        others.filter_map(known).collect()
    }

    /// Returns for how long a server has been registered and stays, as far as is known.
    pub(crate) fn registered_span(&self, server: &ServerId, now: Time) -> Duration {
        let stays = self.servers.get(server).is_some_and(|entry| !entry.leaving);
        let since = self.replicas.registered_since(server).filter(|_| stays);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }
}
