//! Sorting statements into reads, writes and what pooling cannot keep.

use sqlparser::{
    ast::{Expr, Query, SetExpr, Statement, Visit, Visitor},
    dialect::PostgreSqlDialect,
    parser::Parser,
};
use std::ops::ControlFlow;

/// What a piece of SQL does, as far as routing is concerned.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Class {
    /// Surely only reads.
    Read,
    /// May write, or opens a transaction that may.
    Write,
    /// Needs a feature that pooled connections cannot keep.
    Unsupported,
}

/// Functions that a read may call; all others may write.
const READ_FUNCTIONS: [&str; 16] = [
    "count", "sum", "min", "max", "avg", "coalesce", "length", "lower", "upper", "abs", "round",
    "now", "substr", "trim", "nullif", "pg_sleep",
];

/// Classes `sql`; whatever is not surely a read counts as a write.
pub(crate) fn classify(sql: &str) -> Class {
    match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => statements.iter().map(class_of).max().unwrap_or(Class::Read),
        Err(_) => Class::Write,
    }
}

fn class_of(statement: &Statement) -> Class {
    match statement {
        Statement::Query(query) if is_read(query) => Class::Read,
        Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::NOTIFY { .. }
        | Statement::Copy { .. }
        | Statement::Set(_)
        | Statement::Prepare { .. }
        | Statement::Declare { .. } => Class::Unsupported,
        Statement::CreateTable(table) if table.temporary => Class::Unsupported,
        _ => Class::Write,
    }
}

fn is_read(query: &Query) -> bool {
    query.locks.is_empty() && query.visit(&mut WriteFinder).is_continue()
}

/// Stops at the first part of a query that may write.
struct WriteFinder;

impl Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let plain = matches!(
            *query.body,
            SetExpr::Select(_)
                | SetExpr::Query(_)
                | SetExpr::SetOperation { .. }
                | SetExpr::Values(_)
        );
        let into = matches!(&*query.body, SetExpr::Select(select) if select.into.is_some());
        if plain && !into && query.locks.is_empty() {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                let name = function.name.to_string().to_ascii_lowercase();
                if READ_FUNCTIONS.contains(&name.as_str()) {
                    return ControlFlow::Continue(());
                }
                ControlFlow::Break(())
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn statements_are_classed() {
        let cases = [
            ("SELECT 1", Class::Read),
            ("SELECT count(*) FROM t WHERE id = $1", Class::Read),
            ("SELECT * FROM t FOR UPDATE", Class::Write),
            ("SELECT nextval('s')", Class::Write),
            ("WITH x AS (INSERT INTO t VALUES (1) RETURNING id) SELECT * FROM x", Class::Write),
            ("INSERT INTO t VALUES (1)", Class::Write),
            ("BEGIN", Class::Write),
            ("LISTEN x", Class::Unsupported),
            ("CREATE TEMPORARY TABLE t (a int)", Class::Unsupported),
            ("not sql at all", Class::Write),
            ("", Class::Read),
        ];
        for (sql, class) in cases {
            assert_eq!(classify(sql), class, "{sql}");
        }
    }
}
