//! Checks whether missing servers that were leaving have ended as planned.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use chicoryhollow_core::{ServerId, Time};
use slog::o;
use tokio::time::timeout;

use super::GroupWatch;
use crate::{
    engine::Engine,
    group::Group,
    log::Event,
    seam::{Directory, LinkError, ServerProtocol, Target},
};

/// Minimum time between two checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time limit for the answer of one address.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a check of each missing server that may have ended.
pub(super) fn start<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &Rc<RefCell<Group>>,
    watched: &mut GroupWatch,
    now: Time,
) {
    if now.since(watched.last_departure_check) < CHECK_INTERVAL {
        return;
    }
    watched.last_departure_check = now;
    for (server, address) in group.borrow().missing_servers.ended_candidates() {
        let (engine, group) = (Rc::clone(engine), Rc::clone(group));
        let server = server.clone();
        actix::spawn(async move { check(&engine, &group, server, address).await });
    }
}

async fn check<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    group: &RefCell<Group>,
    server: ServerId,
    address: SocketAddr,
) {
    let Some(account) = engine.any_account() else { return };
    let name = group.borrow().view.group.clone();
    let target = Target { server: server.clone(), address, group: name.clone(), account };
    let connected = timeout(CHECK_TIMEOUT, engine.protocol.connect(&target)).await;
    let reason = match connected {
        Ok(Ok(_)) => return,
        // It runs, and may be read again.
        Ok(Err(LinkError::Full)) => return,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer".to_owned(),
    };
    group.borrow_mut().missing_servers.record_unanswered(&server);
    engine.event_log.record(
        Event::ServerEnded,
        o!("group" => name.to_string(), "server" => server.to_string(), "reason" => reason),
    );
    engine.watch_wakeup.notify_one();
}
