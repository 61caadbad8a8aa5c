//! Contact with other data centres, as far as messages of their VMs show it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    DataCentreId, GroupId, Lsn, Position, ServerId, Term, Time, VmId, durability::ReplicaAnswer,
    failover::ReplicationStatus,
};
use chicoryhollow_peer::{
    Body,
    fleet::{ContactAnswer, ContactAsk, ReplicaReport},
};
use tokio::sync::Notify;

use crate::{
    clock,
    engine::Engine,
    fleet::{
        Fleet, Link, Member,
        groups::{decode_failover, encode_failover},
        heartbeat::millis,
    },
    group::{Group, PeerQuestion, Requester},
    seam::{Directory, ServerProtocol},
    single_flight::SingleFlight,
};

/// Silence of all other data centres from which on this VM counts as cut off.
const CUT_OFF_SILENCE: Duration = Duration::from_millis(750);

/// Silence of a data centre from which on it is out of contact.
const CONTACT_SILENCE: Duration = Duration::from_millis(800);

/// Time without such silence after which a data centre is in contact again.
const CONTACT_SPAN: Duration = Duration::from_secs(6);

/// Number of questions without an answer that are remembered.
const MAX_OPEN_QUESTIONS: usize = 256;

/// Time after its start within which a daemon may not have heard of a failover that runs.
const STARTUP_SPAN: Duration = Duration::from_millis(1_000);

/// A question to another VM that has no answer yet.
struct Question {
    number: u64,
    group: GroupId,
    /// Position of the commit that it is about.
    commit: Position,
    /// Replica whose status is asked for.
    server: Option<ServerId>,
    asked: Time,
}

/// Questions to other VMs, whose answers show that messages pass in both directions.
#[derive(Default)]
pub(crate) struct Questions {
    last_number: Cell<u64>,
    /// The most recent questions, the oldest first.
    open: RefCell<VecDeque<Question>>,
    /// Wakes those that wait for an answer.
    pub(crate) answered: Notify,
    /// When the newest list of the servers was asked for that the directory has answered.
    pub(crate) listed: Cell<Option<Time>>,
    /// Whether the directory is being asked for a list.
    pub(crate) listing: RefCell<SingleFlight>,
}

impl Questions {
    /// Returns the next question about a commit of `group`, which is sent now, with one for the
    /// status of a replica.
    fn next(
        &self,
        group: &GroupId,
        commit: Position,
        server: Option<&ServerId>,
        now: Time,
    ) -> ContactAsk {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let mut open = self.open.borrow_mut();
        open.push_back(Question {
            number,
            group: group.clone(),
            commit,
            server: server.cloned(),
            asked: now,
        });
        if open.len() > MAX_OPEN_QUESTIONS {
            open.pop_front();
        }
        let (term, lsn) = (commit.term().get(), commit.lsn().get());
        let server = server.map(ToString::to_string).unwrap_or_default();
        ContactAsk { number, group: group.to_string(), term, lsn, server }
    }

    /// Returns the question that has this number, which is answered now.
    fn take(&self, number: u64) -> Option<Question> {
        let mut open = self.open.borrow_mut();
        let index = open.iter().position(|question| question.number == number)?;
        open.remove(index)
    }
}

impl Fleet {
    /// Records that a message arrived over `link`.
    pub(super) fn record_received(&self, link: &Link, now: Time) {
        link.update(|liveness| liveness.record_received(now));
        if !link.near.get() {
            self.far_heard.set(now);
        }
    }

    /// Records which data centres are silent, and returns those that were not before. A VM
    /// that hears of no other data centre has lost contact with its own servers as far as
    /// others can tell.
    pub(super) fn record_silence(&self, now: Time) -> Vec<DataCentreId> {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let Some(me) = self.me.borrow().clone() else { return Vec::new() };
        let mut heard: HashMap<&DataCentreId, bool> = HashMap::new();
        for member in members.values() {
            let is_heard = links
                .get(&member.vm)
                .is_some_and(|link| link.liveness.get().silence(now) < CONTACT_SILENCE);
            *heard.entry(&member.data_centre).or_default() |= is_heard;
        }
        heard.remove(&me.data_centre);
        let silent = heard.iter().filter(|(_, is_heard)| !**is_heard);
        let silent: BTreeSet<DataCentreId> = silent.map(|(centre, _)| (*centre).clone()).collect();
        let mut silent_at = self.silent_at.borrow_mut();
        silent_at.extend(silent.iter().map(|centre| (centre.clone(), now)));
        if !heard.is_empty() && silent.len() == heard.len() {
            silent_at.insert(me.data_centre.clone(), now);
        }
        let before = self.silent.replace(silent.clone());
        silent.difference(&before).cloned().collect()
    }

