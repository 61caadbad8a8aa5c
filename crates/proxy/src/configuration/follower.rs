//! The actor that follows the configuration.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture, fut::wrap_future,
};
use chicoryhollow_config::{
    ConfigurationState,
    configuration::Versioned,
    publish::{self, Published, ROW},
    reader::{Action, Offer, OfferError},
};
use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;
use chicoryhollow_store::{HttpPlatform, Platform, PlatformError, Row};
use slog::o;

use super::{
    convert,
    list::{List, SEED_INTERVAL},
};
use crate::{events::Event, node::Node, peers::Reply};

/// Time between two looks at whether something is due.
const TICK: Duration = Duration::from_millis(50);

/// A control message of another VM.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PeerMessage {
    /// Sending VM.
    pub(crate) from: VmId,
    /// The message.
    pub(crate) body: Body,
    /// Way back on the same connection.
    pub(crate) reply: Reply,
}

/// Carries messages between the decision, the platform and other VMs.
pub(crate) struct Follower {
    pub(super) node: Arc<Node>,
    pub(super) platform: HttpPlatform,
    pub(super) state: ConfigurationState,
    pub(super) list: List,
    pub(super) silent: bool,
    replies: HashMap<VmId, Reply>,
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower").field("state", &self.state).finish_non_exhaustive()
    }
}

impl Actor for Follower {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(SEED_INTERVAL, |follower, context| follower.ask_seed(context));
        context.run_interval(TICK, |follower, context| follower.tick(context));
    }
}

impl Handler<PeerMessage> for Follower {
    type Result = ();

    fn handle(&mut self, message: PeerMessage, context: &mut Context<Self>) {
        let PeerMessage { from, body, reply } = message;
        let now = self.node.clock.now();
        match body {
            Body::ConfigurationAsk(ask) => {
                self.replies.insert(from.clone(), reply);
                let actions = self.state.asked(from, ask.version, now);
                self.act(actions, context);
            }
            Body::ConfigurationAnswer(answer) => {
                if let Some(offer) = convert::offer(answer) {
                    self.offered(&from, &offer, context);
                }
            }
            Body::MembersAsk(ask) => self.list.answer(&ask, &reply, now),
            Body::MembersAnswer(answer) => self.list_answered(&from, answer),
            _ => {}
        }
    }
}

impl Follower {
    /// Makes the follower of a daemon that holds no configuration yet.
    pub(crate) fn new(node: Arc<Node>, platform: HttpPlatform) -> Self {
        let (vm, data_centre) = (node.settings.vm.clone(), node.settings.data_centre.clone());
        let state = ConfigurationState::new(vm, data_centre, node.clock.now());
        Follower {
            node,
            platform,
            state,
            list: List::default(),
            silent: false,
            replies: HashMap::new(),
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.node.clock.now();
        let moved = self.node.metrics.control_bytes.with_label_values(&["platform"]);
        moved.inc_by(self.platform.take_transferred_bytes());
        let actions = self.state.tick(now, &mut rand::rng());
        self.act(actions, context);
        if let Some(age) = self.state.age(now) {
            self.node.configuration_follower.confirm(Time::from_micros(
                now.as_micros() - u64::try_from(age.as_micros()).unwrap_or(0),
            ));
            self.node
                .metrics
                .configuration_age
                .set(i64::try_from(age.as_secs()).unwrap_or(i64::MAX));
        }
        self.replies.retain(|_, reply| !reply.is_closed());
    }

    fn act(&mut self, actions: impl IntoIterator<Item = Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::ReadRow => {
                    self.read_row(context);
                    self.read_list(context);
                }
                Action::ReadObject(name) => self.read_object(name, context),
                Action::Ask(vm, version) => self.ask(&vm, version),
                Action::Send(vm, offer) => self.send(&vm, &offer),
                Action::Enforce(versioned) => self.enforce(versioned),
            }
        }
    }

    /// Asks a VM; an ask that gets lost is repeated by the decision.
    fn ask(&mut self, vm: &VmId, version: u64) {
        let body = Body::ConfigurationAsk(convert::ask(version));
        self.node.peers.send(&self.node, vm, body);
        // Another data centre may reach the VMs at other addresses.
        let here = &self.node.settings.data_centre;
        if self.node.members.get(vm).is_some_and(|listed| listed.data_centre == *here) {
            let body = self.list.ask(vm, self.node.clock.now());
            self.node.peers.send(&self.node, vm, body);
        }
    }

    /// Sends an offer on the connection on which the VM last asked.
    fn send(&self, vm: &VmId, offer: &Offer) {
        let body = Body::ConfigurationAnswer(convert::answer(offer));
        if let Some(reply) = self.replies.get(vm) {
            // The VM asks again when it does not receive the offer.
            reply.send(body);
        }
    }

    fn enforce(&self, versioned: Arc<Versioned>) {
        let version = versioned.version;
        self.node.configuration.send_replace(versioned);
        self.node.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        Event::ConfigurationApplied.record(&self.node.log, o!("version" => version));
    }

    fn offered(&mut self, from: &VmId, offer: &Offer, context: &mut Context<Self>) {
        match self.state.offered(from, offer, self.node.clock.now()) {
            Ok(actions) => self.act(actions, context),
            // The offer crossed with another one; the next ask settles it.
            Err(OfferError::Base { .. }) => {}
            Err(error) => {
                let fields = o!("vm" => from.to_string(), "error" => error.to_string());
                Event::ConfigurationRefused.record(&self.node.log, fields);
            }
        }
    }

    fn read_row(&self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let request = async move { platform.get(ROW).await.and_then(decode) };
        let answered = wrap_future::<_, Self>(request).map(|answer, follower, context| {
            follower.heard(&answer);
            if let Ok(row) = answer {
                let actions = follower.state.row(row, follower.node.clock.now());
                follower.act(actions, context);
            }
        });
        context.spawn(answered);
    }

    fn read_object(&self, name: String, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let request = async move {
            let answer = platform.object(&name).await;
            (name, answer)
        };
        let answered = request.into_actor(self).map(|(name, answer), follower, context| {
            follower.heard(&answer);
            let bytes = answer.ok().flatten();
            let actions = follower.state.object(&name, bytes, follower.node.clock.now());
            follower.act(actions, context);
        });
        context.spawn(answered);
    }

    /// Logs when the platform falls silent and when it answers again.
    pub(super) fn heard<T>(&mut self, answer: &Result<T, PlatformError>) {
        match answer {
            Err(error) if !self.silent => {
                let fields = o!("error" => error.to_string());
                Event::PlatformUnavailable.record(&self.node.log, fields);
            }
            Ok(_) if self.silent => Event::PlatformAvailable.record(&self.node.log, o!()),
            _ => {}
        }
        self.silent = answer.is_err();
    }
}

/// Turns the row into the version that it names.
fn decode(row: Option<Row>) -> Result<Option<publish::Versioned>, PlatformError> {
    let Some(row) = row else { return Ok(None) };
    let value = serde_json::from_value::<Published>(row.value)
        .map_err(|error| PlatformError::Protocol(error.to_string()))?;
    Ok(Some(publish::Versioned { version: row.version, value }))
}
