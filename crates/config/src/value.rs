//! Checks single values and converts syntax trees to plain JSON.

use std::net::SocketAddr;

use chicoryhollow_core::GroupId;
use jsonc_parser::ast::{Object, Value};
use serde_json::{Map, Number, Value as Json};

use crate::{schema::Kind, verifier::Verifier};

/// Returns what is wrong with `value`, or `None` if it is of `kind`.
pub(crate) fn mismatch(value: &Value<'_>, kind: Kind) -> Option<String> {
    match (kind, value) {
        (Kind::Text, Value::StringLit(_)) | (Kind::Flag, Value::BooleanLit(_)) => None,
        (Kind::Integer(least, most), Value::NumberLit(number)) => {
            let number = number.value.parse::<u64>().ok();
            let fits = number.is_some_and(|number| (least..=most).contains(&number));
            (!fits).then(|| format!("found {}", describe(value)))
        }
        (Kind::Number(least, above), Value::NumberLit(number)) => {
            let number = number.value.parse::<f64>().ok().filter(|number| number.is_finite());
            let fits = number.is_some_and(|n| n > least || (n == least && !above));
            (!fits).then(|| format!("found {}", describe(value)))
        }
        (_, Value::StringLit(literal)) => text_mismatch(&literal.value, kind)
            .unwrap_or_else(|| Some(format!("found {}", describe(value)))),
        _ => Some(format!("found {}", describe(value))),
    }
}

/// Checks a text. The outer `None` means that `kind` does not accept a text,
/// the inner one that the text is valid.
fn text_mismatch(text: &str, kind: Kind) -> Option<Option<String>> {
    let found = match kind {
        Kind::Choice(words) => {
            (!words.contains(&text)).then(|| format!("{text:?} is not allowed here"))
        }
        Kind::Name | Kind::Reference(_) => GroupId::new(text).err().map(|e| e.to_string()),
        Kind::Address | Kind::UniqueAddress => parse_address(text).err(),
        Kind::Url => parse_url(text).err(),
        Kind::Verifier => text.parse::<Verifier>().err().map(|_| "not a key verifier".to_owned()),
        _ => return None,
    };
    Some(found)
}

/// Parses an IP address with a port.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?} is not an IP address with a port"))
}

fn parse_url(text: &str) -> Result<SocketAddr, String> {
    let rest = text.strip_prefix("http://").ok_or(format!("{text:?} is not an HTTP address"))?;
    parse_address(rest.split('/').next().unwrap_or(rest))
}

/// Returns a remedy that says which values `kind` accepts.
pub(crate) fn expectation(kind: Kind) -> String {
    match kind {
        Kind::Text => "write a text".to_owned(),
        Kind::Flag => "write true or false".to_owned(),
        Kind::Choice(words) => format!("write one of {}", words.join(", ")),
        Kind::Integer(least, most) => format!("write a whole number from {least} to {most}"),
        Kind::Number(least, true) => format!("write a number above {least}"),
        Kind::Number(least, false) => format!("write a number of at least {least}"),
        Kind::Name => "write a name of a-z, 0-9, '-' and '_'".to_owned(),
        Kind::Reference(entry_kind) => format!("write the name of a {}", entry_kind.label()),
        Kind::References(entry_kind) => format!("write a list of names of {}s", entry_kind.label()),
        Kind::Address | Kind::UniqueAddress => {
            "write an IP address with a port, such as \"10.0.0.1:5432\"".to_owned()
        }
        Kind::Addresses => "write a list of IP addresses with ports".to_owned(),
        Kind::AddressMap => "write an object that maps addresses to addresses".to_owned(),
        Kind::Url => "write an HTTP address, such as \"http://10.0.0.1:80\"".to_owned(),
        Kind::Verifier => "run `chicoryctl key new` and copy what it prints".to_owned(),
        Kind::Object(_) => "write an object".to_owned(),
        Kind::Map(map) => format!("write an object of {}s by name", map.entry_kind.label()),
    }
}

/// Longest part of a value that messages quote, in characters.
const MAX_QUOTED_CHARS: usize = 40;

/// Describes a value for a message.
pub(crate) fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(literal) => {
            let short: String = literal.value.chars().take(MAX_QUOTED_CHARS).collect();
            format!("text {short:?}")
        }
        Value::NumberLit(number) => {
            let short: String = number.value.chars().take(MAX_QUOTED_CHARS).collect();
            format!("number {short}")
        }
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Converts an object of a syntax tree to plain JSON; a number that JSON cannot
/// represent becomes null.
pub(crate) fn to_json(object: &Object<'_>) -> Map<String, Json> {
    let entry = |property: &jsonc_parser::ast::ObjectProp<'_>| {
        (property.name.as_str().to_owned(), to_json_value(&property.value))
    };
    object.properties.iter().map(entry).collect()
}

fn to_json_value(value: &Value<'_>) -> Json {
    match value {
        Value::StringLit(literal) => Json::String(literal.value.to_string()),
        Value::NumberLit(number) => to_json_number(number.value),
        Value::BooleanLit(flag) => Json::Bool(flag.value),
        Value::Object(object) => Json::Object(to_json(object)),
        Value::Array(array) => Json::Array(array.elements.iter().map(to_json_value).collect()),
        Value::NullKeyword(_) => Json::Null,
    }
}

fn to_json_number(text: &str) -> Json {
    let whole = text.parse::<u64>().ok().map(Number::from);
    let number = whole.or_else(|| text.parse().ok().and_then(Number::from_f64));
    number.map_or(Json::Null, Json::Number)
}
