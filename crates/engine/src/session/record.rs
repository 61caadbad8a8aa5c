//! Metrics and log lines of a session.

use std::time::Duration;

use chicoryhollow_core::Time;
use slog::o;

use super::Session;
use crate::{
    clock,
    log::Event,
    seam::{Directory, ServerProtocol},
    statement::{Access, Reply, Request, Statement},
};

/// Served statements of a session per log line.
const STATEMENTS_PER_LOG_LINE: u64 = 200;

impl<S: ServerProtocol, D: Directory> Session<S, D> {
    /// Counts a reply. Logs every refusal or fault and a sample of the served
    /// requests.
    pub(super) fn record_reply(&mut self, request: &Request, reply: &Reply, began: Time) {
        let took = clock::now().since(began);
        let reason = match reply {
            Reply::Served(_) => return self.record_served(request, took),
            Reply::Refused(refusal) => refusal.row().label,
            Reply::Fault(fault) => fault.kind.label(),
            Reply::Welcome | Reply::Local => return,
        };
        self.engine.metrics.refusals.with_label_values(&[reason]).inc();
        self.engine.metrics.latency.with_label_values(&["refused"]).observe(took.as_secs_f64());
        let catalog = self.engine.catalog();
        let group = catalog.routes.get(&self.hello.database).map(|route| route.group.clone());
        let account = catalog.keys.get(&self.hello.key);
        let now = clock::now();
        let (primary, term, position_age) = group.map_or(Default::default(), |name| {
            let group = self.engine.group(&name);
            let group = group.borrow();
            let primary = group.view.primary.as_ref().map(ToString::to_string);
            let latest =
                group.observed.latest().map(|latest| now.since(latest.asked).as_millis() as u64);
            (primary, group.view.term.get(), latest)
        });
        self.engine.event_log.record(
            Event::Refused,
            o!(
                "request" => request.id.clone(),
                "reason" => reason,
                "database" => self.hello.database.clone(),
                "account" => account.map(ToString::to_string),
                "rate" => account.and_then(|name| catalog.accounts.get(name)?.rate),
                "tokens" => account.map(|name| self.engine.admission.borrow().tokens(name)),
                "version" => catalog.version,
                "primary" => primary,
                "term" => term,
                "mark_age_ms" => position_age,
                "took_ms" => took.as_millis() as u64,
            ),
        );
    }

    /// Counts a served request and logs a sample of them.
    fn record_served(&mut self, request: &Request, took: Duration) {
        let kind = match &request.statement {
            Statement::Commit => "commit",
            Statement::Run(Access::Write) => "write",
            Statement::Execute { .. } => "execute",
            _ => "read",
        };
        self.engine.metrics.latency.with_label_values(&[kind]).observe(took.as_secs_f64());
        self.served += 1;
        if self.served.is_multiple_of(STATEMENTS_PER_LOG_LINE) {
            self.engine.event_log.record(
                Event::Served,
                o!("request" => request.id.clone(), "kind" => kind, "took_ms" => took.as_millis() as u64),
            );
        }
    }

    /// Logs why the proxy closes the session.
    pub(super) fn record_close(&self, reason: &'static str) {
        self.engine.event_log.record(
            Event::SessionClosed,
            o!("reason" => reason, "database" => self.hello.database.clone()),
        );
    }
}
