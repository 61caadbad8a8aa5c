//! Messages with the counts of usage reports.
//!
//! A VM sends the totals that have changed, so that each message repeats no more than a new
//! link requires. The pause between two messages grows with their size.

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    AccountId, DataCentreId, Incarnation, Time, VmId,
    usage::{Book, BookAccount, Change, Offset, Quantiles, Sender, TrueTime, WindowId},
};
use chicoryhollow_peer::{
    Body, Message,
    usage::{UsageAsk, UsageClock, UsageReport, UsageSums, UsageWindow},
};
use indexmap::IndexMap;
use slog::o;
use tokio::time::{MissedTickBehavior, interval};

use super::{Numbered, Recipient, SourceKey, Usage};
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
const SEND_BYTES_PER_SECOND: u64 = 400;

/// Number of [`SEND_INTERVAL`]s between two requests for sums.
const ASK_ROUNDS: u32 = 2;

/// Number of [`SEND_INTERVAL`]s between two requests for the sums that a collector has from
/// others, which are needed only if all collectors of a data centre are gone.
const ASK_ALL_ROUNDS: u32 = 8;

/// Number of collectors of each data centre that know the sums of all data centres.
const STANDBYS: usize = 2;

/// Interval at which a sender is told the true time.
const TELL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of totals in one message of a VM's own counts.
const MAX_SENT_TOTALS: usize = 500;

/// Maximum number of sums in one message.
const MAX_SENT_SUMS: usize = 10_000;

/// Rate of sums that one VM asks of another one when there are many accounts.
const ASK_BYTES_PER_SECOND: u64 = 32_000;

/// Shortest pause between the messages of a VM to a collector, for each VM of the data centre.
/// It bounds the work of a collector.
const SEND_PAUSE_PER_VM: Duration = Duration::from_millis(1);

