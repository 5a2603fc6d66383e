//! The services that this VM serves, as the placement on VMs assigns them.

use std::sync::Arc;

use leverstream_member::Member;
use leverstream_proxy::{Members, ServiceKey};
use leverstream_table::ServiceDoc;

use super::Control;
use crate::service::Service;

impl Control {
    /// Recomputes the placement of the services that a change of members can move.
    pub(super) fn update_placements(&mut self, changed: &[Member], now_ms: u64) {
        let halls = self.members.halls;
        self.members = Arc::new(Members::new(self.swim.remembered().cloned().collect()));
        let moves_all = self.members.halls != halls;
        let is_moved = |doc: &&Arc<ServiceDoc>| {
            let placement = self.placements.get(&doc.service);
            let moves = |member: &Member| {
                placement.is_none_or(|placement| placement.is_affected_by(member))
            };
            moves_all || changed.iter().any(moves)
        };
        let docs: Vec<Arc<ServiceDoc>> =
            self.replica.docs().values().filter(is_moved).cloned().collect();
        for doc in docs {
            self.update_placement(&doc, now_ms);
        }
    }

    /// Recomputes the placement of a service and whether this VM serves it.
    pub(super) fn update_placement(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        let me = self.swim.me().identity.id;
        let (placement, entry) = self.members.placement_of(doc);
        self.placements.insert(doc.service.clone(), placement);
        let is_served_here =
            !doc.removed && doc.row.taken_over && entry.iter().any(|vm| vm.id == me);
        if is_served_here {
            self.add_service(doc, now_ms);
        }
        let Some(service) = self.services.get_mut(&doc.service) else { return };
        service.entry_vms = entry;
        service.set_doc(doc, now_ms);
        let ticket_ttl_ms = self.settings.times.ticket_ttl_ms;
        service.serves_until_ms = match (is_served_here, service.serves_until_ms) {
            (true, _) => None,
            (false, None) => Some(now_ms + ticket_ttl_ms),
            (false, until_ms) => until_ms,
        };
    }

    /// Starts to serve a service that this VM does not serve yet.
    fn add_service(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        if !self.services.contains_key(&doc.service) {
            self.last_key += 1;
            let service = Service::new(ServiceKey(self.last_key), doc, self.eject_rule, now_ms);
            self.services.insert(doc.service.clone(), service);
        }
    }

    /// Serves a service for which this VM received requests, until the tickets for it expire.
    pub(super) fn serve_temporarily(&mut self, name: &str, now_ms: u64) {
        let Some(doc) = self.replica.doc(name).filter(|doc| !doc.removed).cloned() else { return };
        self.add_service(&doc, now_ms);
        self.update_placement(&doc, now_ms);
        self.publish_snapshot(now_ms);
    }

    /// Removes the services that moved to other VMs, once their tickets have expired.
    ///
    /// A service stays while requests are queued or in flight, and during a planned stop, which
    /// finishes all remaining requests.
    pub(super) fn remove_expired_services(&mut self, now_ms: u64) {
        let is_stopping = self.stopping_since_ms.is_some();
        self.services.retain(|_, service| {
            let is_expired = service.serves_until_ms.is_some_and(|until_ms| now_ms >= until_ms);
            is_stopping || !is_expired || !service.is_idle()
        });
    }
}
