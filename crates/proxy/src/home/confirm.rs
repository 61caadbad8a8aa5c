//! Waiting until a majority of a group holds a position.
//!
//! One control connection asks for the newest position that anybody waits for,
//! so that one answer confirms all writes up to it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use chicoryhollow_core::prelude::*;
use tokio::{sync::watch, time::timeout};

use super::control::{BackendError, Control, ControlRow};
use crate::node::Node;

/// Longest time for which the server holds one question, in milliseconds.
const ROUND_MS: u64 = 500;

/// Margin for a question to travel, in milliseconds.
const TRAVEL_MS: u64 = 2_000;

/// The newest confirmed position of one server.
pub(crate) struct Confirmed {
    address: SocketAddr,
    newest: watch::Sender<Position>,
    wanted: Mutex<Wanted>,
}

#[derive(Default)]
struct Wanted {
    position: Position,
    asking: bool,
}

impl Confirmed {
    /// Makes a tracker that knows of no confirmed position.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Confirmed { address, newest: watch::Sender::default(), wanted: Mutex::default() }
    }

    /// Waits until `position` is confirmed under its own term.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Unconfirmed`] when it is not by `deadline`.
    pub(crate) async fn wait(
        self: &Arc<Self>,
        node: &Arc<Node>,
        position: Position,
        deadline: Time,
    ) -> Result<(), Refusal> {
        let mut newest = self.newest.subscribe();
        if confirms(*newest.borrow(), position) {
            return Ok(());
        }
        self.want(node, position);
        let left = deadline.since(node.clock.now());
        let reached = newest.wait_for(|newest| confirms(*newest, position));
        match timeout(left, reached).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Refusal::Unconfirmed),
        }
    }

    /// Makes sure that somebody asks for `position`.
    fn want(self: &Arc<Self>, node: &Arc<Node>, position: Position) {
        let mut wanted = self.wanted.lock().expect("no thread panics with this lock");
        wanted.position = wanted.position.max(position);
        if !wanted.asking {
            wanted.asking = true;
            tokio::spawn(Arc::clone(self).ask(Arc::clone(node)));
        }
    }

    /// Returns the newest position still wanted, or ends the asking.
    fn next_wanted(&self) -> Option<Position> {
        let mut wanted = self.wanted.lock().expect("no thread panics with this lock");
        let open = !confirms(*self.newest.borrow(), wanted.position);
        wanted.asking = open;
        open.then_some(wanted.position)
    }

    async fn ask(self: Arc<Self>, node: Arc<Node>) {
        let mut control = None;
        while let Some(position) = self.next_wanted() {
            if let Err(_failed) = self.round(&node, &mut control, position).await {
                control = None;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn round(
        &self,
        node: &Node,
        control: &mut Option<Control>,
        position: Position,
    ) -> Result<(), BackendError> {
        if control.is_none() {
            *control = Some(Control::connect(self.address, &node.settings.backend).await?);
        }
        let connection = control.as_mut().ok_or(BackendError::Closed)?;
        let question = format!("await_confirmed({}, {ROUND_MS})", position.lsn());
        let patience = Duration::from_millis(ROUND_MS + TRAVEL_MS);
        let answer = timeout(patience, connection.call(&question)).await;
        let confirmed = confirmed(&answer.map_err(|_| BackendError::Closed)??);
        self.newest.send_if_modified(|newest| {
            let newer = confirmed > *newest;
            *newest = confirmed.max(*newest);
            newer
        });
        Ok(())
    }
}

/// Tells whether a confirmed position covers `position`.
fn confirms(confirmed: Position, position: Position) -> bool {
    confirmed.term() == position.term() && confirmed.lsn() >= position.lsn()
}

fn confirmed(row: &ControlRow) -> Position {
    let number = |name: &str| row.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    Position::new(Term::new(number("term")), Lsn::new(number("confirmed")))
}
