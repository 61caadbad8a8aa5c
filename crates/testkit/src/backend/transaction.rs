//! Runs the statements of a session in its transactions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use pgwire::messages::response::TransactionStatus;
use tokio::sync::Notify;

use crate::backend::{
    core::{Core, Role},
    datum::{Datum, oid},
    engine::{Answer, Column, OpenWrite},
    error::SqlError,
    node::Node,
    statement::{Kind, Statement},
};

/// Setting that limits how long a transaction may be idle.
const IDLE_TIMEOUT_SETTING: &str = "idle_in_transaction_session_timeout";

/// Result of a finished statement, with its command tag.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) answer: Answer,
    pub(crate) tag: String,
}

impl Outcome {
    /// Makes the outcome of a statement without rows.
    pub(crate) fn with_tag(tag: impl Into<String>) -> Self {
        Outcome { answer: Answer::default(), tag: tag.into() }
    }
}

/// State of a session's transaction.
#[derive(Debug, Default)]
enum Transaction {
    /// No transaction is open.
    #[default]
    Idle,
    /// The server opened a transaction, which ends with the request.
    Implicit(Block),
    /// The client opened a transaction.
    Explicit(Block),
    /// A transaction of the client failed; the client has to end it.
    Failed,
}

/// An open transaction.
#[derive(Debug, Default)]
struct Block {
    read_only: bool,
    xid: Option<u64>,
    write: Option<Write>,
}

/// An open write transaction. Dropping it rolls it back.
#[derive(Debug)]
struct Write {
    node: Arc<Node>,
    epoch: u64,
    /// The engine's part of it, or none once the commit has started.
    open: Option<OpenWrite>,
}

impl Drop for Write {
    fn drop(&mut self) {
        let Some(open) = &self.open else { return };
        self.node.update(|core| {
            if core.epoch == self.epoch {
                core.engine.rollback(open);
                core.quiesce.remove_writer();
            }
        });
    }
}

/// Runs the statements of one session.
#[derive(Debug)]
pub(crate) struct Executor {
    node: Arc<Node>,
    limited: bool,
    cancel: Arc<Notify>,
    transaction: Transaction,
    idle_timeout: Option<Duration>,
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.abort();
    }
}

impl Executor {
    /// Makes the executor of a session. Statements of a `limited` session need a
    /// slot.
    pub(crate) fn new(node: Arc<Node>, limited: bool, cancel: Arc<Notify>) -> Self {
        Executor { node, limited, cancel, transaction: Transaction::Idle, idle_timeout: None }
    }

