use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;

/// Shows a count that another part keeps.
struct Count<F> {
    /// Its name, without the registry's prefix.
    name: &'static str,
    /// What it counts.
    help: &'static str,
    /// Reads it.
    read: F,
}

/// Registers a count that another part keeps; it is read whenever the metrics are.
pub fn register_count(
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
