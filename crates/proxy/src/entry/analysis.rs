//! Analysis of SQL texts: reads, writes and what pooled connections do not support.
//!
//! A read may run on a replica, so a statement counts as one only if it certainly
//! does not write. Everything else counts as a write and runs on the primary.
//! Statements that change the state of a session are unsupported, because the
//! next batch of the session may run on another connection.

use std::{
    collections::HashMap,
    ops::ControlFlow,
    sync::{Arc, Mutex},
};

use sha2::{Digest, Sha256};
use sqlparser::{
    ast::{
        BinaryOperator, DataType, Expr, ObjectName, Query, Set, SetExpr, Statement, TableFactor,
        TransactionAccessMode, TransactionMode, Visit, Visitor,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
    tokenizer::{Token, TokenWithSpan, Tokenizer},
};

use super::{command::Command, functions};

/// Maximum number of texts whose analysis is cached.
const MAX_CACHED_ANALYSES: usize = 8_192;

/// First words of statements that change the state of a session.
const SESSION_STATEMENTS: [&str; 11] = [
    "COPY",
    "DEALLOCATE",
    "DECLARE",
    "DISCARD",
    "EXECUTE",
    "LISTEN",
    "LOAD",
    "NOTIFY",
    "PREPARE",
    "RESET",
    "SET",
];

/// How a SQL text must be routed. Later variants take precedence over earlier
/// ones when a text has several statements.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Class {
    /// Certainly only reads.
    Read,
    /// May write, or opens a transaction that may.
    Write,
    /// Needs a feature that pooled connections do not support.
    Unsupported,
}

/// A statement that begins or ends a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TxControl {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared as read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

/// What the proxy knows of a SQL text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Analysis {
    /// How the text must be routed.
    pub(crate) class: Class,
    /// Set if the text is a single transaction control statement.
    pub(crate) control: Option<TxControl>,
    /// Set if the text is a single statement that needs no backend server.
    pub(crate) command: Option<Command>,
    /// Whether the text may leave a transaction open.
    pub(crate) opens: bool,
    /// Whether the text may commit a transaction.
    pub(crate) commits: bool,
}

impl Analysis {
    fn new(class: Class) -> Self {
        Analysis { class, control: None, command: None, opens: false, commits: false }
    }
}

/// Cache of the analyses of SQL texts, by the hash of the text.
#[derive(Default)]
pub(crate) struct AnalysisCache {
    analyses: Mutex<HashMap<[u8; 32], Arc<Analysis>>>,
}

impl AnalysisCache {
    /// Returns the analysis of `sql`.
    pub(crate) fn get(&self, sql: &str) -> Arc<Analysis> {
        // The key is a cryptographic hash: with a collision, one caller could
        // change how the text of another one is routed.
        let key: [u8; 32] = Sha256::digest(sql).into();
        if let Some(analysis) = self.lock().get(&key) {
            return Arc::clone(analysis);
        }
        let analysis = Arc::new(analyse(sql));
        let mut analyses = self.lock();
        if analyses.len() >= MAX_CACHED_ANALYSES {
            analyses.clear();
        }
        analyses.insert(key, Arc::clone(&analysis));
        analysis
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<[u8; 32], Arc<Analysis>>> {
        self.analyses.lock().expect("no thread panics with this lock")
    }
}

/// Analyses `sql`. A statement that may write counts as a write.
pub(crate) fn analyse(sql: &str) -> Analysis {
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, sql).tokenize_with_location() else {
        return Analysis::new(Class::Unsupported);
    };
    let parsed =
        Parser::new(&dialect).with_tokens_with_locations(tokens.clone()).parse_statements();
    let statements = match &parsed {
        Ok(statements) => statements.as_slice(),
        Err(_) => return analyse_tokens(&tokens),
    };
    if let [statement] = statements
        && let Some(command) = Command::new(statement)
    {
        return Analysis { command: Some(command), ..Analysis::new(Class::Read) };
    }
    if tokens.iter().any(is_session_word) {
        return Analysis::new(Class::Unsupported);
    }
    let class = statements.iter().map(statement_class).max().unwrap_or(Class::Read);
    let controls: Vec<_> = statements.iter().filter_map(transaction_control).collect();
    let single = (statements.len() == 1 && class != Class::Unsupported).then_some(&controls);
    Analysis {
        class,
        control: single.and_then(|controls| controls.first().copied()),
        command: None,
        opens: matches!(controls.last(), Some(TxControl::Begin { .. })),
        commits: controls.contains(&TxControl::Commit),
    }
}

