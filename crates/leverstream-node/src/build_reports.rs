//! Builds the status and health reports for operators.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;

use futures_util::StreamExt;
use leverstream_health::{BackendHealth, Standing};
use leverstream_member::{Member, MemberState};

use crate::control::Control;
use crate::peers;
use crate::reports::{BackendReport, HealthReport, MemberReport, StatusReport, VersionReport};
use crate::service::Service;

/// How many VMs are queried for their versions at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Collects the state of the fleet and queries the members for the versions that they have.
pub fn collect_status(control: &Control) -> impl Future<Output = StatusReport> + use<> {
    let now_ms = control.proxy.now_ms();
    let me = control.swim.me().identity.id;
    let mut report = StatusReport {
        vm: control.settings.vm.clone(),
        id: format!("{me:016x}"),
        members: control.members.list.iter().map(member_report).collect(),
        services: BTreeMap::new(),
        news_age_ms: control.news_age_ms(now_ms),
        is_isolated: control.swim.is_isolated(),
        is_stopping: control.stopping_since_ms.is_some(),
    };
    for doc in control.replica.docs().values().filter(|doc| !doc.removed) {
        let version_report = VersionReport {
            version: doc.version,
            vms_with_it: 1,
            vms_asked: 1,
            taken_over: doc.row.taken_over,
        };
        report.services.insert(doc.service.clone(), version_report);
    }
    let others: Vec<SocketAddr> = control
        .members
        .list
        .iter()
        .filter(|member| member.identity.id != me)
        .map(|member| member.identity.peer_address)
        .collect();
    let channels = control.channels.clone();
    async move {
        let queries = futures_util::stream::iter(others)
            .map(|peer| {
                let channels = channels.clone();
                async move { peers::list_versions(&channels, peer).await }
            })
            .buffer_unordered(MAX_CONCURRENT_QUERIES);
        let answers: Vec<_> = queries.collect().await;
        for versions in answers.into_iter().flatten() {
            for version_report in report.services.values_mut() {
                version_report.vms_asked += 1;
            }
            for item in versions {
                let Some(version_report) = report.services.get_mut(&item.service) else { continue };
                if item.version > version_report.version {
                    *version_report = VersionReport {
                        version: item.version,
                        vms_with_it: 0,
                        ..version_report.clone()
                    };
                }
                version_report.vms_with_it += usize::from(item.version == version_report.version);
            }
        }
        report
    }
}

/// Builds the report on a member.
fn member_report(member: &Member) -> MemberReport {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    };
    MemberReport {
        id: format!("{:016x}", member.identity.id),
        hall: member.identity.hall.clone(),
        caller_address: member.identity.caller_address,
        peer_address: member.identity.peer_address,
        state: state.to_owned(),
    }
}

/// Builds the report on the health of a service's backend servers at this VM.
pub fn health_report(service: &Service, now_ms: u64) -> HealthReport {
    let view = service.view(now_ms);
    let in_flight = |index: usize| {
        let backends = view.serving.as_ref().map(|serving| &serving.backends);
        backends.map_or((0, 0), |backends| {
            let backend = &backends[index];
            (backend.state.in_flight(), backend.others_in_flight)
        })
    };
    let backends = service
        .backends()
        .enumerate()
        .map(|(index, (key, _, row))| {
            let health = service.health.view(key, now_ms);
            let (own_in_flight, others_in_flight) = in_flight(index);
            BackendReport {
                is_leaving: row.leaving,
                eject_score: service.doc.row.eject_score,
                in_flight: own_in_flight,
                others_in_flight,
                ..backend_report(&health, now_ms)
            }
        })
        .collect();
    HealthReport {
        service: service.doc.service.clone(),
        capacity: service.health.capacity(now_ms),
        floor: f64::from(service.doc.row.floor_percent) / 100.0,
        queued: service.state.queued(),
        backends,
    }
}

/// Builds the report on a backend server's health; the caller fills in the fields of its row.
fn backend_report(health: &BackendHealth, now_ms: u64) -> BackendReport {
    let (reason, trial_in_ms) = match health.standing {
        Standing::Ejected { until_ms, reason, .. } => {
            (reason.name().to_owned(), Some(until_ms.saturating_sub(now_ms)))
        }
        _ => (String::new(), None),
    };
    BackendReport {
        backend: health.name.clone(),
        standing: health.standing.name().to_owned(),
        reason,
        trial_in_ms,
        own_score: health.own_score,
        agreed_score: health.agreed_score,
        eject_score: 0,
        slow_ms: health.slow_ms,
        good: health.count.good,
        bad: health.count.bad,
        in_flight: 0,
        others_in_flight: 0,
        is_draining: health.is_draining,
        is_leaving: false,
    }
}
