//! The daemon's metrics, in the Prometheus text format.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, core::Collector, exponential_buckets,
};

/// All metrics of the engine.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Refused requests, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Retried requests, by reason.
    pub(crate) retries: IntCounterVec,
    /// Requests that were read whole and got no whole answer, by reason.
    pub(crate) unanswered: IntCounterVec,
    /// Seconds from a statement's arrival to its answer, by kind of statement.
    pub(crate) latency: HistogramVec,
    /// Seconds that a statement waited for a connection.
    pub(crate) waits: Histogram,
    /// Requests that wait at this home, by priority.
    pub(crate) waiting: IntGaugeVec,
    /// Statements that hold a slot at this home, by priority.
    pub(crate) running: IntGaugeVec,
    /// Requests that this home or this VM's budget of retries rejected, by priority and reason.
    pub(crate) rejections: IntCounterVec,
    /// Connections opened to backend servers.
    pub(crate) connects: IntCounter,
    /// Connected callers.
    pub(crate) callers: IntGauge,
    /// Version of the active configuration.
    pub(crate) version: IntGauge,
    /// Ordered promotions, by cause.
    pub(crate) promotions: IntCounterVec,
    /// Promotion orders in the coordinator's row that may still be carried out, on its holder.
    pub(crate) open_orders: IntGauge,
    /// Promotion orders that were not sent, because the coordinator's row was not written.
    pub(crate) unsent_orders: IntCounter,
    /// Requests to lift a fence that has outlived its failover.
    pub(crate) lifted_fences: IntCounter,
    /// Acknowledged commits that the logs of new primaries lacked, as far as this VM saw.
    pub(crate) missing_commits: IntCounter,
    /// Commits that a primary acknowledged, by what showed whether they survive a failover.
    pub(crate) evidence: IntCounterVec,
    /// Windows of usage reports that this VM handled, by step: `decided`, `reported` or
    /// `skipped`.
    pub(crate) usage_windows: IntCounterVec,
    /// Windows whose reports are overdue, on the VM that reports.
    pub(crate) overdue_usage: IntGauge,
    /// Operations in the reports that this VM decided on.
    pub(crate) decided_usage: IntCounter,
    /// Operations whose counts arrived after the decision on their window.
    pub(crate) late_usage: IntCounter,
    /// Reads placed by reported load, by the kind of the first server and its place as seen
    /// from this VM.
    pub(crate) placed_reads: IntCounterVec,
    /// Replicas that were ejected, by reason.
    pub(crate) ejections: IntCounterVec,
    /// Reports on the load of servers received from homes.
    pub(crate) server_reports: IntCounter,
    /// Callers and unknown clients that exceeded a limit, by reason.
    pub(crate) limits: IntCounterVec,
    /// Messages of callers that were not read until there was room.
    pub(crate) message_waits: IntCounter,
    /// Bytes that are held for callers.
    pub(crate) held_bytes: IntGauge,
    /// Log lines dropped for exceeding their budget.
    pub(crate) dropped_lines: IntCounter,
    /// Links to other VMs.
    pub(crate) peers: IntGauge,
    /// Messages sent to other VMs, by kind, and by whether the VM is in the same data
    /// centre (`near`) or in another one (`far`).
    pub(crate) peer_messages: IntCounterVec,
    /// Bytes of these messages, without the headers of the network.
    pub(crate) peer_bytes: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a programming error.
    pub fn new() -> Self {
        let registry = Registry::new();
        Metrics {
            refusals: counters(&registry, "refusals_total", "Statements refused.", "reason"),
            retries: counters(&registry, "retries_total", "Statements tried again.", "reason"),
            unanswered: counters(
                &registry,
                "unanswered_total",
                "Requests that ended without a whole answer.",
                "reason",
            ),
            latency: latencies(&registry),
            waits: waits(&registry),
            waiting: gauges(&registry, "admission_waiting", "Waiting requests.", "priority"),
            running: gauges(&registry, "admission_running", "Running statements.", "priority"),
            rejections: labelled_counters(
                &registry,
                "admission_rejections_total",
                "Requests rejected because of load.",
                &["priority", "reason"],
            ),
            connects: counter(&registry, "connects_total", "Connections opened to servers."),
            callers: gauge(&registry, "callers", "Connected callers."),
            version: gauge(&registry, "configuration_version", "Configuration in force."),
            promotions: counters(&registry, "promotions_total", "Promotions ordered.", "cause"),
            open_orders: gauge(&registry, "open_orders", "Open promotion orders."),
            unsent_orders: counter(&registry, "unsent_orders_total", "Orders not sent."),
            lifted_fences: counter(&registry, "lifted_fences_total", "Fences lifted."),
            missing_commits: counter(&registry, "missing_commits_total", "Commits found lost."),
            evidence: counters(&registry, "commits_total", "Commits acknowledged.", "evidence"),
            usage_windows: counters(&registry, "usage_windows_total", "Usage windows.", "step"),
            overdue_usage: gauge(&registry, "usage_overdue_windows", "Overdue usage windows."),
            decided_usage: counter(&registry, "usage_operations_total", "Operations reported."),
            late_usage: counter(&registry, "usage_late_operations_total", "Counts too late."),
            placed_reads: labelled_counters(
                &registry,
                "placed_reads_total",
                "Reads placed by load.",
                &["kind", "place"],
            ),
            ejections: counters(&registry, "ejections_total", "Servers ejected.", "reason"),
            server_reports: counter(&registry, "server_reports_total", "Load reports received."),
            limits: counters(&registry, "limits_total", "Limits exceeded.", "reason"),
            message_waits: counter(&registry, "message_waits_total", "Messages read later."),
            held_bytes: gauge(&registry, "held_bytes", "Bytes held for callers."),
            dropped_lines: counter(&registry, "dropped_lines_total", "Log lines dropped."),
            peers: gauge(&registry, "peers", "Connected VMs."),
            peer_messages: peer_counters(&registry, "peer_messages_total", "Messages to VMs."),
            peer_bytes: peer_counters(&registry, "peer_bytes_total", "Bytes sent to VMs."),
            registry,
        }
    }

    /// Returns the messages and bytes sent to other VMs, as `KIND/PLACE=MESSAGES/BYTES`.
    pub(crate) fn peer_traffic(&self) -> String {
        let families = self.peer_messages.collect();
        let rows = families.iter().flat_map(|family| family.get_metric());
        let describe = |row: &prometheus::proto::Metric| {
            let labels: Vec<&str> = row.get_label().iter().map(|label| label.value()).collect();
            let messages = row.get_counter().get_value();
            let bytes = self.peer_bytes.with_label_values(&labels).get();
            format!("{}={messages}/{bytes}", labels.join("/"))
        };
        rows.map(describe).collect::<Vec<_>>().join(" ")
    }

    /// Returns all metrics in the Prometheus text format; empty if they cannot
    /// be encoded.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

