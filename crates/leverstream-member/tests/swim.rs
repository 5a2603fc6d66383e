//! The protocol between members under loss, pauses, one-way cuts and replacement.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use leverstream_member::{Identity, Member, MemberState, Outgoing, Swim, SwimSettings};
use leverstream_peer::Packet;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The address of a numbered process.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 1))
}

/// A process with an id at a numbered address.
fn open(id: u64, number: usize, now_ms: u64) -> Swim {
    open_with(SwimSettings::default(), id, number, now_ms)
}

/// The same with times of its own.
fn open_with(settings: SwimSettings, id: u64, number: usize, now_ms: u64) -> Swim {
    let identity = Identity {
        id,
        peer_address: address(number),
        caller_address: address(number),
        hall: format!("hall-{}", number % 3),
        capacity_per_s: 0,
    };
    Swim::open(identity, settings, StdRng::seed_from_u64(id), now_ms)
}

/// Processes whose packets take a millisecond, unless something is in the way.
struct Net {
    /// The processes by number.
    nodes: Vec<Swim>,
    /// Processes that do nothing.
    paused: HashSet<usize>,
    /// Cut ways, from and to.
    cut: HashSet<(usize, usize)>,
    /// Packets on their way.
    in_flight: VecDeque<(usize, usize, Packet)>,
    /// The time.
    now_ms: u64,
    /// Packets that went from one hall to another.
    far_packets: usize,
}

impl Net {
    /// Processes that have just started, each with the addresses of the first few.
    fn fresh(count: usize, hints: usize) -> Net {
        Net::fresh_with(SwimSettings::default(), count, hints)
    }

    /// The same with times of their own.
    fn fresh_with(settings: SwimSettings, count: usize, hints: usize) -> Net {
        let open = |number: usize| open_with(settings, number as u64 + 1, number, 0);
        let mut net = Net {
            nodes: (0..count).map(open).collect(),
            paused: HashSet::new(),
            cut: HashSet::new(),
            in_flight: VecDeque::new(),
            now_ms: 0,
            far_packets: 0,
        };
        net.nodes.iter_mut().for_each(|node| node.set_seeds((0..hints).map(address).collect()));
        net
    }

    /// Processes that have found each other.
    fn settled(count: usize) -> Net {
        let mut net = Net::fresh(count, count);
        net.run(20_000);
        for number in 0..count {
            assert_eq!(net.alive_at(number), count, "node {number}");
        }
        net
    }

    /// Lets time pass.
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
                    numbers.get(&out.to).filter(|to| !self.cut.contains(&(from, **to)))
                {
                    // Halls are dealt out in turn.
                    self.far_packets += usize::from(from % 3 != *to % 3);
                    self.in_flight.push_back((from, *to, out.packet));
                }
            }
        }
    }

    /// Cuts all ways from or to a process.
    fn cut_off(&mut self, number: usize, outgoing: bool, incoming: bool) {
        for other in 0..self.nodes.len() {
            if outgoing {
                self.cut.insert((number, other));
            }
            if incoming {
                self.cut.insert((other, number));
            }
        }
    }

    /// How many members a process holds for alive.
    fn alive_at(&self, number: usize) -> usize {
        self.nodes[number].members().filter(|member| member.state == MemberState::Alive).count()
    }

    /// The state in which a process holds another.
    fn state_at(&self, number: usize, id: u64) -> Option<MemberState> {
        self.nodes[number].member(id).map(|member: &Member| member.state)
    }
}

#[test]
fn the_dead_are_found_by_all_and_nobody_else_is() {
    let mut net = Net::settled(12);
    net.paused.insert(3);
    net.run(15_000);
    for number in (0..12).filter(|number| *number != 3) {
        assert_eq!(net.state_at(number, 4), Some(MemberState::Dead), "node {number}");
        assert_eq!(net.alive_at(number), 11, "node {number}");
    }
}

#[test]
fn one_that_was_paused_and_does_not_know_comes_back() {
    let mut net = Net::settled(8);
    net.paused.insert(3);
    net.run(15_000);
    net.paused.clear();
    net.run(15_000);
    for number in 0..8 {
        assert_eq!(net.alive_at(number), 8, "node {number}");
    }
}

#[test]
fn who_is_heard_but_hears_nothing_leaves_and_accuses_nobody() {
    let mut net = Net::settled(8);
    net.cut_off(3, false, true);
    net.run(20_000);
    for number in (0..8).filter(|number| *number != 3) {
        assert_eq!(net.state_at(number, 4), Some(MemberState::Dead), "node {number}");
        assert_eq!(net.alive_at(number), 7, "node {number}");
    }
    assert!(net.nodes[3].is_isolated());
    net.cut.clear();
    net.run(15_000);
    assert!((0..8).all(|number| net.alive_at(number) == 8));
}

#[test]
fn who_hears_but_is_not_heard_leaves() {
    let mut net = Net::settled(8);
    net.cut_off(3, true, false);
    net.run(20_000);
    for number in (0..8).filter(|number| *number != 3) {
        assert_eq!(net.state_at(number, 4), Some(MemberState::Dead), "node {number}");
    }
}

#[test]
fn a_cut_between_two_is_bridged_by_the_others() {
    let mut net = Net::settled(8);
    net.cut.extend([(2, 3), (3, 2)]);
    net.run(30_000);
    for number in 0..8 {
        assert_eq!(net.alive_at(number), 8, "node {number}");
    }
}

