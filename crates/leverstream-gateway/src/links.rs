//! Finds out whether a failure shows that a backend server is ill or that this VM's own links are
//! lost, and keeps track of lost links until they are regained.
//!
//! After a failed connection this VM opens one to other backend servers of the service. If none can
//! be opened, it asks other VMs whether they can. If one can, the links of this VM are lost: its
//! failures are no evidence, other VMs take its place in the entry set, and `relay` passes requests
//! on to those that answered.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use leverstream_catalog::Incarnation;
use leverstream_core::{Fleet, HelperAnswer, Links};
use leverstream_health::BackendKey;
use leverstream_peer::packet::Body;
use leverstream_peer::{LinkAnswer, LinkQuestion, Packet};
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tracing::info;

use crate::connect::connect_within;
use crate::gateway::Inner;

/// The timeout of the first test connection. A handshake takes some milliseconds.
const FIRST_TEST_TIMEOUT_MS: u64 = 60;

/// The timeout of the other test connections, which a busy backend server may take longer to accept.
const TEST_TIMEOUT_MS: u64 = 200;

/// The backend servers of a service that are tested first.
const TESTED_BACKENDS: usize = 3;

/// The further ones that are tested once another VM reaches those: a VM may have lost its links to a
/// part of a service only, and does better by itself then. Where half of them are lost, or three
/// packets in ten, this many tests fail by chance once in some thousand.
const CONFIRMED_BACKENDS: usize = 12;

/// The entry VMs, and the others, that are asked in one round. Any VM may be cut off too.
const ASKED_VMS: usize = 3;

/// The rounds of questions before a failure is held against the backend servers.
const ROUNDS: usize = 2;

/// How long the result that no VM reaches a service is reused, in milliseconds: while it is down,
/// requests fail without another test.
const OUTAGE_VALID_MS: u64 = 1_000;

/// The time that other VMs have for an answer, in which they test connections themselves.
const ANSWER_TIMEOUT_MS: u64 = TEST_TIMEOUT_MS + 50;

/// How long this VM's answer whether it reaches a service at all is reused, in milliseconds: each VM
/// that has lost its links asks several times a second.
const ANSWER_REUSE_MS: u64 = 500;

/// The interval at which lost links are tested and helpers are asked again, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;

/// The maximum number of unanswered questions that are remembered.
const PENDING_LIMIT: usize = 256;

/// A backend server to which a test connection is opened. It may be unlisted while the test runs.
#[derive(Clone, Debug)]
struct TestTarget {
    /// Its address.
    address: SocketAddr,
    /// The incarnation that is tested.
    incarnation: Incarnation,
}

/// What a failure to reach a backend server shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureCause {
    /// The backend server is ill, or no VM reaches it.
    Backend,
    /// This VM's own links are lost.
    OwnLinks,
}

/// This VM's links to backend servers, the tests under way and the questions to other VMs.
#[derive(Default)]
pub(crate) struct LinkMonitor {
    /// What is known of the links.
    pub links: RefCell<Links>,
    /// The test under way, by service.
    tests: RefCell<HashMap<String, Rc<Test>>>,
    /// The services of unanswered questions, by their number.
    pending: RefCell<HashMap<u64, String>>,
    /// The number of the last question.
    last_number: Cell<u64>,
    /// Notified when another VM has answered a question.
    answered: Notify,
    /// Notified when links are lost.
    lost: Notify,
    /// Whether the task that probes lost links runs.
    is_probing: Cell<bool>,
    /// Until when no VM is taken to reach a service.
    outages: RefCell<HashMap<String, u64>>,
    /// This VM's last answer to others whether it reaches a service at all, by service.
    given_answers: RefCell<HashMap<String, GivenAnswer>>,
}

/// A test of the links to one service, which several failed attempts wait for.
#[derive(Default)]
struct Test {
    /// What it showed, once it is over.
    cause: Cell<Option<FailureCause>>,
    /// Notified when it is over.
    is_over: Notify,
}

/// This VM's answer to another one.
#[derive(Clone, Copy, Debug)]
struct GivenAnswer {
    /// When it was given.
    at_ms: u64,
    /// Whether a connection was opened.
    is_reached: bool,
}

