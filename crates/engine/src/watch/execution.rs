//! Carries out the actions of a failover: commands to servers, and promotions.

use std::{cell::RefCell, rc::Rc};

use chicoryhollow_core::{
    GroupId, ServerId, Term, Time,
    coordinator::OrderAnswer,
    failover::{Action, Cause, Failover, OrderAttempt, ReplicationStatus, Report},
};
use slog::o;

use super::RunningFailover;
use crate::{
    clock,
    coordinator::{Coordinator, ReplacedTerms},
    engine::Engine,
    log::Event,
    seam::{Directory, PromoteOrder, PromotionOutcome, ServerLink, ServerProtocol, ServerStatus},
    statement::{Answer, Command},
};

/// Executes an action of a failover in a separate task.
pub(super) fn execute<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    coordinator: &Rc<Coordinator>,
    running: &RunningFailover,
    action: Action,
) {
    let (failover, cleanup) = (Rc::clone(&running.failover), Rc::clone(&running.cleanup));
    let (engine, role) = (Rc::clone(engine), Rc::clone(coordinator));
    let group = running.group.clone();
    actix::spawn(async move {
        match action {
            Action::Fence(server, term) => {
                let status = send(&engine, &failover, &server, Command::Hold(term)).await;
                // A fence that is confirmed after the end has the cleanup as its owner, too.
                if status.is_none() || failover.borrow().has_ended() {
                    cleanup.borrow_mut().record_unanswered_fence(clock::now());
                }
            }
            Action::Poll(server) => {
                send(&engine, &failover, &server, Command::Status).await;
            }
            Action::Demote(server, term) => {
                demote(&engine, &failover, &group, &server, term).await;
            }
            Action::ListServers => list_servers(&engine, &failover, &group).await,
            Action::Promote(attempt) => promote(&engine, &role, &failover, &group, &attempt).await,
        }
    });
}

/// Sends a command to a server, unless the failover has ended meanwhile, and records its status,
/// which is returned if it answered.
async fn send<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    failover: &RefCell<Failover>,
    server: &ServerId,
    command: Command,
) -> Option<ReplicationStatus> {
    let is_wanted = || !failover.borrow().has_ended();
    let status = send_if(engine, server, command, is_wanted).await?;
    let status = ReplicationStatus::from(status);
    failover.borrow_mut().record_status(server, status, clock::now());
    engine.watch_wakeup.notify_one();
    Some(status)
}

/// Makes the old primary a replica.
async fn demote<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    failover: &RefCell<Failover>,
    group: &GroupId,
    server: &ServerId,
    term: Term,
) {
    let status = send(engine, failover, server, Command::StepDown(term)).await;
    engine.event_log.record(
        Event::PrimaryDemoted,
        o!(
            "group" => group.to_string(),
            "server" => server.to_string(),
            "term" => term.get(),
            "primary" => status.map(|status| status.primary),
            "received" => status.map(|status| status.received.to_string()),
        ),
    );
}

/// Reads from the directory which servers are registered, and lets the new ones join.
async fn list_servers<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    failover: &RefCell<Failover>,
    group: &GroupId,
) {
    let asked = clock::now();
    match engine.directory.servers().await {
        Ok(servers) => {
            engine.apply_servers(servers.version, servers.entries);
            let members = engine.group(group).borrow().members(clock::now());
            let mut failover = failover.borrow_mut();
            if failover.has_ended() {
                return;
            }
            failover.join(members);
            failover.record_list(asked);
        }
        Err(error) => {
            let fields = o!("group" => group.to_string(), "error" => error.to_string());
            engine.event_log.record(Event::ServersUnlisted, fields);
            failover.borrow_mut().record_list_failure();
        }
    }
    engine.watch_wakeup.notify_one();
}

/// Logs what the servers have reported to a failover at this `step`.
pub(super) fn log_reports<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    group: &GroupId,
    failover: &Failover,
    step: &'static str,
) {
    let now = clock::now();
    let servers: Vec<String> = failover.reports().map(|report| describe(&report, now)).collect();
    engine.event_log.record(
        Event::MembersReported,
        o!(
            "group" => group.to_string(),
            "step" => step,
            "term" => failover.term().get(),
            "servers" => servers.join(" "),
        ),
    );
}

