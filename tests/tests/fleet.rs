//! Operation of a fleet: planned stops, leaving backend servers, platform outages, lost VMs and halls, restarts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::Method;
use leverstream_caller::{CallRequest, Caller};
use leverstream_standin::backend::Mode;
use leverstream_standin::platform::Faults;
use leverstream_tests::{Backend, DaemonOptions, Fleet, Request, change, until};
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which a leaving backend server gets no new requests from any VM.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Ticket lifetime in the rolling restart; each planned stop waits until the tickets have expired.
const TICKET_TTL_MS: u64 = 1_500;

/// Callers that send requests until they are stopped, and their results.
struct Load {
    /// Whether the callers keep sending.
    is_running: Rc<Cell<bool>>,
    /// The number of requests answered with status 200 at the first try.
    success_count: Rc<Cell<u64>>,
    /// Descriptions of all other requests: failed, retried or with another status.
    failures: Rc<std::cell::RefCell<Vec<String>>>,
    /// The tasks of the callers.
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Load {
    /// Starts callers of a service, spread over the daemons of the fleet.
    fn start(fleet: &Fleet, service: &str, callers: usize, method: &Method) -> Load {
        let mut load = Load {
            is_running: Rc::new(Cell::new(true)),
            success_count: Rc::default(),
            failures: Rc::default(),
            tasks: Vec::new(),
        };
        let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
        for index in 0..callers {
            let mut addresses = addresses.clone();
            let count = addresses.len();
            addresses.rotate_left(index % count);
            let mut caller = Caller::new(addresses, service, None);
            let (is_running, success_count, failures) = (
                Rc::clone(&load.is_running),
                Rc::clone(&load.success_count),
                Rc::clone(&load.failures),
            );
            let work = CallRequest {
                method: method.clone(),
                path: "/games/7".to_owned(),
                body: "".into(),
                timeout_ms: 10_000,
            };
            load.tasks.push(actix_rt::spawn(async move {
                while is_running.get() {
                    match caller.call(&work).await {
                        Ok(reply) if reply.status == 200 && reply.tries == 1 => {
                            success_count.set(success_count.get() + 1);
                        }
                        Ok(reply) => {
                            let text = format!("{} tries: {:?}", reply.tries, reply.failures);
                            failures.borrow_mut().push(text);
                        }
                        Err(error) => failures.borrow_mut().push(error.to_string()),
                    }
                }
            }));
        }
        load
    }

    /// Waits until `more` further requests have succeeded.
    async fn wait_for(&self, more: u64) {
        let wanted = self.success_count.get() + more;
        until("more requests succeed", || async {
            (self.success_count.get() >= wanted).then_some(())
        })
        .await;
    }

    /// Stops the callers and returns the number of successes and the descriptions of failures.
    async fn stop(self) -> (u64, Vec<String>) {
        self.is_running.set(false);
        for task in self.tasks {
            let _ = task.await;
        }
        let failures = self.failures.borrow().clone();
        (self.success_count.get(), failures)
    }
}

/// Waits until the directory answers of a daemon name `wanted` addresses.
async fn wait_for_addresses(fleet: &Fleet, daemon: usize, service: &str, wanted: usize) {
    until("the directory names the wanted number of VMs", || async {
        let answer = fleet.daemons[daemon].caller(service).ask().await.ok()?;
        (answer.addresses.len() == wanted).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_rolling_restart_under_load_fails_no_request() {
    let halls = ["a", "a", "b", "b", "c", "c"];
    let mut fleet =
        Fleet::start_with(&halls, |options| options.ticket_ttl_ms = TICKET_TTL_MS).await;
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
        options.ticket_ttl_ms = TICKET_TTL_MS;
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
    let (success_count, failures) = reads.stop().await;
    assert!(
        failures.is_empty(),
        "{} of {success_count} reads, first {:?}",
        failures.len(),
        failures[0]
    );
    let (success_count, failures) = orders.stop().await;
    assert!(
        failures.is_empty(),
        "{} of {success_count} orders, first {:?}",
        failures.len(),
        failures[0]
    );
}

#[actix_rt::test]
async fn an_interrupt_ends_a_planned_stop_at_once() {
    let mut fleet = Fleet::start(&["a"]).await;
    let backend = Backend::start("b1", 4);
    backend.set_mode(&Mode { stall_share: 1.0, ..Mode::default() }).await;
    let row = json!({ "taken_over": true, "deadline_ms": 60_000, "unkeyed": "single" });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    let request = Request::new(fleet.daemons[0].callers, "shop", Method::POST, "/orders");
    let held = actix_rt::spawn(async move { request.send().await });
    until("the backend server has started the request", || async {
        (backend.counts().await.started == 1).then_some(())
    })
    .await;
    let process = &mut fleet.daemons[0].process;
    process.signal(Signal::TERM);
    process.wait_for_line("leaves the answers");
    assert_eq!(process.try_exit_code(), None);
    process.signal(Signal::INT);
    assert_eq!(process.wait().await, Some(0));
    assert!(held.await.expect("the task ends").is_none());
}

#[actix_rt::test]
async fn a_leaving_backend_server_gets_no_new_requests_after_two_seconds() {
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
    // Marked as leaving in the table.
    fleet.daemons[1].must_edit(&[change("shop/b1.leaving", json!(true))]).await;
    assert_requests_stop(&backends[0], &load).await;
    // Marked as leaving on the platform.
    fleet.list_daemons_with_leaving(&[backends[3].address]).await;
    assert_requests_stop(&backends[3], &load).await;
    // By its own notice in answers, while the platform is unavailable.
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    backends[1].set_mode(&Mode { draining: true, ..Mode::default() }).await;
    assert_requests_stop(&backends[1], &load).await;
    let (success_count, failures) = load.stop().await;
    assert!(failures.is_empty(), "{} of {success_count}, first {:?}", failures.len(), failures[0]);
}

/// Checks that a backend server stops getting requests within [`LEAVE_TIMEOUT`] while callers keep being answered.
async fn assert_requests_stop(backend: &Backend, load: &Load) {
    let started_at = Instant::now();
    let mut last_request = (backend.counts().await.started, Instant::now());
    while last_request.1.elapsed() < Duration::from_millis(500) {
        load.wait_for(20).await;
        let started = backend.counts().await.started;
        if started != last_request.0 {
            last_request = (started, Instant::now());
        }
        assert!(
            started_at.elapsed() < 4 * LEAVE_TIMEOUT,
            "the leaving backend server still gets requests"
        );
    }
    let took = last_request.1.duration_since(started_at);
    println!(
        "the last request arrived {} ms after the backend server was marked as leaving",
        took.as_millis()
    );
    assert!(took < LEAVE_TIMEOUT, "{took:?}");
}

#[actix_rt::test]
async fn a_platform_outage_stops_no_requests_and_a_new_vm_gets_the_table_from_peers() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    let backend = Backend::start("b1", 4);
    fleet.add_service("shop", json!({ "taken_over": true }), &[("b1", backend.address)]).await;
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    for daemon in &fleet.daemons {
        let request = Request::new(daemon.callers, "shop", Method::GET, "/games/7");
        assert_eq!(request.must_send().await.status, 200);
    }
    // The platform's list of VMs is unavailable too, so the new VM joins through a seed from its settings.
    let mut options = DaemonOptions::new("c", fleet.platform.address);
    options.seeds = vec![fleet.daemons[0].peers];
    fleet.add(&options);
    fleet.wait_until_all_alive().await;
    fleet.wait_in_force("shop", 1).await;
    let request = Request::new(fleet.daemons[2].callers, "shop", Method::GET, "/games/7");
    assert_eq!(request.must_send().await.status, 200);
}

#[actix_rt::test]
async fn a_dead_vm_is_replaced_in_the_directory() {
    let mut fleet = Fleet::start(&["a", "a", "b", "b"]).await;
    let backend = Backend::start("b1", 4);
    let row = json!({ "taken_over": true, "entry_vms": 2 });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    wait_for_addresses(&fleet, 0, "shop", 2).await;
    let answer = fleet.daemons[0].caller("shop").ask().await.expect("an answer");
    let named = answer.addresses[0].address;
    let index = fleet.daemons.iter().position(|daemon| daemon.callers == named);
    let index = index.expect("the answer names a daemon");
    let killed_at = Instant::now();
    fleet.daemons[index].process.kill();
    let dead = fleet.daemons.remove(index);
    until("the directory names a live VM instead of the dead one", || async {
        let answer = fleet.daemons[0].caller("shop").ask().await.ok()?;
        let names_dead = answer.addresses.iter().any(|entry| entry.address == dead.callers);
        (!names_dead && answer.addresses.len() == 2).then_some(())
    })
    .await;
    println!("the directory replaced a dead VM within {:?}", killed_at.elapsed());
}

#[actix_rt::test]
async fn the_whole_fleet_recovers_the_table_after_being_killed_and_restarted() {
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
async fn a_vm_without_updates_reports_their_age() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    fleet.daemons[1].process.kill();
    fleet.daemons.truncate(1);
    until("the age of the last update grows", || async {
        let (status, age_ms) =
            (fleet.daemons[0].status().await, fleet.daemons[0].metric("news_age_ms").await);
        (status.news_age_ms > 800 && age_ms > 800.0).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn invalid_datagrams_are_counted_and_invalid_operator_keys_refused() {
    let fleet = Fleet::start(&["a"]).await;
    let daemon = &fleet.daemons[0];
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for noise in [&b""[..], b"hello", &[0; 40], &[255; 1_500]] {
        socket.send_to(noise, daemon.peers).expect("the bytes are sent");
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
async fn the_loss_of_a_hall_stops_no_service() {
    let mut fleet = Fleet::start(&["a", "a", "b", "b", "c", "c"]).await;
    let backend = Backend::start("b1", 8);
    let row = json!({ "taken_over": true, "entry_vms": 3, "queue": 1_000 });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    wait_for_addresses(&fleet, 2, "shop", 3).await;
    let lost_addresses: Vec<_> = fleet.daemons[..2].iter().map(|daemon| daemon.callers).collect();
    // Both VMs of the hall are killed at once.
    fleet.daemons.drain(..2).for_each(drop);
    for daemon in &fleet.daemons {
        until("the directory names three live VMs", || async {
            let answer = daemon.caller("shop").ask().await.ok()?;
            let names_lost =
                answer.addresses.iter().any(|entry| lost_addresses.contains(&entry.address));
            (!names_lost && answer.addresses.len() == 3).then_some(())
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
    // Longer than the time the server leaves open connections that it considers idle.
    const PAUSE: Duration = Duration::from_secs(8);
    let mut fleet = Fleet::start(&["a"]).await;
    let backend = Backend::start("b1", 4);
    backend.set_mode(&Mode { answer_bytes: ANSWER_BYTES, ..Mode::default() }).await;
    let row = json!({ "taken_over": true, "deadline_ms": 60_000 });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    let daemon = &mut fleet.daemons[0];
    let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon accepts");
    stream
        .write_all(b"GET /games HTTP/1.1\r\nhost: shop\r\n\r\n")
        .await
        .expect("the bytes are sent");
    let mut head = [0; 1_024];
    stream.read_exact(&mut head).await.expect("the answer begins");
    daemon.process.signal(Signal::TERM);
    daemon.process.wait_for_line("leaves the answers");
    let started_at = Instant::now();
    until("the pause is over", || async { (started_at.elapsed() > PAUSE).then_some(()) }).await;
    let mut buffer = vec![0; 1 << 20];
    let mut received_bytes = head.len();
    while received_bytes < ANSWER_BYTES {
        let count = stream.read(&mut buffer).await.expect("the answer continues");
        assert!(count > 0, "the answer was cut after {received_bytes} bytes");
        received_bytes += count;
    }
    drop(stream);
    assert_eq!(daemon.process.wait().await, Some(0));
}
