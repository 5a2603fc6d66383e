use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use leverstream_health::{
    BackendKey, EjectRule, EvidenceCounts, Health, HealthSettings, evidence_units,
};
use leverstream_peer::{BackendDigest, ServiceDigest};
use leverstream_proxy::{
    BackendState, BackendView, ServiceKey, ServiceState, ServiceView, Serving, VmView,
};
use leverstream_table::{BackendRow, ServiceDoc};

/// How long a change is told to other VMs, in milliseconds.
const RETELL_MS: u64 = 1_000;

/// In one of so many stretches of that time, what has not changed is told too.
const RETELL_ONE_IN: u64 = 4;

/// A service that this VM serves, as the control thread holds it.
pub struct Service {
    /// Its key.
    pub key: ServiceKey,
    /// Its document.
    pub doc: Arc<ServiceDoc>,
    /// The VMs that serve it.
    pub entry: Vec<VmView>,
    /// The health of its backend servers.
    pub health: Health,
    /// What traffic threads change.
    pub live: Arc<ServiceState>,
    /// Until when it is served although this VM no longer belongs to the service's set.
    pub kept_until_ms: Option<u64>,
    /// The backend servers, in the order of their keys.
    backends: Vec<Backend>,
    /// The keys of backend servers in the table, by name.
    by_name: HashMap<String, BackendKey>,
}

/// A backend server.
struct Backend {
    /// Its name.
    name: String,
    /// Its row, while it is in the table.
    row: Option<BackendRow>,
    /// What traffic threads change.
    live: Arc<BackendState>,
    /// What there is to tell other VMs.
    digest: BackendDigest,
    /// When that last changed.
    changed_ms: u64,
}

impl Service {
    /// Opens a service that this VM begins to serve.
    pub fn open(
        key: ServiceKey,
        doc: &Arc<ServiceDoc>,
        rule: &'static EjectRule,
        now_ms: u64,
    ) -> Service {
        let settings = HealthSettings::from(&doc.row);
        let mut service = Service {
            key,
            doc: Arc::clone(doc),
            entry: Vec::new(),
            health: Health::open(settings, rule, now_ms),
            live: ServiceState::new(key, now_ms),
            kept_until_ms: None,
            backends: Vec::new(),
            by_name: HashMap::new(),
        };
        service.take_rows(doc, false, now_ms);
        service
    }

    /// Takes a new document over.
    pub fn set_doc(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        if self.doc.version == doc.version {
            return;
        }
        self.health.set_settings(HealthSettings::from(&doc.row));
        self.take_rows(doc, true, now_ms);
        self.doc = Arc::clone(doc);
    }

    /// The key of a backend server in the table.
    pub fn backend(&self, name: &str) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// The backend servers in the table.
    pub fn backends(&self) -> impl Iterator<Item = (BackendKey, &str, &BackendRow)> {
        let indexed = self.backends.iter().enumerate();
        indexed.filter_map(|(index, backend)| {
            Some((BackendKey(index as u32), backend.name.as_str(), backend.row.as_ref()?))
        })
    }

    /// Notes that the backend server at an address leaves.
    pub fn drain_address(&mut self, address: SocketAddr, now_ms: u64) {
        let keys: Vec<BackendKey> = self
            .backends()
            .filter(|(_, _, row)| row.address.0 == address)
            .map(|(key, _, _)| key)
            .collect();
        for key in keys {
            self.health.drain(key, now_ms);
        }
    }

    /// Tells whether no request waits here or is under way.
    pub fn is_idle(&self) -> bool {
        let has_flights = self.backends.iter().any(|backend| backend.live.in_flight() > 0);
        self.live.queued() == 0 && !has_flights
    }

    /// Charges requests under way for their age, then decides what is due.
    pub fn tick(&mut self, now_ms: u64) {
        for (index, backend) in self.backends.iter().enumerate() {
            let key = BackendKey(index as u32);
            let slow_ms = self.health.slow_ms(key);
            for units in backend.live.charge(now_ms, |age_ms| evidence_units(age_ms, slow_ms)) {
                self.health.charge(key, units);
            }
        }
        self.health.tick(now_ms);
    }

