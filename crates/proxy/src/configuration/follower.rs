//! The actor that follows the configuration and the list of VMs.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture, fut::wrap_future,
};
use chicoryhollow_config::{
    ConfigurationState,
    configuration::Versioned,
    publish::{self, Published, ROW_KEY},
    reader::{Action, Offer, OfferError},
};
use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;
use chicoryhollow_store::{HttpPlatform, Platform, PlatformError, Row};
use slog::o;

use super::{
    convert,
    list::{SEED_INTERVAL, VmList},
};
use crate::{events::Event, node::Node, peers::Reply};

/// Interval at which the configuration's state decides what to do next.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A control message of another VM.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PeerMessage {
    /// Sending VM.
    pub(crate) from: VmId,
    /// The message.
    pub(crate) body: Body,
    /// Sends answers on the same connection.
    pub(crate) reply: Reply,
}

/// Passes messages between the configuration's state, the platform and other VMs.
pub(crate) struct Follower {
    pub(super) node: Arc<Node>,
    pub(super) platform: HttpPlatform,
    pub(super) state: ConfigurationState,
    pub(super) list: VmList,
    pub(super) platform_silent: bool,
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
        context
            .run_interval(SEED_INTERVAL, |follower, context| follower.request_from_seed(context));
        context.run_interval(TICK_INTERVAL, |follower, context| follower.tick(context));
    }
}

impl Handler<PeerMessage> for Follower {
    type Result = ();

    fn handle(&mut self, message: PeerMessage, context: &mut Context<Self>) {
        let PeerMessage { from, body, reply } = message;
        let now = self.node.clock.now();
        match body {
            Body::ConfigurationAsk(request) => {
                self.replies.insert(from.clone(), reply);
                let actions = self.state.handle_ask(from, request.version, now);
                self.execute(actions, context);
            }
            Body::ConfigurationAnswer(answer) => {
                if let Some(offer) = convert::decode_offer(answer) {
                    self.handle_offer(&from, &offer, context);
                }
            }
            Body::MembersAsk(request) => self.list.answer(&request, &reply, now),
            Body::MembersAnswer(answer) => self.apply_list(&from, answer),
            _ => {}
        }
    }
}

impl Follower {
    /// Creates the follower of a daemon that has no configuration yet.
    pub(crate) fn new(node: Arc<Node>, platform: HttpPlatform) -> Self {
        let (vm, data_centre) = (node.settings.vm.clone(), node.settings.data_centre.clone());
        let state = ConfigurationState::new(vm, data_centre, node.clock.now());
        Follower {
            node,
            platform,
            state,
            list: VmList::default(),
            platform_silent: false,
            replies: HashMap::new(),
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.node.clock.now();
        let counter = self.node.metrics.control_bytes.with_label_values(&["platform"]);
        counter.inc_by(self.platform.take_transferred_bytes());
        let actions = self.state.tick(now, &mut rand::rng());
        self.execute(actions, context);
        if let Some(age) = self.state.age(now) {
            self.node.configuration_follower.set_confirmed(Time::from_micros(
                now.as_micros() - u64::try_from(age.as_micros()).unwrap_or(0),
            ));
            self.node
                .metrics
                .configuration_age
                .set(i64::try_from(age.as_secs()).unwrap_or(i64::MAX));
        }
        self.replies.retain(|_, reply| !reply.is_closed());
    }

    fn execute(&mut self, actions: impl IntoIterator<Item = Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::ReadRow => {
                    self.read_row(context);
                    self.read_list(context);
                }
                Action::ReadObject(name) => self.read_object(name, context),
                Action::Ask(vm, version) => self.send_request(&vm, version),
                Action::Send(vm, offer) => self.send_offer(&vm, &offer),
                Action::Activate(versioned) => self.enforce(versioned),
            }
        }
    }

    /// Asks a VM for a newer configuration, and for the list of VMs if it is in the same
    /// data centre. The configuration's state repeats a request that is lost.
    fn send_request(&mut self, vm: &VmId, version: u64) {
        let body = Body::ConfigurationAsk(convert::encode_request(version));
        self.node.peers.send(&self.node, vm, body);
        // The list is requested only within the data centre, because another data
        // centre may reach the VMs at other addresses.
        let here = &self.node.settings.data_centre;
        if self.node.members.get(vm).is_some_and(|listed| listed.data_centre == *here) {
            let body = self.list.request(vm, self.node.clock.now());
            self.node.peers.send(&self.node, vm, body);
        }
    }

    /// Sends an offer on the connection on which the VM last asked.
    fn send_offer(&self, vm: &VmId, offer: &Offer) {
        let body = Body::ConfigurationAnswer(convert::encode_offer(offer));
        if let Some(reply) = self.replies.get(vm) {
            // If the offer is lost, the VM asks again.
            reply.send(body);
        }
    }

    fn enforce(&self, versioned: Arc<Versioned>) {
        let version = versioned.version;
        self.node.configuration.send_replace(versioned);
        self.node.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        Event::ConfigurationApplied.record(&self.node.log, o!("version" => version));
    }

    fn handle_offer(&mut self, from: &VmId, offer: &Offer, context: &mut Context<Self>) {
        match self.state.handle_offer(from, offer, self.node.clock.now()) {
            Ok(actions) => self.execute(actions, context),
            // The offer is based on another version, because another offer was accepted
            // in the meantime. The next request names the current version.
            Err(OfferError::Base { .. }) => {}
            Err(error) => {
                let fields = o!("vm" => from.to_string(), "error" => error.to_string());
                Event::ConfigurationRefused.record(&self.node.log, fields);
            }
        }
    }

    fn read_row(&self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let request = async move { platform.get(ROW_KEY).await.and_then(decode_row) };
        let answered = wrap_future::<_, Self>(request).map(|answer, follower, context| {
            follower.record_answer(&answer);
            if let Ok(row) = answer {
                let actions = follower.state.handle_row(row, follower.node.clock.now());
                follower.execute(actions, context);
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
            follower.record_answer(&answer);
            let bytes = answer.ok().flatten();
            let actions = follower.state.handle_object(&name, bytes, follower.node.clock.now());
            follower.execute(actions, context);
        });
        context.spawn(answered);
    }

    /// Logs when the platform stops answering and when it answers again.
    pub(super) fn record_answer<T>(&mut self, answer: &Result<T, PlatformError>) {
        match answer {
            Err(error) if !self.platform_silent => {
                let fields = o!("error" => error.to_string());
                Event::PlatformUnavailable.record(&self.node.log, fields);
            }
            Ok(_) if self.platform_silent => Event::PlatformAvailable.record(&self.node.log, o!()),
            _ => {}
        }
        self.platform_silent = answer.is_err();
    }
}

/// Decodes the row, which names the published version.
fn decode_row(row: Option<Row>) -> Result<Option<publish::Versioned>, PlatformError> {
    let Some(row) = row else { return Ok(None) };
    let value = serde_json::from_value::<Published>(row.value)
        .map_err(|error| PlatformError::Protocol(error.to_string()))?;
    Ok(Some(publish::Versioned { version: row.version, value }))
}
