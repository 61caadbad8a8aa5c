//! The VM that decides on usage reports and sends them: the failover coordinator.

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::{
    Time,
    usage::{DecidedWindow, Ledger, Offset, Restore, Step, Tenure, WindowId},
};
use slog::o;
use tokio::{
    sync::oneshot::{self, error::TryRecvError},
    time::sleep,
};

use super::{
    Usage,
    rows::{LedgerRows, RowError},
};
use crate::{
    clock,
    coordinator::Coordinator,
    engine::Engine,
    log::Event,
    seam::{Directory, DirectoryError, ServerProtocol, UsageOutcome, UsageReport},
};

/// Interval at which the VM checks whether something is to be decided or sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a call that failed; it doubles with each further one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after a call that failed.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(2_400);

/// Time after the end of a window in which VMs send their last counts of it.
const SETTLE_SPAN: Duration = Duration::from_millis(1_500);

/// Time for which the sums of a silent data centre are waited for.
const MAX_SILENCE: Duration = Duration::from_secs(30);

/// How far the clocks of two VMs may differ in what they take for true time.
const CLOCK_MARGIN: Duration = Duration::from_millis(1_000);

/// Time after which another VM may have the role, once this one was last seen to hold it.
const TAKEOVER_SPAN: Duration = Duration::from_millis(300);

/// A call in progress, whose result is awaited.
struct Call {
    window: WindowId,
    result: oneshot::Receiver<Result<UsageOutcome, DirectoryError>>,
}

struct Reporter<S: ServerProtocol, D: Directory> {
    engine: Rc<Engine<S, D>>,
    coordinator: Rc<Coordinator>,
    ledger: Ledger,
    rows: LedgerRows,
    tenure: Tenure,
    /// When the decisions were last read.
    read_at: Option<Time>,
    call: Option<Call>,
    /// From when on the next call to the directory is made, after one that failed.
    retry_at: Time,
    retry_pause: Duration,
    /// From when on the next report is sent, after one that failed.
    send_at: Time,
    send_pause: Duration,
    /// Why the reports are delayed, if they are.
    delay: Option<&'static str>,
}

/// Decides on reports and sends them whenever this VM is the coordinator, until dropped.
pub(super) async fn run<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    coordinator: Rc<Coordinator>,
) {
    let Some(settings) = engine.settings.usage else { return };
    let mut reporter = Reporter {
        ledger: Ledger::new(settings.schedule),
        rows: LedgerRows::default(),
        tenure: Tenure::new(engine.started, settings.lease),
        read_at: None,
        call: None,
        retry_at: Time::default(),
        retry_pause: MIN_RETRY_PAUSE,
        send_at: Time::default(),
        send_pause: MIN_RETRY_PAUSE,
        delay: None,
        engine: Rc::clone(&engine),
        coordinator,
    };
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(usage) = &engine.usage else { return };
        reporter.advance(usage).await;
    }
}

impl<S: ServerProtocol, D: Directory> Reporter<S, D> {
    async fn advance(&mut self, usage: &Usage) {
        let now = clock::now();
        let holds = self.coordinator.token().is_some();
        usage.decides.set(holds);
        self.finish_call(now);
        if self.tenure.update(holds, now) || !holds {
            // Another VM may have decided since.
            self.ledger.forget();
        }
        let Some(offset) = usage.offset(now) else { return };
        self.show_overdue(usage, offset, now);
        if !holds || now < self.retry_at {
            return;
        }
        let first = self.first_window(usage, offset);
        match self.ledger.next_step(first, offset.convert(now)) {
            Step::Read => self.read(usage, offset).await,
            Step::Decide(window) if self.is_complete(usage, window, offset, now) => {
                self.decide(usage, window, now).await;
            }
            _ => {}
        }
        self.send(clock::now());
    }

