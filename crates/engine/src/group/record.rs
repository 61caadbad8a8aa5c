//! Metrics and log lines about the placement of reads.

use std::time::Duration;

use chicoryhollow_core::{outlier::Verdict, spill::Change};
use slog::o;

use super::{Group, Placed};
use crate::{
    engine::Engine,
    log::Event,
    seam::{Directory, ServerProtocol},
};

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Counts where a read goes first, and logs what is newly believed of the servers.
    pub(crate) fn record_placement(&self, group: &Group, placed: &Placed) {
        if let Some(choice) = placed.choices.first() {
            let entry = group.servers.get(&choice.server);
            let near = entry.is_some_and(|entry| entry.data_centre == self.settings.data_centre);
            let kind = if choice.primary { "primary" } else { "replica" };
            let place = if near { "near" } else { "far" };
            self.metrics.placed_reads.with_label_values(&[kind, place]).inc();
        }
        placed.changes.iter().for_each(|change| self.record_leaving(group, change));
        placed.verdicts.iter().for_each(|verdict| self.record_verdict(group, verdict));
    }

    fn record_leaving(&self, group: &Group, change: &Change) {
        let event = if change.begins { Event::ReadsLeave } else { Event::ReadsReturn };
        self.event_log.record(
            event,
            o!(
                "group" => group.view.group.to_string(),
                "data_centre" => change.to.to_string(),
                "near_ms" => millis(change.near.completion),
                "near_queueing_ms" => millis(change.near.queueing),
                "far_ms" => millis(change.far.completion),
                "far_queueing_ms" => millis(change.far.queueing),
                "far_weight" => change.far.weight,
                "answer_bytes" => group.spill.answer_bytes() as u64,
            ),
        );
    }

    fn record_verdict(&self, group: &Group, verdict: &Verdict) {
        let (event, reason) = match verdict.reason {
            Some(reason) => (Event::ServerEjected, reason.to_string()),
            None => (Event::ServerReadmitted, "-".to_owned()),
        };
        if let Some(reason) = verdict.reason {
            self.metrics.ejections.with_label_values(&[&reason.to_string()]).inc();
        }
        self.event_log.record(
            event,
            o!(
                "group" => group.view.group.to_string(),
                "server" => verdict.server.to_string(),
                "reason" => reason,
                "failures_permille" => verdict.outlook.failures.get(),
                "service_ms" => millis(verdict.outlook.service),
                "median_ms" => millis(verdict.median),
                "weight" => verdict.outlook.weight,
            ),
        );
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
