//! The daemon's counters, in the text format of Prometheus.

use domain::ErrorKind;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// All counters.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) answers: IntCounter,
    pub(crate) errors: IntCounterVec,
    pub(crate) attempts: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) replays: IntCounter,
    pub(crate) cut_answers: IntCounter,
    pub(crate) claim_batches: IntCounter,
    pub(crate) claims: IntCounter,
    pub(crate) platform_failures: IntCounter,
    pub(crate) peer_failures: IntCounter,
    pub(crate) pauses: IntCounter,
    pub(crate) in_flight: IntGauge,
    pub(crate) waiting: IntGauge,
    pub(crate) epoch: IntGauge,
    pub(crate) fleet_seq: IntGauge,
    pub(crate) inbound: inbound::Metrics,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("trefoilpass_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("trefoilpass_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let by_label = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(format!("trefoilpass_{name}"), help);
            let counters = IntCounterVec::new(opts, &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        Ok(Self {
            requests: by_label("requests_total", "Requests taken, by service.", "service")?,
            answers: counter("answers_total", "Answers of targets begun.")?,
            errors: by_label(
                "errors_total",
                "Requests refused or given up on, by kind.",
                "kind",
            )?,
            attempts: counter("attempts_total", "Attempts sent to targets.")?,
            retries: counter("retries_total", "Attempts after the first.")?,
            replays: counter(
                "replays_total",
                "Answers given from an earlier request with the key.",
            )?,
            cut_answers: counter(
                "cut_answers_total",
                "Answers that broke after they had begun.",
            )?,
            claim_batches: counter("claim_batches_total", "Transactions that carried claims.")?,
            claims: counter("claims_total", "Claims carried by transactions.")?,
            platform_failures: counter(
                "platform_failures_total",
                "Calls to the platform that failed.",
            )?,
            peer_failures: counter("peer_failures_total", "Exchanges with peers that failed.")?,
            pauses: counter(
                "pauses_total",
                "Times that the process was found to have been paused.",
            )?,
            in_flight: gauge(
                "in_flight_requests",
                "Requests taken and not yet answered in full.",
            )?,
            waiting: gauge("waiting_requests", "Requests that wait for a target.")?,
            epoch: gauge("config_epoch", "The configuration in force.")?,
            fleet_seq: gauge("fleet_seq", "The last change to the VM records in force.")?,
            inbound: inbound::Metrics::new(&registry)?,
            registry,
        })
    }

    pub(crate) fn count_error(&self, kind: ErrorKind) {
        self.errors.with_label_values(&[kind.name()]).inc();
    }

    /// All counters as text.
    pub(crate) fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