impl LinkMonitor {
    /// Tells whether this VM's own links to the backend servers of a service are lost.
    pub fn is_lost(&self, service: &str) -> bool {
        self.links.borrow().is_lost(service)
    }

    /// Tells whether the links to any service are lost.
    pub fn is_any_lost(&self) -> bool {
        self.links.borrow().lost().next().is_some()
    }

    /// Waits until the links to a service are lost.
    pub async fn until_lost(&self, service: &str) {
        while !self.is_lost(service) {
            self.lost.notified().await;
        }
    }

    /// Registers a question about a service and returns its number.
    fn register_question(&self, service: &str) -> u64 {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= PENDING_LIMIT {
            pending.clear();
        }
        pending.insert(number, service.to_owned());
        number
    }
}

/// Finds out what a failure to reach a backend server with a request in flight shows.
pub(crate) async fn find_cause(inner: &Rc<Inner>, key: BackendKey) -> FailureCause {
    let service = inner.fleet.borrow().service(key).to_owned();
    find_service_cause(inner, &service, Some(key)).await
}

/// Tests the links to the backend servers of a service, other than one that has just failed.
pub(crate) async fn find_service_cause(
    inner: &Rc<Inner>,
    service: &str,
    failed: Option<BackendKey>,
) -> FailureCause {
    if inner.links.is_lost(service) {
        return FailureCause::OwnLinks;
    }
    let outage_until_ms = inner.links.outages.borrow().get(service).copied();
    if outage_until_ms.is_some_and(|until_ms| inner.now_ms() < until_ms) {
        return FailureCause::Backend;
    }
    let running = inner.links.tests.borrow().get(service).cloned();
    let test = running.unwrap_or_else(|| start_test(inner, service, failed));
    loop {
        let is_over = test.is_over.notified();
        if let Some(cause) = test.cause.get() {
            return cause;
        }
        is_over.await;
    }
}

/// Starts a test, which goes on if the request that caused it is dropped.
fn start_test(inner: &Rc<Inner>, service: &str, failed: Option<BackendKey>) -> Rc<Test> {
    let test = Rc::new(Test::default());
    inner.links.tests.borrow_mut().insert(service.to_owned(), Rc::clone(&test));
    let (inner, service, started) = (Rc::clone(inner), service.to_owned(), Rc::clone(&test));
    let others = choose_targets(&inner, &service, failed, TESTED_BACKENDS);
    let failed = failed.map(|key| target(&inner.fleet.borrow(), key));
    actix_rt::spawn(async move {
        let cause = run_test(&inner, &service, failed, others).await;
        inner.links.tests.borrow_mut().remove(&service);
        started.cause.set(Some(cause));
        started.is_over.notify_waiters();
    });
    test
}

/// Opens connections to backend servers of a service other than the one that failed, and asks other
/// VMs if none can be opened.
async fn run_test(
    inner: &Rc<Inner>,
    service: &str,
    failed: Option<TestTarget>,
    others: Vec<TestTarget>,
) -> FailureCause {
    let (first, rest) = others.split_at(others.len().min(1));
    if open_any(inner, first, FIRST_TEST_TIMEOUT_MS).await
        || open_any(inner, rest, TEST_TIMEOUT_MS).await
    {
        return FailureCause::Backend;
    }
    let tested: Vec<TestTarget> = others.into_iter().chain(failed).collect();
    let instances: Vec<String> =
        tested.iter().map(|target| target.incarnation.instance.clone()).collect();
    // Earlier answers were about other backend servers.
    inner.links.links.borrow_mut().forget_helpers(service);
    let mut asked = Vec::new();
    for _ in 0..ROUNDS {
        let to = inner.mesh.link_advisors(ASKED_VMS, &asked);
        if to.is_empty() {
            break;
        }
        if ask(inner, service, &instances, &to).await {
            // Those tested may have come back meanwhile, too.
            let others = choose_targets(inner, service, None, CONFIRMED_BACKENDS);
            let (again, confirmed) = futures_util::join!(
                open_any(inner, &tested, TEST_TIMEOUT_MS),
                open_any(inner, &others, TEST_TIMEOUT_MS)
            );
            if again || confirmed {
                return FailureCause::Backend;
            }
            note_lost(inner, service, &instances);
            return FailureCause::OwnLinks;
        }
        asked.extend(to);
    }
    info!(service, unreached = ?instances, asked = asked.len(), "no VM reaches them");
    if asked.is_empty() {
        // Without others, a later failure must be tested anew.
        return FailureCause::Backend;
    }
    let until_ms = inner.now_ms() + OUTAGE_VALID_MS;
    inner.links.outages.borrow_mut().insert(service.to_owned(), until_ms);
    FailureCause::Backend
}

