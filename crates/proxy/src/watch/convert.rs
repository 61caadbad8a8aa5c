//! Views and observations as messages between VMs, and statuses as rows.

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    view::{ServerView, TermStart},
    watch::{Observation, Owner, ServerRole, ServerStatus},
};
use chicoryhollow_peer::{group, stream};

use crate::home::control::ControlRow;

/// Makes the message of a view.
pub(super) fn view_message(view: &GroupView) -> group::View {
    let start = |start: &TermStart| group::TermStart {
        term: start.term.get(),
        lsn: start.lsn.get(),
        xid: start.xid,
    };
    let server = |(name, seen): (&ServerId, &ServerView)| group::ServerView {
        server: name.to_string(),
        reachable: seen.reachable,
        applied: Some(stream::Position {
            term: seen.applied.term().get(),
            lsn: seen.applied.lsn().get(),
        }),
    };
    group::View {
        group: view.group.to_string(),
        term: view.term.get(),
        primary: view.primary.as_ref().map(ServerId::to_string).unwrap_or_default(),
        history: view.history.iter().map(start).collect(),
        servers: view.servers.iter().map(server).collect(),
    }
}

/// Reads the message of a view; `None` when it names no group.
pub(super) fn view(message: &group::View) -> Option<GroupView> {
    let mut view = GroupView::new(GroupId::new(&message.group).ok()?);
    view.term = Term::new(message.term);
    view.primary = ServerId::new(&message.primary).ok();
    view.history = message
        .history
        .iter()
        .map(|start| TermStart {
            term: Term::new(start.term),
            lsn: Lsn::new(start.lsn),
            xid: start.xid,
        })
        .collect();
    for seen in &message.servers {
        let applied = seen.applied.unwrap_or_default();
        let applied = Position::new(Term::new(applied.term), Lsn::new(applied.lsn));
        if let Ok(server) = ServerId::new(&seen.server) {
            view.servers.insert(server, ServerView { reachable: seen.reachable, applied });
        }
    }
    Some(view)
}

/// Makes the message of an observation.
pub(super) fn observation_message(observation: &Observation) -> group::Observation {
    let silence = u64::try_from(observation.silence.as_millis()).unwrap_or(u64::MAX);
    group::Observation {
        view: Some(view_message(&observation.view)),
        silence_ms: silence,
        majority: observation.majority,
    }
}

/// Reads the message of an observation.
pub(super) fn observation(message: &group::Observation) -> Option<Observation> {
    Some(Observation {
        view: view(message.view.as_ref()?)?,
        silence: Duration::from_millis(message.silence_ms),
        majority: message.majority,
    })
}

/// Reads the row that `status()` and `fence()` answer; `None` when a column
/// that decides on promotions is missing or malformed.
pub(super) fn status(row: &ControlRow) -> Option<ServerStatus> {
    let text = |name: &str| row.get(name).map(String::as_str);
    let number = |name: &str| text(name)?.parse::<u64>().ok();
    let role = match text("role")? {
        "primary" => ServerRole::Primary,
        "replica" => ServerRole::Replica,
        _ => ServerRole::Fenced,
    };
    let age = text("majority_age_ms").and_then(|age| age.parse::<u64>().ok());
    let members = text("members")?.split(',').filter(|name| !name.is_empty());
    Some(ServerStatus {
        role,
        term: Term::new(number("term")?),
        fence_term: Term::new(number("fence_term")?),
        fence_owner: Owner::from_text(text("fence_owner")?),
        received: Lsn::new(number("received")?),
        applied: Lsn::new(number("applied")?),
        majority_age: age.map(Duration::from_millis),
        members: members.map(|name| ServerId::new(name).ok()).collect::<Option<_>>()?,
        members_version: number("members_version")?,
        history: serde_json::from_str(text("history")?).ok()?,
    })
}
