//! Statements that the entry answers itself, without a backend server.

use std::time::Duration;

use sqlparser::ast::{DiscardObject, Expr, ObjectName, Reset, Set, Statement, Value};

use super::handshake::SESSION_PARAMETER;

/// Parameters whose setting changes nothing that a caller can see.
const IGNORED_PARAMETERS: [&str; 3] =
    ["application_name", "client_min_messages", "extra_float_digits"];

/// Parameters that callers may set to the value that is in force anyway.
const FIXED_PARAMETERS: [(&str, &[&str]); 6] = [
    ("client_encoding", &["utf8", "utf-8", "unicode"]),
    ("datestyle", &["iso", "iso, mdy", "iso,mdy"]),
    ("intervalstyle", &["postgres"]),
    ("timezone", &["utc", "etc/utc", "gmt"]),
    ("standard_conforming_strings", &["on", "true"]),
    ("bytea_output", &["hex"]),
];

/// A statement that the entry answers itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Changes nothing and answers this tag.
    Accept(&'static str),
    /// Sets the session token.
    SetSession(String),
    /// Shows the session token.
    ShowSession,
    /// Lowers the time limit of statements; none restores it.
    SetTimeout(Option<Duration>),
    /// Forgets a prepared statement, or all of them.
    Deallocate(Option<String>),
    /// Forgets all state of the session.
    DiscardAll,
}

impl Command {
    /// Returns the command that `statement` stands for, if it is one.
    pub(crate) fn new(statement: &Statement) -> Option<Self> {
        match statement {
            Statement::Set(set) => Command::from_set(set),
            Statement::ShowVariable { variable } => {
                let parts: Vec<_> = variable.iter().map(|part| part.value.as_str()).collect();
                parts
                    .join(".")
                    .eq_ignore_ascii_case(SESSION_PARAMETER)
                    .then_some(Command::ShowSession)
            }
            Statement::Reset(reset) => match &reset.reset {
                Reset::ConfigurationParameter(name) if is(name, "statement_timeout") => {
                    Some(Command::SetTimeout(None))
                }
                Reset::ConfigurationParameter(name) if is(name, SESSION_PARAMETER) => None,
                _ => Some(Command::Accept("RESET")),
            },
            Statement::Discard { object_type } => Some(match object_type {
                DiscardObject::ALL => Command::DiscardAll,
                DiscardObject::PLANS => Command::Accept("DISCARD PLANS"),
                DiscardObject::SEQUENCES => Command::Accept("DISCARD SEQUENCES"),
                DiscardObject::TEMP => Command::Accept("DISCARD TEMP"),
            }),
            Statement::Deallocate { name, .. } => {
                let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
                Some(Command::Deallocate((!all).then(|| name.value.clone())))
            }
            Statement::UNLISTEN { .. } => Some(Command::Accept("UNLISTEN")),
            _ => None,
        }
    }

    fn from_set(set: &Set) -> Option<Self> {
        match set {
            Set::SingleAssignment { scope, variable, values, .. } => {
                let local = matches!(scope, Some(sqlparser::ast::ContextModifier::Local));
                let texts: Vec<_> = values.iter().map(text).collect();
                let value = texts.join(", ");
                if is(variable, SESSION_PARAMETER) && !local {
                    return Some(Command::SetSession(value));
                }
                if is(variable, "statement_timeout") && !local {
                    return parse_timeout(&value).map(Command::SetTimeout);
                }
                let name = variable.to_string();
                (!local && is_accepted(&name, &value)).then_some(Command::Accept("SET"))
            }
            Set::SetTimeZone { local: false, value } => {
                is_accepted("timezone", &text(value)).then_some(Command::Accept("SET"))
            }
            Set::SetNames { charset_name, .. } => {
                is_accepted("client_encoding", &charset_name.value)
                    .then_some(Command::Accept("SET"))
            }
            _ => None,
        }
    }
}

fn is(name: &ObjectName, expected: &str) -> bool {
    name.to_string().eq_ignore_ascii_case(expected)
}

fn is_accepted(name: &str, value: &str) -> bool {
    let same = |known: &str| known.eq_ignore_ascii_case(name);
    if IGNORED_PARAMETERS.iter().any(|known| same(known)) {
        return true;
    }
    let fixed = FIXED_PARAMETERS.iter().find(|(known, _)| same(known));
    fixed.is_some_and(|(_, values)| values.iter().any(|v| v.eq_ignore_ascii_case(value)))
}

/// Returns the text of a literal or a bare word.
fn text(expr: &Expr) -> String {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) | Value::DoubleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string().trim_matches('"').to_owned(),
    }
}

/// Reads a time limit as PostgreSQL does: milliseconds, or a number with `ms`,
/// `s` or `min`. The outer `None` means that the text is no time limit, the
/// inner one that there is no limit.
pub(crate) fn parse_timeout(text: &str) -> Option<Option<Duration>> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[..digits].parse().ok()?;
    let unit = match text[digits..].trim() {
        "" | "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        _ => return None,
    };
    let millis = number.saturating_mul(unit);
    Some((millis > 0).then(|| Duration::from_millis(millis)))
}
