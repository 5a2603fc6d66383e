//! The fleet's life: planned stops, leaving backend servers, outages, lost members, restarts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::Method;
use leverstream_caller::{Caller, Work};
use leverstream_standin::backend::Mode;
use leverstream_standin::platform::Faults;
use leverstream_tests::{Backend, DaemonOptions, Fleet, Request, change, until};
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Within this time a leaving backend server gets no new work anywhere.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);

/// How long tickets hold in a rolling restart, which waits for them to run out.
const TICKET_MS: u64 = 1_500;

/// Callers that keep working until they are told to stop, and what they met.
struct Load {
    /// Whether they go on.
    goes_on: Rc<Cell<bool>>,
    /// Answers.
    good: Rc<Cell<u64>>,
    /// Calls without an answer, with the errors.
    failed: Rc<std::cell::RefCell<Vec<String>>>,
    /// The callers.
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Load {
    /// Starts callers of a service.
    fn start(fleet: &Fleet, service: &str, callers: usize, method: &Method) -> Load {
        let mut load = Load {
            goes_on: Rc::new(Cell::new(true)),
            good: Rc::default(),
            failed: Rc::default(),
            tasks: Vec::new(),
        };
        let systems: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
        for index in 0..callers {
            let mut systems = systems.clone();
            let count = systems.len();
            systems.rotate_left(index % count);
            let mut caller = Caller::open(systems, service, None);
            let (goes_on, good, failed) =
                (Rc::clone(&load.goes_on), Rc::clone(&load.good), Rc::clone(&load.failed));
            let work = Work {
                method: method.clone(),
                path: "/games/7".to_owned(),
                body: "".into(),
                timeout_ms: 10_000,
            };
            load.tasks.push(actix_rt::spawn(async move {
                while goes_on.get() {
                    match caller.call(&work).await {
                        Ok(reply) if reply.status == 200 && reply.tries == 1 => {
                            good.set(good.get() + 1);
                        }
                        Ok(reply) => {
                            let text = format!("{} tries: {:?}", reply.tries, reply.failures);
                            failed.borrow_mut().push(text);
                        }
                        Err(error) => failed.borrow_mut().push(error.to_string()),
                    }
                }
            }));
        }
        load
    }

    /// Waits until so many more answers have come.
    async fn wait_for(&self, more: u64) {
        let wanted = self.good.get() + more;
        until("answers come", || async { (self.good.get() >= wanted).then_some(()) }).await;
    }

    /// Stops and returns how many answers came and what failed.
    async fn stop(self) -> (u64, Vec<String>) {
        self.goes_on.set(false);
        for task in self.tasks {
            let _ = task.await;
        }
        let failed = self.failed.borrow().clone();
        (self.good.get(), failed)
    }
}

/// Waits until the answers of a daemon name so many addresses.
async fn wait_for_addresses(fleet: &Fleet, daemon: usize, service: &str, wanted: usize) {
    until("the answers name the live VMs", || async {
        let answer = fleet.daemons[daemon].caller(service).ask().await.ok()?;
        (answer.addresses.len() == wanted).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_rolling_restart_under_load_cuts_and_fails_nothing() {
    let halls = ["a", "a", "b", "b", "c", "c"];
    let mut fleet = Fleet::start_with(&halls, |options| options.ticket_ttl_ms = TICKET_MS).await;
    let backends = [Backend::start("b1", 8), Backend::start("b2", 8)];
    for backend in &backends {
        backend.set_mode(&Mode { work_ms: 5, ..Mode::default() }).await;
    }
    let row = json!({ "taken_over": true, "entry_vms": 4, "queue": 1_000 });
    let rows = [("b1", backends[0].address), ("b2", backends[1].address)];
    fleet.add_service("shop", row, &rows).await;
    wait_for_addresses(&fleet, 0, "shop", 4).await;
    let reads = Load::start(&fleet, "shop", 6, &Method::GET);
    let orders = Load::start(&fleet, "shop", 4, &Method::POST);
    for (index, hall) in halls.into_iter().enumerate() {
        reads.wait_for(50).await;
        let mut options = DaemonOptions::new(hall, fleet.platform.address);
        options.ticket_ttl_ms = TICKET_MS;
        let new = fleet.start_daemon(&options);
        let mut old = std::mem::replace(&mut fleet.daemons[index], new);
        fleet.list_daemons().await;
        old.process.signal(Signal::TERM);
        let code = old.process.wait().await;
        assert_eq!(code, Some(0));
        fleet.wait_until_all_alive().await;
        fleet.wait_in_force("shop", 1).await;
    }
    reads.wait_for(50).await;
    let (good, failed) = reads.stop().await;
    assert!(failed.is_empty(), "{} of {good} reads, first {:?}", failed.len(), failed[0]);
    let (good, failed) = orders.stop().await;
    assert!(failed.is_empty(), "{} of {good} orders, first {:?}", failed.len(), failed[0]);
}

#[actix_rt::test]
async fn a_second_signal_ends_a_planned_stop_at_once() {
    let mut fleet = Fleet::start(&["a"]).await;
    let backend = Backend::start("b1", 4);
    backend.set_mode(&Mode { stall_share: 1.0, ..Mode::default() }).await;
    let row = json!({ "taken_over": true, "deadline_ms": 60_000, "unkeyed": "single" });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    let request = Request::new(fleet.daemons[0].callers, "shop", Method::POST, "/orders");
    let held = actix_rt::spawn(async move { request.send().await });
    until("the work has begun", || async { (backend.counts().await.started == 1).then_some(()) })
        .await;
    let process = &mut fleet.daemons[0].process;
    process.signal(Signal::TERM);
    process.wait_for_line("leaves the answers");
    assert_eq!(process.try_exit_code(), None);
    process.signal(Signal::TERM);
    assert_eq!(process.wait().await, Some(0));
    assert!(held.await.expect("the task ends").is_none());
}

#[actix_rt::test]
async fn a_leaving_backend_server_gets_no_new_work_within_two_seconds() {
    let fleet = Fleet::start(&["a", "b", "c"]).await;
    let names = ["b1", "b2", "b3", "b4"];
    let backends = names.map(|name| Backend::start(name, 8));
    let row = json!({ "taken_over": true, "entry_vms": 3 });
    let rows: Vec<_> =
        names.into_iter().zip(&backends).map(|(name, backend)| (name, backend.address)).collect();
    fleet.add_service("shop", row, &rows).await;
    wait_for_addresses(&fleet, 0, "shop", 3).await;
    let load = Load::start(&fleet, "shop", 6, &Method::GET);
    load.wait_for(100).await;
    // By the table.
    fleet.daemons[1].must_edit(&[change("shop/b1.leaving", json!(true))]).await;
    stops_within(&backends[0], &load).await;
    // By the platform's mark.
    fleet.list_daemons_with_leaving(&[backends[3].address]).await;
    stops_within(&backends[3], &load).await;
    // By its own word, while the platform is away.
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    backends[1].set_mode(&Mode { draining: true, ..Mode::default() }).await;
    stops_within(&backends[1], &load).await;
    let (good, failed) = load.stop().await;
    assert!(failed.is_empty(), "{} of {good}, first {:?}", failed.len(), failed[0]);
}

/// Checks that a backend server's count of runs stands still soon, while answers go on.
async fn stops_within(backend: &Backend, load: &Load) {
    let asked = Instant::now();
    let mut last = (backend.counts().await.started, Instant::now());
    while last.1.elapsed() < Duration::from_millis(500) {
        load.wait_for(20).await;
        let started = backend.counts().await.started;
        if started != last.0 {
            last = (started, Instant::now());
        }
        assert!(asked.elapsed() < 4 * LEAVES_WITHIN, "work goes on for too long");
    }
    let took = last.1.duration_since(asked);
    println!("the last work came {} ms after the word to leave", took.as_millis());
    assert!(took < LEAVES_WITHIN, "{took:?}");
}

#[actix_rt::test]
async fn an_outage_stops_no_traffic_and_a_newcomer_learns_the_table_from_peers() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    let backend = Backend::start("b1", 4);
    fleet.add_service("shop", json!({ "taken_over": true }), &[("b1", backend.address)]).await;
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    for daemon in &fleet.daemons {
        let request = Request::new(daemon.callers, "shop", Method::GET, "/games/7");
        assert_eq!(request.must_send().await.status, 200);
    }
    // The platform's list is away too; a seed from the settings is the way in.
    let mut options = DaemonOptions::new("c", fleet.platform.address);
    options.seeds = vec![fleet.daemons[0].peers];
    fleet.add(&options);
    fleet.wait_until_all_alive().await;
    fleet.wait_in_force("shop", 1).await;
    let request = Request::new(fleet.daemons[2].callers, "shop", Method::GET, "/games/7");
    assert_eq!(request.must_send().await.status, 200);
}

#[actix_rt::test]
async fn a_dead_vm_leaves_the_answers_and_its_place_is_taken() {
    let mut fleet = Fleet::start(&["a", "a", "b", "b"]).await;
    let backend = Backend::start("b1", 4);
    let row = json!({ "taken_over": true, "entry_vms": 2 });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    wait_for_addresses(&fleet, 0, "shop", 2).await;
    let answer = fleet.daemons[0].caller("shop").ask().await.expect("an answer");
    let named = answer.addresses[0].address;
    let index = fleet.daemons.iter().position(|daemon| daemon.callers == named);
    let index = index.expect("the answer names a daemon");
    let killed = Instant::now();
    fleet.daemons[index].process.kill();
    let dead = fleet.daemons.remove(index);
    until("the dead VM has left the answers", || async {
        let answer = fleet.daemons[0].caller("shop").ask().await.ok()?;
        let names_dead = answer.addresses.iter().any(|entry| entry.address == dead.callers);
        (!names_dead && answer.addresses.len() == 2).then_some(())
    })
    .await;
    println!("a dead VM left the answers and was replaced in {:?}", killed.elapsed());
}

#[actix_rt::test]
async fn the_whole_fleet_killed_and_started_again_comes_back_with_the_table() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    let backend = Backend::start("b1", 4);
    fleet.add_service("shop", json!({ "taken_over": true }), &[("b1", backend.address)]).await;
    fleet.daemons.clear();
    for hall in ["a", "b", "c"] {
        let options = DaemonOptions::new(hall, fleet.platform.address);
        fleet.add(&options);
    }
    fleet.list_daemons().await;
    fleet.wait_until_all_alive().await;
    fleet.wait_in_force("shop", 1).await;
    for daemon in &fleet.daemons {
        let request = Request::new(daemon.callers, "shop", Method::GET, "/games/7");
        assert_eq!(request.must_send().await.status, 200);
    }
}

#[actix_rt::test]
async fn a_vm_without_news_says_so() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    fleet.daemons[1].process.kill();
    fleet.daemons.truncate(1);
    until("the news grows old", || async {
        let (status, age_ms) =
            (fleet.daemons[0].status().await, fleet.daemons[0].metric("news_age_ms").await);
        (status.news_age_ms > 800 && age_ms > 800.0).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn strangers_datagrams_and_keys_are_refused_and_counted() {
    let fleet = Fleet::start(&["a"]).await;
    let daemon = &fleet.daemons[0];
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for noise in [&b""[..], b"hello", &[0; 40], &[255; 1_500]] {
        socket.send_to(noise, daemon.peers).expect("it is sent");
    }
    until("the datagrams are counted", || async {
        (daemon.metric("datagrams_refused").await >= 4.0).then_some(())
    })
    .await;
    for key in ["", "Bearer ", "Bearer wrong", "operators-test-key"] {
        let table = Request::new(daemon.operators, "shop", Method::GET, "/v1/table");
        let answer = table.header("authorization", key).must_send().await;
        assert_eq!((answer.status, answer.error.as_str()), (401, "unauthorized"), "{key}");
    }
}

#[actix_rt::test]
async fn a_hall_that_goes_takes_no_service_with_it() {
    let mut fleet = Fleet::start(&["a", "a", "b", "b", "c", "c"]).await;
    let backend = Backend::start("b1", 8);
    let row = json!({ "taken_over": true, "entry_vms": 3, "queue": 1_000 });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    wait_for_addresses(&fleet, 2, "shop", 3).await;
    let gone: Vec<_> = fleet.daemons[..2].iter().map(|daemon| daemon.callers).collect();
    // Both VMs of the hall go at once, with whatever they were doing.
    fleet.daemons.drain(..2).for_each(drop);
    for daemon in &fleet.daemons {
        until("the answers name three live VMs", || async {
            let answer = daemon.caller("shop").ask().await.ok()?;
            let names_gone = answer.addresses.iter().any(|entry| gone.contains(&entry.address));
            (!names_gone && answer.addresses.len() == 3).then_some(())
        })
        .await;
        let request = Request::new(daemon.callers, "shop", Method::GET, "/games/7");
        assert_eq!(request.must_send().await.status, 200);
    }
    let version = fleet.daemons[0].must_edit(&[change("shop.queue", json!(7))]).await;
    fleet.wait_in_force("shop", version).await;
}

#[actix_rt::test]
async fn a_planned_stop_waits_for_a_caller_that_reads_a_large_answer_slowly() {
    const ANSWER_BYTES: usize = 30_000_000;
    // Longer than the server gives connections that it does not know to be at work.
    const PAUSE: Duration = Duration::from_secs(8);
    let mut fleet = Fleet::start(&["a"]).await;
    let backend = Backend::start("b1", 4);
    backend.set_mode(&Mode { answer_bytes: ANSWER_BYTES, ..Mode::default() }).await;
    let row = json!({ "taken_over": true, "deadline_ms": 60_000 });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    let daemon = &mut fleet.daemons[0];
    let mut stream = TcpStream::connect(daemon.callers).await.expect("it accepts");
    stream.write_all(b"GET /games HTTP/1.1\r\nhost: shop\r\n\r\n").await.expect("it is sent");
    let mut head = [0; 1_024];
    stream.read_exact(&mut head).await.expect("the answer begins");
    daemon.process.signal(Signal::TERM);
    daemon.process.wait_for_line("leaves the answers");
    let asked = Instant::now();
    until("the pause is over", || async { (asked.elapsed() > PAUSE).then_some(()) }).await;
    let mut rest = vec![0; 1 << 20];
    let mut got = head.len();
    while got < ANSWER_BYTES {
        let count = stream.read(&mut rest).await.expect("the answer goes on");
        assert!(count > 0, "the answer was cut after {got} bytes");
        got += count;
    }
    drop(stream);
    assert_eq!(daemon.process.wait().await, Some(0));
}
