//! Probes of primaries that have not answered for a while.

use std::{cell::RefCell, rc::Rc, time::Duration};

use chicoryhollow_core::{ServerId, Time};

use super::{GroupWatch, send_command};
use crate::{
    clock,
    engine::Engine,
    group::{Group, Source},
    seam::{Directory, ServerProtocol},
    single_flight::SingleFlight,
    statement::{Access, Command, FaultKind},
};

/// Time without an answer of the primary after which it is probed.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(250);

/// Minimum time between two probes of a group.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a probe if no server has answered as the primary for a while: asks the
/// known primary whether it still has that role, or all servers if none is known.
pub(super) fn start<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &Rc<RefCell<Group>>,
    watched: &mut GroupWatch,
    now: Time,
) {
    let (primary, is_silent) = {
        let group = group.borrow();
        let known = group.view.primary.clone().filter(|name| group.servers.contains_key(name));
        (known, now.since(group.last_response()) >= PROBE_AFTER_SILENCE)
    };
    if !is_silent
        || now.since(watched.last_probe) < PROBE_INTERVAL
        || !watched.probe.borrow_mut().try_start()
    {
        return;
    }
    watched.last_probe = now;
    let (engine, group) = (Rc::clone(engine), Rc::clone(group));
    let guard = ProbeGuard(Rc::clone(&watched.probe));
    actix::spawn(async move {
        match primary {
            Some(server) => probe_primary(&engine, &group, &server).await,
            None => find_primary(&engine, &group).await,
        }
        drop(guard);
    });
}

/// Ends a probe even if its task is dropped.
struct ProbeGuard(Rc<RefCell<SingleFlight>>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().end();
    }
}

async fn probe_primary<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &RefCell<Group>,
    server: &ServerId,
) {
    let Some((account, pool)) = engine.any_account().zip(engine.pool(server)) else { return };
    let asked = clock::now();
    let answer = match pool.take_control(&account).await {
        Ok(mut connection) => {
            let answer = connection.run_control(Command::Begin(Access::Write, None)).await;
            if answer.is_ok() {
                connection.roll_back().await;
            }
            answer.ok()
        }
        Err(_) => None,
    };
    let now = clock::now();
    match answer.map(|answer| (answer.result, answer.position)) {
        Some((Ok(_), Some(position))) => {
            let changed = group.borrow_mut().record_primary(server, position, asked, now);
            if changed {
                engine.record_primary_change(&group.borrow(), Source::Answer);
            }
        }
        Some((Err(fault), _)) if fault.kind == FaultKind::NotPrimary => {
            group.borrow_mut().record_denial(server, now);
            engine.record_primary_change(&group.borrow(), Source::Answer);
        }
        _ => group.borrow_mut().record_primary_failure(server, asked),
    }
}

/// Asks every server of a group whether it is the primary.
async fn find_primary<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &RefCell<Group>,
) {
    let servers: Vec<ServerId> = group.borrow().servers.keys().cloned().collect();
    let answers = servers.iter().map(|server| send_command(engine, server, Command::Status));
    let answers = futures_util::future::join_all(answers).await;
    let primary = servers
        .iter()
        .zip(answers)
        .filter_map(|(server, status)| Some((server, status?)))
        .filter(|(_, status)| status.is_primary)
        .max_by_key(|(_, status)| status.term);
    if let Some((server, status)) = primary {
        let changed = group.borrow_mut().adopt(server, status.term);
        if changed {
            engine.record_primary_change(&group.borrow(), Source::Answer);
        }
    }
}
