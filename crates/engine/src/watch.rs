//! Watches primaries and replaces those that fail or leave.
//!
//! Only the failover coordinator probes primaries and runs failovers. The state
//! machine in `chicoryhollow_core` decides on the actions, and this module executes
//! them: it sends commands to the servers and promotions to the directory. Every
//! other VM only records since when a group has no known primary, so that it need
//! not start to count when it becomes the coordinator.

mod announcement;
mod cleanup;
mod departure;
mod execution;
mod probe;

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use chicoryhollow_core::{
    GroupId, Position, ServerId, Term, Time,
    failover::{Cause, Failover, FenceCleanup, Progress, ReplacedPrimaries},
    suspicion::{Evidence, MAJORITY_FAILURE_TIMEOUT, Suspicion, UNCONFIRMED_TIMEOUT},
};
use slog::o;
use tokio::time::timeout;

use self::announcement::{announce, correct_announcement, end_announcement, narrow_announcement};
use self::execution::{execute, log_reports};
pub(crate) use self::execution::{run_command, send_command};
use crate::{
    catalog::ServerEntry,
    clock,
    coordinator::Coordinator,
    engine::Engine,
    group::{Group, Source},
    log::Event,
    seam::{Directory, ServerProtocol},
    single_flight::SingleFlight,
};

/// Interval at which the failover coordinator checks all groups.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which other VMs check which groups have a known primary.
const STANDBY_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between the end of a failover and the start of the next one of
/// the same group.
const FAILOVER_PAUSE: Duration = Duration::from_millis(1_000);

struct RunningFailover {
    group: GroupId,
    failover: Rc<RefCell<Failover>>,
    /// Lifts the fences of this failover once it has ended.
    cleanup: Rc<RefCell<FenceCleanup>>,
    suspicion: Suspicion,
    started: Time,
}

/// State of one group that only the watcher needs.
#[derive(Default)]
struct GroupWatch {
    running: Option<RunningFailover>,
    /// Cleanup of fences, or `None` while this VM is not the coordinator.
    cleanup: Option<Rc<RefCell<FenceCleanup>>>,
    /// Primaries that failed lately.
    replaced: ReplacedPrimaries,
    /// Earliest start of the next failover.
    not_before: Time,
    no_primary_since: Option<Time>,
    last_probe: Time,
    last_departure_check: Time,
    probe: Rc<RefCell<SingleFlight>>,
}

impl GroupWatch {
    /// Records the end of a failover.
    fn record_end(&mut self, failover: &Failover, now: Time) {
        if failover.cause() == Cause::Failure
            && failover.has_sent_order()
            && let Some(primary) = failover.replaced_primary()
        {
            self.replaced.record(primary.clone(), now);
        }
    }

    /// Ends what only the coordinator does.
    fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            running.failover.borrow_mut().end();
        }
        self.cleanup = None;
    }

    /// Records since when the group has no known primary, and returns the entry of the
    /// primary if there is one.
    fn record_primary<'a>(&mut self, group: &'a Group, now: Time) -> Option<&'a ServerEntry> {
        let entry = group.view.primary.as_ref().and_then(|primary| group.servers.get(primary));
        self.no_primary_since = match entry {
            Some(_) => None,
            None => Some(self.no_primary_since.unwrap_or(now)),
        };
        entry
    }
}

/// Watches all groups until dropped.
pub(crate) async fn run<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    coordinator: Rc<Coordinator>,
) {
    let mut watches: HashMap<GroupId, GroupWatch> = HashMap::new();
    loop {
        let pause = match coordinator.token() {
            Some(_) => WATCH_INTERVAL,
            None => STANDBY_INTERVAL,
        };
        // A wakeup only ends the pause early.
        let _ = timeout(pause, engine.watch_wakeup.notified()).await;
        let is_coordinator = coordinator.token().is_some();
        for group in engine.groups() {
            let name = group.borrow().view.group.clone();
            let watched = watches.entry(name).or_default();
            if coordinator.record_open_order(&mut group.borrow_mut()) {
                engine.fleet.announce_primary();
            }
            if is_coordinator {
                recall(&engine, &coordinator, &group, watched.cleanup.is_none());
                watch(&engine, &coordinator, &group, watched);
            } else {
                watched.stop();
                // This counts once this VM is the coordinator.
                watched.record_primary(&group.borrow(), clock::now());
            }
        }
        if is_coordinator && coordinator.needs_write() {
            let (engine, coordinator) = (Rc::clone(&engine), Rc::clone(&coordinator));
            actix::spawn(async move { coordinator.write_missing(&engine).await });
        }
    }
}

