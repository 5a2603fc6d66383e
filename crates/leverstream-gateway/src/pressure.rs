//! Reports between entry VMs on services for which requests wait, and the admission by rank that
//! rests on them.

use std::rc::Rc;
use std::time::Duration;

use leverstream_admission::{Level, PressureReport, Rank, RankRate, RefusedBy};
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, Packet, ServicePressure};
use rand::Rng;
use tracing::info;

use crate::gateway::Inner;
use crate::overload;
use crate::slot::{Refusal, SlotRequest};

/// The interval at which the admission level is computed, and reported while requests wait.
const REPORT_INTERVAL_MS: u64 = 100;

/// Services in one datagram; each takes up to 150 bytes.
const SERVICES_PER_DATAGRAM: usize = 5;

/// Computes the admission levels and reports to the other entry VMs for as long as the process
/// runs.
pub(crate) async fn report(inner: Rc<Inner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        let due = refresh(&inner, inner.now_ms());
        if !inner.mesh.takes_callers() {
            continue;
        }
        for chunk in due.chunks(SERVICES_PER_DATAGRAM) {
            let body = peer::Pressure { reporter: inner.mesh.id(), services: chunk.to_vec() };
            let packet = Packet { body: Some(Body::Pressure(body)), ..Packet::default() };
            inner.mesh.send(&inner.meters, &packet, &inner.mesh.entry_peer_addresses());
        }
    }
}

/// Computes the admission level of each service anew, and returns the reports that are due.
fn refresh(inner: &Inner, now_ms: u64) -> Vec<ServicePressure> {
    let mut services = inner.services.borrow_mut();
    let mut due = Vec::new();
    for (service, state) in services.iter_mut() {
        // Requests that wait because backend servers are in doubt say nothing about slots.
        let waiting = if inner.serves_by_rank() { state.grant_rate.waiting() } else { 0 };
        let is_overloaded =
            waiting > 0 && overload::load(inner, service, state, now_ms).is_overloaded;
        let waiting = if is_overloaded { waiting } else { 0 };
        inner.meters.set_waiting(service, &state.wait_queue.count_by_rank());
        if let Some(level) = state.pressure.refresh(waiting, now_ms) {
            log_level(service, level, waiting);
            inner.meters.set_level(service, level);
        }
        due.extend(state.pressure.report(waiting, now_ms).map(|report| encode(service, &report)));
    }
    due
}

/// Logs an admission level.
fn log_level(service: &str, level: &Level, waiting: usize) {
    let limited = level.first_limited();
    let rank = limited.map(|(rank, _)| rank.0);
    let share = limited.map_or(1.0, |(_, share)| (share * 100.0).round() / 100.0);
    info!(service, rank, share, waiting, "admission level");
}

/// Applies another VM's report. Those of VMs that do not take callers are dropped.
pub(crate) fn receive(inner: &Inner, message: &peer::Pressure, now_ms: u64) {
    let Some(catalog) = inner.catalog().filter(|_| inner.serves_by_rank()) else { return };
    if !inner.mesh.entry_set.contains(message.reporter) {
        return;
    }
    let mut services = inner.services.borrow_mut();
    for report in &message.services {
        if catalog.services.contains_key(&report.service) {
            let state = services.entry(report.service.clone()).or_default();
            state.pressure.apply_report(message.reporter, decode(report), now_ms);
        }
    }
}

/// Counts the arrival of a request, and refuses it if the admission level does not admit its rank.
pub(crate) fn admit(inner: &Inner, request: &SlotRequest<'_>) -> Result<(), Refusal> {
    if !inner.serves_by_rank() {
        return Ok(());
    }
    let now_ms = inner.now_ms();
    let rank = request.rank.demand_rank();
    note_arrival(inner, request, now_ms);
    let sample = rand::rng().random();
    let is_admitted = inner.services.borrow().get(request.service).is_none_or(|state| {
        let waiting = state.grant_rate.waiting();
        state.pressure.admits(rank, sample, now_ms)
            || state.pressure.is_wait_short(&request.bounds, waiting, now_ms)
    });
    if !is_admitted {
        return Err(RefusedBy::Level.into());
    }
    note_queued(inner, request, now_ms);
    Ok(())
}

/// Counts a repeat of a request, which needs a slot like an arrival and is not refused by the
/// admission level.
pub(crate) fn note_repeat(inner: &Inner, request: &SlotRequest<'_>) {
    if inner.serves_by_rank() {
        let now_ms = inner.now_ms();
        note_arrival(inner, request, now_ms);
        note_queued(inner, request, now_ms);
    }
}

/// Counts a request for a slot in the demand of all VMs.
fn note_arrival(inner: &Inner, request: &SlotRequest<'_>, now_ms: u64) {
    let mut services = inner.services.borrow_mut();
    let state = services.entry(request.service.to_owned()).or_default();
    state.pressure.note_arrival(request.rank.demand_rank(), now_ms);
}

/// Counts a request that may wait at this VM.
fn note_queued(inner: &Inner, request: &SlotRequest<'_>, now_ms: u64) {
    let mut services = inner.services.borrow_mut();
    let state = services.entry(request.service.to_owned()).or_default();
    state.queued.note_arrival(request.rank.demand_rank(), now_ms);
    if request.is_repeatable {
        state.queued_repeatable.note_arrival(request.rank.demand_rank(), now_ms);
    }
}

/// Counts a slot that a request was granted.
pub(crate) fn note_grant(inner: &Inner, service: &str, now_ms: u64) {
    if !inner.serves_by_rank() {
        return;
    }
    if let Some(state) = inner.services.borrow_mut().get_mut(service) {
        state.pressure.note_grant(now_ms);
        state.grant_rate.note_grant(now_ms);
    }
}

/// Encodes a report for a datagram.
fn encode(service: &str, report: &PressureReport) -> ServicePressure {
    let rate = |rate: &RankRate| peer::RankRate { rank: rate.rank.0, per_s: rate.per_s as f32 };
    ServicePressure {
        service: service.to_owned(),
        demand: report.demand.iter().map(rate).collect(),
        served_per_s: report.granted_per_s as f32,
        waiting: report.waiting,
    }
}

/// Decodes a report from a datagram.
fn decode(message: &ServicePressure) -> PressureReport {
    let rate = |rate: &peer::RankRate| RankRate { rank: Rank(rate.rank), per_s: rate.per_s.into() };
    PressureReport {
        demand: message.demand.iter().map(rate).collect(),
        granted_per_s: message.served_per_s.into(),
        waiting: message.waiting,
    }
}
