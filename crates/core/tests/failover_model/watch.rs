//! The coordinator's watch of the primary, as the engine carries it out.

use std::time::Duration;

use chicoryhollow_core::{
    Position, ServerId, Term,
    failover::{Announcement, Cause, Failover, FailoverNumber, FenceCleanup, Progress},
    suspicion::{Evidence, MAJORITY_FAILURE_TIMEOUT, Suspicion, UNCONFIRMED_TIMEOUT, Votes},
};

use super::{
    group_view::{group, id, span},
    index, ticks, time,
    vm::Vm,
    world::World,
};

/// Time without an answer after which the primary is probed.
pub(crate) const PROBE_AFTER: u32 = ticks(300);

/// Time between two probes.
const PROBE_EVERY: u32 = ticks(200);

/// Time between two failovers.
const FAILOVER_PAUSE: u32 = ticks(1_000);

/// A failover that runs.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) failover: Failover,
    suspicion: Suspicion,
    started: u32,
}

/// What only the coordinator keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    pub(crate) running: Option<Running>,
    /// Cleanup of fences, or `None` while this VM is not the coordinator.
    pub(crate) cleanup: Option<FenceCleanup>,
    /// When this VM became the coordinator.
    pub(crate) since: u32,
    not_before: u32,
    no_primary_since: Option<u32>,
    last_probe: u32,
    /// When older orders were cancelled.
    pub(crate) cancelled: Option<(u32, Option<usize>)>,
}

impl Watch {
    /// Returns the failover that began at this tick, if it runs.
    pub(crate) fn failover(&mut self, started: u32) -> Option<&mut Failover> {
        let running = self.running.as_mut().filter(|running| running.started == started)?;
        Some(&mut running.failover)
    }

    /// Takes out the failover that began at this tick, if it runs.
    pub(crate) fn take_failover(&mut self, started: u32) -> Option<Running> {
        self.running.take_if(|running| running.started == started)
    }

    /// Puts back what was taken out.
    pub(crate) fn put_back(&mut self, running: Option<Running>) {
        if running.is_some() {
            self.running = running;
        }
    }
}

impl Vm {
    /// Returns the term that the newest known failover replaces, or zero.
    fn announced_term(&self) -> Term {
        self.view.failover.map(|known| known.replaced).unwrap_or_default()
    }
}

impl World {
    /// Takes a step of the watch of one VM.
    pub(crate) fn watch(&mut self, vm: usize) {
        self.find_primary(vm);
        self.record_primary_entry(vm);
        if !self.is_coordinator(vm) {
            let watch = &mut self.vms[vm].watch;
            (watch.running, watch.cancelled, watch.cleanup) = (None, None, None);
            return;
        }
        self.take_cleanup(vm);
        self.recall(vm);
        self.probe(vm);
        self.check_departures(vm);
        self.remember(vm);
        let tick = self.tick;
        if let Some(running) = self.vms[vm].watch.running.take() {
            self.advance(vm, running);
            return;
        }
        if self.changes.cancels {
            self.cancel_orders(vm);
        }
        self.clean_up(vm);
        if tick < self.vms[vm].watch.not_before || self.awaits_server(vm) {
            return;
        }
        if let Some(suspicion) = self.assess(vm) {
            self.begin(vm, suspicion);
        }
    }

    /// Takes over what an earlier coordinator has written to the row.
    fn recall(&mut self, vm: usize) {
        let Vm { memory, view, .. } = &mut self.vms[vm];
        if view.entries.iter().any(Option::is_some) {
            view.recall(memory.take_missing(&group()));
        }
        if let Some(primary) = view.primary {
            memory.record_leader(&group(), &id(primary), Term::new(view.term));
        }
        let Some(replaced) = memory.take_unannounced(&group()) else {
            self.end_earlier_failover(vm);
            return;
        };
        let replaced = replaced.max(view.newest_term());
        self.note(|| format!("VM {vm} recalls an order that replaces term {}", replaced.get()));
        let Some(token) = self.next_token(vm) else { return };
        let number = FailoverNumber::new(token.get());
        self.announce(vm, number, replaced);
    }

    /// Tells that no failover of an earlier coordinator runs any more, if this one is new and knows
    /// of no order.
    fn end_earlier_failover(&mut self, vm: usize) {
        let now = time(self.tick);
        let Vm { memory, view, watch, .. } = &self.vms[vm];
        let is_running = view.failover.is_some_and(|known| known.may_replace(known.replaced, now));
        if watch.since != self.tick || !is_running || !memory.has_no_order(&group(), now) {
            return;
        }
        let Some(token) = self.next_token(vm) else { return };
        self.announce(vm, FailoverNumber::new(token.get()), Term::default());
    }