    /// Returns whether other data centres have VMs and nothing arrives from any of them.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.far_silence(clock::now()).is_some_and(|silence| silence >= CUT_OFF_SILENCE)
    }

    /// Returns whether messages of a data centre, or of others if it is this VM's own, have
    /// arrived steadily for longer than an entry of the directory outlives its server.
    pub(crate) fn is_in_contact(&self, data_centre: &DataCentreId, now: Time) -> bool {
        let silent_at = self.silent_at.borrow();
        silent_at.get(data_centre).is_none_or(|at| now.since(*at) >= CONTACT_SPAN)
    }

    /// Returns the time since a message of another data centre arrived, or `None` if no
    /// other one has VMs.
    pub(crate) fn far_silence(&self, now: Time) -> Option<Duration> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let here = &me.as_ref()?.data_centre;
        let has_far = members.values().any(|member| member.data_centre != *here);
        has_far.then(|| now.since(self.far_heard.get()))
    }

    /// Returns whether a data centre has VMs, and none of them was linked or has sent a
    /// message lately.
    pub(crate) fn is_unreachable(&self, data_centre: &DataCentreId) -> bool {
        self.unreachable.borrow().contains(data_centre)
            || self.silent.borrow().contains(data_centre)
    }

    /// Updates the data centres in which no VM is linked.
    pub(crate) fn refresh_unreachable(&self) {
        let (members, links) = (self.members.borrow(), self.links.borrow());
        let mut unreachable: BTreeSet<DataCentreId> =
            members.values().map(|member| member.data_centre.clone()).collect();
        for vm in links.keys() {
            if let Some(member) = members.get(vm) {
                unreachable.remove(&member.data_centre);
            }
        }
        if let Some(me) = self.me.borrow().as_ref() {
            unreachable.remove(&me.data_centre);
        }
        self.unreachable.replace(unreachable);
    }

    /// Returns whether all VMs are known to be in one data centre.
    pub(crate) fn is_single(&self) -> bool {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let is_here =
            |member: &Member| me.as_ref().is_some_and(|me| me.data_centre == member.data_centre);
        self.has_member_list() && members.values().all(is_here)
    }

    /// Returns when the newest question about `group` was sent whose answer shows contact
    /// between `data_centre` and another one. If this VM is not in `data_centre` itself, its own
    /// contact with that data centre counts. A VM without any other answers itself.
    pub(crate) fn contact(&self, group: &Group, data_centre: &DataCentreId) -> Option<Time> {
        if self.known_others() == Some(0) {
            return Some(clock::now());
        }
        group.peers.contact(|other| self.shows_contact(data_centre, other))
    }

    /// Returns the links whose other VMs can show contact with `data_centre`, those that were
    /// heard last first.
    fn contact_links(&self, data_centre: &DataCentreId) -> Vec<Rc<Link>> {
        let counts = |vm: &VmId| {
            let other = self.data_centre(vm);
            other.is_some_and(|other| self.shows_contact(data_centre, &other))
        };
        let links = self.links.borrow();
        let mut found: Vec<Rc<Link>> =
            links.iter().filter(|(vm, _)| counts(vm)).map(|(_, link)| Rc::clone(link)).collect();
        found.sort_by_key(|link| link.silence());
        found
    }

    /// Returns whether an answer of a VM in `other` shows this VM that `data_centre` has contact
    /// with another data centre.
    fn shows_contact(&self, data_centre: &DataCentreId, other: &DataCentreId) -> bool {
        let me = self.me.borrow();
        let Some(here) = me.as_ref().map(|me| &me.data_centre) else { return false };
        if here == data_centre { other != here || self.is_single() } else { other == data_centre }
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Asks up to `count` VMs for an answer about a commit of `group` that shows contact between
    /// `data_centre` and another one.
    pub(crate) fn ask_contact(
        &self,
        group: &GroupId,
        commit: Position,
        data_centre: &DataCentreId,
        count: usize,
    ) {
        if self.fleet.known_others() == Some(0) {
            self.group(group).borrow_mut().record_acknowledged(commit);
        }
        for link in self.fleet.contact_links(data_centre).iter().take(count) {
            let question = self.fleet.questions.next(group, commit, None, clock::now());
            link.send(Body::ContactAsk(question));
        }
    }

    /// Asks a home of the replica `server` for its status, about a commit of `group`.
    pub(crate) fn ask_home(
        &self,
        link: &Link,
        group: &GroupId,
        commit: Position,
        server: &ServerId,
    ) {
        let question = self.fleet.questions.next(group, commit, Some(server), clock::now());
        link.send(Body::ContactAsk(question));
    }

    /// Answers a question about a commit, unless this daemon has just started and may not have
    /// heard of a failover yet. The commit counts as acknowledged from then on, so that no
    /// failover that hears of it promotes a server without it. If a replica is to be asked that
    /// turns out to lack the commit, it does not count, and the answer shows no contact.
    pub(super) fn answer_contact(self: &Rc<Self>, link: &Rc<Link>, ask: &ContactAsk) {
        let Ok(name) = GroupId::new(&ask.group) else { return };
        if clock::now().since(self.started) < STARTUP_SPAN {
            return;
        }
        let group = self.group(&name);
        let commit = Position::new(Term::new(ask.term), Lsn::new(ask.lsn));
        match ServerId::new(&ask.server) {
            Ok(server) if group.borrow().servers.contains_key(&server) => {
                let link = Rc::clone(link);
                let question = PeerQuestion { link, number: ask.number, commit };
                self.request_status(&group, &server, Requester::Vm(question));
            }
            _ => {
                group.borrow_mut().record_acknowledged(commit);
                self.send_contact(&group.borrow(), link, ask.number, None);
            }
        }
    }

    /// Answers a question for the status of the replica `server`, which has given `answer`, if
    /// any.
    pub(crate) fn send_report(
        &self,
        group: &RefCell<Group>,
        server: &ServerId,
        question: &PeerQuestion,
        answer: Option<ReplicaAnswer>,
    ) {
        if !answer.is_some_and(|answer| answer.lacks(question.commit)) {
            group.borrow_mut().record_acknowledged(question.commit);
        }
        let group = group.borrow();
        let report = answer.and_then(|answer| encode_report(&group, server, answer));
        self.send_contact(&group, &question.link, question.number, report);
    }

    fn send_contact(&self, group: &Group, link: &Link, number: u64, report: Option<ReplicaReport>) {
        let (term, now) = (group.newest_term().get(), clock::now());
        let failover = group.peers.failover().map(|failover| encode_failover(failover, now));
        link.send(Body::ContactAnswer(ContactAnswer { number, term, failover, report }));
    }

    /// Records the answer of `vm` to a question about a group.
    pub(super) fn record_contact(&self, vm: &VmId, answer: &ContactAnswer) {
        let Some(question) = self.fleet.questions.take(answer.number) else { return };
        let Some(data_centre) = self.fleet.data_centre(vm) else { return };
        let group = self.group(&question.group);
        let mut group = group.borrow_mut();
        group.peers.record_term(Term::new(answer.term));
        if let Some(failover) = answer.failover {
            group.peers.record_failover(decode_failover(failover, clock::now()));
        }
        let reported = answer.report.as_ref().map(decode_report);
        if !reported.is_some_and(|reported| reported.lacks(question.commit)) {
            group.peers.record_contact(data_centre, question.asked);
        }
        if let (Some(server), Some(report)) = (&question.server, &answer.report) {
            record_report(&mut group, server, question.asked, report, clock::now());
        }
        self.fleet.questions.answered.notify_waiters();
    }
}

