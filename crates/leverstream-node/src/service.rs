//! A service that this VM serves, with the state of its backend servers.

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

/// How long a changed digest is included in every exchange with other VMs.
const CHANGE_REPORT_MS: u64 = 1_000;

/// An unchanged digest is included during one in this many periods of [`CHANGE_REPORT_MS`].
const UNCHANGED_REPORT_PERIODS: u64 = 4;

/// The control thread's state of a service that this VM serves.
pub struct Service {
    /// The key of the service within this process.
    pub key: ServiceKey,
    /// The document in force.
    pub doc: Arc<ServiceDoc>,
    /// The VMs that serve the service.
    pub entry_vms: Vec<VmView>,
    /// The health of its backend servers.
    pub health: Health,
    /// The counters that traffic threads update.
    pub state: Arc<ServiceState>,
    /// Until when this VM serves the service although it is not among its entry VMs.
    pub serves_until_ms: Option<u64>,
    /// All backend servers since the start, indexed by key.
    backends: Vec<Backend>,
    /// The keys of the backend servers in the table, by name.
    by_name: HashMap<String, BackendKey>,
}

/// The state of a backend server.
struct Backend {
    /// The name in the table.
    name: String,
    /// The row, as long as the table has one.
    row: Option<BackendRow>,
    /// The counters that traffic threads update.
    state: Arc<BackendState>,
    /// The digest for other VMs.
    digest: BackendDigest,
    /// When the digest last changed.
    changed_ms: u64,
}

impl Service {
    /// Creates the state of a service that this VM starts to serve.
    pub fn new(
        key: ServiceKey,
        doc: &Arc<ServiceDoc>,
        rule: &'static EjectRule,
        now_ms: u64,
    ) -> Service {
        let settings = HealthSettings::from(&doc.row);
        let mut service = Service {
            key,
            doc: Arc::clone(doc),
            entry_vms: Vec::new(),
            health: Health::new(settings, rule, now_ms),
            state: ServiceState::new(key, now_ms),
            serves_until_ms: None,
            backends: Vec::new(),
            by_name: HashMap::new(),
        };
        service.update_backends(doc, false, now_ms);
        service
    }

    /// Applies a new document; does nothing if its version is already in force.
    pub fn set_doc(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        if self.doc.version == doc.version {
            return;
        }
        self.health.set_settings(HealthSettings::from(&doc.row));
        self.update_backends(doc, true, now_ms);
        self.doc = Arc::clone(doc);
    }

    /// Returns the key of a backend server in the table.
    pub fn backend_key(&self, name: &str) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// Iterates over the backend servers in the table.
    pub fn backends(&self) -> impl Iterator<Item = (BackendKey, &str, &BackendRow)> {
        let indexed = self.backends.iter().enumerate();
        indexed.filter_map(|(index, backend)| {
            Some((BackendKey(index as u32), backend.name.as_str(), backend.row.as_ref()?))
        })
    }

    /// Marks the backend servers at an address as draining.
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

    /// Returns whether no request is queued or in flight.
    pub fn is_idle(&self) -> bool {
        let has_in_flight = self.backends.iter().any(|backend| backend.state.in_flight() > 0);
        self.state.queued() == 0 && !has_in_flight
    }

    /// Counts overdue requests in flight as bad evidence, then updates the health.
    pub fn tick(&mut self, now_ms: u64) {
        for (index, backend) in self.backends.iter().enumerate() {
            let key = BackendKey(index as u32);
            let slow_ms = self.health.slow_ms(key);
            for units in backend.state.charge(now_ms, |age_ms| evidence_units(age_ms, slow_ms)) {
                self.health.charge(key, units);
            }
        }
        self.health.tick(now_ms);
    }

    /// Returns the view of the service for traffic threads.
    pub fn view(&self, now_ms: u64) -> ServiceView {
        let vms = u32::try_from(self.entry_vms.len().max(1)).unwrap_or(u32::MAX);
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
                    state: Arc::clone(&self.backends[key.0 as usize].state),
                }
            })
            .collect();
        let serving = Serving {
            state: Arc::clone(&self.state),
            backends,
            typical_ms: self.health.typical_ms(),
        };
        ServiceView {
            doc: Arc::clone(&self.doc),
            entry_vms: self.entry_vms.clone(),
            serving: Some(serving),
        }
    }

    /// Returns the digest for other VMs with the backend servers that changed recently.
    ///
    /// A change is included for [`CHANGE_REPORT_MS`] and an unchanged digest periodically, so that
    /// both reach every VM although some calls are lost.
    pub fn digest(&mut self, now_ms: u64) -> ServiceDigest {
        let mut backends = Vec::new();
        for (index, backend) in self.backends.iter_mut().enumerate() {
            let key = BackendKey(index as u32);
            let count = self.health.count(key);
            let digest = BackendDigest {
                backend: backend.name.clone(),
                good: count.good,
                bad: count.bad,
                in_flight: backend.state.in_flight(),
                draining: self.health.is_draining(key, now_ms),
                overdue_odds: 0.0,
                reached_age_ms: None,
                born_ms: 0,
            };
            if backend.digest != digest {
                backend.digest = digest;
                backend.changed_ms = now_ms;
            }
            let is_recent_change = now_ms.saturating_sub(backend.changed_ms) < CHANGE_REPORT_MS;
            let is_periodic_report_due =
                (now_ms / CHANGE_REPORT_MS + index as u64).is_multiple_of(UNCHANGED_REPORT_PERIODS);
            if backend.row.is_some() && (is_recent_change || is_periodic_report_due) {
                backends.push(backend.digest.clone());
            }
        }
        ServiceDigest { service: self.doc.service.clone(), version: self.doc.version, backends }
    }

    /// Records the digest that another VM reports.
    pub fn report(&mut self, reporter: u64, digest: &ServiceDigest, now_ms: u64) {
        self.health.record_contact(reporter, now_ms);
        for reported in &digest.backends {
            let Some(key) = self.backend_key(&reported.backend) else { continue };
            let count = EvidenceCounts { good: reported.good, bad: reported.bad };
            self.health.report(key, reporter, count, reported.in_flight, now_ms);
            if reported.draining && !self.health.is_draining(key, now_ms) {
                self.health.drain(key, now_ms);
            }
        }
    }

    /// Applies the backend rows of a document.
    ///
    /// With `is_cold`, new backend servers begin with a warm-up.
    fn update_backends(&mut self, doc: &ServiceDoc, is_cold: bool, now_ms: u64) {
        let mut by_name = HashMap::new();
        for (name, row) in &doc.backends {
            let existing = self.by_name.get(name).copied().filter(|key| {
                let current = &self.backends[key.0 as usize].row;
                current.as_ref().is_some_and(|current| current.address == row.address)
            });
            let weight = if row.accepts_requests() { row.weight } else { 0 };
            let key = match existing {
                Some(key) => {
                    self.health.set_weight(key, weight);
                    key
                }
                None => {
                    self.backends.push(Backend {
                        name: name.clone(),
                        row: None,
                        state: Arc::default(),
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
