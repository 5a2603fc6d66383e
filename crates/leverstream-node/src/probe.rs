use std::collections::HashMap;
use std::time::Duration;

use actix::{Addr, AsyncContext, Context};
use leverstream_health::{BackendKey, Probe};
use leverstream_member::{Member, entry_set};
use leverstream_proxy::{DRAINING_HEADER, PROBE_HEADER, ServiceKey};

use crate::control::Control;
use crate::messages::Probed;

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

/// Starts the health checks that are due and that fall to this VM.
pub fn start(control: &mut Control, context: &Context<Control>, now_ms: u64) {
    let me = control.swim.me().identity.id;
    let mut due = Vec::new();
    for service in control.services.values() {
        let row = &service.doc.row;
        if row.probe_path.is_empty() {
            continue;
        }
        for (key, name, backend) in service.backends() {
            let next_ms = control.probes.due_ms.entry((service.key, key)).or_insert(now_ms);
            if now_ms < *next_ms {
                continue;
            }
            *next_ms = now_ms + row.probe_interval_ms;
            let known = control
                .swim
                .members()
                .filter(|member| service.entry.iter().any(|vm| vm.id == member.identity.id));
            if falls_to(me, &service.doc.service, name, known) {
                let url = format!("http://{}{}", backend.address, row.probe_path);
                due.push((service.key, key, url));
            }
        }
    }
    for (service, backend, url) in due {
        let address = context.address();
        actix_rt::spawn(check(address, service, backend, url));
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
async fn check(control: Addr<Control>, service: ServiceKey, backend: BackendKey, url: String) {
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
    control.do_send(Probed { service, backend, probe, is_draining });
}
