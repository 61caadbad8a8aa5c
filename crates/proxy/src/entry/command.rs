//! Statements that are answered without a backend server.
//!
//! These set or show state of the session that the proxy holds itself, or have no
//! effect on a pooled connection. Each is recognised as a [`Command`].

use std::time::Duration;

use sqlparser::ast::{DiscardObject, Expr, ObjectName, Reset, Set, Statement, Value};

use super::handshake::SESSION_PARAMETER;

/// Parameters that may be set to any value. The value makes no difference that a
/// caller can observe.
const IGNORED_PARAMETERS: [&str; 3] =
    ["application_name", "client_min_messages", "extra_float_digits"];

/// Parameters with a fixed value, and the notations of that value. Callers may
/// set them to this value only.
const FIXED_PARAMETERS: [(&str, &[&str]); 6] = [
    ("client_encoding", &["utf8", "utf-8", "unicode"]),
    ("datestyle", &["iso", "iso, mdy", "iso,mdy"]),
    ("intervalstyle", &["postgres"]),
    ("timezone", &["utc", "etc/utc", "gmt"]),
    ("standard_conforming_strings", &["on", "true"]),
    ("bytea_output", &["hex"]),
];

/// A statement that is answered without a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Has no effect; the answer is this command tag.
    Accept(&'static str),
    /// Adds the positions of a session token to that of the session.
    SetSession(String),
    /// Shows the session token.
    ShowSession,
    /// Lowers the time limit of statements; `None` restores the default.
    SetTimeout(Option<Duration>),
    /// Removes a prepared statement, or all of them.
    Deallocate(Option<String>),
    /// Resets the prepared statements and the time limit of the session.
    DiscardAll,
}

impl Command {
    /// Returns the command that `statement` is, if any.
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
                Reset::ConfigurationParameter(name) if is_named(name, "statement_timeout") => {
                    Some(Command::SetTimeout(None))
                }
                Reset::ConfigurationParameter(name) if is_named(name, SESSION_PARAMETER) => None,
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
                let texts: Vec<_> = values.iter().map(literal_text).collect();
                let value = texts.join(", ");
                if is_named(variable, SESSION_PARAMETER) && !local {
                    return Some(Command::SetSession(value));
                }
                if is_named(variable, "statement_timeout") && !local {
                    return parse_timeout(&value).map(Command::SetTimeout);
                }
                let name = variable.to_string();
                (!local && is_accepted_setting(&name, &value)).then_some(Command::Accept("SET"))
            }
            Set::SetTimeZone { local: false, value } => {
                is_accepted_setting("timezone", &literal_text(value))
                    .then_some(Command::Accept("SET"))
            }
            Set::SetNames { charset_name, .. } => {
                is_accepted_setting("client_encoding", &charset_name.value)
                    .then_some(Command::Accept("SET"))
            }
            _ => None,
        }
    }
}

fn is_named(name: &ObjectName, expected: &str) -> bool {
    name.to_string().eq_ignore_ascii_case(expected)
}

fn is_accepted_setting(name: &str, value: &str) -> bool {
    let same = |known: &str| known.eq_ignore_ascii_case(name);
    if IGNORED_PARAMETERS.iter().any(|known| same(known)) {
        return true;
    }
    let fixed = FIXED_PARAMETERS.iter().find(|(known, _)| same(known));
    fixed.is_some_and(|(_, values)| values.iter().any(|v| v.eq_ignore_ascii_case(value)))
}

/// Returns the text of a literal, or of a word without quotes.
fn literal_text(expr: &Expr) -> String {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) | Value::DoubleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string().trim_matches('"').to_owned(),
    }
}

/// Parses a time limit in the syntax of PostgreSQL: milliseconds, or a number
/// with the unit `ms`, `s` or `min`. The outer `None` means that the text is not
/// a time limit, the inner one that there is no limit.
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
