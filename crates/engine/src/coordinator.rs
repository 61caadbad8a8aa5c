//! Election of the failover coordinator, the one VM that replaces primaries.
//!
//! A row of the directory names the VM that holds the role. The VMs that read the
//! directory claim the role when its holder stops renewing the row; they read the row
//! only if no other VM has reported a renewal lately. The holder's orders carry a fencing
//! token, so that orders of an earlier holder are refused.

mod orders;
mod row;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    VmId,
    coordinator::{CoordinatorLease, FailoverMemory, FencingToken, RowObservation, Step},
    version::DirectoryVersion,
};
use slog::o;
use tokio::{sync::Mutex, time::sleep};

pub(crate) use self::{orders::ReplacedTerms, row::reads_settled_era};

use self::row::{COORDINATOR_TABLE, StoredRow, row_write};

use crate::{
    clock,
    engine::{Engine, Phase, ROW_TRUST_SPAN},
    log::Event,
    seam::{Directory, DirectoryError, ServerProtocol, WriteOutcome},
};

/// Pause between two checks of whether the row must be read or written.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The same pause on a VM that does not read the directory.
const STANDBY_INTERVAL: Duration = Duration::from_millis(400);

/// This VM's claim to the role of failover coordinator.
pub(crate) struct Coordinator {
    lease: RefCell<CoordinatorLease>,
    /// Whether an outage of the directory lets the holder keep the role: no other VM can
    /// take it, and if one did, orders with the older token would be refused.
    outage: Cell<bool>,
    /// What a later holder must know of failovers.
    memory: RefCell<FailoverMemory>,
    /// Held during a call that reads or writes the row, so that an order and a renewal do not
    /// write the same version.
    calls: Mutex<()>,
}

impl Coordinator {
    /// Creates a claim that does not hold the role yet.
    pub(crate) fn new(vm: VmId, incarnation: u64) -> Self {
        let now = clock::now();
        Coordinator {
            lease: RefCell::new(CoordinatorLease::new(vm, incarnation, now)),
            outage: Cell::new(false),
            memory: RefCell::new(FailoverMemory::new(now)),
            calls: Mutex::new(()),
        }
    }

    /// Returns the fencing token, or `None` if this VM is not the coordinator.
    pub(crate) fn token(&self) -> Option<FencingToken> {
        let lease = self.lease.borrow();
        let last = || lease.last_token().filter(|_| self.outage.get());
        lease.token(clock::now()).or_else(last)
    }

    /// Returns whether no other VM takes the role within `span`, as far as this VM knows.
    pub(crate) fn keeps_role_for(&self, span: Duration) -> bool {
        let is_held = self.lease.borrow().token(clock::now() + span).is_some();
        is_held || (self.outage.get() && self.token().is_some())
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
                if token.is_some() {
                    self.report_recalled(&engine);
                    engine.watch_wakeup.notify_one();
                } else {
                    engine.metrics.open_orders.set(0);
                }
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
        let turn = self.calls.lock().await;
        let step = self.lease.borrow_mut().next_step(clock::now());
        let is_reader = engine.relay.borrow().is_reader() && !engine.is_row_renewed();
        let reads = is_reader || self.lease.borrow().is_disputed();
        match step {
            Step::Wait(_) => {
                drop(turn);
                sleep(POLL_INTERVAL).await;
            }
            // Readers of the directory pass on what they read. Polls by other VMs
            // would only add load to the directory.
            Step::Read if !reads => {
                drop(turn);
                sleep(STANDBY_INTERVAL).await;
            }
            Step::Read => self.poll_row(engine).await,
            Step::Write(expected) => self.write(engine, expected).await,
        }
    }

    /// Writes the row with everything that it has to carry, while `calls` is held.
    async fn write<S: ServerProtocol, D: Directory>(
        &self,
        engine: &Engine<S, D>,
        expected: DirectoryVersion,
    ) {
        let holder = Some(engine.settings.vm.to_string());
        let asked = clock::now();
        let (record, revision) = self.record(engine);
        let written = engine.directory.write(&row_write(engine, expected, holder, record)).await;
        let mut lease = self.lease.borrow_mut();
        match written {
            Ok(WriteOutcome::Done(version)) => {
                lease.record_write(version, asked, clock::now());
                self.memory.borrow_mut().record_written(revision);
                // Others need not read a row that is known to be renewed.
                engine.record_row_observation(RowObservation { version, since: asked });
            }
            Ok(WriteOutcome::Conflict) => lease.record_conflict(clock::now()),
            Err(DirectoryError::TurnedAway | DirectoryError::Unanswered) => {
                lease.record_failure(clock::now());
            }
        }
    }

    async fn poll_row<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let rows = engine.directory.rows(COORDINATOR_TABLE).await;
        let now = clock::now();
        let mut lease = self.lease.borrow_mut();
        match rows {
            Ok(rows) => {
                let era = rows.version.era();
                engine.record_era(era);
                let stored = StoredRow::find(&rows, era);
                match &stored {
                    Some(stored) if lease.is_own(&stored.row) => {}
                    Some(stored) => {
                        let version = stored.row.version;
                        self.memory.borrow_mut().record_row(&stored.record, version, now);
                        if !stored.record.orders.is_empty() {
                            engine.watch_wakeup.notify_one();
                        }
                    }
                    None => {
                        let earlier = StoredRow::find_newest(&rows);
                        let earlier = earlier.as_ref();
                        let earlier = earlier.map(|stored| (&stored.record, stored.row.version));
                        self.memory.borrow_mut().record_absence(era, earlier, now);
                    }
                }
                let row = stored.map(|stored| stored.row);
                lease.record_row(row.as_ref(), era, engine.row_observation(), now);
                if let Some(observation) = lease.observation() {
                    engine.record_row_observation(observation);
                }
            }
            Err(_) => lease.record_failure(now),
        }
    }

    async fn release<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let _turn = self.calls.lock().await;
        let Some(expected) = self.lease.borrow().version() else { return };
        let (record, _) = self.record(engine);
        // If no answer arrives, the lease expires.
        let written = engine.directory.write(&row_write(engine, expected, None, record)).await;
        if let Ok(WriteOutcome::Done(version)) = written {
            // Others learn that the row has changed and is not renewed, and read it at once.
            let since = clock::now() - ROW_TRUST_SPAN;
            engine.record_row_observation(RowObservation { version, since });
            engine.announce();
        }
    }
}
