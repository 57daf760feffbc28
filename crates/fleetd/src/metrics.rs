//! Counters and latency histograms, in the text format of Prometheus.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds; up to the longest time a caller waits.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0];

/// All counters of a daemon.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) answers: IntCounterVec,
    pub(crate) answer_s: Histogram,
    pub(crate) commits: IntCounterVec,
    pub(crate) commit_s: Histogram,
    pub(crate) orders: IntCounterVec,
    pub(crate) ends: IntCounterVec,
    pub(crate) takeovers: IntCounter,
    pub(crate) store_failures: IntCounter,
    pub(crate) dropped_log_lines: IntCounter,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("trefoilpass_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let labelled = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(format!("trefoilpass_{name}"), help);
            let counters = IntCounterVec::new(opts, labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(format!("trefoilpass_{name}"), help);
            let histogram = Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec()))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Self {
            answers: labelled("answers_total", "Answers to callers.", &["call", "status"])?,
            answer_s: histogram("answer_seconds", "From a request's headers to its answer.")?,
            commits: labelled(
                "commits_total",
                "Transactions of pools, by outcome.",
                &["outcome"],
            )?,
            commit_s: histogram(
                "commit_seconds",
                "From a transaction's first try to its outcome.",
            )?,
            orders: labelled("orders_total", "Orders to workers.", &["order", "outcome"])?,
            ends: labelled("run_ends_total", "Runs that ended on workers.", &["end"])?,
            takeovers: counter("takeovers_total", "Units taken over.")?,
            store_failures: counter("store_failures_total", "Calls to the store that failed.")?,
            dropped_log_lines: counter("dropped_log_lines_total", "Log lines over the rate.")?,
            registry,
        })
    }

    /// All counters as text.
    pub(crate) fn text(&self) -> String {
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        // The encoder fails only for names that were refused at registration.
        text.unwrap_or_default()
    }
}
