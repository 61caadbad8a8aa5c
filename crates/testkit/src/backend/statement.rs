//! Splits SQL text into statements and rewrites PostgreSQL syntax for SQLite.

use crate::backend::datum::{oid, type_oid};

/// Kind of a statement, by the part of the server that handles it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    /// Contains only whitespace and comments.
    Empty,
    /// Begins a transaction.
    Begin {
        /// Whether writes are refused in it.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Changes a session setting.
    Set(String),
    /// Reads a session setting.
    Show(String),
    /// Deallocates prepared statements.
    Deallocate,
    /// Calls a function of the control schema.
    Control(String),
    /// Any other statement; SQLite runs it.
    Sql,
}

/// One statement, ready for SQLite.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    pub(crate) kind: Kind,
    pub(crate) sql: String,
    /// Types of the parameters that have a cast; unknown for others.
    pub(crate) types: Vec<u32>,
    /// Columns with which parameters are compared or into which they are inserted,
    /// by parameter index.
    pub(crate) columns: Vec<Option<String>>,
    /// Whether the statement needs a transaction id.
    pub(crate) uses_xid: bool,
    /// Number of seconds that the statement sleeps.
    pub(crate) sleep: Option<f64>,
}

impl Statement {
    /// Returns the first keyword in upper case.
    pub(crate) fn keyword(&self) -> String {
        keyword(&self.sql)
    }
}

/// Splits `text` at semicolons outside quotes and comments. Empty statements are
/// omitted.
pub(crate) fn split(text: &str) -> Vec<Statement> {
    let mut lexer =
        Lexer { text, at: 0, builders: Vec::new(), current: StatementBuilder::default() };
    lexer.run();
    lexer
        .builders
        .into_iter()
        .map(StatementBuilder::finish)
        .filter(|s| s.kind != Kind::Empty)
        .collect()
}

/// Parses `text` as one statement, which may be empty. Returns `None` if there
/// are several.
pub(crate) fn single(text: &str) -> Option<Statement> {
    let mut statements = split(text);
    match statements.len() {
        0 => Some(StatementBuilder::default().finish()),
        1 => statements.pop(),
        _ => None,
    }
}

/// A statement of which the lexer has read a part.
#[derive(Default)]
struct StatementBuilder {
    sql: String,
    types: Vec<u32>,
    columns: Vec<Option<String>>,
    /// Index of the parameter if the last token was one; its cast may follow.
    param: Option<usize>,
    /// Last two tokens, to recognise `column = $1`.
    tokens: [String; 2],
}

impl StatementBuilder {
    fn add_param(&mut self, number: usize) {
        if self.types.len() < number {
            self.types.resize(number, oid::UNKNOWN);
            self.columns.resize(number, None);
        }
        let compared = ["=", "<", ">", "<=", ">=", "<>"].contains(&self.tokens[1].as_str());
        if compared {
            self.columns[number - 1] = Some(self.tokens[0].to_ascii_lowercase());
        }
        self.sql.push_str(&format!("?{number}"));
        self.param = Some(number - 1);
    }

    fn add_token(&mut self, token: &str) {
        self.sql.push_str(token);
        self.param = None;
        self.tokens.swap(0, 1);
        token.clone_into(&mut self.tokens[1]);
    }

    fn finish(self) -> Statement {
        let sql = self.sql.trim().to_owned();
        let lower = sql.to_ascii_lowercase();
        let mut columns = self.columns;
        insert_columns(&lower, &mut columns);
        Statement {
            kind: classify(&lower, &sql),
            types: self.types,
            columns,
            uses_xid: lower.contains("pg_current_xact_id"),
            sleep: sleep_seconds(&lower),
            sql,
        }
    }
}

/// Splits text into tokens and collects the statements.
struct Lexer<'a> {
    text: &'a str,
    at: usize,
    builders: Vec<StatementBuilder>,
    current: StatementBuilder,
}

impl<'a> Lexer<'a> {
    fn run(&mut self) {
        while self.at < self.text.len() {
            self.step();
        }
        self.builders.push(std::mem::take(&mut self.current));
    }

    fn step(&mut self) {
        let rest = &self.text[self.at..];
        let first = rest.chars().next().unwrap_or(' ');
        match first {
            ';' => {
                self.builders.push(std::mem::take(&mut self.current));
                self.at += 1;
            }
            '\'' | '"' => self.read_quoted(first),
            '-' if rest.starts_with("--") => self.skip_past("\n"),
            '/' if rest.starts_with("/*") => self.skip_past("*/"),
            '$' if rest[1..].starts_with(|c: char| c.is_ascii_digit()) => self.read_param(),
            ':' if rest.starts_with("::") => self.read_cast(),
            c if is_word(c) => {
                let word = self.take_while(is_word);
                self.current.add_token(word);
            }
            '<' | '>' if rest[1..].starts_with(['=', '>']) => self.read_token(2),
            c if c.is_whitespace() => {
                self.current.sql.push(' ');
                self.at += c.len_utf8();
            }
            c => self.read_token(c.len_utf8()),
        }
    }

