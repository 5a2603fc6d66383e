//! Requests with an idempotency key run at most once, despite lost answers, paused or killed VMs, network cuts and forged
//! tickets.

use std::net::SocketAddr;

use leverstream_caller::ConnectAddress;
use leverstream_standin::backend::Mode;
use leverstream_standin::platform::Faults as PlatformFaults;
use leverstream_standin::relay::{Fault, Faults, Relay};
use leverstream_tests::{Backend, Daemon, DaemonOptions, Fleet, Process, Request, until};
use rustix::process::Signal;
use serde_json::json;
use tokio::net::TcpStream;

/// A fleet, usually of three VMs, in front of one backend server.
struct Fixture {
    /// The VMs and their platform.
    fleet: Fleet,
    /// The backend server of the service `port`.
    backend: Backend,
}

impl Fixture {
    /// Starts three VMs and a backend server, and adds the service.
    async fn start() -> Fixture {
        let fleet = Fleet::start(&["a", "b", "c"]).await;
        let backend = Backend::start("b1", 4);
        let fixture = Fixture { fleet, backend };
        fixture.add_service().await;
        fixture
    }

    /// Adds the service `port` to the table.
    async fn add_service(&self) {
        let row = json!({ "taken_over": true, "repeatable": ["GET /*"], "deadline_ms": 3_000 });
        self.fleet.add_service("port", row, &[("b1", self.backend.address)]).await;
    }

    /// Asks one daemon for the address and ticket of another.
    async fn entry(&self, asked: usize, wanted: usize) -> ConnectAddress {
        let address = self.fleet.daemons[wanted].callers;
        self.entry_at(asked, address).await
    }

    /// Asks a daemon for the entry (address and ticket) of a given address.
    async fn entry_at(&self, asked: usize, address: SocketAddr) -> ConnectAddress {
        until("the daemon lists the address", || async {
            let answer = self.fleet.daemons[asked].caller("port").ask().await.ok()?;
            answer.addresses.into_iter().find(|entry| entry.address == address)
        })
        .await
    }
}

