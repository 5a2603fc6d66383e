//! The metrics of the request path.

use leverstream_error::Kind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The metric label of a refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// The name of the error kind.
    kind: String,
}

/// The metrics of the request path.
#[derive(Clone)]
pub struct Metrics {
    /// Requests that arrived.
    pub requests: Counter,
    /// Questions of callers about where to connect.
    pub asks: Counter,
    /// Error responses of leverstream itself, by kind.
    pub refusals: Family<KindLabel, Counter>,
    /// Attempts at backend servers.
    pub attempts: Counter,
    /// Attempts that repeat another.
    pub retries: Counter,
    /// Attempts begun while another still ran.
    pub hedges: Counter,
    /// Requests relayed to another VM.
    pub relays: Counter,
    /// Stored answers returned for repeated requests.
    pub replays: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// The durations of requests, in seconds.
    pub seconds: Histogram,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut Registry) -> Metrics {
        let metrics = Metrics {
            requests: Counter::default(),
            asks: Counter::default(),
            refusals: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            hedges: Counter::default(),
            relays: Counter::default(),
            replays: Counter::default(),
            in_flight: Gauge::default(),
            seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 18)),
        };
        let m = &metrics;
        registry.register("requests", "Requests that arrived", m.requests.clone());
        registry.register("asks", "Requests for where to connect", m.asks.clone());
        registry.register("refusals", "Own answers by kind", m.refusals.clone());
        registry.register("attempts", "Attempts at backend servers", m.attempts.clone());
        registry.register("retries", "Attempts that repeat another", m.retries.clone());
        registry.register("hedges", "Attempts beside a running one", m.hedges.clone());
        registry.register("relays", "Requests passed to another VM", m.relays.clone());
        registry.register("replays", "Kept answers given again", m.replays.clone());
        registry.register("requests_in_flight", "Requests under way", m.in_flight.clone());
        registry.register("request_seconds", "How long requests took", m.seconds.clone());
        metrics
    }

    /// Counts an error response of leverstream itself.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind: kind.to_string() }).inc();
    }
}

/// Counts a request as in flight until its answer is sent or its caller disconnects.
///
/// A graceful stop waits until no request is in flight.
pub(crate) struct InFlightGuard(Gauge);

impl InFlightGuard {
    /// Counts one more request.
    pub fn new(metrics: &Metrics) -> InFlightGuard {
        metrics.in_flight.inc();
        InFlightGuard(metrics.in_flight.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
