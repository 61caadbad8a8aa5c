//! Watches primaries and replaces those that fail or leave, on the VM that has
//! the duty.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use chicoryhollow_core::{
    GroupId, ServerId, Term, Time,
    failover::{Action, Cause, Failover, Progress, ReplicationStatus},
    suspicion::{Evidence, MAJORITY_FAILURE_TIMEOUT, Suspicion, UNCONFIRMED_TIMEOUT},
};
use slog::o;
use tokio::time::timeout;

use crate::{
    clock,
    duty::Duty,
    engine::Engine,
    group::{Flight, Group, Source},
    log::Event,
    seam::{Directory, PromoteOrder, PromotionOutcome, ServerLink, ServerProtocol, ServerStatus},
    statement::{Access, Command, FaultKind},
};

/// Time between two looks at all groups.
const TICK: Duration = Duration::from_millis(50);

/// Time without a sign that the primary leads after which it is asked.
const QUIET: Duration = Duration::from_millis(250);

/// Time between two rounds of questions while no primary is known.
const ROUND: Duration = Duration::from_millis(200);

/// Pause after a succession that was given up.
const BACKOFF: Duration = Duration::from_millis(1_000);

struct Running {
    machine: Rc<RefCell<Failover>>,
    suspicion: Suspicion,
    begun: Time,
}

/// What the watcher knows of one group beyond the shared beliefs.
#[derive(Default)]
struct Seat {
    running: Option<Running>,
    /// Highest term that servers showed in a succession that was given up.
    highest: Term,
    not_before: Time,
    headless: Option<Time>,
    asked: Time,
    probe: Rc<RefCell<Flight>>,
}

/// Watches all groups until dropped.
pub(crate) async fn run<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>, duty: Rc<Duty>) {
    let mut seats: HashMap<GroupId, Seat> = HashMap::new();
    loop {
        // An alarm only ends the pause early.
        let _ = timeout(TICK, engine.alarm.notified()).await;
        let has_duty = duty.token().is_some();
        for group in engine.groups() {
            let name = group.borrow().view.group.clone();
            let seat = seats.entry(name).or_default();
            if has_duty {
                watch(&engine, &duty, &group, seat);
            } else {
                seat.running = None;
                // What is noticed now counts once this VM has the duty.
                judge(&engine, &group.borrow(), seat, clock::now());
            }
        }
    }
}

fn watch<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    duty: &Rc<Duty>,
    group: &Rc<RefCell<Group>>,
    seat: &mut Seat,
) {
    let now = clock::now();
    probe(engine, group, seat, now);
    if let Some(running) = seat.running.take() {
        let machine = Rc::clone(&running.machine);
        seat.running = drive(engine, duty, group, running, now);
        if seat.running.is_none() {
            seat.highest = seat.highest.max(machine.borrow().highest_term());
            seat.not_before = now + BACKOFF;
        }
        return;
    }
    if now < seat.not_before {
        return;
    }
    let awaits = group.borrow().awaits_server(now);
    if let Some(suspicion) = judge(engine, &group.borrow(), seat, now).filter(|_| !awaits) {
        seat.running = Some(begin(engine, &group.borrow(), suspicion, seat.highest, now));
    }
}

/// Says whether, and why, the primary is to be replaced.
fn judge<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    group: &Group,
    seat: &mut Seat,
    now: Time,
) -> Option<Suspicion> {
    if group.servers.is_empty() {
        return None;
    }
    let entry = group.view.primary.as_ref().and_then(|primary| group.servers.get(primary));
    seat.headless = match entry {
        Some(_) => None,
        None => Some(seat.headless.unwrap_or(now)),
    };
    let name = &group.view.group;
    let evidence = Evidence {
        no_primary: seat.headless.map(|since| now.since(since)),
        leaving: entry.is_some_and(|entry| !group.serves(entry)),
        has_successor: group.members().iter().any(|member| member.preferred),
        failing: group.failing(now),
        silence: now.since(group.heard()),
        unconfirmed: group.unconfirmed(now),
        unconfirmed_votes: engine.fleet.failing(name, UNCONFIRMED_TIMEOUT),
        failed_votes: engine.fleet.failing(name, MAJORITY_FAILURE_TIMEOUT),
    };
    evidence.suspicion()
}

