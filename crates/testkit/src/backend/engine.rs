//! SQL execution over one in-memory SQLite database.
//!
//! SQLite has one write transaction at a time, and every user of the connection
//! would see its uncommitted changes. The engine therefore suspends an open
//! transaction when another session uses the connection: it rolls the
//! transaction back, and runs its statements again when its owner continues.
//! Open transactions never wait for each other. If a statement fails when it
//! runs again, the transaction ends with a serialization failure.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
};

use bytes::BytesMut;
use pgwire::messages::data::DataRow;
use rusqlite::{
    Connection, Statement as Prepared, functions::FunctionFlags, params_from_iter, types::ValueRef,
};

use crate::backend::{
    datum::{Datum, encode_column, oid, type_oid},
    error::SqlError,
    log::{Change, Record},
};

/// Largest number of statements that the connection keeps prepared.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// A result column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) type_id: u32,
}

/// Result of a statement: its columns, its rows and how many rows it changed.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) columns: Arc<[Column]>,
    pub(crate) rows: Vec<DataRow>,
    pub(crate) changed: u64,
}

/// Transaction ids and whether each transaction is active or has committed.
#[derive(Debug, Default)]
pub(crate) struct Xacts {
    current: u64,
    active: HashSet<u64>,
    committed: HashSet<u64>,
    next: u64,
}

impl Xacts {
    /// Sets the id that `pg_current_xact_id()` returns.
    pub(crate) fn set_current(&mut self, xid: u64) {
        self.current = xid;
    }

    /// Starts a transaction and returns its id.
    pub(crate) fn begin(&mut self) -> u64 {
        self.next = self.next.max(1);
        let xid = self.next;
        self.next += 1;
        self.active.insert(xid);
        xid
    }

    /// Records that the transaction `xid` ended.
    pub(crate) fn end(&mut self, xid: u64, committed: bool) {
        self.active.remove(&xid);
        if committed {
            self.committed.insert(xid);
        }
        self.next = self.next.max(xid + 1);
    }

    /// Returns the id of the next transaction.
    pub(crate) fn next(&self) -> u64 {
        self.next.max(1)
    }

    fn status(&self, xid: u64) -> Option<&'static str> {
        if self.committed.contains(&xid) {
            return Some("committed");
        }
        if self.active.contains(&xid) {
            return Some("in progress");
        }
        (xid < self.next).then_some("aborted")
    }
}

/// An open write transaction.
#[derive(Debug)]
pub(crate) struct OpenWrite {
    id: u64,
    changes: Vec<Change>,
}

/// The database of one server.
#[derive(Debug)]
pub(crate) struct Engine {
    connection: Connection,
    /// Id of the open write transaction that SQLite currently runs.
    active: Option<u64>,
    /// Whether this transaction changed the schema.
    schema_changed: bool,
    /// Number of write transactions opened so far, which is the newest one's id.
    opened: u64,
    xacts: Arc<Mutex<Xacts>>,
    column_cache: HashMap<String, Arc<[Column]>>,
    column_types: Option<HashMap<String, u32>>,
}

impl Engine {
    /// Makes an empty database.
    pub(crate) fn new() -> Result<Self, SqlError> {
        let xacts = Arc::new(Mutex::new(Xacts::default()));
        let connection = Connection::open_in_memory()?;
        connection.set_prepared_statement_cache_capacity(MAX_PREPARED_STATEMENTS);
        add_functions(&connection, &xacts)?;
        Ok(Engine {
            connection,
            active: None,
            schema_changed: false,
            opened: 0,
            xacts,
            column_cache: HashMap::new(),
            column_types: None,
        })
    }

    /// Runs a closure on the transaction ids.
    pub(crate) fn xacts<T>(&self, visit: impl FnOnce(&mut Xacts) -> T) -> T {
        visit(&mut self.xacts.lock().expect("no holder of the lock panics"))
    }

    /// Returns whether a statement only reads.
    pub(crate) fn is_read(&self, sql: &str) -> Result<bool, SqlError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Returns the result columns of a statement.
    pub(crate) fn columns(&mut self, sql: &str) -> Result<Arc<[Column]>, SqlError> {
        if let Some(columns) = self.column_cache.get(sql) {
            return Ok(Arc::clone(columns));
        }
        let statement = self.connection.prepare_cached(sql)?;
        let columns: Arc<[Column]> = result_columns(&statement).into();
        drop(statement);
        self.column_cache.insert(sql.to_owned(), Arc::clone(&columns));
        Ok(columns)
    }

