//! Tells callers where to connect, and issues the tickets for requests that must run at most once.

use std::net::SocketAddr;

use actix_web::HttpResponse;
use actix_web::web::{Data, Path, Query};
use leverstream_ask::{ConnectAddress, ConnectAnswer};
use leverstream_error::Kind;
use leverstream_ticket::{Stem, Ticket};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::answer::error_response;
use crate::{Proxy, ServiceView, VmView};

/// A cached ticket stem that another VM issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedStem {
    /// The ticket stem.
    pub stem: Stem,
    /// How long it is valid after it was fetched.
    pub ttl_ms: u64,
    /// When it was fetched, on the local clock.
    pub fetched_ms: u64,
}

/// Asks the control thread to fetch the ticket stems of other VMs.
pub struct StemRequest {
    /// The VMs whose stems are missing.
    pub vms: Vec<VmView>,
    /// Signals that all fetches have ended, successfully or not.
    pub done: oneshot::Sender<()>,
}

/// Asks the control thread to serve a service on this VM although it is not in the entry set.
pub struct ServeRequest {
    /// The name of the service.
    pub service: String,
    /// Signals that the service is served, or cannot be.
    pub done: oneshot::Sender<()>,
}

/// The query parameters of a caller that asks where to connect.
#[derive(Debug, Deserialize)]
pub(crate) struct AskQuery {
    /// The data hall nearest to the caller.
    hall: Option<String>,
}

/// Answers where callers of a service connect.
pub(crate) async fn ask(
    proxy: Data<Proxy>,
    service: Path<String>,
    query: Query<AskQuery>,
) -> HttpResponse {
    proxy.metrics.asks.inc();
    let view = proxy.snapshot.load().service(&service);
    let Some(view) = view else {
        proxy.metrics.count_refusal(Kind::ServiceUnknown);
        return error_response(Kind::ServiceUnknown);
    };
    if !view.doc.row.taken_over {
        return HttpResponse::Ok().json(script_answer(&proxy, &view));
    }
    let entries = entries(&proxy, &view, query.hall.as_deref()).await;
    if entries.is_empty() {
        proxy.metrics.count_refusal(Kind::NoBackend);
        return error_response(Kind::NoBackend);
    }
    HttpResponse::Ok().json(ConnectAnswer {
        service: view.doc.service.clone(),
        addresses: entries,
        holds_ms: proxy.settings.answer_holds_ms,
        taken_over: true,
    })
}

/// The answer for a service that is not taken over yet: the addresses of the scripts that still
/// serve it, without tickets.
fn script_answer(proxy: &Proxy, view: &ServiceView) -> ConnectAnswer {
    let entry = |address: SocketAddr| ConnectAddress {
        address,
        hall: String::new(),
        ticket: None,
        ticket_holds_ms: None,
    };
    ConnectAnswer {
        service: view.doc.service.clone(),
        addresses: view.doc.row.script_addresses.iter().map(|address| entry(address.0)).collect(),
        holds_ms: proxy.settings.answer_holds_ms,
        taken_over: false,
    }
}

/// The entry VMs that accept callers and whose ticket stem is known, nearest hall first.
///
/// The order within a hall is random, which spreads the callers.
async fn entries(proxy: &Proxy, view: &ServiceView, hall: Option<&str>) -> Vec<ConnectAddress> {
    let own_vm = proxy.snapshot.load().own_vm.clone();
    let mut vms: Vec<VmView> =
        view.entry_vms.iter().filter(|vm| vm.takes_callers).cloned().collect();
    let hall = hall.unwrap_or(&own_vm.hall);
    vms.shuffle(&mut rand::rng());
    vms.sort_by_key(|vm| vm.hall != hall);
    fetch_missing_stems(proxy, &vms, own_vm.id).await;
    vms.iter().filter_map(|vm| entry(proxy, vm, own_vm.id)).collect()
}

/// Has the control thread fetch the stems that are missing or too old.
///
/// A stem is too old after half the time for which callers may cache an answer.
async fn fetch_missing_stems(proxy: &Proxy, vms: &[VmView], own_id: u64) {
    let now_ms = proxy.now_ms();
    let missing: Vec<VmView> = {
        let stems = proxy.stems.lock();
        let is_fresh = |vm: &&VmView| {
            let stem = stems.get(&vm.id);
            stem.is_some_and(|stem| now_ms - stem.fetched_ms < proxy.settings.answer_holds_ms / 2)
        };
        vms.iter().filter(|vm| vm.id != own_id && !is_fresh(vm)).cloned().collect()
    };
    if missing.is_empty() {
        return;
    }
    let (done, fetched) = oneshot::channel();
    if proxy.stem_requests.send(StemRequest { vms: missing, done }).await.is_ok() {
        let _ = fetched.await;
    }
}

/// The answer's entry for a VM, with a new ticket, if the stem of the VM is known.
fn entry(proxy: &Proxy, vm: &VmView, own_id: u64) -> Option<ConnectAddress> {
    let now_ms = proxy.now_ms();
    let (stem, ttl_ms) = if vm.id == own_id {
        (proxy.ticket_issuer.stem(now_ms), proxy.ticket_issuer.ttl_ms())
    } else {
        let cached = *proxy.stems.lock().get(&vm.id)?;
        let age_ms = now_ms.saturating_sub(cached.fetched_ms);
        (cached.stem, cached.ttl_ms.checked_sub(age_ms).filter(|left_ms| *left_ms > 0)?)
    };
    let ticket = Ticket { stem, nonce: rand::rng().random() };
    Some(ConnectAddress {
        address: vm.caller_address,
        hall: vm.hall.clone(),
        ticket: Some(ticket.to_string()),
        ticket_holds_ms: Some(ttl_ms),
    })
}
