//! Messages between VMs: heartbeats, tokens and forwarded connections.
//!
//! A heartbeat reports which documents of the directory a VM holds and, between
//! neighbours, what the VM knows of each database group ([`super::groups`]). A VM that
//! holds an older document asks for the newer one ([`super::documents`]). VMs also send
//! each other tokens of the rates of client accounts.

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId, Time, VmId,
    coordinator::{Outage, RowObservation},
    version::DirectoryVersion,
};
use chicoryhollow_peer::{
    Body, Envelope, Message,
    fleet::{Beat, DocumentAsk, TokenAsk, TokenGrant},
};
use slog::o;
use tokio::sync::mpsc;

use crate::{
    clock,
    connection::HomeMessage,
    engine::{Engine, Phase},
    fleet::link::Link,
    log::Event,
    relay::{DocumentStatus, Kind, Offer},
    seam::{Directory, ServerProtocol},
};

/// Number of sent heartbeats whose times are remembered for each link.
const MAX_SENT_HEARTBEATS: usize = 32;

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Asks other VMs for tokens of the accounts whose tokens will soon be needed.
    pub(crate) fn request_tokens(&self) {
        let requests =
            self.admission.borrow_mut().due_requests(clock::now(), |vm| self.ensure_linked(vm));
        for (vm, account, wanted) in requests {
            self.send_token_request(&vm, &account, wanted);
        }
    }

    /// Asks another VM for tokens of `account`, for which operations wait.
    pub(crate) fn request_tokens_for(&self, account: &AccountId) {
        let now = clock::now();
        let request =
            self.admission.borrow_mut().request_for(account, now, |vm| self.ensure_linked(vm));
        if let Some((vm, wanted)) = request {
            self.send_token_request(&vm, account, wanted);
        }
    }

    /// Returns whether `vm` is linked, and requests that it is dialled if not.
    fn ensure_linked(&self, vm: &VmId) -> bool {
        let linked = self.fleet.link(vm).is_some();
        if !linked {
            self.fleet.request_dial(vm);
        }
        linked
    }

    fn send_token_request(&self, vm: &VmId, account: &AccountId, wanted: f64) {
        let Some(link) = self.fleet.link(vm) else { return };
        if link.update(|liveness| liveness.record_request(clock::now())) {
            link.send(Body::Beat(self.heartbeat(&link)));
        }
        let ask = TokenAsk { account: account.to_string(), wanted_milli: milli(wanted) };
        link.send(Body::TokenAsk(ask));
    }

    /// Records that work is about to be sent over a link. Sends a heartbeat too if
    /// nothing has shown recently that the other VM is there.
    pub(crate) fn use_link(&self, link: &Link) {
        if link.record_use() {
            link.send(Body::Beat(self.heartbeat(link)));
        }
    }

    /// Counts a message that is sent over a link.
    pub(super) fn count_sent(&self, link: &Link, envelope: &Envelope) {
        let Some(body) = &envelope.body else { return };
        let labels = [body.label(), if link.near.get() { "near" } else { "far" }];
        self.metrics.peer_messages.with_label_values(&labels).inc();
        self.metrics.peer_bytes.with_label_values(&labels).inc_by(envelope.encoded_len() as u64);
    }

    /// Creates the next heartbeat for a link. It contains what the other VM was not told
    /// before.
    pub(super) fn heartbeat(&self, link: &Link) -> Beat {
        let (now, number) = (clock::now(), link.next_heartbeat());
        let mut sent = link.sent_heartbeats.borrow_mut();
        sent.push((number, now));
        if sent.len() > MAX_SENT_HEARTBEATS {
            sent.remove(0);
        }
        let mut beat = Beat {
            number,
            echo: link.last_heartbeat.get().0,
            fresh_ms: millis(now.since(self.fresh_at())),
            reads: self.relay.borrow().is_active_reader(),
            leaving: self.phase() != Phase::Serving,
            chosen: link.chosen.get(),
            wants_reply: true,
            ..Beat::default()
        };
        if number == 1 {
            beat.vm = self.settings.vm.to_string();
            beat.incarnation = self.settings.incarnation;
        }
        // A VM that starts waits for the first offers of others.
        if (link.is_neighbour() || number == 1)
            && let Some(offer) = self.changed_offer(link)
        {
            beat.versions = offer.versions;
            beat.digests = offer.digests;
        }
        if link.is_neighbour() {
            beat.duty_version = self.row_observation().map_or(0, |row| row.version.pack());
            beat.duty_ms = self.row_observation().map_or(0, |row| millis(now.since(row.since)));
            beat.groups = self.group_updates(link, now);
        }
        beat
    }

    pub(super) fn handle_message(self: &Rc<Self>, vm: &VmId, link: &Rc<Link>, body: Body) {
        match body {
            Body::Beat(_)
            | Body::Document(_)
            | Body::DocumentAsk(_)
            | Body::TokenGrant(_)
            | Body::ContactAsk(_)
            | Body::ContactAnswer(_) => {}
            Body::TokenAsk(_) => link.update(|liveness| liveness.record_answer(clock::now())),
            _ => drop(link.record_use()),
        }
        match body {
            Body::Beat(heartbeat) => self.handle_heartbeat(link, heartbeat),
            Body::ContactAsk(ask) => self.answer_contact(link, &ask),
            Body::ContactAnswer(answer) => self.record_contact(vm, &answer),
            Body::Document(document) => self.handle_document(vm, link, document),
            Body::DocumentAsk(ask) => self.send_document(vm, link, &ask),
            Body::TokenAsk(ask) => {
                let Ok(account) = AccountId::new(&ask.account) else { return };
                let wanted = ask.wanted_milli as f64 / 1_000.0;
                let granted = self.admission.borrow_mut().grant(&account, wanted, clock::now());
                let grant = TokenGrant { account: ask.account, tokens_milli: milli(granted) };
                self.fleet.send(vm, Body::TokenGrant(grant));
            }
            Body::TokenGrant(grant) => {
                let Ok(account) = AccountId::new(&grant.account) else { return };
                let tokens = grant.tokens_milli as f64 / 1_000.0;
                self.admission.borrow_mut().receive(&account, tokens, clock::now());
                self.tokens.notify_waiters();
            }
            Body::LeaseOpen(open) => {
                let (sender, messages) = mpsc::unbounded_channel();
                link.served.borrow_mut().insert(open.lease, sender);
                actix::spawn(Rc::clone(self).serve_forwarded(Rc::clone(link), open, messages));
            }
            Body::LeaseState(state) => link.send_to_user(state.lease, HomeMessage::State(state)),
            Body::LeaseAnswer(answer) => {
                link.send_to_user(answer.lease, HomeMessage::Answer(answer));
            }
            Body::LeasePrepare(message) => {
                link.send_to_task(message.lease, Body::LeasePrepare(message));
            }
            Body::LeaseCommand(message) => {
                link.send_to_task(message.lease, Body::LeaseCommand(message));
            }
            Body::LeaseEnd(message) => link.send_to_task(message.lease, Body::LeaseEnd(message)),
            Body::UsageReport(_) | Body::UsageClock(_) | Body::UsageAsk(_) | Body::UsageSums(_) => {
                self.handle_usage(vm, link, body)
            }
            // Only the other daemon, `chicoryhollow-proxy`, uses the remaining messages.
            _ => {}
        }
    }

    fn handle_heartbeat(&self, link: &Link, heartbeat: Beat) {
        let now = clock::now();
        link.last_heartbeat.set((heartbeat.number, now));
        link.record_incarnation(heartbeat.incarnation);
        link.chosen_by.set(heartbeat.chosen);
        if heartbeat.duty_version > 0 {
            let since = now - Duration::from_millis(heartbeat.duty_ms.into());
            let version = DirectoryVersion::unpack(heartbeat.duty_version);
            self.record_row_observation(RowObservation { version, since });
        }
        let fresh_at = now - Duration::from_millis(heartbeat.fresh_ms.into());
        link.documents.set(Some(DocumentStatus { fresh_at, is_active_reader: heartbeat.reads }));
        if heartbeat.reads {
            self.relay.borrow_mut().record_linked_reader();
        }
        let echoed = link
            .sent_heartbeats
            .borrow()
            .iter()
            .find(|(number, _)| *number == heartbeat.echo)
            .copied();
        for state in heartbeat.groups {
            self.handle_group_state(link, state, echoed.map(|(_, sent)| sent), now);
        }
        if !heartbeat.versions.is_empty() {
            let Beat { versions, digests, .. } = heartbeat;
            link.offered.replace(Offer { versions, digests });
        }
        self.request_documents(link, now);
        if heartbeat.wants_reply && link.liveness.get().owes_reply(now) {
            let reply = Beat { wants_reply: false, ..self.heartbeat(link) };
            link.send(Body::Beat(reply));
        }
    }

    /// Returns the documents that this VM holds, if the neighbour was last told others, and
    /// records that it is told now.
    fn changed_offer(&self, link: &Link) -> Option<Offer> {
        let offer = self.relay.borrow().offer();
        if *link.sent_offer.borrow() == offer {
            return None;
        }
        link.sent_offer.replace(offer.clone());
        Some(offer)
    }

    /// Requests the documents of which the other VM holds a newer version.
    fn request_documents(&self, link: &Link, now: Time) {
        let offered = link.offered.borrow();
        let digests = offered.digests.iter().copied().chain(std::iter::repeat(0));
        for ((kind, version), digest) in Kind::ALL.into_iter().zip(&offered.versions).zip(digests) {
            // The configuration has versions of its own.
            if kind != Kind::Catalog {
                self.record_era(DirectoryVersion::unpack(*version).era());
            }
            if kind == Kind::Catalog && *version <= self.held_version() {
                continue;
            }
            if self.relay.borrow_mut().should_request(kind, *version, digest, link.near.get(), now)
            {
                let kind = kind.number();
                link.send(Body::DocumentAsk(DocumentAsk { kind, packed: true, pieces: true }));
            }
        }
    }

    /// Notifies all neighbours at once that a document has changed. Only its version is
    /// sent: a neighbour that needs the document asks one VM at a time, and so receives it
    /// only once.
    pub(crate) fn announce(&self) {
        for link in self.fleet.links.borrow().values().filter(|link| link.is_neighbour()) {
            link.send(Body::Beat(self.heartbeat(link)));
        }
    }

    /// Decides whether this VM reads the directory.
    pub(crate) fn choose_reader(&self) {
        let rank = self.fleet.reader_rank();
        let links = self.fleet.links.borrow();
        let statuses = links.values().filter_map(|link| link.documents.get());
        let others = statuses.map(|status| status.fresh_at).max();
        let now = clock::now();
        let changed = self.relay.borrow_mut().choose_reader(rank, others, now);
        let Some(reads) = changed else { return };
        let event = if reads { Event::ReaderRoleTaken } else { Event::ReaderRoleLost };
        let heard = others.map(|others| now.since(others).as_millis() as u64);
        self.event_log.record(event, o!("rank" => rank, "heard_ms" => heard));
    }

    /// Records that `link` was lost. If this VM has lost the last link to a VM that reads
    /// the directory, it will soon read itself.
    pub(super) fn record_lost_link(&self, link: &Link) {
        let reads = |link: &Link| link.documents.get().is_some_and(|s| s.is_active_reader);
        let others = self.fleet.links.borrow();
        if reads(link) && !others.values().any(|other| reads(other)) {
            self.relay.borrow_mut().record_lost_reader(clock::now());
        }
    }

    /// Returns what this VM sees of an outage of the directory.
    pub(crate) fn outage(&self) -> Outage {
        let links = self.fleet.links.borrow();
        let mut statuses = links.values().filter_map(|link| link.documents.get());
        let own = self.relay.borrow().is_active_reader();
        Outage {
            answered: own || statuses.any(|status| status.is_active_reader),
            missing_vms: self.fleet.missing.borrow().len(),
            in_contact: self.fleet.is_in_contact(&self.settings.data_centre, clock::now()),
        }
    }

    /// Returns when this VM's documents were last known to be up to date.
    pub(crate) fn fresh_at(&self) -> Time {
        let links = self.fleet.links.borrow();
        let statuses: Vec<DocumentStatus> =
            links.values().filter_map(|link| link.documents.get()).collect();
        self.relay.borrow().fresh_at(&statuses)
    }
}

fn milli(tokens: f64) -> u64 {
    (tokens * 1_000.0).max(0.0) as u64
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
