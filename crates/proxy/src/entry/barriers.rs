//! Barriers: positions that the primary of a group had reached at a known time.
//!
//! Two kinds of reads use them:
//!
//! * A barrier that began after a caller connected covers everything that the
//!   caller may have done before on other connections.
//! * A replica that has applied the position of a barrier shows data that is no
//!   older than the start of the barrier.
//!
//! At most one request for a position, called a round, runs for each group at a
//! time. All waiting reads share its result.

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

/// Maximum duration of one round, in milliseconds.
const ROUND_TIMEOUT_MS: u64 = 2_000;

/// The result of a round that succeeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Barrier {
    /// Time at which the round began, on this VM's clock.
    pub(crate) started_at: Time,
    /// Position of the primary at some time after the round began.
    pub(crate) position: Position,
}

/// The newest barriers of all groups.
#[derive(Default)]
pub(crate) struct Barriers {
    groups: Mutex<HashMap<GroupId, Arc<Rounds>>>,
}

/// The rounds of one group.
#[derive(Default)]
struct Rounds {
    is_running: AtomicBool,
    state: watch::Sender<RoundState>,
}

/// Results of the rounds of one group.
#[derive(Clone, Copy, Default)]
struct RoundState {
    latest: Option<Barrier>,
    /// Why the last round failed, if it did.
    refusal: Option<Refusal>,
}

impl Barriers {
    /// Returns a barrier of `group` that began at `since` or later, and waits
    /// for one until `until` if necessary.
    ///
    /// # Errors
    ///
    /// Returns the reason why the last round failed, or [`Refusal::NoPrimary`] if no
    /// round has failed by `until`.
    pub(crate) async fn barrier_since(
        &self,
        node: &Arc<Node>,
        (group, account): (&GroupId, &AccountId),
        since: Time,
        until: Time,
    ) -> Result<Barrier, Refusal> {
        let rounds = self.rounds(group);
        let mut states = rounds.state.subscribe();
        let mut backoff = Backoff::new();
        let mut last = Refusal::NoPrimary;
        loop {
            let state = *states.borrow_and_update();
            if let Some(barrier) = state.latest.filter(|barrier| barrier.started_at >= since) {
                return Ok(barrier);
            }
            if let Some(refusal) = state.refusal {
                last = refusal;
                let pause = backoff.pause(&mut rand::rng());
                tokio::time::sleep(pause.min(until.since(node.clock.now()))).await;
            }
            rounds.start_round(node, group, account);
            let left = until.since(node.clock.now());
            if left.is_zero() || timeout(left, states.changed()).await.is_err() {
                return Err(last);
            }
        }
    }

    /// Returns the newest barrier of `group`.
    pub(crate) fn latest(&self, group: &GroupId) -> Option<Barrier> {
        self.rounds(group).state.borrow().latest
    }

    /// Starts a round unless one is running.
    pub(crate) fn refresh(&self, node: &Arc<Node>, group: &GroupId, account: &AccountId) {
        self.rounds(group).start_round(node, group, account);
    }

    fn rounds(&self, group: &GroupId) -> Arc<Rounds> {
        let mut groups = self.groups.lock().expect("no thread panics with this lock");
        Arc::clone(groups.entry(group.clone()).or_default())
    }
}

impl Rounds {
    fn start_round(self: &Arc<Self>, node: &Arc<Node>, group: &GroupId, account: &AccountId) {
        if self.is_running.swap(true, Ordering::AcqRel) {
            return;
        }
        let round = Arc::clone(self).run_round(Arc::clone(node), group.clone(), account.clone());
        tokio::spawn(round);
    }

    async fn run_round(self: Arc<Self>, node: Arc<Node>, group: GroupId, account: AccountId) {
        let started_at = node.clock.now();
        let taken = take_barrier(&node, &group, account, started_at).await;
        let state = match taken {
            Ok(position) => {
                node.entry
                    .with_estimates(&group, |e| e.record_position(position, node.clock.now()));
                RoundState { latest: Some(Barrier { started_at, position }), refusal: None }
            }
            Err(refused) => {
                let latest = self.state.borrow().latest;
                RoundState { latest, refusal: Some(refused.refusal) }
            }
        };
        self.is_running.store(false, Ordering::Release);
        self.state.send_replace(state);
    }
}

/// Asks the primary of `group` for its position.
async fn take_barrier(
    node: &Arc<Node>,
    group: &GroupId,
    account: AccountId,
    started_at: Time,
) -> Result<Position, Refused> {
    let server = node.groups.view(group).primary.clone().ok_or(Refusal::NoPrimary)?;
    let deadline = started_at + Duration::from_millis(ROUND_TIMEOUT_MS);
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