    /// Writes to the row which servers are missing, if there are more.
    fn remember(&mut self, vm: usize) {
        let Vm { memory, view, .. } = &mut self.vms[vm];
        memory.update_missing(&group(), &view.missing);
        self.write_memory(vm);
    }

    fn awaits_server(&self, vm: usize) -> bool {
        let Vm { memory, view, .. } = &self.vms[vm];
        view.awaits_server(self.tick) || memory.awaits_unlisted(time(self.tick))
    }

    fn record_primary_entry(&mut self, vm: usize) {
        let tick = self.tick;
        let me = &mut self.vms[vm];
        let is_known = me.view.primary_entry().is_some();
        let since = me.watch.no_primary_since.unwrap_or(tick);
        me.watch.no_primary_since = (!is_known).then_some(since);
    }

    /// Asks all servers for their role while no primary is known.
    fn find_primary(&mut self, vm: usize) {
        if self.vms[vm].view.primary_entry().is_some() || !self.tick.is_multiple_of(PROBE_EVERY) {
            return;
        }
        let others: Vec<usize> = self.vms[vm].view.others(None).collect();
        let answers = others.into_iter().filter_map(|i| Some((i, self.ask_status(vm, i)?)));
        let answers: Vec<_> = answers.filter(|(_, server)| server.leads).collect();
        if let Some((i, server)) = answers.into_iter().max_by_key(|(_, server)| server.term) {
            self.vms[vm].view.adopt(i, server.term);
        }
    }

    fn probe(&mut self, vm: usize) {
        let tick = self.tick;
        let me = &mut self.vms[vm];
        let is_silent = tick - me.view.last_response >= PROBE_AFTER;
        let Some((server, _)) = me.view.primary_entry() else { return };
        if !is_silent || tick - me.watch.last_probe < PROBE_EVERY {
            return;
        }
        me.watch.last_probe = tick;
        let answer = self.ask_status(vm, server);
        let view = &mut self.vms[vm].view;
        match answer {
            Some(status) if status.leads => view.record_primary(server, status.position(), tick),
            Some(_) => view.record_denial(server),
            None => view.record_failure(server, tick),
        }
    }

    fn check_departures(&mut self, vm: usize) {
        let candidates = self.vms[vm].view.missing.ended_candidates();
        let candidates: Vec<usize> = candidates.map(|(server, _)| index(server.as_str())).collect();
        for server in candidates {
            if self.ask_status(vm, server).is_none() {
                self.vms[vm].view.missing.record_unanswered(&id(server));
            }
        }
    }

    fn assess(&self, vm: usize) -> Option<Suspicion> {
        let (tick, me) = (self.tick, &self.vms[vm]);
        me.view.others(None).next()?;
        let has_failed = |other: usize, limit| span(self.vms[other].view.failing(tick)) >= limit;
        let votes = |limit: Duration| Votes {
            total: self.heard_vms(vm).count(),
            failed: self.heard_vms(vm).filter(|other| has_failed(*other, limit)).count(),
        };
        let evidence = Evidence {
            no_primary: me.watch.no_primary_since.map(|since| span(tick - since)),
            open_order: me.memory.open_order(&group()).map(|open| time(tick).since(open.known)),
            leaving: me.view.primary_entry().is_some_and(|(_, entry)| entry.leaving),
            has_successor: me.view.members().iter().any(|member| member.preferred),
            failing: span(me.view.failing(tick)),
            silence: span(tick - me.view.last_response),
            unconfirmed: span(me.view.unconfirmed_since.map_or(0, |since| tick - since)),
            unconfirmed_votes: votes(UNCONFIRMED_TIMEOUT),
            failed_votes: votes(MAJORITY_FAILURE_TIMEOUT),
        };
        evidence.suspicion()
    }

    fn begin(&mut self, vm: usize, suspicion: Suspicion) {
        let tick = self.tick;
        let view = &self.vms[vm].view;
        let highest = view.newest_term().max(view.acknowledged.term());
        let position = match suspicion.cause() {
            Cause::Planned => view.acknowledged.max(view.observed),
            Cause::Failure => view.acknowledged,
        };
        let members = view.members();
        let mut failover = Failover::new(suspicion.cause(), members, highest, position, time(tick));
        failover.record_log_start(view.start);
        if let Some(primary) = view.primary {
            failover = failover.with_primary(id(primary), time(view.last_response));
        }
        let open_order = self.vms[vm].memory.open_order(&group());
        failover = failover.with_open_order(open_order.map(|open| open.server.clone()));
        let Some(token) = self.next_token(vm) else { return };
        let pending = self.vms[vm].memory.pending_term(&group(), None).unwrap_or_default();
        let replaced = pending.max(self.vms[vm].view.newest_term());
        self.announce(vm, FailoverNumber::new(token.get()), replaced);
        self.note(|| format!("VM {vm} starts a failover ({})", suspicion.label()));
        self.vms[vm].watch.running = Some(Running { failover, suspicion, started: tick });
    }