    /// Returns the window with which the reports of a fleet begin.
    fn first_window(&self, usage: &Usage, offset: Offset) -> WindowId {
        let started = usage.settings.schedule.window_at(offset.convert(self.engine.started));
        usage.sums.borrow().first_window().map_or(started, |first| first.min(started))
    }

    /// Returns whether the sums of all data centres that can be reached contain the window.
    fn is_complete(&mut self, usage: &Usage, window: WindowId, offset: Offset, now: Time) -> bool {
        let end = usage.settings.schedule.end(window);
        let is_missing = |data_centre: &_| {
            let collects = usage.recipients.borrow().contains_key(&usage.me.vm);
            if *data_centre == usage.data_centre && collects {
                return false;
            }
            let heard = usage.heard.borrow().get(data_centre).copied().unwrap_or_default();
            let since = self.tenure.since().unwrap_or_default();
            let has_settled = offset.convert(heard - SETTLE_SPAN) >= end;
            !has_settled && now.since(heard.max(since)) < MAX_SILENCE
        };
        let missing = self.engine.fleet.collectors().into_keys().find(is_missing);
        let is_complete = missing.is_none();
        if let Some(data_centre) = missing {
            self.record_delay(Some("data_centre_silent"), window, data_centre.as_str());
        }
        is_complete
    }

    async fn read(&mut self, usage: &Usage, offset: Offset) {
        let asked = clock::now();
        let read = match self.rows.read(&self.engine).await {
            Ok(read) => read,
            Err(error) => return self.record_failure("row_unread", &error),
        };
        let known = self.ledger.through();
        match read.present {
            Some((row, version)) => self.ledger.record_row(row, version),
            None => {
                let learnt = self.engine.era_known_at();
                let restore = Restore {
                    learnt: offset.convert(learnt + CLOCK_MARGIN),
                    knows_all: self.tenure.held_until(learnt - TAKEOVER_SPAN, self.read_at),
                };
                self.ledger.record_missing(read.era, read.earlier, restore);
                let through = self.ledger.through();
                if through > known && !restore.knows_all {
                    self.record_skipped(known, through);
                }
            }
        }
        self.read_at = Some(asked);
        self.retry_pause = MIN_RETRY_PAUSE;
        usage.record_decided(self.ledger.through());
    }

    async fn decide(&mut self, usage: &Usage, window: WindowId, now: Time) {
        let Some(expected) = self.ledger.version() else { return };
        let counts = usage.sums.borrow().accounts(window);
        let operations: u64 = counts.values().sum();
        let accounts = counts.len();
        let known = self.ledger.through();
        let row = self.ledger.decide(DecidedWindow { window, counts });
        match self.rows.write(&self.engine, &row, expected).await {
            Ok(version) => {
                self.ledger.record_written(row, version);
                usage.record_decided(Some(window));
                self.retry_pause = MIN_RETRY_PAUSE;
                let took = clock::now().since(now).as_millis() as u64;
                let metrics = &self.engine.metrics;
                metrics.usage_windows.with_label_values(&["decided"]).inc();
                metrics.decided_usage.inc_by(operations);
                self.engine.event_log.record(
                    Event::UsageDecided,
                    o!("window" => window.get(), "accounts" => accounts,
                        "operations" => operations, "took_ms" => took),
                );
                if known.is_some_and(|known| known.next() < window) {
                    self.record_skipped(known, Some(window.earlier_by(1)));
                }
            }
            // The row has room again when reports were accepted.
            Err(RowError::Full) => self.record_delay(Some("row_full"), window, ""),
            Err(error) => {
                // The write may have been executed, or another VM may have decided.
                self.ledger.forget();
                self.record_failure("row_unwritten", &error);
            }
        }
    }

