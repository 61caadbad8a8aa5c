//! Election of the failover coordinator, the one VM that replaces primaries.
//!
//! A row of the directory names the VM that holds the role. The VMs that read the
//! directory claim the role when its holder stops renewing the row; they read the row
//! only if no other VM has reported a renewal lately. The holder's orders carry a fencing
//! token, so that orders of an earlier holder are refused.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    VmId,
    coordinator::{CoordinatorLease, CoordinatorRow, FencingToken, RowObservation, Step, row_key},
    version::DirectoryVersion,
};
use serde::{Deserialize, Serialize};
use slog::o;
use tokio::time::sleep;

use crate::{
    clock,
    engine::{Engine, Phase, ROW_TRUST_SPAN},
    log::Event,
    seam::{Directory, DirectoryError, Row, RowWrite, ServerProtocol, WriteOutcome},
};

/// Table of the coordinator's row.
const COORDINATOR_TABLE: &str = "duties";

/// Pause between two checks of whether the row must be read or written.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The same pause on a VM that does not read the directory.
const STANDBY_INTERVAL: Duration = Duration::from_millis(400);

/// Content of the coordinator's row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Content {
    holder: Option<String>,
    incarnation: u64,
    /// Whether the holder has known the era of the directory for so long that all that was
    /// missing after its restore has been written again.
    #[serde(default)]
    settled: bool,
}

/// This VM's claim to the role of failover coordinator.
pub(crate) struct Coordinator {
    lease: RefCell<CoordinatorLease>,
    /// Whether an outage of the directory lets the holder keep the role: no other VM can
    /// take it, and if one did, orders with the older token would be refused.
    outage: Cell<bool>,
}

impl Coordinator {
    /// Creates a claim that does not hold the role yet.
    pub(crate) fn new(vm: VmId, incarnation: u64) -> Self {
        let lease = RefCell::new(CoordinatorLease::new(vm, incarnation, clock::now()));
        Coordinator { lease, outage: Cell::new(false) }
    }

    /// Returns the fencing token, or `None` if this VM is not the coordinator.
    pub(crate) fn token(&self) -> Option<FencingToken> {
        let lease = self.lease.borrow();
        let last = || lease.last_token().filter(|_| self.outage.get());
        lease.token(clock::now()).or_else(last)
    }

    /// Returns the token of the next order, or `None` if this VM may not give one.
    pub(crate) fn order_token(&self) -> Option<FencingToken> {
        let held = self.token()?;
        self.lease.borrow_mut().next_order(held)
    }

    /// Records that an order was refused because of its token.
    pub(crate) fn record_refusal(&self) {
        self.lease.borrow_mut().record_refusal(clock::now());
    }

    /// Claims and renews the role until the daemon drains, then releases it.
    pub(crate) async fn run<S: ServerProtocol, D: Directory>(
        self: Rc<Self>,
        engine: Rc<Engine<S, D>>,
    ) {
        let mut last_token = None;
        loop {
            self.outage.set(engine.outage().keeps_role());
            let token = self.token();
            if token.is_some() != last_token.is_some() {
                let event = if token.is_some() {
                    Event::CoordinatorRoleTaken
                } else {
                    Event::CoordinatorRoleLost
                };
                engine
                    .event_log
                    .record(event, o!("token" => token.or(last_token).map(FencingToken::get)));
            }
            last_token = token;
            if engine.phase() != Phase::Serving {
                if last_token.is_some() {
                    self.release(&engine).await;
                }
                return;
            }
            self.advance(&engine).await;
        }
    }

    async fn advance<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let step = self.lease.borrow_mut().next_step(clock::now());
        let is_reader = engine.relay.borrow().is_reader() && !engine.is_row_renewed();
        let reads = is_reader || self.lease.borrow().is_disputed();
        match step {
            Step::Wait(_) => sleep(POLL_INTERVAL).await,
            // Readers of the directory pass on what they read. Polls by other VMs
            // would only add load to the directory.
            Step::Read if !reads => sleep(STANDBY_INTERVAL).await,
            Step::Read => self.poll_row(engine).await,
            Step::Write(expected) => {
                let holder = Some(engine.settings.vm.to_string());
                let asked = clock::now();
                let written = engine.directory.write(&write(engine, expected, holder)).await;
                let mut lease = self.lease.borrow_mut();
                match written {
                    Ok(WriteOutcome::Done(version)) => {
                        lease.record_write(version, asked, clock::now());
                        // Others need not read a row that is known to be renewed.
                        engine.record_row_observation(RowObservation { version, since: asked });
                    }
                    Ok(WriteOutcome::Conflict) => lease.record_conflict(clock::now()),
                    Err(DirectoryError::TurnedAway | DirectoryError::Unanswered) => {
                        lease.record_failure(clock::now());
                    }
                }
            }
        }
    }

    async fn poll_row<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let rows = engine.directory.rows(COORDINATOR_TABLE).await;
        let mut lease = self.lease.borrow_mut();
        match rows {
            Ok(rows) => {
                let era = rows.version.era();
                engine.record_era(era);
                let key = row_key(era);
                let row = rows.rows.iter().find(|row| row.key == key).map(parse_row);
                lease.record_row(row.as_ref(), era, engine.row_observation(), clock::now());
                if let Some(observation) = lease.observation() {
                    engine.record_row_observation(observation);
                }
            }
            Err(_) => lease.record_failure(clock::now()),
        }
    }

    async fn release<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let step = self.lease.borrow().version();
        let Some(expected) = step else { return };
        // If no answer arrives, the lease expires.
        let written = engine.directory.write(&write(engine, expected, None)).await;
        if let Ok(WriteOutcome::Done(version)) = written {
            // Others learn that the row has changed and is not renewed, and read it at once.
            let since = clock::now() - ROW_TRUST_SPAN;
            engine.record_row_observation(RowObservation { version, since });
            engine.announce();
        }
    }
}

fn write<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    expected: DirectoryVersion,
    holder: Option<String>,
) -> RowWrite {
    let content = Content {
        holder,
        incarnation: engine.settings.incarnation,
        settled: engine.is_era_settled(),
    };
    RowWrite {
        table: COORDINATOR_TABLE,
        key: row_key(expected.era()),
        expected: Some(expected),
        value: serde_json::to_vec(&content).ok(),
    }
}

/// Reads whether the last coordinator found the directory complete, in its present era.
pub(crate) async fn reads_settled_era<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
) -> bool {
    let Ok(rows) = engine.directory.rows(COORDINATOR_TABLE).await else { return false };
    let key = row_key(rows.version.era());
    let row = rows.rows.iter().find(|row| row.key == key);
    let content = row.and_then(|row| serde_json::from_slice::<Content>(&row.value).ok());
    content.is_some_and(|content| content.settled)
}

/// Parses the row. A row that cannot be parsed has no holder.
fn parse_row(row: &Row) -> CoordinatorRow {
    let content = serde_json::from_slice::<Content>(&row.value).ok();
    let incarnation = content.as_ref().map_or(0, |content| content.incarnation);
    let holder = content.and_then(|content| VmId::new(content.holder?).ok());
    CoordinatorRow { holder, incarnation, version: row.version }
}
