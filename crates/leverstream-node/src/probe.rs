//! Active health checks of backend servers.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::Recipient;
use actix_web::http::Uri;
use leverstream_health::{BackendKey, Probe};
use leverstream_member::{Member, Swim, entry_set};
use leverstream_proxy::{DRAINING_HEADER, PROBE_HEADER, ServiceKey};
use leverstream_wire::{Answer, Conn, MemoryGrant, Message, Progress, RequestHead, WireError};

use crate::messages::ProbeResult;
use crate::service::Service;

/// How many VMs check the same backend server.
const PROBERS_PER_BACKEND: usize = 2;

/// The timeout of a health check.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// The maximum size of the body of an answer to a health check.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The schedule of health checks.
#[derive(Default)]
pub struct ProbeSchedule {
    /// The next check of each backend server.
    due_ms: HashMap<(ServiceKey, BackendKey), u64>,
}

/// A health check to run.
pub struct HealthCheck {
    /// The service.
    service: ServiceKey,
    /// The backend server.
    backend: BackendKey,
    /// The address of the backend server.
    address: SocketAddr,
    /// The path to request.
    path: String,
}

impl ProbeSchedule {
    /// Returns the due health checks of the services that are assigned to this VM.
    pub fn due<'a>(
        &mut self,
        services: impl Iterator<Item = &'a Service>,
        swim: &Swim,
        now_ms: u64,
    ) -> Vec<HealthCheck> {
        let checkable = services.filter(|service| !service.doc.row.probe_path.is_empty());
        checkable.flat_map(|service| self.due_for_service(service, swim, now_ms)).collect()
    }

    /// Returns the due health checks of one service that are assigned to this VM.
    fn due_for_service(&mut self, service: &Service, swim: &Swim, now_ms: u64) -> Vec<HealthCheck> {
        let (me, row) = (swim.me().identity.id, &service.doc.row);
        let mut due = Vec::new();
        for (key, name, backend) in service.backends() {
            let next_ms = self.due_ms.entry((service.key, key)).or_insert(now_ms);
            if now_ms < *next_ms {
                continue;
            }
            *next_ms = now_ms + row.probe_interval_ms;
            let entry_members = swim
                .members()
                .filter(|member| service.entry_vms.iter().any(|vm| vm.id == member.identity.id));
            if is_assigned(me, &service.doc.service, name, entry_members) {
                let (address, path) = (backend.address.0, row.probe_path.clone());
                due.push(HealthCheck { service: service.key, backend: key, address, path });
            }
        }
        due
    }
}

/// Starts health checks, which report their results to a recipient.
pub fn start_checks(checks: Vec<HealthCheck>, results: &Recipient<ProbeResult>) {
    for check in checks {
        actix_rt::spawn(run_check(results.clone(), check));
    }
}

/// Returns whether a VM is assigned to check a backend server.
///
/// Rendezvous hashing assigns each backend server to [`PROBERS_PER_BACKEND`] members.
fn is_assigned<'a>(
    id: u64,
    service: &str,
    backend: &str,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let probers = entry_set(&format!("probe/{service}/{backend}"), members, PROBERS_PER_BACKEND);
    probers.iter().any(|member| member.identity.id == id)
}

/// Runs a health check and reports its result.
async fn run_check(results: Recipient<ProbeResult>, check: HealthCheck) {
    let HealthCheck { service, backend, address, path } = check;
    let (probe, is_draining) = match request(address, &path).await {
        Ok(answer) => {
            let is_good = (200..300).contains(&answer.status);
            let probe = if is_good { Probe::Good } else { Probe::Bad };
            (probe, answer.field(DRAINING_HEADER).is_some())
        }
        Err(WireError::Connect) => (Probe::Refused, false),
        Err(_) => (Probe::Bad, false),
    };
    results.do_send(ProbeResult { service, backend, probe, is_draining });
}

/// Requests a path on a new connection and reads the whole answer.
async fn request(address: SocketAddr, path: &str) -> Result<Answer, WireError> {
    // Anything but a URI could add lines to the request.
    let target: Uri = path.parse().map_err(|_| WireError::Send)?;
    let mut head = RequestHead::new("GET", &target.to_string());
    head.field("host", address.to_string().as_bytes());
    head.field(PROBE_HEADER, b"1");
    let head = head.finish_head();
    let exchange = async {
        let mut conn = Conn::open(address).await.map_err(|_| WireError::Connect)?;
        let message = Message { head: &head, body: &[] };
        let grant = BodyLimit { left_bytes: Cell::new(MAX_BODY_BYTES) };
        conn.exchange_within(message, false, &Progress::default(), |_| true, &grant).await
    };
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(WireError::TimedOut))
}

/// The memory for the answer to one health check.
struct BodyLimit {
    /// The bytes that it may still use.
    left_bytes: Cell<usize>,
}

impl MemoryGrant for BodyLimit {
    async fn take(&self, bytes: usize) -> Result<(), WireError> {
        let left_bytes = self.left_bytes.get().checked_sub(bytes).ok_or(WireError::TooLarge)?;
        self.left_bytes.set(left_bytes);
        Ok(())
    }
}
