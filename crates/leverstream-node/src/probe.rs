use std::collections::HashMap;
use std::time::Duration;

use actix::Recipient;
use leverstream_health::{BackendKey, Probe};
use leverstream_member::{Member, Swim, entry_set};
use leverstream_proxy::{DRAINING_HEADER, PROBE_HEADER, ServiceKey};

use crate::messages::Probed;
use crate::service::Service;

/// How many VMs check one backend server.
const PROBERS: usize = 2;

/// How long a health check may take.
const PROBE_MS: u64 = 1_000;

/// When each backend server is checked next.
#[derive(Default)]
pub struct Plan {
    /// The times by service and backend server.
    due_ms: HashMap<(ServiceKey, BackendKey), u64>,
}

/// A health check to make.
pub struct Check {
    /// The service.
    service: ServiceKey,
    /// The backend server.
    backend: BackendKey,
    /// What is asked for.
    url: String,
}

impl Plan {
    /// The health checks of some services that are due and fall to a VM.
    pub fn due<'a>(
        &mut self,
        services: impl Iterator<Item = &'a Service>,
        swim: &Swim,
        now_ms: u64,
    ) -> Vec<Check> {
        let checked = services.filter(|service| !service.doc.row.probe_path.is_empty());
        checked.flat_map(|service| self.due_of(service, swim, now_ms)).collect()
    }

    /// Those of one service.
    fn due_of(&mut self, service: &Service, swim: &Swim, now_ms: u64) -> Vec<Check> {
        let (me, row) = (swim.me().identity.id, &service.doc.row);
        let mut due = Vec::new();
        for (key, name, backend) in service.backends() {
            let next_ms = self.due_ms.entry((service.key, key)).or_insert(now_ms);
            if now_ms < *next_ms {
                continue;
            }
            *next_ms = now_ms + row.probe_interval_ms;
            let known = swim
                .members()
                .filter(|member| service.entry.iter().any(|vm| vm.id == member.identity.id));
            if falls_to(me, &service.doc.service, name, known) {
                let url = format!("http://{}{}", backend.address, row.probe_path);
                due.push(Check { service: service.key, backend: key, url });
            }
        }
        due
    }
}

/// Starts health checks; how they end is told.
pub fn start(checks: Vec<Check>, probed: &Recipient<Probed>) {
    for one in checks {
        actix_rt::spawn(check(probed.clone(), one));
    }
}

/// Tells whether a backend server's health check falls to a VM.
fn falls_to<'a>(
    id: u64,
    service: &str,
    backend: &str,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let chosen = entry_set(&format!("probe/{service}/{backend}"), members, PROBERS);
    chosen.iter().any(|member| member.identity.id == id)
}

/// Makes one health check and tells how it ended.
async fn check(probed: Recipient<Probed>, check: Check) {
    let Check { service, backend, url } = check;
    let client = awc::Client::builder().disable_redirects().finish();
    let request = client.get(url).insert_header((PROBE_HEADER, "1"));
    let answer = request.timeout(Duration::from_millis(PROBE_MS)).send().await;
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
    probed.do_send(Probed { service, backend, probe, is_draining });
}
