//! VMs whose links to the backend servers are lost while callers, the store and the other VMs reach them.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::Reply;
use leverstream_standin::path::PathState;
use leverstream_tests::cut::CutVm;
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site, Vm};
use leverstream_tests::until;

/// The time after the start of a cut from which callers of the cut VM must be served, as the users state it.
const CONTACT: Duration = Duration::from_secs(3);

/// The pause between the rounds of test requests.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// The hall of the VM that is cut.
const CUT_HALL: &str = "hall-b";

/// Requests that were sent to a VM and those that were answered with success.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// The requests sent.
    sent: u32,
    /// The requests answered with status 200.
    served: u32,
}

/// Starts three VMs, and one in a hall of its own that can be cut.
async fn start() -> (Site, CutVm) {
    let site = Site::start(3, 6).await;
    site.set_all_replies(Reply::After(20));
    let cut = CutVm::start(&site, CUT_HALL, "").await;
    (site, cut)
}

/// Sends requests that may be repeated and others to a VM, some at a time, and counts those that are served.
async fn send_rounds(vm: &Vm, duration: Duration) -> Tally {
    let started = Instant::now();
    let mut tally = Tally::default();
    while started.elapsed() < duration {
        let paths = [REPEATABLE, NON_REPEATABLE, NON_REPEATABLE];
        let calls = paths.map(|path| async move { Call::new(path).send(vm).await });
        for answer in futures_util::future::join_all(calls).await {
            tally.sent += 1;
            tally.served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    tally
}

/// Cuts a VM and checks that from [`CONTACT`] on its callers are served two thirds as often as others, as the users ask.
async fn check_cut(state: PathState) {
    let (site, cut) = start().await;
    let before = send_rounds(&cut.vm, Duration::from_millis(500)).await;
    assert_eq!(before.served, before.sent, "the VM serves before it is cut");
    cut.set_paths(state).await;
    send_rounds(&cut.vm, CONTACT).await;
    let duration = Duration::from_secs(2);
    let (there, other) =
        tokio::join!(send_rounds(&cut.vm, duration), send_rounds(&site.vms[0], duration));
    let share = |tally: Tally| f64::from(tally.served) / f64::from(tally.sent);
    assert!(share(there) >= share(other) * 2.0 / 3.0, "{state:?}: {there:?}, others {other:?}");
}

/// Guards against a VM that refuses its callers while backend servers don't answer it, though other VMs reach them.
#[actix_rt::test]
async fn callers_of_a_vm_are_served_while_its_links_to_backend_servers_hang() {
    check_cut(PathState::Silent).await;
}

/// Guards against a VM that refuses its callers while its connections are reset and refused.
#[actix_rt::test]
async fn callers_of_a_vm_are_served_while_its_links_to_backend_servers_are_reset() {
    check_cut(PathState::Refusing).await;
}

/// Guards against a directory that sends callers to a VM which reaches no backend server.
#[actix_rt::test]
async fn the_directory_names_another_vm_while_one_reaches_no_backend_server() {
    let (site, cut) = start().await;
    let own = cut.vm.callers().to_string();
    until("the VM takes callers", || async {
        (site.vms[0].resolve(CUT_HALL).await == [own.clone()]).then_some(())
    })
    .await;
    cut.set_paths(PathState::Refusing).await;
    let cut_at = Instant::now();
    send_rounds(&cut.vm, CONTACT).await;
    for vm in site.vms.iter().chain([&cut.vm]) {
        let named = vm.resolve(CUT_HALL).await;
        assert!(!named.is_empty() && !named.contains(&own), "{named:?}");
    }
    assert!(cut.vm.is_ready().await, "a VM that is cut off is still ready");
    cut.set_paths(PathState::Up).await;
    until("the VM takes callers again", || async {
        (site.vms[0].resolve(CUT_HALL).await == [own.clone()]).then_some(())
    })
    .await;
    assert!(cut_at.elapsed() < 4 * CONTACT, "{:?}", cut_at.elapsed());
}

/// Guards against a VM that takes its own lost links for the end of backend servers, and tells the others so.
#[actix_rt::test]
async fn a_vm_whose_links_are_reset_accuses_no_request_and_no_backend_server() {
    check_accusations(Duration::ZERO).await;
}

/// Guards against the same while the links are lost one after the other: a test connection to one that is lost next still opens.
#[actix_rt::test]
async fn a_vm_whose_links_are_reset_in_turn_accuses_no_request_and_no_backend_server() {
    check_accusations(Duration::from_millis(3)).await;
}

/// Resets the links of a VM, with a pause after each, and checks that it reports no failure of a backend server or a request.
async fn check_accusations(pause: Duration) {
    let (site, cut) = start().await;
    send_rounds(&cut.vm, Duration::from_millis(500)).await;
    site.set_all_replies(Reply::After(150));
    let calls = || async { send_rounds(&cut.vm, Duration::from_millis(1_500)).await };
    let cutting = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        match pause.is_zero() {
            true => cut.set_paths(PathState::Refusing).await,
            false => cut.set_paths_in_turn(PathState::Refusing, pause).await,
        }
    };
    tokio::join!(calls(), cutting);
    for vm in site.vms.iter().chain([&cut.vm]) {
        assert!(!vm.has_logged("ended under a request"), "no request is accused");
        assert_eq!(vm.metric("leverstream_suspects").await, 0.0, "no request is suspect");
    }
    let other = &site.vms[0];
    let served = send_rounds(other, Duration::from_millis(500)).await;
    assert_eq!(served.served, served.sent, "the other VMs serve");
    let answer = Call::new(NON_REPEATABLE).send(other).await.expect("an answer arrives");
    assert!(answer.text(headers::INSTANCE_STAMP).is_some());
}