    /// Returns the transaction status that is reported to the client.
    pub(crate) fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::Idle | Transaction::Implicit(_) => TransactionStatus::Idle,
            Transaction::Explicit(_) => TransactionStatus::Transaction,
            Transaction::Failed => TransactionStatus::Error,
        }
    }

    /// Returns how long the client may be idle now, if there is a limit.
    pub(crate) fn idle_timeout(&self) -> Option<Duration> {
        self.idle_timeout.filter(|_| self.status() != TransactionStatus::Idle)
    }

    /// Changes the idle timeout if `text` sets it, in milliseconds or in seconds
    /// with a unit. It is the only setting that the stand-in supports.
    pub(crate) fn set(&mut self, text: &str) {
        let Some((_, value)) = text.split_once(IDLE_TIMEOUT_SETTING) else { return };
        let value = value.trim_start_matches(|c: char| !c.is_ascii_digit());
        let end = value.find(|c: char| !c.is_ascii_digit()).unwrap_or(value.len());
        let (number, unit) = value.split_at(end);
        let seconds = unit.starts_with('s');
        let limit = number.parse().ok().filter(|number| *number > 0);
        self.idle_timeout = limit.map(|number| match seconds {
            true => Duration::from_secs(number),
            false => Duration::from_millis(number),
        });
    }

    /// Runs one statement.
    pub(crate) async fn execute(
        &mut self,
        statement: &Statement,
        params: &[Datum],
        formats: &[i16],
    ) -> Result<Outcome, SqlError> {
        let failed = matches!(self.transaction, Transaction::Failed);
        if failed && !matches!(statement.kind, Kind::Commit | Kind::Rollback) {
            let message = "current transaction is aborted, commands ignored until its end";
            return Err(SqlError::new("25P02", message));
        }
        match &statement.kind {
            Kind::Begin { read_only } => Ok(self.begin(*read_only)),
            Kind::Commit => self.commit(),
            Kind::Rollback => {
                self.abort();
                Ok(Outcome::with_tag("ROLLBACK"))
            }
            Kind::Set(text) => {
                self.set(text);
                Ok(Outcome::with_tag("SET"))
            }
            Kind::Show(name) => Ok(show(name)),
            Kind::Deallocate => Ok(Outcome::with_tag(statement.keyword())),
            Kind::Empty | Kind::Control(_) => Err(SqlError::new("0A000", "unsupported here")),
            Kind::Sql => self.run(statement, params, formats).await,
        }
    }

    /// Commits the implicit transaction if one is open.
    pub(crate) fn finish_implicit(&mut self) -> Result<(), SqlError> {
        match self.transaction {
            Transaction::Implicit(_) => self.commit().map(drop),
            _ => Ok(()),
        }
    }

    /// Aborts the transaction after a statement failed.
    pub(crate) fn fail(&mut self) {
        let explicit = matches!(self.transaction, Transaction::Explicit(_) | Transaction::Failed);
        self.abort();
        if explicit {
            self.transaction = Transaction::Failed;
        }
    }

    fn begin(&mut self, read_only: bool) -> Outcome {
        self.transaction = match std::mem::take(&mut self.transaction) {
            Transaction::Idle => Transaction::Explicit(Block { read_only, ..Block::default() }),
            Transaction::Implicit(block) => Transaction::Explicit(block),
            other => other,
        };
        Outcome::with_tag("BEGIN")
    }

    fn commit(&mut self) -> Result<Outcome, SqlError> {
        match std::mem::take(&mut self.transaction) {
            Transaction::Idle => Ok(Outcome::with_tag("COMMIT")),
            Transaction::Failed => Ok(Outcome::with_tag("ROLLBACK")),
            Transaction::Implicit(block) | Transaction::Explicit(block) => {
                self.commit_block(block)?;
                Ok(Outcome::with_tag("COMMIT"))
            }
        }
    }

    fn commit_block(&self, block: Block) -> Result<(), SqlError> {
        let Some(xid) = block.xid else { return Ok(()) };
        let Some(mut write) = block.write else {
            self.node.with(|core| core.engine.xacts(|xacts| xacts.end(xid, true)));
            return Ok(());
        };
        let Some(open) = write.open.take() else { return Ok(()) };
        self.node.update(|core| {
            if core.role != Role::Primary || core.epoch != write.epoch {
                core.engine.xacts(|xacts| xacts.end(xid, false));
                return Err(SqlError::not_primary());
            }
            core.quiesce.remove_writer();
            core.commit(xid, open).map(drop)
        })
    }

    fn abort(&mut self) {
        let transaction = std::mem::take(&mut self.transaction);
        let (Transaction::Implicit(block) | Transaction::Explicit(block)) = transaction else {
            return;
        };
        drop(block.write);
        if let Some(xid) = block.xid {
            self.node.with(|core| core.engine.xacts(|xacts| xacts.end(xid, false)));
        }
    }

    fn block(&mut self) -> &mut Block {
        if let Transaction::Idle = self.transaction {
            self.transaction = Transaction::Implicit(Block::default());
        }
        match &mut self.transaction {
            Transaction::Implicit(block) | Transaction::Explicit(block) => block,
            Transaction::Idle | Transaction::Failed => {
                unreachable!("statements were refused above")
            }
        }
    }

    async fn run(
        &mut self,
        statement: &Statement,
        params: &[Datum],
        formats: &[i16],
    ) -> Result<Outcome, SqlError> {
        let reads = self.node.with(|core| core.engine.is_read(&statement.sql))?;
        if !reads {
            self.open_write().await?;
        }
        if statement.uses_xid || !reads {
            self.take_xid()?;
        }
        let node = Arc::clone(&self.node);
        let slot = if self.limited { Some(self.take_slot(&node).await?) } else { None };
        self.simulate_duration(statement).await?;
        let block = self.block();
        let xid = block.xid.unwrap_or(0);
        let answer = node.with(|core| {
            if block.write.as_ref().is_some_and(|write| write.epoch != core.epoch) {
                return Err(SqlError::not_primary());
            }
            core.engine.xacts(|xacts| xacts.set_current(xid));
            let write = block.write.as_mut().and_then(|write| write.open.as_mut());
            core.engine.run(&statement.sql, params, formats, write)
        })?;
        drop(slot);
        let tag = tag(statement, answer.changed);
        Ok(Outcome { answer, tag })
    }

    /// Opens a write transaction once new writes are not held.
    async fn open_write(&mut self) -> Result<(), SqlError> {
        let node = Arc::clone(&self.node);
        let block = self.block();
        if block.read_only {
            return Err(SqlError::new("25006", "cannot write in a read-only transaction"));
        }
        if block.write.is_some() {
            return Ok(());
        }
        loop {
            match node.with(begin_write)? {
                WriteAdmission::Held(until) => self.wait_until(until).await?,
                WriteAdmission::Admitted(epoch, open) => {
                    self.block().write = Some(Write { node, epoch, open: Some(open) });
                    return Ok(());
                }
            }
        }
    }

    /// Waits until `until` or until new writes are no longer held.
    async fn wait_until(&self, until: Instant) -> Result<(), SqlError> {
        let ended =
            |core: &mut Core| core.quiesce.held_until(Instant::now()).is_none().then_some(());
        let time = until.saturating_duration_since(Instant::now());
        tokio::select! {
            _ = self.node.wait_for(time, ended) => Ok(()),
            () = self.cancel.notified() => Err(SqlError::cancelled()),
        }
    }

    fn take_xid(&mut self) -> Result<(), SqlError> {
        let node = Arc::clone(&self.node);
        let block = self.block();
        if block.xid.is_some() {
            return Ok(());
        }
        block.xid = Some(node.with(|core| match core.role {
            Role::Primary => Ok(core.engine.xacts(|xacts| xacts.begin())),
            Role::Replica | Role::Fenced => Err(SqlError::not_primary()),
        })?);
        Ok(())
    }

    async fn take_slot<'a>(
        &self,
        node: &'a Node,
    ) -> Result<tokio::sync::SemaphorePermit<'a>, SqlError> {
        tokio::select! {
            slot = node.slots.acquire() => slot.map_err(|_| SqlError::cancelled()),
            () = self.cancel.notified() => Err(SqlError::cancelled()),
        }
    }

    /// Waits for the time that a statement occupies its slot: the configured
    /// statement time and the time that the statement itself sleeps.
    async fn simulate_duration(&self, statement: &Statement) -> Result<(), SqlError> {
        let asked = Duration::try_from_secs_f64(statement.sleep.unwrap_or(0.0));
        let statement_time =
            if self.limited { self.node.options.statement_time } else { Default::default() };
        let time = statement_time + asked.unwrap_or_default();
        if time.is_zero() {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(time) => Ok(()),
            () = self.cancel.notified() => Err(SqlError::cancelled()),
        }
    }
}

