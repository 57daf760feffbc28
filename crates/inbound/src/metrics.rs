//! Counters of connections and of what was refused.

use std::sync::atomic::{AtomicU64, Ordering};

use clients::Listener;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// The metrics of the inbound side. Clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(crate) connections: IntGaugeVec,
    pub(crate) body_bytes: IntGauge,
    pub(crate) refusals: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When the registry has a metric with one of the names.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let opts = Opts::new(
            "trefoilpass_client_connections",
            "Open connections of clients.",
        );
        let connections = IntGaugeVec::new(opts, &["listener"])?;
        let opts = Opts::new(
            "trefoilpass_client_body_bytes",
            "Memory reserved for the bodies of clients' requests, in bytes.",
        );
        let body_bytes = IntGauge::with_opts(opts)?;
        let opts = Opts::new(
            "trefoilpass_client_refusals_total",
            "Connections that were refused or closed, and bodies that were refused, to stay within the limits.",
        );
        let refusals = IntCounterVec::new(opts, &["listener", "reason"])?;
        registry.register(Box::new(connections.clone()))?;
        registry.register(Box::new(body_bytes.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        Ok(Self {
            connections,
            body_bytes,
            refusals,
        })
    }
}

/// Why a connection was refused or closed, or a body refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The listener has as many connections as it may have.
    Full,
    /// Another client needed the place or the memory.
    Evicted,
    /// The request, or the client's reading of the answer, took too long.
    Overdue,
    /// There was no memory for the body.
    NoMemory,
    /// A connection could not be accepted.
    AcceptFailed,
}

impl Reason {
    const COUNT: usize = 5;

    fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Evicted => "evicted",
            Self::Overdue => "overdue",
            Self::NoMemory => "no_memory",
            Self::AcceptFailed => "accept_failed",
        }
    }
}

/// What was refused or closed since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Closures {
    /// New connections that were closed at once, as their listener had too many.
    pub full: u64,
    /// Connections that were closed in favor of others.
    pub evicted: u64,
    /// Connections that were closed because a request or the reading of an answer took too long.
    pub overdue: u64,
    /// Requests that were refused for lack of memory.
    pub no_memory: u64,
    /// Failures to accept a connection.
    pub accept_failed: u64,
}

/// Counts refusals since the last report.
#[derive(Debug, Default)]
pub(crate) struct Tally([AtomicU64; Reason::COUNT]);

impl Tally {
    pub(crate) fn count(&self, metrics: &Metrics, listener: Listener, reason: Reason) {
        let labels = [listener.name(), reason.name()];
        metrics.refusals.with_label_values(&labels).inc();
        self.0[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Takes the counts; none if there were no refusals.
    pub(crate) fn take(&self) -> Option<Closures> {
        let take = |reason: Reason| self.0[reason as usize].swap(0, Ordering::Relaxed);
        let closures = Closures {
            full: take(Reason::Full),
            evicted: take(Reason::Evicted),
            overdue: take(Reason::Overdue),
            no_memory: take(Reason::NoMemory),
            accept_failed: take(Reason::AcceptFailed),
        };
        (closures != Closures::default()).then_some(closures)
    }
}
