//! Structured logs: JSON lines on standard output, bounded in rate, never waited for.

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::IntCounter;
use tracing::{Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::clock::local_ms;

/// Lines that wait to be written. At 300 bytes a line, some 300 KB.
const BUFFERED_LINES: usize = 1000;

/// Lines in a second. Twice the decisions of a pool at its peak, at 300 bytes a line: 180 KB/s.
const LINES_PER_S: u64 = 600;

/// Starts the logs. They end when the guard is dropped.
pub(crate) fn start(dropped: IntCounter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let rate = RateLimit {
        second: AtomicU64::new(0),
        lines: AtomicU64::new(0),
        dropped,
    };
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer)
        .with_filter(rate);
    // It fails only when logs were started before in this process.
    let _ = tracing_subscriber::registry().with(layer).try_init();
    guard
}

/// Lets so many lines through in a second, and counts the others.
struct RateLimit {
    second: AtomicU64,
    lines: AtomicU64,
    dropped: IntCounter,
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        metadata.target().starts_with("fleetd") && *metadata.level() <= Level::INFO
    }

    fn event_enabled(&self, _: &tracing::Event<'_>, _: &Context<'_, S>) -> bool {
        let second = local_ms() / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let is_allowed = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_S;
        if !is_allowed {
            self.dropped.inc();
        }
        is_allowed
    }
}