/// Whether a transaction may start to write.
enum WriteAdmission {
    /// New writes are held until this time.
    Held(Instant),
    /// The transaction may write in this epoch.
    Admitted(u64, OpenWrite),
}

fn begin_write(core: &mut Core) -> Result<WriteAdmission, SqlError> {
    if core.role != Role::Primary {
        return Err(SqlError::not_primary());
    }
    if let Some(until) = core.quiesce.held_until(Instant::now()) {
        return Ok(WriteAdmission::Held(until));
    }
    core.quiesce.add_writer();
    Ok(WriteAdmission::Admitted(core.epoch, core.engine.begin()))
}

/// Answers `SHOW` with an empty result, since the stand-in doesn't report
/// settings.
fn show(name: &str) -> Outcome {
    let columns = vec![Column { name: name.to_owned(), type_id: oid::TEXT }];
    let answer = Answer { columns: columns.into(), ..Answer::default() };
    Outcome { answer, tag: "SHOW".to_owned() }
}

fn tag(statement: &Statement, changed: u64) -> String {
    let keyword = statement.keyword();
    match keyword.as_str() {
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {changed}"),
        "INSERT" | "REPLACE" => format!("INSERT 0 {changed}"),
        "UPDATE" | "DELETE" => format!("{keyword} {changed}"),
        "CREATE" | "DROP" | "ALTER" => {
            let object = statement.sql.split_whitespace().nth(1).unwrap_or_default();
            format!("{keyword} {}", object.to_ascii_uppercase())
        }
        _ => keyword,
    }
}