/// Counts that arrived after the decision on their windows.
#[derive(Default)]
struct Late {
    operations: u64,
    /// Whether they are within the tolerance in each window.
    is_tolerated: bool,
}

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
            engine.ask_sums(usage, round);
        }
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Sends this VM's counts to the collectors of its data centre.
    pub(super) fn send_counts(&self, usage: &Usage) {
        let collectors = self.fleet.collectors();
        let Some(near) = collectors.get(&usage.data_centre) else { return };
        let reached = self.fleet.reach(near, COLLECTORS);
        let vms = self.fleet.vms_in(&usage.data_centre).len() as u32;
        let min_pause = SEND_INTERVAL.max(SEND_PAUSE_PER_VM * vms);
        let names = || {
            reached.iter().map(|reached| match reached {
                Reached::Here => &usage.me.vm,
                Reached::Linked(vm, _) => vm,
            })
        };
        usage.counter.borrow_mut().open(Book::of(names()));
        usage.recipients.borrow_mut().retain(|vm, _| names().any(|name| name == vm));
        for collector in &reached {
            match collector {
                Reached::Here => usage.collect_own(clock::now()),
                Reached::Linked(vm, link) => {
                    let Some(report) = usage.next_report(vm, link, min_pause) else { continue };
                    self.use_link(link);
                    if !link.send(Body::UsageReport(report)) {
                        // All is sent again, as after the loss of the link.
                        usage.recipients.borrow_mut().swap_remove(vm);
                    }
                }
            }
        }
    }

    /// Asks collectors for their sums if this VM decides on the reports or may do so next.
    fn ask_sums(&self, usage: &Usage, round: u32) {
        let collectors = self.fleet.collectors();
        let decides = usage.decides.get();
        let near = collectors.get(&usage.data_centre).into_iter().flatten();
        let stands_by = near.take(STANDBYS).any(|vm| *vm == usage.me.vm);
        usage.asks.set(decides || stands_by);
        if !usage.asks.get() {
            usage.sources.borrow_mut().clear();
            return;
        }
        let is_known = |vm: &VmId| collectors.values().any(|vms| vms.contains(vm));
        usage.sources.borrow_mut().retain(|key, _| is_known(&key.vm));
        for (data_centre, vms) in &collectors {
            // What the others of its data centre were sent, a collector was sent too.
            if !decides && *data_centre == usage.data_centre {
                continue;
            }
            let count = if decides { STANDBYS } else { 1 };
            for collector in self.fleet.reach(vms, count) {
                let Reached::Linked(vm, link) = collector else { continue };
                self.use_link(&link);
                let asks_all = decides && round.is_multiple_of(ASK_ALL_ROUNDS);
                for all in [false, true].into_iter().take(1 + usize::from(asks_all)) {
                    let ask = usage.next_ask(&vm, data_centre, all);
                    ask.map(|ask| link.send(Body::UsageAsk(ask)));
                }
            }
        }
    }

    /// Handles a message about usage, which is ignored if reports are not enabled.
    pub(crate) fn handle_usage(&self, vm: &VmId, link: &Link, body: Body) {
        let Some(usage) = &self.usage else { return };
        let now = clock::now();
        match body {
            Body::UsageReport(report) => {
                if let Some(clock) = usage.record_report(vm, report, now) {
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
                if usage.decides.get() && late.operations > 0 {
                    self.metrics.late_usage.inc_by(late.operations);
                    self.event_log.record(
                        Event::UsageLate,
                        o!("collector" => vm.to_string(), "operations" => late.operations,
                            "tolerated" => late.is_tolerated),
                    );
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

    fn collect(&self, sender: &Sender, totals: Vec<Change<BookAccount>>, now: Time) {
        let (mut collector, mut sums) = (self.collector.borrow_mut(), self.sums.borrow_mut());
        for total in totals {
            let sum = collector.receive(sender, &total, now);
            sums.raise(sum.window, &sum.key, sum.count);
        }
    }

    /// Returns the message to send to a collector now, if there is one.
    fn next_report(&self, vm: &VmId, link: &Rc<Link>, min_pause: Duration) -> Option<UsageReport> {
        let now = clock::now();
        let mut recipients = self.recipients.borrow_mut();
        let recipient = recipients.entry(vm.clone()).or_default();
        if !std::ptr::eq(recipient.link.as_ptr(), Rc::as_ptr(link)) {
            // What was sent over an earlier link may have been lost.
            let numbering = rand::random();
            *recipient = Recipient { link: Rc::downgrade(link), numbering, ..Recipient::default() };
        }
        let counter = self.counter.borrow();
        let waited = recipient.sent_at.map_or(Duration::MAX, |sent_at| now.since(sent_at));
        let has_changed = counter.totals().has_changed(recipient.after);
        if waited < if has_changed { recipient.pause } else { IDLE_INTERVAL } {
            return None;
        }
        let changes = counter.totals().changes(recipient.after, MAX_SENT_TOTALS);
        let first = recipient.names.len();
        let mut windows = encode(changes.totals);
        for window in &mut windows {
            let accounts = std::mem::take(&mut window.accounts);
            let accounts = accounts.into_iter().filter_map(|name| AccountId::new(&name).ok());
            let number = |account| recipient.names.insert_full(account).0 as u32;
            window.numbers = accounts.map(number).collect();
        }
        let report = UsageReport {
            incarnation: self.me.incarnation.get(),
            time_us: clock::time_of_day().as_micros(),
            windows,
            numbering: recipient.numbering,
            first: first as u32,
            names: recipient.names.iter().skip(first).map(|name| name.to_string()).collect(),
        };
        let bytes = report.encoded_len() as u64;
        let pause = Duration::from_millis(bytes * 1_000 / SEND_BYTES_PER_SECOND);
        recipient.pause = pause.min(MAX_SEND_PAUSE).max(min_pause);
        (recipient.after, recipient.sent_at) = (changes.last, Some(now));
        Some(report)
    }

    /// Records the counts of another VM. Returns the true time if the sender is told now.
    fn record_report(&self, vm: &VmId, mut report: UsageReport, now: Time) -> Option<UsageClock> {
        let incarnation = Incarnation::new(report.incarnation);
        let sender = Sender { vm: vm.clone(), incarnation };
        let offset = Offset::between(TrueTime::from_micros(report.time_us), now);
        self.collector.borrow_mut().record_clock(&sender, offset, now);
        self.restore_names(vm, &mut report);
        self.collect(&sender, decode(&report.windows), now);
        let mut tells = self.tells.borrow_mut();
        if tells.get(vm).is_some_and(|told| now.since(*told) < TELL_INTERVAL) {
            return None;
        }
        let clock = self.clock(now)?;
        tells.insert(vm.clone(), now);
        Some(clock)
    }

    /// Replaces the numbers of accounts in a report by their names. A message of an earlier
    /// link is left without accounts, as all is sent again over the new one.
    fn restore_names(&self, vm: &VmId, report: &mut UsageReport) {
        let mut numbered = self.numbered.borrow_mut();
        let known = numbered.entry(vm.clone()).or_default();
        if known.numbering != report.numbering && report.first == 0 {
            *known = Numbered { numbering: report.numbering, names: Vec::new() };
        }
        if known.numbering != report.numbering || known.names.len() != report.first as usize {
            return;
        }
        let names = std::mem::take(&mut report.names);
        known.names.extend(names.iter().filter_map(|name| AccountId::new(name).ok()));
        for window in &mut report.windows {
            let names = window.numbers.iter().map(|number| known.names.get(*number as usize));
            window.accounts = names.flatten().map(AccountId::to_string).collect();
        }
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

    /// Returns the request to send to a collector now, if there is one.
    fn next_ask(&self, vm: &VmId, data_centre: &DataCentreId, all: bool) -> Option<UsageAsk> {
        let now = clock::now();
        let clock = self.clock(now);
        let mut sources = self.sources.borrow_mut();
        let source = sources.entry(SourceKey { vm: vm.clone(), all }).or_default();
        if source.asked_at.is_some_and(|asked_at| now.since(asked_at) < source.pause) {
            return None;
        }
        source.asked_at = Some(now);
        source.data_centre = Some(data_centre.clone());
        Some(UsageAsk { incarnation: source.incarnation, after: source.after, clock, all })
    }

    fn answer(&self, ask: &UsageAsk, now: Time) -> UsageSums {
        let incarnation = self.me.incarnation.get();
        let after = if ask.incarnation == incarnation { ask.after } else { 0 };
        let collector = self.collector.borrow();
        let changes = match ask.all {
            true => self.sums.borrow().changes(after, MAX_SENT_SUMS),
            false => collector.sums().changes(after, MAX_SENT_SUMS),
        };
        let clocks = collector.samples(now).quantiles(now);
        UsageSums {
            incarnation,
            last: changes.last,
            has_more: changes.has_more,
            windows: encode(changes.totals),
            vms: clocks.vms,
            times_us: clocks.times.iter().map(|time| time.as_micros()).collect(),
            all: ask.all,
        }
    }

    /// Records sums, and returns what they add to decided windows.
    fn record_sums(&self, vm: &VmId, answer: UsageSums, now: Time) -> Late {
        let mut sources = self.sources.borrow_mut();
        let key = SourceKey { vm: vm.clone(), all: answer.all };
        let Some(source) = sources.get_mut(&key) else { return Late::default() };
        let Some(near) = source.data_centre.clone() else { return Late::default() };
        (source.incarnation, source.after) = (answer.incarnation, answer.last);
        let bytes = answer.encoded_len() as u64;
        source.pause = Duration::from_millis(bytes * 1_000 / ASK_BYTES_PER_SECOND);
        if !answer.has_more && !answer.all {
            source.heard = now;
            self.heard.borrow_mut().insert(near.clone(), now);
        }
        let times = answer.times_us.into_iter().map(TrueTime::from_micros).collect();
        source.clocks = Quantiles { vms: answer.vms, times };
        let mut sums = self.sums.borrow_mut();
        let mut late: IndexMap<WindowId, u64> = IndexMap::new();
        for total in decode(&answer.windows) {
            let gained = sums.raise(total.window, &total.key, total.count);
            if gained > 0 && self.decided.get().is_some_and(|decided| total.window <= decided) {
                *late.entry(total.window).or_default() += gained;
            }
        }
        let is_tolerated = |(window, gained): (&WindowId, &u64)| {
            let total: u64 = sums.window(*window).map(|(_, count)| count).sum();
            gained * 1_000 <= u64::from(self.settings.tolerance) * total
        };
        Late { operations: late.values().sum(), is_tolerated: late.iter().all(is_tolerated) }
    }
}

/// Groups totals by window and book.
fn encode(totals: Vec<Change<BookAccount>>) -> Vec<UsageWindow> {
    let mut windows: IndexMap<(WindowId, Book), UsageWindow> = IndexMap::new();
    for Change { window, key, count } in totals {
        let entry = windows.entry((window, key.book)).or_insert_with(|| UsageWindow {
            window: window.get(),
            book: key.book.get(),
            ..UsageWindow::default()
        });
        entry.accounts.push(key.account.to_string());
        entry.counts.push(count);
    }
    windows.into_values().collect()
}

/// Returns the totals of a message. Names that are not valid are left out.
fn decode(windows: &[UsageWindow]) -> Vec<Change<BookAccount>> {
    let mut totals = Vec::new();
    for window in windows {
        let book = Book::new(window.book);
        for (account, count) in window.accounts.iter().zip(&window.counts) {
            let Ok(account) = AccountId::new(account) else { continue };
            let key = BookAccount { book, account };
            totals.push(Change { window: WindowId::new(window.window), key, count: *count });
        }
    }
    totals
}
