//! Gray failures of backend servers behind real daemons: stalls, false health checks and crashes.

use awc::http::Method;
use leverstream_standin::backend::Mode;
use leverstream_tests::{Backend, Fleet, Request, until};
use serde_json::{Value, json};

/// A fleet of three VMs in front of four backend servers that take 5 ms a request.
struct Fixture {
    /// The VMs and their platform.
    fleet: Fleet,
    /// The backend servers `b1` to `b4`, in this order.
    backends: Vec<Backend>,
}

impl Fixture {
    /// Starts the processes, adds the service with `more` columns, and sends 300 requests as a warm-up.
    async fn start(more: &Value) -> Fixture {
        let fleet = Fleet::start(&["a", "b", "c"]).await;
        let names = ["b1", "b2", "b3", "b4"];
        let backends: Vec<Backend> = names.iter().map(|name| Backend::start(name, 4)).collect();
        for backend in &backends {
            backend.set_mode(&Mode { work_ms: 5, ..Mode::default() }).await;
        }
        let mut row = json!({
            "taken_over": true, "entry_vms": 3, "deadline_ms": 5_000, "holdoff_ms": 1_000,
            "ramp_ms": 500, "floor_percent": 50, "queue": 1_000,
        });
        for (column, value) in more.as_object().into_iter().flatten() {
            row[column] = value.clone();
        }
        let rows: Vec<_> =
            names.iter().zip(&backends).map(|(name, backend)| (*name, backend.address)).collect();
        fleet.add_service("shop", row, &rows).await;
        let fixture = Fixture { fleet, backends };
        fixture.send_requests(300).await;
        fixture
    }

    /// Sends requests to all VMs, six at a time, and returns how many failed.
    async fn send_requests(&self, count: usize) -> usize {
        let requests = (0..count).map(|index| {
            let daemon = &self.fleet.daemons[index % self.fleet.daemons.len()];
            let request = Request::new(daemon.callers, "shop", Method::GET, "/games/7");
            async move { request.must_send().await.status }
        });
        let stream = futures_util::stream::iter(requests);
        let statuses: Vec<u16> =
            futures_util::StreamExt::collect(futures_util::StreamExt::buffer_unordered(stream, 6))
                .await;
        statuses.iter().filter(|status| **status != 200).count()
    }

    /// Health reports of all VMs on a backend server.
    async fn health_reports(&self, name: &str) -> Vec<String> {
        let mut reports = Vec::new();
        for daemon in &self.fleet.daemons {
            let Some(report) = daemon.health("shop").await else { continue };
            let matching = report.backends.iter().filter(|backend| backend.backend == name);
            reports.extend(matching.map(|backend| format!("{backend:?}")));
        }
        reports
    }

    /// The number of VMs at which a backend server is ejected or on trial. Checks the capacity floor too.
    async fn ejected_vm_count(&self, name: &str) -> usize {
        let mut out = 0;
        for daemon in &self.fleet.daemons {
            let Some(report) = daemon.health("shop").await else { continue };
            assert!(report.capacity >= report.floor, "{report:?}");
            let is_out = |standing: &str| matches!(standing, "ejected" | "trial");
            out +=
                report.backends.iter().filter(|b| b.backend == name && is_out(&b.standing)).count();
        }
        out
    }
}

#[actix_rt::test]
async fn a_stalled_backend_server_is_ejected_by_all_vms_and_returns_after_trials() {
    let fixture = Fixture::start(&json!({})).await;
    let stalled = Mode { work_ms: 5, stall_share: 1.0, ..Mode::default() };
    fixture.backends[0].set_mode(&stalled).await;
    let mut wrongly_ejected = 0;
    until("all VMs have ejected the backend server", || async {
        let failed = fixture.send_requests(60).await;
        assert_eq!(failed, 0, "no caller sees the stall");
        (fixture.ejected_vm_count("b1").await == 3).then_some(())
    })
    .await;
    for other in ["b2", "b3", "b4"] {
        wrongly_ejected += fixture.ejected_vm_count(other).await;
    }
    assert_eq!(wrongly_ejected, 0, "healthy backend servers were ejected");
    fixture.backends[0].set_mode(&Mode { work_ms: 5, ..Mode::default() }).await;
    until("the backend server is back in service at all VMs", || async {
        fixture.send_requests(60).await;
        (fixture.ejected_vm_count("b1").await == 0).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn failing_health_checks_alone_eject_no_backend_server() {
    let fixture =
        Fixture::start(&json!({ "probe_path": "/health", "probe_interval_ms": 100 })).await;
    for backend in &fixture.backends {
        let misreporting = Mode { work_ms: 5, healthy: false, ..Mode::default() };
        backend.set_mode(&misreporting).await;
    }
    until("each backend server was probed 20 times", || async {
        assert_eq!(fixture.send_requests(30).await, 0);
        let mut fewest_probes = u64::MAX;
        for backend in &fixture.backends {
            fewest_probes = fewest_probes.min(backend.counts().await.probes);
        }
        (fewest_probes >= 20).then_some(())
    })
    .await;
    for name in ["b1", "b2", "b3", "b4"] {
        let out = fixture.ejected_vm_count(name).await;
        assert_eq!(out, 0, "{name}: {}", fixture.health_reports(name).await.join("\n"));
    }
}

#[actix_rt::test]
async fn the_capacity_floor_holds_while_all_backend_servers_stall_and_requests_succeed_afterwards()
{
    let fixture = Fixture::start(&json!({ "deadline_ms": 400 })).await;
    for backend in &fixture.backends {
        backend.set_mode(&Mode { stall_share: 1.0, ..Mode::default() }).await;
    }
    assert!(fixture.send_requests(60).await > 0);
    for name in ["b1", "b2", "b3", "b4"] {
        fixture.ejected_vm_count(name).await;
    }
    for backend in &fixture.backends {
        backend.set_mode(&Mode { work_ms: 5, ..Mode::default() }).await;
    }
    until("all requests succeed again", || async {
        (fixture.send_requests(30).await == 0).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_crashed_backend_server_fails_no_request() {
    let mut fixture = Fixture::start(&json!({ "retry_budget_percent": 50 })).await;
    fixture.backends[0].process.kill();
    assert_eq!(fixture.send_requests(200).await, 0);
    until("all VMs have ejected the backend server", || async {
        assert_eq!(fixture.send_requests(30).await, 0);
        (fixture.ejected_vm_count("b1").await == 3).then_some(())
    })
    .await;
}