fn begin<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    group: &Group,
    suspicion: Suspicion,
    shown: Term,
    now: Time,
) -> Running {
    let highest = group.view.term.max(group.acknowledged.term()).max(shown);
    let members = group.members();
    let names: Vec<String> = members.iter().map(|member| member.server.to_string()).collect();
    // A primary that is to leave still shows its log, all of which the next must hold.
    let floor = match suspicion.cause() {
        Cause::Planned => group.acknowledged.max(group.marks.newest()),
        Cause::Failure => group.acknowledged,
    };
    let machine = Failover::new(suspicion.cause(), members, highest, floor, now);
    engine.event_log.record(
        Event::FailoverStarted,
        o!(
            "group" => group.view.group.to_string(),
            "suspicion" => suspicion.label(),
            "primary" => group.view.primary.as_ref().map(ToString::to_string),
            "failing_ms" => group.failing(now).as_millis() as u64,
            "heard_ms" => now.since(group.heard()).as_millis() as u64,
            "acknowledged" => group.acknowledged.to_string(),
            "term" => machine.term().get(),
            "members" => names.join(","),
        ),
    );
    Running { machine: Rc::new(RefCell::new(machine)), suspicion, begun: now }
}

/// Moves a succession on; returns it while it runs.
fn drive<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    duty: &Rc<Duty>,
    group: &Rc<RefCell<Group>>,
    running: Running,
    now: Time,
) -> Option<Running> {
    let name = group.borrow().view.group.clone();
    let progress = {
        let group = group.borrow();
        let mut machine = running.machine.borrow_mut();
        machine.record_acknowledged(group.acknowledged);
        machine.retain(|server| group.servers.contains_key(server));
        let returned = running.suspicion == Suspicion::Silent
            && machine.promotion_target().is_none()
            && group.heard() > running.begun;
        match (returned, machine.promotion_target().is_none() && group.awaits_server(now)) {
            (true, _) => Progress::Abandoned("the primary answers again"),
            (_, true) => Progress::Abandoned("a server that may hold a commit vanished"),
            _ => machine.progress(now),
        }
    };
    match progress {
        Progress::Running => {
            let orders = running.machine.borrow_mut().next_actions(now);
            for order in orders {
                execute(engine, duty, &name, &running, order);
            }
            Some(running)
        }
        Progress::Done(server, term) => {
            let news = group.borrow_mut().adopt(&server, term);
            if news {
                engine.note_primary(&group.borrow(), Source::Answer);
            }
            engine.event_log.record(
                Event::FailoverCompleted,
                o!(
                    "group" => name.to_string(),
                    "primary" => server.to_string(),
                    "term" => term.get(),
                    "took_ms" => now.since(running.begun).as_millis() as u64,
                ),
            );
            None
        }
        Progress::Abandoned(reason) => {
            engine.event_log.record(
                Event::FailoverAbandoned,
                o!("group" => name.to_string(), "reason" => reason),
            );
            for order in running.machine.borrow().release_actions() {
                execute(engine, duty, &name, &running, order);
            }
            None
        }
    }
}

/// Carries an order out in a task of its own.
fn execute<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    duty: &Rc<Duty>,
    group: &GroupId,
    running: &Running,
    order: Action,
) {
    let machine = Rc::clone(&running.machine);
    let (engine, duty, group) = (Rc::clone(engine), Rc::clone(duty), group.clone());
    actix::spawn(async move {
        match order {
            Action::Fence(server, term) => {
                tell(&engine, &machine, &server, Command::Hold(term)).await;
            }
            Action::Poll(server) => tell(&engine, &machine, &server, Command::Status).await,
            Action::Release(server) => tell(&engine, &machine, &server, Command::Release).await,
            Action::Promote(server) => promote(&engine, &duty, &machine, group, server).await,
        }
    });
}

async fn tell<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    machine: &RefCell<Failover>,
    server: &ServerId,
    command: Command,
) {
    if let Some(status) = ask(engine, server, command).await {
        let standing = ReplicationStatus {
            primary: status.is_primary,
            term: status.term,
            received: status.received,
            fenced_term: status.fenced_term,
        };
        machine.borrow_mut().record_status(server, standing, clock::now());
        engine.alarm.notify_one();
    }
}