fn encode_report(group: &Group, server: &ServerId, answer: ReplicaAnswer) -> Option<ReplicaReport> {
    let entry = group.servers.get(server)?;
    let registered = group.registered_span(server, clock::now());
    let report =
        ReplicaReport { born: entry.born, registered_ms: millis(registered), ..Default::default() };
    Some(match answer {
        ReplicaAnswer::Busy => ReplicaReport { busy: true, ..report },
        ReplicaAnswer::Status(status) => ReplicaReport {
            primary: status.primary,
            term: status.term.get(),
            received_term: status.received.term().get(),
            received_lsn: status.received.lsn().get(),
            fenced_term: status.fenced_term.get(),
            ..report
        },
    })
}

fn decode_report(report: &ReplicaReport) -> ReplicaAnswer {
    let received = Position::new(Term::new(report.received_term), Lsn::new(report.received_lsn));
    let status = ReplicationStatus {
        primary: report.primary,
        term: Term::new(report.term),
        received,
        fenced_term: Term::new(report.fenced_term),
    };
    if report.busy { ReplicaAnswer::Busy } else { ReplicaAnswer::Status(status) }
}

/// Records what a replica has answered to a home of it. The home may know another process of the
/// same name.
fn record_report(
    group: &mut Group,
    server: &ServerId,
    asked: Time,
    report: &ReplicaReport,
    now: Time,
) {
    if group.servers.get(server).is_none_or(|entry| entry.born != report.born) {
        return;
    }
    let answer = decode_report(report);
    let since = now - Duration::from_millis(report.registered_ms.into());
    group.replicas.record_registration(server, since);
    group.replicas.record(server, asked, Some(answer));
}