/// Waits until a daemon answers `home-gone` to a request; until then it must report the outcome as unknown.
async fn until_gone(request: &Request, daemon: &Daemon) {
    until("the daemon knows that the home is gone", || async {
        let answer = request.clone().with_address(daemon.callers).must_send().await;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
        (answer.error == "home-gone").then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_retry_at_any_vm_replays_the_answer_of_the_single_run() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(0, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let first = request.must_send().await;
    assert_eq!((first.status, first.report().run), (200, 1));
    for daemon in &fixture.fleet.daemons {
        let again = request.clone().with_address(daemon.callers).must_send().await;
        assert!(again.is_replayed, "{again:?}");
        assert_eq!(again.body, first.body);
    }
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_retry_after_a_lost_answer_returns_that_answer() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(0, 0).await;
    let relay = Relay::spawn(entry.address).await.expect("the relay starts");
    let cut = Fault { is_blackholed: true, ..Fault::default() };
    relay.set_faults(Faults { reverse: cut, ..Faults::default() });
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let lost = request.clone().with_address(relay.address).timeout_ms(300).send().await;
    assert!(lost.is_none(), "{lost:?}");
    let again = request.with_address(fixture.fleet.daemons[1].callers).must_send().await;
    assert_eq!((again.status, again.report().run), (200, 1));
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn concurrent_sends_under_one_key_run_once_and_get_the_same_answer() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(0, 0).await;
    fixture.backend.set_mode(&Mode { work_ms: 100, ..Mode::default() }).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let sends = fixture.fleet.daemons.iter().cycle().take(9).map(|daemon| {
        let request = request.clone().with_address(daemon.callers);
        async move { request.must_send().await }
    });
    let answers = futures_util::future::join_all(sends).await;
    assert!(answers.iter().all(|answer| answer.body == answers[0].body), "{answers:?}");
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_reused_key_with_another_body_is_refused_and_not_run() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(0, 0).await;
    Request::keyed(&entry, "port", "order-1", "subscriber 7").must_send().await;
    let other = Request::keyed(&entry, "port", "order-1", "subscriber 8").must_send().await;
    assert_eq!((other.status, other.error.as_str()), (422, "key-reused"));
    assert_eq!(other.outcome, "not-run");
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn only_the_paused_home_runs_the_request_and_does_so_once() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(1, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    fixture.fleet.daemons[0].process.pause().await;
    let early = request.clone().with_address(fixture.fleet.daemons[1].callers).must_send().await;
    assert_eq!(early.outcome, "unknown", "{early:?}");
    assert_eq!(fixture.backend.runs_of("order-1").await, 0);
    until("the other VMs consider the paused VM dead", || async {
        let status = fixture.fleet.daemons[1].status().await;
        (status.members.len() == 2).then_some(())
    })
    .await;
    fixture.fleet.daemons[0].process.signal(Signal::CONT);
    fixture.fleet.wait_until_all_alive().await;
    let late = request.with_address(fixture.fleet.daemons[2].callers).must_send().await;
    assert_eq!(late.report().run, 1, "{late:?}");
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_home_killed_during_a_request_leaves_the_outcome_unknown_and_at_most_one_run() {
    let mut fixture = Fixture::start().await;
    let entry = fixture.entry(1, 0).await;
    fixture.backend.set_mode(&Mode { stall_share: 1.0, ..Mode::default() }).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let sent = request.clone().with_address(fixture.fleet.daemons[1].callers);
    let waiting = actix_rt::spawn(async move { sent.send().await });
    until("the backend server has started the request", || async {
        (fixture.backend.runs_of("order-1").await == 1).then_some(())
    })
    .await;
    fixture.fleet.daemons[0].process.kill();
    let answer = waiting.await.expect("the task ends").expect("an answer arrives");
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    for daemon in &fixture.fleet.daemons[1..] {
        let again = request.clone().with_address(daemon.callers).must_send().await;
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_new_process_at_the_homes_address_does_not_run_the_old_homes_requests() {
    let mut fixture = Fixture::start().await;
    let entry = fixture.entry(1, 0).await;
    let old = &mut fixture.fleet.daemons[0];
    let (peers, callers) = (old.peers, old.callers);
    old.process.kill();
    let mut options = DaemonOptions::new("a", fixture.fleet.platform.address);
    options.peers_listen = peers;
    fixture.fleet.daemons[0] = fixture.fleet.start_daemon(&options);
    fixture.fleet.wait_until_all_alive().await;
    fixture.fleet.wait_in_force("port", 1).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    assert_ne!(callers, fixture.fleet.daemons[0].callers);
    for daemon in &fixture.fleet.daemons {
        // A VM that has not yet learned of the old process's end reports that the home cannot be reached.
        until_gone(&request, daemon).await;
    }
    assert_eq!(fixture.backend.runs_of("order-1").await, 0);
}

#[actix_rt::test]
async fn an_answer_of_another_process_at_a_dead_homes_address_is_not_accepted() {
    let mut fixture = Fixture::start().await;
    let entry = fixture.entry(1, 0).await;
    let home = &mut fixture.fleet.daemons[0];
    let callers = home.callers;
    home.process.kill();
    let args = ["backend", "--listen", &callers.to_string()];
    let _other = Process::start("standin", &args, false);
    until("the other process accepts connections", || async {
        TcpStream::connect(callers).await.ok()
    })
    .await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    for daemon in &fixture.fleet.daemons[1..] {
        until_gone(&request, daemon).await;
    }
    assert_eq!(fixture.backend.runs_of("order-1").await, 0);
}

#[actix_rt::test]
async fn a_retry_after_a_one_way_cut_before_the_home_returns_the_real_answer() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(1, 0).await;
    let home = fixture.fleet.daemons[0].callers;
    for (key, faults) in [
        ("forward", Faults { forward: cut(), ..Faults::default() }),
        ("back", Faults { reverse: cut(), ..Faults::default() }),
    ] {
        let relay = Relay::spawn(home).await.expect("the relay starts");
        relay.set_faults(faults);
        let request = Request::keyed(&entry, "port", key, "subscriber 7");
        let lost = request.clone().with_address(relay.address).timeout_ms(300).send().await;
        assert!(lost.is_none(), "{lost:?}");
        let answer = request.with_address(fixture.fleet.daemons[1].callers).must_send().await;
        assert_eq!(answer.report().run, 1, "{key}: {answer:?}");
        assert_eq!(fixture.backend.runs_of(key).await, 1);
    }
}

/// Drops everything in one direction.
fn cut() -> Fault {
    Fault { is_blackholed: true, ..Fault::default() }
}

#[actix_rt::test]
async fn the_outcome_at_a_home_behind_a_one_way_cut_is_unknown_until_the_cut_heals() {
    let mut fleet = Fleet::empty();
    let platform = fleet.platform.address;
    // The home advertises the relay, whose target is set once the home has chosen its port.
    let relay = Relay::spawn_without_target().await.expect("the relay starts");
    let mut home = DaemonOptions::new("a", platform);
    home.callers_advertise = Some(relay.address);
    let home = fleet.add(&home);
    relay.set_target(fleet.daemons[home].callers);
    fleet.add(&DaemonOptions::new("b", platform));
    fleet.list_daemons().await;
    fleet.wait_until_all_alive().await;
    let backend = Backend::start("b1", 4);
    let fixture = Fixture { fleet, backend };
    fixture.add_service().await;
    let entry = fixture.entry_at(1, relay.address).await;
    relay.set_faults(Faults { reverse: cut(), ..Faults::default() });
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let request = request.with_address(fixture.fleet.daemons[1].callers);
    let early = request.must_send().await;
    assert_eq!(early.outcome, "unknown", "{early:?}");
    relay.set_faults(Faults::default());
    let late = request.must_send().await;
    assert_eq!((late.status, late.report().run), (200, 1));
    assert!(late.is_replayed);
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn forged_altered_and_future_tickets_are_refused_and_run_nothing() {
    let fixture = Fixture::start().await;
    let entry = fixture.entry(0, 0).await;
    let ticket = entry.ticket.clone().expect("a ticket");
    // Characters 11 to 21 hold the time at which the ticket was issued.
    let mut altered = ticket.clone().into_bytes();
    altered[15] = if altered[15] == b'A' { b'B' } else { b'A' };
    let altered = String::from_utf8(altered).expect("the ticket is text");
    let cases = [("", "bad"), ("AAAA", "bad"), (altered.as_str(), "altered")];
    for (forged, what) in cases {
        let entry = ConnectAddress { ticket: Some(forged.to_owned()), ..entry.clone() };
        let answer = Request::keyed(&entry, "port", "order-1", "x").must_send().await;
        assert_eq!(
            (answer.error.as_str(), answer.outcome.as_str()),
            ("ticket-invalid", "not-run"),
            "{what}"
        );
    }
    assert_eq!(fixture.backend.runs_of("order-1").await, 0);
    assert_eq!(fixture.backend.counts().await.started, 0);
}

#[actix_rt::test]
async fn an_expired_ticket_is_refused_and_its_request_is_not_run_again() {
    let mut fleet = Fleet::empty();
    let mut options = DaemonOptions::new("a", fleet.platform.address);
    (options.ticket_ttl_ms, options.answer_holds_ms) = (700, 200);
    fleet.add(&options);
    fleet.list_daemons().await;
    let fixture = Fixture { fleet, backend: Backend::start("b1", 4) };
    fixture.add_service().await;
    let entry = fixture.entry(0, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    assert_eq!(request.must_send().await.status, 200);
    let expired = until("the ticket expires", || async {
        let answer = request.must_send().await;
        (answer.error == "ticket-expired").then_some(answer)
    })
    .await;
    assert_eq!((expired.status, expired.outcome.as_str()), (410, "unknown"));
    assert_eq!(fixture.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn tickets_stay_valid_while_the_platform_is_unavailable() {
    let fixture = Fixture::start().await;
    fixture
        .fleet
        .platform
        .set_faults(&PlatformFaults { away: true, ..PlatformFaults::default() })
        .await;
    for home in 0..3 {
        let entry = fixture.entry(1, home).await;
        let key = format!("order-{home}");
        for daemon in &fixture.fleet.daemons {
            let request = Request::keyed(&entry, "port", &key, "x").with_address(daemon.callers);
            assert_eq!(request.must_send().await.report().run, 1);
        }
        assert_eq!(fixture.backend.runs_of(&key).await, 1);
    }
}

#[actix_rt::test]
async fn the_service_row_decides_whether_requests_without_a_ticket_run() {
    let fixture = Fixture::start().await;
    let address = fixture.fleet.daemons[0].callers;
    let bare = Request::new(address, "port", awc::http::Method::POST, "/orders");
    let refused = bare.must_send().await;
    assert_eq!((refused.status, refused.error.as_str()), (428, "ticket-missing"));
    let single = leverstream_tests::change("port.unkeyed", json!("single"));
    let version = fixture.fleet.daemons[0].must_edit(&[single]).await;
    fixture.fleet.wait_in_force("port", version).await;
    let ran = until("the edit applies to requests", || async {
        let answer = bare.must_send().await;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(ran.report().run, 1);
    assert_eq!(fixture.backend.counts().await.started, 1);
}

#[actix_rt::test]
async fn a_home_paused_past_ticket_expiry_refuses_the_ticket_and_runs_nothing() {
    const TTL_MS: u64 = 1_500;
    let fleet = Fleet::start_with(&["a", "b", "c"], |options| options.ticket_ttl_ms = TTL_MS).await;
    let fixture = Fixture { fleet, backend: Backend::start("b1", 4) };
    fixture.add_service().await;
    let entry = fixture.entry(1, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let issued_at = std::time::Instant::now();
    // The request reaches the home's socket during the pause and is read after it.
    fixture.fleet.daemons[0].process.pause().await;
    let waiting = request.clone().timeout_ms(20_000);
    let waiting = actix_rt::spawn(async move { waiting.send().await });
    until("the ticket has expired", || async {
        (issued_at.elapsed().as_millis() > u128::from(2 * TTL_MS)).then_some(())
    })
    .await;
    fixture.fleet.daemons[0].process.signal(Signal::CONT);
    let late = waiting.await.expect("the task ends").expect("an answer arrives");
    assert_eq!((late.error.as_str(), late.outcome.as_str()), ("ticket-expired", "unknown"));
    fixture.fleet.wait_until_all_alive().await;
    for daemon in &fixture.fleet.daemons {
        let answer = request.clone().with_address(daemon.callers).must_send().await;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
    }
    assert_eq!(fixture.backend.runs_of("order-1").await, 0);
}

#[actix_rt::test]
async fn a_rate_limited_request_with_a_ticket_may_be_retried_under_its_key() {
    let fixture = Fixture::start().await;
    let rate = leverstream_tests::change("port.rate_per_s", json!(1));
    let version = fixture.fleet.daemons[0].must_edit(&[rate]).await;
    fixture.fleet.wait_in_force("port", version).await;
    let entry = fixture.entry(0, 0).await;
    let order = |key: &str| Request::keyed(&entry, "port", key, "x");
    let answers = ["order-1", "order-2", "order-3"].map(order);
    let sent = futures_util::future::join_all(answers.iter().map(Request::must_send)).await;
    let limited: Vec<_> = sent.iter().filter(|answer| answer.error == "rate-limited").collect();
    assert!(!limited.is_empty() && limited.iter().all(|answer| answer.outcome == "not-run"));
    for (key, request) in ["order-1", "order-2", "order-3"].into_iter().zip(&answers) {
        until("the rate limit admits the request", || async {
            (request.must_send().await.status == 200).then_some(())
        })
        .await;
        assert_eq!(fixture.backend.runs_of(key).await, 1);
    }
}
