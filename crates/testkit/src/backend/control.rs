//! The control functions, which are called as functions of a schema.
//!
//! The proxy uses them to read a server's status, to wait for a majority, to
//! quiesce, fence and promote the server and to change the members of its group.
//! Tests use `set_lag` to change the server's delays.

use std::time::{Duration, Instant};

use crate::backend::{
    core::{Core, Role},
    datum::oid,
    engine::{Answer, Column, encode_texts},
    error::SqlError,
    node::Node,
    transaction::Outcome,
};

/// The single row of an answer: names and texts of its columns.
type Fields = Vec<(&'static str, String)>;

/// Calls a function given as `name(arguments)`.
pub(crate) async fn call(node: &Node, text: &str) -> Result<Outcome, SqlError> {
    let bad = || SqlError::new("42883", format!("no such control function: {text}"));
    let (name, rest) = text.split_once('(').ok_or_else(bad)?;
    let (arguments, _) = rest.rsplit_once(')').ok_or_else(bad)?;
    let arguments = Arguments::new(arguments);
    let fields = match name.trim().to_ascii_lowercase().as_str() {
        "status" => node.with(status),
        "pulse" => node.with(pulse),
        "barrier" => barrier(node, &arguments).await?,
        "await_confirmed" => await_confirmed(node, &arguments).await?,
        "quiesce" => quiesce(node, &arguments).await?,
        "fence" => fence(node, &arguments)?,
        "promote" => promote(node, &arguments)?,
        "set_members" => set_members(node, &arguments)?,
        "set_lag" => set_lag(node, &arguments)?,
        _ => return Err(bad()),
    };
    Ok(outcome(fields))
}

/// Arguments of a call, each a number or a quoted text.
struct Arguments(Vec<String>);

impl Arguments {
    fn new(text: &str) -> Self {
        let mut arguments = vec![String::new()];
        let mut quoted = false;
        for c in text.chars() {
            match c {
                '\'' => quoted = !quoted,
                ',' if !quoted => arguments.push(String::new()),
                c if c.is_whitespace() && !quoted => {}
                c => arguments.iter_mut().last().into_iter().for_each(|last| last.push(c)),
            }
        }
        Arguments(arguments)
    }

    fn text(&self, index: usize) -> Result<&str, SqlError> {
        let missing = || SqlError::new("42883", format!("argument {} is missing", index + 1));
        self.0.get(index).map(String::as_str).ok_or_else(missing)
    }

    fn number(&self, index: usize) -> Result<u64, SqlError> {
        let bad = |_| SqlError::new("22P02", format!("argument {} is no number", index + 1));
        self.text(index)?.parse().map_err(bad)
    }

    fn millis(&self, index: usize) -> Result<Duration, SqlError> {
        self.number(index).map(Duration::from_millis)
    }
}

fn outcome(fields: Fields) -> Outcome {
    let column =
        |(name, _): &(&str, String)| Column { name: (*name).to_owned(), type_id: oid::TEXT };
    let columns: Vec<Column> = fields.iter().map(column).collect();
    let texts: Vec<&str> = fields.iter().map(|(_, text)| text.as_str()).collect();
    let rows = vec![encode_texts(&texts)];
    let answer = Answer { columns: columns.into(), rows, changed: 1 };
    Outcome { answer, tag: "SELECT 1".to_owned() }
}

fn boolean(value: bool) -> String {
    if value { "t" } else { "f" }.to_owned()
}

fn age_ms(core: &Core) -> i64 {
    core.majority_age().map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(-1))
}

fn pulse(core: &mut Core) -> Fields {
    let (role, term, fence_term) = (core.role.as_str(), core.term, core.fence_term);
    let (version, received, applied) = (core.members.version, core.log.end(), core.applied);
    let age = age_ms(core);
    let text = format!("{role} {term} {fence_term} {version} {received} {applied} {age}");
    vec![("pulse", text)]
}

