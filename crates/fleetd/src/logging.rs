//! Structured logs: JSON lines on standard output, limited in rate and written without blocking the daemon.

use std::io::BufWriter;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::IntCounter;
use tracing::{Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::clock::local_ms;

/// The maximum number of lines that wait to be written; further lines are dropped. At 300 bytes per line, the waiting
/// lines take some 300 KB.
const MAX_BUFFERED_LINES: usize = 1000;

/// The maximum number of lines per second: twice the decisions of a pool at its peak. At 300 bytes per line, 180 KB/s.
const MAX_LINES_PER_S: u64 = 600;

/// Installs the global log subscriber; `dropped_lines` counts the lines over the rate limit.
///
/// Lines are written until the returned guard is dropped. Does nothing when a subscriber is installed already.
pub(crate) fn init(dropped_lines: IntCounter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(BufWriter::new(std::io::stdout()));
    let rate_limit = RateLimit {
        current_second: AtomicU64::new(0),
        lines_in_second: AtomicU64::new(0),
        dropped_lines,
    };
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer)
        .with_filter(rate_limit);
    // Fails only when a subscriber is installed already.
    let _ = tracing_subscriber::registry().with(layer).try_init();
    guard
}

/// Passes the daemon's own lines of level INFO and above, up to [`MAX_LINES_PER_S`], and counts the lines above the
/// limit.
struct RateLimit {
    current_second: AtomicU64,
    lines_in_second: AtomicU64,
    dropped_lines: IntCounter,
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        metadata.target().starts_with("fleetd") && *metadata.level() <= Level::INFO
    }

    fn event_enabled(&self, _: &tracing::Event<'_>, _: &Context<'_, S>) -> bool {
        let second = local_ms() / 1000;
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        let is_allowed = self.lines_in_second.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S;
        if !is_allowed {
            self.dropped_lines.inc();
        }
        is_allowed
    }
}
