//! Conversions of views and observations to and from peer messages, and of control
//! function results to statuses.

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    view::{ServerView, TermStart},
    watch::{Action, FenceOwner, Observation, ServerRole, ServerStatus},
};
use chicoryhollow_peer::group;

use crate::{
    home::control::ControlRow,
    stream::{decode_position, encode_position},
};

/// Converts a view to its peer message.
pub(super) fn encode_view(view: &GroupView) -> group::View {
    let server = |(name, server): (&ServerId, &ServerView)| group::ServerView {
        server: name.to_string(),
        reachable: server.reachable,
        applied: Some(encode_position(server.applied)),
    };
    let start = |start: &TermStart| group::TermStart {
        term: start.term.get(),
        lsn: start.lsn.get(),
        xid: start.xid,
    };
    group::View {
        group: view.group.to_string(),
        term: view.term.get(),
        primary: view.primary.as_ref().map(ToString::to_string).unwrap_or_default(),
        history: view.history.iter().map(start).collect(),
        servers: view.servers.iter().map(server).collect(),
    }
}

/// Converts a peer message to a view. Returns `None` if a name in it is malformed.
pub(super) fn decode_view(message: &group::View) -> Option<GroupView> {
    let mut view = GroupView::new(GroupId::new(&message.group).ok()?);
    view.term = Term::new(message.term);
    if !message.primary.is_empty() {
        view.primary = Some(ServerId::new(&message.primary).ok()?);
    }
    let start = |start: &group::TermStart| TermStart {
        term: Term::new(start.term),
        lsn: Lsn::new(start.lsn),
        xid: start.xid,
    };
    view.history = message.history.iter().map(start).collect();
    for server in &message.servers {
        let applied = server.applied.map(decode_position).unwrap_or_default();
        let found = ServerView { reachable: server.reachable, applied };
        view.servers.insert(ServerId::new(&server.server).ok()?, found);
    }
    Some(view)
}

/// Converts an observation to its peer message.
pub(super) fn encode_observation(observation: &Observation) -> group::Observation {
    group::Observation {
        view: Some(encode_view(&observation.view)),
        silence_ms: u64::try_from(observation.silence.as_millis()).unwrap_or(u64::MAX),
        majority: observation.has_majority,
    }
}

/// Converts a peer message to an observation. Returns `None` if its view is missing
/// or malformed.
pub(super) fn decode_observation(message: &group::Observation) -> Option<Observation> {
    Some(Observation {
        view: decode_view(message.view.as_ref()?)?,
        silence: Duration::from_millis(message.silence_ms),
        has_majority: message.majority,
    })
}

/// Returns the server that an action is for and the call of the control function
/// that executes it, or `None` if the action is for no server.
pub(super) fn control_call(action: &Action) -> Option<(&ServerId, String)> {
    match action {
        Action::Poll(server) => Some((server, "status()".to_owned())),
        Action::Quiesce { server, timeout } => {
            Some((server, format!("quiesce({})", timeout.as_millis())))
        }
        Action::Fence { server, term, owner } => {
            Some((server, format!("fence({term}, '{owner}')")))
        }
        Action::Promote { server, term, owner, members } => {
            let list = join_names(&members.servers);
            Some((server, format!("promote({term}, '{owner}', '{list}', {})", members.version)))
        }
        Action::SetMembers { server, term, members } => {
            let list = join_names(&members.servers);
            Some((server, format!("set_members({term}, {}, '{list}')", members.version)))
        }
        Action::Publish(_) | Action::SendObservation(_) => None,
    }
}

fn join_names(servers: &[ServerId]) -> String {
    let names: Vec<&str> = servers.iter().map(ServerId::as_str).collect();
    names.join(",")
}

/// Returns whether a control function reports that it granted the request.
pub(super) fn is_granted(row: &ControlRow) -> bool {
    text(row, "granted") == "t"
}

/// Returns whether the server reports that no transaction that has written is open.
pub(super) fn is_quiet(row: &ControlRow) -> bool {
    text(row, "quiet") == "t"
}

/// Parses the name of a role.
pub(super) fn parse_role(name: &str) -> Option<ServerRole> {
    match name {
        "primary" => Some(ServerRole::Primary),
        "replica" => Some(ServerRole::Replica),
        "fenced" => Some(ServerRole::Fenced),
        _ => None,
    }
}

/// Parses the columns of a status. Returns `None` if one is missing or malformed.
pub(super) fn parse_status(row: &ControlRow) -> Option<ServerStatus> {
    let role = parse_role(text(row, "role"))?;
    let members: Result<Vec<ServerId>, _> = text(row, "members")
        .split(',')
        .filter(|name| !name.is_empty())
        .map(ServerId::new)
        .collect();
    Some(ServerStatus {
        role,
        term: Term::new(number(row, "term")?),
        fence_term: Term::new(number(row, "fence_term")?),
        fence_owner: FenceOwner::from_text(text(row, "fence_owner")),
        received: Lsn::new(number(row, "received")?),
        applied: Lsn::new(number(row, "applied")?),
        // A server without a majority reports a negative age.
        majority_age: number(row, "majority_age_ms").map(Duration::from_millis),
        members: members.ok()?,
        members_version: number(row, "members_version")?,
        history: serde_json::from_str(text(row, "history")).ok()?,
    })
}

fn text<'a>(row: &'a ControlRow, name: &str) -> &'a str {
    row.get(name).map_or("", String::as_str)
}

fn number(row: &ControlRow, name: &str) -> Option<u64> {
    text(row, name).parse().ok()
}
