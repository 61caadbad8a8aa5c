//! Status questions to replicas, shared by all that wait for an answer.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{ServerId, durability::ReplicaAnswer};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};

use super::ANSWER_TIMEOUT;
use crate::{
    catalog::ServerEntry,
    clock,
    engine::Engine,
    group::{Group, Requester},
    seam::{Directory, ServerLink, ServerProtocol},
    statement::Command,
    watch::run_command,
};

/// Pause before this VM itself asks all replicas again.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Asks a replica for its status. If a question to it is in flight, `requester` waits for the
    /// next one.
    pub(crate) fn request_status(
        self: &Rc<Self>,
        group: &Rc<RefCell<Group>>,
        server: &ServerId,
        requester: Requester,
    ) {
        if group.borrow_mut().replicas.add_request(server, requester) {
            let (engine, group, server) = (Rc::clone(self), Rc::clone(group), server.clone());
            actix::spawn(async move { engine.answer_requests(&group, &server).await });
        }
    }

    /// Asks a replica for its status until no request waits.
    async fn answer_requests(self: &Rc<Self>, group: &RefCell<Group>, server: &ServerId) {
        loop {
            let requesters = group.borrow_mut().replicas.take_requests(server);
            if requesters.is_empty() {
                return;
            }
            let answer = self.ask_status(group, server).await;
            for requester in requesters {
                if let Requester::Vm(question) = requester {
                    self.send_report(group, server, &question, answer);
                }
            }
        }
    }

    /// Asks a replica for its status, and records the answer.
    async fn ask_status(
        self: &Rc<Self>,
        group: &RefCell<Group>,
        server: &ServerId,
    ) -> Option<ReplicaAnswer> {
        let asked = clock::now();
        let answer = timeout(ANSWER_TIMEOUT, self.send_status(server)).await.ok().flatten();
        group.borrow_mut().replicas.record(server, asked, answer);
        self.fleet.questions.answered.notify_waiters();
        answer
    }

    /// Returns what a replica answers to a question for its status. An answer without a status
    /// shows that it is busy.
    async fn send_status(&self, server: &ServerId) -> Option<ReplicaAnswer> {
        let answer = run_command(self, server, Command::Status, || true).await?;
        let status = S::Link::parse_status(&answer);
        Some(status.map_or(ReplicaAnswer::Busy, |status| ReplicaAnswer::Status(status.into())))
    }

    /// Asks all replicas directly, for all commits that wait.
    pub(super) fn poll_replicas(self: &Rc<Self>, group: &Rc<RefCell<Group>>, server: &ServerId) {
        if !group.borrow_mut().replicas.round.try_start() {
            return;
        }
        let others = group.borrow().others(server);
        let (engine, group) = (Rc::clone(self), Rc::clone(group));
        actix::spawn(async move {
            let ask = |entry: ServerEntry| {
                let (engine, group) = (Rc::clone(&engine), Rc::clone(&group));
                async move { engine.ask_status(&group, &entry.server).await }
            };
            join_all(others.into_iter().map(ask)).await;
            sleep(ROUND_INTERVAL).await;
            group.borrow_mut().replicas.round.end();
        });
    }
}
