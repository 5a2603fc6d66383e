//! The choice of a backend server according to the policy.

use leverstream_core::{PickRequest, choose};
use leverstream_health::BackendKey;
use rand::Rng;
use rand::rngs::StdRng;

use super::super::Policy;
use super::{HALLS, Model, VMS};
use crate::model::{FLOOR_SHARE, far_bytes_cost};

impl Model<'_> {
    /// Chooses a backend server according to the policy.
    pub(super) fn pick(&mut self, index: usize, waited_ms: u64, now_ms: u64) -> Option<BackendKey> {
        let request = &self.requests[index];
        let vm = &self.vms[request.vm];
        let slots = self.service.slots;
        let is_eligible = |server: &usize| {
            vm.in_flight[*server] < slots && !request.tried.contains(&BackendKey(*server as u32))
        };
        let free: Vec<usize> = (0..self.servers.len()).filter(is_eligible).collect();
        let least_loaded = |servers: &[usize], rng: &mut StdRng| {
            let least = servers.iter().map(|server| vm.in_flight[*server]).min()?;
            let equal: Vec<usize> =
                servers.iter().copied().filter(|server| vm.in_flight[*server] == least).collect();
            Some(equal[rng.random_range(0..equal.len())])
        };
        let chosen = match self.policy {
            Policy::Shipped => {
                let pick_request = PickRequest {
                    service: "s",
                    hall: HALLS[request.vm],
                    is_repeatable: self.service.is_repeatable,
                    tried: &request.tried,
                    waited_ms,
                    far_bytes_cost: far_bytes_cost(self.service.bytes),
                    objective_ms: self.service.objective_ms,
                    floor_share: FLOOR_SHARE,
                    requests_fail: vm.demand.is_failing(self.service.is_repeatable, now_ms),
                    requests_per_s: vm.demand.per_s(now_ms).map(|per_s| per_s * VMS as f64),
                    is_spared: false,
                    vm: request.vm as u64,
                };
                return choose(&vm.fleet, &pick_request, now_ms, &mut self.rng)
                    .map(|pick| pick.key);
            }
            Policy::RoundRobin => {
                self.round_robin_count += 1;
                (!free.is_empty()).then(|| free[self.round_robin_count % free.len()])
            }
            Policy::LeastInFlight => least_loaded(&free, &mut self.rng),
            Policy::TwoChoices if free.is_empty() => None,
            Policy::TwoChoices => {
                let one = free[self.rng.random_range(0..free.len())];
                let other = free[self.rng.random_range(0..free.len())];
                least_loaded(&[one, other], &mut self.rng)
            }
            Policy::FailuresInARow => {
                let in_use: Vec<usize> = free
                    .iter()
                    .copied()
                    .filter(|server| vm.failure_runs[*server].1 <= now_ms)
                    .collect();
                least_loaded(if in_use.is_empty() { &free } else { &in_use }, &mut self.rng)
            }
        };
        chosen.map(|server| BackendKey(server as u32))
    }
}
