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

use crate::answer::refuse;
use crate::{Proxy, ServiceView, VmView};

/// A stem made by another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldStem {
    /// The stem.
    pub stem: Stem,
    /// How long it holds from when it was fetched.
    pub holds_ms: u64,
    /// When it was fetched, on the local clock.
    pub fetched_ms: u64,
}

/// Asks the control thread to fetch stems of other VMs.
pub struct StemRequest {
    /// The VMs.
    pub vms: Vec<VmView>,
    /// Told when the fetches have ended, well or not.
    pub done: oneshot::Sender<()>,
}

/// Asks the control thread to serve a service here although this VM is not of its set.
pub struct ServeRequest {
    /// The service.
    pub service: String,
    /// Told when it is served, or cannot be.
    pub done: oneshot::Sender<()>,
}

/// What a caller may say when it asks.
#[derive(Debug, Deserialize)]
pub(crate) struct AskQuery {
    /// The hall that the caller is nearest to.
    hall: Option<String>,
}

/// Answers where to connect for a service.
pub(crate) async fn ask(
    proxy: Data<Proxy>,
    service: Path<String>,
    query: Query<AskQuery>,
) -> HttpResponse {
    proxy.metrics.asks.inc();
    let view = proxy.snapshot.load().service(&service);
    let Some(view) = view else {
        proxy.metrics.refuse(Kind::ServiceUnknown);
        return refuse(Kind::ServiceUnknown);
    };
    if !view.doc.row.taken_over {
        return HttpResponse::Ok().json(scripts(&proxy, &view));
    }
    let entries = entries(&proxy, &view, query.hall.as_deref()).await;
    if entries.is_empty() {
        proxy.metrics.refuse(Kind::NoBackend);
        return refuse(Kind::NoBackend);
    }
    HttpResponse::Ok().json(ConnectAnswer {
        service: view.doc.service.clone(),
        addresses: entries,
        holds_ms: proxy.settings.answer_holds_ms,
        taken_over: true,
    })
}

/// The answer for a service that the scripts still serve.
fn scripts(proxy: &Proxy, view: &ServiceView) -> ConnectAnswer {
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

/// The service's VMs that take callers and have given a stem, nearest first.
///
/// Within a hall chance decides the order, which spreads the callers.
async fn entries(proxy: &Proxy, view: &ServiceView, hall: Option<&str>) -> Vec<ConnectAddress> {
    let me = proxy.snapshot.load().me.clone();
    let mut vms: Vec<VmView> = view.entry.iter().filter(|vm| vm.takes_callers).cloned().collect();
    let hall = hall.unwrap_or(&me.hall);
    vms.shuffle(&mut rand::rng());
    vms.sort_by_key(|vm| vm.hall != hall);
    fetch_missing(proxy, &vms, me.id).await;
    vms.iter().filter_map(|vm| entry(proxy, vm, me.id)).collect()
}

/// Has the control thread fetch the stems that are not at hand.
async fn fetch_missing(proxy: &Proxy, vms: &[VmView], me: u64) {
    let now_ms = proxy.now_ms();
    let missing: Vec<VmView> = {
        let stems = proxy.stems.lock();
        let is_fresh = |vm: &&VmView| {
            let stem = stems.get(&vm.id);
            stem.is_some_and(|stem| now_ms - stem.fetched_ms < proxy.settings.answer_holds_ms / 2)
        };
        vms.iter().filter(|vm| vm.id != me && !is_fresh(vm)).cloned().collect()
    };
    if missing.is_empty() {
        return;
    }
    let (done, fetched) = oneshot::channel();
    if proxy.stem_requests.send(StemRequest { vms: missing, done }).await.is_ok() {
        let _ = fetched.await;
    }
}

/// An entry of the answer with a ticket of its own, if the VM's stem is at hand.
fn entry(proxy: &Proxy, vm: &VmView, me: u64) -> Option<ConnectAddress> {
    let now_ms = proxy.now_ms();
    let (stem, holds_ms) = if vm.id == me {
        (proxy.mint.stem(now_ms), proxy.mint.ttl_ms())
    } else {
        let held = *proxy.stems.lock().get(&vm.id)?;
        let age_ms = now_ms.saturating_sub(held.fetched_ms);
        (held.stem, held.holds_ms.checked_sub(age_ms).filter(|left_ms| *left_ms > 0)?)
    };
    let ticket = Ticket { stem, nonce: rand::rng().random() };
    Some(ConnectAddress {
        address: vm.caller_address,
        hall: vm.hall.clone(),
        ticket: Some(ticket.to_string()),
        ticket_holds_ms: Some(holds_ms),
    })
}