/// Takes over what earlier coordinators knew of a group. Orders of them that may still be carried
/// out are announced as a failover that runs. If there is none, a VM that has just taken the role
/// announces that no failover runs any more.
fn recall<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    coordinator: &Coordinator,
    group: &RefCell<Group>,
    is_new: bool,
) {
    let now = clock::now();
    let recalled = coordinator.recall(&mut group.borrow_mut());
    if let Some(replaced) = recalled {
        let replaced = replaced.max(group.borrow().newest_term());
        announce(engine, coordinator, group, replaced, now);
    } else if is_new && coordinator.has_no_order(&group.borrow().view.group, now) {
        let known = group.borrow().peers.failover();
        if known.is_some_and(|known| known.may_replace(known.replaced, now)) {
            announce(engine, coordinator, group, Term::default(), now);
        }
    }
}

fn watch<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    coordinator: &Rc<Coordinator>,
    group: &Rc<RefCell<Group>>,
    watched: &mut GroupWatch,
) {
    let now = clock::now();
    probe::start(engine, group, watched, now);
    departure::start(engine, group, watched, now);
    let cleanup = cleanup::of_group(watched, &group.borrow(), now);
    if let Some(running) = watched.running.take() {
        let failover = Rc::clone(&running.failover);
        watched.running = advance(engine, coordinator, group, running, now);
        if watched.running.is_none() {
            watched.record_end(&failover.borrow(), now);
            cleanup.borrow_mut().start(now);
            watched.not_before = now + FAILOVER_PAUSE;
        }
        return;
    }
    cleanup::advance(engine, coordinator, group, &cleanup, now);
    // A fence of a failover that begins now would be lifted.
    if now < watched.not_before || cleanup.borrow().is_releasing() {
        return;
    }
    let awaits_server = group.borrow().awaits_server(now) || coordinator.awaits_unlisted();
    let order = coordinator.newest_order(&group.borrow().view.group);
    let known = order.as_ref().map(|order| now.since(order.known));
    let suspicion = assess(engine, &group.borrow(), watched, known, now);
    let suspicion = suspicion.filter(|_| !awaits_server);
    if let Some(suspicion) = suspicion {
        // An open order may promote a server meanwhile, which is replaced then.
        let pending = coordinator.pending_term(&group.borrow().view.group);
        let replaced = group.borrow().newest_term().max(pending.unwrap_or_default());
        if !announce(engine, coordinator, group, replaced, now) {
            return;
        }
        let server = order.map(|order| order.server);
        let running = begin(engine, &group.borrow(), watched, suspicion, server, now);
        watched.running = Some(running);
    }
}

/// Returns why the primary must be replaced, or `None` if it need not be.
fn assess<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    group: &Group,
    watched: &mut GroupWatch,
    open_order: Option<Duration>,
    now: Time,
) -> Option<Suspicion> {
    if group.servers.is_empty() {
        return None;
    }
    let entry = watched.record_primary(group, now);
    let name = &group.view.group;
    let evidence = Evidence {
        no_primary: watched.no_primary_since.map(|since| now.since(since)),
        open_order,
        leaving: entry.is_some_and(|entry| !group.accepts_work(entry)),
        has_successor: watched
            .replaced
            .rank(group.members(now), now)
            .iter()
            .any(|member| member.preferred),
        failing: group.failing(now),
        silence: now.since(group.last_response()),
        unconfirmed: group.unconfirmed(now),
        unconfirmed_votes: engine.fleet.failure_votes(name, UNCONFIRMED_TIMEOUT, now),
        failed_votes: engine.fleet.failure_votes(name, MAJORITY_FAILURE_TIMEOUT, now),
    };
    evidence.suspicion()
}

