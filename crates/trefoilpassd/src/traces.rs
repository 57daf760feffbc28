//! Spans: one for each hop, in the caller's trace.

use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use settings::TraceExporter;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

/// Starts the export of spans, if the settings ask for it.
pub(crate) fn start(traces: TraceExporter) -> Option<SdkTracerProvider> {
    if traces == TraceExporter::None {
        return None;
    }
    let exporter = opentelemetry_stdout::SpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("trefoilpassd"));
    let subscriber = tracing_subscriber::registry().with(layer);
    // A second subscriber can't be there, because this is called once.
    let _ = tracing::subscriber::set_global_default(subscriber);
    Some(provider)
}

/// Makes `span` a child of the caller's span.
pub(crate) fn continue_from(span: &Span, headers: &HeaderMap) {
    if span.is_disabled() {
        return;
    }
    let context = TraceContextPropagator::new().extract(&Headers(headers));
    // A caller without a trace context starts a new trace.
    let _ = span.set_parent(context);
}

/// Writes the trace context of `span` into the headers of the next hop. Without export the caller's headers go
/// on as they are.
pub(crate) fn carry_on(span: &Span, headers: &mut HeaderMap) {
    if span.is_disabled() {
        return;
    }
    TraceContextPropagator::new().inject_context(&span.context(), &mut HeadersMut(headers));
}

struct Headers<'a>(&'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeadersMut<'a>(&'a mut HeaderMap);

impl Injector for HeadersMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}
