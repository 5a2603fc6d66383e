//! Registers counters whose values other components hold.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;

/// Exports a counter whose value another component holds.
struct Count<F> {
    /// The metric name, without the prefix of the registry.
    name: &'static str,
    /// The help text of the metric.
    help: &'static str,
    /// Returns the current value.
    read: F,
}

/// Registers a counter whose value another component holds; `read` is called on every scrape.
pub fn register_counter(
    registry: &mut Registry,
    name: &'static str,
    help: &'static str,
    read: impl Fn() -> u64 + Send + Sync + 'static,
) {
    registry.register_collector(Box::new(Count { name, help, read }));
}

impl<F> std::fmt::Debug for Count<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Count").field("name", &self.name).finish_non_exhaustive()
    }
}

impl<F: Fn() -> u64 + Send + Sync + 'static> Collector for Count<F> {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let counter = ConstCounter::new((self.read)());
        let kind = counter.metric_type();
        counter.encode(encoder.encode_descriptor(self.name, self.help, None, kind)?)
    }
}
