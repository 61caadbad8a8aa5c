//! Barriers: positions that the primary of a group had at a known time.
//!
//! A barrier that began after a session arrived covers everything that the
//! session may have done elsewhere. One that began at a time bounds the age of
//! what a replica shows that has applied its position. One round at a time runs
//! for each group, and everybody who waits shares its result.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use chicoryhollow_core::{prelude::*, retry::Backoff};
use pgwire::messages::simplequery::Query;
use tokio::{sync::watch, time::timeout};

use crate::{
    node::Node,
    stream::{Access, Batch, OpenRequest, Refused, Stream, StreamEvent},
    wire,
};

/// Longest time that one round may take, in milliseconds.
const ROUND_MS: u64 = 2_000;

/// A barrier that was taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Barrier {
    /// Time at which it began, on this VM's clock.
    pub(crate) began: Time,
    /// Position that the primary had at some time after that.
    pub(crate) position: Position,
}

/// The barriers of all groups.
#[derive(Default)]
pub(crate) struct Barriers {
    cells: Mutex<HashMap<GroupId, Arc<Cell>>>,
}

#[derive(Default)]
struct Cell {
    running: AtomicBool,
    state: watch::Sender<State>,
}

#[derive(Clone, Copy, Default)]
struct State {
    latest: Option<Barrier>,
    refusal: Option<Refusal>,
}

impl Barriers {
    /// Returns a barrier of `group` that began at `since` or later, waiting
    /// until `until` for one.
    ///
    /// # Errors
    ///
    /// Returns why the last round failed.
    pub(crate) async fn since(
        &self,
        node: &Arc<Node>,
        (group, account): (&GroupId, &AccountId),
        since: Time,
        until: Time,
    ) -> Result<Barrier, Refusal> {
        let cell = self.cell(group);
        let mut states = cell.state.subscribe();
        let mut backoff = Backoff::new();
        let mut last = Refusal::NoPrimary;
        loop {
            let state = *states.borrow_and_update();
            if let Some(barrier) = state.latest.filter(|barrier| barrier.began >= since) {
                return Ok(barrier);
            }
            if let Some(refusal) = state.refusal {
                last = refusal;
                let pause = backoff.pause(&mut rand::rng());
                tokio::time::sleep(pause.min(until.since(node.clock.now()))).await;
            }
            cell.start(node, group, account);
            let left = until.since(node.clock.now());
            if left.is_zero() || timeout(left, states.changed()).await.is_err() {
                return Err(last);
            }
        }
    }

    /// Returns the newest barrier of `group`.
    pub(crate) fn latest(&self, group: &GroupId) -> Option<Barrier> {
        self.cell(group).state.borrow().latest
    }

    /// Starts a round unless one runs.
    pub(crate) fn refresh(&self, node: &Arc<Node>, group: &GroupId, account: &AccountId) {
        self.cell(group).start(node, group, account);
    }

    fn cell(&self, group: &GroupId) -> Arc<Cell> {
        let mut cells = self.cells.lock().expect("no thread panics with this lock");
        Arc::clone(cells.entry(group.clone()).or_default())
    }
}

impl Cell {
    fn start(self: &Arc<Self>, node: &Arc<Node>, group: &GroupId, account: &AccountId) {
        if self.running.swap(true, Ordering::AcqRel) {
            return;
        }
        let round = Arc::clone(self).run(Arc::clone(node), group.clone(), account.clone());
        tokio::spawn(round);
    }

    async fn run(self: Arc<Self>, node: Arc<Node>, group: GroupId, account: AccountId) {
        let began = node.clock.now();
        let taken = take(&node, &group, account, began).await;
        let state = match taken {
            Ok(position) => {
                node.entry
                    .with_estimates(&group, |e| e.record_position(position, node.clock.now()));
                State { latest: Some(Barrier { began, position }), refusal: None }
            }
            Err(refused) => {
                let latest = self.state.borrow().latest;
                State { latest, refusal: Some(refused.refusal) }
            }
        };
        self.running.store(false, Ordering::Release);
        self.state.send_replace(state);
    }
}

async fn take(
    node: &Arc<Node>,
    group: &GroupId,
    account: AccountId,
    began: Time,
) -> Result<Position, Refused> {
    let server = node.groups.view(group).primary.clone().ok_or(Refusal::NoPrimary)?;
    let deadline = began + Duration::from_millis(ROUND_MS);
    let request = OpenRequest {
        group: group.clone(),
        server,
        account,
        access: Access::Barrier,
        deadline,
        min_position: None,
        max_age_ms: None,
        max_wait_ms: 0,
    };
    let mut stream = Stream::open(node, request).await?;
    let messages = wire::encode(&Query::new(String::new()));
    stream.send(Batch { prepares: Vec::new(), messages, writes: false, deadline }).await?;
    loop {
        if let StreamEvent::Ready(ready) = stream.next().await? {
            return ready.position.ok_or_else(|| Refusal::NoPrimary.into());
        }
    }
}
