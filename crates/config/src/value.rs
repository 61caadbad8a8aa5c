//! Checks of single values, and syntax trees turned into plain JSON.

use std::net::SocketAddr;

use chicoryhollow_core::GroupId;
use jsonc_parser::ast::{Object, Value};
use serde_json::{Map, Number, Value as Json};

use crate::{schema::Kind, verifier::Verifier};

/// Says what is wrong with `value`, or returns `None` when it fits `kind`.
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

/// Checks a text; the outer `None` means that `kind` takes no text.
fn text_mismatch(text: &str, kind: Kind) -> Option<Option<String>> {
    let found = match kind {
        Kind::Choice(words) => {
            (!words.contains(&text)).then(|| format!("{text:?} is not allowed here"))
        }
        Kind::Name | Kind::Reference(_) => GroupId::new(text).err().map(|e| e.to_string()),
        Kind::Address | Kind::UniqueAddress => address(text).err(),
        Kind::Url => url(text).err(),
        Kind::Verifier => text.parse::<Verifier>().err().map(|_| "this is no verifier".to_owned()),
        _ => return None,
    };
    Some(found)
}

/// Parses an address by IP number.
pub(crate) fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?} is no IP address with a port"))
}

fn url(text: &str) -> Result<SocketAddr, String> {
    let rest = text.strip_prefix("http://").ok_or(format!("{text:?} is no HTTP address"))?;
    address(rest.split('/').next().unwrap_or(rest))
}

/// Says what values fit `kind`, as a remedy.
pub(crate) fn expectation(kind: Kind) -> String {
    match kind {
        Kind::Text => "write a text".to_owned(),
        Kind::Flag => "write true or false".to_owned(),
        Kind::Choice(words) => format!("write one of {}", words.join(", ")),
        Kind::Integer(least, most) => format!("write a whole number from {least} to {most}"),
        Kind::Number(least, true) => format!("write a number above {least}"),
        Kind::Number(least, false) => format!("write a number of at least {least}"),
        Kind::Name => "write a name of a-z, 0-9, '-' and '_'".to_owned(),
        Kind::Reference(thing) => format!("write the name of a {}", thing.label()),
        Kind::References(thing) => format!("write a list of names of {}s", thing.label()),
        Kind::Address | Kind::UniqueAddress => {
            "write an address by IP number, such as \"10.0.0.1:5432\"".to_owned()
        }
        Kind::Addresses => "write a list of addresses by IP number".to_owned(),
        Kind::AddressMap => "write an object of addresses by address".to_owned(),
        Kind::Url => "write an address by IP number, such as \"http://10.0.0.1:80\"".to_owned(),
        Kind::Verifier => "run `chicoryctl key new` and copy what it prints".to_owned(),
        Kind::Object(_) => "write an object".to_owned(),
        Kind::Map(map) => format!("write an object of {}s by name", map.entry_kind.label()),
    }
}

/// Longest text that messages repeat, in characters.
const MAX_QUOTED: usize = 40;

/// Names a value in a message.
pub(crate) fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(literal) => {
            let short: String = literal.value.chars().take(MAX_QUOTED).collect();
            format!("text {short:?}")
        }
        Value::NumberLit(number) => {
            let short: String = number.value.chars().take(MAX_QUOTED).collect();
            format!("number {short}")
        }
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Turns an object of a syntax tree into plain JSON; a number that JSON cannot
/// hold becomes null.
pub(crate) fn plain(object: &Object<'_>) -> Map<String, Json> {
    let entry = |property: &jsonc_parser::ast::ObjectProp<'_>| {
        (property.name.as_str().to_owned(), plain_value(&property.value))
    };
    object.properties.iter().map(entry).collect()
}

fn plain_value(value: &Value<'_>) -> Json {
    match value {
        Value::StringLit(literal) => Json::String(literal.value.to_string()),
        Value::NumberLit(number) => plain_number(number.value),
        Value::BooleanLit(flag) => Json::Bool(flag.value),
        Value::Object(object) => Json::Object(plain(object)),
        Value::Array(array) => Json::Array(array.elements.iter().map(plain_value).collect()),
        Value::NullKeyword(_) => Json::Null,
    }
}

fn plain_number(text: &str) -> Json {
    let whole = text.parse::<u64>().ok().map(Number::from);
    let number = whole.or_else(|| text.parse().ok().and_then(Number::from_f64));
    number.map_or(Json::Null, Json::Number)
}
