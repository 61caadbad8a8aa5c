//! Metrics of the daemon for Prometheus.

use chicoryhollow_core::Refusal;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

/// Counters and gauges of the daemon.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Retries of requests, by reason.
    pub retries: IntCounterVec,
    /// Statement batches answered, by kind of server: `primary` or `replica`.
    pub batches: IntCounterVec,
    /// Statement batches that only read, by kind of server.
    pub reads: IntCounterVec,
    /// Streams opened to homes, by place: `local` or `remote`.
    pub streams: IntCounterVec,
    /// Statements that wait for a slot at this home, by backend server.
    pub waiting: IntGaugeVec,
    /// Statements that have a slot at this home, by backend server.
    pub running: IntGaugeVec,
    /// Pooled connections of this home, by backend server.
    pub connections: IntGaugeVec,
    /// Connected callers.
    pub callers: IntGauge,
    /// Version of the current configuration.
    pub configuration_version: IntGauge,
    /// Seconds since the current configuration was last known to be the newest.
    pub configuration_age: IntGauge,
    /// Promotions that this VM completed, by kind: `failover` or `planned`.
    pub promotions: IntCounterVec,
    /// Status requests and commands sent to backend servers of watched groups.
    pub heartbeats: IntCounter,
    /// Groups that this VM watches.
    pub watched_groups: IntGauge,
    /// Bytes of control traffic, by channel: `peers`, `backend` or `platform`.
    pub control_bytes: IntCounterVec,
    /// Callers that were disconnected for exceeding a limit, by reason.
    pub limits: IntCounterVec,
    /// Malformed messages that closed a connection.
    pub malformed_messages: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a programming error.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Metrics {
            refusals: counter_family(&registry, "refusals_total", "Requests refused.", "reason"),
            retries: counter_family(&registry, "retries_total", "Requests tried again.", "reason"),
            batches: counter_family(
                &registry,
                "batches_total",
                "Statement batches answered.",
                "server",
            ),
            reads: counter_family(
                &registry,
                "reads_total",
                "Read-only batches answered.",
                "server",
            ),
            streams: counter_family(
                &registry,
                "streams_total",
                "Streams opened to homes.",
                "place",
            ),
            waiting: gauge_family(
                &registry,
                "statements_waiting",
                "Statements that wait at homes.",
            ),
            running: gauge_family(&registry, "statements_running", "Statements that hold slots."),
            connections: gauge_family(&registry, "backend_connections", "Connections of homes."),
            callers: gauge(&registry, "callers", "Connected callers."),
            configuration_version: gauge(
                &registry,
                "configuration_version",
                "Configuration in force.",
            ),
            configuration_age: gauge(
                &registry,
                "configuration_age_seconds",
                "Time since the configuration was known to be the newest.",
            ),
            promotions: counter_family(
                &registry,
                "promotions_total",
                "Primaries promoted.",
                "kind",
            ),
            heartbeats: counter(&registry, "heartbeats_total", "Calls to watched servers."),
            watched_groups: gauge(&registry, "watched_groups", "Groups that this VM watches."),
            control_bytes: counter_family(
                &registry,
                "control_bytes_total",
                "Bytes of control traffic.",
                "channel",
            ),
            limits: counter_family(&registry, "limits_total", "Limits exceeded.", "reason"),
            malformed_messages: counter(&registry, "malformed_total", "Malformed messages."),
            registry,
        };
        for refusal in Refusal::ALL {
            metrics.refusals.with_label_values(&[refusal.row().label]);
        }
        metrics
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, refusal: Refusal) {
        self.refusals.with_label_values(&[refusal.row().label]).inc();
    }

    /// Removes the gauges of a backend server that is no longer configured.
    pub fn remove_server(&self, server: &str) {
        for gauges in [&self.waiting, &self.running, &self.connections] {
            // Removing a gauge that was never set fails, which is harmless.
            drop(gauges.remove_label_values(&[server]));
        }
    }

    /// Encodes all metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

fn counter_family(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let opts = Opts::new(format!("chicoryhollow_{name}"), help);
    let family = IntCounterVec::new(opts, &[label]).expect("metric names are valid");
    registry.register(Box::new(family.clone())).expect("metric names are unique");
    family
}

fn gauge_family(registry: &Registry, name: &str, help: &str) -> IntGaugeVec {
    let opts = Opts::new(format!("chicoryhollow_{name}"), help);
    let gauges = IntGaugeVec::new(opts, &["server"]).expect("metric names are valid");
    registry.register(Box::new(gauges.clone())).expect("metric names are unique");
    gauges
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge =
        IntGauge::new(format!("chicoryhollow_{name}"), help).expect("metric names are valid");
    registry.register(Box::new(gauge.clone())).expect("metric names are unique");
    gauge
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter =
        IntCounter::new(format!("chicoryhollow_{name}"), help).expect("metric names are valid");
    registry.register(Box::new(counter.clone())).expect("metric names are unique");
    counter
}
