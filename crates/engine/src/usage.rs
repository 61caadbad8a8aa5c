//! Usage reports: counts the operations of each account and has the sums reported.
//!
//! `chicoryhollow_core::usage` counts, collects and decides. Every VM sends its counts to
//! collectors of its data centre, and the possible reporters ask the collectors for sums
//! ([`exchange`]). The holder of the failover coordinator's role decides on the reports and
//! sends them ([`report`]); the decisions are rows of the directory ([`rows`]).

mod exchange;
mod report;
mod rows;

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, DataCentreId, Incarnation, Time, VmId,
    usage::{
        Collector, Counter, MAX_WINDOWS, Offset, OffsetSamples, Quantiles, Sender, Sums, WindowId,
    },
};
use indexmap::{IndexMap, IndexSet};
use tokio::time::sleep;

use crate::{
    clock,
    coordinator::Coordinator,
    engine::Engine,
    fleet::Link,
    seam::{Directory, LinkError, ServerProtocol},
    settings::{Settings, UsageSettings},
    statement::{Answer, Command},
};

/// Age up to which the true time that another VM told is used.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(10);

/// Time after the start in which this VM's own time of day is not used, so that others can
/// tell the true time first.
const CLOCK_WAIT: Duration = Duration::from_secs(3);

/// Windows before the last decided one for which counts are kept, to notice counts that
/// arrive too late.
const KEPT_DECIDED_WINDOWS: u64 = 12;

/// Time for the last counts of a daemon that ends to be sent.
const FLUSH_SPAN: Duration = Duration::from_millis(50);

/// A VM to which this one sends its counts.
#[derive(Default)]
struct Recipient {
    link: Weak<Link>,
    /// Distinguishes the numbers of accounts from those on earlier links.
    numbering: u32,
    /// Accounts by the numbers under which the recipient knows them.
    names: IndexSet<AccountId>,
    /// Number of the last change that was sent.
    after: u64,
    sent_at: Option<Time>,
    /// Time until the next message.
    pause: Duration,
}

/// Accounts by the numbers that a sender gave them.
#[derive(Default)]
struct Numbered {
    numbering: u32,
    names: Vec<AccountId>,
}

/// Sums for which this VM asks another one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SourceKey {
    vm: VmId,
    /// Whether it also asks for those that the other VM has from other collectors.
    all: bool,
}

/// What this VM received from another one.
#[derive(Default)]
struct Source {
    incarnation: u64,
    /// Number of the last change that was received.
    after: u64,
    data_centre: Option<DataCentreId>,
    clocks: Quantiles,
    asked_at: Option<Time>,
    /// Time until the next request.
    pause: Duration,
    /// When the last answer that contained all changes arrived.
    heard: Time,
}

/// Counts of this VM, and what it collects from others.
pub(crate) struct Usage {
    settings: UsageSettings,
    started: Time,
    me: Sender,
    data_centre: DataCentreId,
    counter: RefCell<Counter>,
    collector: RefCell<Collector>,
    sums: RefCell<Sums>,
    recipients: RefCell<IndexMap<VmId, Recipient>>,
    sources: RefCell<IndexMap<SourceKey, Source>>,
    /// When all sums of each data centre were last received.
    heard: RefCell<IndexMap<DataCentreId, Time>>,
    /// True time that other VMs told, and when.
    told: RefCell<IndexMap<VmId, (Offset, Time)>>,
    /// Numbers of the accounts in the messages of each sender.
    numbered: RefCell<IndexMap<VmId, Numbered>>,
    /// When each sender was last told the true time.
    tells: RefCell<IndexMap<VmId, Time>>,
    /// Whether this VM asks for sums.
    asks: Cell<bool>,
    /// Whether this VM decides on the reports.
    decides: Cell<bool>,
    /// Last window that is known to be decided.
    decided: Cell<Option<WindowId>>,
}

impl Usage {
    /// Creates the state of a daemon that has counted nothing yet, if reports are enabled.
    pub(crate) fn new(settings: &Settings, now: Time) -> Option<Self> {
        let usage = settings.usage?;
        let incarnation = Incarnation::new(settings.incarnation);
        Some(Usage {
            settings: usage,
            started: now,
            me: Sender { vm: settings.vm.clone(), incarnation },
            data_centre: settings.data_centre.clone(),
            counter: RefCell::new(Counter::new(usage.schedule, &settings.vm)),
            collector: RefCell::default(),
            sums: RefCell::default(),
            recipients: RefCell::default(),
            sources: RefCell::default(),
            heard: RefCell::default(),
            told: RefCell::default(),
            numbered: RefCell::default(),
            tells: RefCell::default(),
            asks: Cell::new(false),
            decides: Cell::new(false),
            decided: Cell::new(None),
        })
    }

