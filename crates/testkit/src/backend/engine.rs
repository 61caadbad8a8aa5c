//! SQL execution over one in-memory SQLite database.
//!
//! SQLite has one write transaction at a time and would show it to every user
//! of its connection. The engine therefore rolls an open transaction back when
//! another session has its turn, and runs its statements again when its owner
//! returns. Open transactions never wait for each other; one whose statements
//! fail when they run again ends with a serialization failure.

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

/// Statements that each connection keeps prepared.
const PREPARED_STATEMENTS: usize = 256;

/// A result column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) type_id: u32,
}

/// What a statement gives back.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) columns: Arc<[Column]>,
    pub(crate) rows: Vec<DataRow>,
    pub(crate) changed: u64,
}

/// Transaction ids and their fate.
#[derive(Debug, Default)]
pub(crate) struct Xacts {
    current: u64,
    active: HashSet<u64>,
    committed: HashSet<u64>,
    next: u64,
}

impl Xacts {
    /// Sets the id that `pg_current_xact_id()` answers.
    pub(crate) fn set_current(&mut self, xid: u64) {
        self.current = xid;
    }

    /// Gives out the next id.
    pub(crate) fn begin(&mut self) -> u64 {
        self.next = self.next.max(1);
        let xid = self.next;
        self.next += 1;
        self.active.insert(xid);
        xid
    }

    /// Records that `xid` ended.
    pub(crate) fn end(&mut self, xid: u64, committed: bool) {
        self.active.remove(&xid);
        if committed {
            self.committed.insert(xid);
        }
        self.next = self.next.max(xid + 1);
    }

    /// Returns the next id to be given out.
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
    /// Open transaction that SQLite now holds.
    held: Option<u64>,
    /// Whether that transaction changed the schema.
    defined: bool,
    opened: u64,
    xacts: Arc<Mutex<Xacts>>,
    shapes: HashMap<String, Arc<[Column]>>,
    types: Option<HashMap<String, u32>>,
}

impl Engine {
    /// Makes an empty database.
    pub(crate) fn new() -> Result<Self, SqlError> {
        let xacts = Arc::new(Mutex::new(Xacts::default()));
        let connection = Connection::open_in_memory()?;
        connection.set_prepared_statement_cache_capacity(PREPARED_STATEMENTS);
        add_functions(&connection, &xacts)?;
        Ok(Engine {
            connection,
            held: None,
            defined: false,
            opened: 0,
            xacts,
            shapes: HashMap::new(),
            types: None,
        })
    }

    /// Gives access to the transaction ids.
    pub(crate) fn xacts<T>(&self, visit: impl FnOnce(&mut Xacts) -> T) -> T {
        visit(&mut self.xacts.lock().expect("no holder of the lock panics"))
    }

    /// Tells whether a statement only reads.
    pub(crate) fn is_read(&self, sql: &str) -> Result<bool, SqlError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Returns the result columns of a statement.
    pub(crate) fn columns(&mut self, sql: &str) -> Result<Arc<[Column]>, SqlError> {
        if let Some(columns) = self.shapes.get(sql) {
            return Ok(Arc::clone(columns));
        }
        let statement = self.connection.prepare_cached(sql)?;
        let columns: Arc<[Column]> = result_columns(&statement).into();
        drop(statement);
        self.shapes.insert(sql.to_owned(), Arc::clone(&columns));
        Ok(columns)
    }

    /// Returns the type of the first column of that name in any table.
    pub(crate) fn column_type(&mut self, name: &str) -> Option<u32> {
        if self.types.is_none() {
            self.types = Some(load_types(&self.connection).unwrap_or_default());
        }
        self.types.as_ref()?.get(name).copied()
    }

    /// Runs a statement, inside an open write transaction if one is given, and
    /// encodes its rows in `formats`.
    pub(crate) fn run(
        &mut self,
        sql: &str,
        params: &[Datum],
        formats: &[i16],
        write: Option<&mut OpenWrite>,
    ) -> Result<Answer, SqlError> {
        match &write {
            Some(write) => self.hold(write)?,
            None => self.release(),
        }
        let answer = self.step(sql, params, formats)?;
        if let (Some(write), false) = (write, self.is_read(sql)?) {
            write.changes.push(Change { sql: sql.to_owned(), params: params.to_vec() });
        }
        Ok(answer)
    }

    /// Opens a write transaction.
    pub(crate) fn begin(&mut self) -> OpenWrite {
        self.opened += 1;
        OpenWrite { id: self.opened, changes: Vec::new() }
    }

    /// Commits a write transaction and returns its statements.
    pub(crate) fn commit(&mut self, write: OpenWrite) -> Result<Vec<Change>, SqlError> {
        self.hold(&write)?;
        self.connection.execute_batch("COMMIT")?;
        self.held = None;
        Ok(write.changes)
    }

    /// Rolls a write transaction back.
    pub(crate) fn rollback(&mut self, write: &OpenWrite) {
        if self.held == Some(write.id) {
            self.release();
        }
    }

    /// Runs the statements of a logged transaction.
    pub(crate) fn apply(&mut self, record: &Record) -> Result<(), SqlError> {
        self.xacts(|xacts| xacts.set_current(record.xid));
        let mut write = self.begin();
        write.changes.clone_from(&record.changes);
        if let Err(error) = self.commit(write) {
            self.release();
            return Err(error);
        }
        self.xacts(|xacts| xacts.end(record.xid, true));
        Ok(())
    }

    /// Takes the transaction that SQLite holds out of the others' sight.
    pub(crate) fn release(&mut self) {
        if self.held.take().is_some() && !self.connection.is_autocommit() {
            // A failed rollback leaves nothing to do: SQLite has rolled back itself.
            let _ = self.connection.execute_batch("ROLLBACK");
            if std::mem::take(&mut self.defined) {
                self.forget_shapes();
            }
        }
    }

    /// Makes SQLite hold a transaction, with all its statements so far.
    fn hold(&mut self, write: &OpenWrite) -> Result<(), SqlError> {
        if self.held == Some(write.id) {
            return Ok(());
        }
        self.release();
        self.connection.execute_batch("BEGIN IMMEDIATE")?;
        self.held = Some(write.id);
        self.defined = false;
        for change in &write.changes {
            if let Err(error) = self.step(&change.sql, &change.params, &[]) {
                self.release();
                return Err(SqlError::new("40001", format!("could not serialize access: {error}")));
            }
        }
        Ok(())
    }

    /// Steps a statement to its end.
    fn step(&mut self, sql: &str, params: &[Datum], formats: &[i16]) -> Result<Answer, SqlError> {
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
            self.defined = true;
            self.forget_shapes();
        }
        Ok(Answer { columns, rows: encoded, changed })
    }

    fn forget_shapes(&mut self) {
        self.shapes.clear();
        self.types = None;
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

/// Guesses the type of an expression from its text, since SQLite has none.
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

/// Names a column as PostgreSQL does: a call after its function.
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

/// Returns the format code of a column: none means text, one counts for all.
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
