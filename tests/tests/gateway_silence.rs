//! Open connections to the store that go silent for good, without a reset, while new ones work.

use std::time::{Duration, Instant};

use leverstream_standin::relay::Relay;
use leverstream_tests::site::{HALL, Site, Vm};
use leverstream_tests::until;

/// The time after which a VM is bound again by what the store has acknowledged, counted from the silence.
const IN_TOUCH_AGAIN: Duration = Duration::from_millis(3_000);

/// How long connections have been idle when they go silent: with each, the silence meets them in another phase of their
/// keep-alive probes.
const IDLE_BEFORE: [Duration; 4] = [
    Duration::from_millis(0),
    Duration::from_millis(400),
    Duration::from_millis(700),
    Duration::from_millis(1_000),
];

/// A fleet with a relay from each VM to the store.
struct RelayedSite {
    /// The store, the backend servers and the VMs.
    site: Site,
    /// The relays to the store.
    relays: Vec<Relay>,
}

impl RelayedSite {
    /// Starts a fleet of up to four VMs, in two data halls in turn, with a number of backend servers.
    async fn start(vms: usize, origins: usize) -> RelayedSite {
        let mut site = Site::start(0, origins).await;
        let mut relays = Vec::new();
        for number in 0..vms {
            let relay = Relay::spawn(site.platform.address).await.expect("a port is free");
            let seeds: Vec<String> = site.vms.iter().map(|vm| vm.ip().to_owned()).collect();
            let hall = if number % 2 == 0 { HALL } else { "hall-b" };
            site.vms.push(Vm::start(relay.address, hall, &seeds));
            relays.push(relay);
        }
        site.until_ready().await;
        // VMs take part in reading the store from 1.2 s after their start on.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        RelayedSite { site, relays }
    }

    /// Writes a configuration and waits until it is in force at all VMs.
    async fn put_catalog(&mut self, version: u64) {
        self.site.put_catalog(version).await;
        let version = format!("\"version\":{version},");
        self.until_all_logged("configuration in force", &version).await;
    }

    /// Makes all open connections to the store silent.
    fn silence(&self) -> Instant {
        self.relays.iter().for_each(Relay::silence_open_connections);
        Instant::now()
    }

    /// Waits until all VMs have logged a line with both texts.
    async fn until_all_logged(&self, text: &str, other_text: &str) {
        for vm in &self.site.vms {
            until("all VMs log it", || async {
                let lines = vm.process.log();
                let is_match = |line: &String| line.contains(text) && line.contains(other_text);
                lines.iter().any(is_match).then_some(())
            })
            .await;
        }
    }
}

/// Guards against a time limit of connections to the store that is longer than the time in which a change has to be in
/// force: routes added after the silence were refused with 404 for up to four seconds. No other VM is there to help. The limit itself is tested in `leverstream-wire`, as
/// one of this VM's three watches often notices sooner.
#[actix_rt::test]
async fn a_configuration_is_in_force_in_time_after_connections_to_the_store_go_silent() {
    let mut fleet = RelayedSite::start(1, 1).await;
    for (round, idle) in (1..).zip(IDLE_BEFORE) {
        fleet.put_catalog(10 * round).await;
        tokio::time::sleep(idle).await;
        let silent_at = fleet.silence();
        fleet.put_catalog(10 * round + 1).await;
        assert!(silent_at.elapsed() < IN_TOUCH_AGAIN, "{idle:?}: {:?}", silent_at.elapsed());
    }
}

/// Guards against a removal that is held back for two seconds more, as after an outage of the store, although only
/// connections have gone silent.
#[actix_rt::test]
async fn a_removed_backend_server_is_dropped_in_time_after_connections_to_the_store_go_silent() {
    let fleet = RelayedSite::start(4, 2).await;
    let silent_at = fleet.silence();
    fleet.site.unlist_backend("i-0").await;
    fleet.until_all_logged("backend gone", "\"backend\":\"i-0\"").await;
    assert!(silent_at.elapsed() < IN_TOUCH_AGAIN, "{:?}", silent_at.elapsed());
}