/// Chooses random backend servers of a service to test, other than one that has just failed.
fn choose_targets(
    inner: &Inner,
    service: &str,
    failed: Option<BackendKey>,
    count: usize,
) -> Vec<TestTarget> {
    let fleet = inner.fleet.borrow();
    let others = fleet.keys_of_service(service).iter().filter(|key| Some(**key) != failed);
    let others: Vec<BackendKey> = others.copied().collect();
    let chosen = others.choose_multiple(&mut rand::rng(), count);
    chosen.map(|key| target(&fleet, *key)).collect()
}

/// Returns the test target of a backend server.
fn target(fleet: &Fleet, key: BackendKey) -> TestTarget {
    TestTarget { address: fleet.target(key).0, incarnation: fleet.incarnation(key) }
}

/// Opens connections to some backend servers at once; returns whether one could be opened. The first
/// that is opened is kept for requests.
async fn open_any(inner: &Rc<Inner>, targets: &[TestTarget], timeout_ms: u64) -> bool {
    let opening = targets.iter().map(|target| async move {
        (connect_within(inner, target.address, timeout_ms).await, target.incarnation.clone())
    });
    let mut opening: FuturesUnordered<_> = opening.collect();
    while let Some((opened, incarnation)) = opening.next().await {
        if let Ok(conn) = opened {
            inner.idle_pool.borrow_mut().put(incarnation, conn, None, inner.now_ms());
            return true;
        }
    }
    false
}

/// Asks some VMs whether they reach backend servers, and waits until one says so; returns whether
/// one did.
async fn ask(inner: &Rc<Inner>, service: &str, instances: &[String], to: &[SocketAddr]) -> bool {
    send_question(inner, service, instances, to);
    let has_helper = || !inner.links.links.borrow().helpers(service, inner.now_ms()).is_empty();
    let waiting = async {
        while !has_helper() {
            inner.links.answered.notified().await;
        }
    };
    tokio::time::timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), waiting).await.is_ok()
}

/// Sends some VMs the question whether they reach backend servers.
fn send_question(inner: &Inner, service: &str, instances: &[String], to: &[SocketAddr]) {
    let number = inner.links.register_question(service);
    let (service, instances) = (service.to_owned(), instances.to_vec());
    let body = Some(Body::LinkQuestion(LinkQuestion { number, service, instances }));
    inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, to);
}

/// Answers another VM's question with whether this one opens a connection to a backend server.
pub(crate) fn answer(inner: &Rc<Inner>, from: SocketAddr, question: &LinkQuestion) {
    let LinkQuestion { number, service, instances } = question.clone();
    let inner = Rc::clone(inner);
    actix_rt::spawn(async move {
        let is_reached = inner.is_ready() && reaches(&inner, &service, &instances).await;
        let in_flight = inner.in_flight.get();
        let body = Some(Body::LinkAnswer(LinkAnswer { number, is_reached, in_flight }));
        inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &[from]);
    });
}

