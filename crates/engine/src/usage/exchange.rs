//! Messages with the counts of usage reports.
//!
//! A VM sends the totals that have changed, so that each message repeats no more than a new
//! link requires. The pause between two messages grows with their size.

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId, DataCentreId, Incarnation, Time, VmId,
    usage::{CentreAccount, Change, Offset, Quantiles, Sender, TrueTime, WindowId},
};
use chicoryhollow_peer::{
    Body, Message,
    usage::{UsageAsk, UsageClock, UsageReport, UsageSums, UsageWindow},
};
use indexmap::IndexMap;
use slog::o;
use tokio::time::{MissedTickBehavior, interval};

use super::{Recipient, Usage};
use crate::{
    clock,
    engine::Engine,
    fleet::{COLLECTORS, Link, Reached},
    log::Event,
    seam::{Directory, ServerProtocol},
};

/// Interval at which changed counts are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Longest pause between two messages with counts to one collector.
const MAX_SEND_PAUSE: Duration = Duration::from_millis(1_000);

/// Interval at which a VM without new counts tells its time of day.
const IDLE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Rate of counts that a VM sends to one collector when it has many accounts.
const SEND_BYTES_PER_SECOND: u64 = 600;

/// Number of [`SEND_INTERVAL`]s between two requests for sums.
const ASK_ROUNDS: u32 = 2;

/// Interval at which a sender is told the true time.
const TELL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of totals in one message of a VM's own counts.
const MAX_SENT_TOTALS: usize = 500;

/// Maximum number of sums in one message.
const MAX_SENT_SUMS: usize = 2_000;

