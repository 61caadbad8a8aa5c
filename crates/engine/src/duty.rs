//! Keeps the row that says which VM replaces primaries.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    VmId,
    coordinator::{CoordinatorLease, CoordinatorRow, FencingToken, Step},
};
use serde::{Deserialize, Serialize};
use slog::o;
use tokio::time::sleep;

use crate::{
    clock,
    engine::{Engine, Phase},
    log::Event,
    seam::{Directory, DirectoryError, Row, RowWrite, ServerProtocol, WriteOutcome},
};

/// Table of the duty.
const TABLE: &str = "duties";

/// Key of the duty's row.
const KEY: &str = "succession";

/// Time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(100);

/// Content of the row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Content {
    holder: Option<String>,
    incarnation: u64,
}

/// This VM's claim to the duty.
pub(crate) struct Duty {
    tenure: RefCell<CoordinatorLease>,
    /// Whether no VM that this one hears gets answers from the directory. The
    /// holder then goes on: nobody can take the duty, and if somebody did, an
    /// order with the older token is refused.
    outage: Cell<bool>,
}

impl Duty {
    /// Makes a claim that holds nothing yet.
    pub(crate) fn new(vm: VmId, incarnation: u64) -> Self {
        let tenure = RefCell::new(CoordinatorLease::new(vm, incarnation, clock::now()));
        Duty { tenure, outage: Cell::new(false) }
    }

    /// Returns the fencing token while this VM has the duty.
    pub(crate) fn token(&self) -> Option<FencingToken> {
        let tenure = self.tenure.borrow();
        let last = || tenure.last_token().filter(|_| self.outage.get());
        tenure.token(clock::now()).or_else(last)
    }

    /// Takes note that an order was refused for its token.
    pub(crate) fn refused(&self) {
        self.tenure.borrow_mut().record_refusal(clock::now());
    }

    /// Keeps the row until the daemon drains, and then gives the duty back.
    pub(crate) async fn keep<S: ServerProtocol, D: Directory>(
        self: Rc<Self>,
        engine: Rc<Engine<S, D>>,
    ) {
        let mut held = None;
        loop {
            self.outage.set(engine.is_directory_down());
            let token = self.token();
            if token.is_some() != held.is_some() {
                let event = if token.is_some() {
                    Event::CoordinatorRoleTaken
                } else {
                    Event::CoordinatorRoleLost
                };
                engine
                    .event_log
                    .record(event, o!("token" => token.or(held).map(FencingToken::get)));
            }
            held = token;
            if engine.phase() != Phase::Serving {
                if held.is_some() {
                    self.give_back(&engine).await;
                }
                return;
            }
            self.advance(&engine).await;
        }
    }

    async fn advance<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let step = self.tenure.borrow_mut().next_step(clock::now());
        match step {
            Step::Wait(_) => sleep(TICK).await,
            // Others would only make the directory answer the same question often.
            Step::Read if !engine.relay.borrow().is_reader() => sleep(TICK).await,
            Step::Read => self.look(engine).await,
            Step::Write(expected) => {
                let holder = Some(engine.settings.vm.to_string());
                let asked = clock::now();
                let written = engine.directory.write(&write(engine, expected, holder)).await;
                let mut tenure = self.tenure.borrow_mut();
                match written {
                    Ok(WriteOutcome::Done(version)) => {
                        tenure.record_write(version, asked, clock::now())
                    }
                    Ok(WriteOutcome::Conflict) => tenure.record_conflict(clock::now()),
                    Err(DirectoryError::TurnedAway | DirectoryError::Unanswered) => {
                        tenure.record_failure(clock::now());
                    }
                }
            }
        }
    }

    async fn look<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let rows = engine.directory.rows(TABLE).await;
        let mut tenure = self.tenure.borrow_mut();
        match rows {
            Ok(rows) => {
                let row = rows.rows.iter().find(|row| row.key == KEY).map(duty_row);
                tenure.record_row(row.as_ref(), engine.duty_sight(), clock::now());
                if let Some(sight) = tenure.observation() {
                    engine.saw_duty(sight);
                }
            }
            Err(_) => tenure.record_failure(clock::now()),
        }
    }

    async fn give_back<S: ServerProtocol, D: Directory>(&self, engine: &Engine<S, D>) {
        let step = self.tenure.borrow().version();
        if let Some(expected) = step {
            // Without an answer the lease simply runs out.
            let _ = engine.directory.write(&write(engine, expected, None)).await;
        }
    }
}

fn write<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    expected: u64,
    holder: Option<String>,
) -> RowWrite {
    let content = Content { holder, incarnation: engine.settings.incarnation };
    RowWrite {
        table: TABLE,
        key: KEY.to_owned(),
        expected: Some(expected),
        value: serde_json::to_vec(&content).ok(),
    }
}

/// Reads a row; one that cannot be read names no holder.
fn duty_row(row: &Row) -> CoordinatorRow {
    let content = serde_json::from_slice::<Content>(&row.value).ok();
    let incarnation = content.as_ref().map_or(0, |content| content.incarnation);
    let holder = content.and_then(|content| VmId::new(content.holder?).ok());
    CoordinatorRow { holder, incarnation, version: row.version }
}
