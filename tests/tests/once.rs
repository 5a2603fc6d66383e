//! Requests that must run at most once, under lost answers, pauses, kills, cuts and forged tickets.

use std::net::SocketAddr;

use leverstream_caller::Entry;
use leverstream_standin::backend::Mode;
use leverstream_standin::platform::Faults as PlatformFaults;
use leverstream_standin::relay::{Fault, Faults, Relay};
use leverstream_tests::{Backend, Daemon, DaemonOptions, Fleet, Process, Request, until};
use rustix::process::Signal;
use serde_json::json;
use tokio::net::TcpStream;

/// A fleet of three with one backend server, and where to connect to each of its VMs.
struct Scene {
    /// The fleet.
    fleet: Fleet,
    /// The backend server.
    backend: Backend,
}

impl Scene {
    /// Starts the scene.
    async fn start() -> Scene {
        let fleet = Fleet::start(&["a", "b", "c"]).await;
        let backend = Backend::start("b1", 4);
        let scene = Scene { fleet, backend };
        scene.add_service().await;
        scene
    }

    /// Puts the service into the table.
    async fn add_service(&self) {
        let row = json!({ "taken_over": true, "repeatable": ["GET /*"], "deadline_ms": 3_000 });
        self.fleet.add_service("port", row, &[("b1", self.backend.address)]).await;
    }

    /// Asks a daemon for the entry of another.
    async fn entry(&self, asked: usize, wanted: usize) -> Entry {
        let address = self.fleet.daemons[wanted].callers;
        self.entry_at(asked, address).await
    }

    /// Asks a daemon for the entry of an address.
    async fn entry_at(&self, asked: usize, address: SocketAddr) -> Entry {
        until("the address is told", || async {
            let answer = self.fleet.daemons[asked].caller("port").ask().await.ok()?;
            answer.addresses.into_iter().find(|entry| entry.address == address)
        })
        .await
    }
}

