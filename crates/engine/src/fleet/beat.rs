//! Beats, documents and tokens: what VMs tell each other.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use chicoryhollow_core::{
    AccountId, GroupId, Lsn, Position, ServerId, Term, Time, VmId, coordinator::RowObservation,
    document::Acceptance, reader::reader_rank,
};
use chicoryhollow_peer::{
    Body,
    fleet::{Beat, Belief, Document, DocumentAsk, TokenAsk, TokenGrant},
};
use slog::o;
use tokio::sync::mpsc;

use crate::{
    clock,
    engine::{Engine, Phase},
    fleet::{Member, link::Link, rows::take_members},
    group::{Group, Source},
    loan::FromHome,
    log::Event,
    relay::{Kind, Word},
    seam::{Directory, ServerProtocol},
};

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Asks other VMs for tokens of the accounts that this one will soon need.
    pub(crate) fn ask_for_tokens(&self) {
        let asks = self.admission.borrow_mut().asks(clock::now(), |vm| self.reaches(vm));
        for (vm, account, wanted) in asks {
            self.send_token_ask(&vm, &account, wanted);
        }
    }

    /// Asks another VM for tokens of `account`, for operations that wait.
    pub(crate) fn ask_for_token(&self, account: &AccountId) {
        let now = clock::now();
        let ask = self.admission.borrow_mut().ask_for(account, now, |vm| self.reaches(vm));
        if let Some((vm, wanted)) = ask {
            self.send_token_ask(&vm, account, wanted);
        }
    }

    /// Tells whether `vm` is linked; has it dialled if not.
    fn reaches(&self, vm: &VmId) -> bool {
        let linked = self.fleet.link(vm).is_some();
        if !linked {
            self.fleet.want(vm);
        }
        linked
    }

    fn send_token_ask(&self, vm: &VmId, account: &AccountId, wanted: f64) {
        let ask = TokenAsk { account: account.to_string(), wanted_milli: milli(wanted) };
        self.fleet.send(vm, Body::TokenAsk(ask));
    }

    pub(super) fn beat(&self, link: &Link) -> Beat {
        let (now, number) = (clock::now(), link.next_beat());
        let mut sent = link.sent.borrow_mut();
        sent.push((number, now));
        if sent.len() > 32 {
            sent.remove(0);
        }
        let (echo, received) = link.received.get();
        Beat {
            vm: self.settings.vm.to_string(),
            incarnation: self.settings.incarnation,
            number,
            echo,
            versions: self.relay.borrow().versions(),
            fresh_ms: millis(now.since(self.fresh())),
            reads: self.relay.borrow().works(),
            leaving: self.phase() != Phase::Serving,
            chosen: link.chosen.get(),
            duty_version: self.duty_sight().map_or(0, |sight| sight.version),
            duty_ms: self.duty_sight().map_or(0, |sight| millis(now.since(sight.since))),
            digests: self.relay.borrow().digests(),
            groups: if link.is_neighbour() {
                self.beliefs_since(received, now)
            } else {
                Vec::new()
            },
        }
    }

    fn beliefs_since(&self, received: Time, now: Time) -> Vec<Belief> {
        let belief = |group: &Rc<RefCell<Group>>| {
            let group = group.borrow();
            let mark = group.marks.latest();
            let after = |asked: Time| {
                if asked >= received {
                    micros(asked.since(received))
                } else {
                    -micros(received.since(asked))
                }
            };
            Belief {
                group: group.view.group.to_string(),
                primary: group.view.primary.as_ref().map(ToString::to_string).unwrap_or_default(),
                term: group.view.term.get(),
                acknowledged_term: group.acknowledged.term().get(),
                acknowledged_lsn: group.acknowledged.lsn().get(),
                failing_ms: millis(group.failing(now)),
                mark_term: mark.map_or(0, |mark| mark.position.term().get()),
                mark_lsn: mark.map_or(0, |mark| mark.position.lsn().get()),
                mark_after_us: mark.map(|mark| after(mark.asked)),
            }
        };
        self.groups().iter().map(belief).collect()
    }

    pub(super) fn take_message(self: &Rc<Self>, vm: &VmId, link: &Rc<Link>, body: Body) {
        match body {
            Body::Beat(beat) => self.take_beat(link, beat),
            Body::Document(document) => self.take_document(vm, &document),
            Body::DocumentAsk(ask) => self.send_document(link, &ask),
            Body::TokenAsk(ask) => {
                let Ok(account) = AccountId::new(&ask.account) else { return };
                let wanted = ask.wanted_milli as f64 / 1_000.0;
                let lent = self.admission.borrow_mut().lend(&account, wanted, clock::now());
                let grant = TokenGrant { account: ask.account, tokens_milli: milli(lent) };
                self.fleet.send(vm, Body::TokenGrant(grant));
            }
            Body::TokenGrant(grant) => {
                let Ok(account) = AccountId::new(&grant.account) else { return };
                let tokens = grant.tokens_milli as f64 / 1_000.0;
                self.admission.borrow_mut().receive(&account, tokens, clock::now());
                self.tokens.notify_waiters();
            }
            Body::LeaseOpen(open) => {
                let (sender, orders) = mpsc::unbounded_channel();
                link.loans.borrow_mut().insert(open.lease, sender);
                actix::spawn(Rc::clone(self).lend(Rc::clone(link), open, orders));
            }
            Body::LeaseState(state) => link.tell_borrower(state.lease, FromHome::State(state)),
            Body::LeaseAnswer(answer) => {
                link.tell_borrower(answer.lease, FromHome::Answer(answer));
            }
            Body::LeasePrepare(order) => {
                link.tell_lender(order.lease, Body::LeasePrepare(order));
            }
            Body::LeaseCommand(order) => {
                link.tell_lender(order.lease, Body::LeaseCommand(order));
            }
            Body::LeaseEnd(order) => link.tell_lender(order.lease, Body::LeaseEnd(order)),
            // Messages of the product's own daemon have no place between engines.
            _ => {}
        }
    }

    fn take_beat(&self, link: &Link, beat: Beat) {
        let now = clock::now();
        link.received.set((beat.number, now));
        link.chosen_by.set(beat.chosen);
        if beat.duty_version > 0 {
            let since = now - Duration::from_millis(beat.duty_ms.into());
            self.saw_duty(RowObservation { version: beat.duty_version, since });
        }
        let fresh = now - Duration::from_millis(beat.fresh_ms.into());
        link.word.set(Some(Word { fresh, reads: beat.reads }));
        let echoed = link.sent.borrow().iter().find(|(number, _)| *number == beat.echo).copied();
        for belief in beat.groups {
            self.take_belief(link, belief, echoed.map(|(_, sent)| sent), now);
        }
        let digests = beat.digests.into_iter().chain(std::iter::repeat(0));
        for ((kind, version), digest) in Kind::ALL.into_iter().zip(beat.versions).zip(digests) {
            if self.relay.borrow_mut().needs(kind, version, digest, now) {
                link.send(Body::DocumentAsk(DocumentAsk { kind: kind.number() }));
            }
        }
    }

    fn send_document(&self, link: &Link, ask: &DocumentAsk) {
        let Some(kind) = Kind::from_number(ask.kind) else { return };
        let relay = self.relay.borrow();
        let held = relay.held(kind);
        let json = Bytes::copy_from_slice(held.json());
        let document = Document { kind: ask.kind, version: held.version(), json };
        link.send(Body::Document(document));
    }

    /// Tells all neighbours at once that a document has changed. They ask for it,
    /// so that each gets it once.
    pub(crate) fn announce(&self) {
        for link in self.fleet.links.borrow().values().filter(|link| link.is_neighbour()) {
            link.send(Body::Beat(self.beat(link)));
        }
    }

    /// Decides whether this VM is to read the directory.
    pub(crate) fn choose_reader(&self) {
        let place = reader_rank(&self.settings.vm, &self.fleet.vms_in(&self.settings.data_centre));
        let links = self.fleet.links.borrow();
        let words = links.values().filter_map(|link| link.word.get());
        let others = words.map(|word| word.fresh).max();
        self.relay.borrow_mut().choose_reader(place, others, clock::now());
    }

    /// Tells whether neither this VM nor any that it hears gets answers from the
    /// directory, while other data centres can be reached.
    pub(crate) fn is_directory_down(&self) -> bool {
        let links = self.fleet.links.borrow();
        let mut words = links.values().filter_map(|link| link.word.get());
        let alone = self.fleet.is_alone_in(&self.settings.data_centre);
        !self.relay.borrow().works() && !alone && words.all(|word| !word.reads)
    }

    /// Returns when this VM's documents were last known to be the newest.
    pub(crate) fn fresh(&self) -> Time {
        let links = self.fleet.links.borrow();
        let words: Vec<Word> = links.values().filter_map(|link| link.word.get()).collect();
        self.relay.borrow().fresh(&words)
    }

    fn take_document(&self, vm: &VmId, document: &Document) {
        let taken = match Kind::from_number(document.kind) {
            Some(Kind::Vms) => {
                serde_json::from_slice(&document.json).map(|members: Vec<Member>| {
                    if self.relay.borrow_mut().keep(Kind::Vms, document.version, &members)
                        == Acceptance::New
                    {
                        take_members(self, members);
                    }
                })
            }
            Some(kind) => self.take_relayed(kind, document),
            // A kind of a later version is of no use here.
            None => Ok(()),
        };
        if let Err(error) = taken {
            let reason = format!("document of {vm} unreadable: {error}");
            self.event_log.record(Event::Unreadable, o!("reason" => reason));
        }
    }

    fn take_belief(&self, link: &Link, belief: Belief, echoed: Option<Time>, now: Time) {
        let Ok(name) = GroupId::new(&belief.group) else { return };
        link.failing
            .borrow_mut()
            .insert(name.clone(), Duration::from_millis(belief.failing_ms.into()));
        let group = self.group(&name);
        let news = {
            let mut group = group.borrow_mut();
            let at = |term, lsn| Position::new(Term::new(term), Lsn::new(lsn));
            let acknowledged = at(belief.acknowledged_term, belief.acknowledged_lsn);
            group.acknowledged = group.acknowledged.max(acknowledged);
            let term = Term::new(belief.term);
            let newer = term > group.view.term;
            let news = newer
                && ServerId::new(&belief.primary).is_ok_and(|primary| group.adopt(&primary, term));
            if let (Some(after), Some(echoed)) = (belief.mark_after_us, echoed) {
                let span = Duration::from_micros(after.unsigned_abs());
                let asked = if after >= 0 { echoed + span } else { echoed - span };
                group.hear_mark(at(belief.mark_term, belief.mark_lsn), asked.min(now), now);
            }
            news
        };
        if news {
            self.note_primary(&group.borrow(), Source::Peer);
        }
    }
}

fn milli(tokens: f64) -> u64 {
    (tokens * 1_000.0).max(0.0) as u64
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