/// Returns whether this VM opens a connection to one of some backend servers, or to any of the
/// service if none are named.
async fn reaches(inner: &Rc<Inner>, service: &str, instances: &[String]) -> bool {
    if inner.links.is_lost(service) {
        return false;
    }
    if !instances.is_empty() {
        let targets: Vec<TestTarget> = {
            let fleet = inner.fleet.borrow();
            let keys = instances.iter().filter_map(|instance| fleet.key_of(instance));
            keys.map(|key| target(&fleet, key)).collect()
        };
        return open_any(inner, &targets, TEST_TIMEOUT_MS).await;
    }
    let given = inner.links.given_answers.borrow().get(service).copied();
    if let Some(given) = given
        && inner.now_ms().saturating_sub(given.at_ms) < ANSWER_REUSE_MS
    {
        return given.is_reached;
    }
    let tested = choose_targets(inner, service, None, TESTED_BACKENDS);
    let is_reached = open_any(inner, &tested, TEST_TIMEOUT_MS).await;
    let given = GivenAnswer { at_ms: inner.now_ms(), is_reached };
    inner.links.given_answers.borrow_mut().insert(service.to_owned(), given);
    is_reached
}

/// Records another VM's answer.
pub(crate) fn record_answer(inner: &Inner, from: SocketAddr, answer: LinkAnswer) {
    let LinkAnswer { number, is_reached, in_flight } = answer;
    let Some(service) = inner.links.pending.borrow().get(&number).cloned() else { return };
    let Some(sender) = inner.mesh.helper_at(from) else { return };
    let answer = HelperAnswer { is_reached, in_flight, ..sender };
    inner.links.links.borrow_mut().note_helper(&service, answer, inner.now_ms());
    inner.links.answered.notify_waiters();
}

/// Records that the links to a service are lost: other VMs take this one's place in the entry set,
/// and requests are passed on.
fn note_lost(inner: &Rc<Inner>, service: &str, unreached: &[String]) {
    let now_ms = inner.now_ms();
    if !inner.links.links.borrow_mut().note_lost(service, now_ms) {
        return;
    }
    let helpers = inner.links.links.borrow().helpers(service, now_ms);
    info!(service, ?unreached, reached_by = ?helpers, "own links to backend servers lost");
    inner.meters.links_lost.set(1);
    inner.links.lost.notify_waiters();
    inner.mesh.set_backends_lost(inner, true);
    if !inner.links.is_probing.replace(true) {
        let inner = Rc::clone(inner);
        actix_rt::spawn(async move { probe_lost(&inner).await });
    }
}

/// Tests lost links and asks for helpers until all links are regained.
async fn probe_lost(inner: &Rc<Inner>) {
    while inner.links.is_any_lost() {
        let lost: Vec<String> = inner.links.links.borrow().lost().map(str::to_owned).collect();
        let probes = lost.iter().map(|service| probe_service(inner, service));
        futures_util::future::join_all(probes).await;
        tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
    }
    inner.links.is_probing.set(false);
    inner.meters.links_lost.set(0);
    inner.mesh.set_backends_lost(inner, false);
    inner.wake_all();
}

/// Tests the lost links to one service, and asks its helpers and some other VMs again.
async fn probe_service(inner: &Rc<Inner>, service: &str) {
    let tested = choose_targets(inner, service, None, TESTED_BACKENDS);
    let helpers = inner.links.links.borrow().helpers(service, inner.now_ms());
    let mut to = inner.mesh.peer_addresses_of(&helpers);
    to.truncate(ASKED_VMS);
    let others = inner.mesh.link_advisors(1, &to);
    to.extend(others);
    send_question(inner, service, &[], &to);
    let is_opened = open_any(inner, &tested, TEST_TIMEOUT_MS).await;
    let now_ms = inner.now_ms();
    if inner.links.links.borrow_mut().note_probe(service, is_opened, now_ms) {
        info!(service, "own links to backend servers regained");
    }
}

/// Tests the links to all services: this VM has become an entry VM in the place of one that lost its
/// links, and may have lost its own for the same reason.
pub(crate) fn test_all(inner: &Rc<Inner>) {
    let Some(catalog) = inner.catalog() else { return };
    let is_served = |service: &&String| !inner.fleet.borrow().keys_of_service(service).is_empty();
    for service in catalog.services.keys().filter(is_served) {
        let (inner, service) = (Rc::clone(inner), service.clone());
        actix_rt::spawn(async move {
            find_service_cause(&inner, &service, None).await;
        });
    }
}