    fn advance(&mut self, vm: usize, mut running: Running) {
        let (tick, awaits_server) = (self.tick, self.awaits_server(vm));
        let view = &self.vms[vm].view;
        let failover = &mut running.failover;
        failover.record_acknowledged(view.acknowledged);
        failover.record_led(view.newest_term());
        failover.record_log_start(view.start);
        failover.retain(|server| view.entries[index(server.as_str())].is_some());
        failover.join(view.members());
        let is_unordered = !failover.has_sent_order();
        let has_recovered = running.suspicion == Suspicion::Silent
            && is_unordered
            && view.last_response > running.started;
        let progress = match (has_recovered, is_unordered && awaits_server) {
            (true, _) => Progress::Abandoned("the primary answers again"),
            (_, true) => Progress::Abandoned("a server that may hold a commit is missing"),
            _ => failover.progress(time(tick)),
        };
        match progress {
            Progress::Running => {
                self.correct_announcement(vm, failover);
                for action in failover.next_actions(time(tick)) {
                    self.execute(vm, running.started, &mut running.failover, action);
                }
                self.vms[vm].watch.running = Some(running);
                return;
            }
            Progress::Done(server, term) => {
                let start = Position::new(term, failover.target_received().lsn());
                let view = &mut self.vms[vm].view;
                view.adopt(index(server.as_str()), term.get());
                view.start = view.start.max(start);
                self.narrow_announcement(vm, &server, term);
            }
            Progress::Abandoned(reason) => {
                self.note(|| format!("VM {vm} gives the failover up: {reason}"));
                let has_open_order = failover.has_open_order();
                self.end_announcement(vm, has_open_order);
            }
        }
        let watch = &mut self.vms[vm].watch;
        watch.cleanup.get_or_insert_default().start(time(tick));
        watch.not_before = tick + FAILOVER_PAUSE;
    }

    /// Tells of a failover, and whether an order of an earlier one is open.
    fn announce(&mut self, vm: usize, number: FailoverNumber, replaced: Term) {
        let begun = time(self.tick);
        let Vm { memory, view, .. } = &mut self.vms[vm];
        let ordered = memory.open_order(&group()).is_some();
        view.record_failover(Some(Announcement { number, replaced, begun, ordered }));
    }

    /// Tells of a failover again if the servers report a higher term than was known at the start.
    fn correct_announcement(&mut self, vm: usize, failover: &mut Failover) {
        let announced = self.vms[vm].announced_term();
        let mut replaced = failover.reported_term();
        if failover.needs_announcement() {
            let pending = self.vms[vm].memory.pending_term(&group(), None);
            let led = self.vms[vm].view.newest_term();
            replaced = replaced.max(announced).max(led).max(pending.unwrap_or_default());
        } else if failover.has_sent_order() || replaced <= announced {
            return;
        }
        let Some(token) = self.next_token(vm) else { return };
        let number = FailoverNumber::new(token.get());
        self.announce(vm, number, replaced);
        failover.record_announcement(time(self.tick));
    }

    /// Tells that a failover which also covered the term of its successor has ended, unless an
    /// open order may still promote another server.
    fn narrow_announcement(&mut self, vm: usize, server: &ServerId, term: Term) {
        let me = &mut self.vms[vm];
        me.memory.record_leader(&group(), server, term);
        let is_open = me.memory.pending_term(&group(), Some(server)).is_some_and(|at| at >= term);
        if me.announced_term() < term || is_open {
            return;
        }
        let Some(token) = self.next_token(vm) else { return };
        let (number, replaced) = (FailoverNumber::new(token.get()), Term::default());
        self.announce(vm, number, replaced);
    }

    /// Tells that an abandoned failover replaces no primary, unless its order may be open.
    fn end_announcement(&mut self, vm: usize, has_open_order: bool) {
        let Some(token) = self.next_token(vm) else { return };
        let announced = self.vms[vm].announced_term();
        let replaced = if has_open_order { announced } else { Term::default() };
        let number = FailoverNumber::new(token.get());
        self.announce(vm, number, replaced);
    }
}