/// Sends an order to a server and returns its status, if it answered.
async fn ask<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    server: &ServerId,
    command: Command,
) -> Option<ServerStatus> {
    let account = engine.any_account()?;
    let mut lease = engine.pool(server)?.take_control(&account).await.ok()?;
    let answer = lease.ask(command).await.ok()?;
    lease.give_back();
    S::Link::parse_status(&answer)
}

async fn promote<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    duty: &Duty,
    machine: &RefCell<Failover>,
    group: GroupId,
    server: ServerId,
) {
    let Some(token) = duty.token() else { return };
    let cause = machine.borrow().cause();
    let label = if cause == Cause::Planned { "planned" } else { "failure" };
    engine.metrics.promotions.with_label_values(&[label]).inc();
    let order = PromoteOrder {
        group: group.clone(),
        server: server.clone(),
        holder: engine.settings.vm.clone(),
        token,
    };
    let answer = engine.directory.promote(&order).await;
    engine.event_log.record(
        Event::PromotionOrdered,
        o!(
            "group" => group.to_string(),
            "server" => server.to_string(),
            "token" => token.get(),
            "cause" => label,
            "answer" => format!("{answer:?}"),
        ),
    );
    if answer == Ok(PromotionOutcome::Refused) {
        machine.borrow_mut().record_promotion_refusal();
        duty.refused();
    }
}

/// Asks a primary that has been quiet whether it leads, or all servers when
/// none is known to.
fn probe<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &Rc<RefCell<Group>>,
    seat: &mut Seat,
    now: Time,
) {
    let (primary, quiet) = {
        let group = group.borrow();
        let known = group.view.primary.clone().filter(|name| group.servers.contains_key(name));
        (known, now.since(group.heard()) >= QUIET)
    };
    if !quiet || now.since(seat.asked) < ROUND || !seat.probe.borrow_mut().start() {
        return;
    }
    seat.asked = now;
    let (engine, group) = (Rc::clone(engine), Rc::clone(group));
    let landing = Landing(Rc::clone(&seat.probe));
    actix::spawn(async move {
        match primary {
            Some(server) => probe_primary(&engine, &group, &server).await,
            None => seek_primary(&engine, &group).await,
        }
        drop(landing);
    });
}

/// Ends a probe also when its task is dropped.
struct Landing(Rc<RefCell<Flight>>);

impl Drop for Landing {
    fn drop(&mut self) {
        self.0.borrow_mut().end();
    }
}

async fn probe_primary<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &RefCell<Group>,
    server: &ServerId,
) {
    let Some((account, pool)) = engine.any_account().zip(engine.pool(server)) else { return };
    let asked = clock::now();
    let answer = match pool.take_control(&account).await {
        Ok(mut lease) => {
            let answer = lease.ask(Command::Begin(Access::Write, None)).await;
            if answer.is_ok() {
                lease.roll_back().await;
            }
            answer.ok()
        }
        Err(_) => None,
    };
    let now = clock::now();
    match answer.map(|answer| (answer.result, answer.position)) {
        Some((Ok(_), Some(position))) => {
            let news = group.borrow_mut().leads(server, position, asked, now);
            if news {
                engine.note_primary(&group.borrow(), Source::Answer);
            }
        }
        Some((Err(fault), _)) if fault.kind == FaultKind::NotPrimary => {
            group.borrow_mut().denies(server, now);
            engine.note_primary(&group.borrow(), Source::Answer);
        }
        _ => group.borrow_mut().missed_primary(server, asked),
    }
}

/// Asks every server of a group whether it leads.
async fn seek_primary<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    group: &RefCell<Group>,
) {
    let servers: Vec<ServerId> = group.borrow().servers.keys().cloned().collect();
    let answers = servers.iter().map(|server| ask(engine, server, Command::Status));
    let answers = futures_util::future::join_all(answers).await;
    let leader = servers
        .iter()
        .zip(answers)
        .filter_map(|(server, status)| Some((server, status?)))
        .filter(|(_, status)| status.is_primary)
        .max_by_key(|(_, status)| status.term);
    if let Some((server, status)) = leader {
        let news = group.borrow_mut().adopt(server, status.term);
        if news {
            engine.note_primary(&group.borrow(), Source::Answer);
        }
    }
}