    /// Returns the type of the first column with this name in any table.
    pub(crate) fn column_type(&mut self, name: &str) -> Option<u32> {
        if self.column_types.is_none() {
            self.column_types = Some(load_types(&self.connection).unwrap_or_default());
        }
        self.column_types.as_ref()?.get(name).copied()
    }

    /// Runs a statement, in an open write transaction if one is given, and encodes
    /// its rows in `formats`.
    pub(crate) fn run(
        &mut self,
        sql: &str,
        params: &[Datum],
        formats: &[i16],
        write: Option<&mut OpenWrite>,
    ) -> Result<Answer, SqlError> {
        match &write {
            Some(write) => self.resume(write)?,
            None => self.suspend(),
        }
        let answer = self.run_to_end(sql, params, formats)?;
        if let (Some(write), false) = (write, self.is_read(sql)?) {
            write.changes.push(Change { sql: sql.to_owned(), params: params.to_vec() });
        }
        Ok(answer)
    }

    /// Opens a write transaction. SQLite begins it with the first statement.
    pub(crate) fn begin(&mut self) -> OpenWrite {
        self.opened += 1;
        OpenWrite { id: self.opened, changes: Vec::new() }
    }

    /// Commits a write transaction and returns its statements.
    pub(crate) fn commit(&mut self, write: OpenWrite) -> Result<Vec<Change>, SqlError> {
        self.resume(&write)?;
        self.connection.execute_batch("COMMIT")?;
        self.active = None;
        Ok(write.changes)
    }

    /// Rolls a write transaction back.
    pub(crate) fn rollback(&mut self, write: &OpenWrite) {
        if self.active == Some(write.id) {
            self.suspend();
        }
    }

    /// Runs and commits the statements of a logged transaction.
    pub(crate) fn apply(&mut self, record: &Record) -> Result<(), SqlError> {
        self.xacts(|xacts| xacts.set_current(record.xid));
        let mut write = self.begin();
        write.changes.clone_from(&record.changes);
        if let Err(error) = self.commit(write) {
            self.suspend();
            return Err(error);
        }
        self.xacts(|xacts| xacts.end(record.xid, true));
        Ok(())
    }

    /// Rolls the active transaction back, so that other sessions do not see it.
    /// Its owner may resume it.
    pub(crate) fn suspend(&mut self) {
        if self.active.take().is_some() && !self.connection.is_autocommit() {
            // If the rollback fails, SQLite has already rolled back by itself.
            let _ = self.connection.execute_batch("ROLLBACK");
            if std::mem::take(&mut self.schema_changed) {
                self.clear_column_caches();
            }
        }
    }

    /// Makes a transaction the active one: begins it and repeats all its
    /// statements so far.
    fn resume(&mut self, write: &OpenWrite) -> Result<(), SqlError> {
        if self.active == Some(write.id) {
            return Ok(());
        }
        self.suspend();
        self.connection.execute_batch("BEGIN IMMEDIATE")?;
        self.active = Some(write.id);
        self.schema_changed = false;
        for change in &write.changes {
            if let Err(error) = self.run_to_end(&change.sql, &change.params, &[]) {
                self.suspend();
                return Err(SqlError::new("40001", format!("could not serialize access: {error}")));
            }
        }
        Ok(())
    }

    /// Runs a statement until it has returned all its rows.
    fn run_to_end(
        &mut self,
        sql: &str,
        params: &[Datum],
        formats: &[i16],
    ) -> Result<Answer, SqlError> {
        let columns = self.columns(sql)?;
        let mut statement = self.connection.prepare_cached(sql)?;
        let counts = !statement.readonly() && !is_definition(sql);
        let mut rows = statement.query(params_from_iter(params))?;
        let mut encoded = Vec::new();
        while let Some(row) = rows.next()? {
            encoded.push(encode_row(row, &columns, formats)?);
        }
        drop(rows);
        drop(statement);
        let changed = if counts { self.connection.changes() } else { encoded.len() as u64 };
        if is_definition(sql) {
            self.schema_changed = true;
            self.clear_column_caches();
        }
        Ok(Answer { columns, rows: encoded, changed })
    }

