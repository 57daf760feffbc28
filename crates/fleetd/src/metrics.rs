//! Counters and latency histograms, exported in the Prometheus text format.

use std::sync::Arc;

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use users_platform::{CallCosts, CallKind};

/// Upper bounds of the latency buckets, in seconds; up to the maximum time that a caller waits.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0];

/// All metrics of a daemon. Clones share their values.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    calls: CallMetrics,
    pub(crate) responses: IntCounterVec,
    pub(crate) response_duration_s: Histogram,
    pub(crate) refusals: IntCounterVec,
    pub(crate) config_age_ms: IntGauge,
    pub(crate) commits: IntCounterVec,
    pub(crate) commit_duration_s: Histogram,
    pub(crate) worker_commands: IntCounterVec,
    pub(crate) attempt_outcomes: IntCounterVec,
    pub(crate) worker_crashes: IntCounter,
    pub(crate) tasks_given_up: IntCounter,
    pub(crate) tasks_held: IntCounter,
    pub(crate) overloads: IntCounter,
    pub(crate) placement_rounds: IntCounterVec,
    pub(crate) failed_lookups: IntCounter,
    pub(crate) takeovers: IntCounter,
    pub(crate) store_failures: IntCounter,
    pub(crate) dropped_log_lines: IntCounter,
    pub(crate) teams: TeamMetrics,
    pub(crate) inbound: inbound::Metrics,
}

/// Metrics of the calls to the platform, by peer and call.
#[derive(Debug, Clone)]
struct CallMetrics {
    costs: Arc<CallCosts>,
    calls: IntCounterVec,
    sent_bytes: IntCounterVec,
    received_bytes: IntCounterVec,
    duration_us: IntCounterVec,
}

impl CallMetrics {
    /// Creates the metrics of calls that cost `costs`. `labeled` registers counters with a name, a help text and labels.
    fn new(
        costs: Arc<CallCosts>,
        labeled: impl Fn(&str, &str, &[&str]) -> prometheus::Result<IntCounterVec>,
    ) -> prometheus::Result<Self> {
        let call_labels = ["peer", "call"];
        Ok(Self {
            costs,
            calls: labeled(
                "platform_calls_total",
                "Calls to the platform.",
                &call_labels,
            )?,
            sent_bytes: labeled(
                "platform_sent_bytes_total",
                "Bytes of request bodies to the platform.",
                &call_labels,
            )?,
            received_bytes: labeled(
                "platform_received_bytes_total",
                "Bytes of response bodies from the platform.",
                &call_labels,
            )?,
            duration_us: labeled(
                "platform_call_microseconds_total",
                "Time that calls to the platform took, in microseconds.",
                &call_labels,
            )?,
        })
    }

    /// Raises the counters to the present totals.
    fn update(&self) {
        for kind in CallKind::ALL {
            let (peer, call) = kind.labels();
            let totals = self.costs.totals(kind);
            for (counters, total) in [
                (&self.calls, totals.calls),
                (&self.sent_bytes, totals.sent_bytes),
                (&self.received_bytes, totals.received_bytes),
                (&self.duration_us, totals.duration_us),
            ] {
                let counter = counters.with_label_values(&[peer, call]);
                counter.inc_by(total.saturating_sub(counter.get()));
            }
        }
    }
}

/// Metrics of the teams with a quota, by pool and team, for the pools of this daemon. CPU in thousandths of a core.
#[derive(Debug, Clone)]
pub(crate) struct TeamMetrics {
    limit: IntGaugeVec,
    in_use: IntGaugeVec,
    waiting: IntGaugeVec,
}

