//! Carries out the cleanup of fences that have outlived their failover.

use std::{cell::RefCell, rc::Rc};

use chicoryhollow_core::{
    GroupId, ServerId, Time,
    failover::{
        CleanupAction, FenceCleanup, FenceUse, RELEASE_TIMEOUT, ReplicationStatus,
        UNCONFIRMED_CLEANUP,
    },
};
use slog::o;
use tokio::time::timeout;

use super::{GroupWatch, execution::send_if};
use crate::{
    clock,
    coordinator::Coordinator,
    engine::Engine,
    group::Group,
    log::Event,
    seam::{Directory, ServerProtocol},
    statement::Command,
};

/// Returns the cleanup of a group. If this VM has just become the coordinator, the cleanup begins,
/// and requests of the last coordinator may still arrive while the last failover counts as running.
pub(super) fn of_group(
    watched: &mut GroupWatch,
    group: &Group,
    now: Time,
) -> Rc<RefCell<FenceCleanup>> {
    let cleanup = watched.cleanup.get_or_insert_with(|| {
        let mut cleanup = FenceCleanup::new();
        cleanup.start(now);
        let earlier = group.peers.failover();
        if earlier.is_some_and(|failover| failover.may_replace(failover.replaced, now)) {
            cleanup.record_unanswered_fence(now);
        }
        Rc::new(RefCell::new(cleanup))
    });
    Rc::clone(cleanup)
}

/// Sends the requests that are due, unless an order of the group may still be carried out or this
/// VM may lose the role before they are answered.
pub(super) fn advance<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    coordinator: &Coordinator,
    group: &RefCell<Group>,
    cleanup: &Rc<RefCell<FenceCleanup>>,
    now: Time,
) {
    let group = group.borrow();
    let name = &group.view.group;
    let votes = engine.fleet.failure_votes(name, UNCONFIRMED_CLEANUP, now);
    if group.unconfirmed(now) >= UNCONFIRMED_CLEANUP || votes.failed > 0 {
        cleanup.borrow_mut().start_unconfirmed(now);
    }
    let needed = FenceUse {
        running: false,
        ordered: coordinator.newest_order(name).is_some(),
        role_expiring: !coordinator.keeps_role_for(RELEASE_TIMEOUT),
    };
    let primary = group.view.primary.as_ref();
    let replicas = group.servers.keys().filter(|server| Some(*server) != primary);
    for action in cleanup.borrow_mut().next_actions(replicas, needed, now) {
        execute(engine, name, cleanup, action);
    }
}

/// Executes a request in a separate task.
fn execute<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &GroupId,
    cleanup: &Rc<RefCell<FenceCleanup>>,
    action: CleanupAction,
) {
    let (engine, group, cleanup) = (Rc::clone(engine), group.clone(), Rc::clone(cleanup));
    actix::spawn(async move {
        match action {
            CleanupAction::Poll(server) => {
                send(&engine, &cleanup, &server, Command::Status).await;
            }
            CleanupAction::Release(server) => release(&engine, &group, &cleanup, &server).await,
        }
        engine.watch_wakeup.notify_one();
    });
}

/// Lifts the fence of a replica.
async fn release<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &GroupId,
    cleanup: &RefCell<FenceCleanup>,
    server: &ServerId,
) {
    let fence = cleanup.borrow().fence(server);
    engine.metrics.lifted_fences.inc();
    let status = send(engine, cleanup, server, Command::Release).await;
    engine.event_log.record(
        Event::FenceLifted,
        o!(
            "group" => group.to_string(),
            "server" => server.to_string(),
            "fence" => fence.map(|term| term.get()),
            "term" => status.map(|status| status.term.get()),
            "received" => status.map(|status| status.received.to_string()),
        ),
    );
}

/// Sends a command to a replica and records its status, which is returned if it answered in time.
///
/// It is not sent if this process has stood still for longer than the time limit meanwhile: another
/// VM may replace the primary by then, and rely on the fence.
async fn send<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    cleanup: &RefCell<FenceCleanup>,
    server: &ServerId,
    command: Command,
) -> Option<ReplicationStatus> {
    let begun = clock::now();
    let is_wanted = || clock::now().since(begun) < RELEASE_TIMEOUT;
    let answer = timeout(RELEASE_TIMEOUT, send_if(engine, server, command, is_wanted)).await;
    let status = answer.ok().flatten().map(ReplicationStatus::from);
    match status {
        Some(status) => cleanup.borrow_mut().record_status(server, status),
        None => cleanup.borrow_mut().record_failure(server),
    }
    status
}
