//! Following the database groups.
//!
//! Every daemon asks every server for its status.

use std::{sync::Arc, time::Duration};

use chicoryhollow_config::configuration::Server;
use chicoryhollow_core::{prelude::*, view::TermStart};
use chicoryhollow_peer::Body;
use slog::o;
use tokio::time::timeout;

use crate::{
    events::Event,
    home::control::{Control, ControlRow},
    node::Node,
    peers::Reply,
};

/// Time between two questions to one server, in milliseconds.
const POLL_MS: u64 = 200;

/// Longest wait for an answer, in milliseconds.
const ANSWER_MS: u64 = 1_000;

/// Follows all configured servers for as long as the daemon runs.
pub async fn follow(node: Arc<Node>) {
    let mut configurations = node.configuration.subscribe();
    let mut followed = std::collections::HashSet::new();
    loop {
        let versioned = Arc::clone(&configurations.borrow_and_update());
        for (group, found) in &versioned.configuration.groups {
            for (server, found) in &found.servers {
                if followed.insert(server.clone()) {
                    tokio::spawn(ask(Arc::clone(&node), group.clone(), found.clone()));
                }
            }
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

async fn ask(node: Arc<Node>, group: GroupId, server: Server) {
    let mut control = None;
    let patience = Duration::from_millis(ANSWER_MS);
    loop {
        if control.is_none() {
            let address = node.settings.dial(server.address);
            let connecting = Control::connect(address, &node.settings.backend);
            control = timeout(patience, connecting).await.ok().and_then(Result::ok);
        }
        if let Some(connection) = &mut control {
            match timeout(patience, connection.call("status()")).await {
                Ok(Ok(row)) => publish(&node, &group, &row),
                _ => control = None,
            }
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

fn publish(node: &Node, group: &GroupId, row: &ControlRow) {
    let text = |name: &str| row.get(name).map_or("", String::as_str);
    if text("role") != "primary" {
        return;
    }
    let mut view = GroupView::new(group.clone());
    view.term = Term::new(text("term").parse().unwrap_or(0));
    view.primary = ServerId::new(text("server")).ok();
    view.history = serde_json::from_str::<Vec<TermStart>>(text("history")).unwrap_or_default();
    let (term, primary) = (view.term, view.primary.clone());
    if node.groups.publish(view) {
        let primary = primary.map(|server| server.to_string()).unwrap_or_default();
        let fields = o!("group" => group.to_string(), "term" => term.get(), "primary" => primary);
        Event::PrimaryChanged.record(&node.log, fields);
    }
}

/// Receives a control message of another VM.
pub(crate) fn receive(_node: &Arc<Node>, _from: &VmId, _body: Body, _reply: &Reply) {}
