//! SQL execution over one in-memory SQLite database.
//!
//! SQLite would show an open write transaction to every user of its connection.
//! A session that reads while another one writes therefore makes the engine
//! roll the open transaction back; its statements run again when its owner
//! returns. The group's write lock keeps everybody else's writes out meanwhile,
//! so they give the same result.

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

/// The database of one server.
#[derive(Debug)]
pub(crate) struct Engine {
    connection: Connection,
    /// Statements of the open write transaction.
    open: Option<Vec<Change>>,
    /// Whether the open transaction is rolled back until its owner returns.
    parked: bool,
    /// Whether the open transaction changed the schema.
    defined: bool,
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
            open: None,
            parked: false,
            defined: false,
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

    /// Runs a statement and encodes its rows in `formats`; `in_write` tells
    /// whether it belongs to the open write transaction.
    pub(crate) fn run(
        &mut self,
        sql: &str,
        params: &[Datum],
        formats: &[i16],
        in_write: bool,
    ) -> Result<Answer, SqlError> {
        match in_write {
            true => self.resume()?,
            false => self.park(),
        }
        let columns = self.columns(sql)?;
        let mut statement = self.connection.prepare_cached(sql)?;
        let writes = !statement.readonly();
        let mut rows = statement.query(params_from_iter(params))?;
        let mut encoded = Vec::new();
        while let Some(row) = rows.next()? {
            encoded.push(encode_row(row, &columns, formats)?);
        }
        drop(rows);
        drop(statement);
        let counts = writes && !is_definition(sql);
        let changed = if counts { self.connection.changes() } else { encoded.len() as u64 };
        if writes {
            self.note_change(sql, params);
        }
        Ok(Answer { columns, rows: encoded, changed })
    }

    /// Opens the write transaction.
    pub(crate) fn begin(&mut self) -> Result<(), SqlError> {
        self.connection.execute_batch("BEGIN IMMEDIATE")?;
        self.open = Some(Vec::new());
        self.parked = false;
        self.defined = false;
        Ok(())
    }

    /// Commits the write transaction and returns its statements.
    pub(crate) fn commit(&mut self) -> Result<Vec<Change>, SqlError> {
        self.resume()?;
        self.connection.execute_batch("COMMIT")?;
        Ok(self.open.take().unwrap_or_default())
    }

    /// Rolls the write transaction back, if one is open.
    pub(crate) fn rollback(&mut self) {
        self.open = None;
        self.parked = false;
        self.undo();
    }

    /// Runs the statements of a logged transaction.
    pub(crate) fn apply(&mut self, record: &Record) -> Result<(), SqlError> {
        self.rollback();
        self.xacts(|xacts| xacts.set_current(record.xid));
        self.begin()?;
        for change in &record.changes {
            if let Err(error) = self.run(&change.sql, &change.params, &[], true) {
                self.rollback();
                return Err(error);
            }
        }
        self.commit()?;
        self.xacts(|xacts| xacts.end(record.xid, true));
        Ok(())
    }

    fn note_change(&mut self, sql: &str, params: &[Datum]) {
        if let Some(changes) = &mut self.open {
            changes.push(Change { sql: sql.to_owned(), params: params.to_vec() });
        }
        if is_definition(sql) {
            self.defined = true;
            self.forget_shapes();
        }
    }

    /// Takes the open write transaction out of the others' sight.
    fn park(&mut self) {
        if self.open.is_some() && !self.parked {
            self.undo();
            self.parked = true;
        }
    }

    /// Runs the statements of a parked write transaction again.
    fn resume(&mut self) -> Result<(), SqlError> {
        if !std::mem::take(&mut self.parked) {
            return Ok(());
        }
        let changes = self.open.take().unwrap_or_default();
        self.begin()?;
        changes
            .iter()
            .try_for_each(|change| self.run(&change.sql, &change.params, &[], true).map(drop))
    }

    fn undo(&mut self) {
        if !self.connection.is_autocommit() {
            // A failed rollback leaves nothing to do: SQLite has rolled back itself.
            let _ = self.connection.execute_batch("ROLLBACK");
            if std::mem::take(&mut self.defined) {
                self.forget_shapes();
            }
        }
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