impl TeamMetrics {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauges = |name: &str, help: &str| {
            let opts = Opts::new(format!("trefoilpass_{name}"), help);
            let gauges = IntGaugeVec::new(opts, &["pool", "team"])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        Ok(Self {
            limit: gauges(
                "team_limit_cpu_milli",
                "CPU that the team may use in the pool, in thousandths of a core.",
            )?,
            in_use: gauges(
                "team_in_use_cpu_milli",
                "CPU of the team's tasks in the pool, in thousandths of a core.",
            )?,
            waiting: gauges(
                "team_waiting_cpu_milli",
                "CPU of the team's waiting tasks in the pool, in thousandths of a core.",
            )?,
        })
    }

    /// Sets the limit of a team in a pool, and what the team uses and waits for, in thousandths of a core.
    pub(crate) fn set(&self, pool: &str, team: &str, [limit, in_use, waiting]: [u32; 3]) {
        for (gauges, value) in [
            (&self.limit, limit),
            (&self.in_use, in_use),
            (&self.waiting, waiting),
        ] {
            gauges.with_label_values(&[pool, team]).set(value.into());
        }
    }

    /// Removes the metrics of a team in a pool.
    pub(crate) fn remove(&self, pool: &str, team: &str) {
        for gauges in [&self.limit, &self.in_use, &self.waiting] {
            // Fails for metrics that were never set.
            let _ = gauges.remove_label_values(&[pool, team]);
        }
    }
}

impl Metrics {
    /// Registers the metrics. `costs` are those of the calls to the platform. Fails when a name or label is invalid or
    /// registered twice.
    pub(crate) fn new(costs: Arc<CallCosts>) -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("trefoilpass_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let labeled = |name: &str, help: &str, labels: &[&str]| {
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
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("trefoilpass_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            calls: CallMetrics::new(costs, labeled)?,
            responses: labeled(
                "answers_total",
                "Responses to callers.",
                &["call", "status"],
            )?,
            response_duration_s: histogram(
                "answer_seconds",
                "Time from the headers of a request to the response, in seconds.",
            )?,
            refusals: labeled(
                "access_refusals_total",
                "Requests refused by the key or the team of the caller.",
                &["reason"],
            )?,
            config_age_ms: gauge(
                "config_age_milliseconds",
                "Time since the configuration was last confirmed as the newest, in ms.",
            )?,
            commits: labeled(
                "commits_total",
                "Transactions of pools, by outcome.",
                &["outcome"],
            )?,
            commit_duration_s: histogram(
                "commit_seconds",
                "Time from the first try of a transaction to its outcome, in seconds.",
            )?,
            worker_commands: labeled(
                "orders_total",
                "Commands to workers.",
                &["order", "outcome"],
            )?,
            attempt_outcomes: labeled(
                "run_ends_total",
                "Attempts that ended on workers.",
                &["end"],
            )?,
            worker_crashes: counter(
                "worker_crashes_total",
                "Workers that crashed under their tasks.",
            )?,
            tasks_given_up: counter(
                "tasks_given_up_total",
                "Tasks given up because workers crash under them.",
            )?,
            tasks_held: counter(
                "tasks_held_total",
                "Service tasks that are not started again because workers crash under them.",
            )?,
            overloads: counter(
                "overloads_total",
                "Times that a pool began to order jobs by the cost of their delay.",
            )?,
            placement_rounds: labeled(
                "placement_rounds_total",
                "Rounds of placement, by whether they came to all ready steps.",
                &["outcome"],
            )?,
            failed_lookups: counter(
                "placement_failed_lookups_total",
                "Steps for which a worker was looked for among all workers in vain.",
            )?,
            takeovers: counter("takeovers_total", "Shards taken over.")?,
            store_failures: counter("store_failures_total", "Calls to the store that failed.")?,
            dropped_log_lines: counter(
                "dropped_log_lines_total",
                "Log lines dropped by the rate limit.",
            )?,
            teams: TeamMetrics::new(&registry)?,
            inbound: inbound::Metrics::new(&registry)?,
            registry,
        })
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.calls.update();
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        // Encoding fails only for names that registration rejects.
        text.unwrap_or_default()
    }
}
