//! Control orders to one backend server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chicoryhollow_core::{
    prelude::*,
    watch::{Action, Event, MemberList},
};
use tokio::{sync::mpsc, time::timeout};

use super::convert;
use crate::{
    home::control::{Control, ControlRow},
    node::Node,
};

/// Longest wait for a connection and for the answer to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for a promotion, which applies all that the server received.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Orders that wait for one server; further ones are dropped, and the watcher
/// sends them again.
const QUEUE_ORDERS: usize = 4;

/// Carries the orders of one watcher to one server, in their order.
pub(super) struct Server {
    orders: mpsc::Sender<Action>,
    address: SocketAddr,
}

impl Server {
    /// Starts to carry orders to the server at `address`; what comes of them
    /// goes to `events`.
    pub(super) fn start(
        node: &Arc<Node>,
        server: ServerId,
        address: SocketAddr,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let (orders, queue) = mpsc::channel(QUEUE_ORDERS);
        let node = Arc::clone(node);
        let carrier = Carrier { node, server, address, events, control: None };
        tokio::spawn(carrier.run(queue));
        Server { orders, address }
    }

    /// Returns the configured address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues an order unless the server is behind with earlier ones.
    pub(super) fn order(&self, action: Action) {
        drop(self.orders.try_send(action));
    }
}

struct Carrier {
    node: Arc<Node>,
    server: ServerId,
    address: SocketAddr,
    events: mpsc::Sender<Event>,
    control: Option<Control>,
}

impl Carrier {
    async fn run(mut self, mut queue: mpsc::Receiver<Action>) {
        while let Some(action) = queue.recv().await {
            if let Some(event) = self.carry_out(action).await
                && self.events.send(event).await.is_err()
            {
                return;
            }
        }
    }

    async fn carry_out(&mut self, action: Action) -> Option<Event> {
        let server = self.server.clone();
        match action {
            Action::Poll(_) => {
                let row = self.call("status()", ANSWER_TIMEOUT).await;
                let status = row.as_ref().and_then(convert::status);
                Some(status.map_or(Event::Failed(server.clone()), |s| Event::Status(server, s)))
            }
            Action::Fence { term, owner, .. } => {
                let row = self.call(&format!("fence({term}, '{owner}')"), ANSWER_TIMEOUT).await?;
                Some(Event::Fenced(server, term, granted(&row), convert::status(&row)?))
            }
            Action::Promote { term, owner, members, .. } => {
                let (list, version) = (names(&members), members.version);
                let order = format!("promote({term}, '{owner}', '{list}', {version})");
                let row = self.call(&order, PROMOTE_TIMEOUT).await?;
                Some(Event::Promoted(server, term, granted(&row)))
            }
            Action::SetMembers { term, members, .. } => {
                let (list, version) = (names(&members), members.version);
                self.call(&format!("set_members({term}, {version}, '{list}')"), ANSWER_TIMEOUT)
                    .await;
                None
            }
            Action::Publish(_) | Action::Tell(_) => None,
        }
    }

    /// Calls a function on the control connection, making one when needed.
    async fn call(&mut self, function: &str, patience: Duration) -> Option<ControlRow> {
        let mut control = match self.control.take() {
            Some(control) => control,
            None => {
                let address = self.node.settings.dial(self.address);
                let connecting = Control::connect(address, &self.node.settings.backend);
                timeout(ANSWER_TIMEOUT, connecting).await.ok()?.ok()?
            }
        };
        let row = timeout(patience, control.call(function)).await.ok()?.ok()?;
        // A connection that failed or timed out is not used again.
        self.control = Some(control);
        Some(row)
    }
}

fn granted(row: &ControlRow) -> bool {
    row.get("granted").is_some_and(|granted| granted == "t")
}

fn names(members: &MemberList) -> String {
    let names: Vec<&str> = members.servers.iter().map(ServerId::as_str).collect();
    names.join(",")
}