fn name(name: &str) -> String {
    format!("chicoryhollow_{name}")
}

fn peer_counters(registry: &Registry, id: &str, help: &str) -> IntCounterVec {
    labelled_counters(registry, id, help, &["kind", "place"])
}

fn counters(registry: &Registry, id: &str, help: &str, label: &str) -> IntCounterVec {
    labelled_counters(registry, id, help, &[label])
}

fn labelled_counters(registry: &Registry, id: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let family =
        IntCounterVec::new(Opts::new(name(id), help), labels).expect("metric names are valid");
    registry.register(Box::new(family.clone())).expect("metric names are unique");
    family
}

fn gauges(registry: &Registry, id: &str, help: &str, label: &str) -> IntGaugeVec {
    let family =
        IntGaugeVec::new(Opts::new(name(id), help), &[label]).expect("metric names are valid");
    registry.register(Box::new(family.clone())).expect("metric names are unique");
    family
}

fn counter(registry: &Registry, id: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name(id), help).expect("metric names are valid");
    registry.register(Box::new(counter.clone())).expect("metric names are unique");
    counter
}

fn gauge(registry: &Registry, id: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name(id), help).expect("metric names are valid");
    registry.register(Box::new(gauge.clone())).expect("metric names are unique");
    gauge
}

/// Returns the bounds of the histogram buckets in seconds, from 1 ms to 8 s.
fn buckets() -> Vec<f64> {
    exponential_buckets(0.001, 2.0, 14).expect("the bounds are valid")
}

fn latencies(registry: &Registry) -> HistogramVec {
    let opts = HistogramOpts::new(name("statement_seconds"), "Time to answer a statement.");
    let family =
        HistogramVec::new(opts.buckets(buckets()), &["kind"]).expect("metric names are valid");
    registry.register(Box::new(family.clone())).expect("metric names are unique");
    family
}

fn waits(registry: &Registry) -> Histogram {
    let opts = HistogramOpts::new(name("connection_wait_seconds"), "Wait for a connection.");
    let histogram = Histogram::with_opts(opts.buckets(buckets())).expect("metric names are valid");
    registry.register(Box::new(histogram.clone())).expect("metric names are unique");
    histogram
}
