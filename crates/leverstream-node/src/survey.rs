use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;

use futures_util::StreamExt;
use leverstream_health::{BackendHealth, Standing};
use leverstream_member::{Member, MemberState};

use crate::control::Control;
use crate::peers;
use crate::reports::{BackendReport, HealthReport, InForce, MemberReport, StatusReport};
use crate::service::Service;

/// How many VMs are asked at once for the versions they hold.
const ASKED_AT_ONCE: usize = 64;

/// Puts the state of the fleet together, asking the members which versions they hold.
pub fn status(control: &Control) -> impl Future<Output = StatusReport> + use<> {
    let now_ms = control.proxy.now_ms();
    let me = control.swim.me().identity.id;
    let mut report = StatusReport {
        vm: control.settings.vm.clone(),
        id: format!("{me:016x}"),
        members: control.members.list.iter().map(member_report).collect(),
        services: BTreeMap::new(),
        news_age_ms: control.news_age_ms(now_ms),
        is_isolated: control.swim.is_isolated(),
        is_stopping: control.leaving_since_ms.is_some(),
    };
    for doc in control.book.docs().values().filter(|doc| !doc.removed) {
        let in_force = InForce {
            version: doc.version,
            vms_with_it: 1,
            vms_asked: 1,
            taken_over: doc.row.taken_over,
        };
        report.services.insert(doc.service.clone(), in_force);
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
        let asked = futures_util::stream::iter(others)
            .map(|peer| {
                let channels = channels.clone();
                async move { peers::versions(&channels, peer).await }
            })
            .buffer_unordered(ASKED_AT_ONCE);
        let answers: Vec<_> = asked.collect().await;
        for versions in answers.into_iter().flatten() {
            for in_force in report.services.values_mut() {
                in_force.vms_asked += 1;
            }
            for held in versions {
                let Some(in_force) = report.services.get_mut(&held.service) else { continue };
                if held.version > in_force.version {
                    *in_force =
                        InForce { version: held.version, vms_with_it: 0, ..in_force.clone() };
                }
                in_force.vms_with_it += usize::from(held.version == in_force.version);
            }
        }
        report
    }
}

/// Describes a member.
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

/// Describes the health of a service's backend servers.
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
            let (own, others) = in_flight(index);
            BackendReport {
                is_leaving: row.leaving,
                eject_score: service.doc.row.eject_score,
                in_flight: own,
                others_in_flight: others,
                ..backend_report(&health, now_ms)
            }
        })
        .collect();
    HealthReport {
        service: service.doc.service.clone(),
        capacity: service.health.capacity(now_ms),
        floor: f64::from(service.doc.row.floor_percent) / 100.0,
        queued: service.live.queued(),
        backends,
    }
}

/// Describes a backend server's health.
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
