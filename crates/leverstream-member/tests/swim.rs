//! The SWIM protocol under packet loss, paused processes, one-way cuts and replaced processes.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use leverstream_member::{Identity, Member, MemberState, Outgoing, Swim, SwimSettings};
use leverstream_peer::Packet;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns the address with this number.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 1))
}

/// Creates a process with an id at a numbered address.
fn open(id: u64, number: usize, now_ms: u64) -> Swim {
    open_with(SwimSettings::default(), id, number, now_ms)
}

/// Creates a process with its own settings.
fn open_with(settings: SwimSettings, id: u64, number: usize, now_ms: u64) -> Swim {
    let identity = Identity {
        id,
        peer_address: address(number),
        caller_address: address(number),
        hall: format!("hall-{}", number % 3),
        capacity_per_s: 0,
    };
    Swim::new(identity, settings, StdRng::seed_from_u64(id), now_ms)
}

/// A simulated network whose packets take one millisecond.
struct Network {
    /// The processes by number.
    nodes: Vec<Swim>,
    /// Processes that neither receive nor send.
    paused: HashSet<usize>,
    /// Links that are cut, as sender and receiver.
    cut_links: HashSet<(usize, usize)>,
    /// Packets in transit, as sender, receiver and packet.
    in_flight: VecDeque<(usize, usize, Packet)>,
    /// The simulated time.
    now_ms: u64,
    /// The number of packets sent from one hall to another.
    far_packets: usize,
}

impl Network {
    /// Starts processes, each with the addresses of the first `seeds` of them.
    fn start(count: usize, seeds: usize) -> Network {
        Network::start_with(SwimSettings::default(), count, seeds)
    }

    /// Starts processes with their own settings.
    fn start_with(settings: SwimSettings, count: usize, seeds: usize) -> Network {
        let open = |number: usize| open_with(settings, number as u64 + 1, number, 0);
        let mut network = Network {
            nodes: (0..count).map(open).collect(),
            paused: HashSet::new(),
            cut_links: HashSet::new(),
            in_flight: VecDeque::new(),
            now_ms: 0,
            far_packets: 0,
        };
        network.nodes.iter_mut().for_each(|node| node.set_seeds((0..seeds).map(address).collect()));
        network
    }

    /// Starts processes and runs them until all know each other.
    fn settled(count: usize) -> Network {
        let mut network = Network::start(count, count);
        network.run(20_000);
        for number in 0..count {
            assert_eq!(network.alive_at(number), count, "node {number}");
        }
        network
    }

    /// Simulates some milliseconds.
    fn run(&mut self, ms: u64) {
        let numbers: HashMap<SocketAddr, usize> =
            (0..self.nodes.len()).map(|number| (address(number), number)).collect();
        for _ in 0..ms {
            self.now_ms += 1;
            let mut sent: Vec<(usize, Outgoing)> = Vec::new();
            for (from, to, packet) in std::mem::take(&mut self.in_flight) {
                if self.paused.contains(&to) {
                    self.in_flight.push_back((from, to, packet));
                    continue;
                }
                let out = self.nodes[to].receive(address(from), &packet, self.now_ms);
                sent.extend(out.into_iter().map(|out| (to, out)));
            }
            for number in 0..self.nodes.len() {
                if !self.paused.contains(&number) {
                    let out = self.nodes[number].tick(self.now_ms);
                    sent.extend(out.into_iter().map(|out| (number, out)));
                }
            }
            for (from, out) in sent {
                if let Some(to) =
                    numbers.get(&out.to).filter(|to| !self.cut_links.contains(&(from, **to)))
                {
                    // Processes are assigned to halls in turn.
                    self.far_packets += usize::from(from % 3 != *to % 3);
                    self.in_flight.push_back((from, *to, out.packet));
                }
            }
        }
    }

    /// Cuts all links from or to a process.
    fn cut_off(&mut self, number: usize, outgoing: bool, incoming: bool) {
        for other in 0..self.nodes.len() {
            if outgoing {
                self.cut_links.insert((number, other));
            }
            if incoming {
                self.cut_links.insert((other, number));
            }
        }
    }

    /// Returns how many members a process holds for alive.
    fn alive_at(&self, number: usize) -> usize {
        self.nodes[number].members().filter(|member| member.state == MemberState::Alive).count()
    }

    /// Returns the state in which a process holds another.
    fn state_at(&self, number: usize, id: u64) -> Option<MemberState> {
        self.nodes[number].member(id).map(|member: &Member| member.state)
    }
}