/// Analyses, by its words alone, a text that the parser does not support.
fn analyse_tokens(tokens: &[TokenWithSpan]) -> Analysis {
    let words = |tokens: &[TokenWithSpan]| -> Vec<String> {
        let word = |token: &TokenWithSpan| match &token.token {
            Token::Word(word) => Some(word.value.to_ascii_uppercase()),
            _ => None,
        };
        tokens.iter().filter_map(word).collect()
    };
    let mut statements = tokens.split(|token| token.token == Token::SemiColon).map(words);
    let changes_session = |words: Vec<String>| {
        let first = words.first().map_or("", String::as_str);
        let temporary = words.iter().any(|word| word == "TEMP" || word == "TEMPORARY");
        SESSION_STATEMENTS.contains(&first) || temporary
    };
    if tokens.iter().any(is_session_word) || statements.any(changes_session) {
        return Analysis::new(Class::Unsupported);
    }
    Analysis { opens: true, commits: true, ..Analysis::new(Class::Write) }
}

fn is_session_word(token: &TokenWithSpan) -> bool {
    matches!(&token.token, Token::Word(word) if functions::is_session_word(&word.value))
}

fn transaction_control(statement: &Statement) -> Option<TxControl> {
    match statement {
        Statement::StartTransaction { modes, statements, .. } if statements.is_empty() => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Some(TxControl::Begin { read_only: modes.contains(&read_only) })
        }
        Statement::Commit { chain: false, .. } => Some(TxControl::Commit),
        Statement::Rollback { chain: false, savepoint: None } => Some(TxControl::Rollback),
        _ => None,
    }
}

fn statement_class(statement: &Statement) -> Class {
    match statement {
        Statement::Query(_) | Statement::Explain { .. } => query_class(statement),
        Statement::ShowVariable { .. } => Class::Read,
        Statement::StartTransaction { .. } => match transaction_control(statement) {
            Some(TxControl::Begin { read_only: true }) => Class::Read,
            _ => Class::Write,
        },
        // The proxy does not track the transaction that a chained commit or
        // rollback begins.
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            Class::Unsupported
        }
        Statement::Rollback { savepoint: None, .. } => Class::Read,
        Statement::Set(set) if is_local(set) => Class::Read,
        Statement::CreateTable(table) if table.temporary => Class::Unsupported,
        Statement::CreateView(view) if view.temporary => Class::Unsupported,
        Statement::CreateSequence { temporary: true, .. } => Class::Unsupported,
        Statement::Declare { stmts, .. } if stmts.iter().all(|d| d.hold != Some(true)) => {
            Class::Write
        }
        _ => class_by_first_word(statement),
    }
}

/// Returns whether the setting is reverted at the end of the transaction.
fn is_local(set: &Set) -> bool {
    match set {
        Set::SingleAssignment { scope, .. } => {
            matches!(scope, Some(sqlparser::ast::ContextModifier::Local))
        }
        Set::SetTimeZone { local, .. } => *local,
        Set::SetTransaction { session, .. } => !session,
        _ => false,
    }
}

fn class_by_first_word(statement: &Statement) -> Class {
    let text = statement.to_string();
    let first = text.split_whitespace().next().unwrap_or_default().to_ascii_uppercase();
    if SESSION_STATEMENTS.contains(&first.as_str()) { Class::Unsupported } else { Class::Write }
}

fn query_class(statement: &Statement) -> Class {
    let mut finder = WriteFinder { temporary: false };
    match statement.visit(&mut finder) {
        ControlFlow::Continue(()) => Class::Read,
        ControlFlow::Break(()) if finder.temporary => Class::Unsupported,
        ControlFlow::Break(()) => Class::Write,
    }
}

/// Visits a query up to the first part that may write.
struct WriteFinder {
    /// Whether that part creates a temporary table.
    temporary: bool,
}

impl Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        stop_unless(matches!(statement, Statement::Query(_) | Statement::Explain { .. }))
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if let SetExpr::Select(select) = &*query.body
            && let Some(into) = &select.into
        {
            self.temporary = into.temporary;
            return ControlFlow::Break(());
        }
        stop_unless(query.locks.is_empty() && is_read_body(&query.body))
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
                stop_unless(is_read_function(name))
            }
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        stop_unless(match expr {
            Expr::Function(function) => is_read_function(&function.name),
            Expr::Cast { data_type: DataType::Custom(name, _), .. } => {
                functions::is_read_type(&name.to_string())
            }
            Expr::BinaryOp { op: BinaryOperator::PGCustomBinaryOperator(_), .. } => false,
            _ => true,
        })
    }
}

fn stop_unless(reads: bool) -> ControlFlow<()> {
    if reads { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
}

fn is_read_function(name: &ObjectName) -> bool {
    functions::is_read(&name.to_string())
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
