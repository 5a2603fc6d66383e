//! The export of traces to an OTLP collector, and the propagation of trace context.

use std::collections::HashMap;

use opentelemetry::global;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

/// The running export of traces; it must be closed to send the last spans.
pub struct Traces {
    /// The provider that exports the spans.
    provider: SdkTracerProvider,
}

/// The reason why the export of traces could not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError(pub String);

impl std::fmt::Display for TraceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "traces cannot be exported: {}", self.0)
    }
}

impl std::error::Error for TraceError {}

impl Traces {
    /// Starts the export of spans to an OTLP collector over gRPC.
    pub fn start(endpoint: &str, vm: &str) -> Result<Traces, TraceError> {
        let trace_error = |error: &dyn std::error::Error| TraceError(error.to_string());
        let exporter = SpanExporter::builder()
            .with_tonic()
            .with_endpoint(endpoint)
            .build()
            .map_err(|error| trace_error(&error))?;
        let resource = Resource::builder()
            .with_service_name("leverstreamd")
            .with_attribute(opentelemetry::KeyValue::new("vm", vm.to_owned()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource)
            .build();
        global::set_text_map_propagator(TraceContextPropagator::new());
        let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("leverstream"));
        let subscriber = tracing_subscriber::registry().with(layer);
        tracing::subscriber::set_global_default(subscriber).map_err(|error| trace_error(&error))?;
        Ok(Traces { provider })
    }

    /// Sends the remaining spans and ends the export.
    pub fn close(self) {
        let _ = self.provider.shutdown();
    }
}

/// Opens the span of a caller's request, as a child of the span in `traceparent` if there is one.
pub fn caller_span(method: &str, traceparent: Option<&str>) -> Span {
    let span = tracing::trace_span!("caller", method);
    if let Some(traceparent) = traceparent.filter(|_| !span.is_disabled()) {
        let carrier = HashMap::from([("traceparent".to_owned(), traceparent.to_owned())]);
        let context = global::get_text_map_propagator(|propagator| propagator.extract(&carrier));
        let _ = span.set_parent(context);
    }
    span
}

/// The `traceparent` header for the next hop, if the current span is enabled.
pub fn traceparent() -> Option<String> {
    let span = Span::current();
    if span.is_disabled() {
        return None;
    }
    let mut carrier = HashMap::new();
    global::get_text_map_propagator(|propagator| {
        propagator.inject_context(&span.context(), &mut carrier);
    });
    carrier.remove("traceparent")
}