#[test]
fn a_new_process_at_the_address_takes_the_old_ones_place() {
    let mut net = Net::settled(6);
    net.nodes[2] = open(100, 2, net.now_ms);
    net.nodes[2].set_seeds((0..6).map(address).collect());
    net.run(15_000);
    for number in 0..6 {
        assert_eq!(net.state_at(number, 100), Some(MemberState::Alive), "node {number}");
        if number != 2 {
            assert_eq!(net.state_at(number, 3), Some(MemberState::Dead), "node {number}");
        }
    }
}

#[test]
fn two_sides_of_a_cut_find_each_other_again() {
    let mut net = Net::settled(9);
    for (from, to) in (0..9).flat_map(|from| (0..9).map(move |to| (from, to))) {
        if (from < 3) != (to < 3) {
            net.cut.insert((from, to));
        }
    }
    net.run(60_000);
    assert_eq!((net.alive_at(0), net.alive_at(8)), (3, 6));
    // The platform's list need not be there: the dead are remembered and tried.
    net.nodes.iter_mut().for_each(|node| node.set_seeds(Vec::new()));
    net.cut.clear();
    net.run(30_000);
    for number in 0..9 {
        assert_eq!(net.alive_at(number), 9, "node {number}");
    }
}

#[test]
fn leaving_is_told_and_news_reaches_all() {
    let mut net = Net::settled(10);
    let out = net.nodes[4].leave(net.now_ms);
    net.in_flight.extend(
        out.into_iter()
            .map(|out| (4, (out.to.ip().to_string()[7..]).parse().expect("a number"), out.packet)),
    );
    net.run(1_000);
    for number in (0..10).filter(|number| *number != 4) {
        assert_eq!(net.state_at(number, 5), Some(MemberState::Leaving), "node {number}");
    }
    let out = net.nodes[0].announce("shop", 7);
    net.in_flight.extend(
        out.into_iter()
            .map(|out| (0, (out.to.ip().to_string()[7..]).parse().expect("a number"), out.packet)),
    );
    let mut heard = HashSet::new();
    for _ in 0..10 {
        net.run(500);
        for number in 1..10 {
            for (_, news) in net.nodes[number].take_received_versions() {
                assert_eq!((news.service.as_str(), news.version), ("shop", 7));
                if heard.insert(number) {
                    net.nodes[number].announce("shop", 7);
                }
            }
        }
    }
    assert_eq!(heard.len(), 9);
}

#[test]
fn a_fleet_that_starts_at_once_knows_itself_within_two_seconds() {
    let mut net = Net::fresh(44, 3);
    net.run(2_000);
    let known: Vec<usize> = (0..44).map(|number| net.alive_at(number)).collect();
    assert!(known.iter().all(|count| *count == 44), "{known:?}");
}

#[test]
fn one_that_joins_knows_all_and_is_known_to_all_at_once() {
    let mut net = Net::settled(30);
    let mut newcomer = open(99, 30, net.now_ms);
    newcomer.set_seeds(vec![address(4)]);
    net.nodes.push(newcomer);
    net.run(400);
    let known: Vec<usize> = (0..31).map(|number| net.alive_at(number)).collect();
    assert!(known.iter().all(|count| *count == 31), "{known:?}");
}

/// Processes of three halls that ping mostly their own, as a gateway's do.
fn mostly_near() -> Net {
    let settings = SwimSettings { far_one_in: 4, ..SwimSettings::default() };
    let mut net = Net::fresh_with(settings, 30, 3);
    net.run(5_000);
    net
}

#[test]
fn pings_mostly_stay_in_the_hall() {
    let far_packets = |mut net: Net| {
        net.far_packets = 0;
        net.run(20_000);
        net.far_packets
    };
    let (mostly_near, alike) = (far_packets(mostly_near()), far_packets(Net::settled(30)));
    assert!(mostly_near * 2 < alike, "{mostly_near} of {alike}");
}

#[test]
fn a_dead_process_is_found_by_all_although_pings_stay_in_the_hall() {
    let mut net = mostly_near();
    net.paused.insert(4);
    net.run(6_000);
    let states: Vec<_> =
        (0..30).filter(|number| *number != 4).map(|n| net.state_at(n, 5)).collect();
    let is_found =
        |state: &Option<MemberState>| state.is_none_or(|state| state >= MemberState::Suspect);
    assert!(states.iter().all(is_found), "{states:?}");
}

#[test]
fn a_whole_hall_that_is_gone_is_found_by_the_others() {
    let mut net = mostly_near();
    net.paused.extend((0..30).filter(|number| number % 3 == 1));
    net.run(8_000);
    let alive: Vec<usize> = (0..30).step_by(3).map(|number| net.alive_at(number)).collect();
    assert!(alive.iter().all(|count| *count == 20), "{alive:?}");
}

/// Another process was at its address before; told of that one's death alone it would have nothing to refute.
#[test]
fn a_process_that_took_anothers_place_refutes_that_it_is_dead() {
    let mut net = Net::settled(6);
    for id in [100, 101] {
        net.nodes[2] = open(id, 2, net.now_ms);
        net.nodes[2].set_seeds(vec![address(0)]);
        net.run(3_000);
    }
    let ways: Vec<(usize, usize)> = (0..6).flat_map(|other| [(2, other), (other, 2)]).collect();
    net.cut.extend(ways.iter().copied());
    net.run(40_000);
    assert_eq!(net.alive_at(0), 5, "it is cut off and held for dead");
    net.cut.clear();
    net.run(10_000);
    for number in 0..6 {
        assert_eq!(net.alive_at(number), 6, "node {number}");
    }
}