/// Sends this VM's counts and asks for sums, until dropped.
pub(super) async fn run<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>) {
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for round in 0_u32.. {
        ticks.tick().await;
        let Some(usage) = &engine.usage else { return };
        if !engine.fleet.has_member_list() {
            continue;
        }
        usage.refresh(clock::now());
        engine.send_counts(usage);
        if round.is_multiple_of(ASK_ROUNDS) {
            engine.ask_sums(usage);
        }
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Sends this VM's counts to the collectors of its data centre.
    fn send_counts(&self, usage: &Usage) {
        let collectors = self.fleet.collectors();
        let Some(near) = collectors.get(&usage.data_centre) else { return };
        let reached = self.fleet.reach(near, COLLECTORS);
        let is_reached = |vm: &VmId| {
            reached.iter().any(|reached| match reached {
                Reached::Here => *vm == usage.me.vm,
                Reached::Linked(other, _) => other == vm,
            })
        };
        usage.recipients.borrow_mut().retain(|vm, _| is_reached(vm));
        for collector in &reached {
            match collector {
                Reached::Here => usage.collect_own(clock::now()),
                Reached::Linked(vm, link) => {
                    let Some(report) = usage.next_report(vm, link, clock::now()) else { continue };
                    self.use_link(link);
                    link.send(Body::UsageReport(report));
                }
            }
        }
    }

    /// Asks collectors for their sums if this VM decides on the reports or may do so next.
    fn ask_sums(&self, usage: &Usage) {
        let collectors = self.fleet.collectors();
        let near = collectors.get(&usage.data_centre).and_then(|vms| vms.first());
        let asks = usage.decides.get() || near == Some(&usage.me.vm);
        usage.asks.set(asks);
        if !asks {
            usage.sources.borrow_mut().clear();
            return;
        }
        let now = clock::now();
        usage.sources.borrow_mut().retain(|vm, _| collectors.values().any(|vms| vms.contains(vm)));
        for (data_centre, vms) in &collectors {
            for collector in self.fleet.reach(vms, COLLECTORS) {
                let Reached::Linked(vm, link) = collector else { continue };
                let ask = usage.next_ask(&vm, data_centre, now);
                self.use_link(&link);
                link.send(Body::UsageAsk(ask));
            }
        }
    }

    /// Handles a message about usage, which is ignored if reports are not enabled.
    pub(crate) fn handle_usage(&self, vm: &VmId, link: &Link, body: Body) {
        let Some(usage) = &self.usage else { return };
        let now = clock::now();
        match body {
            Body::UsageReport(report) => {
                if let Some(clock) = usage.record_report(vm, &report, now) {
                    link.send(Body::UsageClock(clock));
                }
            }
            Body::UsageClock(clock) => usage.record_clock(vm, clock, now),
            Body::UsageAsk(ask) => {
                if let Some(clock) = ask.clock.clone() {
                    usage.record_clock(vm, clock, now);
                }
                link.send(Body::UsageSums(usage.answer(&ask, now)));
            }
            Body::UsageSums(sums) => {
                let late = usage.record_sums(vm, sums, now);
                if usage.decides.get() && late > 0 {
                    self.metrics.late_usage.inc_by(late);
                    let vm = vm.to_string();
                    self.event_log
                        .record(Event::UsageLate, o!("collector" => vm, "statements" => late));
                }
            }
            _ => {}
        }
    }
}

impl Usage {
    /// Adds this VM's counts to those that it collects.
    fn collect_own(&self, now: Time) {
        let mut recipients = self.recipients.borrow_mut();
        let recipient = recipients.entry(self.me.vm.clone()).or_default();
        let changes = self.counter.borrow().totals().changes(recipient.after, usize::MAX);
        recipient.after = changes.last;
        self.collect(&self.me, changes.totals, now);
        let offset = Offset::between(clock::time_of_day(), now);
        self.collector.borrow_mut().record_clock(&self.me, offset, now);
    }

    fn collect(&self, sender: &Sender, totals: Vec<Change<AccountId>>, now: Time) {
        let (mut collector, mut sums) = (self.collector.borrow_mut(), self.sums.borrow_mut());
        for total in totals {
            let sum = collector.receive(sender, &total, now);
            let data_centre = self.data_centre.clone();
            let key = CentreAccount { data_centre, account: sum.key };
            sums.raise(sum.window, &key, sum.count);
        }
    }

    /// Returns the message to send to a collector now, if there is one.
    fn next_report(&self, vm: &VmId, link: &Rc<Link>, now: Time) -> Option<UsageReport> {
        let mut recipients = self.recipients.borrow_mut();
        let recipient = recipients.entry(vm.clone()).or_default();
        if !std::ptr::eq(recipient.link.as_ptr(), Rc::as_ptr(link)) {
            // What was sent over an earlier link may have been lost.
            *recipient = Recipient { link: Rc::downgrade(link), ..Recipient::default() };
        }
        let counter = self.counter.borrow();
        let waited = recipient.sent_at.map_or(Duration::MAX, |sent_at| now.since(sent_at));
        let has_changed = counter.totals().has_changed(recipient.after);
        if waited < if has_changed { recipient.pause } else { IDLE_INTERVAL } {
            return None;
        }
        let changes = counter.totals().changes(recipient.after, MAX_SENT_TOTALS);
        let report = UsageReport {
            incarnation: self.me.incarnation.get(),
            time_us: clock::time_of_day().as_micros(),
            windows: encode(changes.totals, |account| (String::new(), account)),
        };
        let bytes = report.encoded_len() as u64;
        let pause = Duration::from_millis(bytes * 1_000 / SEND_BYTES_PER_SECOND);
        recipient.pause = pause.clamp(SEND_INTERVAL, MAX_SEND_PAUSE);
        (recipient.after, recipient.sent_at) = (changes.last, Some(now));
        Some(report)
    }

    /// Records the counts of another VM. Returns the true time if the sender is told now.
    fn record_report(&self, vm: &VmId, report: &UsageReport, now: Time) -> Option<UsageClock> {
        let incarnation = Incarnation::new(report.incarnation);
        let sender = Sender { vm: vm.clone(), incarnation };
        let offset = Offset::between(TrueTime::from_micros(report.time_us), now);
        self.collector.borrow_mut().record_clock(&sender, offset, now);
        self.collect(&sender, decode(&report.windows, |_, account| Some(account)), now);
        let mut tells = self.tells.borrow_mut();
        if tells.get(vm).is_some_and(|told| now.since(*told) < TELL_INTERVAL) {
            return None;
        }
        let clock = self.clock(now)?;
        tells.insert(vm.clone(), now);
        Some(clock)
    }

    /// Returns what this VM knows of the time and of the decisions.
    fn clock(&self, now: Time) -> Option<UsageClock> {
        let true_us = self.offset(now)?.convert(now).as_micros();
        Some(UsageClock { true_us, decided: self.decided.get().map_or(0, WindowId::get) })
    }

    fn record_clock(&self, vm: &VmId, clock: UsageClock, now: Time) {
        let offset = Offset::between(TrueTime::from_micros(clock.true_us), now);
        self.told.borrow_mut().insert(vm.clone(), (offset, now));
        self.record_decided(Some(WindowId::new(clock.decided)).filter(|_| clock.decided > 0));
    }

    fn next_ask(&self, vm: &VmId, data_centre: &DataCentreId, now: Time) -> UsageAsk {
        let clock = self.clock(now);
        let mut sources = self.sources.borrow_mut();
        let source = sources.entry(vm.clone()).or_default();
        source.data_centre = Some(data_centre.clone());
        UsageAsk { incarnation: source.incarnation, after: source.after, clock }
    }

    fn answer(&self, ask: &UsageAsk, now: Time) -> UsageSums {
        let incarnation = self.me.incarnation.get();
        let after = if ask.incarnation == incarnation { ask.after } else { 0 };
        let changes = self.sums.borrow().changes(after, MAX_SENT_SUMS);
        let clocks = self.collector.borrow().samples(now).quantiles(now);
        let place = |key: CentreAccount| {
            let is_near = key.data_centre == self.data_centre;
            let place = if is_near { String::new() } else { key.data_centre.to_string() };
            (place, key.account)
        };
        UsageSums {
            incarnation,
            last: changes.last,
            has_more: changes.has_more,
            windows: encode(changes.totals, place),
            vms: clocks.vms,
            times_us: clocks.times.iter().map(|time| time.as_micros()).collect(),
        }
    }

    /// Records sums, and returns how many statements of decided windows they add.
    fn record_sums(&self, vm: &VmId, answer: UsageSums, now: Time) -> u64 {
        let mut sources = self.sources.borrow_mut();
        let Some(source) = sources.get_mut(vm) else { return 0 };
        let Some(near) = source.data_centre.clone() else { return 0 };
        (source.incarnation, source.after) = (answer.incarnation, answer.last);
        if !answer.has_more {
            source.heard = now;
            self.heard.borrow_mut().insert(near.clone(), now);
        }
        let times = answer.times_us.into_iter().map(TrueTime::from_micros).collect();
        source.clocks = Quantiles { vms: answer.vms, times };
        let totals = decode(&answer.windows, |place, account| {
            let named = || DataCentreId::new(place).ok();
            let data_centre = if place.is_empty() { near.clone() } else { named()? };
            Some(CentreAccount { data_centre, account })
        });
        let mut sums = self.sums.borrow_mut();
        let mut late = 0;
        for total in totals {
            let gained = sums.raise(total.window, &total.key, total.count);
            if self.decided.get().is_some_and(|decided| total.window <= decided) {
                late += gained;
            }
        }
        late
    }
}

/// Groups totals by window and data centre.
fn encode<K>(totals: Vec<Change<K>>, split: impl Fn(K) -> (String, AccountId)) -> Vec<UsageWindow> {
    let mut windows: IndexMap<(WindowId, String), UsageWindow> = IndexMap::new();
    for Change { window, key, count } in totals {
        let (data_centre, account) = split(key);
        let entry = windows.entry((window, data_centre.clone())).or_insert_with(|| UsageWindow {
            window: window.get(),
            data_centre,
            ..UsageWindow::default()
        });
        entry.accounts.push(account.to_string());
        entry.counts.push(count);
    }
    windows.into_values().collect()
}

/// Returns the totals of a message. Names that are not valid are left out.
fn decode<K>(
    windows: &[UsageWindow],
    join: impl Fn(&str, AccountId) -> Option<K>,
) -> Vec<Change<K>> {
    let mut totals = Vec::new();
    for window in windows {
        for (account, count) in window.accounts.iter().zip(&window.counts) {
            let key = AccountId::new(account).ok();
            let Some(key) = key.and_then(|account| join(&window.data_centre, account)) else {
                continue;
            };
            totals.push(Change { window: WindowId::new(window.window), key, count: *count });
        }
    }
    totals
}