fn status(core: &mut Core) -> Fields {
    let age = age_ms(core);
    let history = serde_json::to_string(core.log.history()).unwrap_or_default();
    vec![
        ("server", core.server.clone()),
        ("role", core.role.as_str().to_owned()),
        ("term", core.term.to_string()),
        ("fence_term", core.fence_term.to_string()),
        ("fence_owner", core.fence_owner.clone()),
        ("received", core.log.end().to_string()),
        ("applied", core.applied.to_string()),
        ("confirmed", core.confirmed().to_string()),
        ("majority_age_ms", age.to_string()),
        ("members", core.members.list.join(",")),
        ("members_version", core.members.version.to_string()),
        ("history", history),
    ]
}

async fn barrier(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let timeout = arguments.millis(0)?;
    let position = node.with(|core| {
        let primary = core.role == Role::Primary;
        primary.then(|| core.position()).ok_or_else(SqlError::not_primary)
    })?;
    let round = node.begin_round();
    let answered = node
        .wait_for(timeout, |core| {
            let deposed = core.role != Role::Primary || core.term != position.term().get();
            match core.is_round_confirmed(round) {
                _ if deposed => Some(Err(SqlError::not_primary())),
                confirmed => confirmed.then_some(Ok(())),
            }
        })
        .await;
    let timed_out = || SqlError::new("57014", "no majority answered in time");
    answered.ok_or_else(timed_out)??;
    Ok(vec![("term", position.term().to_string()), ("lsn", position.lsn().to_string())])
}

async fn await_confirmed(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let (lsn, timeout) = (arguments.number(0)?, arguments.millis(1)?);
    let ready = |core: &mut Core| {
        if core.role != Role::Primary {
            return Some(Err(SqlError::not_primary()));
        }
        (core.confirmed() >= lsn).then_some(Ok(()))
    };
    if let Some(result) = node.wait_for(timeout, ready).await {
        result?;
    }
    let (term, confirmed) = node.with(|core| (core.term, core.confirmed()));
    Ok(vec![("term", term.to_string()), ("confirmed", confirmed.to_string())])
}

async fn quiesce(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let timeout = arguments.millis(0)?;
    let begin = |core: &mut Core| {
        let begun = core.role == Role::Primary && core.quiesce.begin(timeout, Instant::now());
        begun.then_some(core.epoch)
    };
    let Some(epoch) = node.update(begin) else {
        return Ok(vec![("quiet", boolean(false))]);
    };
    let ended = |core: &mut Core| (core.epoch != epoch || core.quiesce.is_quiet()).then_some(());
    node.wait_for(timeout, ended).await;
    let quiet = node.update(|core| {
        let quiet = core.epoch == epoch && core.quiesce.is_quiet();
        if core.epoch == epoch {
            core.quiesce.finish(quiet, Instant::now());
        }
        quiet
    });
    Ok(vec![("quiet", boolean(quiet))])
}

fn fence(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let (term, owner) = (arguments.number(0)?, arguments.text(1)?);
    Ok(node.update(|core| {
        let granted = core.fence(term, owner);
        let mut fields = status(core);
        fields.push(("granted", boolean(granted)));
        fields
    }))
}

fn promote(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let (term, owner) = (arguments.number(0)?, arguments.text(1)?);
    let (members, version) = (arguments.text(2)?, arguments.number(3)?);
    Ok(node.update(|core| {
        let granted = core.promote(term, owner, members, version);
        vec![("granted", boolean(granted)), ("lsn", core.log.end().to_string())]
    }))
}

fn set_members(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let (term, version) = (arguments.number(0)?, arguments.number(1)?);
    let members = arguments.text(2)?;
    let granted = node.update(|core| core.set_members(term, version, members));
    Ok(vec![("granted", boolean(granted))])
}

fn set_lag(node: &Node, arguments: &Arguments) -> Result<Fields, SqlError> {
    let (ship, apply) = (arguments.millis(0)?, arguments.millis(1)?);
    node.update(|core| core.set_lag(ship, apply));
    Ok(vec![("granted", boolean(true))])
}