    /// What traffic threads are told.
    pub fn view(&self, now_ms: u64) -> ServiceView {
        let vms = u32::try_from(self.entry.len().max(1)).unwrap_or(u32::MAX);
        let backends: Vec<BackendView> = self
            .backends()
            .map(|(key, name, row)| {
                let fitness = self.health.fitness(key, now_ms);
                BackendView {
                    key,
                    name: name.to_owned(),
                    address: row.address.0,
                    slots: row.usable_slots(),
                    connections: (row.connections / vms).max(row.usable_slots()),
                    weight: if row.leaving { 0.0 } else { f64::from(row.weight) * fitness.share },
                    is_trial: fitness.is_trial && row.accepts_requests(),
                    others_in_flight: fitness.others_in_flight,
                    slow_ms: fitness.slow_ms,
                    state: Arc::clone(&self.backends[key.0 as usize].live),
                }
            })
            .collect();
        let serving = Serving {
            state: Arc::clone(&self.live),
            backends,
            typical_ms: self.health.typical_ms(),
        };
        ServiceView {
            doc: Arc::clone(&self.doc),
            entry_vms: self.entry.clone(),
            serving: Some(serving),
        }
    }

    /// What other VMs are told: the backend servers about which something has changed lately.
    ///
    /// Each change is told for a while, and what has not changed now and then, so that it reaches
    /// every VM although some calls are lost.
    pub fn digest(&mut self, now_ms: u64) -> ServiceDigest {
        let mut told = Vec::new();
        for (index, backend) in self.backends.iter_mut().enumerate() {
            let key = BackendKey(index as u32);
            let count = self.health.count(key);
            let digest = BackendDigest {
                backend: backend.name.clone(),
                good: count.good,
                bad: count.bad,
                in_flight: backend.live.in_flight(),
                draining: self.health.is_draining(key, now_ms),
                overdue_odds: 0.0,
                reached_age_ms: None,
                born_ms: 0,
            };
            if backend.digest != digest {
                backend.digest = digest;
                backend.changed_ms = now_ms;
            }
            let is_fresh = now_ms.saturating_sub(backend.changed_ms) < RETELL_MS;
            let is_due = (now_ms / RETELL_MS + index as u64).is_multiple_of(RETELL_ONE_IN);
            if backend.row.is_some() && (is_fresh || is_due) {
                told.push(backend.digest.clone());
            }
        }
        ServiceDigest {
            service: self.doc.service.clone(),
            version: self.doc.version,
            backends: told,
        }
    }

    /// Takes in what another VM tells.
    pub fn report(&mut self, reporter: u64, digest: &ServiceDigest, now_ms: u64) {
        self.health.record_contact(reporter, now_ms);
        for told in &digest.backends {
            let Some(key) = self.backend(&told.backend) else { continue };
            let count = EvidenceCounts { good: told.good, bad: told.bad };
            self.health.report(key, reporter, count, told.in_flight, now_ms);
            if told.draining && !self.health.is_draining(key, now_ms) {
                self.health.drain(key, now_ms);
            }
        }
    }

    /// Takes the rows of a document over; new backend servers of a known service start cold.
    fn take_rows(&mut self, doc: &ServiceDoc, is_cold: bool, now_ms: u64) {
        let mut by_name = HashMap::new();
        for (name, row) in &doc.backends {
            let known = self.by_name.get(name).copied().filter(|key| {
                let held = &self.backends[key.0 as usize].row;
                held.as_ref().is_some_and(|held| held.address == row.address)
            });
            let weight = if row.accepts_requests() { row.weight } else { 0 };
            let key = match known {
                Some(key) => {
                    self.health.set_weight(key, weight);
                    key
                }
                None => {
                    self.backends.push(Backend {
                        name: name.clone(),
                        row: None,
                        live: Arc::default(),
                        digest: BackendDigest::default(),
                        changed_ms: now_ms,
                    });
                    self.health.add(name, weight, is_cold, now_ms)
                }
            };
            self.backends[key.0 as usize].row = Some(row.clone());
            by_name.insert(name.clone(), key);
        }
        for (index, backend) in self.backends.iter_mut().enumerate() {
            let key = BackendKey(index as u32);
            if by_name.get(&backend.name) != Some(&key) {
                backend.row = None;
                self.health.set_weight(key, 0);
            }
        }
        self.by_name = by_name;
    }
}