fn begin<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    group: &Group,
    watched: &GroupWatch,
    suspicion: Suspicion,
    ordered: Option<ServerId>,
    now: Time,
) -> RunningFailover {
    let highest_term = group.newest_term().max(group.acknowledged.term());
    let members = watched.replaced.rank(group.members(now), now);
    let names: Vec<String> = members.iter().map(|member| member.server.to_string()).collect();
    // A leaving primary still reports its log. The next primary must hold all of it.
    let min_position = match suspicion.cause() {
        Cause::Planned => group.acknowledged.max(group.observed.newest()),
        Cause::Failure => group.acknowledged,
    };
    let mut failover = Failover::new(suspicion.cause(), members, highest_term, min_position, now)
        .with_open_order(ordered);
    failover.record_log_start(group.told.start());
    if let Some(primary) = group.view.primary.clone() {
        failover = failover.with_primary(primary, group.last_response());
    }
    engine.event_log.record(
        Event::FailoverStarted,
        o!(
            "group" => group.view.group.to_string(),
            "suspicion" => suspicion.label(),
            "primary" => group.view.primary.as_ref().map(ToString::to_string),
            "failing_ms" => group.failing(now).as_millis() as u64,
            "heard_ms" => now.since(group.last_response()).as_millis() as u64,
            "acknowledged" => group.acknowledged.to_string(),
            "term" => failover.term().get(),
            "members" => names.join(","),
        ),
    );
    RunningFailover {
        group: group.view.group.clone(),
        failover: Rc::new(RefCell::new(failover)),
        cleanup: watched.cleanup.clone().unwrap_or_default(),
        suspicion,
        started: now,
    }
}

/// Advances a failover; returns it while it runs.
fn advance<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    coordinator: &Rc<Coordinator>,
    group: &Rc<RefCell<Group>>,
    running: RunningFailover,
    now: Time,
) -> Option<RunningFailover> {
    let name = &running.group;
    let progress = {
        let awaits_unlisted = coordinator.awaits_unlisted();
        let group = group.borrow();
        let mut failover = running.failover.borrow_mut();
        failover.record_acknowledged(group.acknowledged);
        failover.record_led(group.newest_term());
        failover.record_log_start(group.told.start());
        failover.retain(|server| group.servers.contains_key(server));
        failover.join(group.members(now));
        let has_recovered = running.suspicion == Suspicion::Silent
            && !failover.has_sent_order()
            && group.last_response() > running.started;
        let awaits_server = awaits_unlisted || group.awaits_server(now);
        match (has_recovered, !failover.has_sent_order() && awaits_server) {
            (true, _) => Progress::Abandoned("the primary answers again"),
            (_, true) => Progress::Abandoned("a server that may hold a commit is missing"),
            _ => failover.progress(now),
        }
    };
    match progress {
        Progress::Running => {
            let mut failover = running.failover.borrow_mut();
            correct_announcement(engine, coordinator, group, &mut failover, now);
            let actions = failover.next_actions(now);
            drop(failover);
            for action in actions {
                execute(engine, coordinator, &running, action);
            }
            Some(running)
        }
        Progress::Done(server, term) => {
            running.failover.borrow_mut().end();
            log_reports(engine, name, &running.failover.borrow(), "completed");
            let changed = group.borrow_mut().adopt(&server, term);
            let received = running.failover.borrow().target_received();
            group.borrow_mut().told.record_start(Position::new(term, received.lsn()));
            if changed {
                engine.record_primary_change(&group.borrow(), Source::Answer);
            }
            engine.check_commits(group);
            let pending = coordinator.record_leader(name, &server, term);
            narrow_announcement(engine, coordinator, group, pending, now);
            engine.event_log.record(
                Event::FailoverCompleted,
                o!(
                    "group" => name.to_string(),
                    "primary" => server.to_string(),
                    "term" => term.get(),
                    "took_ms" => now.since(running.started).as_millis() as u64,
                ),
            );
            None
        }
        Progress::Abandoned(reason) => {
            running.failover.borrow_mut().end();
            log_reports(engine, name, &running.failover.borrow(), "abandoned");
            end_announcement(engine, coordinator, group, &running.failover.borrow(), now);
            engine.event_log.record(
                Event::FailoverAbandoned,
                o!("group" => name.to_string(), "reason" => reason),
            );
            None
        }
    }
}