    /// Returns the difference between true time and this VM's clock, or `None` if it is not
    /// known yet.
    fn offset(&self, now: Time) -> Option<Offset> {
        let is_recent = |at: Time| now.since(at) <= MAX_CLOCK_AGE;
        let mut told = OffsetSamples::default();
        let recent = |(_, at): &&(Offset, Time)| is_recent(*at);
        self.told.borrow().values().filter(recent).for_each(|(offset, _)| told.add(*offset));
        let asked = if self.asks.get() { self.asked_clocks(now).median() } else { None };
        asked.or_else(|| told.median()).or_else(|| {
            let waits = now.since(self.started) < CLOCK_WAIT;
            if waits { None } else { self.collector.borrow().samples(now).median() }
        })
    }

    /// Returns the clocks of all data centres, as the best informed source of each tells them.
    fn asked_clocks(&self, now: Time) -> OffsetSamples {
        let sources = self.sources.borrow();
        let mut best: IndexMap<&DataCentreId, (Quantiles, Time)> = IndexMap::new();
        let recent = sources.values().filter(|source| now.since(source.heard) <= MAX_CLOCK_AGE);
        for source in recent {
            let Some(data_centre) = &source.data_centre else { continue };
            let known = best.get(data_centre).map_or(0, |(clocks, _)| clocks.vms);
            if source.clocks.vms > known {
                best.insert(data_centre, (source.clocks.clone(), source.heard));
            }
        }
        let mut samples = OffsetSamples::default();
        if best.is_empty() {
            return samples;
        }
        if !best.contains_key(&self.data_centre) {
            let own = self.collector.borrow().samples(now).quantiles(now);
            best.insert(&self.data_centre, (own, now));
        }
        best.values().for_each(|(clocks, at)| samples.add_quantiles(clocks, *at));
        samples
    }

    /// Converts to true time by what is known now, and forgets windows that are not needed.
    fn refresh(&self, now: Time) {
        let Some(offset) = self.offset(now) else { return };
        self.counter.borrow_mut().set_offset(offset);
        let present = self.settings.schedule.window_at(offset.convert(now));
        let decided = self.decided.get().map(|window| window.earlier_by(KEPT_DECIDED_WINDOWS));
        let first = decided.unwrap_or_default().max(present.earlier_by(MAX_WINDOWS));
        self.counter.borrow_mut().expire(first);
        self.collector.borrow_mut().expire(first, now);
        self.sums.borrow_mut().expire(first);
    }

    fn record_decided(&self, window: Option<WindowId>) {
        self.decided.set(self.decided.get().max(window));
    }
}

/// Records an operation when it is known whether a server began to run its first statement, or
/// when nobody waits for the answer any more.
pub(crate) struct Run<'a> {
    usage: Option<&'a Usage>,
    account: &'a AccountId,
    /// When the statement was sent to the server.
    sent: Time,
}

impl<'a> Run<'a> {
    /// Begins to observe a command for `account`.
    pub(crate) fn new<S: ServerProtocol, D: Directory>(
        engine: &'a Engine<S, D>,
        account: &'a AccountId,
        command: &Command,
    ) -> Self {
        let is_counted = matches!(command, Command::Pass { .. });
        let usage = engine.usage.as_ref().filter(|_| is_counted);
        Run { usage, account, sent: clock::now() }
    }

    /// Ends the observation with the answer of the server. An operation without an answer may
    /// have run, and is counted.
    pub(crate) fn end(mut self, answer: &Result<Answer, LinkError>) {
        let fault = answer.as_ref().ok().and_then(|answer| answer.result.as_ref().err());
        if fault.is_some_and(|fault| fault.kind.is_not_run()) {
            self.usage = None;
        }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if let Some(usage) = self.usage {
            usage.counter.borrow_mut().record(self.account, self.sent);
        }
    }
}

/// Counts, collects and reports until dropped, if reports are enabled.
pub(crate) async fn run<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    coordinator: Rc<Coordinator>,
) {
    if engine.usage.is_none() {
        return;
    }
    let exchanged = exchange::run(Rc::clone(&engine));
    let reported = report::run(engine, coordinator);
    futures_util::join!(exchanged, reported);
}

/// Sends the last counts of a daemon that is about to end, if reports are enabled.
pub(crate) async fn flush<S: ServerProtocol, D: Directory>(engine: &Engine<S, D>) {
    if let Some(usage) = &engine.usage {
        usage.recipients.borrow_mut().values_mut().for_each(|to| to.pause = Duration::ZERO);
        engine.send_counts(usage);
        sleep(FLUSH_SPAN).await;
    }
}
