//! Metrics and events of servers that get more requests than they can run.

use std::{mem, time::Duration};

use chicoryhollow_core::{ServerId, Time, admission::Activity};
use indexmap::IndexMap;
use slog::o;

use crate::{
    clock,
    engine::Engine,
    log::Event,
    seam::{Directory, ServerProtocol},
};

/// Number of reports without a rejection after which a server counts as no longer overloaded.
const CALM_REPORTS: u32 = 8;

/// Minimum time between two log lines about denied retries.
const DENIED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What was last reported.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    /// Servers that are overloaded, with the number of reports since the last rejection.
    overloaded: IndexMap<ServerId, u32>,
    /// Retries that the budget denied and that were not logged yet.
    denied: u64,
    /// When the last ones were logged.
    denied_logged: Time,
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Records a retry that the budget denied.
    pub(crate) fn record_denied_retry(&self) {
        self.metrics.rejections.with_label_values(&["-", "retry_budget"]).inc();
        self.load_reports.borrow_mut().denied += 1;
    }

    /// Updates the metrics of admission, and logs which servers became or are no longer
    /// overloaded.
    pub(crate) fn report_load(&self) {
        if !self.settings.load_aware {
            return;
        }
        let mut total: IndexMap<String, Activity> = IndexMap::new();
        for pool in self.pools() {
            let mut rejected = 0;
            for (priority, activity) in pool.take_activity() {
                rejected += activity.refused + activity.expired;
                add(total.entry(priority.to_string()).or_default(), activity);
            }
            self.report_overload(&pool.server(), rejected);
        }
        for (priority, activity) in total {
            let label = [priority.as_str()];
            self.metrics.waiting.with_label_values(&label).set(activity.waiting.into());
            self.metrics.running.with_label_values(&label).set(activity.running.into());
            let rejected = [("no_time", activity.refused), ("expired", activity.expired)];
            for (reason, count) in rejected {
                self.metrics.rejections.with_label_values(&[&priority, reason]).inc_by(count);
            }
        }
        self.report_denied_retries();
    }

    fn report_overload(&self, server: &ServerId, rejected: u64) {
        let mut reports = self.load_reports.borrow_mut();
        let known = reports.overloaded.get(server).copied();
        let event = match (known, rejected) {
            (None, 0) => return,
            (None, _) => Some(Event::ServerOverloaded),
            (Some(calm), 0) if calm + 1 >= CALM_REPORTS => Some(Event::ServerRelieved),
            (Some(_), _) => None,
        };
        if event == Some(Event::ServerRelieved) {
            reports.overloaded.swap_remove(server);
        } else {
            let calm = if rejected > 0 { 0 } else { known.unwrap_or_default() + 1 };
            reports.overloaded.insert(server.clone(), calm);
        }
        if let Some(event) = event {
            let fields = o!("server" => server.to_string(), "rejected" => rejected);
            self.event_log.record(event, fields);
        }
    }

    fn report_denied_retries(&self) {
        let now = clock::now();
        let mut reports = self.load_reports.borrow_mut();
        if reports.denied == 0 || now.since(reports.denied_logged) < DENIED_LOG_INTERVAL {
            return;
        }
        reports.denied_logged = now;
        let denied = mem::take(&mut reports.denied);
        self.event_log.record(Event::RetriesDenied, o!("retries" => denied));
    }
}

fn add(total: &mut Activity, activity: Activity) {
    total.waiting += activity.waiting;
    total.running += activity.running;
    total.refused += activity.refused;
    total.expired += activity.expired;
}