/// Waits until a daemon says of a request that its home is gone; until then it says that it does not know its outcome.
async fn until_gone(request: &Request, daemon: &Daemon) {
    until("the home is known to be gone", || async {
        let answer = request.clone().with_address(daemon.callers).must_send().await;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
        (answer.error == "home-gone").then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_retry_elsewhere_gets_the_answer_of_the_one_run() {
    let scene = Scene::start().await;
    let entry = scene.entry(0, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let first = request.must_send().await;
    assert_eq!((first.status, first.report().run), (200, 1));
    for daemon in &scene.fleet.daemons {
        let again = request.clone().with_address(daemon.callers).must_send().await;
        assert!(again.is_replayed, "{again:?}");
        assert_eq!(again.body, first.body);
    }
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_caller_whose_answer_was_cut_off_gets_it_by_a_retry() {
    let scene = Scene::start().await;
    let entry = scene.entry(0, 0).await;
    let relay = Relay::spawn(entry.address).await.expect("the relay starts");
    let cut = Fault { cut: true, ..Fault::default() };
    relay.set(Faults { back: cut, ..Faults::default() });
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let lost = request.clone().with_address(relay.address).timeout_ms(300).send().await;
    assert!(lost.is_none(), "{lost:?}");
    let again = request.with_address(scene.fleet.daemons[1].callers).must_send().await;
    assert_eq!((again.status, again.report().run), (200, 1));
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn two_arrivals_at_the_same_instant_run_once_and_get_the_same_answer() {
    let scene = Scene::start().await;
    let entry = scene.entry(0, 0).await;
    scene.backend.set_mode(&Mode { work_ms: 100, ..Mode::default() }).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let sends = scene.fleet.daemons.iter().cycle().take(9).map(|daemon| {
        let request = request.clone().with_address(daemon.callers);
        async move { request.must_send().await }
    });
    let answers = futures_util::future::join_all(sends).await;
    assert!(answers.iter().all(|answer| answer.body == answers[0].body), "{answers:?}");
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn another_body_under_the_same_key_is_refused_and_not_run() {
    let scene = Scene::start().await;
    let entry = scene.entry(0, 0).await;
    Request::keyed(&entry, "port", "order-1", "subscriber 7").must_send().await;
    let other = Request::keyed(&entry, "port", "order-1", "subscriber 8").must_send().await;
    assert_eq!((other.status, other.error.as_str()), (422, "key-reused"));
    assert_eq!(other.outcome, "not-run");
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_paused_home_alone_may_run_the_work_and_does_so_once() {
    let scene = Scene::start().await;
    let entry = scene.entry(1, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    scene.fleet.daemons[0].process.pause().await;
    let early = request.clone().with_address(scene.fleet.daemons[1].callers).must_send().await;
    assert_eq!(early.outcome, "unknown", "{early:?}");
    assert_eq!(scene.backend.runs_of("order-1").await, 0);
    until("the others hold it for dead", || async {
        let status = scene.fleet.daemons[1].status().await;
        (status.members.len() == 2).then_some(())
    })
    .await;
    scene.fleet.daemons[0].process.signal(Signal::CONT);
    scene.fleet.wait_until_all_alive().await;
    let late = request.with_address(scene.fleet.daemons[2].callers).must_send().await;
    assert_eq!(late.report().run, 1, "{late:?}");
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_home_killed_after_sending_leaves_the_outcome_unknown_and_at_most_one_run() {
    let mut scene = Scene::start().await;
    let entry = scene.entry(1, 0).await;
    scene.backend.set_mode(&Mode { stall_share: 1.0, ..Mode::default() }).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let sent = request.clone().with_address(scene.fleet.daemons[1].callers);
    let waiting = actix_rt::spawn(async move { sent.send().await });
    until("the work has begun", || async {
        (scene.backend.runs_of("order-1").await == 1).then_some(())
    })
    .await;
    scene.fleet.daemons[0].process.kill();
    let answer = waiting.await.expect("the task ends").expect("an answer comes");
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    for daemon in &scene.fleet.daemons[1..] {
        let again = request.clone().with_address(daemon.callers).must_send().await;
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn a_new_process_at_the_homes_address_does_not_run_its_work() {
    let mut scene = Scene::start().await;
    let entry = scene.entry(1, 0).await;
    let old = &mut scene.fleet.daemons[0];
    let (peers, callers) = (old.peers, old.callers);
    old.process.kill();
    let mut options = DaemonOptions::new("a", scene.fleet.platform.address);
    options.peers_listen = peers;
    scene.fleet.daemons[0] = scene.fleet.start_daemon(&options);
    scene.fleet.wait_until_all_alive().await;
    scene.fleet.wait_in_force("port", 1).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    assert_ne!(callers, scene.fleet.daemons[0].callers);
    for daemon in &scene.fleet.daemons {
        // Until a VM has heard of the old process's end it says that the home cannot be reached.
        until_gone(&request, daemon).await;
    }
    assert_eq!(scene.backend.runs_of("order-1").await, 0);
}

#[actix_rt::test]
async fn what_a_stranger_answers_at_a_dead_homes_address_is_not_the_homes() {
    let mut scene = Scene::start().await;
    let entry = scene.entry(1, 0).await;
    let home = &mut scene.fleet.daemons[0];
    let callers = home.callers;
    home.process.kill();
    let args = ["backend", "--listen", &callers.to_string()];
    let _stranger = Process::start("standin", &args, false);
    until("somebody answers there", || async { TcpStream::connect(callers).await.ok() }).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    for daemon in &scene.fleet.daemons[1..] {
        until_gone(&request, daemon).await;
    }
    assert_eq!(scene.backend.runs_of("order-1").await, 0);
}

#[actix_rt::test]
async fn one_way_cuts_on_the_callers_way_end_in_the_real_answer() {
    let scene = Scene::start().await;
    let entry = scene.entry(1, 0).await;
    let home = scene.fleet.daemons[0].callers;
    for (key, faults) in [
        ("forward", Faults { forward: cut(), ..Faults::default() }),
        ("back", Faults { back: cut(), ..Faults::default() }),
    ] {
        let relay = Relay::spawn(home).await.expect("the relay starts");
        relay.set(faults);
        let request = Request::keyed(&entry, "port", key, "subscriber 7");
        let lost = request.clone().with_address(relay.address).timeout_ms(300).send().await;
        assert!(lost.is_none(), "{lost:?}");
        let answer = request.with_address(scene.fleet.daemons[1].callers).must_send().await;
        assert_eq!(answer.report().run, 1, "{key}: {answer:?}");
        assert_eq!(scene.backend.runs_of(key).await, 1);
    }
}

/// A direction that loses everything.
fn cut() -> Fault {
    Fault { cut: true, ..Fault::default() }
}

#[actix_rt::test]
async fn a_home_behind_a_one_way_cut_is_reported_unknown_until_the_cut_heals() {
    let mut fleet = Fleet::empty();
    let platform = fleet.platform.address;
    // The home advertises the relay, which learns where it leads once the home has chosen its port.
    let relay = Relay::spawn_unaimed().await.expect("the relay starts");
    let mut home = DaemonOptions::new("a", platform);
    home.callers_advertise = Some(relay.address);
    let home = fleet.add(&home);
    relay.aim(fleet.daemons[home].callers);
    fleet.add(&DaemonOptions::new("b", platform));
    fleet.list_daemons().await;
    fleet.wait_until_all_alive().await;
    let backend = Backend::start("b1", 4);
    let scene = Scene { fleet, backend };
    scene.add_service().await;
    let entry = scene.entry_at(1, relay.address).await;
    relay.set(Faults { back: cut(), ..Faults::default() });
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let request = request.with_address(scene.fleet.daemons[1].callers);
    let early = request.must_send().await;
    assert_eq!(early.outcome, "unknown", "{early:?}");
    relay.set(Faults::default());
    let late = request.must_send().await;
    assert_eq!((late.status, late.report().run), (200, 1));
    assert!(late.is_replayed);
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn forged_altered_and_future_tickets_are_refused_and_run_nothing() {
    let scene = Scene::start().await;
    let entry = scene.entry(0, 0).await;
    let ticket = entry.ticket.clone().expect("a ticket");
    // The characters 11 to 21 hold the time at which the ticket was made.
    let mut altered = ticket.clone().into_bytes();
    altered[15] = if altered[15] == b'A' { b'B' } else { b'A' };
    let altered = String::from_utf8(altered).expect("it is text");
    let cases = [("", "bad"), ("AAAA", "bad"), (altered.as_str(), "altered")];
    for (forged, what) in cases {
        let entry = Entry { ticket: Some(forged.to_owned()), ..entry.clone() };
        let answer = Request::keyed(&entry, "port", "order-1", "x").must_send().await;
        assert_eq!(
            (answer.error.as_str(), answer.outcome.as_str()),
            ("ticket-invalid", "not-run"),
            "{what}"
        );
    }
    assert_eq!(scene.backend.runs_of("order-1").await, 0);
    assert_eq!(scene.backend.counts().await.started, 0);
}

#[actix_rt::test]
async fn an_expired_ticket_is_refused_and_its_work_is_not_run_again() {
    let mut fleet = Fleet::empty();
    let mut options = DaemonOptions::new("a", fleet.platform.address);
    (options.ticket_ttl_ms, options.answer_holds_ms) = (700, 200);
    fleet.add(&options);
    fleet.list_daemons().await;
    let scene = Scene { fleet, backend: Backend::start("b1", 4) };
    scene.add_service().await;
    let entry = scene.entry(0, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    assert_eq!(request.must_send().await.status, 200);
    let expired = until("the ticket expires", || async {
        let answer = request.must_send().await;
        (answer.error == "ticket-expired").then_some(answer)
    })
    .await;
    assert_eq!((expired.status, expired.outcome.as_str()), (410, "unknown"));
    assert_eq!(scene.backend.runs_of("order-1").await, 1);
}

#[actix_rt::test]
async fn tickets_hold_while_the_platform_is_away() {
    let scene = Scene::start().await;
    scene
        .fleet
        .platform
        .set_faults(&PlatformFaults { away: true, ..PlatformFaults::default() })
        .await;
    for home in 0..3 {
        let entry = scene.entry(1, home).await;
        let key = format!("order-{home}");
        for daemon in &scene.fleet.daemons {
            let request = Request::keyed(&entry, "port", &key, "x").with_address(daemon.callers);
            assert_eq!(request.must_send().await.report().run, 1);
        }
        assert_eq!(scene.backend.runs_of(&key).await, 1);
    }
}

#[actix_rt::test]
async fn without_a_ticket_the_row_decides() {
    let scene = Scene::start().await;
    let address = scene.fleet.daemons[0].callers;
    let bare = Request::new(address, "port", awc::http::Method::POST, "/orders");
    let refused = bare.must_send().await;
    assert_eq!((refused.status, refused.error.as_str()), (428, "ticket-missing"));
    let single = leverstream_tests::change("port.unkeyed", json!("single"));
    let version = scene.fleet.daemons[0].must_edit(&[single]).await;
    scene.fleet.wait_in_force("port", version).await;
    let ran = until("the edit is in force for traffic", || async {
        let answer = bare.must_send().await;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(ran.report().run, 1);
    assert_eq!(scene.backend.counts().await.started, 1);
}

#[actix_rt::test]
async fn a_home_paused_past_its_tickets_time_refuses_them_and_runs_nothing() {
    const TTL_MS: u64 = 1_500;
    let fleet = Fleet::start_with(&["a", "b", "c"], |options| options.ticket_ttl_ms = TTL_MS).await;
    let scene = Scene { fleet, backend: Backend::start("b1", 4) };
    scene.add_service().await;
    let entry = scene.entry(1, 0).await;
    let request = Request::keyed(&entry, "port", "order-1", "subscriber 7");
    let minted = std::time::Instant::now();
    // The request reaches the home's socket while it is paused, and is read after the pause.
    scene.fleet.daemons[0].process.pause().await;
    let waiting = request.clone().timeout_ms(20_000);
    let waiting = actix_rt::spawn(async move { waiting.send().await });
    until("the ticket's time is over", || async {
        (minted.elapsed().as_millis() > u128::from(2 * TTL_MS)).then_some(())
    })
    .await;
    scene.fleet.daemons[0].process.signal(Signal::CONT);
    let late = waiting.await.expect("the task ends").expect("an answer comes");
    assert_eq!((late.error.as_str(), late.outcome.as_str()), ("ticket-expired", "unknown"));
    scene.fleet.wait_until_all_alive().await;
    for daemon in &scene.fleet.daemons {
        let answer = request.clone().with_address(daemon.callers).must_send().await;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
    }
    assert_eq!(scene.backend.runs_of("order-1").await, 0);
}

#[actix_rt::test]
async fn the_rows_limits_hold_for_work_with_tickets_and_free_its_key() {
    let scene = Scene::start().await;
    let rate = leverstream_tests::change("port.rate_per_s", json!(1));
    let version = scene.fleet.daemons[0].must_edit(&[rate]).await;
    scene.fleet.wait_in_force("port", version).await;
    let entry = scene.entry(0, 0).await;
    let order = |key: &str| Request::keyed(&entry, "port", key, "x");
    let answers = ["order-1", "order-2", "order-3"].map(order);
    let sent = futures_util::future::join_all(answers.iter().map(Request::must_send)).await;
    let limited: Vec<_> = sent.iter().filter(|answer| answer.error == "rate-limited").collect();
    assert!(!limited.is_empty() && limited.iter().all(|answer| answer.outcome == "not-run"));
    for (key, request) in ["order-1", "order-2", "order-3"].into_iter().zip(&answers) {
        until("the limit lets it run", || async {
            (request.must_send().await.status == 200).then_some(())
        })
        .await;
        assert_eq!(scene.backend.runs_of(key).await, 1);
    }
}
