//! Confirms that a failover elsewhere would not lose a write.
//!
//! A primary whose data centre is cut off may acknowledge writes with a replica that
//! nobody outside knows (see [`needs_replica_answer`]). While nothing is heard from other
//! data centres, a write is therefore sent only after a registered replica has answered.
//! The success of a commit is passed on once it is known to survive a failover (see
//! [`chicoryhollow_core::durability`]).

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{
    DataCentreId, Position, ServerId,
    durability::{Commit, Evidence, Knowledge},
    isolation::needs_replica_answer,
};
use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use slog::o;
use tokio::time::{sleep, timeout};

use crate::{
    catalog::ServerEntry,
    clock,
    engine::Engine,
    group::Group,
    log::Event,
    seam::{Directory, ServerProtocol},
    statement::Command,
    watch::send_command,
};

/// Time for which an answer of a replica allows writes.
const ANSWER_SPAN: Duration = Duration::from_millis(300);

/// Time limit for an answer of a replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a commit waits for the answer of one VM before more VMs and the replicas
/// are asked.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause before the replicas are asked again.
const REPLICA_INTERVAL: Duration = Duration::from_millis(40);

/// Number of VMs that are asked at once after the first one did not answer.
const MAX_ASKED_VMS: usize = 4;

/// Shortest time for which an acknowledged commit waits for evidence, however late its answer
/// came.
const MIN_EVIDENCE_WAIT: Duration = Duration::from_millis(150);

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
        let evidence = self.find_evidence(group, server, &commit, limit).await;
        self.metrics.evidence.with_label_values(&[evidence.label()]).inc();
        if !evidence.is_sufficient() {
            self.log_unproven(&group.borrow(), &commit, evidence);
        }
        evidence.is_sufficient()
    }

    async fn find_evidence(
        self: &Rc<Self>,
        group: &Rc<RefCell<Group>>,
        server: &ServerId,
        commit: &Commit,
        limit: Duration,
    ) -> Evidence {
        let deadline = commit.answered + limit.max(MIN_EVIDENCE_WAIT);
        // Without an entry, nothing says where the primary runs.
        let entry = group.borrow().servers.get(server).map(|entry| entry.data_centre.clone());
        let Some(data_centre) = entry else { return Evidence::Missing };
        if let Some(found) = self.await_contact(group, commit, &data_centre, 1).await {
            return found;
        }
        while clock::now() < deadline {
            if self.has_copy(group, server, &data_centre, commit).await {
                return Evidence::Copy;
            }
            let count = MAX_ASKED_VMS;
            if let Some(found) = self.await_contact(group, commit, &data_centre, count).await {
                return found;
            }
        }
        Evidence::Missing
    }

    /// Asks `count` VMs to show contact with `data_centre`, and waits for an answer that
    /// decides about the commit.
    async fn await_contact(
        &self,
        group: &RefCell<Group>,
        commit: &Commit,
        data_centre: &DataCentreId,
        count: usize,
    ) -> Option<Evidence> {
        let name = group.borrow().view.group.clone();
        let limit = clock::now() + CONTACT_TIMEOUT;
        let mut is_asked = false;
        loop {
            let answered = self.fleet.questions.answered.notified();
            let known = self.knowledge(&group.borrow(), data_centre);
            let found = commit.evidence(&known);
            if found.is_some() {
                return found;
            }
            if !std::mem::replace(&mut is_asked, true) {
                self.ask_contact(&name, commit.position, data_centre, count);
            }
            // The answer matters only for replicas in the primary's data centre.
            if !known.steady || commit.may_be_replaced(&known) {
                return None;
            }
            timeout(limit.since(clock::now()), answered).await.ok()?;
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
        }
    }

    /// Returns whether one of the replicas that every failover knows holds the commit. Takes
    /// some time if none does.
    async fn has_copy(
        self: &Rc<Self>,
        group: &Rc<RefCell<Group>>,
        server: &ServerId,
        data_centre: &DataCentreId,
        commit: &Commit,
    ) -> bool {
        if group.borrow_mut().replicas.poll.try_start() {
            let (engine, group, server) = (Rc::clone(self), Rc::clone(group), server.clone());
            // The poll serves all commits that wait, also after this one has ended.
            actix::spawn(async move {
                engine.poll_replicas(&group, &server).await;
                sleep(REPLICA_INTERVAL).await;
                group.borrow_mut().replicas.poll.end();
            });
        }
        let end = clock::now() + ANSWER_TIMEOUT;
        loop {
            let polled = self.fleet.questions.answered.notified();
            if self.is_held(&group.borrow(), server, data_centre, commit) {
                return true;
            }
            if timeout(end.since(clock::now()).min(REPLICA_INTERVAL), polled).await.is_err() {
                return false;
            }
        }
    }

    /// Returns whether one of the replicas has reported that it holds the commit.
    fn is_held(
        &self,
        group: &Group,
        server: &ServerId,
        data_centre: &DataCentreId,
        commit: &Commit,
    ) -> bool {
        let known = self.knowledge(group, data_centre);
        let replicas = group.reported_replicas(server, known.now);
        replicas.iter().any(|replica| commit.is_held_by(replica, &known))
    }

    /// Asks all replicas for their status.
    async fn poll_replicas(self: &Rc<Self>, group: &RefCell<Group>, server: &ServerId) {
        let replicas = group.borrow().others(server);
        let ask = |entry: ServerEntry| async move {
            let command = send_command(self, &entry.server, Command::Status);
            let status = timeout(ANSWER_TIMEOUT, command).await.ok().flatten();
            group.borrow_mut().replicas.record(entry.server, status.map(Into::into));
            self.fleet.questions.answered.notify_waiters();
        };
        join_all(replicas.into_iter().map(ask)).await;
    }

    fn log_unproven(&self, group: &Group, commit: &Commit, evidence: Evidence) {
        let now = clock::now();
        let silence = self.fleet.far_silence(now);
        self.event_log.record(
            Event::CommitUnproven,
            o!(
                "group" => group.view.group.to_string(),
                "position" => commit.position.to_string(),
                "term" => group.view.term.get(),
                "reason" => evidence.label(),
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