fn describe(report: &Report<'_>, now: Time) -> String {
    let Some((status, answered)) = report.status.zip(report.answered) else {
        return format!("{}/silent", report.server);
    };
    let role = if status.primary { "primary" } else { "replica" };
    let age = now.since(answered).as_millis();
    let ReplicationStatus { term, received, fenced_term, .. } = status;
    format!("{}/{role}/{term}/{received}/{fenced_term}/{age}ms", report.server)
}

/// Sends a command to a server and returns its status, if it answered.
pub(crate) async fn send_command<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    server: &ServerId,
    command: Command,
) -> Option<ServerStatus> {
    send_if(engine, server, command, || true).await
}

/// Sends a command to a server as [`run_command`] does, and returns its status, if it reported one.
pub(super) async fn send_if<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    server: &ServerId,
    command: Command,
    is_wanted: impl FnOnce() -> bool,
) -> Option<ServerStatus> {
    S::Link::parse_status(&run_command(engine, server, command, is_wanted).await?)
}

/// Runs a command on a server, if `is_wanted` once there is a connection, and returns the answer.
/// A connection and an answer each have a time limit.
pub(crate) async fn run_command<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    server: &ServerId,
    command: Command,
    is_wanted: impl FnOnce() -> bool,
) -> Option<Answer> {
    let account = engine.any_account()?;
    let mut connection = engine.pool(server)?.take_control(&account).await.ok()?;
    if !is_wanted() {
        connection.give_back();
        return None;
    }
    let answer = connection.run_control(command).await.ok()?;
    connection.give_back();
    Some(answer)
}

async fn promote<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    coordinator: &Coordinator,
    failover: &RefCell<Failover>,
    group: &GroupId,
    attempt: &OrderAttempt,
) {
    let known = engine.group(group).borrow().peers.failover();
    let led = failover.borrow().replaced_term();
    let announced = known.map_or(led, |known| known.replaced);
    let (server, replaced) = (attempt.server(), ReplacedTerms { led, announced });
    let claim = || {
        let led = engine.group(group).borrow().newest_term();
        let mut failover = failover.borrow_mut();
        failover.record_led(led);
        failover.claim(attempt, clock::now())
    };
    let token = match coordinator.open_order(engine, group, server, replaced, claim).await {
        Ok(token) => token,
        Err(error) => {
            engine.metrics.unsent_orders.inc();
            let fields = o!(
                "group" => group.to_string(),
                "server" => server.to_string(),
                "reason" => error.to_string(),
            );
            engine.event_log.record(Event::OrderUnsent, fields);
            failover.borrow_mut().record_promotion_unsent(attempt, clock::now());
            return;
        }
    };
    log_reports(engine, group, &failover.borrow(), "ordered");
    let cause = failover.borrow().cause();
    let label = if cause == Cause::Planned { "planned" } else { "failure" };
    engine.metrics.promotions.with_label_values(&[label]).inc();
    let order = PromoteOrder {
        group: group.clone(),
        server: server.clone(),
        holder: engine.settings.vm.clone(),
        token,
    };
    let answer = engine.directory.promote(&order).await;
    engine.event_log.record(
        Event::PromotionOrdered,
        o!(
            "group" => group.to_string(),
            "server" => server.to_string(),
            "token" => token.get(),
            "cause" => label,
            "answer" => format!("{answer:?}"),
        ),
    );
    match answer {
        Ok(PromotionOutcome::Accepted) => {
            coordinator.record_answer(group, token, OrderAnswer::Accepted);
        }
        Ok(PromotionOutcome::Refused) => {
            coordinator.record_answer(group, token, OrderAnswer::Refused);
            failover.borrow_mut().record_promotion_refusal(attempt);
            coordinator.record_refusal();
        }
        // The order stays open: it may be carried out late.
        Err(_) => {}
    }
}