#[test]
fn all_members_detect_a_dead_process_and_suspect_no_other() {
    let mut network = Network::settled(12);
    network.paused.insert(3);
    network.run(15_000);
    for number in (0..12).filter(|number| *number != 3) {
        assert_eq!(network.state_at(number, 4), Some(MemberState::Dead), "node {number}");
        assert_eq!(network.alive_at(number), 11, "node {number}");
    }
}

#[test]
fn a_paused_process_rejoins() {
    let mut network = Network::settled(8);
    network.paused.insert(3);
    network.run(15_000);
    network.paused.clear();
    network.run(15_000);
    for number in 0..8 {
        assert_eq!(network.alive_at(number), 8, "node {number}");
    }
}

#[test]
fn a_process_that_receives_nothing_is_declared_dead_and_accuses_nobody() {
    let mut network = Network::settled(8);
    network.cut_off(3, false, true);
    network.run(20_000);
    for number in (0..8).filter(|number| *number != 3) {
        assert_eq!(network.state_at(number, 4), Some(MemberState::Dead), "node {number}");
        assert_eq!(network.alive_at(number), 7, "node {number}");
    }
    assert!(network.nodes[3].is_isolated());
    network.cut_links.clear();
    network.run(15_000);
    assert!((0..8).all(|number| network.alive_at(number) == 8));
}

#[test]
fn a_process_whose_packets_are_lost_is_declared_dead() {
    let mut network = Network::settled(8);
    network.cut_off(3, true, false);
    network.run(20_000);
    for number in (0..8).filter(|number| *number != 3) {
        assert_eq!(network.state_at(number, 4), Some(MemberState::Dead), "node {number}");
    }
}

#[test]
fn indirect_pings_bridge_a_cut_between_two_members() {
    let mut network = Network::settled(8);
    network.cut_links.extend([(2, 3), (3, 2)]);
    network.run(30_000);
    for number in 0..8 {
        assert_eq!(network.alive_at(number), 8, "node {number}");
    }
}

#[test]
fn a_new_process_at_an_address_replaces_the_old_one() {
    let mut network = Network::settled(6);
    network.nodes[2] = open(100, 2, network.now_ms);
    network.nodes[2].set_seeds((0..6).map(address).collect());
    network.run(15_000);
    for number in 0..6 {
        assert_eq!(network.state_at(number, 100), Some(MemberState::Alive), "node {number}");
        if number != 2 {
            assert_eq!(network.state_at(number, 3), Some(MemberState::Dead), "node {number}");
        }
    }
}

#[test]
fn two_sides_of_a_network_partition_rejoin() {
    let mut network = Network::settled(9);
    for (from, to) in (0..9).flat_map(|from| (0..9).map(move |to| (from, to))) {
        if (from < 3) != (to < 3) {
            network.cut_links.insert((from, to));
        }
    }
    network.run(60_000);
    assert_eq!((network.alive_at(0), network.alive_at(8)), (3, 6));
    // Rejoining needs no seed addresses: dead members are remembered and pinged.
    network.nodes.iter_mut().for_each(|node| node.set_seeds(Vec::new()));
    network.cut_links.clear();
    network.run(30_000);
    for number in 0..9 {
        assert_eq!(network.alive_at(number), 9, "node {number}");
    }
}

#[test]
fn leaving_and_new_versions_reach_all_members() {
    let mut network = Network::settled(10);
    let out = network.nodes[4].leave(network.now_ms);
    network.in_flight.extend(
        out.into_iter()
            .map(|out| (4, (out.to.ip().to_string()[7..]).parse().expect("a number"), out.packet)),
    );
    network.run(1_000);
    for number in (0..10).filter(|number| *number != 4) {
        assert_eq!(network.state_at(number, 5), Some(MemberState::Leaving), "node {number}");
    }
    let out = network.nodes[0].announce("shop", 7);
    network.in_flight.extend(
        out.into_iter()
            .map(|out| (0, (out.to.ip().to_string()[7..]).parse().expect("a number"), out.packet)),
    );
    let mut heard = HashSet::new();
    for _ in 0..10 {
        network.run(500);
        for number in 1..10 {
            for (_, news) in network.nodes[number].take_received_versions() {
                assert_eq!((news.service.as_str(), news.version), ("shop", 7));
                if heard.insert(number) {
                    network.nodes[number].announce("shop", 7);
                }
            }
        }
    }
    assert_eq!(heard.len(), 9);
}

