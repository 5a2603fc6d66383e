//! Active health checks of backend servers.

use std::collections::HashMap;
use std::time::Duration;

use actix::Recipient;
use leverstream_health::{BackendKey, Probe};
use leverstream_member::{Member, Swim, entry_set};
use leverstream_proxy::{DRAINING_HEADER, PROBE_HEADER, ServiceKey};

use crate::messages::ProbeResult;
use crate::service::Service;

/// How many VMs check the same backend server.
const PROBERS_PER_BACKEND: usize = 2;

/// The timeout of a health check.
const PROBE_TIMEOUT_MS: u64 = 1_000;

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
    /// The URL to request.
    url: String,
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
                let url = format!("http://{}{}", backend.address, row.probe_path);
                due.push(HealthCheck { service: service.key, backend: key, url });
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
    let HealthCheck { service, backend, url } = check;
    let client = awc::Client::builder().disable_redirects().finish();
    let request = client.get(url).insert_header((PROBE_HEADER, "1"));
    let answer = request.timeout(Duration::from_millis(PROBE_TIMEOUT_MS)).send().await;
    let (probe, is_draining) = match answer {
        Ok(answer) => {
            let is_draining = answer.headers().contains_key(DRAINING_HEADER);
            let probe = if answer.status().is_success() { Probe::Good } else { Probe::Bad };
            (probe, is_draining)
        }
        Err(awc::error::SendRequestError::Connect(awc::error::ConnectError::Io(_))) => {
            (Probe::Refused, false)
        }
        Err(_) => (Probe::Bad, false),
    };
    results.do_send(ProbeResult { service, backend, probe, is_draining });
}