    /// Sends the earliest report that is not known to be accepted.
    fn send(&mut self, now: Time) {
        if self.call.is_some() || now < self.send_at || !self.tenure.may_report(now) {
            return;
        }
        let Some(decided) = self.ledger.open().first().cloned() else { return };
        if self.ledger.version().is_none() {
            return;
        }
        let Some(token) = self.coordinator.order_token() else { return };
        let window = decided.window;
        let holder = self.engine.settings.vm.clone();
        let report = UsageReport { decided, holder, token };
        let (sender, result) = oneshot::channel();
        self.call = Some(Call { window, result });
        let directory = self.engine.directory.clone();
        actix::spawn(async move {
            let answer = directory.report_usage(&report).await;
            // The daemon ends if nobody waits for the answer.
            let _ = sender.send(answer);
        });
    }

    /// Handles the answer to the call in progress, if it has arrived.
    fn finish_call(&mut self, now: Time) {
        let Some(call) = &mut self.call else { return };
        let window = call.window;
        let answer = match call.result.try_recv() {
            Err(TryRecvError::Empty) => return,
            Err(TryRecvError::Closed) => Err(DirectoryError::Unanswered),
            Ok(answer) => answer,
        };
        self.call = None;
        let reason = match answer {
            Ok(UsageOutcome::Accepted) => {
                self.ledger.record_reported(window);
                self.send_pause = MIN_RETRY_PAUSE;
                self.record_delay(None, window, "");
                self.engine.metrics.usage_windows.with_label_values(&["reported"]).inc();
                self.engine.event_log.record(Event::UsageReported, o!("window" => window.get()));
                return;
            }
            Ok(UsageOutcome::Refused) => {
                // Another holder may have decided and reported.
                self.ledger.forget();
                "refused"
            }
            Err(DirectoryError::TurnedAway) => "turned_away",
            Err(DirectoryError::Unanswered) => "unanswered",
        };
        self.send_at = now + self.send_pause;
        self.send_pause = (self.send_pause * 2).min(MAX_RETRY_PAUSE);
        self.record_delay(Some(reason), window, "");
    }

    fn record_failure(&mut self, reason: &'static str, error: &RowError) {
        self.retry_at = clock::now() + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
        let window = self.ledger.through().unwrap_or_default().next();
        self.record_delay(Some(reason), window, &error.to_string());
    }

    /// Logs why a report is delayed, once for each reason.
    fn record_delay(&mut self, reason: Option<&'static str>, window: WindowId, detail: &str) {
        if reason.is_some() && reason != self.delay {
            self.engine.event_log.record(
                Event::UsageDelayed,
                o!("window" => window.get(), "reason" => reason, "detail" => detail.to_owned()),
            );
        }
        self.delay = reason;
    }

    fn record_skipped(&self, after: Option<WindowId>, through: Option<WindowId>) {
        let (from, to) = (after.map(WindowId::next), through);
        let count = to.zip(from).map_or(1, |(to, from)| to.get().saturating_sub(from.get()) + 1);
        self.engine.metrics.usage_windows.with_label_values(&["skipped"]).inc_by(count);
        self.engine.event_log.record(
            Event::UsageSkipped,
            o!("from" => from.map(WindowId::get), "to" => to.map(WindowId::get)),
        );
    }

    /// Sets the number of overdue windows, which only the reporting VM knows.
    fn show_overdue(&self, usage: &Usage, offset: Offset, now: Time) {
        let (schedule, now) = (usage.settings.schedule, offset.convert(now));
        let Some(through) = self.ledger.through().filter(|_| usage.decides.get()) else {
            return self.engine.metrics.overdue_usage.set(0);
        };
        let open = self.ledger.open().iter().filter(|open| schedule.due(open.window) <= now);
        let mut overdue = open.count() as i64;
        let mut next = through.next();
        while schedule.due(next) <= now && overdue < MAX_SHOWN_OVERDUE {
            (overdue, next) = (overdue + 1, next.next());
        }
        self.engine.metrics.overdue_usage.set(overdue);
    }
}

/// Greatest number of overdue windows that is shown.
const MAX_SHOWN_OVERDUE: i64 = 1_000;
