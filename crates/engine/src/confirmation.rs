//! Confirms that a failover elsewhere would not lose a write.
//!
//! A primary whose data centre is cut off may acknowledge writes with a replica that
//! nobody outside knows (see [`needs_replica_answer`]). While nothing is heard from other
//! data centres, a write is therefore sent only after a registered replica has answered.
//! The success of a commit is passed on once it is known to survive a failover (see
//! [`chicoryhollow_core::durability`]).

mod questions;
mod status;

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    DataCentreId, Position, ServerId,
    durability::{
        Commit, CopyState, Evidence, Knowledge, QuestionSchedule, RegisteredReplica, Step,
    },
    isolation::needs_replica_answer,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::o;
use tokio::time::timeout;

use crate::{
    catalog::ServerEntry,
    clock,
    engine::Engine,
    group::{Group, KnownReplica},
    log::Event,
    seam::{Directory, ServerProtocol},
    statement::Command,
    watch::send_command,
};

/// Time for which an answer of a replica allows writes.
const ANSWER_SPAN: Duration = Duration::from_millis(300);

/// Time limit for an answer of a replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest time for which an acknowledged commit waits for evidence, however late its answer
/// came.
const MIN_EVIDENCE_WAIT: Duration = Duration::from_millis(150);

/// A commit that waits for evidence.
struct Waiting<'a> {
    group: &'a Rc<RefCell<Group>>,
    /// The primary that has acknowledged it.
    server: &'a ServerId,
    commit: Commit,
    /// Data centre of the primary.
    data_centre: DataCentreId,
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Returns whether a write that the primary `server` acknowledges is safe from a
    /// failover elsewhere.
    pub(crate) async fn is_write_safe(
        self: &Rc<Self>,
        group: &RefCell<Group>,
        server: &ServerId,
    ) -> bool {
        let now = clock::now();
        let here = &self.settings.data_centre;
        let others = {
            let group = group.borrow();
            let is_near = |entry: &ServerEntry| entry.data_centre == *here;
            let primary_near = group.servers.get(server).is_some_and(is_near);
            let others = group.others(server);
            let silence = self.fleet.far_silence(now);
            let answered = group.replica_answered.is_some_and(|at| now.since(at) < ANSWER_SPAN);
            if !needs_replica_answer(silence, primary_near) || answered {
                return true;
            }
            others
        };
        // One that is near answers, and does not show that a commit is safe.
        let is_far = |entry: &&ServerEntry| entry.data_centre != *here;
        let far: Vec<ServerEntry> = others.iter().filter(is_far).cloned().collect();
        let answered = others.is_empty() || self.has_answer(&far).await;
        if answered {
            group.borrow_mut().replica_answered = Some(clock::now());
        }
        answered
    }

    /// Waits until the commit at `position` that the primary `server` has just acknowledged is
    /// known to survive a failover. Returns false if nothing shows this within `limit`, or
    /// if another server has become primary.
    pub(crate) async fn is_commit_durable(
        self: &Rc<Self>,
        group: &Rc<RefCell<Group>>,
        server: &ServerId,
        position: Position,
        limit: Duration,
    ) -> bool {
        let commit = Commit { position, answered: clock::now() };
        // Without an entry, nothing says where the primary runs.
        let entry = group.borrow().servers.get(server).map(|entry| entry.data_centre.clone());
        let evidence = match entry {
            Some(data_centre) => {
                let waiting = Waiting { group, server, commit, data_centre };
                self.find_evidence(&waiting, limit).await
            }
            None => Evidence::Missing,
        };
        self.metrics.evidence.with_label_values(&[evidence.label()]).inc();
        if !evidence.is_sufficient() {
            self.log_unproven(&group.borrow(), server, &commit, evidence);
        }
        evidence.is_sufficient()
    }

    /// Asks and waits until it is known what becomes of a commit, or the limit is reached.
    async fn find_evidence(self: &Rc<Self>, waiting: &Waiting<'_>, limit: Duration) -> Evidence {
        let Waiting { group, commit, .. } = waiting;
        let deadline = commit.answered + limit.max(MIN_EVIDENCE_WAIT);
        let (mut schedule, mut first) = (QuestionSchedule::new(), None);
        loop {
            let answered = self.fleet.questions.answered.notified();
            let known = self.knowledge(&group.borrow(), &waiting.data_centre);
            let replicas = self.known_replicas(&group.borrow(), waiting.server);
            let state = copy_state(&replicas, first.as_ref(), commit);
            let found = commit.evidence(&known, &registered(&replicas));
            if let Some(first) = &first {
                self.record_first(group, first, state, found, commit);
            }
            if let Some(found) = found {
                return found;
            }
            if known.now >= deadline {
                return Evidence::Missing;
            }
            match schedule.next_step(state, known.now) {
                Step::AskFirst => first = self.ask_first(waiting, &replicas, known.single),
                Step::AskAll(round) => self.ask_all(waiting, &replicas, first.as_ref(), round),
                Step::Wait(span) => {
                    let wait = span.min(deadline.since(known.now));
                    // After a timeout, more is asked.
                    let _ = timeout(wait, answered).await;
                }
            }
        }
    }

    fn known_replicas(&self, group: &Group, server: &ServerId) -> Vec<KnownReplica> {
        group.known_replicas(server, &self.settings.data_centre, clock::now())
    }

    /// Records how long the answer of the replica took that was asked first, once it has come or
    /// something else has decided.
    fn record_first(
        &self,
        group: &RefCell<Group>,
        first: &ServerId,
        state: CopyState,
        found: Option<Evidence>,
        commit: &Commit,
    ) {
        if state != CopyState::Silent || found.is_some() {
            let taken = clock::now().since(commit.answered);
            let has_helped = state == CopyState::Holds;
            group.borrow_mut().replicas.record_delay(first, taken, has_helped);
        }
    }

    fn knowledge(&self, group: &Group, data_centre: &DataCentreId) -> Knowledge {
        let now = clock::now();
        Knowledge {
            now,
            term: group.newest_term(),
            failover: group.peers.failover(),
            contact: self.fleet.contact(group, data_centre),
            single: self.fleet.is_single(),
            steady: self.fleet.is_in_contact(data_centre, now),
            directory_age: now.since(self.fresh_at()),
            directory_asked: self.fleet.questions.listed.get(),
        }
    }

    fn log_unproven(&self, group: &Group, server: &ServerId, commit: &Commit, evidence: Evidence) {
        let now = clock::now();
        let silence = self.fleet.far_silence(now);
        let replicas = self.known_replicas(group, server);
        let states: Vec<String> = replicas.iter().map(|known| describe(known, commit)).collect();
        self.event_log.record(
            Event::CommitUnproven,
            o!(
                "group" => group.view.group.to_string(),
                "position" => commit.position.to_string(),
                "term" => group.view.term.get(),
                "reason" => evidence.label(),
                "replicas" => states.join(" "),
                "silent_ms" => silence.map(|silence| silence.as_millis() as u64),
                "waited_ms" => now.since(commit.answered).as_millis() as u64,
            ),
        );
    }

    /// Returns whether one of `servers` answers a status request in time.
    async fn has_answer(self: &Rc<Self>, servers: &[ServerEntry]) -> bool {
        let ask = |entry: &ServerEntry| {
            let server = entry.server.clone();
            async move { send_command(self, &server, Command::Status).await.is_some() }
        };
        let mut answers: FuturesUnordered<_> = servers.iter().map(ask).collect();
        let first = async {
            while let Some(answered) = answers.next().await {
                if answered {
                    return true;
                }
            }
            false
        };
        timeout(ANSWER_TIMEOUT, first).await.unwrap_or(false)
    }
}

fn registered(replicas: &[KnownReplica]) -> Vec<RegisteredReplica> {
    replicas.iter().map(|known| known.target.replica).collect()
}

/// Returns what is known of a commit on the replica `server`.
fn copy_state(replicas: &[KnownReplica], server: Option<&ServerId>, commit: &Commit) -> CopyState {
    let found = replicas.iter().find(|known| Some(&known.entry.server) == server);
    found.map_or(CopyState::Silent, |known| known.target.replica.copy_state(commit))
}

fn describe(known: &KnownReplica, commit: &Commit) -> String {
    let leaving = if known.entry.leaving { "/leaving" } else { "" };
    let state = known.target.replica.copy_state(commit).label();
    format!("{}/{state}{leaving}", known.entry.server)
}