    fn clear_column_caches(&mut self) {
        self.column_cache.clear();
        self.column_types = None;
    }
}

fn add_functions(connection: &Connection, xacts: &Arc<Mutex<Xacts>>) -> Result<(), SqlError> {
    let lock = |xacts: &Mutex<Xacts>| xacts.lock().expect("no holder of the lock panics").current;
    let shared = Arc::clone(xacts);
    connection.create_scalar_function(
        "pg_current_xact_id",
        0,
        FunctionFlags::SQLITE_UTF8,
        move |_| Ok(lock(&shared).to_string()),
    )?;
    let shared = Arc::clone(xacts);
    connection.create_scalar_function(
        "pg_xact_status",
        1,
        FunctionFlags::SQLITE_UTF8,
        move |c| {
            let xid = c.get::<i64>(0).or_else(|_| {
                let text: String = c.get(0)?;
                text.trim().parse().map_err(|e| rusqlite::Error::UserFunctionError(Box::new(e)))
            })?;
            let xacts = shared.lock().expect("no holder of the lock panics");
            Ok(xacts.status(u64::try_from(xid).unwrap_or(0)))
        },
    )?;
    // The server itself sleeps before it runs the statement.
    connection
        .create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, |_| Ok(String::new()))?;
    Ok(())
}

fn load_types(connection: &Connection) -> Result<HashMap<String, u32>, SqlError> {
    let sql = "SELECT lower(c.name), c.type FROM sqlite_schema t, pragma_table_info(t.name) c \
               WHERE t.type = 'table'";
    let mut statement = connection.prepare(sql)?;
    let rows = statement.query_map([], |row| Ok((row.get(0)?, row.get::<_, String>(1)?)))?;
    let mut types = HashMap::new();
    for row in rows {
        let (name, declared) = row?;
        if let Some(type_id) = type_oid(&declared) {
            types.entry(name).or_insert(type_id);
        }
    }
    Ok(types)
}

fn result_columns(statement: &Prepared<'_>) -> Vec<Column> {
    let describe = |column: rusqlite::Column<'_>| {
        let declared = column.decl_type().and_then(type_oid);
        let type_id = declared.unwrap_or_else(|| expression_type(column.name()));
        Column { name: output_name(column.name()), type_id }
    };
    statement.columns().map(describe).collect()
}

/// Guesses the type of an expression from its text, since SQLite does not type
/// expressions.
fn expression_type(text: &str) -> u32 {
    let lower = text.to_ascii_lowercase();
    let integer = ["count", "sum(", "max(", "min(", "total", "length("];
    if lower.parse::<i32>().is_ok() {
        return oid::INT4;
    }
    if integer.iter().any(|prefix| lower.starts_with(prefix)) {
        return oid::INT8;
    }
    oid::TEXT
}

/// Returns the name that PostgreSQL gives a column: for a call, the name of the
/// function.
fn output_name(text: &str) -> String {
    match text.split_once('(') {
        Some((function, _)) => function.trim().to_ascii_lowercase(),
        None => text.to_owned(),
    }
}

fn is_definition(sql: &str) -> bool {
    let word = sql.split_whitespace().next().unwrap_or_default();
    ["create", "drop", "alter"].iter().any(|keyword| word.eq_ignore_ascii_case(keyword))
}

fn encode_row(
    row: &rusqlite::Row<'_>,
    columns: &[Column],
    formats: &[i16],
) -> Result<DataRow, SqlError> {
    let mut data = BytesMut::with_capacity(columns.len() * 16);
    for (i, column) in columns.iter().enumerate() {
        encode_column(row.get_ref(i)?, column.type_id, format_of(formats, i), &mut data);
    }
    Ok(DataRow::new(data, i16::try_from(columns.len()).unwrap_or(i16::MAX)))
}

/// Returns the format code of a column. No code means text, and a single code
/// applies to all columns.
pub(crate) fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}

/// Encodes a row of text columns.
pub(crate) fn encode_texts(texts: &[&str]) -> DataRow {
    let mut data = BytesMut::new();
    for text in texts {
        encode_column(ValueRef::Text(text.as_bytes()), oid::TEXT, 0, &mut data);
    }
    DataRow::new(data, i16::try_from(texts.len()).unwrap_or(i16::MAX))
}
