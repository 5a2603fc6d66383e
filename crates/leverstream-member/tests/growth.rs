//! What VMs tell each other of members as the fleet grows: a whole fleet starts, is lost at once and starts anew.
//!
//! Seen: at 300 VMs what VMs told each other cost more than all that was served; lists of members and news of starts were 300 of
//! 1,100 MB in 50 s, and one VM sent 18 times as much as at 100.
//! Cause: what a VM sent grew with the number of VMs: all were told of each start, and who looked for others was told all.

use std::collections::VecDeque;
use std::net::SocketAddr;

use leverstream_member::{Identity, Outgoing, Swim, SwimSettings};
use leverstream_peer::{FleetKey, Packet};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How often a process does what is due.
const TICK_MS: u64 = 100;

/// How long a datagram takes.
const WAY_MS: u64 = 2;

/// How many addresses are known from the settings.
const SEEDS: usize = 3;

/// How many data halls there are.
const HALLS: usize = 3;

/// A fleet.
struct Fleet {
    /// The processes, at their addresses.
    nodes: Vec<Swim>,
    /// What each has sent, in bytes.
    sent: Vec<usize>,
    /// What all have sent to other data halls.
    sent_far: usize,
    /// Datagrams on their way: when they arrive, from and to.
    wire: VecDeque<(u64, usize, usize, Packet)>,
    /// The time.
    now_ms: u64,
    /// How many processes there were.
    starts: u64,
    /// Measures datagrams.
    key: FleetKey,
}

/// What a fleet came to.
#[derive(Debug)]
struct Outcome {
    /// What the busiest process sent, in kB.
    busiest_kb: usize,
    /// What they sent on average, in kB.
    mean_kb: usize,
    /// How many members each knew three seconds after the fleet was lost, the least.
    least_known: usize,
    /// The same eight seconds after.
    least_known_later: usize,
    /// What they sent to other data halls in all on average, in kB.
    mean_far_kb: usize,
}

/// The address of a process.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 1))
}

impl Fleet {
    /// Processes that have just started.
    fn start(count: usize) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            sent: vec![0; count],
            sent_far: 0,
            wire: VecDeque::new(),
            now_ms: 0,
            starts: 0,
            key: FleetKey::derive("growth"),
        };
        fleet.nodes = (0..count).map(|number| fleet.open(number)).collect();
        fleet
    }

    /// A process that has just started at an address.
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
        let mut node = Swim::open(identity, settings, rng, self.now_ms);
        node.set_seeds((0..SEEDS).map(address).collect());
        node
    }

    /// Loses all processes at once; others start at their addresses.
    fn lose_all(&mut self) {
        self.wire.clear();
        self.nodes = (0..self.nodes.len()).map(|number| self.open(number)).collect();
    }

    /// Lets time pass.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            while self.wire.front().is_some_and(|(at_ms, ..)| *at_ms <= self.now_ms) {
                let Some((_, from, to, packet)) = self.wire.pop_front() else { break };
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

    /// Sends packets.
    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, packet } in out {
            let bytes = self.key.seal(&packet).len();
            self.sent[from] += bytes;
            let SocketAddr::V4(to) = to else { continue };
            let [.., high, low] = to.ip().octets();
            let to = usize::from(high) * 250 + usize::from(low);
            self.sent_far += if from % HALLS == to % HALLS { 0 } else { bytes };
            self.wire.push_back((self.now_ms + WAY_MS, from, to, packet));
        }
    }
}

/// Has a fleet start, be lost and start anew.
fn play(count: usize) -> Outcome {
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
fn what_a_vm_tells_of_members_hardly_grows_with_the_fleet() {
    let sizes = [36, 100, 300, 600];
    let outcomes = sizes.map(play);
    for (size, outcome) in sizes.iter().zip(&outcomes) {
        println!("{size} VMs: {outcome:?}");
        assert!(outcome.least_known * 10 >= size * 7, "{size} VMs: {outcome:?}");
        // Those that share the traffic tell each other of backend servers, so all must know who does.
        assert!(outcome.least_known_later * 1_000 >= size * 995, "{size} VMs: {outcome:?}");
    }
    // Bytes between data halls are paid for; a fleet that all know at once sends as much as it may.
    let [_, whole, .., large] = &outcomes;
    assert!(large.mean_far_kb <= whole.mean_far_kb, "{whole:?}, {large:?}");
    let [.., small, large] = outcomes;
    assert!(large.mean_kb <= 2 * small.mean_kb, "{small:?}, {large:?}");
    assert!(large.busiest_kb <= 2 * small.busiest_kb, "{small:?}, {large:?}");
}