#[test]
fn a_fleet_that_starts_at_once_is_fully_known_within_two_seconds() {
    let mut network = Network::start(44, 3);
    network.run(2_000);
    let known: Vec<usize> = (0..44).map(|number| network.alive_at(number)).collect();
    assert!(known.iter().all(|count| *count == 44), "{known:?}");
}

#[test]
fn a_joining_process_knows_all_members_and_is_known_to_all() {
    let mut network = Network::settled(30);
    let mut newcomer = open(99, 30, network.now_ms);
    newcomer.set_seeds(vec![address(4)]);
    network.nodes.push(newcomer);
    network.run(400);
    let known: Vec<usize> = (0..31).map(|number| network.alive_at(number)).collect();
    assert!(known.iter().all(|count| *count == 31), "{known:?}");
}

/// Starts processes of three halls that ping mostly within their own hall, as a gateway's do.
fn mostly_near() -> Network {
    let settings = SwimSettings { far_one_in: 4, ..SwimSettings::default() };
    let mut network = Network::start_with(settings, 30, 3);
    network.run(5_000);
    network
}

#[test]
fn most_pings_stay_in_the_hall() {
    let far_packets = |mut network: Network| {
        network.far_packets = 0;
        network.run(20_000);
        network.far_packets
    };
    let (mostly_near, alike) = (far_packets(mostly_near()), far_packets(Network::settled(30)));
    assert!(mostly_near * 2 < alike, "{mostly_near} of {alike}");
}

#[test]
fn all_halls_detect_a_dead_process() {
    let mut network = mostly_near();
    network.paused.insert(4);
    network.run(6_000);
    let states: Vec<_> =
        (0..30).filter(|number| *number != 4).map(|n| network.state_at(n, 5)).collect();
    let is_found =
        |state: &Option<MemberState>| state.is_none_or(|state| state >= MemberState::Suspect);
    assert!(states.iter().all(is_found), "{states:?}");
}

#[test]
fn other_halls_detect_the_loss_of_a_whole_hall() {
    let mut network = mostly_near();
    network.paused.extend((0..30).filter(|number| number % 3 == 1));
    network.run(8_000);
    let alive: Vec<usize> = (0..30).step_by(3).map(|number| network.alive_at(number)).collect();
    assert!(alive.iter().all(|count| *count == 20), "{alive:?}");
}

/// Guards against a process that stays dead for all: several processes were at its address before,
/// and an update about an earlier one's death would give it nothing to refute.
#[test]
fn a_replacement_process_refutes_its_own_death() {
    let mut network = Network::settled(6);
    for id in [100, 101] {
        network.nodes[2] = open(id, 2, network.now_ms);
        network.nodes[2].set_seeds(vec![address(0)]);
        network.run(3_000);
    }
    let links: Vec<(usize, usize)> = (0..6).flat_map(|other| [(2, other), (other, 2)]).collect();
    network.cut_links.extend(links.iter().copied());
    network.run(40_000);
    assert_eq!(network.alive_at(0), 5, "it is cut off and held for dead");
    network.cut_links.clear();
    network.run(10_000);
    for number in 0..6 {
        assert_eq!(network.alive_at(number), 6, "node {number}");
    }
}

/// Guards against members that go on holding a process for able to reach backend servers, or for
/// unable, because an older update arrives last or the process was suspected meanwhile.
#[test]
fn lost_and_regained_backend_servers_are_known_at_all_members() {
    let mut network = Network::settled(10);
    let know = |network: &Network, is_lost: bool| {
        (0..10).all(|number| {
            let member = network.nodes[number].member(5).expect("it is known");
            member.has_lost_backends == is_lost && member.state == MemberState::Alive
        })
    };
    let before = network.nodes[4].me().to_update();
    for is_lost in [true, false, true] {
        let out = network.nodes[4].set_backends_lost(is_lost);
        assert!(network.nodes[4].set_backends_lost(is_lost).is_empty(), "no news, no packets");
        let number =
            |to: SocketAddr| usize::from(to.ip().to_string()[7..].parse::<u8>().unwrap_or(0));
        network.in_flight.extend(out.into_iter().map(|out| (4, number(out.to), out.packet)));
        network.run(4_000);
        assert!(know(&network, is_lost), "{is_lost}");
    }
    let from = Some(network.nodes[1].me().to_update());
    let late = Packet { from, updates: vec![before], ..Packet::default() };
    network.in_flight.extend((2..10).map(|to| (1, to, late.clone())));
    // A suspicion that the process refutes keeps what it has said.
    network.paused.insert(4);
    network.run(1_200);
    network.paused.clear();
    network.run(8_000);
    assert!(know(&network, true));
}
