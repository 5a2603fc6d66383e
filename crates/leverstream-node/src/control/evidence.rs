//! Evidence of the health of backend servers: observations of traffic threads and the exchange with other VMs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use actix::{AsyncContext, Context};
use leverstream_peer::Digest;
use leverstream_proxy::{Observation, ServiceKey};
use prost::Message as _;

use super::Control;
use crate::control_handle::ControlHandle;
use crate::peers;
use crate::service::Service;

/// The most observations processed in one tick, which bounds the duration of a tick.
const MAX_OBSERVATIONS_PER_TICK: usize = 20_000;

/// The bytes that a call sends in addition to its message.
const CALL_OVERHEAD_BYTES: usize = 120;

impl Control {
    /// Applies observations of traffic threads to the health of backend servers.
    pub(super) fn apply_observations(&mut self, now_ms: u64) {
        let mut by_key: HashMap<ServiceKey, &mut Service> =
            self.services.values_mut().map(|service| (service.key, service)).collect();
        for _ in 0..MAX_OBSERVATIONS_PER_TICK {
            let Ok(observation) = self.observations.try_recv() else { return };
            match observation {
                Observation::Finished {
                    service,
                    backend,
                    outcome,
                    time_ms,
                    charged_units,
                    is_trial,
                } => {
                    let Some(service) = by_key.get_mut(&service) else { continue };
                    service.health.finish(backend, outcome, time_ms, charged_units);
                    if is_trial {
                        service.health.finish_trial(backend, outcome, time_ms, now_ms);
                    }
                }
                Observation::Draining { service, backend } => {
                    if let Some(service) = by_key.get_mut(&service) {
                        service.health.drain(backend, now_ms);
                    }
                }
            }
        }
    }

    /// Exchanges evidence with the VMs that serve the same services.
    pub(super) fn exchange_evidence(&mut self, context: &Context<Control>, now_ms: u64) {
        if now_ms.saturating_sub(self.exchanged_ms) < self.settings.times.exchange_ms {
            return;
        }
        self.exchanged_ms = now_ms;
        let me = self.swim.me().identity.id;
        let digest = self.collect_evidence(now_ms);
        let mut peers: BTreeMap<SocketAddr, HashSet<String>> = BTreeMap::new();
        for service in self.services.values() {
            // The VM with the lower id initiates; the reply carries the other VM's evidence.
            for vm in service.entry_vms.iter().filter(|vm| vm.id > me) {
                peers.entry(vm.peer_address).or_default().insert(service.doc.service.clone());
            }
        }
        // Peers skipped because the byte budget ran out come first in the next round.
        let mut order: Vec<(SocketAddr, HashSet<String>)> = peers.into_iter().collect();
        let already_exchanged =
            order.iter().take_while(|(peer, _)| Some(*peer) <= self.last_exchange_peer).count();
        order.rotate_left(already_exchanged);
        for (peer, services) in order {
            let shared = digest.services.iter().filter(|digest| services.contains(&digest.service));
            let shared_digest = Digest { reporter: me, services: shared.cloned().collect() };
            let bytes = (shared_digest.encoded_len() + CALL_OVERHEAD_BYTES) as f64;
            if !self.evidence_budget.try_take_many(bytes, now_ms) {
                return;
            }
            self.last_exchange_peer = Some(peer);
            peers::exchange_evidence(
                &self.channels,
                peer,
                shared_digest,
                ControlHandle::new(&context.address()),
            );
        }
    }

    /// Collects the evidence of this VM.
    pub(super) fn collect_evidence(&mut self, now_ms: u64) -> Digest {
        let services = self.services.values_mut().map(|service| service.digest(now_ms)).collect();
        Digest { reporter: self.swim.me().identity.id, services }
    }
}
