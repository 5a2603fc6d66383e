//! Membership traffic as the fleet grows: a whole fleet starts, is lost at once and starts anew.
//!
//! Guards against traffic per VM that grows with the fleet. When each start was reported to every VM,
//! and each process that looked for members was sent the full list, membership traffic at 300 VMs
//! exceeded all that was served: lists of members and reports of starts were 300 of 1,100 MB in 50 s,
//! and one VM sent 18 times as much as at 100 VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;

use leverstream_member::{Identity, Outgoing, Swim, SwimSettings};
use leverstream_peer::{FleetKey, Packet};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The interval between two ticks of a process.
const TICK_MS: u64 = 100;

/// The transit time of a datagram.
const TRANSIT_MS: u64 = 2;

/// The number of seed addresses.
const SEEDS: usize = 3;

/// The number of data halls.
const HALLS: usize = 3;

/// A simulated fleet.
struct Fleet {
    /// The processes, by address number.
    nodes: Vec<Swim>,
    /// The bytes that each process has sent.
    sent: Vec<usize>,
    /// The bytes that all processes have sent to other data halls.
    sent_far: usize,
    /// Datagrams in transit: arrival time, sender, receiver and packet.
    in_transit: VecDeque<(u64, usize, usize, Packet)>,
    /// The simulated time.
    now_ms: u64,
    /// How many processes have been started.
    starts: u64,
    /// Seals packets, to measure the size of datagrams.
    key: FleetKey,
}

/// The results of a run.
#[derive(Debug)]
struct Outcome {
    /// The bytes sent by the process that sent most, in kB.
    busiest_kb: usize,
    /// The mean bytes sent per process, in kB.
    mean_kb: usize,
    /// The smallest number of members known to any process three seconds after the loss of the
    /// fleet.
    least_known: usize,
    /// The same eight seconds after the loss.
    least_known_later: usize,
    /// The mean bytes sent to other data halls per process over the whole run, in kB.
    mean_far_kb: usize,
}

/// Returns the address with this number.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 1))
}

impl Fleet {
    /// Starts a fleet.
    fn start(count: usize) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            sent: vec![0; count],
            sent_far: 0,
            in_transit: VecDeque::new(),
            now_ms: 0,
            starts: 0,
            key: FleetKey::derive("growth"),
        };
        fleet.nodes = (0..count).map(|number| fleet.open(number)).collect();
        fleet
    }

    /// Starts a process at an address.
    fn open(&mut self, number: usize) -> Swim {
        self.starts += 1;
        let identity = Identity {
            id: self.starts,
            peer_address: address(number),
            caller_address: address(number),
            hall: format!("hall-{}", number % HALLS),
            capacity_per_s: 200,
        };
        let settings =
            SwimSettings { period_ms: 400, ack_ms: 133, far_one_in: 4, ..SwimSettings::default() };
        let rng = StdRng::seed_from_u64(self.starts);
        let mut node = Swim::new(identity, settings, rng, self.now_ms);
        node.set_seeds((0..SEEDS).map(address).collect());
        node
    }

    /// Replaces all processes at once by new ones at the same addresses.
    fn lose_all(&mut self) {
        self.in_transit.clear();
        self.nodes = (0..self.nodes.len()).map(|number| self.open(number)).collect();
    }

    /// Simulates some milliseconds.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            while self.in_transit.front().is_some_and(|(arrival_ms, ..)| *arrival_ms <= self.now_ms)
            {
                let Some((_, from, to, packet)) = self.in_transit.pop_front() else { break };
                let out = self.nodes[to].receive(address(from), &packet, self.now_ms);
                self.send(to, out);
            }
            for number in 0..self.nodes.len() {
                if (self.now_ms + number as u64).is_multiple_of(TICK_MS) {
                    let out = self.nodes[number].tick(self.now_ms);
                    self.send(number, out);
                }
            }
        }
    }

    /// Puts packets in transit.
    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, packet } in out {
            let bytes = self.key.seal(&packet).len();
            self.sent[from] += bytes;
            let SocketAddr::V4(to) = to else { continue };
            let [.., high, low] = to.ip().octets();
            let to = usize::from(high) * 250 + usize::from(low);
            self.sent_far += if from % HALLS == to % HALLS { 0 } else { bytes };
            self.in_transit.push_back((self.now_ms + TRANSIT_MS, from, to, packet));
        }
    }
}

/// Runs a fleet that starts, is lost and starts anew.
fn simulate(count: usize) -> Outcome {
    let mut fleet = Fleet::start(count);
    fleet.run(4_000);
    fleet.lose_all();
    fleet.run(3_000);
    let known = fleet.nodes.iter().map(|node| node.members().count());
    let least_known = known.min().unwrap_or(0);
    fleet.run(3_000);
    let busiest_kb = fleet.sent.iter().max().unwrap_or(&0) / 1_000;
    let mean_kb = fleet.sent.iter().sum::<usize>() / count / 1_000;
    fleet.run(2_000);
    let known = fleet.nodes.iter().map(|node| node.members().count());
    let least_known_later = known.min().unwrap_or(0);
    let mean_far_kb = fleet.sent_far / count / 1_000;
    Outcome { busiest_kb, mean_kb, least_known, least_known_later, mean_far_kb }
}

#[test]
fn membership_traffic_per_vm_stays_bounded_as_the_fleet_grows() {
    let sizes = [36, 100, 300, 600];
    let outcomes = sizes.map(simulate);
    for (size, outcome) in sizes.iter().zip(&outcomes) {
        println!("{size} VMs: {outcome:?}");
        assert!(outcome.least_known * 10 >= size * 7, "{size} VMs: {outcome:?}");
        // VMs that share traffic report on backend servers to each other, so each must know all
        // others.
        assert!(outcome.least_known_later * 1_000 >= size * 995, "{size} VMs: {outcome:?}");
    }
    // Traffic between data halls costs money. A fleet of 100 announces each start to all members,
    // which sets the bound for larger fleets.
    let [_, whole, .., large] = &outcomes;
    assert!(large.mean_far_kb <= whole.mean_far_kb, "{whole:?}, {large:?}");
    let [.., small, large] = outcomes;
    assert!(large.mean_kb <= 2 * small.mean_kb, "{small:?}, {large:?}");
    assert!(large.busiest_kb <= 2 * small.busiest_kb, "{small:?}, {large:?}");
}