    fn read_token(&mut self, length: usize) {
        let token = &self.text[self.at..self.at + length];
        self.current.add_token(token);
        self.at += length;
    }

    fn take_while(&mut self, accept: impl Fn(char) -> bool) -> &'a str {
        let rest = &self.text[self.at..];
        let length = rest.find(|c| !accept(c)).unwrap_or(rest.len());
        self.at += length;
        &rest[..length]
    }

    fn read_quoted(&mut self, quote: char) {
        let rest = &self.text[self.at..];
        let length = rest[1..].find(quote).map_or(rest.len(), |end| end + 2);
        self.read_token(length);
    }

    fn skip_past(&mut self, end: &str) {
        let rest = &self.text[self.at..];
        self.at += rest.find(end).map_or(rest.len(), |found| found + end.len());
        self.current.sql.push(' ');
    }

    fn read_param(&mut self) {
        self.at += 1;
        let number = self.take_while(|c| c.is_ascii_digit()).parse().unwrap_or(0);
        if (1..=MAX_PARAMS).contains(&number) {
            self.current.add_param(number);
        }
    }

    /// Removes a cast, since SQLite does not support the syntax, and records the
    /// type if it is the cast of a parameter.
    fn read_cast(&mut self) {
        self.at += 2;
        let name = self.take_while(is_word);
        if let (Some(index), Some(type_id)) = (self.current.param, type_oid(name)) {
            self.current.types[index] = type_id;
        }
    }
}

/// Largest number of a parameter.
const MAX_PARAMS: usize = 65_535;

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

fn keyword(sql: &str) -> String {
    sql.split(|c: char| !is_word(c)).next().unwrap_or_default().to_ascii_uppercase()
}

fn classify(lower: &str, sql: &str) -> Kind {
    let words: Vec<&str> = lower.split_whitespace().collect();
    let second = words.get(1).copied().unwrap_or_default();
    match keyword(lower).as_str() {
        "" if sql.is_empty() => Kind::Empty,
        "BEGIN" | "START" => Kind::Begin { read_only: lower.contains("read only") },
        "COMMIT" | "END" => Kind::Commit,
        "ROLLBACK" | "ABORT" if second != "to" => Kind::Rollback,
        "SET" | "RESET" => Kind::Set(lower.to_owned()),
        "SHOW" => Kind::Show(second.to_owned()),
        "DEALLOCATE" | "DISCARD" => Kind::Deallocate,
        _ => match lower.strip_prefix("select * from chicoryhollow.") {
            Some(call) => Kind::Control(sql[sql.len() - call.len()..].to_owned()),
            None => Kind::Sql,
        },
    }
}

fn sleep_seconds(lower: &str) -> Option<f64> {
    let (_, rest) = lower.split_once("pg_sleep(")?;
    let (argument, _) = rest.split_once(')')?;
    argument.trim().parse().ok()
}

/// Records the column of each parameter in
/// `insert into t (a, b) values (?1, ?2)`.
fn insert_columns(lower: &str, columns: &mut [Option<String>]) {
    let Some((head, values)) = lower.split_once("values") else { return };
    let names = head.starts_with("insert").then(|| head.split_once('(')).flatten();
    let Some((_, names)) = names else { return };
    let names = names.trim().trim_end_matches(')').split(',');
    let values = values.trim().trim_start_matches('(').split([',', ')']);
    for (name, value) in names.zip(values) {
        let number = value.trim().strip_prefix('?').and_then(|n| n.parse::<usize>().ok());
        if let Some(slot) = number.and_then(|n| columns.get_mut(n - 1)) {
            *slot = Some(name.trim().to_owned());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn statements_are_split_outside_quotes_and_comments() {
        let text = "BEGIN; SELECT ';' -- a;b\n; /* ; */ COMMIT;";
        let kinds: Vec<_> = split(text).into_iter().map(|s| s.kind).collect();
        assert_eq!(kinds, [Kind::Begin { read_only: false }, Kind::Sql, Kind::Commit]);
    }

    #[test]
    fn parameters_and_casts_are_rewritten() {
        let statement = single("SELECT a FROM t WHERE b = $2 AND c = $1::int8").expect("one");
        assert_eq!(statement.sql, "SELECT a FROM t WHERE b = ?2 AND c = ?1");
        assert_eq!(statement.types, [oid::INT8, oid::UNKNOWN]);
        assert_eq!(statement.columns, [Some("c".to_owned()), Some("b".to_owned())]);
    }

    #[test]
    fn inserted_columns_name_their_parameters() {
        let statement = single("INSERT INTO t (a, b) VALUES ($1, $2)").expect("one");
        assert_eq!(statement.columns, [Some("a".to_owned()), Some("b".to_owned())]);
    }

    #[test]
    fn control_calls_are_recognised() {
        let statement = single("SELECT * FROM chicoryhollow.fence(2, 'vm-1')").expect("one");
        assert_eq!(statement.kind, Kind::Control("fence(2, 'vm-1')".to_owned()));
    }
}
