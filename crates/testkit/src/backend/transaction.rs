//! Runs statements inside a session's transactions.

use std::sync::Arc;

use pgwire::messages::response::TransactionStatus;
use tokio::sync::{Notify, OwnedSemaphorePermit};

use crate::backend::{
    core::Role,
    datum::{Datum, oid},
    engine::{Answer, Column},
    error::SqlError,
    node::Node,
    statement::{Kind, Statement},
};

/// A finished statement.
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
    /// None is open.
    #[default]
    Idle,
    /// One that the server opened and ends at the next synchronisation.
    Implicit(Block),
    /// One that the client opened.
    Explicit(Block),
    /// One that failed and waits for its end.
    Failed,
}

/// An open transaction.
#[derive(Debug, Default)]
struct Block {
    read_only: bool,
    xid: Option<u64>,
    write: Option<Write>,
}

/// An open write transaction, rolled back when dropped.
#[derive(Debug)]
struct Write {
    node: Arc<Node>,
    epoch: u64,
    open: bool,
    _lock: OwnedSemaphorePermit,
}

impl Drop for Write {
    fn drop(&mut self) {
        if self.open {
            let epoch = self.epoch;
            self.node.with(|core| {
                if core.epoch == epoch {
                    core.engine.rollback();
                }
            });
        }
    }
}

/// Runs the statements of one session.
#[derive(Debug)]
pub(crate) struct Executor {
    node: Arc<Node>,
    limited: bool,
    cancel: Arc<Notify>,
    transaction: Transaction,
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.abort();
    }
}

impl Executor {
    /// Makes the executor of a session; `limited` sessions share the slots.
    pub(crate) fn new(node: Arc<Node>, limited: bool, cancel: Arc<Notify>) -> Self {
        Executor { node, limited, cancel, transaction: Transaction::Idle }
    }

    /// Returns the status to report when the session is ready.
    pub(crate) fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::Idle | Transaction::Implicit(_) => TransactionStatus::Idle,
            Transaction::Explicit(_) => TransactionStatus::Transaction,
            Transaction::Failed => TransactionStatus::Error,
        }
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
            Kind::Set(_) => Ok(Outcome::with_tag("SET")),
            Kind::Show(name) => Ok(show(name)),
            Kind::Deallocate => Ok(Outcome::with_tag(statement.keyword())),
            Kind::Empty | Kind::Control(_) => Err(SqlError::new("0A000", "unsupported here")),
            Kind::Sql => self.run(statement, params, formats).await,
        }
    }

    /// Commits the implicit transaction, if one is open.
    pub(crate) fn finish_implicit(&mut self) -> Result<(), SqlError> {
        match self.transaction {
            Transaction::Implicit(_) => self.commit().map(drop),
            _ => Ok(()),
        }
    }

    /// Records that a statement failed.
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
        write.open = false;
        self.node.update(|core| {
            if core.role != Role::Primary || core.epoch != write.epoch {
                core.engine.xacts(|xacts| xacts.end(xid, false));
                return Err(SqlError::not_primary());
            }
            core.commit(xid).map(drop)
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
        self.spend_time(statement).await?;
        let block = self.block();
        let in_write = block.write.is_some();
        let (xid, epoch) = (block.xid.unwrap_or(0), block.write.as_ref().map(|w| w.epoch));
        let answer = node.with(|core| {
            if epoch.is_some_and(|epoch| epoch != core.epoch) {
                return Err(SqlError::not_primary());
            }
            core.engine.xacts(|xacts| xacts.set_current(xid));
            core.engine.run(&statement.sql, params, formats, in_write)
        })?;
        drop(slot);
        let tag = tag(statement, answer.changed);
        Ok(Outcome { answer, tag })
    }

    /// Takes the group's write lock and opens the database's transaction.
    async fn open_write(&mut self) -> Result<(), SqlError> {
        let (cancel, node) = (Arc::clone(&self.cancel), Arc::clone(&self.node));
        let block = self.block();
        if block.read_only {
            return Err(SqlError::new("25006", "cannot write in a read-only transaction"));
        }
        if block.write.is_some() {
            return Ok(());
        }
        if node.with(|core| core.role != Role::Primary) {
            return Err(SqlError::not_primary());
        }
        let lock = tokio::select! {
            lock = Arc::clone(&node.write_lock).acquire_owned() => lock,
            () = cancel.notified() => return Err(SqlError::cancelled()),
        };
        let lock = lock.map_err(|_| SqlError::cancelled())?;
        let epoch = node.with(|core| {
            if core.role != Role::Primary {
                return Err(SqlError::not_primary());
            }
            core.engine.begin()?;
            Ok(core.epoch)
        })?;
        block.write = Some(Write { node, epoch, open: true, _lock: lock });
        Ok(())
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

    /// Waits for as long as the statement is to hold its slot.
    async fn spend_time(&self, statement: &Statement) -> Result<(), SqlError> {
        let asked = std::time::Duration::try_from_secs_f64(statement.sleep.unwrap_or(0.0));
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

/// Answers `SHOW` with an empty value: the stand-in has no settings.
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
