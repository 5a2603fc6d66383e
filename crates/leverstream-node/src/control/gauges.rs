//! The metrics of the control thread.

use prometheus_client::metrics::gauge::Gauge;

use super::Control;

/// The metrics that the control thread sets.
#[derive(Clone, Default)]
pub struct Gauges {
    /// Members that are not dead.
    pub members: Gauge,
    /// Services in the table.
    pub services: Gauge,
    /// Services that this VM serves.
    pub serving: Gauge,
    /// Milliseconds since the last contact with the store or another VM.
    pub news_age_ms: Gauge,
    /// Backend servers that this VM has ejected.
    pub ejected: Gauge,
    /// Datagrams rejected because they could not be authenticated or decoded.
    pub refused_datagrams: Gauge,
    /// Bytes of datagrams sent.
    pub datagram_bytes: Gauge,
}

impl Control {
    /// Updates the gauges.
    pub(super) fn update_gauges(&self, now_ms: u64) {
        let gauges = &self.gauges;
        gauges.members.set(self.members.list.len() as i64);
        gauges.services.set(self.replica.docs().values().filter(|doc| !doc.removed).count() as i64);
        gauges.serving.set(self.services.len() as i64);
        gauges.news_age_ms.set(i64::try_from(self.news_age_ms(now_ms)).unwrap_or(i64::MAX));
        let ejected = self.services.values().map(|service| service.health.ejected()).sum::<usize>();
        gauges.ejected.set(ejected as i64);
    }
}
