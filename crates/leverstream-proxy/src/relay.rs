//! Relays requests to other VMs.

use actix_web::web::Data;
use leverstream_ask::SERVICE_HEADER;
use leverstream_error::Kind;
use rand::seq::SliceRandom;
use tracing::{Instrument, warn};

use crate::answer::Answer;
use crate::attempt::{ReadMode, Target, exchange, read_body, relayed_body};
use crate::headers::{RELAYED_HEADER, parse_process_id};
use crate::message::Message;
use crate::{Proxy, VmView};

/// Relays a request to its home, the one VM that may run it.
///
/// The home may have run it on an earlier arrival, so a failure here never means "not run".
pub(crate) async fn to_home(
    proxy: &Data<Proxy>,
    service: &str,
    message: &Message,
    home: &VmView,
    deadline_ms: u64,
) -> Result<Answer, Kind> {
    match forward(proxy, service, message, home, deadline_ms).await {
        Err(ForwardError::WrongProcess) if home.is_dead => Err(Kind::HomeGone),
        Err(ForwardError::WrongProcess) => Err(Kind::HomeUnreachable),
        Err(ForwardError::Failed(kind)) if kind.is_not_run() && home.is_dead => Err(Kind::HomeGone),
        Err(ForwardError::Failed(kind)) if kind.is_not_run() => Err(Kind::HomeUnreachable),
        Err(ForwardError::Failed(kind)) => Err(kind),
        Ok(answer) => Ok(answer),
    }
}

/// Relays a request to one of the VMs that serve its service, the nearest first.
///
/// Tries another VM only if the request has certainly not run or may be repeated.
pub(crate) async fn to_entry_vm(
    proxy: &Data<Proxy>,
    service: &str,
    message: &Message,
    is_repeatable: bool,
    deadline_ms: u64,
) -> Result<Answer, Kind> {
    let mut failure = Kind::NoBackend;
    for vm in entry_vms(proxy, service) {
        match forward(proxy, service, message, &vm, deadline_ms).await {
            Ok(answer) => return Ok(answer),
            Err(ForwardError::WrongProcess) => failure = failure.combined_with(Kind::AnswerInvalid),
            Err(ForwardError::Failed(kind)) => failure = failure.combined_with(kind),
        }
        let may_try_next = failure.is_not_run() || (is_repeatable && message.is_whole());
        if !may_try_next || proxy.now_ms() >= deadline_ms {
            break;
        }
    }
    Err(failure)
}

/// Why a relayed request got no answer of its VM.
enum ForwardError {
    /// Another process answers at the address of the VM.
    WrongProcess,
    /// There was no answer, or only a part of it.
    Failed(Kind),
}

/// Relays a request to a VM and checks that the expected process answers.
async fn forward(
    proxy: &Data<Proxy>,
    service: &str,
    message: &Message,
    vm: &VmView,
    deadline_ms: u64,
) -> Result<Answer, ForwardError> {
    proxy.metrics.relays.inc();
    let mut message = message.clone();
    message.set(RELAYED_HEADER, "1");
    message.set(SERVICE_HEADER, service);
    let target = Target { address: vm.caller_address, deadline_ms, may_reuse: false };
    let span = tracing::trace_span!("relay", vm = %vm.caller_address);
    let exchanged = exchange(proxy, target, message).instrument(span).await;
    let (status, mut headers, incoming) = exchanged.map_err(ForwardError::Failed)?;
    let answered_by = headers.remove(RELAYED_HEADER).next();
    if answered_by.as_ref().and_then(parse_process_id) != Some(vm.id) {
        warn!(vm = %vm.caller_address, status = status.as_u16(), "another process answers at a VM's address");
        return Err(ForwardError::WrongProcess);
    }
    let rest = relayed_body(proxy, target, incoming);
    let read = read_body(rest, &headers, ReadMode::Buffered).await;
    let body = read.map_err(|error| ForwardError::Failed(error.kind))?;
    Ok(Answer { status, headers, body })
}

/// The other VMs that serve a service and accept callers, those of this data hall first.
fn entry_vms(proxy: &Proxy, service: &str) -> Vec<VmView> {
    let snapshot = proxy.snapshot.load();
    let Some(view) = snapshot.service(service) else { return Vec::new() };
    let mut vms: Vec<VmView> = view
        .entry_vms
        .iter()
        .filter(|vm| vm.takes_callers && vm.id != snapshot.own_vm.id)
        .cloned()
        .collect();
    vms.shuffle(&mut rand::rng());
    vms.sort_by_key(|vm| vm.hall != snapshot.own_vm.hall);
    vms
}
